// Package server folds the status records that backend servers write to the platform's
// store into the list of servers.
//
// It does no I/O and reads no clock.
package server

import (
	"sort"
	"time"

	"lycheepick/internal/rule/units"
)

// Status is a status record that a backend server writes about itself.
type Status struct {
	Service units.TargetID
	Zone    units.ZoneID
	Address string
	// Version is the version of the server's software.
	Version units.SoftwareVersion
	// StartUnixMS is the start time of the server in Unix milliseconds, 0 if unknown. It
	// identifies the incarnation of an id.
	StartUnixMS int64
	// Sequence numbers the records of one incarnation.
	Sequence int64
	Slots    int
	Spot     bool
	// Draining is set once the server is to be removed; it gets no new requests.
	Draining bool
	// TimeLeft is the time until a draining server is removed, 0 if unknown.
	TimeLeft time.Duration
	// WarmupLeft is how much longer the server will be slow after its start.
	WarmupLeft time.Duration
}

// Server is a backend server with its latest status record.
type Server struct {
	ID units.VMID
	Status
	// ReadAt is when the record was read from the store.
	ReadAt time.Time
}

// recoveryGrace is how long after an outage of the store removals are held back: records of
// live servers that expired in the outage are rewritten within about 2 s of its end.
const recoveryGrace = 2300 * time.Millisecond

// minOutage is the shortest outage of the store in which records of live servers can expire.
// A single broken connection is shorter than that.
const minOutage = time.Second

// tombstoneTime is how long a removed server is remembered, so that an old record of it
// doesn't bring it back.
const tombstoneTime = time.Minute

type entry struct {
	Server
	// offset is that of the latest record read for this id.
	offset  units.Offset
	removed bool
	// restored is set for a server that had been removed when the store came back from an
	// older copy, which may still have it.
	restored bool
	// removeAt is when a removal that was held back takes effect; zero if there is none.
	removeAt time.Time
	// heldAt is when a removal that was held back was read.
	heldAt    time.Time
	changedAt time.Time
	// writtenSince is a time after which the latest record was written.
	writtenSince time.Time
	// renewed counts the records that other servers have written since a removal that is held
	// back.
	renewed map[units.VMID]int
}

// Registry is the list of backend servers. It is not safe for concurrent use.
type Registry struct {
	// heartbeat is the time between two records of a server, 0 if unknown.
	heartbeat  time.Duration
	nextOffset units.Offset
	entries    map[units.VMID]*entry
	// recoveredAt is when the latest outage of the store ended.
	recoveredAt time.Time
	storeDown   bool
	// lostAt is when the store became unreachable; it is valid while storeDown is set.
	lostAt time.Time
	// outageStart is the latest time at which the outage that ended at recoveredAt can have
	// begun.
	outageStart time.Time
	// servedFrom and servedTo bound the latest time in which peers were served by the store;
	// see PeerServed.
	servedFrom, servedTo time.Time
}

// expiryHeartbeats is the number of heartbeats without a record after which the store removes a
// server.
const expiryHeartbeats = 3

// ShortestExpiry returns the shortest outage of the store in which the record of a live server can expire:
// it may have been written a heartbeat before.
func (rg *Registry) ShortestExpiry() time.Duration {
	return max(minOutage, (expiryHeartbeats-1)*rg.heartbeat)
}

// NewRegistry returns a registry without servers, at offset 0. heartbeat is the time between two
// records of a server, 0 if unknown.
func NewRegistry(heartbeat time.Duration) *Registry {
	return &Registry{heartbeat: heartbeat, entries: map[units.VMID]*entry{}}
}

// NextOffset returns the offset to read from, as set by SkipTo.
func (rg *Registry) NextOffset() units.Offset { return rg.nextOffset }

// SkipTo reports that all records before off are folded. It never moves the offset back.
func (rg *Registry) SkipTo(off units.Offset) { rg.nextOffset = max(rg.nextOffset, off) }

