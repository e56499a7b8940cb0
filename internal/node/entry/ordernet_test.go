package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/scale"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
	"lycheepick/internal/state/server"
)

const (
	orderedService units.TargetID = "app"
	// orderedBoot is how long an ordered server takes to start.
	orderedBoot = 4 * time.Second
	// orderedStop is how long a server is still listed that is given back.
	orderedStop = 1500 * time.Millisecond
	// orderedDemand is the demand for each node.
	orderedDemand units.TokensPerSecond = 46_000
	orderLease                          = 3 * time.Second
)

var (
	orderedPolicy = scale.Policy{OnDemandRate: 110_000, ServerRate: 30_000, MinOnDemand: 3, MinSpot: 3, PriorShare: 0.3, SubstituteRatio: 0.5}
	orderedPrices = map[units.ZoneID]float64{"za": 0.85, "zb": 1.2, "zc": 1, "zd": 1.1}
)

// orderCloud is a cloud API that starts and removes servers as they are ordered.
type orderCloud struct {
	fl *reachFleet

	mu      sync.Mutex // Guards the fields below.
	targets map[orderKey]int
	// up are the servers that run, by group.
	up     map[orderKey][]string
	nextID int
	// calls are the orders that were accepted.
	calls []string
	dry   bool
}

// Usage implements Cloud.
func (oc *orderCloud) Usage(context.Context, units.Offset, int64, map[units.CustomerID]int64) error {
	return nil
}

// Scale implements Cloud.
func (oc *orderCloud) Scale(_ context.Context, _ units.Offset, service units.TargetID, zone units.ZoneID, spot bool, count int) error {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	key := orderKey{service: service, zone: zone, spot: spot}
	if spot && oc.dry && count > oc.targets[key] {
		return fault.New("entry.Scale", stream.KindUnavailable, "no capacity")
	}
	oc.calls = append(oc.calls, fmt.Sprintf("%s %s spot=%t %d", time.Now().Format("05.000"), zone, spot, count))
	oc.targets[key] = count
	for len(oc.up[key]) > count {
		id := oc.up[key][0]
		oc.up[key] = oc.up[key][1:]
		time.AfterFunc(orderedStop, func() { oc.fl.store.put(reachServers, id, nil) })
	}
	time.AfterFunc(orderedBoot, func() { oc.startUp(key, count) })
	return nil
}

// startUp starts the servers of a group that are missing, if the order still holds.
func (oc *orderCloud) startUp(key orderKey, count int) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	for oc.targets[key] == count && len(oc.up[key]) < count {
		oc.nextID++
		id := fmt.Sprintf("s-%d.%s.%t", oc.nextID, key.zone, key.spot)
		oc.up[key] = append(oc.up[key], id)
		oc.fl.store.put(reachServers, id, fmt.Appendf(nil, "%s %t", key.zone, key.spot))
	}
}

// ordered returns the servers on demand, and those of both kinds, that are ordered.
func (oc *orderCloud) ordered() (out scale.Need) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	for key, num := range oc.targets {
		out.Total += num
		if !key.spot {
			out.OnDemand += num
		}
	}
	return out
}

// decodeOrdered decodes the value of a server record, "ZONE SPOT".
func decodeOrdered(raw []byte) (server.Status, error) {
	st := server.Status{Service: orderedService, Slots: 24, StartUnixMS: 1, Sequence: 1}
	_, err := fmt.Sscanf(string(raw), "%s %t", &st.Zone, &st.Spot)
	return st, err
}

// orderFleet is a fleet whose nodes order servers for a constant demand.
type orderFleet struct {
	*reachFleet
	cloud *orderCloud
	epoch time.Time
	// share is the part of the demand that is offered, in percent.
	share atomic.Int64
	// starting is held while processes are started, as killAll runs beside itself.
	starting sync.Mutex
}

