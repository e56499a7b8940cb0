// Package replay drives the routing decisions with a seeded workload under a virtual
// clock, and counts what came of them. The engines are reduced to a queue for prompts, a
// number of slots and a set of prefixes.
package replay

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
)

// Engine describes one replica.
type Engine struct {
	Zone        units.ZoneID
	Price       units.PricePerHour
	Slots       int
	PrefillRate units.TokensPerSecond
	Step        time.Duration
	// CacheBlocks is the number of prefix blocks that the engine's memory holds.
	CacheBlocks int
}

// Work describes the requests.
type Work struct {
	// Rate returns the requests a second at a time from the start.
	Rate func(at time.Duration) float64
	For  time.Duration
	// Prefixes is the number of shared beginnings; the first is the most frequent,
	// by a power law with the exponent Skew.
	Prefixes     int
	Skew         float64
	PrefixTokens units.Tokens
	OwnTokens    units.Tokens
	OutputTokens units.Tokens
	FirstToken   time.Duration
	Between      time.Duration
}

// Event changes the fleet at a time from the start.
type Event struct {
	At time.Duration
	// Slow divides the speed of an engine.
	Slow   float64
	Engine int
	// Reclaim takes a zone away after Notice.
	Reclaim units.ZoneID
	Notice  time.Duration
	// Prices multiplies the prices of a zone.
	Prices units.ZoneID
	Factor float64
}

// Config describes one run.
type Config struct {
	Engines []Engine
	Nodes   int
	Work    Work
	Events  []Event
	// ReportEvery is the time between two reports of one engine to one node, and
	// Lag the age of a report when it arrives.
	ReportEvery time.Duration
	Lag         time.Duration
	// CacheLag and CacheLoss describe the cache events that nodes get; without
	// CacheEvents a node knows only of its own dispatches.
	CacheEvents bool
	CacheLag    time.Duration
	CacheLoss   float64
	// Ask is the number of candidates whose present state a node asks for before it
	// dispatches; 0 for none.
	Ask int
	// Exact gives every node the present state of all engines.
	Exact  bool
	Policy func() route.Policy
	Seed   uint64
}

// Result is what a run came to.
type Result struct {
	Requests  int
	Within    int // Requests whose first token came within the target.
	Unserved  int
	First95   time.Duration
	First99   time.Duration
	Between95 time.Duration
	// Prefilled counts prompt tokens computed; Recomputed those of them that were
	// computed because work was lost or moved.
	Prefilled  units.Tokens
	Recomputed units.Tokens
	// CostPerThousand is the price of the engines' busy time, in US dollars, for a
	// thousand requests within the target.
	CostPerThousand float64
	// WorstShare is the busiest engine's share of the requests, as a ratio to the mean.
	WorstShare float64
	// Asks counts the questions for the present state of an engine.
	Asks int
}

// request is one request in progress.
type request struct {
	keys   []units.PrefixKey
	prompt units.Tokens
	output units.Tokens
	first  time.Duration
	end    time.Duration
	began  time.Duration
	step   time.Duration
	arrive time.Duration
	moved  bool
}

// node is one entry VM's view.
type node struct {
	replicas []*route.Server
	policy   route.Policy
	nextPoll int
}

type run struct {
	cfg     Config
	rnd     *rand.Rand
	engines []*engine
	nodes   []*node
	now     time.Duration
	events  []Event
	late    []cacheNote
	firsts  []time.Duration
	steps   []time.Duration
	re      Result
	cost    float64
	polled  time.Duration
	wave    []units.ZoneID
}

// cacheNote is a cache event on its way.
type cacheNote struct {
	at     time.Duration
	engine int
	keys   []units.PrefixKey
}

var epoch = time.Unix(1_000_000, 0)

func (ru *run) clock() time.Time { return epoch.Add(ru.now) }

