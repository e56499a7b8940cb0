package entry

import (
	"context"
	"maps"
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
	// ordered are the numbers that any lease holder has ordered last.
	ordered map[orderKey]orderedServers
	release map[units.TargetID]*scale.Release[orderKey]
	noSpot  map[units.TargetID]scale.ZonesWithoutSpot
	// firstTraffic is when the first request to any node was seen.
	firstTraffic time.Time
}

func newOrders() orders {
	return orders{
		demand: map[units.TargetID]*scale.Demand{}, demandRates: map[units.TargetID]units.TokensPerSecond{}, need: map[units.TargetID]scale.Need{},
		sent: map[orderKey]scale.Sent{}, ordered: map[orderKey]orderedServers{}, release: map[units.TargetID]*scale.Release[orderKey]{}, noSpot: map[units.TargetID]scale.ZonesWithoutSpot{},
	}
}

// orderedServers is the number of servers that is ordered for a group, and since when this node knows it.
type orderedServers struct {
	count int
	since time.Time
}

// groupOrder is the number of servers that is ordered for a group, in a lease record.
type groupOrder struct {
	Service units.TargetID `json:"service"`
	Zone    units.ZoneID   `json:"zone"`
	Spot    bool           `json:"spot,omitempty"`
	Count   int            `json:"count"`
}

// demandOf returns the estimate of a service's demand, and starts one if there is none.
func (od *orders) demandOf(id units.TargetID) *scale.Demand {
	if od.demand[id] == nil {
		od.demand[id] = scale.NewDemand()
	}
	return od.demand[id]
}

// releaseOf returns the state by which a service gives servers back, and starts one if there is none.
func (od *orders) releaseOf(id units.TargetID) *scale.Release[orderKey] {
	if od.release[id] == nil {
		od.release[id] = &scale.Release[orderKey]{}
	}
	return od.release[id]
}

// knownDemands returns the demands that are known, for the lease record.
func (od *orders) knownDemands(now time.Time) map[units.TargetID]units.TokensPerSecond {
	out := map[units.TargetID]units.TokensPerSecond{}
	for id, de := range od.demand {
		if rate := de.Known(now); rate > 0 {
			out[id] = rate
		}
	}
	return out
}

// groupOrders returns what is ordered, for the lease record.
func (od *orders) groupOrders() []groupOrder {
	out := make([]groupOrder, 0, len(od.ordered))
	for key, os := range od.ordered {
		out = append(out, groupOrder{Service: key.service, Zone: key.zone, Spot: key.spot, Count: os.count})
	}
	return out
}

// setOrdered sets the number of servers that is ordered for a group.
func (od *orders) setOrdered(now time.Time, key orderKey, count int) {
	if os, ok := od.ordered[key]; !ok || os.count != count {
		od.ordered[key] = orderedServers{count: count, since: now}
	}
}

// running returns the number of servers of a group that serve, or still start. For a while after an order that is its number: servers start,
// and those that are given back are still listed.
func (od *orders) running(now time.Time, key orderKey, have int, boot time.Duration) int {
	if os, ok := od.ordered[key]; ok && now.Sub(os.since) < boot+scale.RetryPeriod {
		return os.count
	}
	return have
}

// restore continues from the demands and orders in a leader's lease record.
func (od *orders) restore(now time.Time, rec *leaseRecord) {
	for id, rate := range rec.Demand {
		od.demandOf(id).SetInitial(rate)
	}
	for _, gr := range rec.Ordered {
		od.setOrdered(now, orderKey{service: gr.Service, zone: gr.Zone, spot: gr.Spot}, gr.Count)
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
			no.updateNeed(fo.Config, se)
		}
	}
}

// updateNeed updates the demand for a service and returns what it needs.
func (no *Node) updateNeed(co *routes.Config, se *routes.Service) scale.Need {
	od := &no.leader.orders
	de := od.demandOf(se.ID)
	od.demandRates[se.ID] = no.measureDemand(se.ID, de)
	held := de.Held(no.relay.ServerLimits(se.ID), no.settings.Orders.ServerRate)
	od.need[se.ID] = no.settings.Orders.Need(od.demandRates[se.ID], no.priorDemand(co, de), held, od.need[se.ID])
	return od.need[se.ID]
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
			no.orderService(ctx, fo.Config, se)
		}
	}
}

// measureDemand returns the demand for a service in prompt tokens per second over all nodes.
func (no *Node) measureDemand(id units.TargetID, de *scale.Demand) units.TokensPerSecond {
	no.mu.Lock()
	defer no.mu.Unlock()
	de.Report(no.ownSource(), total(no.offered[id]))
	for node, pw := range no.peerWork {
		de.Report(sourceKey(node, pw.incarnation), total(pw.offered[id]))
	}
	return de.Rate(time.Now())
}

