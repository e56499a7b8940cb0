// Package replay evaluates routing policies: it runs a seeded workload against simulated
// engines under a virtual clock and reports latency, cost and cache use. An engine is
// modelled as a prefill queue, a number of decode slots and a prefix cache.
package replay

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
)

// Engine describes one engine. Step is the time per output token.
type Engine struct {
	Zone        units.ZoneID
	Price       units.PricePerHour
	Slots       int
	PrefillRate units.TokensPerSecond
	Step        time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks.
	CacheBlocks int
}

// Workload describes the requests and their latency targets.
type Workload struct {
	// Rate returns the requests per second at a time since the start of the run.
	Rate     func(at time.Duration) float64
	Duration time.Duration
	// Prefixes is the number of shared prompt prefixes. The first is the most frequent,
	// by a power law with the exponent Skew.
	Prefixes            int
	Skew                float64
	PrefixTokens        units.Tokens
	UniqueTokens        units.Tokens
	OutputTokens        units.Tokens
	FirstTokenTarget    time.Duration
	BetweenTokensTarget time.Duration
}

// Event changes the fleet at a time since the start of the run. One event makes one change.
type Event struct {
	At time.Duration
	// SlowFactor divides the original speed of Engine.
	SlowFactor float64
	Engine     int
	// ReclaimZone is a zone to reclaim after Notice.
	ReclaimZone units.ZoneID
	Notice      time.Duration
	// RepriceZone is a zone whose prices are multiplied by PriceFactor.
	RepriceZone units.ZoneID
	PriceFactor float64
}

// Config holds the parameters of one run.
type Config struct {
	Engines  []Engine
	Nodes    int
	Workload Workload
	Events   []Event
	// ReportEvery is the time between two reports of one engine to one node, and
	// ReportLag the age of a report when it arrives.
	ReportEvery time.Duration
	ReportLag   time.Duration
	// CacheLag is the delay of the cache events that nodes receive, CacheLoss the share
	// that is lost. Without CacheEvents a node knows only its own dispatches.
	CacheEvents bool
	CacheLag    time.Duration
	CacheLoss   float64
	// MaxProbes is the maximum number of candidates whose current state a node queries
	// before a dispatch; 0 disables probes.
	MaxProbes int
	// Exact gives every node the current state of all engines.
	Exact  bool
	Policy func() route.Policy
	Seed   uint64
}

// Result summarises a run. First-token times count from the arrival of a request.
type Result struct {
	Requests         int
	WithinTarget     int // Requests whose first token met the target.
	Unserved         int
	FirstTokenP95    time.Duration
	FirstTokenP99    time.Duration
	BetweenTokensP95 time.Duration
	// Prefilled counts the prompt tokens that engines computed, Recomputed those of them
	// that were computed again because a reclaim moved the request to another engine.
	Prefilled  units.Tokens
	Recomputed units.Tokens
	// CostPerThousand is the price in US dollars of the engines' busy time per thousand
	// requests within the target.
	CostPerThousand float64
	// MaxRequestRatio is the number of requests of the busiest engine, as a ratio to the
	// mean.
	MaxRequestRatio float64
	// Probes counts the queries for the current state of an engine.
	Probes int
}

// request is one request or, if resumed is set, the rest of one whose engine was reclaimed.
type request struct {
	keys       []units.PrefixKey
	prompt     units.Tokens
	output     units.Tokens
	firstToken time.Duration
	end        time.Duration
	start      time.Duration
	step       time.Duration
	arrival    time.Duration
	resumed    bool
}

// node is an entry node: its routing policy and its view of the engines.
type node struct {
	servers  []*route.Server
	policy   route.Policy
	nextPoll int
}

type run struct {
	cfg             Config
	rnd             *rand.Rand
	engines         []*engine
	nodes           []*node
	now             time.Duration
	events          []Event
	cacheEvents     []cacheEvent
	firstTokenTimes []time.Duration
	stepTimes       []time.Duration
	totals          Result
	cost            float64
	polledUntil     time.Duration
	reclaimedZones  []units.ZoneID
}

