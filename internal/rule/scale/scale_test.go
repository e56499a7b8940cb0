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
	policy  = scale.Policy{OnDemandRate: 60_000, ServerRate: 30_000, MinOnDemand: 3, MinSpot: 3, SubstituteRatio: 0.5}
	scaling = &routes.Scaling{
		MinServers: 1, MaxServers: 6, SpotPrice: 0.22,
		ZonePrices: map[units.ZoneID]float64{"a": 0.85, "b": 1.2, "c": 1.0},
	}
)

func ExamplePlan() {
	for _, or := range scale.Plan(policy, scaling, policy.Need(200_000, 0, 0, scale.Need{}), nil) {
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
		name           string
		demand         units.TokensPerSecond
		noSpot         scale.ZonesWithoutSpot
		onDemand, spot int
	}{
		{"no demand", 0, nil, 3, 3},
		{"a burst", 400_000, nil, 7, 7},
		{"demand beyond the maximum of all zones", 4_000_000, nil, 18, 0},
		// After reclaims no spot server can be ordered: on-demand servers replace them.
		{"no zone with spot capacity", 400_000, scale.ZonesWithoutSpot{"a": true, "b": true, "c": true}, 11, 3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			onDemand, spot, total := 0, 0, map[units.ZoneID]int{}
			for _, or := range scale.Plan(policy, scaling, policy.Need(tt.demand, 0, 0, scale.Need{}), tt.noSpot) {
				total[or.Zone] += or.Count
				if or.Spot {
					spot += or.Count
				} else {
					onDemand += or.Count
				}
			}
			for zo, num := range total {
				if num > scaling.MaxServers || num < scaling.MinServers {
					t.Errorf("zone %s: have %d servers, want %d to %d", zo, num, scaling.MinServers, scaling.MaxServers)
				}
			}
			if onDemand != tt.onDemand || spot != tt.spot {
				t.Errorf("have %d on demand and %d spot, want %d and %d", onDemand, spot, tt.onDemand, tt.spot)
			}
		})
	}
}

// TestDemandAfterRestart guards against a fall of the estimate when all nodes restart at once:
// the new lease holder must not take the lack of reports for a lack of demand (found on
// trouble-3 of bbsw-austin).
func TestDemandAfterRestart(t *testing.T) {
	de := scale.NewDemand()
	de.SetInitial(400_000)
	now := time.Unix(1_000_000, 0)
	de.Report("node-1/2", scale.Totals{})
	if have := de.Rate(now); have < 399_000 {
		t.Fatalf("demand after a restart: have %.0f, want 400000", have)
	}
	for range 4 {
		now = now.Add(500 * time.Millisecond)
		de.Report("node-1/2", scale.Totals{})
	}
	if have := de.Rate(now); have < 300_000 {
		t.Errorf("demand 2 s after a restart: have %.0f, want 300000 or more", have)
	}
}

// TestZoneWithoutSpot simulates a reclaim: notice, refused orders, an accepted order, and
// servers that start seconds later.
func TestZoneWithoutSpot(t *testing.T) {
	zones := scale.ZonesWithoutSpot{}
	for _, st := range []struct {
		name                string
		leaving, have, want int
		refused, noSpot     bool
	}{
		{"all in use", 0, 2, 2, false, false},
		{"notice", 2, 0, 2, false, true},
		{"gone and refused", 0, 0, 2, true, true},
		{"accepted, still starting", 0, 0, 2, false, true},
		{"one is back", 0, 1, 2, false, true},
		{"all are back", 0, 2, 2, false, false},
	} {
		if zones.Update("a", st.leaving, st.have, st.want, st.refused); zones["a"] != st.noSpot {
			t.Errorf("%s: without spot capacity: have %t, want %t", st.name, zones["a"], st.noSpot)
		}
	}
}

// TestNeedKeepsServers checks that a demand that alternates between two numbers of servers
// doesn't change the need.
func TestNeedKeepsServers(t *testing.T) {
	need, changes := scale.Need{}, 0
	for step := range 40 {
		before := need
		demand := units.TokensPerSecond(235_000 + 20_000*(step%2))
		if need = policy.Need(demand, 0, 0, need); step > 1 && need != before {
			changes++
		}
	}
	if changes > 0 {
		t.Errorf("changes of the need: have %d, want 0", changes)
	}
	if need = policy.Need(100_000, 0, 0, need); need.OnDemand != 3 || need.Total != 6 {
		t.Errorf("after a fall: have %+v, want 3 and 6", need)
	}
	if need = policy.Need(0, 300_000, 0, scale.Need{}); need.OnDemand != 3 || need.Total != 10 {
		t.Errorf("before traffic: have %+v, want 3 and 10", need)
	}
}

// TestLateAnswersRaiseDemand simulates servers that are slower than the policy's rates: the
// demand is small, but half of the answers are late.
func TestLateAnswersRaiseDemand(t *testing.T) {
	simulate := func(lateOf10 int64) units.TokensPerSecond {
		de, now := scale.NewDemand(), time.Unix(1_000_000, 0)
		var sum scale.Totals
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
	none, few, many := simulate(0), simulate(1), simulate(5)
	if few > none*1.05 || many < none*1.8 {
		t.Errorf("demand: have %.0f with no late answers, %.0f with a tenth of them, %.0f with half", none, few, many)
	}
}

// TestHeldBackServersAreReplaced checks that servers are ordered for those that name limits: the
// others would otherwise be overloaded by what those turn away.
func TestHeldBackServersAreReplaced(t *testing.T) {
	de, now := scale.NewDemand(), time.Unix(1_000_000, 0)
	de.Report("node-1/1", scale.Totals{})
	de.Report("node-1/1", scale.Totals{Prompt: 1_000_000, Requests: 500}) // 2,000 tokens each.
	de.Rate(now)
	rate := policy.ServerRate
	for _, tt := range []struct {
		name   string
		limits []units.RequestsPerSecond
		want   float64
	}{
		{"no limits", nil, 0},
		{"two servers that take nothing", []units.RequestsPerSecond{0, 0}, 2},
		{"half of what a server carries", []units.RequestsPerSecond{units.RequestsPerSecond(rate / 2 / 2000)}, 0.5},
		{"more than a server carries", []units.RequestsPerSecond{units.RequestsPerSecond(rate)}, 0},
	} {
		if have := de.Held(tt.limits, rate); have < tt.want-0.01 || have > tt.want+0.01 {
			t.Errorf("%s: held back: have %.2f servers, want %.2f", tt.name, have, tt.want)
		}
	}
	without, with := policy.Need(200_000, 0, 0, scale.Need{}), policy.Need(200_000, 0, 2, scale.Need{})
	if with.Total != without.Total+2 || with.OnDemand != without.OnDemand {
		t.Errorf("have %+v with two servers held back, %+v without", with, without)
	}
}
