package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/units"
)

// Reports that grow with customers and nodes filled the link of the lease holder.
func TestRelayedTotalsAreBounded(t *testing.T) {
	const (
		most      = 250 // Totals in one report, of both kinds.
		customers = 16
		limit     = 1000.0
		reports   = 53 // Made in a second.
	)
	for _, peers := range []int{7, 63, 194, 360} {
		t.Run(fmt.Sprintf("%d peers", peers), func(t *testing.T) {
			po, limits := pool.New(pool.Tolerance{}), map[units.CustomerID]pool.Limit{}
			for cu := range customers {
				limits[units.CustomerID(fmt.Sprint(cu))] = pool.Limit{Rate: limit, Burst: limit}
			}
			now := time.Now()
			po.SetLimits(now, limits)
			heard := func(used float64) {
				for peer := range peers {
					totals := pool.Totals{}
					for id := range limits {
						totals[id] = used / float64(peers)
					}
					po.MergeReport(now, units.VMID(fmt.Sprint("node-", peer)), 1, totals)
				}
			}
			for second := range 4 {
				heard(float64(second) * 2 * limit)
				now = now.Add(time.Second)
			}
			heard(8 * limit)
			rnd := rand.New(rand.NewPCG(1, 0))
			relayed, newcomers := map[string]bool{}, map[units.VMID]bool{}
			for range 4 * reports {
				count := 0
				for cu, list := range po.Relay(now) {
					count += len(list)
					for _, us := range list {
						relayed[fmt.Sprint(cu, " ", us.Node)] = true
					}
				}
				for _, ne := range po.Newcomers(now.Add(-2*time.Second), rnd.Uint64()) {
					count += len(ne.Totals)
					newcomers[ne.Node] = true
				}
				if count > most {
					t.Fatalf("have %d totals in a report, want %d at most", count, most)
				}
			}
			if have, want := len(relayed), customers*peers; have != want {
				t.Errorf("relayed in 4 s: have %d totals, want %d", have, want)
			}
			// They are chosen at random.
			if have, want := len(newcomers), peers*3/4; have < want {
				t.Errorf("newcomers relayed in 4 s: have %d, want %d at least", have, want)
			}
		})
	}
}
