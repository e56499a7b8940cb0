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
	// removeAt is when a removal that was held back takes effect; zero if there is none.
	removeAt  time.Time
	changedAt time.Time
}

// Registry is the list of backend servers. It is not safe for concurrent use.
type Registry struct {
	nextOffset units.Offset
	entries    map[units.VMID]*entry
	// recoveredAt is when the latest outage of the store ended.
	recoveredAt time.Time
	storeDown   bool
	// lostAt is when the store became unreachable; it is valid while storeDown is set.
	lostAt time.Time
}

// NewRegistry returns a registry without servers, at offset 0.
func NewRegistry() *Registry { return &Registry{entries: map[units.VMID]*entry{}} }

// NextOffset returns the offset to read from, as set by SkipTo.
func (rg *Registry) NextOffset() units.Offset { return rg.nextOffset }

// SkipTo reports that all records before off are folded. It never moves the offset back.
func (rg *Registry) SkipTo(off units.Offset) { rg.nextOffset = max(rg.nextOffset, off) }

// StoreDown reports that the store is unreachable for this node.
func (rg *Registry) StoreDown(now time.Time) {
	if !rg.storeDown {
		rg.lostAt = now
	}
	rg.storeDown = true
}

// StoreUp reports that the store is reachable for this node. It returns true if that ends an
// outage.
func (rg *Registry) StoreUp(now time.Time) (outage bool) {
	outage = rg.storeDown && now.Sub(rg.lostAt) >= minOutage
	if outage {
		rg.recoveredAt = now
	}
	rg.storeDown = false
	return outage
}

// PeerReachedStore reports that the store answered a peer node at a time. If that was after
// this node lost its connection, the store had no outage and no record has expired.
func (rg *Registry) PeerReachedStore(at time.Time) {
	if rg.storeDown && at.After(rg.lostAt) {
		rg.storeDown = false
	}
}

// SinceRecovery returns the time since an outage of the store ended, at least 1 ns, while
// records that expired in it may not be rewritten yet; otherwise 0.
func (rg *Registry) SinceRecovery(now time.Time) time.Duration {
	if age := now.Sub(rg.recoveredAt); age < recoveryGrace {
		return max(age, time.Nanosecond)
	}
	return 0
}

// NotePeerRecovery takes over the SinceRecovery of the peer that reads the store for this
// node.
func (rg *Registry) NotePeerRecovery(now time.Time, since time.Duration) {
	if at := now.Add(-since); since > 0 && at.After(rg.recoveredAt) {
		rg.recoveredAt = at
	}
}

// Put folds a status record read at off. It returns true if the list or the status of a
// server changed. Records with an older offset, incarnation or sequence number are ignored.
func (rg *Registry) Put(now time.Time, off units.Offset, id units.VMID, in Status) bool {
	st := rg.entries[id]
	if st == nil {
		rg.entries[id] = &entry{Server: Server{ID: id, Status: in, ReadAt: now}, offset: off, changedAt: now}
		return true
	}
	if off <= st.offset {
		return false
	}
	st.offset = off
	if st.isNewerThan(&in) {
		return false
	}
	before, removed := st.Status, st.removed
	if !in.startsIncarnationAfter(&before, removed) && st.Draining {
		in.Draining = true // Draining is final for this incarnation.
	}
	st.Status, st.ReadAt = in, now
	st.removed, st.removeAt = false, time.Time{}
	before.Sequence = in.Sequence
	if before == in && !removed {
		return false
	}
	st.changedAt = now
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

// startsIncarnationAfter reports whether a record is from a later incarnation than before.
// For servers that don't state their start time, a sequence number that restarts counts as a
// new incarnation if the server was removed or the number is at most 1.
func (ss *Status) startsIncarnationAfter(before *Status, removed bool) bool {
	if ss.StartUnixMS != before.StartUnixMS {
		return ss.StartUnixMS > before.StartUnixMS
	}
	return ss.StartUnixMS == 0 && ss.Sequence < before.Sequence && (removed || ss.Sequence <= 1)
}

// Remove folds a removal read at off and returns true if the list changed. During an outage
// of the store and recoveryGrace after it, the removal of a server that isn't draining is
// held back, since the server's record may only have expired.
func (rg *Registry) Remove(now time.Time, off units.Offset, id units.VMID) bool {
	st := rg.entries[id]
	if st == nil || st.removed || off <= st.offset {
		return false
	}
	st.offset = off
	if !st.Draining && (rg.storeDown || now.Sub(rg.recoveredAt) < recoveryGrace) {
		st.removeAt = rg.recoveredAt.Add(recoveryGrace)
		if rg.storeDown {
			st.removeAt = now.Add(recoveryGrace)
		}
		return false
	}
	st.removed, st.changedAt = true, now
	return true
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

// Reconcile folds a complete listing of the store: servers that aren't in it are removed,
// or held back as in Remove shortly after an outage. It returns true if the list changed.
func (rg *Registry) Reconcile(now time.Time, listed map[units.VMID]bool) bool {
	changed := false
	for id, st := range rg.entries {
		if listed[id] || st.removed {
			continue
		}
		if !st.Draining && now.Sub(rg.recoveredAt) < recoveryGrace {
			st.removeAt = rg.recoveredAt.Add(recoveryGrace)
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
