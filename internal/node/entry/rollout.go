package entry

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/bound"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/roll"
	"lycheepick/internal/rule/units"
)

const (
	// rolloutStream holds the recorded phase of each service's rollout.
	rolloutStream stream.Name = "keyed.rollout"
	// maxOrders bounds the orders that a node keeps; a configuration has fewer services.
	maxOrders = 256
	// removedOrderTime is how long peers are told of an order that was removed. Nodes that were cut off for longer
	// read the operators' records again.
	removedOrderTime = time.Minute
	// A rollout that ended longer than settledTime ago is in one of settledPart reports: a node exchanges some 50 a second
	// in a large fleet, and all nodes but those that were cut off know of it.
	settledTime, settledPart = time.Minute, 16
	// badOrderPeriod is the least time between two log lines about malformed orders, of which any number may be written.
	badOrderPeriod = time.Second
	// defaultDrain is the time within which nodes act on a server that leaves, where the settings name none.
	defaultDrain = 2 * time.Second
)

// rolloutOrder is an operator's order.
type rolloutOrder struct {
	roll.Order
	// at is when a node first read the order, as far as this node knows, or when it was removed.
	at      time.Time
	removed bool
	// listed is the latest era of the store in which this node has seen the order.
	listed units.Era
	// endedAt is when this node learned of the last phase, zero before.
	endedAt time.Time
}

// isAfter reports whether an order was written after another one.
func (ro *rolloutOrder) isAfter(other *rolloutOrder) bool {
	if ro.Era != other.Era {
		return ro.Era > other.Era
	}
	return ro.Offset > other.Offset
}

// isCopyOf reports whether an order is the other one, read again after the store has come back from a copy that has it.
func (ro *rolloutOrder) isCopyOf(other *rolloutOrder) bool {
	return ro.Offset == other.Offset && ro.Target == other.Target && ro.Duration == other.Duration && ro.removed == other.removed
}

// rollouts is what the holder of the lease knows of the store's records of rollouts. Only leaderLoop uses it, apart from
// the log state of malformed orders, which Node.mu guards.
type rollouts struct {
	loaded bool
	era    units.Era
	// recorded are the records of rolloutStream, which ends at next, and statuses the values of the statuses, whose
	// stream ends at statusNext.
	recorded         map[units.TargetID]roll.State
	statuses         map[string]string
	next, statusNext units.Offset
	// badAt is when a malformed order was last logged, and badSkipped the number of those since.
	badAt      time.Time
	badSkipped int
}

// rolloutRecord is the recorded phase of a rollout.
type rolloutRecord struct {
	Offset units.Offset          `json:"offset"`
	Era    units.Era             `json:"era,omitempty"`
	Target units.SoftwareVersion `json:"target"`
	Phase  string                `json:"phase"`
	// BeganUnixMS is when the order was first read, so that the deadline outlasts a restart of all nodes.
	BeganUnixMS int64 `json:"began_unix_ms"`
}

// applyOrders applies the orders among the operators' records, which were read in an era of the store.
func (no *Node) applyOrders(items []stream.Keyed, era units.Era) {
	if no.platform.OrderedService == nil {
		return
	}
	now := time.Now()
	for _, it := range items {
		id, ok := no.platform.OrderedService(it.Key)
		if !ok {
			continue
		}
		or := rolloutOrder{Order: roll.Order{Service: id, Offset: it.Offset, Era: era}, at: now, listed: era, removed: len(it.Value) == 0}
		if !or.removed {
			decoded, err := no.platform.DecodeOrder(it)
			if err != nil {
				no.logBadOrder(now, it, err)
				continue
			}
			or.Order, or.Era = decoded, era
		}
		no.takeOrder(now, or, "store")
	}
}

// dropOrders removes the orders that a listing of the operators' records lacks. After the store has come back from an
// older copy an order that it has not listed since is kept: the copy may be from before the order.
func (no *Node) dropOrders(list *stream.Listing) {
	if no.platform.OrderedService == nil {
		return
	}
	listed := map[units.TargetID]bool{}
	for _, it := range list.Items {
		if id, ok := no.platform.OrderedService(it.Key); ok {
			listed[id] = true
		}
	}
	var gone []rolloutOrder
	now := time.Now()
	no.mu.Lock()
	for id, or := range no.orders {
		if !listed[id] && !or.removed && or.listed == list.Era && or.Offset < list.End {
			gone = append(gone, rolloutOrder{Order: roll.Order{Service: id, Offset: list.End - 1, Era: list.Era}, at: now, listed: list.Era, removed: true})
		}
	}
	no.mu.Unlock()
	for _, or := range gone {
		no.takeOrder(now, or, "store_list")
	}
}

