package origin_test

import (
	"testing"
	"time"

	"lycheepick/internal/state/origin"
)

var epoch = time.Unix(1_000_000, 0)

// TestRecordsAreKept checks that records are kept for longer than callers take to come back, and
// not forever.
func TestRecordsAreKept(t *testing.T) {
	bo := origin.NewBook()
	first := origin.Record{ID: "r", Origin: origin.Origin{Service: "app", Version: "1"}}
	bo.Add(epoch, first)
	bo.Add(epoch, origin.Record{ID: "r", Origin: origin.Origin{Service: "app", Version: "2"}})
	for _, tt := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {80 * time.Second, true}, {100 * time.Second, true}, {10 * time.Minute, false}} {
		og, ok := bo.Find(epoch.Add(tt.after), "r")
		if ok != tt.want || (ok && og != first.Origin) {
			t.Errorf("after %s: have %v, %t, want %v, %t", tt.after, og, ok, first.Origin, tt.want)
		}
	}
	if _, ok := bo.Find(epoch, "other"); ok {
		t.Error("found a record that was never added")
	}
}

// TestVersionsAreRemembered checks that a version counts for as long as streams that it began may be
// taken up again.
func TestVersionsAreRemembered(t *testing.T) {
	ve := origin.NewVersions()
	if _, only := ve.Only(epoch, "app"); only {
		t.Error("a service without servers has one version")
	}
	ve.See(epoch, "app", "1")
	ve.See(epoch.Add(time.Second), "app", "2")
	ve.See(epoch, "other", "3")
	if _, only := ve.Only(epoch.Add(time.Minute), "app"); only {
		t.Error("the version of servers that left a minute ago doesn't count")
	}
	if have := ve.Several(epoch.Add(time.Minute)); len(have) != 1 || len(have["app"]) != 2 {
		t.Errorf("have %v reported, want the two versions of app", have)
	}
	if version, only := ve.Only(epoch.Add(time.Minute), "other"); !only || version != "3" {
		t.Errorf("have %q, %t, want 3 alone", version, only)
	}
	peer := origin.NewVersions()
	for minute := range 30 { // What two nodes tell each other does not keep a version alive.
		now := epoch.Add(time.Duration(minute) * time.Minute)
		peer.See(now, "app", "2")
		peer.Merge(now, ve.Several(now))
		ve.Merge(now, peer.Several(now))
		if version, only := peer.Only(now, "app"); only != (minute > 10) || (only && version != "2") {
			t.Fatalf("after %d minutes: have %q, %t", minute, version, only)
		}
	}
}