// priorDemand returns the demand assumed until there was traffic for demandWarmup: a share of
// the customers' limits in tokens. After that, or if an earlier holder's demand is known, it is 0.
func (no *Node) priorDemand(co *routes.Config, de *scale.Demand) units.TokensPerSecond {
	od := &no.leader.orders
	if od.firstTraffic.IsZero() && no.sawTraffic() {
		od.firstTraffic = time.Now()
	}
	if de.IsInherited() || !od.firstTraffic.IsZero() && time.Since(od.firstTraffic) > demandWarmup {
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

// orderService sends the orders of a service that are due. Nothing is given back for a demand or a list of servers that is not known.
func (no *Node) orderService(ctx context.Context, co *routes.Config, se *routes.Service) {
	now := time.Now()
	need := no.updateNeed(co, se)
	od := &no.leader.orders
	have, leaving := no.countServers(now, se.ID)
	plan := scale.Plan(no.settings.Orders, se.Scaling, need, no.updateNoSpot(se, have, leaving))
	steady := no.listSteadyFor(now)
	boot := se.Scaling.BootTime
	groups, planned := make([]scale.Group[orderKey], 0, len(plan)), map[orderKey]int{}
	for _, or := range plan {
		key := orderKey{service: se.ID, zone: or.Zone, spot: or.Spot}
		if _, known := od.ordered[key]; !known && steady < max(no.servers.ShortestExpiry(), boot) {
			continue // Servers may run or start that this node has not heard of.
		}
		planned[key] = or.Count
		groups = append(groups, scale.Group[orderKey]{Key: key, Want: or.Count, Have: od.running(now, key, have[key], boot)})
	}
	groups = od.releaseOf(se.ID).Bound(now, groups, boot, steady > 0 && od.demandOf(se.ID).IsSettled(now))
	due := no.dueOrders(now, fitZones(groups, planned, have, se.Scaling.MaxServers), have, boot)
	before := maps.Clone(od.ordered)
	if od.raise(now, due) && !no.appendLease(ctx, nil) {
		od.ordered = before // A later holder would not know of servers that start.
		return
	}
	for _, gr := range due {
		if !no.sendOrder(ctx, gr.Key, gr.Want, have[gr.Key]) {
			return
		}
	}
}

// dueOrders returns the groups whose orders are to be sent at now.
func (no *Node) dueOrders(now time.Time, groups []scale.Group[orderKey], have map[orderKey]int, boot time.Duration) []scale.Group[orderKey] {
	od := &no.leader.orders
	var out []scale.Group[orderKey]
	for _, gr := range groups {
		last := od.sent[gr.Key].Seen(gr.Want, have[gr.Key])
		od.sent[gr.Key] = last
		if last.IsDue(now, gr.Want, have[gr.Key], boot) {
			out = append(out, gr)
		}
	}
	return out
}

// raise counts larger numbers as ordered, and reports whether there are any.
func (od *orders) raise(now time.Time, due []scale.Group[orderKey]) (raised bool) {
	for _, gr := range due {
		if os, ok := od.ordered[gr.Key]; !ok || gr.Want > os.count {
			od.setOrdered(now, gr.Key, gr.Want)
			raised = true
		}
	}
	return raised
}

// countServers returns the servers of a service by group: those that serve, and those that leave.
func (no *Node) countServers(now time.Time, id units.TargetID) (have, leaving map[orderKey]int) {
	have, leaving = map[orderKey]int{}, map[orderKey]int{}
	for _, lo := range no.relay.Servers(now, id) {
		key := orderKey{service: id, zone: lo.Zone, spot: lo.Spot}
		if lo.Draining {
			leaving[key]++
		} else {
			have[key]++
		}
	}
	return have, leaving
}

// listSteadyFor returns how long the list of servers has matched the store, 0 while servers whose records an outage of the store has removed
// may not have written them again.
func (no *Node) listSteadyFor(now time.Time) time.Duration {
	no.mu.Lock()
	defer no.mu.Unlock()
	if !no.serversLoaded.Load() || no.steadySince.IsZero() || no.servers.GraceLeft(now) > 0 {
		return 0
	}
	return now.Sub(no.steadySince)
}

// fitZones lowers numbers that exceed the servers of a zone: spot servers above the plan first, since an order of them may have been refused,
// then groups that grow, and servers on demand above the plan last. None is lowered below the plan or what serves, whichever is more.
func fitZones(groups []scale.Group[orderKey], planned, have map[orderKey]int, most int) []scale.Group[orderKey] {
	over := map[units.ZoneID]int{}
	for _, gr := range groups {
		over[gr.Key.zone] += gr.Want
	}
	for zo := range over {
		over[zo] -= most
	}
	lower := func(onlySpot bool, floor func(gr scale.Group[orderKey]) int) {
		for idx := range groups {
			gr := &groups[idx]
			if onlySpot && !gr.Key.spot {
				continue
			}
			cut := max(0, min(over[gr.Key.zone], gr.Want-floor(*gr)))
			gr.Want -= cut
			over[gr.Key.zone] -= cut
		}
	}
	plannedOrServing := func(gr scale.Group[orderKey]) int { return max(planned[gr.Key], have[gr.Key]) }
	lower(true, plannedOrServing)
	lower(false, func(gr scale.Group[orderKey]) int { return gr.Have })
	lower(false, plannedOrServing)
	return groups
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
func (no *Node) sendOrder(ctx context.Context, key orderKey, count, have int) bool {
	fence, held := no.leader.lease.Active(no.leader.now())
	if !held {
		return false
	}
	err := no.platform.Cloud.Scale(ctx, fence, key.service, key.zone, key.spot, count)
	od := &no.leader.orders
	od.sent[key] = scale.Sent{Count: count, At: time.Now(), Accepted: err == nil}
	if err == nil {
		od.ordered[key] = orderedServers{count: count, since: time.Now()}
	}
	need, de := od.need[key.service], od.demandOf(key.service)
	no.log.Info("servers_ordered", zap.String("service", string(key.service)), zap.String("zone", string(key.zone)),
		zap.Bool("spot", key.spot), zap.Int("count", count), zap.Int("have", have), zap.Float64("demand", float64(od.demandRates[key.service])),
		zap.Int("need_on_demand", need.OnDemand), zap.Int("need_total", need.Total), zap.Bool("demand_inherited", de.IsInherited()), zap.Bool("demand_settled", de.IsSettled(time.Now())), zap.Duration("uptime", no.uptime()),
		zap.Float64("read_rate", float64(no.relay.PrefillRate(key.service))),
		zap.Int64("fence", int64(fence)), zap.Bool("accepted", err == nil), zap.Error(err))
	return true
}
