package entry

import (
	"sort"

	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/units"
)

// mostRemoved bounds the removals that are remembered for peers.
const mostRemoved = 512

// records are the newest records about backend servers, kept to be passed on to peers.
type records struct {
	byKey map[string]record
	// removed are the offsets and keys of removals, oldest first.
	removed []stream.Keyed
	// forgotten is the offset of the latest removal that is no longer remembered.
	forgotten units.Offset
}

type record struct {
	stream.Keyed
	// changed is the offset of the latest record that said something new of the server.
	// Most records only renew the one before.
	changed units.Offset
}

func newRecords() records { return records{byKey: map[string]record{}, forgotten: -1} }

// has tells whether a record is known, or a later one about the same server.
func (re *records) has(it stream.Keyed) bool {
	have, ok := re.byKey[it.Key]
	return ok && have.Offset >= it.Offset
}

// put keeps a record. news tells whether it says something new. A record that follows a
// removal always does: the removal may not be believed yet.
func (re *records) put(it stream.Keyed, news bool) {
	have, ok := re.byKey[it.Key]
	changed := have.changed
	if news || !ok || len(have.Value) == 0 {
		changed = it.Offset
	}
	re.byKey[it.Key] = record{Keyed: it, changed: changed}
	if len(it.Value) == 0 {
		re.removed = append(re.removed, stream.Keyed{Key: it.Key, Offset: it.Offset})
	}
	for len(re.removed) > mostRemoved {
		old := re.removed[0]
		re.removed = re.removed[1:]
		if re.byKey[old.Key].Offset == old.Offset {
			delete(re.byKey, old.Key)
		}
		re.forgotten = max(re.forgotten, old.Offset)
	}
}

// since returns what is new from an offset on, in order. If some of it is no longer
// remembered, listing is set and it returns the newest record of each server.
func (re *records) since(off units.Offset) (out []stream.Keyed, listing bool) {
	listing = off <= re.forgotten
	for _, rec := range re.byKey {
		if rec.changed >= off || listing {
			out = append(out, rec.Keyed)
		}
	}
	sort.Slice(out, func(one, two int) bool { return out[one].Offset < out[two].Offset })
	return out, listing
}
