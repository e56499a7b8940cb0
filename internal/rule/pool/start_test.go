package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/units"
)

// TestFleetAdmitsSoonAfterAllNodesStart guards against refusals of customers within their limits after all
// nodes have started at once: a node that has not heard from a peer yet takes it for one that uses its part, and a
// pair of nodes of a large fleet talks only each few seconds; and requests that were sent before are late.
func TestFleetAdmitsSoonAfterAllNodesStart(t *testing.T) {
	for _, count := range []int{8, 30, 100, 195, 300} {
		t.Run(fmt.Sprint(count, " nodes"), func(t *testing.T) {
			t.Parallel()
			first, second, later := startFleet(count)
			t.Logf("admitted: %.3f in the first second, %.3f in the second, %.3f in the two after", first, second, later)
			if first < 0.9 || second < 0.98 || later < 0.98 {
				t.Errorf("have shares admitted of %.3f, %.3f and %.3f, want 0.9, 0.98 and 0.98", first, second, later)
			}
		})
	}
}

// startFleet starts nodes whose customers use five ninths of their limits, and returns the shares of the
// requests that are admitted in the first second, in the second one, and in the two after.
func startFleet(count int) (first, second, later float64) {
	fl, rnd, now := newFleet(count), rand.New(rand.NewPCG(9, uint64(count))), start
	limits, owed := map[units.CustomerID]pool.Limit{}, map[units.CustomerID]float64{}
	for num := range 16 { // A few customers are large.
		rate := 36_000 + 400_000*rnd.ExpFloat64()
		limits[units.CustomerID(fmt.Sprint(num))] = pool.Limit{Rate: rate, Burst: rate}
	}
	for _, no := range fl.nodes {
		no.po.SetLimits(now, limits)
	}
	var offered, admitted [4]float64
	for step := 0; now.Before(start.Add(4 * time.Second)); step++ {
		now = now.Add(tick)
		fl.gossip(now, step)
		for num := range len(limits) {
			cu := units.CustomerID(fmt.Sprint(num))
			for owed[cu] += limits[cu].Rate / 1.8 * tick.Seconds(); owed[cu] > 0; {
				amount := float64(200 + rnd.IntN(16_000))
				owed[cu] -= amount
				second := min(3, int(now.Sub(start)/time.Second))
				offered[second]++
				isLate := now.Sub(start) < 2*time.Second && rnd.IntN(2) == 0 // It was sent before.
				if ok, _ := fl.nodes[rnd.IntN(count)].po.Take(now, cu, amount, isLate); ok {
					admitted[second]++
				}
			}
		}
	}
	return admitted[0] / offered[0], admitted[1] / offered[1], (admitted[2] + admitted[3]) / (offered[2] + offered[3])
}

// TestHotCustomerWhenAllNodesStart checks that a customer that sends several times its limit, alone or like all others, stays within it
// when all nodes start anew, from full use.
func TestHotCustomerWhenAllNodesStart(t *testing.T) {
	many := make([]units.CustomerID, 15)
	for num := range many {
		many[num] = units.CustomerID(fmt.Sprint("other-", num))
	}
	for _, tt := range []struct {
		count  int
		others []units.CustomerID
	}{{8, nil}, {64, nil}, {195, nil}, {8, many}, {64, many}, {195, many}} {
		count := tt.count
		for _, times := range []float64{1.5, 4} {
			t.Run(fmt.Sprintf("%d nodes, %d customers, %.1f limits", count, 1+len(tt.others), times), func(t *testing.T) {
				t.Parallel()
				fl, rnd, now, owed := newFleet(count, tt.others...), rand.New(rand.NewPCG(11, uint64(count))), start, 0.0
				for step := 0; now.Before(start.Add(16 * time.Second)); step++ {
					now = now.Add(tick)
					if step == 800 || step == 1000 {
						for _, no := range fl.nodes {
							fl.restart(now, no)
						}
					}
					fl.gossip(now, step)
					for owed += limit.Rate * times * tick.Seconds(); owed > 0; {
						amount := float64(200 + rnd.IntN(16_000))
						owed -= amount
						fl.offer(now, rnd.IntN(count), amount)
					}
				}
				have := fl.maxAdmitted()
				t.Logf("admitted %.2f of what is allowed", have/allowed())
				if have > allowed() {
					t.Errorf("admitted in one window: have %.0f, want %.0f or less", have, allowed())
				}
			})
		}
	}
}
