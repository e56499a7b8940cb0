package drain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lycheepick/internal/fake/seed"
	"lycheepick/internal/rule/drain"
	"lycheepick/internal/rule/units"
)

var now = time.Unix(0, 0)

func source(left time.Duration, bandwidth units.BytesPerSecond) drain.Source {
	return drain.Source{VM: "src", Deadline: now.Add(left + drain.Margin), Step: 10 * time.Millisecond, Bandwidth: bandwidth, TokenSize: 1}
}

func Example() {
	plan := drain.Plan(now, []drain.Source{source(2*time.Second, 1000)}, []drain.Running{
		{Request: "short", VM: "src", Context: 50, Remaining: 100},
		{Request: "long", VM: "src", Context: 1500, Remaining: 900},
		{Request: "longer", VM: "src", Context: 1800, Remaining: 900},
	}, []drain.Destination{{VM: "dst", FreeSlots: 4}})
	for _, de := range plan {
		fmt.Println(de.Request, de.Action, de.To, de.Recomputed)
	}
	// Output:
	// short finish  0
	// longer move dst 0
	// long resume dst 1500
}

func totalRecomputed(plan []drain.Decision) (total units.Tokens) {
	for _, de := range plan {
		total += de.Recomputed
	}
	return total
}

// TestPlanAgainstTheOptimum checks that the two greedy passes save at least half of the tokens
// that an exhaustive search saves.
func TestPlanAgainstTheOptimum(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(rt, "requests")
		var running []drain.Running
		var sizes []units.Tokens
		all := units.Tokens(0)
		for num := range count {
			size := units.Tokens(rapid.IntRange(100, 4000).Draw(rt, "context"))
			running = append(running, drain.Running{Request: units.RequestID(fmt.Sprint(num)), VM: "src", Context: size, Remaining: 10000})
			sizes = append(sizes, size)
			all += size
		}
		budget := units.Tokens(rapid.IntRange(100, 9000).Draw(rt, "budget"))
		plan := drain.Plan(now, []drain.Source{source(time.Second, units.BytesPerSecond(budget))}, running, []drain.Destination{{VM: "dst", FreeSlots: 100}})
		recomputed, want := totalRecomputed(plan), drain.Optimum(sizes, budget)
		if recomputed < want {
			rt.Fatalf("the plan recomputes %d tokens, fewer than the optimum of %d", recomputed, want)
		}
		if saved, best := all-recomputed, all-want; saved*2 < best {
			rt.Fatalf("saved %d of %d tokens, want at least half of the optimum, which saves %d", saved, all, best)
		}
	})
}

// TestPlanIsWhole checks that every request gets one decision, moves fit the bandwidth, and no
// destination gets more than its free slots while another has some.
func TestPlanIsWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sources := []drain.Source{source(time.Second, 2000), {VM: "two", Deadline: now, Step: time.Millisecond, Bandwidth: 10, TokenSize: 1}}
		dests := []drain.Destination{{VM: "d1", FreeSlots: 3}, {VM: "d2", FreeSlots: 2}, {VM: "d3"}}
		var running []drain.Running
		for num := range rapid.IntRange(0, 12).Draw(rt, "requests") {
			running = append(running, drain.Running{
				Request: units.RequestID(fmt.Sprint(num)), VM: rapid.SampledFrom([]units.VMID{"src", "two"}).Draw(rt, "vm"),
				Context: units.Tokens(rapid.IntRange(1, 3000).Draw(rt, "context")), Remaining: units.Tokens(rapid.IntRange(1, 300).Draw(rt, "left")),
			})
		}
		plan := drain.Plan(now, sources, running, dests)
		seen := map[units.RequestID]bool{}
		used := map[units.VMID]int{}
		size := map[units.VMID]units.Tokens{}
		for _, de := range plan {
			if seen[de.Request] {
				rt.Fatalf("request %s has two decisions", de.Request)
			}
			seen[de.Request] = true
			if de.Action != drain.Finish {
				used[de.To]++
			}
			for _, ru := range running {
				if ru.Request == de.Request && de.Action == drain.Move {
					size[ru.VM] += ru.Context
				}
			}
		}
		if len(plan) != len(running) {
			rt.Fatalf("%d decisions for %d requests", len(plan), len(running))
		}
		if size["src"] > 2000 || size["two"] > 0 {
			rt.Fatalf("moves of %d and %d bytes do not fit", size["src"], size["two"])
		}
		total := used["d1"] + used["d2"] + used["d3"]
		if used["d3"] > 0 && total <= 5 {
			rt.Fatalf("a full destination got requests while others had free slots: %v", used)
		}
	})
}

func TestDestinationsAreSpread(t *testing.T) {
	gm := gomega.NewWithT(t)
	var running []drain.Running
	for num := range 12 {
		running = append(running, drain.Running{Request: units.RequestID(fmt.Sprint(num)), VM: "src", Context: 100, Remaining: 10000})
	}
	plan := drain.Plan(now, []drain.Source{source(0, 1)}, running, []drain.Destination{{VM: "d1", FreeSlots: 9}, {VM: "d2", FreeSlots: 9}, {VM: "d3", FreeSlots: 9}})
	used := map[units.VMID]int{}
	for _, de := range plan {
		used[de.To]++
	}
	gm.Expect(used).To(gomega.Equal(map[units.VMID]int{"d1": 4, "d2": 4, "d3": 4}))
}

func TestResumesWithoutDestination(t *testing.T) {
	gm := gomega.NewWithT(t)
	plan := drain.Plan(now, []drain.Source{source(0, 1e9)}, []drain.Running{{Request: "one", VM: "src", Context: 9, Remaining: 9}}, nil)
	gm.Expect(plan).To(gomega.HaveLen(1))
	gm.Expect(plan[0].Action).To(gomega.Equal(drain.Resume))
}
