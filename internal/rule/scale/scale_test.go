package scale_test

import (
	"fmt"
	"testing"
	"time"

	"lycheepick/internal/rule/scale"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
)

var (
	policy  = scale.Policy{BaseRate: 60_000, FullRate: 30_000, LeastBase: 3, LeastSpot: 3, Substitute: 0.5}
	scaling = &routes.Scaling{
		MinServers: 1, MaxServers: 6, SpotPrice: 0.22,
		ZonePrices: map[units.ZoneID]float64{"a": 0.85, "b": 1.2, "c": 1.0},
	}
)

func ExamplePlan() {
	for _, or := range scale.Plan(policy, scaling, policy.Need(200_000, 0, scale.Need{}), nil) {
		fmt.Printf("%s spot=%t %d\n", or.Zone, or.Spot, or.Count)
	}
	// Output:
	// a spot=false 2
	// c spot=false 1
	// b spot=false 1
	// a spot=true 1
	// c spot=true 1
	// b spot=true 1
}

func TestPlan(t *testing.T) {
	for _, tt := range []struct {
		name       string
		demand     units.TokensPerSecond
		dry        scale.Dry
		base, spot int
	}{
		{"no demand", 0, nil, 3, 3},
		{"a burst", 400_000, nil, 7, 7},
		{"more than there is room for", 4_000_000, nil, 18, 0},
		// Reclaim waves with nothing to be had after: servers on demand stand in.
		{"all zones dry", 400_000, scale.Dry{"a": true, "b": true, "c": true}, 11, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			base, spot, most := 0, 0, map[units.ZoneID]int{}
			for _, or := range scale.Plan(policy, scaling, policy.Need(tt.demand, 0, scale.Need{}), tt.dry) {
				most[or.Zone] += or.Count
				if or.Spot {
					spot += or.Count
				} else {
					base += or.Count
				}
			}
			for zo, num := range most {
				if num > scaling.MaxServers || num < scaling.MinServers {
					t.Errorf("zone %s: have %d servers, want %d to %d", zo, num, scaling.MinServers, scaling.MaxServers)
				}
			}
			if base != tt.base || spot != tt.spot {
				t.Errorf("have %d on demand and %d spot, want %d and %d", base, spot, tt.base, tt.spot)
			}
		})
	}
}

// TestDemandAfterRestart replays trouble-3 of bbsw-austin: all nodes restart at once, and
// the new holder must not take the lack of reports for a lack of demand.
func TestDemandAfterRestart(t *testing.T) {
	de := scale.NewDemand()
	de.Begin(400_000)
	now := time.Unix(1_000_000, 0)
	de.Report("node-1/2", scale.Total{})
	if have := de.Rate(now); have < 399_000 {
		t.Fatalf("demand after a restart: have %.0f, want 400000", have)
	}
	for range 4 {
		now = now.Add(500 * time.Millisecond)
		de.Report("node-1/2", scale.Total{})
	}
	if have := de.Rate(now); have < 300_000 {
		t.Errorf("demand 2 s after a restart: have %.0f, want 300000 or more", have)
	}
}

// TestDryZone replays a reclaim: notice, refusals, an order that is accepted, and servers
// that start seconds later.
func TestDryZone(t *testing.T) {
	dry := scale.Dry{}
	for _, st := range []struct {
		name                string
		leaving, have, want int
		refused, dry        bool
	}{
		{"calm", 0, 2, 2, false, false},
		{"notice", 2, 0, 2, false, true},
		{"gone and refused", 0, 0, 2, true, true},
		{"accepted, still starting", 0, 0, 2, false, true},
		{"one is back", 0, 1, 2, false, true},
		{"all are back", 0, 2, 2, false, false},
	} {
		if dry.Note("a", st.leaving, st.have, st.want, st.refused); dry["a"] != st.dry {
			t.Errorf("%s: have dry=%t, want %t", st.name, dry["a"], st.dry)
		}
	}
}

// TestNeedKeepsServers replays a demand that lies between two numbers of servers.
func TestNeedKeepsServers(t *testing.T) {
	need, changes := scale.Need{}, 0
	for step := range 40 {
		before := need
		demand := units.TokensPerSecond(235_000 + 20_000*(step%2))
		if need = policy.Need(demand, 0, need); step > 1 && need != before {
			changes++
		}
	}
	if changes > 0 {
		t.Errorf("changes of the need: have %d, want 0", changes)
	}
	if need = policy.Need(100_000, 0, need); need.Base != 3 || need.Full != 6 {
		t.Errorf("after a fall: have %+v, want 3 and 6", need)
	}
	if need = policy.Need(0, 300_000, scale.Need{}); need.Base != 3 || need.Full != 10 {
		t.Errorf("before traffic: have %+v, want 3 and 10", need)
	}
}

// TestLateAnswersCallForServers replays a deployment whose servers are slower than the
// policy's rates: the demand is small, but half of the answers are late.
func TestLateAnswersCallForServers(t *testing.T) {
	play := func(lateOf10 int64) units.TokensPerSecond {
		de, now := scale.NewDemand(), time.Unix(1_000_000, 0)
		var sum scale.Total
		for range 40 {
			de.Report("node-1/1", sum)
			de.Rate(now)
			sum.Prompt += 50_000
			sum.Requests += 10
			sum.Late += lateOf10
			now = now.Add(500 * time.Millisecond)
		}
		return de.Rate(now)
	}
	calm, few, many := play(0), play(1), play(5)
	if few > calm*1.05 || many < calm*1.8 {
		t.Errorf("demand: have %.0f with no late answers, %.0f with a tenth, %.0f with half", calm, few, many)
	}
}
