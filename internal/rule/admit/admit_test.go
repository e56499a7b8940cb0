package admit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lycheepick/internal/fake/seed"
	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/table"
)

func row(name string) table.RowKey { return table.RowKey{Customer: units.CustomerID(name)} }

// serve runs a target of one slot, where work of cost 1 takes a second, for this many rounds
// with rows that always have a request waiting. It returns the work done for each row.
func serve(weights map[string]int, costs map[string]float64, rounds int) map[string]float64 {
	qu := admit.NewQueue(1)
	now := time.Unix(0, 0)
	deadline := now.Add(100 * time.Hour)
	offer := func(name string) {
		it := &admit.Item{Row: row(name), Weight: weights[name], Cost: costs[name], DispatchBy: deadline}
		qu.Offer(now, it)
	}
	first := &admit.Item{Row: row("hold"), Weight: 1, Cost: 1, DispatchBy: deadline}
	qu.Offer(now, first)
	for _, name := range []string{"a", "b", "c"} {
		if weights[name] > 0 {
			offer(name)
			offer(name)
		}
	}
	done := map[string]float64{}
	cost := 1.0
	for range rounds {
		now = now.Add(time.Duration(cost * float64(time.Second)))
		qu.Release(now, cost)
		run, _ := qu.Next(now)
		if len(run) != 1 {
			return done
		}
		cost = run[0].Cost
		name := string(run[0].Row.Customer)
		done[name] += cost
		offer(name)
	}
	return done
}

func TestBusyRowsShareByWeight(t *testing.T) {
	gm := gomega.NewWithT(t)
	done := serve(map[string]int{"a": 6, "b": 3, "c": 1}, map[string]float64{"a": 1, "b": 1, "c": 1}, 1000)
	gm.Expect(done["a"]).To(gomega.BeNumerically("~", 600, 10))
	gm.Expect(done["b"]).To(gomega.BeNumerically("~", 300, 10))
	gm.Expect(done["c"]).To(gomega.BeNumerically("~", 100, 10))
	// Large requests don't give a row more than its weight.
	done = serve(map[string]int{"a": 1, "b": 1}, map[string]float64{"a": 1, "b": 10}, 1100)
	gm.Expect(done["a"]).To(gomega.BeNumerically("~", done["b"], 30))
}

// TestSlotsAreNotExceeded checks that a queue never has more slots in use than it has,
// whatever the order of events, and that every queued request gets exactly one result.
func TestSlotsAreNotExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(rt, "slots")
		qu := admit.NewQueue(slots)
		now := time.Unix(0, 0)
		waiting := map[*admit.Item]bool{}
		var running []*admit.Item
		for range rapid.IntRange(5, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				it := &admit.Item{
					Row: row(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "row")), Weight: rapid.IntRange(1, 9).Draw(rt, "weight"),
					Cost: 1, DispatchBy: now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "slack")) * time.Millisecond),
				}
				switch verdict, after := qu.Offer(now, it); verdict {
				case admit.Admitted:
					running = append(running, it)
				case admit.Queued:
					waiting[it] = true
				case admit.Refused:
					if after <= 0 {
						rt.Fatal("refused without a Retry-After")
					}
				}
			case 2:
				if len(running) > 0 {
					running = running[1:]
					qu.Release(now, 1)
				}
			case 3:
				for it := range waiting {
					if !qu.Remove(it) {
						rt.Fatal("a waiting request was not in the queue")
					}
					delete(waiting, it)
					break
				}
			}
			run, late := qu.Next(now)
			for _, it := range append(run, late...) {
				if !waiting[it] {
					rt.Fatal("got a result for a request that was not queued")
				}
				delete(waiting, it)
			}
			running = append(running, run...)
			for _, it := range run {
				if now.After(it.DispatchBy) {
					rt.Fatal("dispatched after its DispatchBy")
				}
			}
			if len(running) > slots || qu.InUse() != len(running) || qu.Waiting() != len(waiting) {
				rt.Fatalf("%d running on %d slots, %d in use, %d of %d waiting", len(running), slots, qu.InUse(), qu.Waiting(), len(waiting))
			}
		}
	})
}

func TestRefusesAtOnceWhatCanNotBeServedInTime(t *testing.T) {
	gm := gomega.NewWithT(t)
	qu := admit.NewQueue(1)
	now := time.Unix(0, 0)
	qu.Offer(now, &admit.Item{Row: row("a"), Weight: 1, Cost: 1, DispatchBy: now})
	for range 10 { // One unit of work a second.
		qu.Offer(now, &admit.Item{Row: row("a"), Weight: 1, Cost: 1, DispatchBy: now.Add(time.Hour)})
		now = now.Add(time.Second)
		qu.Release(now, 1)
		qu.Next(now)
	}
	for range 20 {
		qu.Offer(now, &admit.Item{Row: row("a"), Weight: 1, Cost: 1, DispatchBy: now.Add(time.Hour)})
	}
	verdict, after := qu.Offer(now, &admit.Item{Row: row("a"), Weight: 1, Cost: 1, DispatchBy: now.Add(5 * time.Second)})
	gm.Expect(verdict).To(gomega.Equal(admit.Refused))
	gm.Expect(after).To(gomega.BeNumerically("~", 16*time.Second, 3*time.Second), "21 s of work are queued, 5 s remain")
	verdict, _ = qu.Offer(now, &admit.Item{Row: row("a"), Weight: 1, Cost: 1, DispatchBy: now.Add(30 * time.Second)})
	gm.Expect(verdict).To(gomega.Equal(admit.Queued))
}