func newOrderFleet(ctx context.Context, nodes int) *orderFleet {
	fl := newReachModel(nodes, 1)
	of := &orderFleet{reachFleet: fl, cloud: &orderCloud{fl: fl, targets: map[orderKey]int{}, up: map[orderKey][]string{}}, epoch: time.Now()}
	of.share.Store(100)
	fl.prepare = func(no *reachNode, nd *Node) []func(context.Context) {
		set := *nd.settings
		set.Timing.LeaseMS, set.Orders = float64(orderLease.Milliseconds()), orderedPolicy
		nd.settings = &set
		nd.platform.OrdersServers, nd.platform.Cloud, nd.platform.DecodeServer = true, of.cloud, decodeOrdered
		nd.platform.DecodeConfig = of.decoder(no)
		nd.leader.now = func() time.Duration { return time.Since(of.epoch) }
		return []func(context.Context){nd.leaderLoop}
	}
	for num := range nodes {
		fl.start(ctx, num)
	}
	fl.wg.Go(func() { of.offer(ctx) })
	return of
}

// decoder returns configurations with a service whose servers are ordered.
func (of *orderFleet) decoder(no *reachNode) func([]byte) (*routes.Config, error) {
	return func(raw []byte) (*routes.Config, error) {
		co, err := no.decodeConfig(raw)
		if err != nil {
			return nil, err
		}
		limit := float64(orderedDemand) * float64(len(of.nodes)) * 3
		co.Services = []routes.Service{{ID: orderedService, Scaling: &routes.Scaling{
			MinServers: 1, MaxServers: len(of.nodes), BootTime: orderedBoot, SpotPrice: 0.18, ZonePrices: orderedPrices,
		}}}
		co.Customers = []routes.Customer{{ID: "c", LimitsInTokens: true, Rate: limit, Burst: limit}}
		return co, nil
	}
}

// offer spreads the demand over the nodes that are ready until ctx ends.
func (of *orderFleet) offer(ctx context.Context) {
	const period = 100 * time.Millisecond
	for pause.For(ctx, period) {
		var ready []*Node
		for _, no := range of.nodes {
			if nd := no.node(); !no.isDead() && nd.canServe() {
				ready = append(ready, nd)
			}
		}
		demand := orderedDemand * units.TokensPerSecond(len(of.nodes)) * units.TokensPerSecond(of.share.Load()) / 100
		for _, nd := range ready {
			nd.RecordDemand(orderedService, units.Tokens(float64(demand)*period.Seconds()/float64(len(ready))))
		}
	}
}

// killAll ends all processes, which start again later.
func (of *orderFleet) killAll(ctx context.Context, down time.Duration) {
	for _, no := range of.nodes {
		kill(no)
	}
	pause.For(ctx, down)
	of.startDead(ctx, len(of.nodes))
}

// startDead starts those of the first nodes that are dead.
func (of *orderFleet) startDead(ctx context.Context, count int) {
	of.starting.Lock()
	defer of.starting.Unlock()
	for num, no := range of.nodes[:count] {
		if no.isDead() {
			of.start(ctx, num)
		}
	}
}

// away makes the store answer nobody for a while.
func (of *orderFleet) away(du time.Duration) { outage(du)(context.Background(), of.reachFleet) }

// loseLease brings the lease's stream back from a copy that has its first records only.
func (of *orderFleet) loseLease(share float64) {
	of.store.mu.Lock()
	defer of.store.mu.Unlock()
	list := of.store.streams[leaseStream]
	of.store.streams[leaseStream] = list[:int(float64(len(list))*share)]
}

