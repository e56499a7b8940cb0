package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/scale"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
)

const (
	// repeatOrder is the time after which an order that is not met is given once more.
	repeatOrder = 2 * time.Second
	// confirmOrder is the time after which an order is repeated in any case, since an
	// earlier holder's call may have arrived late.
	confirmOrder = 10 * time.Second
	// priorTime is the time of traffic after which the demand is taken as seen.
	priorTime = 4 * time.Second
)

// orderKey names what is ordered together.
type orderKey struct {
	service units.TargetID
	zone    units.ZoneID
	spot    bool
}

// given is the last order that the platform accepted or refused.
type given struct {
	count    int
	at       time.Time
	accepted bool
}

type orders struct {
	demand map[units.TargetID]*scale.Demand
	// based are the demands that orders are based on.
	based map[units.TargetID]units.TokensPerSecond
	need  map[units.TargetID]scale.Need
	given map[orderKey]given
	dry   map[units.TargetID]scale.ZonesWithoutSpot
	// traffic is when the first work was seen.
	traffic time.Time
	// known is set if an earlier holder has told the demand.
	known bool
}

func newOrders() orders {
	return orders{demand: map[units.TargetID]*scale.Demand{}, based: map[units.TargetID]units.TokensPerSecond{}, need: map[units.TargetID]scale.Need{}, given: map[orderKey]given{}, dry: map[units.TargetID]scale.ZonesWithoutSpot{}}
}

// rates returns the demands that orders were based on, for the record of the duty.
func (od *orders) rates() map[units.TargetID]units.TokensPerSecond { return od.based }

// take takes over the demands that a holder has written.
func (od *orders) take(rates map[units.TargetID]units.TokensPerSecond) {
	for id, rate := range rates {
		if od.demand[id] == nil {
			od.demand[id] = scale.NewDemand()
		}
		od.demand[id].SetInitial(rate)
		od.known = true
	}
}

// followDemand follows the demand at every node, so that a successor knows it at once.
func (no *Node) followDemand() {
	fo := no.config.Load()
	if fo == nil {
		return
	}
	for idx := range fo.Services {
		if se := &fo.Services[idx]; se.Scaling != nil {
			od := &no.duty.orders
			od.based[se.ID] = no.demandOf(se.ID)
			od.need[se.ID] = no.set.Orders.Need(od.based[se.ID], no.priorDemand(fo.Config), od.need[se.ID])
		}
	}
}

// orderServers gives the orders that are due.
func (no *Node) orderServers(ctx context.Context) {
	fo := no.config.Load()
	if fo == nil {
		return
	}
	for idx := range fo.Services {
		se := &fo.Services[idx]
		if _, held := no.duty.lease.Active(bootTime()); held && se.Scaling != nil {
			no.orderService(ctx, se)
		}
	}
}

// demandOf returns the demand for a service over all nodes.
func (no *Node) demandOf(id units.TargetID) units.TokensPerSecond {
	de := no.duty.orders.demand[id]
	if de == nil {
		de = scale.NewDemand()
		no.duty.orders.demand[id] = de
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	de.Report(no.source(), total(no.offered[id]))
	for node, he := range no.heard {
		de.Report(sourceOf(node, he.life), total(he.offered[id]))
	}
	return de.Rate(time.Now())
}

// priorDemand stands in for the demand until enough of it has been seen: customers use a
// part of their limits.
func (no *Node) priorDemand(co *routes.Config) units.TokensPerSecond {
	od := &no.duty.orders
	if od.known {
		return 0
	}
	if od.traffic.IsZero() && no.sawTraffic() {
		od.traffic = time.Now()
	}
	if !od.traffic.IsZero() && time.Since(od.traffic) > priorTime {
		return 0
	}
	total := 0.0
	for idx := range co.Customers {
		if co.Customers[idx].ByTokens {
			total += co.Customers[idx].Rate
		}
	}
	return units.TokensPerSecond(total * no.set.Orders.PriorShare)
}

// sawTraffic tells whether any node was offered work.
func (no *Node) sawTraffic() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	if len(no.offered) > 0 {
		return true
	}
	for _, he := range no.heard {
		if len(he.offered) > 0 {
			return true
		}
	}
	return false
}

func total(wo pulse.Work) scale.Totals {
	return scale.Totals{Prompt: wo.Prompt, Requests: wo.Requests, Late: wo.Late}
}

func (no *Node) orderService(ctx context.Context, se *routes.Service) {
	have, leaving := map[orderKey]int{}, map[orderKey]int{}
	now := time.Now()
	for _, lo := range no.relay.Servers(now, se.ID) {
		key := orderKey{service: se.ID, zone: lo.Zone, spot: lo.Spot}
		if lo.Draining {
			leaving[key]++
		} else {
			have[key]++
		}
	}
	for _, or := range scale.Plan(no.set.Orders, se.Scaling, no.duty.orders.need[se.ID], no.noteDry(se, have, leaving)) {
		key := orderKey{service: se.ID, zone: or.Zone, spot: or.Spot}
		last, known := no.duty.orders.given[key]
		age := now.Sub(last.at)
		same := known && last.accepted && last.count == or.Count
		if same && (age < repeatOrder || (have[key] == or.Count && age < confirmOrder)) {
			continue
		}
		if known && !last.accepted && age < repeatOrder {
			continue
		}
		if !known && or.Count == 0 && have[key] == 0 {
			continue
		}
		if !no.give(ctx, key, or.Count, have[key], no.duty.orders.based[se.ID]) {
			return
		}
	}
}

// noteDry brings up to date where spot servers are not to be had.
func (no *Node) noteDry(se *routes.Service, have, leaving map[orderKey]int) scale.ZonesWithoutSpot {
	od := &no.duty.orders
	dry := od.dry[se.ID]
	if dry == nil {
		dry = scale.ZonesWithoutSpot{}
		od.dry[se.ID] = dry
	}
	for zo := range se.Scaling.ZonePrices {
		key := orderKey{service: se.ID, zone: zo, spot: true}
		last, known := od.given[key]
		// A spot server that we let go of is no reclaim.
		left := leaving[key]
		if known && have[key] >= last.count {
			left = 0
		}
		dry.Update(zo, left, have[key], last.count, known && !last.accepted)
	}
	return dry
}

// give gives one order. It returns false if this node no longer holds the duty.
func (no *Node) give(ctx context.Context, key orderKey, count, have int, rate units.TokensPerSecond) bool {
	fence, held := no.duty.lease.Active(bootTime())
	if !held {
		return false
	}
	err := no.pf.Cloud.Scale(ctx, fence, key.service, key.zone, key.spot, count)
	no.duty.orders.given[key] = given{count: count, at: time.Now(), accepted: err == nil}
	no.log.Info("servers_ordered", zap.String("service", string(key.service)), zap.String("zone", string(key.zone)),
		zap.Bool("spot", key.spot), zap.Int("count", count), zap.Int("have", have), zap.Float64("demand", float64(rate)),
		zap.Float64("read_rate", float64(no.relay.ReadRate(key.service))),
		zap.Int64("fence", int64(fence)), zap.Bool("accepted", err == nil), zap.Error(err))
	return true
}
