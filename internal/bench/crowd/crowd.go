// Package crowd replays a seeded load through the decisions of a fleet of nodes in one
// process, under a virtual clock: placing, limits, refusing, retries and the exchange
// between nodes are the product's own code. Backend servers are reduced to a queue of
// prompts, slots and the parts of prompts that they hold. It is a replay of decisions, not
// a simulator of a cluster: nothing takes time but reading prompts and making tokens.
package crowd

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/server"
)

// Load is a pattern of requests and of reclaims. Functions take the time from the start.
type Load struct {
	Name string
	// Factor multiplies the usual rate of requests.
	Factor func(at time.Duration) float64
	// HotKey is the share of requests that are about one thing.
	HotKey func(at time.Duration) float64
	// HotCustomer multiplies the requests of the first customer.
	HotCustomer func(at time.Duration) float64
	// Impatient callers repeat at once, and not when they are told to.
	Impatient bool
	Reclaims  []Reclaim
}

// Reclaim takes a share of the servers away, of which those numbered from From on.
type Reclaim struct {
	At, Notice, For time.Duration
	From, Share     float64
}

// Setup is one run.
type Setup struct {
	Nodes, Servers int
	// Naive selects the baseline: least own requests in flight, an equal part of each limit
	// for each node, no refusals for lack of time.
	Naive bool
	Load  Load
	For   time.Duration
	Seed  uint64
}

// The request that is replayed, from the users' sheets: a draft, its target and deadline,
// and what a server does in a second.
const (
	headTokens, thingTokens, ownTokens units.Tokens = 2520, 3780, 2890

	target, deadline = 400 * time.Millisecond, 5 * time.Second
	outputTokens     = 50
	step             = 7 * time.Millisecond
	slots            = 16
	readRate         = 110_000
	heldTokens       = 473_018
	heads            = 4
	thingsPerServer  = 17
	customers        = 16
	// perServer is the usual rate of requests for each server.
	perServer = 8
	// limitFactor is the ratio of a customer's limit to its usual use.
	limitFactor = 1.8
	// noticeTime is how long news of a reclaim takes to all nodes.
	noticeTime = 300 * time.Millisecond
	// bootTime is the time until a server that was reclaimed is replaced.
	bootTime = 4 * time.Second
	// roundTrip is the time between a node and a server and back.
	roundTrip = 2 * time.Millisecond
	// tolerance is the platform's, with room for one window of eight seconds.
	toleranceWindow = 8 * time.Second
	toleranceShare  = 0.1
)

// Second is what came of the requests that arrived in one second.
type Second struct {
	Asked, InTime, Late, Refused, Lost int
}

// Result is what came of a run.
type Result struct {
	Second
	// Read counts prompt tokens that servers read, Needed those that had to be read once.
	Read, Needed units.Tokens
	// Over is the most that the first customer was admitted in a window, as a ratio to what
	// the platform allows.
	Over    float64
	Seconds []Second
}

var epoch = time.Unix(1_000_000, 0)

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	play  func()
}

type agenda []event

// Len implements heap.Interface.
func (ag agenda) Len() int { return len(ag) }

// Less implements heap.Interface.
func (ag agenda) Less(one, two int) bool {
	if !ag[one].at.Equal(ag[two].at) {
		return ag[one].at.Before(ag[two].at)
	}
	return ag[one].order < ag[two].order
}

// Swap implements heap.Interface.
func (ag agenda) Swap(one, two int) { ag[one], ag[two] = ag[two], ag[one] }

// Push implements heap.Interface.
func (ag *agenda) Push(ev any) { *ag = append(*ag, ev.(event)) }

// Pop implements heap.Interface.
func (ag *agenda) Pop() any {
	last := (*ag)[len(*ag)-1]
	*ag = (*ag)[:len(*ag)-1]
	return last
}

type run struct {
	Setup
	// arrivals draws requests, rnd the rest: fleets with other decisions get the same requests.
	arrivals, rnd *rand.Rand

	now     time.Time
	agenda  agenda
	order   int
	engines []*engine
	nodes   []*node
	own     place.BlockID
	seen    map[place.BlockID]bool
	admits  []admission
	re      Result
}

// admission is one request of the first customer that was admitted.
type admission struct {
	at   time.Time
	size float64
}

// Run replays one load.
func Run(se Setup) Result {
	ru := &run{
		Setup: se, arrivals: rand.New(rand.NewPCG(se.Seed, 17)), rnd: rand.New(rand.NewPCG(se.Seed, 18)),
		now: epoch, own: 1 << 24, seen: map[place.BlockID]bool{},
	}
	ru.re.Seconds = make([]Second, int(se.For/time.Second)+1)
	for num := range se.Servers {
		ru.engines = append(ru.engines, newEngine(num))
	}
	for num := range se.Nodes {
		ru.nodes = append(ru.nodes, ru.newNode(num))
	}
	ru.listServers()
	// Nodes have found each other and their buckets are full when callers come.
	for num, no := range ru.nodes {
		ru.at(-settle+time.Duration(num)*roundEvery/time.Duration(se.Nodes), no.exchange)
	}
	for _, rc := range se.Load.Reclaims {
		ru.at(rc.At, func() { ru.reclaim(rc) })
	}
	ru.at(0, ru.arrive)
	for len(ru.agenda) > 0 {
		ev := heap.Pop(&ru.agenda).(event)
		ru.now = ev.at
		ev.play()
	}
	ru.re.Over = ru.over()
	return ru.re
}

