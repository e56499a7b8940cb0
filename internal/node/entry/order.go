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
	// demandWarmup is the time of traffic after which the measured demand replaces the prior.
	demandWarmup = 4 * time.Second
)

// orderKey identifies a group of servers whose number is ordered in one call.
type orderKey struct {
	service units.TargetID
	zone    units.ZoneID
	spot    bool
}

type orders struct {
	demand map[units.TargetID]*scale.Demand
	// demandRates are the demands on which orders are based.
	demandRates map[units.TargetID]units.TokensPerSecond
	need        map[units.TargetID]scale.Need
	sent        map[orderKey]scale.Sent
	noSpot      map[units.TargetID]scale.ZonesWithoutSpot
	// firstTraffic is when the first request to any node was seen.
	firstTraffic time.Time
	// restored is set if a lease record has given the demand.
	restored bool
}

func newOrders() orders {
	return orders{demand: map[units.TargetID]*scale.Demand{}, demandRates: map[units.TargetID]units.TokensPerSecond{}, need: map[units.TargetID]scale.Need{}, sent: map[orderKey]scale.Sent{}, noSpot: map[units.TargetID]scale.ZonesWithoutSpot{}}
}

// rates returns the demands on which orders are based, for the lease record.
func (od *orders) rates() map[units.TargetID]units.TokensPerSecond { return od.demandRates }

// restore starts from the demands in a leader's lease record.
func (od *orders) restore(rates map[units.TargetID]units.TokensPerSecond) {
	for id, rate := range rates {
		if od.demand[id] == nil {
			od.demand[id] = scale.NewDemand()
		}
		od.demand[id].SetInitial(rate)
		od.restored = true
	}
}

// updateDemand updates the demand and need of each service. Every node does so, so that a new
// leader can place orders at once.
func (no *Node) updateDemand() {
	fo := no.config.Load()
	if fo == nil {
		return
	}
	for idx := range fo.Services {
		if se := &fo.Services[idx]; se.Scaling != nil {
			od := &no.leader.orders
			od.demandRates[se.ID] = no.demandOf(se.ID)
			held := od.demand[se.ID].Held(no.relay.ServerLimits(se.ID), no.settings.Orders.ServerRate)
			od.need[se.ID] = no.settings.Orders.Need(od.demandRates[se.ID], no.priorDemand(fo.Config), held, od.need[se.ID])
		}
	}
}

// orderServers sends the orders of all scaled services that are due.
func (no *Node) orderServers(ctx context.Context) {
	fo := no.config.Load()
	if fo == nil {
		return
	}
	for idx := range fo.Services {
		se := &fo.Services[idx]
		if _, held := no.leader.lease.Active(no.leader.now()); held && se.Scaling != nil {
			no.orderService(ctx, se)
		}
	}
}

// demandOf returns the demand for a service in prompt tokens per second over all nodes.
func (no *Node) demandOf(id units.TargetID) units.TokensPerSecond {
	de := no.leader.orders.demand[id]
	if de == nil {
		de = scale.NewDemand()
		no.leader.orders.demand[id] = de
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	de.Report(no.ownSource(), total(no.offered[id]))
	for node, pw := range no.peerWork {
		de.Report(sourceKey(node, pw.incarnation), total(pw.offered[id]))
	}
	return de.Rate(time.Now())
}

// priorDemand returns the demand assumed until there was traffic for demandWarmup: a share of
// the customers' limits in tokens. After that, or if the demand was restored, it is 0.
func (no *Node) priorDemand(co *routes.Config) units.TokensPerSecond {
	od := &no.leader.orders
	if od.restored {
		return 0
	}
	if od.firstTraffic.IsZero() && no.sawTraffic() {
		od.firstTraffic = time.Now()
	}
	if !od.firstTraffic.IsZero() && time.Since(od.firstTraffic) > demandWarmup {
		return 0
	}
	total := 0.0
	for idx := range co.Customers {
		if co.Customers[idx].LimitsInTokens {
			total += co.Customers[idx].Rate
		}
	}
	return units.TokensPerSecond(total * no.settings.Orders.PriorShare)
}

// sawTraffic reports whether any node has received requests.
func (no *Node) sawTraffic() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	if len(no.offered) > 0 {
		return true
	}
	for _, pw := range no.peerWork {
		if len(pw.offered) > 0 {
			return true
		}
	}
	return false
}

func total(de pulse.Demand) scale.Totals {
	return scale.Totals{Prompt: de.PromptTokens, Requests: de.Requests, Late: de.Late}
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
	for _, or := range scale.Plan(no.settings.Orders, se.Scaling, no.leader.orders.need[se.ID], no.updateNoSpot(se, have, leaving)) {
		key := orderKey{service: se.ID, zone: or.Zone, spot: or.Spot}
		last := no.leader.orders.sent[key].Seen(or.Count, have[key])
		no.leader.orders.sent[key] = last
		if !last.IsDue(now, or.Count, have[key], se.Scaling.BootTime) {
			continue
		}
		if !no.sendOrder(ctx, key, or.Count, have[key], no.leader.orders.demandRates[se.ID]) {
			return
		}
	}
}

// updateNoSpot updates and returns the zones without spot capacity for a service.
func (no *Node) updateNoSpot(se *routes.Service, have, leaving map[orderKey]int) scale.ZonesWithoutSpot {
	od := &no.leader.orders
	out := od.noSpot[se.ID]
	if out == nil {
		out = scale.ZonesWithoutSpot{}
		od.noSpot[se.ID] = out
	}
	for zo := range se.Scaling.ZonePrices {
		key := orderKey{service: se.ID, zone: zo, spot: true}
		last := od.sent[key]
		known := !last.At.IsZero()
		// Servers that leave while the order is met were scaled down, not reclaimed.
		left := leaving[key]
		if known && have[key] >= last.Count {
			left = 0
		}
		out.Update(zo, left, have[key], last.Count, known && !last.Accepted)
	}
	return out
}

// sendOrder sends one order. It returns false if this node no longer holds the lease.
func (no *Node) sendOrder(ctx context.Context, key orderKey, count, have int, rate units.TokensPerSecond) bool {
	fence, held := no.leader.lease.Active(no.leader.now())
	if !held {
		return false
	}
	err := no.platform.Cloud.Scale(ctx, fence, key.service, key.zone, key.spot, count)
	od := &no.leader.orders
	od.sent[key] = scale.Sent{Count: count, At: time.Now(), Accepted: err == nil}
	need := od.need[key.service]
	no.log.Info("servers_ordered", zap.String("service", string(key.service)), zap.String("zone", string(key.zone)),
		zap.Bool("spot", key.spot), zap.Int("count", count), zap.Int("have", have), zap.Float64("demand", float64(rate)),
		zap.Int("need_on_demand", need.OnDemand), zap.Int("need_total", need.Total), zap.Bool("demand_restored", od.restored), zap.Duration("uptime", no.uptime()),
		zap.Float64("read_rate", float64(no.relay.PrefillRate(key.service))),
		zap.Int64("fence", int64(fence)), zap.Bool("accepted", err == nil), zap.Error(err))
	return true
}