// orderCases are disruptions after which a node takes the lease that knows little.
var orderCases = []struct {
	name string
	// large is set for cases that are always played at 195 nodes too.
	large bool
	play  func(ctx context.Context, of *orderFleet)
}{
	{"all nodes lose power while the store is away", false, func(ctx context.Context, of *orderFleet) {
		of.away(5 * time.Second)
		pause.For(ctx, 2*time.Second)
		of.killAll(ctx, 1400*time.Millisecond)
	}},
	{"all nodes lose power while the store is away, beside a large configuration", true, func(ctx context.Context, of *orderFleet) {
		of.store.putConfig(2, 100<<10)
		pause.For(ctx, time.Second)
		of.away(5 * time.Second)
		pause.For(ctx, 2*time.Second)
		of.killAll(ctx, 1400*time.Millisecond)
	}},
	{"all nodes are killed", false, func(ctx context.Context, of *orderFleet) { of.killAll(ctx, 500*time.Millisecond) }},
	{"all nodes are killed twice", true, func(ctx context.Context, of *orderFleet) {
		of.killAll(ctx, 500*time.Millisecond)
		pause.For(ctx, 5200*time.Millisecond)
		of.killAll(ctx, 500*time.Millisecond)
	}},
	{"all nodes are killed for long", false, func(ctx context.Context, of *orderFleet) { of.killAll(ctx, 15*time.Second) }},
	{"all nodes lose power, and the records of the lease are lost", false, func(ctx context.Context, of *orderFleet) {
		of.away(3 * time.Second)
		of.killAll(ctx, time.Second)
		of.loseLease(0)
	}},
	{"all nodes lose power, and the store comes back from an early copy", false, func(ctx context.Context, of *orderFleet) {
		of.away(3 * time.Second)
		of.killAll(ctx, time.Second)
		of.loseLease(0.05)
	}},
	{"the holder's record has no demand, as in older builds", false, func(ctx context.Context, of *orderFleet) {
		of.store.rewriteLease(`{"node":"node-0","life":1}`)
		of.killAll(ctx, time.Second)
	}},
	{"the holder's record has a demand of 0", true, func(ctx context.Context, of *orderFleet) {
		of.store.rewriteLease(`{"node":"node-0","life":1,"demand":{"app":0}}`)
		of.killAll(ctx, time.Second)
	}},
	{"the store is away for long", false, func(ctx context.Context, of *orderFleet) {
		of.away(12 * time.Second)
		pause.For(ctx, 12*time.Second)
	}},
	{"the holder loses power", false, func(_ context.Context, of *orderFleet) {
		for _, no := range of.nodes {
			if no.node().isLeader.Load() {
				kill(no)
			}
		}
	}},
	{"the holder can't be called", false, func(_ context.Context, of *orderFleet) {
		for _, no := range of.nodes {
			if no.node().isLeader.Load() {
				deafen(20 * time.Second)(no)
			}
		}
	}},
	{"half of the nodes lose power and the store is away", false, func(ctx context.Context, of *orderFleet) {
		of.away(3 * time.Second)
		for _, no := range of.nodes[:len(of.nodes)/2] {
			kill(no)
		}
		pause.For(ctx, time.Second)
		of.startDead(ctx, len(of.nodes)/2)
	}},
}

// rewriteLease replaces all records of the lease by others of the same number.
func (st *reachStore) rewriteLease(value string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for idx := range st.streams[leaseStream] {
		st.streams[leaseStream][idx].Value = []byte(value)
	}
}

// TestNewHolderKeepsServers guards against a lease holder that gives servers back before it knows the demand.
func TestNewHolderKeepsServers(t *testing.T) {
	running := make(chan struct{}, 2) // Tests of other packages measure times meanwhile.
	for _, oc := range orderCases {
		for _, nodes := range []int{8, 64, 195} {
			t.Run(fmt.Sprintf("%s, %d nodes", oc.name, nodes), func(t *testing.T) {
				if nodes > largestFleet || nodes > 64 && !oc.large && os.Getenv("REACH_ALL") == "" {
					t.Skip("REACH_ALL=1 plays all cases in large fleets")
				}
				t.Parallel()
				running <- struct{}{}
				defer func() { <-running }()
				synctest.Test(t, func(t *testing.T) { playOrders(t, nodes, oc.play) })
			})
		}
	}
}