// Restart starts the offsets anew after the store has come back from an older copy of itself.
// What the copy lacks is written again soon, so removals are held back as after an outage.
func (rg *Registry) Restart(now time.Time) {
	rg.nextOffset = 0
	rg.recoveredAt, rg.outageStart = now, now
	for _, st := range rg.entries {
		st.offset, st.restored, st.writtenSince = -1, st.removed, time.Time{}
	}
}

// StoreDown reports that the store is unreachable for this node.
func (rg *Registry) StoreDown(now time.Time) {
	if !rg.storeDown {
		rg.lostAt = now
	}
	rg.storeDown = true
}

// StoreUp reports that the store is reachable for this node.
func (rg *Registry) StoreUp(now time.Time) {
	if rg.storeDown && now.Sub(rg.lostAt) >= minOutage && !rg.servedThrough(rg.lostAt) {
		rg.recoveredAt, rg.outageStart = now, rg.lostAt
	}
	rg.storeDown = false
}

// PeerServed reports that the list of a peer which has run since from matched the store at to,
// and that the peer holds no removals back. A loss of the store that this node saw in between
// is then no reason to hold removals back either: it was this node's own, or the records of live
// servers have been rewritten since. It returns true if the list changed.
func (rg *Registry) PeerServed(now, from, to time.Time) bool {
	if !to.After(from) {
		return false
	}
	switch {
	case from.After(rg.servedTo):
		rg.servedFrom, rg.servedTo = from, to
	case !to.Before(rg.servedFrom):
		rg.servedFrom, rg.servedTo = earlier(from, rg.servedFrom), later(to, rg.servedTo)
	}
	if rg.storeDown && rg.servedThrough(rg.lostAt) {
		rg.storeDown = false
	}
	if rg.recoveredAt.IsZero() || !rg.servedThrough(rg.outageStart) {
		return false
	}
	rg.recoveredAt = time.Time{}
	return rg.applyHeldBack(now)
}

// servedThrough reports whether peers were served before and after a time.
func (rg *Registry) servedThrough(at time.Time) bool {
	return rg.servedFrom.Before(at) && rg.servedTo.After(at)
}

