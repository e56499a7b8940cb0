package origin_test

import (
	"fmt"
	"testing"
	"time"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/origin"
)

// TestArchiveKeepsOrigins checks that what is written to the store is found again, and nothing else.
func TestArchiveKeepsOrigins(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var list []origin.Record
	for num := range 1000 {
		list = append(list, origin.Record{ID: units.RequestID(fmt.Sprintf("%016x", num)), Origin: origin.Origin{
			Service: units.TargetID(fmt.Sprint("service-", num%2)), Version: units.SoftwareVersion(fmt.Sprint("v", num%3)),
		}})
	}
	raw, err := origin.EncodeBatch(list)
	if err != nil {
		t.Fatal(err)
	}
	if most := 12 * len(list); len(raw) > most {
		t.Errorf("%d origins take %d bytes, want %d at most", len(list), len(raw), most)
	}
	ar := origin.NewArchive()
	for range 2 { // A batch may be written twice.
		if err := ar.AddBatch(now, raw); err != nil {
			t.Fatal(err)
		}
	}
	for _, re := range list {
		if og, ok := ar.Find(now, re.ID); !ok || og != re.Origin {
			t.Fatalf("%s: have %v, found %t, want %v", re.ID, og, ok, re.Origin)
		}
	}
	if og, ok := ar.Find(now, "other"); ok {
		t.Errorf("an id that was not written has the origin %v", og)
	}
	_, _ = ar.Find(now.Add(2*time.Minute), "other")
	if _, ok := ar.Find(now.Add(4*time.Minute), list[0].ID); ok {
		t.Error("an origin is kept for four minutes, want it forgotten")
	}
}

// TestArchiveRejectsBatch checks that nothing of a batch that can't be read is kept.
func TestArchiveRejectsBatch(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	good, err := origin.EncodeBatch([]origin.Record{{ID: "a", Origin: origin.Origin{Service: "s", Version: "v"}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ name, raw string }{
		{"no JSON", "x"},
		{"cut short", string(good[:len(good)-3])},
		{"part of a hash", `{"s":{"v":"AAAA"}}`},
		{"no base64", `{"s":{"v":"***"}}`},
		{"another type", `{"s":["v"]}`},
		{"nested too deeply", `{"s":{"v":{"w":{"x":{}}}}}`},
		{"too long", `{"s":{"v":"` + string(make([]byte, 2<<20)) + `"}}`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ar := origin.NewArchive()
			if err := ar.AddBatch(now, []byte(tt.raw)); err == nil {
				t.Error("have no error, want one")
			}
			if _, ok := ar.Find(now, "a"); ok {
				t.Error("have an origin of an unreadable batch")
			}
		})
	}
}

// FuzzAddBatch checks that no bytes of another writer end the process.
func FuzzAddBatch(f *testing.F) {
	f.Add([]byte(`{"s":{"v":"AAAAAAAAAAA="}}`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_ = origin.NewArchive().AddBatch(time.Unix(1_000_000, 0), raw) // An error is as good as none.
	})
}