// logBadOrder names a malformed order, which moves nothing.
func (no *Node) logBadOrder(now time.Time, it stream.Keyed, err error) {
	no.mu.Lock()
	defer no.mu.Unlock()
	ro := &no.rollouts
	if now.Sub(ro.badAt) < badOrderPeriod {
		ro.badSkipped++
		return
	}
	no.log.Warn("rollout_order_unreadable", zap.String("key", it.Key), zap.Int64("offset", int64(it.Offset)), zap.Int("not_logged", ro.badSkipped), zap.Error(err))
	ro.badAt, ro.badSkipped = now, 0
}

// takeOrder puts an order in force unless the one in force is as new.
func (no *Node) takeOrder(now time.Time, or rolloutOrder, source string) {
	no.mu.Lock()
	defer no.mu.Unlock()
	before, known := no.orders[or.Service]
	switch {
	case !or.removed && or.Validate() != nil: // A report of a peer may hold anything.
		return
	case known && or.isCopyOf(&before):
		before.listed = max(before.listed, or.listed)
		no.orders[or.Service] = before
		if or.Era < before.Era && !or.removed { // The order counts as of the first era in which it was read.
			no.redate(or.Service, or.Era, or.at)
		}
		return
	case known && !or.isAfter(&before):
		return
	case !known && (or.removed || !no.hasRoomForOrder(now)):
		return
	}
	no.orders[or.Service] = or
	if or.removed {
		no.relay.RemoveRolloutOrder(or.Service)
	} else {
		no.relay.SetRolloutOrder(or.at, or.Order)
	}
	no.log.Info("rollout_ordered", zap.String("service", string(or.Service)), zap.String("target", string(or.Target)), zap.Duration("duration", or.Duration),
		zap.Int64("offset", int64(or.Offset)), zap.Int64("era", int64(or.Era)), zap.Bool("removed", or.removed), zap.Duration("age", now.Sub(or.at)), zap.String("source", source))
}

// hasRoomForOrder reports whether one more order can be kept. Orders that were removed long ago make room. The caller holds mu.
func (no *Node) hasRoomForOrder(now time.Time) bool {
	if len(no.orders) >= maxOrders {
		maps.DeleteFunc(no.orders, func(_ units.TargetID, or rolloutOrder) bool { return or.removed && now.Sub(or.at) > removedOrderTime })
	}
	return len(no.orders) < maxOrders
}

// redate changes the era of an order and when it was first read. The caller holds mu.
func (no *Node) redate(id units.TargetID, era units.Era, at time.Time) {
	or := no.orders[id]
	or.Era, or.at = era, at
	no.orders[id] = or
	no.relay.RedateRolloutOrder(id, at, era)
}

// rolloutReports returns the orders that this node knows and their phases, for its peers. It is nil without orders.
func (no *Node) rolloutReports(now time.Time) map[units.TargetID]pulse.Rollout {
	no.mu.Lock()
	defer no.mu.Unlock()
	if len(no.orders) == 0 {
		return nil
	}
	states := no.relay.Rollouts()
	out := map[units.TargetID]pulse.Rollout{}
	for id, or := range no.orders {
		if or.removed && now.Sub(or.at) > removedOrderTime || !or.endedAt.IsZero() && now.Sub(or.endedAt) > settledTime && rand.IntN(settledPart) > 0 {
			continue
		}
		ro := pulse.Rollout{Offset: or.Offset, Era: or.Era, Target: or.Target, Duration: or.Duration, Age: now.Sub(or.at), Removed: or.removed}
		if st := states[id]; !or.removed && st.Offset == or.Offset && st.Era == or.Era {
			ro.Phase = st.Phase
		}
		out[id] = ro
	}
	return out
}

// applyRollouts applies a peer's orders and phases, and merges its evidence. asOf is a time at which the report had not
// been made yet.
func (no *Node) applyRollouts(re *pulse.Report, asOf time.Time) {
	now := time.Now()
	for id, ro := range re.Rollouts {
		no.takeOrder(now, rolloutOrder{
			Order: roll.Order{Service: id, Target: ro.Target, Duration: ro.Duration, Offset: ro.Offset, Era: ro.Era}, at: asOf.Add(-ro.Age), removed: ro.Removed,
		}, "peer "+string(re.Node))
	}
	if len(re.RolloutCounts) > 0 {
		no.relay.MergeRollouts(now, re.Node, re.Incarnation, re.RolloutCounts)
	}
	for id, ro := range re.Rollouts {
		if !ro.Removed && ro.Phase != roll.None {
			no.enterPhase(now, id, roll.State{Offset: ro.Offset, Era: ro.Era, Target: ro.Target, Phase: ro.Phase})
		}
	}
}

