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
	// evictedTo is the offset of the latest removal that was evicted, -1 if there is none.
	evictedTo units.Offset
}

type record struct {
	stream.Keyed
	// changedAt is the offset of the latest record that changed the server's state. Most
	// records only renew the previous one.
	changedAt units.Offset
}

func newRecords() records { return records{byKey: map[string]record{}, evictedTo: -1} }

// has reports whether it, or a later record of the same server, is known.
func (re *records) has(it stream.Keyed) bool {
	have, ok := re.byKey[it.Key]
	return ok && have.Offset >= it.Offset
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
		re.evictedTo = max(re.evictedTo, old.Offset)
	}
}

// since returns the newest record of each server that changed at off or later, by offset. If
// removals from off on were evicted, it returns the newest record of every server and sets
// listing.
func (re *records) since(off units.Offset) (out []stream.Keyed, listing bool) {
	listing = off <= re.evictedTo
	for _, rec := range re.byKey {
		if rec.changedAt >= off || listing {
			out = append(out, rec.Keyed)
		}
	}
	sort.Slice(out, func(one, two int) bool { return out[one].Offset < out[two].Offset })
	return out, listing
}
