package crowd

import (
	"fmt"
	"time"

	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/retry"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
	"lycheepick/internal/state/server"
)

const roundEvery = watch.RoundInterval

// Bounds of a node's retries, as the relay has them, and of the naive one.
const (
	retryShare, retryReserve = 0.1, 4
	mostSends                = 2
	// returnShare is the part of the time left within which callers come back when told.
	returnShare = 1.0 / 3
	// atOnce is the pause of callers that don't wait.
	atOnce = 50 * time.Millisecond
)

// node is one entry node: the decisions and what it knows of others.
type node struct {
	ru     *run
	id     units.VMID
	fleet  *place.Fleet
	pool   *pool.Pool
	watch  *watch.Selector
	budget *retry.Budget
	others []units.VMID
	byID   map[units.VMID]*node
	rounds uint64
	// list and own are what the naive node knows.
	list []server.Server
	own  map[units.VMID]int
}

func nodeID(num int) units.VMID { return units.VMID(fmt.Sprint("node-", num)) }

func (ru *run) newNode(num int) *node {
	no := &node{
		ru: ru, id: nodeID(num), fleet: place.NewFleet(), pool: pool.New(ru.tolerance()), watch: watch.New(nodeID(num)),
		budget: retry.NewBudget(retryShare, retryReserve), byID: map[units.VMID]*node{}, own: map[units.VMID]int{},
	}
	li := ru.limit()
	if ru.Naive {
		li.Rate, li.Burst = li.Rate/float64(ru.Nodes), li.Burst/float64(ru.Nodes)
	}
	limits := map[units.CustomerID]pool.Limit{}
	for cu := range customers {
		limits[customerID(cu)] = li
	}
	no.pool.SetLimits(epoch.Add(-settle), limits)
	if !ru.Naive {
		for other := range ru.Nodes {
			if other != num {
				no.others = append(no.others, nodeID(other))
				no.pool.AddPeer(epoch.Add(-settle), nodeID(other))
			}
		}
	}
	no.watch.SetPeers(no.others)
	return no
}

func (no *node) setServers(list []server.Server) {
	no.list = list
	no.fleet.SetServers(no.ru.now, list)
}

// exchange asks some of the other nodes; both sides learn.
func (no *node) exchange() {
	if no.ru.Naive || no.ru.since() > no.ru.For {
		return
	}
	if len(no.byID) == 0 {
		for _, other := range no.ru.nodes {
			no.byID[other.id] = other
		}
	}
	for _, id := range no.watch.SelectPeers(no.rounds, "", no.others) {
		no.byID[id].hear(no)
		no.hear(no.byID[id])
	}
	no.rounds++
	no.ru.in(roundEvery, no.exchange)
}

func (no *node) hear(other *node) {
	now := no.ru.now
	loads, sent := map[units.VMID]place.Load{}, map[units.VMID][]place.BlockID{}
	other.fleet.OwnLoads(loads)
	other.fleet.RecentBlocks(now, sent)
	no.fleet.SetPeerLoads(now, len(no.others), other.id, loads)
	no.fleet.AddPeerBlocks(now, sent)
	no.pool.MergeReport(now, other.id, 1, other.pool.Admitted())
	no.pool.MergeRelayed(now, other.pool.Relay(now))
}

// request is one request of a caller.
type request struct {
	ru       *run
	at       time.Time
	customer units.CustomerID
	ask      place.Request
	tries    int
	// The attempt in progress.
	node    *node
	engine  *engine
	ticket  place.Ticket
	sends   int
	began   bool
	settled bool
}

func (rq *request) second() *Second { return &rq.ru.re.Seconds[int(rq.at.Sub(epoch)/time.Second)] }

// count notes a request's outcome.
func (rq *request) count(of func(*Second) *int) {
	rq.settled = true
	*of(rq.second())++
	*of(&rq.ru.re.Second)++
}

func (rq *request) left() time.Duration { return rq.at.Add(deadline).Sub(rq.ru.now) }

func (rq *request) size() float64 { return float64(rq.ask.Prompt) }

// serve takes a request from its caller.
func (no *node) serve(rq *request) {
	now := no.ru.now
	rq.node = no
	late := rq.tries > 0 && !no.ru.Naive && now.Sub(rq.at) > target
	ok, after := no.pool.Take(now, rq.customer, rq.size(), late)
	if !ok {
		rq.refused(after)
		return
	}
	no.budget.RecordFirst()
	if !no.send(rq) {
		no.pool.Refund(rq.customer, rq.size())
	}
}

// refused lets a caller come back once, if it can.
func (rq *request) refused(after time.Duration) {
	rq.tries++
	if rq.ru.Load.Impatient {
		after = atOnce
	}
	if rq.tries > 1 || after > time.Duration(float64(rq.left())*returnShare) {
		rq.count(func(se *Second) *int { return &se.Refused })
		return
	}
	rq.ru.in(after, func() { rq.ru.nodes[rq.ru.rnd.IntN(len(rq.ru.nodes))].serve(rq) })
}

// send sends a request to a server, or refuses it. It returns false if it was not sent.
func (no *node) send(rq *request) bool {
	ch, found := no.choose(rq)
	if !found {
		rq.refused(atOnce)
		return false
	}
	if !no.ru.Naive && rq.sends == 0 {
		hopeless, after := admit.ShouldRefuse(admit.Prediction{
			FirstToken: ch.FirstToken, Waited: no.ru.now.Sub(rq.at), Remaining: rq.left(), Target: target, SpareCapacity: ch.SpareCapacity,
		})
		if hopeless {
			rq.refused(after)
			return false
		}
	}
	if rq.customer == customerID(0) && rq.sends == 0 {
		no.ru.admits = append(no.ru.admits, admission{at: no.ru.now, size: rq.size()})
	}
	rq.sends++
	rq.ticket = no.fleet.Dispatch(no.ru.now, &rq.ask, &ch)
	no.own[ch.Server.ID]++
	rq.engine = no.ru.engineOf(ch.Server.ID)
	rq.engine.take(rq)
	return true
}

func (no *node) choose(rq *request) (place.Choice, bool) {
	if !no.ru.Naive {
		return no.fleet.Choose(no.ru.now, &rq.ask)
	}
	best := -1
	for idx, sv := range no.list {
		if !sv.Draining && (best < 0 || no.own[sv.ID] < no.own[no.list[best].ID]) {
			best = idx
		}
	}
	if best < 0 {
		return place.Choice{}, false
	}
	return place.Choice{Server: no.list[best]}, true
}

// ended notes the end of an attempt at its node.
func (rq *request) ended(res place.Result) {
	rq.node.fleet.End(rq.ru.now, rq.engine.id, rq.ticket, res)
	rq.node.own[rq.engine.id]--
	delete(rq.engine.running, rq)
}

// cut ends an attempt whose server is gone. One that has no token yet goes elsewhere.
func (rq *request) cut() {
	rq.ended(place.Incomplete)
	if rq.began || rq.sends >= mostSends || !rq.node.budget.Spend() {
		if !rq.began {
			rq.count(func(se *Second) *int { return &se.Lost })
		}
		return
	}
	rq.ask.Avoid = append(rq.ask.Avoid, rq.engine.id)
	if !rq.node.send(rq) && !rq.settled {
		rq.count(func(se *Second) *int { return &se.Lost })
	}
}
