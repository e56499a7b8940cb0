package entry

import (
	"fmt"
	"testing"

	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/units"
)

func TestRecordsSince(t *testing.T) {
	full := []byte("{}")
	for _, tt := range []struct {
		name string
		play func(re *records)
		from units.Offset
		want string
	}{
		{"a server record", func(re *records) {
			re.put(stream.Keyed{Key: "a", Value: full, Offset: 3}, true)
		}, 2, "a@3 "},
		{"a record before the offset", func(re *records) {
			re.put(stream.Keyed{Key: "a", Value: full, Offset: 3}, true)
		}, 4, ""},
		{"a renewal is no change", func(re *records) {
			re.put(stream.Keyed{Key: "a", Value: full, Offset: 3}, true)
			re.put(stream.Keyed{Key: "a", Value: full, Offset: 5}, false)
		}, 4, ""},
		{"a peer without the record gets the latest renewal", func(re *records) {
			re.put(stream.Keyed{Key: "a", Value: full, Offset: 3}, true)
			re.put(stream.Keyed{Key: "a", Value: full, Offset: 5}, false)
		}, 2, "a@5 "},
		{"a removal", func(re *records) {
			re.put(stream.Keyed{Key: "a", Value: full, Offset: 3}, true)
			re.put(stream.Keyed{Key: "a", Offset: 5}, true)
		}, 4, "a@5 "},
		{"a record after a removal that was held back", func(re *records) {
			re.put(stream.Keyed{Key: "a", Value: full, Offset: 3}, true)
			re.put(stream.Keyed{Key: "a", Offset: 5}, true)
			re.put(stream.Keyed{Key: "a", Value: full, Offset: 6}, false)
		}, 6, "a@6 "},
		{"a record from before a listing that lacks its server", func(re *records) {
			re.reconcile(map[units.VMID]bool{}, 4)
			if it := (stream.Keyed{Key: "a", Value: full, Offset: 3}); !re.isOld(it) {
				re.put(it, true)
			}
		}, 4, ""},
		{"a server that a listing lacks", func(re *records) {
			re.put(stream.Keyed{Key: "a", Value: full, Offset: 3}, true)
			re.put(stream.Keyed{Key: "b", Value: full, Offset: 4}, true)
			re.reconcile(map[units.VMID]bool{}, 4)
		}, 4, "b@4 "},
	} {
		t.Run(tt.name, func(t *testing.T) {
			re := newRecords()
			tt.play(&re)
			items, listing := re.since(tt.from)
			have := ""
			for _, it := range items {
				have += fmt.Sprintf("%s@%d ", it.Key, it.Offset)
			}
			if have != tt.want || listing {
				t.Errorf("have %q, listing %t, want %q", have, listing, tt.want)
			}
		})
	}
}

// A listing has no removals, so a peer that asks from an offset before it has to get the whole list.
func TestRemovalsBeforeListing(t *testing.T) {
	re := newRecords()
	re.put(stream.Keyed{Key: "a", Value: []byte("{}"), Offset: 3}, true)
	re.reconcile(map[units.VMID]bool{"a": true}, 10)
	for off, want := range map[units.Offset]bool{0: true, 9: true, 10: false} {
		if _, have := re.since(off); have != want {
			t.Errorf("from offset %d: have the whole list %t, want %t", off, have, want)
		}
	}
}

// A peer that asks from an offset before the last evicted removal has to get the whole list;
// otherwise it would keep servers that have been removed.
func TestOldRemovalsAreForgotten(t *testing.T) {
	re := newRecords()
	re.put(stream.Keyed{Key: "stays", Value: []byte("{}"), Offset: 0}, true)
	for num := range units.Offset(maxRemovals + 10) {
		re.put(stream.Keyed{Key: fmt.Sprint(num), Offset: num + 1}, true)
	}
	if have := len(re.byKey); have != maxRemovals+1 {
		t.Errorf("records kept: have %d, want %d", have, maxRemovals+1)
	}
	if items, listing := re.since(5); !listing || items[0].Key != "stays" {
		t.Errorf("listing: have %t from %v, want the whole list", listing, items[0])
	}
	if _, listing := re.since(11); listing {
		t.Error("have the whole list for an offset after the evicted removals, want changes only")
	}
}

// TestRenewalAfterUnseenRemovalIsPassedOn guards against a removal that one node has read and whose end, a record
// that renews the server, another node doesn't pass on, since it got that record alone.
func TestRenewalAfterUnseenRemovalIsPassedOn(t *testing.T) {
	re := newRecords()
	re.put(stream.Keyed{Key: "s", Offset: 5, Value: []byte("up")}, true)
	renewal := stream.Keyed{Key: "s", Offset: 9, Value: []byte("up")} // The removal at 7 was left out.
	re.put(renewal, false)
	re.noteChange(renewal)
	if list, listing := re.since(8); listing || len(list) != 1 || list[0].Offset != 9 {
		t.Errorf("have %v, listing %t, want the record at 9", list, listing)
	}
}