// cacheEvent tells nodes at time at that an engine has cached keys.
type cacheEvent struct {
	at     time.Duration
	engine int
	keys   []units.PrefixKey
}

var epoch = time.Unix(1_000_000, 0)

func (ru *run) clock() time.Time { return epoch.Add(ru.now) }

// Run simulates one workload. The same config always gives the same result.
func Run(cfg Config) Result {
	ru := &run{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 11))}
	for idx, en := range cfg.Engines {
		ru.engines = append(ru.engines, &engine{
			Engine: en, id: units.VMID(engineName(idx)), speed: 1,
			slots: make([]time.Duration, en.Slots), cache: map[units.PrefixKey]int64{}, mirror: route.NewCache(maxCacheKeys),
		})
	}
	for range cfg.Nodes {
		ru.nodes = append(ru.nodes, ru.newNode())
	}
	ru.events = append(ru.events, cfg.Events...)
	sort.SliceStable(ru.events, func(one, two int) bool { return ru.events[one].At < ru.events[two].At })
	ru.play()
	return ru.result()
}

// maxCacheKeys bounds a node's model of one engine's cache, in keys.
const maxCacheKeys = 1 << 13

func (ru *run) newNode() *node {
	no := &node{policy: ru.cfg.Policy()}
	for idx, en := range ru.engines {
		no.servers = append(no.servers, &route.Server{
			Instance: units.Instance{VM: en.id, Incarnation: 1}, Zone: en.Zone, Price: en.Price, Usable: true,
			Load: ru.engines[idx].load(0), Dispatches: &route.DispatchLog{}, Cache: route.NewCache(maxCacheKeys),
		})
	}
	return no
}

// play generates arrivals with exponential gaps until the end of the workload.
func (ru *run) play() {
	for {
		rate := ru.cfg.Workload.Rate(ru.now)
		ru.advance(ru.now + time.Duration(ru.rnd.ExpFloat64()/rate*float64(time.Second)))
		if ru.now >= ru.cfg.Workload.Duration {
			return
		}
		ru.arrive()
	}
}

// advance moves the clock forward and applies the events and reports that are due.
func (ru *run) advance(to time.Duration) {
	for len(ru.events) > 0 && ru.events[0].At <= to {
		ev := ru.events[0]
		ru.events = ru.events[1:]
		ru.now = max(ru.now, ev.At)
		ru.apply(ev)
	}
	ru.now = to
	ru.poll()
	ru.deliverCacheEvents()
}

// poll delivers the load reports that are due to every node, engine by engine in turn.
func (ru *run) poll() {
	count := len(ru.engines)
	due := int(float64(ru.now-ru.polledUntil) / float64(ru.cfg.ReportEvery) * float64(count))
	if due == 0 || ru.cfg.Exact {
		return
	}
	ru.polledUntil += time.Duration(float64(due) / float64(count) * float64(ru.cfg.ReportEvery))
	due = min(due, count)
	for _, no := range ru.nodes {
		for range due {
			idx := no.nextPoll % count
			no.nextPoll++
			// The report is ReportLag old. It is derived from the current queue, so it
			// also counts requests that were dispatched since.
			no.servers[idx].Load = ru.engines[idx].load(max(0, ru.now-ru.cfg.ReportLag))
		}
	}
}

func (ru *run) deliverCacheEvents() {
	for len(ru.cacheEvents) > 0 && ru.cacheEvents[0].at <= ru.now {
		ce := ru.cacheEvents[0]
		ru.cacheEvents = ru.cacheEvents[1:]
		for _, no := range ru.nodes {
			if ru.rnd.Float64() >= ru.cfg.CacheLoss {
				no.servers[ce.engine].Cache.Add(ce.keys)
			}
		}
	}
}