// TestGivenBackServersAreOrderedAgain guards against a holder that takes servers that it has given back for serving, and against one that keeps
// servers for a demand that has fallen.
func TestGivenBackServersAreOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		of := newOrderFleet(ctx, 8)
		defer of.wg.Wait()
		defer stop()
		time.Sleep(16 * time.Second)
		of.share.Store(20)
		raised := 0
		for start, last := time.Now(), of.cloud.ordered(); time.Since(start) < 60*time.Second; time.Sleep(20 * time.Millisecond) {
			have := of.cloud.ordered()
			if have.Total > last.Total {
				raised++
			}
			last = have
		}
		want := orderedPolicy.Need(orderedDemand*8/5, 0, 0, scale.Need{})
		if have := of.cloud.ordered(); raised > 0 || have.Total > want.Total+1 {
			t.Errorf("after the demand fell: have %+v ordered and %d larger orders, want about %+v and none", have, raised, want)
		}
	})
}

// TestServersUnderDisruptions guards against a holder that gives servers back, beside disruptions in series that overlap. ORDER_SEEDS sets the
// number of seeds, ORDER_SEED the first one.
func TestServersUnderDisruptions(t *testing.T) {
	running := make(chan struct{}, 2)
	first, count := number(t, "ORDER_SEED", 1), number(t, "ORDER_SEEDS", 6)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			rnd := rand.New(rand.NewPCG(uint64(seed), 0))
			nodes := 6 + rnd.IntN(12)
			var names []string
			synctest.Test(t, func(t *testing.T) {
				playOrders(t, nodes, func(ctx context.Context, of *orderFleet) {
					for range 6 {
						oc := orderCases[rnd.IntN(len(orderCases))]
						names = append(names, oc.name)
						of.wg.Go(func() { oc.play(ctx, of) })
						if !pause.For(ctx, time.Duration(500+rnd.IntN(5000))*time.Millisecond) {
							return
						}
					}
				})
			})
			if t.Failed() {
				t.Logf("%d nodes: %q", nodes, names)
			}
		})
	}
}

// number returns the value of an environment variable, def if it is not set.
func number(t *testing.T, name string, def int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return def
	}
	num, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return num
}

func playOrders(t *testing.T, nodes int, play func(context.Context, *orderFleet)) {
	ctx, stop := context.WithCancel(t.Context())
	of := newOrderFleet(ctx, nodes)
	defer of.wg.Wait()
	defer stop()
	time.Sleep(16 * time.Second)
	want := orderedPolicy.Need(orderedDemand*units.TokensPerSecond(nodes), 0, 0, scale.Need{})
	if have := of.cloud.ordered(); have.OnDemand < want.OnDemand*9/10 || have.Total < want.Total*9/10 {
		t.Fatalf("before: have %+v ordered, want about %+v", have, want)
	}
	before := of.cloud.ordered()
	want = scale.Need{OnDemand: min(want.OnDemand, before.OnDemand), Total: min(want.Total, before.Total)}
	of.cloud.mu.Lock()
	of.cloud.calls = nil
	of.cloud.mu.Unlock()
	of.wg.Go(func() { play(ctx, of) })
	least := before
	for start := time.Now(); time.Since(start) < 32*time.Second; time.Sleep(20 * time.Millisecond) {
		have := of.cloud.ordered()
		least = scale.Need{OnDemand: min(least.OnDemand, have.OnDemand), Total: min(least.Total, have.Total)}
	}
	t.Logf("before %+v, least %+v, needed %+v", before, least, want)
	if least.OnDemand < want.OnDemand || least.Total < want.Total {
		of.cloud.mu.Lock()
		defer of.cloud.mu.Unlock()
		t.Errorf("fewer servers ordered than the demand needs: have %+v, want %+v; %q", least, want, of.cloud.calls[:min(len(of.cloud.calls), 12)])
	}
}
