package pool

import (
	"time"

	"lycheepick/internal/rule/units"
)

// RelayedUsage is one node's total for one customer, as relayed by another node.
type RelayedUsage struct {
	Node        units.VMID    `json:"node" cbor:"1,keyasint"`
	Incarnation int64         `json:"life" cbor:"2,keyasint"`
	Total       float64       `json:"total" cbor:"3,keyasint"`
	Age         time.Duration `json:"age" cbor:"4,keyasint"`
}

// Newcomer is a node that has started lately, with its totals as relayed by another node.
type Newcomer struct {
	Node        units.VMID    `json:"node" cbor:"1,keyasint"`
	Incarnation int64         `json:"life" cbor:"2,keyasint"`
	Age         time.Duration `json:"age" cbor:"3,keyasint"`
	Totals      Totals        `json:"totals,omitempty" cbor:"4,keyasint,omitempty"`
}

// Newcomers returns recent totals of peers that have started lately, from a random one on.
func (po *Pool) Newcomers(now time.Time, random uint64) []Newcomer {
	var out []Newcomer
	totals := 0
	pe, at := po.peers, po.peers.instant(now)
	for idx := range pe.ids {
		num := (idx + int(random%uint64(pe.count()))) % pe.count()
		if !pe.isNewcomer(num, at) {
			continue
		}
		ne := po.newcomer(num, at)
		// The totals of a peer are relayed whole, as a total that is missing counts as 0. Its name takes as much as one.
		if totals += 1 + len(ne.Totals); totals > maxNewcomerTotals && len(out) > 0 {
			break
		}
		out = append(out, ne)
	}
	return out
}

func (po *Pool) newcomer(num int, at instant) Newcomer {
	pe := po.peers
	out := Newcomer{Node: pe.ids[num], Incarnation: pe.incarnations[num], Age: at.since(pe.lastReports[num])}
	for id, bu := range po.buckets {
		if us := &bu.usages[num]; us.total != 0 && us.incarnation == out.Incarnation {
			if out.Totals == nil {
				out.Totals = Totals{}
			}
			out.Totals[id] = us.total
		}
	}
	return out
}

// MergeNewcomers merges the totals of nodes that have started lately, where they are newer than those
// known here.
func (po *Pool) MergeNewcomers(now time.Time, list []Newcomer) {
	if len(list) == 0 {
		return
	}
	po.refillAll(now)
	for _, ne := range list {
		num, ok := po.peers.numbers[ne.Node]
		if at := po.peers.instant(now.Add(-ne.Age)); ok && at > po.peers.lastReports[num] && ne.Incarnation >= po.peers.incarnations[num] {
			po.merge(num, at, ne.Incarnation, ne.Totals)
		}
	}
}

// Relay returns the peers' totals to relay: recent ones of customers near their limits, other ones in each call if there
// are too many for one report.
func (po *Pool) Relay(now time.Time) map[units.CustomerID][]RelayedUsage {
	var near []units.CustomerID
	for cu, bu := range po.buckets {
		if bu.level-bu.unreported(now, po.peers) < bu.capacity*maxRelayLevel && bu.demand() >= bu.limit.Rate*minRelayDemand {
			near = append(near, cu)
		}
	}
	if len(near) == 0 {
		return nil
	}
	// Map order is random, so that all of very many customers have their turn.
	near = near[:min(len(near), maxRelayed)]
	out := map[units.CustomerID][]RelayedUsage{}
	for _, cu := range near {
		if list := po.relayed(now, po.buckets[cu], maxRelayed/len(near)); len(list) > 0 {
			out[cu] = list
		}
	}
	return out
}

// relayed returns at most so many recent totals of a customer, and goes on after them in the next call.
func (po *Pool) relayed(now time.Time, bu *bucket, most int) []RelayedUsage {
	var out []RelayedUsage
	at, from := po.peers.instant(now), bu.relayFrom
	for idx := range bu.usages {
		num := (from + idx) % len(bu.usages)
		us := &bu.usages[num]
		if age := at.since(us.reportedAt); us.total != 0 && age <= maxRelayAge {
			out = append(out, RelayedUsage{Node: po.peers.ids[num], Incarnation: us.incarnation, Total: us.total, Age: age})
			if bu.relayFrom = num + 1; len(out) == most {
				break
			}
		}
	}
	return out
}

// demand returns what peers admit together, in units a second.
func (bu *bucket) demand() float64 {
	total := 0.0
	for num := range bu.usages {
		total += bu.usages[num].rate
	}
	return total
}

// MergeRelayed merges totals that a peer relays, where they are newer than those known here.
func (po *Pool) MergeRelayed(now time.Time, relayed map[units.CustomerID][]RelayedUsage) {
	for cu, list := range relayed {
		bu := po.buckets[cu]
		if bu == nil {
			continue
		}
		bu.refill(now, po.peers)
		for _, re := range list {
			num, ok := po.peers.numbers[re.Node]
			if !ok {
				continue
			}
			us, at := &bu.usages[num], po.peers.instant(now.Add(-re.Age))
			if at > us.reportedAt && re.Incarnation >= us.incarnation {
				bu.applyTotal(us, at, re.Incarnation, re.Total, po.peers.count())
			}
		}
	}
}