func (ru *run) arrive() {
	wo := &ru.cfg.Workload
	prefix := ru.zipf(wo.Prefixes, wo.Skew)
	rq := &request{
		prompt: wo.PrefixTokens + wo.UniqueTokens, arrival: ru.now,
		output: units.Tokens(1 + ru.rnd.ExpFloat64()*float64(wo.OutputTokens)),
	}
	for block := units.Tokens(0); block < wo.PrefixTokens/route.BlockTokens; block++ {
		rq.keys = append(rq.keys, units.PrefixKey(uint64(prefix+1)<<20|uint64(block+1))*0x9E3779B97F4A7C15)
	}
	ru.totals.Requests++
	if !ru.dispatch(ru.nodes[ru.rnd.IntN(len(ru.nodes))], rq) {
		ru.totals.Unserved++
	}
}

// zipf draws a number from 0 to count-1 by a power law; small numbers are more frequent.
func (ru *run) zipf(count int, skew float64) int {
	if count <= 1 {
		return 0
	}
	val := ru.rnd.Float64()
	return min(count-1, int(float64(count)*math.Pow(val, 1+skew)))
}

// dispatch routes a request and runs it at the chosen engine. It returns false if the policy
// finds no usable engine.
func (ru *run) dispatch(no *node, rq *request) bool {
	wo := &ru.cfg.Workload
	ask := &route.Request{
		Prefix: rq.keys, PromptTokens: rq.prompt, OutputTokens: wo.OutputTokens,
		FirstToken: wo.FirstTokenTarget, BetweenTokens: wo.BetweenTokensTarget, AvoidZones: ru.reclaimedZones,
	}
	ru.refreshState(no, ask)
	ch, ok := no.policy.Choose(ru.clock(), ask, no.servers)
	if !ok {
		return false
	}
	if !ru.cfg.Exact {
		ch.Server.Dispatches.Dispatched(ru.clock(), rq.prompt-ch.Cached)
	}
	idx := ru.index(no, ch.Server)
	ru.execute(idx, rq)
	ch.Server.Cache.Add(rq.keys)
	if ru.cfg.CacheEvents {
		ru.cacheEvents = append(ru.cacheEvents, cacheEvent{at: ru.now + ru.cfg.CacheLag, engine: idx, keys: rq.keys})
	}
	return true
}

func (ru *run) index(no *node, sv *route.Server) int {
	for idx := range no.servers {
		if no.servers[idx] == sv {
			return idx
		}
	}
	return -1
}

// refreshState updates the node's view with the current state of all engines (Exact) or of up
// to MaxProbes candidates.
func (ru *run) refreshState(no *node, ask *route.Request) {
	if ru.cfg.Exact {
		for idx, sv := range no.servers {
			sv.Load = ru.engines[idx].load(ru.now)
			sv.Cache = ru.engines[idx].mirror
		}
		return
	}
	if ru.cfg.MaxProbes == 0 {
		return
	}
	for range ru.cfg.MaxProbes {
		ch, ok := no.policy.Choose(ru.clock(), ask, no.servers)
		if !ok || ch.Server.Load.At.Equal(ru.clock()) {
			return // The chosen engine's state is current.
		}
		idx := ru.index(no, ch.Server)
		ru.totals.Probes++
		ch.Server.Load = ru.engines[idx].load(ru.now)
		if held := ru.engines[idx].mirror.Match(ask.Prefix); held > 0 {
			ch.Server.Cache.Add(ask.Prefix[:held/route.BlockTokens])
		} else if len(ask.Prefix) > 0 {
			for _, key := range ask.Prefix {
				ch.Server.Cache.Remove(key)
			}
		}
	}
}