func earlier(one, two time.Time) time.Time {
	if one.Before(two) {
		return one
	}
	return two
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

func (rg *Registry) applyHeldBack(now time.Time) bool {
	changed := false
	for _, st := range rg.entries {
		if !st.removed && !st.removeAt.IsZero() {
			st.removed, st.changedAt, changed = true, now, true
		}
	}
	return changed
}

// GraceLeft returns how long a removal read from the store now is held back.
func (rg *Registry) GraceLeft(now time.Time) time.Duration {
	if rg.recoveredAt.IsZero() {
		return 0
	}
	return max(0, recoveryGrace-now.Sub(rg.recoveredAt))
}

// PeerReached reports that the list of a peer matched the store at a time. A store that this node has
// lost before that is up again, whether or not it serves this node.
func (rg *Registry) PeerReached(now, synced time.Time) {
	if rg.storeDown && synced.After(rg.lostAt) {
		rg.StoreUp(now)
	}
}

// PeerGrace returns how long removals are held back that a peer reports which has seen no outage. A
// peer that is served only since the store was lost here can't tell whether a record was removed or
// expired in the outage.
func (rg *Registry) PeerGrace(now, servedSince time.Time) time.Duration {
	if rg.recoveredAt.IsZero() || !servedSince.After(rg.outageStart) {
		return 0
	}
	return rg.GraceLeft(now)
}

// SinceRecovery returns the time since an outage of the store ended, at least 1 ns, while
// records that expired in it may not be rewritten yet; otherwise 0.
func (rg *Registry) SinceRecovery(now time.Time) time.Duration {
	if age := now.Sub(rg.recoveredAt); age < recoveryGrace {
		return max(age, time.Nanosecond)
	}
	return 0
}

// NotePeerRecovery takes over the SinceRecovery of a peer from which this node has its list,
// unless the store served another peer in that outage.
func (rg *Registry) NotePeerRecovery(now time.Time, since time.Duration) {
	at := now.Add(-since)
	start := at.Add(-minOutage)
	if since > 0 && at.After(rg.recoveredAt) && !rg.servedThrough(start) {
		rg.recoveredAt, rg.outageStart = at, start
	}
}

// Put folds a status record read at off, which was written later than since. It returns true if the
// list or the status of a server changed. Records with an older offset, incarnation or sequence
// number are ignored.
func (rg *Registry) Put(now, since time.Time, off units.Offset, id units.VMID, in Status) bool {
	st := rg.entries[id]
	if st == nil {
		rg.entries[id] = &entry{Server: Server{ID: id, Status: in, ReadAt: now}, offset: off, changedAt: now, writtenSince: since}
		return true
	}
	if off <= st.offset {
		return false
	}
	st.offset = off
	if st.isNewerThan(&in) || st.isRemovedAfter(&in) {
		return st.drains(now, &in)
	}
	before, removed := st.Status, st.removed
	if !in.startsIncarnationAfter(&before, removed) && st.Draining {
		in.Draining = true // Draining is final for this incarnation.
	}
	st.Status, st.ReadAt, st.writtenSince = in, now, since
	st.removed, st.restored, st.removeAt, st.renewed = false, false, time.Time{}, nil
	before.Sequence = in.Sequence
	if before == in && !removed {
		return false
	}
	st.changedAt = now
	return true
}

// drains marks a server as draining that a later record of the same incarnation says to drain,
// whatever its sequence number: another writer may have written a larger one. It returns true if
// that is a change.
func (st *entry) drains(now time.Time, in *Status) bool {
	if !in.Draining || st.Draining || st.removed || in.StartUnixMS != st.StartUnixMS {
		return false
	}
	st.Draining, st.TimeLeft, st.changedAt = true, in.TimeLeft, now
	return true
}

// isNewerThan reports whether a record is from an earlier incarnation than the one held, or
// has a smaller sequence number within the same one.
func (st *entry) isNewerThan(in *Status) bool {
	if in.StartUnixMS != st.StartUnixMS {
		return in.StartUnixMS < st.StartUnixMS
	}
	return in.Sequence < st.Sequence && !in.startsIncarnationAfter(&st.Status, st.removed)
}

// isRemovedAfter reports whether a record that an older copy of the store had may be from before
// the server's removal.
func (st *entry) isRemovedAfter(in *Status) bool {
	return st.restored && in.StartUnixMS == st.StartUnixMS && in.Sequence <= st.Sequence
}

// startsIncarnationAfter reports whether a record is from a later incarnation than before.
// For servers that don't state their start time, a sequence number that restarts counts as a
// new incarnation if the server was removed or the number is at most 1.
func (ss *Status) startsIncarnationAfter(before *Status, removed bool) bool {
	if ss.StartUnixMS != before.StartUnixMS {
		return ss.StartUnixMS > before.StartUnixMS
	}
	return ss.StartUnixMS == 0 && ss.Sequence < before.Sequence && (removed || ss.Sequence <= 1)
}

// Remove folds a removal read at off and returns true if the list changed. hold is how long
// the removal is held back unless the server is draining, since its record may only have
// expired in an outage of the store.
func (rg *Registry) Remove(now time.Time, off units.Offset, id units.VMID, hold time.Duration) bool {
	st := rg.entries[id]
	if st == nil || st.removed || off <= st.offset {
		return false
	}
	st.offset = off
	if hold > 0 && !rg.hasLeft(now, st) {
		st.holdBack(now, hold)
		return false
	}
	st.removed, st.changedAt = true, now
	return true
}

// holdBack lets a removal take effect later.
func (st *entry) holdBack(now time.Time, hold time.Duration) {
	st.heldAt, st.removeAt, st.renewed = now, now.Add(hold), map[units.VMID]int{}
}

// hasLeft reports whether a server whose removal was read can't have expired: it drains, or its
// last record is more recent than that.
func (rg *Registry) hasLeft(now time.Time, st *entry) bool {
	return st.Draining || !st.writtenSince.IsZero() && now.Sub(st.writtenSince) < expiryHeartbeats*rg.heartbeat
}

// Renewed counts a record that a server has written after the removals that are held back.
func (rg *Registry) Renewed(off units.Offset, id units.VMID) {
	for _, st := range rg.entries {
		if !st.removeAt.IsZero() && !st.removed && off > st.offset && st.renewed != nil {
			st.renewed[id]++
		}
	}
}

// ApplyRenewals shortens the time for which removals are held back by the time for which the store
// has been up since, as the records of other servers show. It returns true if the list changed.
func (rg *Registry) ApplyRenewals(now time.Time) bool {
	if rg.heartbeat <= 0 {
		return false
	}
	live := 0
	for _, st := range rg.entries {
		if !st.removed && st.removeAt.IsZero() {
			live++
		}
	}
	changed := false
	for _, st := range rg.entries {
		if st.removed || st.removeAt.IsZero() || live == 0 {
			continue
		}
		if latest := st.heldAt.Add(recoveryGrace - rg.upSince(st, live)); latest.Before(st.removeAt) {
			st.removeAt = latest
		}
		if !now.Before(st.removeAt) {
			st.removed, st.changedAt, changed = true, now, true
		}
	}
	return changed
}

// upSince returns for how long the store has been up at least since a removal that is held back.
// Servers renew their records once a heartbeat, but for one right after an outage.
func (rg *Registry) upSince(st *entry, live int) time.Duration {
	count := 0
	for _, num := range st.renewed {
		count += min(num, 2+int(recoveryGrace/rg.heartbeat)) // No single server decides.
	}
	return max(0, time.Duration(float64(count)/float64(live)*float64(rg.heartbeat))-rg.heartbeat)
}

// HeldBackIDs returns the servers whose removals are held back.
func (rg *Registry) HeldBackIDs() (out []units.VMID) {
	for id, st := range rg.entries {
		if !st.removed && !st.removeAt.IsZero() {
			out = append(out, id)
		}
	}
	return out
}

// HeldBack returns how much longer the removal of a server is held back, 0 if it isn't.
func (rg *Registry) HeldBack(now time.Time, id units.VMID) time.Duration {
	if st := rg.entries[id]; st != nil && !st.removed && !st.removeAt.IsZero() {
		return max(st.removeAt.Sub(now), time.Nanosecond)
	}
	return 0
}

// Tick applies removals whose delay is over and drops servers that were removed more than
// tombstoneTime ago. It returns true if the list changed.
func (rg *Registry) Tick(now time.Time) bool {
	changed := false
	for id, st := range rg.entries {
		if !st.removed && !st.removeAt.IsZero() && !rg.storeDown && now.After(st.removeAt) {
			st.removed, st.changedAt, changed = true, now, true
		}
		if st.removed && now.Sub(st.changedAt) > tombstoneTime {
			delete(rg.entries, id)
		}
	}
	return changed
}

// Reconcile folds a listing of all servers as of offset end: servers that aren't in it are
// removed, or held back for what hold returns as in Remove, unless a later record of them was read.
// It returns true if the list changed.
func (rg *Registry) Reconcile(now time.Time, listed map[units.VMID]bool, end units.Offset, hold func(units.VMID) time.Duration) bool {
	changed := false
	for id, st := range rg.entries {
		if listed[id] || st.removed || st.offset >= end {
			continue
		}
		st.offset = end - 1 // An older record than the listing must not bring the server back.
		if grace := hold(id); grace > 0 && !rg.hasLeft(now, st) {
			st.holdBack(now, grace)
			continue
		}
		st.removed, st.changedAt, changed = true, now, true
	}
	return changed
}

// List returns the servers that are not removed, draining ones included, in order of id.
func (rg *Registry) List() []Server {
	out := make([]Server, 0, len(rg.entries))
	for _, st := range rg.entries {
		if !st.removed {
			out = append(out, st.Server)
		}
	}
	sort.Slice(out, func(one, two int) bool { return out[one].ID < out[two].ID })
	return out
}
