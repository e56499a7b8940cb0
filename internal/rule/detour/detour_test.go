package detour_test

import (
	"fmt"
	"testing"
	"time"

	"lycheepick/internal/rule/detour"
	"lycheepick/internal/rule/units"
)

var servers = []units.VMID{"a", "b", "c", "d"}

// world is a path with its servers under a virtual clock.
type world struct {
	pa  *detour.Path
	now time.Time
	// accepts tells whether servers accept connections, waiting at how many requests wait.
	accepts func(units.VMID) bool
	waiting int
	probes  int
	cuts    int
}

func newWorld() *world {
	return &world{pa: detour.NewPath(), now: time.Unix(1000, 0), accepts: func(units.VMID) bool { return true }}
}

// run checks the path every 50 ms for a time.
func (wo *world) run(du time.Duration) {
	const step = 50 * time.Millisecond
	for end := wo.now.Add(du); wo.now.Before(end); wo.now = wo.now.Add(step) {
		for _, id := range wo.pa.Next(wo.now, servers, func(time.Duration) int { return wo.waiting }) {
			wo.probes++
			if st, changed := wo.pa.Probed(wo.now, wo.accepts(id)); changed && st == detour.Cut {
				wo.cuts++
			}
		}
	}
}

func none(units.VMID) bool { return false }

func TestPath(t *testing.T) {
	for _, tt := range []struct {
		name string
		play func(wo *world)
		want detour.State
		// probes is the most connections that are opened.
		probes int
	}{
		{"nothing happens", func(wo *world) { wo.run(time.Minute) }, detour.Open, 0},
		{"one server fails", func(wo *world) {
			for range 20 {
				wo.pa.Failed(wo.now, "a")
				wo.run(100 * time.Millisecond)
			}
		}, detour.Open, 0},
		{"two fail, with answers in between", func(wo *world) {
			for range 20 {
				wo.pa.Failed(wo.now, "a")
				wo.pa.Answered(wo.now)
				wo.pa.Failed(wo.now, "b")
				wo.pa.Answered(wo.now)
				wo.run(100 * time.Millisecond)
			}
		}, detour.Open, 0},
		{"two fail, the others accept connections", func(wo *world) {
			wo.accepts = func(id units.VMID) bool { return id > "b" }
			wo.pa.Failed(wo.now, "a")
			wo.pa.Failed(wo.now, "b")
			wo.run(time.Second)
		}, detour.Open, 3},
		{"all fail", func(wo *world) {
			wo.accepts = none
			wo.pa.Failed(wo.now, "a")
			wo.pa.Failed(wo.now, "b")
			wo.run(100 * time.Millisecond)
		}, detour.Cut, 3},
		{"requests wait and connections hang", func(wo *world) {
			wo.accepts, wo.waiting = none, 2
			wo.run(100 * time.Millisecond)
		}, detour.Cut, 3},
		{"requests wait for busy servers", func(wo *world) {
			wo.waiting = 4
			wo.run(20 * time.Second)
		}, detour.Open, 20},
		{"the path comes back", func(wo *world) {
			wo.accepts, wo.waiting = none, 2
			wo.run(5 * time.Second)
			wo.accepts, wo.waiting = newWorld().accepts, 0
			wo.run(time.Second)
		}, detour.Open, 40},
		{"another path is cut", func(wo *world) {
			for range 100 {
				wo.pa.Doubt(wo.now)
				wo.run(50 * time.Millisecond)
			}
		}, detour.Open, 9},
	} {
		t.Run(tt.name, func(t *testing.T) {
			wo := newWorld()
			tt.play(wo)
			if wo.pa.State() != tt.want || wo.probes > tt.probes {
				t.Errorf("have state %d after %d probes, want %d after %d at most", wo.pa.State(), wo.probes, tt.want, tt.probes)
			}
		})
	}
}

// TestPathDoesNotFlap guards against a node that goes straight and back each time a link comes
// and goes.
func TestPathDoesNotFlap(t *testing.T) {
	wo := newWorld()
	for num := range 20 {
		wo.waiting = 2
		if num%2 == 0 {
			wo.accepts = none
		} else {
			wo.accepts, wo.waiting = newWorld().accepts, 0
		}
		wo.run(time.Second)
	}
	if wo.cuts > 4 {
		t.Errorf("have %d cuts found of 10, want 4 at most", wo.cuts)
	}
	wo.run(3 * time.Second)
	if wo.pa.State() != detour.Open {
		t.Error("the path is not used though it has worked for three seconds")
	}
}

// TestOpenConnectionsAreUsed guards against detours while connections that are open still answer,
// and against waiting on them once they don't.
func TestOpenConnectionsAreUsed(t *testing.T) {
	wo := newWorld()
	wo.accepts = none
	wo.pa.Answered(wo.now)
	wo.pa.Refused(wo.now, "a")
	wo.pa.Refused(wo.now, "b")
	wo.run(100 * time.Millisecond)
	if wo.pa.State() != detour.Cut || !wo.pa.UsesOpenConnections() {
		t.Fatal("open connections are not used")
	}
	wo.pa.Failed(wo.now, "a")
	if wo.pa.UsesOpenConnections() {
		t.Error("open connections are used though they fail")
	}
}

// ExampleNodes_Choose shows that nodes are passed over that declined a request, and that those are
// preferred then that took one.
func ExampleNodes_Choose() {
	ns, now := detour.NewNodes(1), time.Unix(1000, 0)
	load := func(units.VMID) int { return 0 }
	ns.Declined(now, "a", "app")
	ns.Took(now, "c", "app")
	fmt.Println(ns.Choose(now, "app", []units.VMID{"a", "b"}, nil, load))
	asked := map[units.VMID]bool{"b": true}
	fmt.Println(ns.Choose(now, "app", []units.VMID{"a", "b", "c", "d"}, asked, load))
	fmt.Println(ns.Choose(now, "app", []units.VMID{"a"}, asked, load))
	asked["a"] = true
	fmt.Println(ns.Choose(now, "app", []units.VMID{"a", "b"}, asked, load))
	fmt.Println(ns.Hints(now, "app"))
	// Output:
	// b true
	// c true
	// a true
	//  false
	// [c]
}

// TestLoadIsSpread guards against nodes that all send their requests through the same one.
func TestLoadIsSpread(t *testing.T) {
	ns, now := detour.NewNodes(1), time.Unix(1000, 0)
	nodes := []units.VMID{"a", "b", "c", "d"}
	counts := map[units.VMID]int{}
	for range 400 {
		id, _ := ns.Choose(now, "app", nodes, nil, func(id units.VMID) int {
			if id == "a" {
				return 1000
			}
			return 0
		})
		counts[id]++
		ns.Began(id)
	}
	for _, id := range nodes[1:] {
		if counts[id] < 100 {
			t.Errorf("%s gets %d of 400 requests, want 100 or more", id, counts[id])
		}
	}
	if counts["a"] > 20 {
		t.Errorf("the loaded node gets %d of 400 requests", counts["a"])
	}
}
