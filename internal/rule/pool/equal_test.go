package pool_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/units"
)

// TestPoolEqualsModel checks that the pool admits what a model admits that keeps each peer in a map and sums
// over them at each report, to the unit, with peers that fall silent, restart, join late and relay.
func TestPoolEqualsModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.SampledFrom([]int{1, 8, 24, 64}).Draw(rt, "peers")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 5))
		po, mo := pool.New(tolerance), newModel(tolerance)
		limits := map[units.CustomerID]pool.Limit{"hot": limit, "small": {Rate: 36_000, Burst: 18_000}}
		po.SetLimits(start, limits)
		mo.SetLimits(start, limits)
		totals, lives := make([]pool.Totals, count), make([]int64, count)
		for num := range count {
			totals[num], lives[num] = pool.Totals{}, 1
		}
		customers := []units.CustomerID{"hot", "small", "unlimited"}
		for now, step := start, 0; step < 600; step++ {
			now = now.Add(time.Duration(rnd.IntN(40)) * time.Millisecond)
			num, cu := rnd.IntN(count), customers[rnd.IntN(len(customers))]
			id := units.VMID(fmt.Sprint("node-", num))
			switch rnd.IntN(9) {
			case 0:
				po.AddPeer(now, id)
				mo.AddPeer(now, id)
			case 1, 2:
				totals[num][cu] += float64(rnd.IntN(9_000))
				po.MergeReport(now, id, lives[num], totals[num])
				mo.MergeReport(now, id, lives[num], totals[num])
			case 3:
				relayed := map[units.CustomerID][]pool.RelayedUsage{cu: {{Node: id, Incarnation: lives[num], Total: totals[num][cu], Age: time.Duration(rnd.IntN(900)) * time.Millisecond}}}
				po.MergeRelayed(now, relayed)
				mo.MergeRelayed(now, relayed)
			case 4:
				if rnd.IntN(20) == 0 {
					now = now.Add(time.Duration(rnd.IntN(20)) * time.Second) // All peers fall silent.
				} else if rnd.IntN(10) == 0 {
					totals[num], lives[num] = pool.Totals{}, lives[num]+1
				}
			case 5:
				limits["small"] = pool.Limit{Rate: 20_000 + float64(rnd.IntN(20_000)), Burst: 18_000}
				po.SetLimits(now, limits)
				mo.SetLimits(now, limits)
			default:
				amount, late := float64(rnd.IntN(20_000)), rnd.IntN(4) == 0
				ok, after := po.Take(now, cu, amount, late)
				wantOK, wantAfter := mo.Take(now, cu, amount, late)
				if ok != wantOK || (after-wantAfter).Abs() > time.Millisecond {
					rt.Fatalf("step %d: take %.0f of %s: have %t, %s, want %t, %s", step, amount, cu, ok, after, wantOK, wantAfter)
				}
			}
			have, want := po.View(now, cu), mo.View(now, cu)
			if math.Abs(have.Level-want.Level) > 1 || math.Abs(have.Unreported-want.Unreported) > 1 {
				rt.Fatalf("step %d: %s: have %+v, want %+v", step, cu, have, want)
			}
			if have, want := len(po.Relay(now)[cu]), len(mo.Relay(now)[cu]); have != want {
				rt.Fatalf("step %d: %s: %d totals relayed, want %d", step, cu, have, want)
			}
		}
	})
}

// BenchmarkReportBesideModel measures what one report costs a node, with 19 customers, beside the model.
func BenchmarkReportBesideModel(b *testing.B) {
	type merger interface {
		SetLimits(now time.Time, limits map[units.CustomerID]pool.Limit)
		MergeReport(now time.Time, node units.VMID, incarnation int64, totals pool.Totals)
		Relay(now time.Time) map[units.CustomerID][]pool.RelayedUsage
	}
	for _, peers := range []int{8, 64, 195, 360} {
		for name, po := range map[string]merger{"pool": pool.New(tolerance), "model": newModel(tolerance)} {
			limits, totals := map[units.CustomerID]pool.Limit{}, pool.Totals{}
			for num := range 19 {
				limits[units.CustomerID(fmt.Sprint("customer-", num))] = limit
			}
			po.SetLimits(start, limits)
			ids := make([]units.VMID, peers)
			for num := range ids {
				ids[num] = units.VMID(fmt.Sprint("node-", num))
			}
			b.Run(fmt.Sprintf("%s/%d", name, peers), func(b *testing.B) {
				for num := range b.N {
					now := start.Add(time.Duration(num) * 19 * time.Millisecond)
					totals["customer-0"] += 5_000
					po.MergeReport(now, ids[num%peers], 1, totals)
					po.Relay(now)
				}
			})
		}
	}
}