// execute runs a request at an engine: it computes the times of the first and last token and
// adds up tokens, cost and latencies.
func (ru *run) execute(idx int, rq *request) {
	en := ru.engines[idx]
	en.requests++
	fresh := rq.prompt - en.cachedTokens(rq.keys)
	if rq.resumed {
		ru.totals.Recomputed += fresh
	}
	ru.totals.Prefilled += fresh
	en.store(rq.keys)
	rate := float64(en.PrefillRate) * en.speed
	busy := time.Duration(float64(fresh) / rate * float64(time.Second))
	en.prefillEnd = max(en.prefillEnd, ru.now) + busy
	rq.step = time.Duration(float64(en.Step) / en.speed)
	slot := en.earliestSlot()
	rq.start = max(en.prefillEnd, en.slots[slot])
	rq.firstToken = rq.start + rq.step
	rq.end = rq.start + rq.step*time.Duration(rq.output)
	en.slots[slot] = rq.end
	en.running = append(en.running, rq)
	share := rq.step.Seconds() * float64(rq.output) / float64(en.Slots)
	ru.cost += float64(en.Price) / time.Hour.Seconds() * (busy.Seconds() + share)
	if !rq.resumed {
		ru.firstTokenTimes = append(ru.firstTokenTimes, rq.firstToken-rq.arrival)
		if rq.firstToken-rq.arrival <= ru.cfg.Workload.FirstTokenTarget {
			ru.totals.WithinTarget++
		}
	}
	ru.stepTimes = append(ru.stepTimes, rq.step)
}

func (ru *run) apply(ev Event) {
	switch {
	case ev.SlowFactor > 0:
		ru.engines[ev.Engine].speed = 1 / ev.SlowFactor
	case ev.PriceFactor > 0:
		ru.reprice(ev)
	case ev.ReclaimZone != "" && ev.Notice > 0:
		ru.announceReclaim(ev)
	case ev.ReclaimZone != "":
		ru.reclaim(ev.ReclaimZone)
	}
}

func (ru *run) reprice(ev Event) {
	for idx, en := range ru.engines {
		if en.Zone != ev.RepriceZone {
			continue
		}
		en.Price *= units.PricePerHour(ev.PriceFactor)
		for _, no := range ru.nodes {
			no.servers[idx].Price = en.Price
		}
	}
}

// announceReclaim marks the engines of a zone unusable for every node and schedules the
// reclaim at the end of the notice.
func (ru *run) announceReclaim(ev Event) {
	ru.reclaimedZones = append(ru.reclaimedZones, ev.ReclaimZone)
	for idx, en := range ru.engines {
		if en.Zone != ev.ReclaimZone {
			continue
		}
		en.leaving = true
		for _, no := range ru.nodes {
			no.servers[idx].Usable = false
		}
	}
	ru.events = append(ru.events, Event{At: ev.At + ev.Notice, ReclaimZone: ev.ReclaimZone})
	sort.SliceStable(ru.events, func(one, two int) bool { return ru.events[one].At < ru.events[two].At })
}

// reclaim ends the engines of a zone. Their running requests are resumed at other engines,
// with the tokens produced so far added to the prompt.
func (ru *run) reclaim(zone units.ZoneID) {
	for _, en := range ru.engines {
		if en.Zone != zone || en.dead {
			continue
		}
		en.dead = true
		for _, rq := range en.running {
			if rq.end <= ru.now {
				continue
			}
			done := units.Tokens(max(0, ru.now-rq.start) / rq.step)
			rest := &request{
				keys: rq.keys, prompt: rq.prompt + done, output: rq.output - done, arrival: ru.now, resumed: true,
			}
			ru.dispatch(ru.nodes[ru.rnd.IntN(len(ru.nodes))], rest)
		}
	}
}

func (ru *run) result() Result {
	re := ru.totals
	re.FirstTokenP95, re.FirstTokenP99 = quantile(ru.firstTokenTimes, 0.95), quantile(ru.firstTokenTimes, 0.99)
	re.BetweenTokensP95 = quantile(ru.stepTimes, 0.95)
	if re.WithinTarget > 0 {
		re.CostPerThousand = ru.cost / float64(re.WithinTarget) * 1000
	}
	busiest := 0
	for _, en := range ru.engines {
		busiest = max(busiest, en.requests)
	}
	re.MaxRequestRatio = float64(busiest) * float64(len(ru.engines)) / float64(max(1, re.Requests))
	return re
}

func quantile(list []time.Duration, qu float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(one, two int) bool { return list[one] < list[two] })
	return list[min(len(list)-1, int(qu*float64(len(list))))]
}
