package entry

import (
	"sort"

	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/units"
)

// maxRemovals bounds the number of removals kept for peers.
const maxRemovals = 512

// records holds the newest record of each backend server, to be passed on to peers.
type records struct {
	byKey map[string]record
	// removals are the keys and offsets of removed servers, oldest first.
	removals []stream.Keyed
	// knownFrom is the offset from which on every removal is known. Earlier ones were evicted,
	// or a listing took their place.
	knownFrom units.Offset
}

type record struct {
	stream.Keyed
	// changedAt is the offset of the latest record that changed the server's state. Most
	// records only renew the previous one.
	changedAt units.Offset
}

func newRecords() records { return records{byKey: map[string]record{}} }

// isOld reports whether a record tells nothing new: it or a later one of the same server is
// known, or the server was removed later by a removal that isn't known any more.
func (re *records) isOld(it stream.Keyed) bool {
	if have, ok := re.byKey[it.Key]; ok {
		return have.Offset >= it.Offset
	}
	return it.Offset < re.knownFrom
}

// reconcile applies a listing of all servers as of offset end: the records of other servers
// are dropped, since they were removed before it.
func (re *records) reconcile(listed map[units.VMID]bool, end units.Offset) {
	for key, rec := range re.byKey {
		if rec.Offset < end && !listed[units.VMID(key)] {
			delete(re.byKey, key)
		}
	}
	re.knownFrom = max(re.knownFrom, end)
}

// put stores a record; isChange tells whether it changes the server's state. A record that
// follows a removal always counts as a change, since the removal may still be held back.
func (re *records) put(it stream.Keyed, isChange bool) {
	have, ok := re.byKey[it.Key]
	changed := have.changedAt
	if isChange || !ok || len(have.Value) == 0 {
		changed = it.Offset
	}
	re.byKey[it.Key] = record{Keyed: it, changedAt: changed}
	if len(it.Value) == 0 {
		re.removals = append(re.removals, stream.Keyed{Key: it.Key, Offset: it.Offset})
	}
	for len(re.removals) > maxRemovals {
		old := re.removals[0]
		re.removals = re.removals[1:]
		if re.byKey[old.Key].Offset == old.Offset {
			delete(re.byKey, old.Key)
		}
		re.knownFrom = max(re.knownFrom, old.Offset+1)
	}
}

// noteChange marks a record that a peer has sent as a change: the peer may have left out a removal before it,
// which this node then has not seen, but another one has.
func (re *records) noteChange(it stream.Keyed) {
	if rec := re.byKey[it.Key]; rec.Offset == it.Offset {
		rec.changedAt = it.Offset
		re.byKey[it.Key] = rec
	}
}

// since returns the newest record of each server that changed at off or later, by offset. If
// not all removals from off on are known, it returns the newest record of every server and
// sets listing.
func (re *records) since(off units.Offset) (out []stream.Keyed, listing bool) {
	if off < re.knownFrom {
		return re.all(), true
	}
	for _, rec := range re.byKey {
		if rec.changedAt >= off {
			out = append(out, rec.Keyed)
		}
	}
	return sortByOffset(out), false
}

// all returns the newest record of every server, by offset.
func (re *records) all() []stream.Keyed {
	out := make([]stream.Keyed, 0, len(re.byKey))
	for _, rec := range re.byKey {
		out = append(out, rec.Keyed)
	}
	return sortByOffset(out)
}

func sortByOffset(list []stream.Keyed) []stream.Keyed {
	sort.Slice(list, func(one, two int) bool { return list[one].Offset < list[two].Offset })
	return list
}