// settle is the time before the first request.
const settle = 3 * time.Second

// at plans something for a time from the start.
func (ru *run) at(from time.Duration, play func()) {
	ru.order++
	heap.Push(&ru.agenda, event{at: epoch.Add(from), order: ru.order, play: play})
}

// in plans something for a time from now.
func (ru *run) in(after time.Duration, play func()) { ru.at(ru.since()+after, play) }

func (ru *run) since() time.Duration { return ru.now.Sub(epoch) }

// total returns the usual rate of requests.
func (ru *run) total() float64 { return float64(ru.Servers) * perServer }

// hotness returns the factor of the first customer.
func (ru *run) hotness() float64 {
	if ru.Load.HotCustomer == nil {
		return 1
	}
	return ru.Load.HotCustomer(ru.since())
}

// arrive lets one request arrive and plans the next.
func (ru *run) arrive() {
	if ru.since() >= ru.For {
		return
	}
	rate, hot := ru.total(), ru.hotness()
	if ru.Load.Factor != nil {
		rate *= ru.Load.Factor(ru.since())
	}
	rate *= (hot + customers - 1) / customers
	ru.in(time.Duration(ru.arrivals.ExpFloat64()/rate*float64(time.Second)), ru.arrive)
	rq := ru.newRequest(hot)
	se := rq.second()
	se.Asked++
	ru.re.Asked++
	ru.nodes[ru.arrivals.IntN(len(ru.nodes))].serve(rq)
}

func (ru *run) newRequest(hot float64) *request {
	customer := ru.arrivals.IntN(customers)
	if ru.arrivals.Float64() < (hot-1)/(hot+customers-1) {
		customer = 0
	}
	thing := ru.arrivals.IntN(thingsPerServer * ru.Servers)
	if ru.Load.HotKey != nil && ru.arrivals.Float64() < ru.Load.HotKey(ru.since()) {
		thing = 0
	}
	ru.own++
	rq := &request{ru: ru, at: ru.now, customer: customerID(customer), ask: place.Request{
		Zone: "a", Prompt: headTokens + thingTokens + ownTokens,
		Blocks: []place.Block{
			{ID: place.BlockID(thing % heads), Tokens: headTokens},
			{ID: place.BlockID(heads + thing), Tokens: thingTokens},
			{ID: ru.own, Tokens: ownTokens},
		},
	}}
	for _, pa := range rq.ask.Blocks {
		if !ru.seen[pa.ID] {
			ru.re.Needed += pa.Tokens
		}
		ru.seen[pa.ID] = true
	}
	return rq
}

func customerID(num int) units.CustomerID { return units.CustomerID(fmt.Sprint("customer-", num)) }

// limit is each customer's limit.
func (ru *run) limit() pool.Limit {
	usual := ru.total() / customers * float64(headTokens+thingTokens+ownTokens)
	return pool.Limit{Rate: usual * limitFactor, Burst: usual * limitFactor}
}

func (ru *run) tolerance() pool.Tolerance {
	return pool.Tolerance{Window: toleranceWindow, Share: toleranceShare, Fixed: ru.limit().Rate * 0.2}
}

// over returns the most that the first customer was admitted in a window, as a ratio.
func (ru *run) over() float64 {
	most, sum, from := 0.0, 0.0, 0
	for _, ad := range ru.admits {
		for ad.at.Sub(ru.admits[from].at) > toleranceWindow {
			sum -= ru.admits[from].size
			from++
		}
		sum += ad.size
		most = max(most, sum)
	}
	li, to := ru.limit(), ru.tolerance()
	return most / ((li.Rate*toleranceWindow.Seconds()+li.Burst)*(1+to.Share) + to.Fixed)
}

// listServers tells all nodes which servers there are.
func (ru *run) listServers() {
	var list []server.Server
	for _, en := range ru.engines {
		if !en.dead {
			list = append(list, server.Server{ID: en.id, Status: server.Status{
				Zone: "a", Slots: slots, StartUnixMS: en.born, Draining: en.leaving, Spot: en.spot,
			}})
		}
	}
	for _, no := range ru.nodes {
		no.setServers(list)
	}
}

// reclaim gives notice to servers, takes them away, and brings others in their place.
func (ru *run) reclaim(rc Reclaim) {
	from := int(rc.From * float64(len(ru.engines)))
	gone := ru.engines[from:min(len(ru.engines), from+int(rc.Share*float64(len(ru.engines))))]
	for _, en := range gone {
		en.leaving = true
	}
	ru.in(noticeTime, ru.listServers)
	ru.in(rc.Notice, func() {
		for _, en := range gone {
			en.dead = true
			for rq := range en.running {
				rq.cut()
			}
		}
	})
	ru.in(rc.Notice+noticeTime, ru.listServers)
	ru.in(rc.Notice+rc.For+bootTime, func() {
		for _, en := range gone {
			en.restart()
		}
		ru.listServers()
	})
}