// enterPhase applies the phase of a rollout that the store has or that a peer reports. The relay is told of a phase that is
// not new, too, as it ends a canary of which it hears nothing.
func (no *Node) enterPhase(now time.Time, id units.TargetID, st roll.State) {
	no.mu.Lock()
	defer no.mu.Unlock()
	or, known := no.orders[id]
	if !known || or.removed || or.Offset != st.Offset || or.Era != st.Era {
		return
	}
	before := no.relay.Rollouts()[id].Phase
	no.relay.ApplyRollout(now, id, st)
	if after := no.relay.Rollouts()[id].Phase; after != before {
		no.log.Info("rollout_phase", zap.String("service", string(id)), zap.String("target", string(st.Target)), zap.Int64("offset", int64(st.Offset)),
			zap.Stringer("phase", after), zap.Stringer("before", before))
		if after.IsFinal() {
			or.endedAt = now
			no.orders[id] = or
		}
	}
}

// orderedServices returns the services of the configuration for which there is an order.
func (no *Node) orderedServices() (out []units.TargetID) {
	fo := no.config.Load()
	if fo == nil {
		return nil
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	for id, or := range no.orders {
		if !or.removed && fo.Service(id) != nil {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// moveRollouts records the phases that are due and writes the statuses, while this node holds the lease.
func (no *Node) moveRollouts(ctx context.Context) {
	ro := &no.rollouts
	if _, held := no.leader.lease.Active(no.leader.now()); !held {
		ro.loaded = false
		return
	}
	ids := no.orderedServices()
	if len(ids) == 0 {
		return
	}
	no.mu.Lock()
	era := no.serversEra
	no.mu.Unlock()
	if !ro.loaded || era > ro.era {
		if err := no.loadRollouts(ctx); err != nil {
			no.log.Warn("rollouts_not_read", zap.Error(err))
			return
		}
	}
	for _, id := range ids {
		if err := no.moveRollout(ctx, id); err != nil {
			// The records may have been written, or another node may hold the lease.
			ro.loaded = false
			no.log.Warn("rollout_not_recorded", zap.String("service", string(id)), zap.Error(err))
			return
		}
	}
}

// loadRollouts reads the recorded phases and the statuses.
func (no *Node) loadRollouts(ctx context.Context) error {
	ro := &no.rollouts
	records, err := no.platform.Store.Newest(ctx, rolloutStream, 0)
	if err != nil {
		return err
	}
	statuses, err := no.platform.Store.Newest(ctx, no.platform.StatusStream, 0)
	if err != nil {
		return err
	}
	ro.loaded, ro.era = true, min(records.Era, statuses.Era)
	ro.recorded, ro.statuses = map[units.TargetID]roll.State{}, map[string]string{}
	ro.next, ro.statusNext = records.End, statuses.End
	no.enterRecorded(records.Items, func(id units.TargetID, st roll.State) { ro.recorded[id] = st })
	for _, it := range statuses.Items {
		ro.statuses[it.Key] = string(it.Value)
	}
	return nil
}

// enterRecorded applies the recorded phases and passes each to found.
func (no *Node) enterRecorded(items []stream.Keyed, found func(units.TargetID, roll.State)) {
	for _, it := range items {
		var rec rolloutRecord
		err := bound.JSON(it.Value, bound.Record, &rec)
		phase, ok := roll.ParsePhase(rec.Phase)
		if err != nil || !ok {
			no.log.Warn("rollout_record_unreadable", zap.String("key", it.Key), zap.Int64("offset", int64(it.Offset)), zap.Error(err))
			continue
		}
		id, st := units.TargetID(it.Key), roll.State{Offset: rec.Offset, Era: rec.Era, Target: rec.Target, Phase: phase}
		found(id, st)
		no.restoreOrder(id, &rec)
		no.enterPhase(time.Now(), id, st)
	}
}

// readPhases reads the recorded phases at the start of a node that finds an order: after all nodes have restarted no peer
// knows them, and a node that takes a completed rollout for a new one has no server to use.
func (no *Node) readPhases(ctx context.Context) error {
	no.mu.Lock()
	known := len(no.orders)
	no.mu.Unlock()
	if known == 0 {
		return nil
	}
	list, err := no.listNewest(ctx, rolloutStream)
	if err == nil {
		no.enterRecorded(list.Items, func(units.TargetID, roll.State) {})
	}
	return err
}

// maxDeadlineError is the difference between clocks up to which an order keeps the time at which this node read it.
const maxDeadlineError = time.Second

// restoreOrder sets when the order of a record was first read, which a node that has started since can't know, and the era
// in which it was: the store may have come back from a copy that has the order.
func (no *Node) restoreOrder(id units.TargetID, rec *rolloutRecord) {
	no.mu.Lock()
	defer no.mu.Unlock()
	or, known := no.orders[id]
	if !known || or.removed || or.Offset != rec.Offset || or.Target != rec.Target || rec.Era > or.Era {
		return
	}
	at := time.Now().Add(-max(0, no.clock.Now(no.uptime()).Sub(time.UnixMilli(rec.BeganUnixMS))))
	if rec.Era < or.Era || at.Before(or.at.Add(-maxDeadlineError)) {
		no.redate(id, rec.Era, at)
	}
}

// moveRollout takes the steps that are due for one service: it records again what the store has lost, writes a status that
// is missing, and records the next phase before any node acts on it.
func (no *Node) moveRollout(ctx context.Context, id units.TargetID) error {
	ro := &no.rollouts
	now := time.Now()
	if st := no.relay.Rollouts()[id]; st.Phase != roll.None {
		if ro.recorded[id] != st {
			if err := no.recordRollout(ctx, id, st); err != nil {
				return err
			}
		}
		no.enterPhase(now, id, st)
		if err := no.writeStatus(ctx, id, st); err != nil {
			return err
		}
	}
	next, due := no.relay.NextRollout(now, id, no.peersInContact(), no.drainTime())
	if !due {
		return nil
	}
	if err := no.recordRollout(ctx, id, next); err != nil {
		return err
	}
	no.enterPhase(time.Now(), id, next)
	return no.writeStatus(ctx, id, next)
}

// drainTime returns the time within which all nodes act on a server that leaves.
func (no *Node) drainTime() time.Duration {
	if ms := no.settings.Timing.DrainMS; ms > 0 {
		return time.Duration(ms * float64(time.Millisecond))
	}
	return defaultDrain
}

// peersInContact returns the peers that are not lost.
func (no *Node) peersInContact() (out []units.VMID) {
	no.mu.Lock()
	defer no.mu.Unlock()
	for id, pe := range no.peers {
		if !pe.lost {
			out = append(out, id)
		}
	}
	return out
}

// recordRollout appends the phase of a rollout, unless another node has recorded one since this node read the records.
func (no *Node) recordRollout(ctx context.Context, id units.TargetID, st roll.State) error {
	const op = "entry.recordRollout"
	ro := &no.rollouts
	no.mu.Lock()
	began := no.clock.Now(no.uptime()).Add(-time.Since(no.orders[id].at))
	no.mu.Unlock()
	raw, err := json.Marshal(&rolloutRecord{Offset: st.Offset, Era: st.Era, Target: st.Target, Phase: st.Phase.String(), BeganUnixMS: began.UnixMilli()})
	if err != nil {
		return fault.Wrap(op, KindConfig, err)
	}
	off, err := no.platform.Store.Append(ctx, rolloutStream, ro.next, no.platform.EncodeRecord(string(id), raw))
	if err != nil {
		return err
	}
	if before := ro.recorded[id]; before.Offset != st.Offset || before.Era != st.Era {
		// The status in the store is of an earlier order, which may have had the same target and state.
		if key, _, err := no.platform.EncodeRollout(id, st); err == nil {
			delete(ro.statuses, key)
		}
	}
	ro.recorded[id], ro.next = st, off+1
	ex := no.relay.ExplainRollout(id)
	no.log.Info("rollout_recorded", zap.String("service", string(id)), zap.String("target", string(st.Target)), zap.Int64("offset", int64(st.Offset)), zap.String("phase", st.Phase.String()),
		zap.String("reason", ex.Reason), zap.Int64("answers", ex.Answers), zap.Int64("bad", ex.Bad))
	return nil
}

// writeStatus writes the status of a rollout if the store doesn't have it.
func (no *Node) writeStatus(ctx context.Context, id units.TargetID, st roll.State) error {
	ro := &no.rollouts
	key, value, err := no.platform.EncodeRollout(id, st)
	if err != nil || ro.statuses[key] == string(value) {
		return err
	}
	off, err := no.platform.Store.Append(ctx, no.platform.StatusStream, ro.statusNext, no.platform.EncodeRecord(key, value))
	if err != nil {
		return err
	}
	ro.statuses[key], ro.statusNext = string(value), off+1
	no.log.Info("rollout_status", zap.String("service", string(id)), zap.ByteString("status", value))
	return nil
}

// rolloutsRunning returns the number of rollouts in progress, for the metrics.
func (no *Node) rolloutsRunning() int64 {
	count := int64(0)
	for _, st := range no.relay.Rollouts() {
		if st.Phase == roll.Canary || st.Phase == roll.Shift {
			count++
		}
	}
	return count
}
