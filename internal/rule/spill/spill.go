// Package spill decides which requests of a service may leave the zone of their node. Traffic between zones is slower and is
// charged, but a zone's own servers are sometimes too few.
//
// A node adds up, from its peers' reports, what callers offer to the nodes of each zone, and compares it with what the servers of the zone can carry.
// What a zone lacks is taken from what the others have left, of which each zone that lacks some gets a part in proportion. What is offered
// does not depend on where requests go or how long they wait, so that spilling does not change what it is derived from. Requests in progress
// would: they grow without bound in a zone that lacks servers, and say little of it once its requests leave.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package spill

import (
	"math"
	"time"

	"lycheepick/internal/rule/bound"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

// Leave tells whether a request may leave the zone of its node.
type Leave int

// The decisions.
const (
	// Undecided leaves it to a constant penalty for servers in other zones.
	Undecided Leave = iota
	// Stays makes a server in another zone cost more than the transfer, unless no server of the own zone is usable or can answer in time, or the
	// prompt is cached elsewhere.
	Stays
	// MayLeave makes a server in another zone cost no more than the transfer.
	MayLeave
)

const (
	// A zone begins to spill when its demand exceeds startShare of its capacity, and ends below stopShare. It keeps the share of its capacity
	// to which demand fills all zones together, but keepShare at least. Zones with room take from others up to that share, but fullShare at most:
	// beyond it their own requests would wait for long.
	startShare = 0.8
	keepShare  = 0.7
	stopShare  = 0.6
	fullShare  = 0.85
	// All zones together are busy from keepShare on, until demand falls to idleShare.
	idleShare = 0.65
	// riseTime and fallTime smooth the fraction, since what is offered comes in bursts, and reports of it are up to 2 s old. It rises at once
	// if servers of the zone have gone.
	riseTime = 100 * time.Millisecond
	fallTime = 2 * time.Second
	// minFraction is the fraction below which nothing leaves.
	minFraction = 0.01
	// maxNodeShares bounds the demand of one node that counts, in equal shares of the capacity. Wrong figures of a node can shift no more.
	maxNodeShares = 8
	// maxZones bounds the zones whose demand is told apart, in case peers report names that are none.
	maxZones = 32
	// reportTTL is how long a peer's report counts in a small fleet of nodes, as in package place.
	reportTTL = 2 * time.Second
)

// Offered is what callers have offered to a node since its start.
type Offered struct {
	Requests int64
	// Prompts is the number of prompt tokens that servers had to read.
	Prompts units.Tokens
}

// Capacity is that of the usable servers of a zone.
type Capacity struct {
	Servers, Slots int
}

// Speed is that of one server.
type Speed struct {
	// Prompts is the speed at which it reads prompts, and Request the time that a request takes in one of its slots besides that, 0 if
	// it is not known.
	Prompts units.TokensPerSecond
	Request time.Duration
}

// State is what a decision is based on, in servers that are busy all the time.
type State struct {
	// Demand is what is offered to the nodes of the own zone, and Capacity the servers of the zone.
	Demand, Capacity float64
	// Spare is what the other zones have left for the own one.
	Spare float64
}

// rateWindow is the shortest time over which the rate of what is offered is measured.
const rateWindow = 500 * time.Millisecond

// report is what a node has offered up to a time, and the rates of it before.
type report struct {
	incarnation       int64
	zone              units.ZoneID
	at, since         time.Time
	total             Offered
	requests, prompts float64
	// known is set once there are rates.
	known bool
}

// average smooths a rate, since requests come in bursts.
func (re *report) average(before, sample float64) float64 {
	if !re.known {
		return sample
	}
	return (before + sample) / 2
}

// Book holds what is offered to the nodes of all zones for one service.
type Book struct {
	own     units.ZoneID
	reports map[units.VMID]*report
	// spills is set while the own zone lacks capacity, and fraction is that of its requests that may leave, as of at.
	spills   bool
	fraction float64
	at       time.Time
	state    State
	// servers is the number of usable servers of the own zone.
	servers int
	// busy is set once demand fills all zones together beyond keepShare.
	busy bool
}

// NewBook returns the book of a node in a zone.
func NewBook(own units.ZoneID) *Book { return &Book{own: own, reports: map[units.VMID]*report{}} }

// Report records what has been offered to a node since its start, which incarnation stands for. A node whose zone is not known belongs to none;
// what is offered to it takes up capacity of all zones.
func (bo *Book) Report(now time.Time, node units.VMID, incarnation int64, zone units.ZoneID, total Offered) {
	re := bo.reports[node]
	if re == nil {
		bo.dropOld(now) // Update is not called at a node that gets no requests for the service.
	}
	if re == nil || re.incarnation != incarnation {
		bo.reports[node] = &report{incarnation: incarnation, zone: zone, at: now, since: now, total: total}
		return
	}
	if total.Requests < re.total.Requests || total.Prompts < re.total.Prompts {
		return // An older report: the totals of an incarnation only grow, and two exchanges of a pair of nodes may overlap.
	}
	re.zone, re.at = zone, now
	if du := now.Sub(re.since); du >= rateWindow {
		re.requests = re.average(re.requests, float64(total.Requests-re.total.Requests)/du.Seconds())
		re.prompts = re.average(re.prompts, float64(total.Prompts-re.total.Prompts)/du.Seconds())
		re.since, re.total, re.known = now, total, true
	}
}

// Fraction returns the fraction of the zone's requests that may leave it, and State what it was last derived from.
func (bo *Book) Fraction() float64 { return bo.fraction }

// State returns what the fraction was last derived from.
func (bo *Book) State() State { return bo.state }

// UpdatedAt returns the time of the last Update.
func (bo *Book) UpdatedAt() time.Time { return bo.at }

// Decide returns whether a request may leave, by a hash of its id. It is the same for a request until the fraction changes. While all zones
// together are busy nothing is decided: a choice among all servers, and prompts that are read once for all zones, are worth more than the
// transfers then.
func (bo *Book) Decide(hash uint64) Leave {
	const bits = 53
	if bo.busy {
		return Undecided
	}
	if bo.servers == 0 || float64(hash>>(64-bits))/(1<<bits) < bo.fraction {
		return MayLeave
	}
	return Stays
}

// Update derives the fraction from the reports, in which the node's own is included, and the capacity of each zone.
func (bo *Book) Update(now time.Time, capacity map[units.ZoneID]Capacity, sp Speed) {
	su := bo.sums(now, capacity, sp)
	demand, room, lack := su.demand[bo.own], su.room[bo.own], su.lack(bo.own)
	switch {
	case demand > startShare*room:
		bo.spills = true
	case demand <= stopShare*room:
		bo.spills = false
	}
	spare := su.spare(bo.own, lack)
	target, limit := 0.0, 0.0
	if demand > 0 {
		limit = min(1, spare/demand)
		if bo.spills {
			target = min(limit, lack/demand)
		}
	}
	if capacity[bo.own].Servers < bo.servers { // What has just gone is not made up for by waiting.
		bo.fraction = max(bo.fraction, target)
	}
	bo.fraction = min(limit, bo.smoothed(now, target))
	if bo.fraction < minFraction && target < minFraction {
		bo.fraction = 0
	}
	switch {
	case su.fill > keepShare:
		bo.busy = true
	case su.fill <= idleShare:
		bo.busy = false
	}
	bo.servers = capacity[bo.own].Servers
	bo.at, bo.state = now, State{Demand: demand, Capacity: room, Spare: spare}
}

// smoothed returns the fraction on its way to target.
func (bo *Book) smoothed(now time.Time, target float64) float64 {
	du := fallTime
	if target > bo.fraction {
		du = riseTime
	}
	if bo.at.IsZero() {
		return target
	}
	weight := 1 - math.Exp(-max(0, now.Sub(bo.at).Seconds())/du.Seconds())
	return bo.fraction + (target-bo.fraction)*weight
}

// sums are demand and capacity by zone, in servers that are busy all the time.
type sums struct {
	demand, room map[units.ZoneID]float64
	// fill is the share of the capacity of all zones together that demand takes, and level that to which zones are filled.
	fill, level float64
}

// sums adds up the reports.
func (bo *Book) sums(now time.Time, capacity map[units.ZoneID]Capacity, sp Speed) sums {
	su := sums{demand: map[units.ZoneID]float64{}, room: map[units.ZoneID]float64{}}
	servers, slots := 0, 0
	for _, ca := range capacity {
		servers, slots = servers+ca.Servers, slots+ca.Slots
	}
	bo.dropOld(now)
	slotsEach := float64(max(slots, 1)) / float64(max(servers, 1))
	most := maxNodeShares * float64(servers) / float64(max(len(bo.reports), 1))
	strange := 0.0 // What is offered to nodes of no zone.
	for _, re := range bo.reports {
		// Totals that differ by more than an integer holds give negative rates.
		load := bound.Clamp(max(re.prompts/max(1, float64(sp.Prompts)), re.requests*sp.Request.Seconds()/slotsEach), 0, most)
		if _, known := su.demand[re.zone]; re.zone == "" || !known && len(su.demand) >= maxZones {
			strange += load
			continue
		}
		su.demand[re.zone] += load
	}
	for zone, ca := range capacity {
		su.room[zone] = float64(ca.Servers) * max(0, 1-strange/float64(max(servers, 1)))
	}
	demand, room := 0.0, 0.0
	for _, de := range su.demand {
		demand += de
	}
	for _, ro := range su.room {
		room += ro
	}
	switch {
	case room > 0:
		su.fill = demand / room
	case demand > 0:
		su.fill = math.Inf(1) // Nodes of no zone take up all servers.
	}
	su.level = bound.Clamp(su.fill, keepShare, fullShare)
	return su
}

// dropOld drops the reports of nodes that have been silent.
func (bo *Book) dropOld(now time.Time) {
	limit := watch.SilenceTimeout(reportTTL, len(bo.reports))
	for node, re := range bo.reports {
		if now.Sub(re.at) > limit {
			delete(bo.reports, node)
		}
	}
}

// lack returns what a zone can't carry.
func (su *sums) lack(zone units.ZoneID) float64 {
	return max(0, su.demand[zone]-su.level*su.room[zone])
}

// spare returns what the other zones have left for a zone, shared with those that lack some too in proportion.
func (su *sums) spare(own units.ZoneID, ownLack float64) float64 {
	total, lacks := 0.0, ownLack
	for zone := range su.demand {
		if zone != own {
			lacks += su.lack(zone)
		}
	}
	for zone, room := range su.room {
		if zone != own {
			total += max(0, su.level*room-su.demand[zone])
		}
	}
	if ownLack > 0 && lacks > 0 {
		return total * ownLack / lacks
	}
	return total
}
