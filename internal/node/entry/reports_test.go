package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
)

// maxExchangeShare is the part of a node's link that exchanges may take: callers' requests need the rest.
const maxExchangeShare = 0.5

// reportMeter counts the bytes of exchanges, and makes the nodes report what customers have used.
type reportMeter struct {
	epoch time.Time
	// rate is what a node admits of each customer, in tokens a second.
	rate float64

	mu sync.Mutex
	// sent and received are in bytes, by node and second since epoch.
	sent, received map[units.VMID]map[int]int
}

const (
	reportCustomers = 16
	// reportExcess is what customers ask for, as a multiple of their limits.
	reportExcess = 1.2
)

// admit sets what a node has admitted since its start.
func (rm *reportMeter) admit(re *pulse.Report) {
	re.Admitted = pool.Totals{}
	for cu := range reportCustomers {
		re.Admitted[reportCustomer(cu)] = rm.rate * time.Since(time.Unix(0, re.Incarnation)).Seconds()
	}
}

// count counts a message between two nodes.
func (rm *reportMeter) count(from, to units.VMID, bytes int) {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	second := int(time.Since(rm.epoch) / time.Second)
	for _, by := range []map[int]int{bytesBySecond(rm.sent, from), bytesBySecond(rm.received, to)} {
		by[second] += bytes
	}
}

func bytesBySecond(of map[units.VMID]map[int]int, id units.VMID) map[int]int {
	if of[id] == nil {
		of[id] = map[int]int{}
	}
	return of[id]
}

// check reports the most bytes that a node sent or received in a second of a time, and whether they left room on its link.
func (rm *reportMeter) check(t *testing.T, when string, from, to int) {
	t.Helper()
	rm.mu.Lock()
	defer rm.mu.Unlock()
	most := 0
	for _, dir := range []map[units.VMID]map[int]int{rm.sent, rm.received} {
		for _, by := range dir {
			for se, bytes := range by {
				if se >= from && se < to {
					most = max(most, bytes)
				}
			}
		}
	}
	t.Logf("%s: at most %d bytes in a second, %.0f%% of the link", when, most, 100*float64(most)/reachLink)
	if most > reachLink*maxExchangeShare {
		t.Errorf("%s: have %d bytes of exchanges in a second, want %.0f at most", when, most, reachLink*maxExchangeShare)
	}
}

func reportCustomer(num int) units.CustomerID {
	return units.CustomerID(fmt.Sprintf("customer-%d", num))
}

// newMeteredFleet starts a fleet with a lease holder, whose customers are at their limits.
func newMeteredFleet(ctx context.Context, nodes int) (*reachFleet, *reportMeter) {
	fl := newReachModel(nodes, 1)
	const limit = 10_000.0
	rm := &reportMeter{
		epoch: time.Now(), rate: limit / float64(nodes) * reportExcess,
		sent: map[units.VMID]map[int]int{}, received: map[units.VMID]map[int]int{},
	}
	fl.meter = rm
	fl.prepare = func(no *reachNode, nd *Node) []func(context.Context) {
		set := *nd.settings
		set.Timing.LeaseMS = float64(orderLease.Milliseconds())
		nd.settings = &set
		nd.leader.now = func() time.Duration { return time.Since(rm.epoch) }
		nd.platform.DecodeConfig = func(raw []byte) (*routes.Config, error) {
			co, err := no.decodeConfig(raw)
			if err != nil {
				return nil, err
			}
			for cu := range reportCustomers {
				co.Customers = append(co.Customers, routes.Customer{ID: reportCustomer(cu), LimitsInTokens: true, Rate: limit, Burst: limit})
			}
			return co, nil
		}
		return []func(context.Context){nd.leaderLoop}
	}
	for num := range nodes {
		fl.start(ctx, num)
	}
	fl.startServers(ctx)
	return fl, rm
}

func (fl *reachFleet) holders() int {
	count := 0
	for _, no := range fl.nodes {
		if no.node().isLeader.Load() {
			count++
		}
	}
	return count
}

// A holder on a link of 10 Mbit/s said it was ready and took no connections: exchanges filled the link.
func TestReportsFillLinkOfHolder(t *testing.T) {
	for _, nodes := range []int{8, 64, 195} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				fl, rm := newMeteredFleet(ctx, nodes)
				defer fl.wg.Wait()
				defer stop()
				time.Sleep(5 * time.Second)
				if have := fl.holders(); have != 1 {
					t.Errorf("holders: have %d, want 1", have)
				}
				rm.check(t, "customers at their limits", 3, 5)
				for num, no := range fl.nodes {
					kill(no)
					fl.start(ctx, num)
				}
				time.Sleep(4 * time.Second)
				rm.check(t, "all nodes have started again", 5, 9)
			})
		})
	}
}