// Run plays one workload.
func Run(cfg Config) Result {
	ru := &run{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 11))}
	for idx, en := range cfg.Engines {
		ru.engines = append(ru.engines, &engine{
			Engine: en, id: units.VMID(engineName(idx)), speed: 1,
			slots: make([]time.Duration, en.Slots), cache: map[units.PrefixKey]int64{}, mirror: route.NewCache(keysKept),
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

// keysKept bounds a node's model of one engine's cache.
const keysKept = 1 << 13

func (ru *run) newNode() *node {
	no := &node{policy: ru.cfg.Policy()}
	for idx, en := range ru.engines {
		no.replicas = append(no.replicas, &route.Server{
			Instance: units.Instance{VM: en.id, Incarnation: 1}, Zone: en.Zone, Price: en.Price, Usable: true,
			Load: ru.engines[idx].load(0), Dispatches: &route.DispatchLog{}, Cache: route.NewCache(keysKept),
		})
	}
	return no
}

// play generates the arrivals in the order of time.
func (ru *run) play() {
	for {
		rate := ru.cfg.Work.Rate(ru.now)
		ru.advance(ru.now + time.Duration(ru.rnd.ExpFloat64()/rate*float64(time.Second)))
		if ru.now >= ru.cfg.Work.For {
			return
		}
		ru.arrive()
	}
}

// advance moves the clock, with the events and reports on the way.
func (ru *run) advance(to time.Duration) {
	for len(ru.events) > 0 && ru.events[0].At <= to {
		ev := ru.events[0]
		ru.events = ru.events[1:]
		ru.now = max(ru.now, ev.At)
		ru.apply(ev)
	}
	ru.now = to
	ru.poll()
	ru.deliver()
}

// poll lets every node get the reports that are due, in turn over the engines.
func (ru *run) poll() {
	count := len(ru.engines)
	due := int(float64(ru.now-ru.polled) / float64(ru.cfg.ReportEvery) * float64(count))
	if due == 0 || ru.cfg.Exact {
		return
	}
	ru.polled += time.Duration(float64(due) / float64(count) * float64(ru.cfg.ReportEvery))
	due = min(due, count)
	for _, no := range ru.nodes {
		for range due {
			idx := no.nextPoll % count
			no.nextPoll++
			// The report shows the engine as it was a lag ago, as far as the
			// times kept allow.
			no.replicas[idx].Load = ru.engines[idx].load(max(0, ru.now-ru.cfg.Lag))
		}
	}
}

func (ru *run) deliver() {
	for len(ru.late) > 0 && ru.late[0].at <= ru.now {
		cn := ru.late[0]
		ru.late = ru.late[1:]
		for _, no := range ru.nodes {
			if ru.rnd.Float64() >= ru.cfg.CacheLoss {
				no.replicas[cn.engine].Cache.Add(cn.keys)
			}
		}
	}
}

func (ru *run) arrive() {
	wo := &ru.cfg.Work
	prefix := ru.zipf(wo.Prefixes, wo.Skew)
	rq := &request{
		prompt: wo.PrefixTokens + wo.OwnTokens, arrive: ru.now,
		output: units.Tokens(1 + ru.rnd.ExpFloat64()*float64(wo.OutputTokens)),
	}
	for block := units.Tokens(0); block < wo.PrefixTokens/route.BlockTokens; block++ {
		rq.keys = append(rq.keys, units.PrefixKey(uint64(prefix+1)<<20|uint64(block+1))*0x9E3779B97F4A7C15)
	}
	ru.re.Requests++
	if !ru.dispatch(ru.nodes[ru.rnd.IntN(len(ru.nodes))], rq) {
		ru.re.Unserved++
	}
}

// zipf draws a number below count, the small ones more often.
func (ru *run) zipf(count int, skew float64) int {
	if count <= 1 {
		return 0
	}
	val := ru.rnd.Float64()
	return min(count-1, int(float64(count)*math.Pow(val, 1+skew)))
}

// dispatch routes a request and computes when it begins and ends.
func (ru *run) dispatch(no *node, rq *request) bool {
	wo := &ru.cfg.Work
	ask := &route.Request{
		Prefix: rq.keys, PromptTokens: rq.prompt, OutputTokens: wo.OutputTokens,
		FirstToken: wo.FirstToken, BetweenTokens: wo.Between, AvoidZones: ru.wave,
	}
	ru.refresh(no, ask)
	ch, ok := no.policy.Choose(ru.clock(), ask, no.replicas)
	if !ok {
		return false
	}
	if !ru.cfg.Exact {
		ch.Server.Dispatches.Dispatched(ru.clock(), rq.prompt-ch.Cached)
	}
	idx := ru.index(no, ch.Server)
	ru.place(idx, rq)
	ch.Server.Cache.Add(rq.keys)
	if ru.cfg.CacheEvents {
		ru.late = append(ru.late, cacheNote{at: ru.now + ru.cfg.CacheLag, engine: idx, keys: rq.keys})
	}
	return true
}

func (ru *run) index(no *node, re *route.Server) int {
	for idx := range no.replicas {
		if no.replicas[idx] == re {
			return idx
		}
	}
	return -1
}

// refresh gives the node the present state of all engines, or of the candidates that
// it asks about.
func (ru *run) refresh(no *node, ask *route.Request) {
	if ru.cfg.Exact {
		for idx, re := range no.replicas {
			re.Load = ru.engines[idx].load(ru.now)
			re.Cache = ru.engines[idx].mirror
		}
		return
	}
	if ru.cfg.Ask == 0 {
		return
	}
	for range ru.cfg.Ask {
		ch, ok := no.policy.Choose(ru.clock(), ask, no.replicas)
		if !ok || ch.Server.Load.At.Equal(ru.clock()) {
			return // The choice rests on the present state.
		}
		idx := ru.index(no, ch.Server)
		ru.re.Asks++
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

// place runs a request at an engine.
func (ru *run) place(idx int, rq *request) {
	en := ru.engines[idx]
	en.requests++
	fresh := rq.prompt - en.match(rq.keys)
	if rq.moved {
		ru.re.Recomputed += fresh
	}
	ru.re.Prefilled += fresh
	en.hold(rq.keys)
	rate := float64(en.PrefillRate) * en.speed
	busy := time.Duration(float64(fresh) / rate * float64(time.Second))
	en.prefill = max(en.prefill, ru.now) + busy
	rq.step = time.Duration(float64(en.Step) / en.speed)
	slot := en.earliest()
	rq.began = max(en.prefill, en.slots[slot])
	rq.first = rq.began + rq.step
	rq.end = rq.began + rq.step*time.Duration(rq.output)
	en.slots[slot] = rq.end
	en.running = append(en.running, rq)
	share := rq.step.Seconds() * float64(rq.output) / float64(en.Slots)
	ru.cost += float64(en.Price) / time.Hour.Seconds() * (busy.Seconds() + share)
	if !rq.moved {
		ru.firsts = append(ru.firsts, rq.first-rq.arrive)
		if rq.first-rq.arrive <= ru.cfg.Work.FirstToken {
			ru.re.Within++
		}
	}
	ru.steps = append(ru.steps, rq.step)
}

func (ru *run) apply(ev Event) {
	switch {
	case ev.Slow > 0:
		ru.engines[ev.Engine].speed = 1 / ev.Slow
	case ev.Factor > 0:
		ru.reprice(ev)
	case ev.Reclaim != "" && ev.Notice > 0:
		ru.announce(ev)
	case ev.Reclaim != "":
		ru.take(ev.Reclaim)
	}
}

func (ru *run) reprice(ev Event) {
	for idx, en := range ru.engines {
		if en.Zone != ev.Prices {
			continue
		}
		en.Price *= units.PricePerHour(ev.Factor)
		for _, no := range ru.nodes {
			no.replicas[idx].Price = en.Price
		}
	}
}

// announce gives notice of a reclaim: every node stops using the zone.
func (ru *run) announce(ev Event) {
	ru.wave = append(ru.wave, ev.Reclaim)
	for idx, en := range ru.engines {
		if en.Zone != ev.Reclaim {
			continue
		}
		en.leaving = true
		for _, no := range ru.nodes {
			no.replicas[idx].Usable = false
		}
	}
	ru.events = append(ru.events, Event{At: ev.At + ev.Notice, Reclaim: ev.Reclaim})
	sort.SliceStable(ru.events, func(one, two int) bool { return ru.events[one].At < ru.events[two].At })
}

// take reclaims a zone; what runs there is resumed elsewhere.
func (ru *run) take(zone units.ZoneID) {
	for _, en := range ru.engines {
		if en.Zone != zone || en.dead {
			continue
		}
		en.dead = true
		for _, rq := range en.running {
			if rq.end <= ru.now {
				continue
			}
			done := units.Tokens(max(0, ru.now-rq.began) / rq.step)
			rest := &request{
				keys: rq.keys, prompt: rq.prompt + done, output: rq.output - done, arrive: ru.now, moved: true,
			}
			ru.dispatch(ru.nodes[ru.rnd.IntN(len(ru.nodes))], rest)
		}
	}
}

func (ru *run) result() Result {
	re := ru.re
	re.First95, re.First99 = quantile(ru.firsts, 0.95), quantile(ru.firsts, 0.99)
	re.Between95 = quantile(ru.steps, 0.95)
	if re.Within > 0 {
		re.CostPerThousand = ru.cost / float64(re.Within) * 1000
	}
	most := 0
	for _, en := range ru.engines {
		most = max(most, en.requests)
	}
	re.WorstShare = float64(most) * float64(len(ru.engines)) / float64(max(1, re.Requests))
	return re
}

func quantile(list []time.Duration, qu float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sort.Slice(list, func(one, two int) bool { return list[one] < list[two] })
	return list[min(len(list)-1, int(qu*float64(len(list))))]
}
