package relay

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
)

const (
	// holdStep is the time between two tries of the first of the requests that wait at this node. One request of each
	// service tries at a time, which bounds the work.
	holdStep = 10 * time.Millisecond
	// maxSpentShare is the part of the usual time until a deadline up to which a shorter one is taken to come from an
	// earlier attempt. Callers retry within a third of it; beyond half they have deadlines of their own.
	maxSpentShare = 0.5
	// minCorrectionChange is the ratio of two corrections from which on the change is logged.
	minCorrectionChange = 1.25
	// correctionLogPeriod is the least time between two log lines of one service.
	correctionLogPeriod = time.Second
)

// CountedPriorities is the number of priorities with counts of their own; the last one stands for all beyond.
const CountedPriorities = 4

// Admissions counts the requests of one priority under admission by priority: accepted ones, Kept of them beyond their
// limit, rejected ones, and those that waited at this node, with the time, in microseconds.
type Admissions struct {
	Accepted, Kept, Rejected, Held, HeldMicros atomic.Int64
}

// contention is the state of admission by priority. The relay's mu guards it.
type contention struct {
	active   bool
	start    admit.Start
	services map[units.TargetID]*contended
}

type contended struct {
	*admit.Contention
	loggedAt time.Time
	logged   float64
}

// stand is what admission by priority has decided on a request so far.
type stand struct {
	admit.Judgement
	judged bool
	// waiter is the request's place in line, nil if it does not wait. turn has an item once it is the first.
	waiter *admit.Waiter
	turn   chan struct{}
	heldAt time.Time
}

// setContention follows a configuration. The caller holds mu.
func (rl *Relay) setContention(co *routes.Config) {
	ct := &rl.contention
	ct.active = rl.Contention.Applies(co.Contended)
	rl.setContended(ct.active)
	rl.setSpill(rl.Spillover.Applies(co.Contended))
	if !ct.active {
		ct.services = nil // Requests that wait are judged as before at their next try.
		return
	}
	classes := map[units.TargetID]admit.Classes{}
	for idx := range co.Routes {
		ro := &co.Routes[idx]
		for _, sh := range ro.TrafficSplit {
			classes[sh.Service] = classes[sh.Service].Add(ro.Priority, ro.TargetLatency)
		}
	}
	before := ct.services
	ct.services = make(map[units.TargetID]*contended, len(classes))
	for id, cs := range classes {
		if old := before[id]; old != nil {
			old.SetClasses(cs)
			ct.services[id] = old
		} else {
			ct.services[id] = &contended{Contention: admit.NewContention(cs), logged: 1}
		}
	}
}

// judge decides on a request for which a server has been chosen. The caller holds mu.
func (ru *run) judge(now time.Time, co *contended, ch *place.Choice) bool {
	of := ru.offer(now, co, ch)
	ru.Judgement, ru.judged = co.Judge(now, of), true
	if ru.Action == admit.Accept && !ru.Kept && !co.Line.IsFirst(ru.place()) {
		switch {
		case now.Before(ru.holdEnd()):
			ru.Action = admit.Hold
		case !co.Line.HasMoreUrgent(ru.rq.Priority): // The first one does not fit, and would be rejected in its turn.
		case ru.Floor:
			ru.Kept = true
		default:
			ru.Action = admit.Reject
		}
	}
	return ru.Action == admit.Accept
}

// offer describes a request and the prediction for it. The caller holds mu.
func (ru *run) offer(now time.Time, co *contended, ch *place.Choice) *admit.Offer {
	rl, rq := ru.rl, ru.rq
	se := rl.service(rq.Service)
	of := &admit.Offer{
		Priority: rq.Priority, Hash: xxhash.Sum64String(string(rq.ID)),
		First: ch.FirstToken, Own: co.Own(now, ch.Uncached, se.fleet.PrefillRate()), Usual: ch.Usual,
		Target: rq.Route.TargetLatency, Waited: now.Sub(rq.Arrived), Spent: rl.spent(rq), Remaining: rq.Deadline.Sub(now), Spare: ch.SpareCapacity,
	}
	if of.New = rl.contention.start.IsNew(now, rl.pool.Peers()); of.New {
		of.Full = rl.hasItsShare(se)
	}
	return of
}

// spent returns the time that earlier attempts of a request's caller have taken, 0 if that is not known. The caller holds
// mu.
func (rl *Relay) spent(rq *Request) time.Duration {
	left, usual := rq.Deadline.Sub(rq.Arrived), rl.maxWaits[rq.Route.Name]
	if left >= usual {
		rl.maxWaits[rq.Route.Name] = left
		return 0
	}
	if out := usual - left; out <= time.Duration(float64(usual)*maxSpentShare) {
		return out
	}
	return 0
}

// hasItsShare reports whether this node has its equal share of a service's slots in use. The caller holds mu.
func (rl *Relay) hasItsShare(se *service) bool {
	slots, running, loads := 0, 0, map[units.VMID]place.Load{}
	for _, sv := range se.fleet.List() {
		slots += max(sv.Slots, 1)
	}
	se.fleet.OwnLoads(loads)
	for _, lo := range loads {
		running += lo.Running
	}
	return running >= max(1, slots/(rl.pool.Peers()+1))
}

// place returns the request's place in line, which it may not have taken yet. The caller holds mu.
func (ru *run) place() *admit.Waiter {
	if ru.waiter != nil {
		return ru.waiter
	}
	return &admit.Waiter{Priority: ru.rq.Priority, Target: ru.rq.Arrived.Add(ru.rq.Route.TargetLatency - ru.rl.spent(ru.rq))}
}

// holdEnd is when the request has waited at this node for as long as it may.
func (ru *run) holdEnd() time.Time {
	return ru.rq.Arrived.Add(admit.HoldTime(ru.rq.Route.TargetLatency))
}

// awaitRoom waits, unsent, until the request may be tried again: it holds no slot and no permit meanwhile. It returns false
// if the request is to be rejected.
func (ru *run) awaitRoom(ctx context.Context) bool {
	if ru.Action != admit.Hold || ctx.Err() != nil {
		return false
	}
	wait, ok := ru.join()
	if !ok {
		return false
	}
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-tm.C:
	case <-ru.turn:
	}
	return true
}

// join takes the request's place in line. It returns the time until its next try, and false if the service is not
// contended any more.
func (ru *run) join() (time.Duration, bool) {
	ru.rl.mu.Lock()
	defer ru.rl.mu.Unlock()
	co, now := ru.rl.contention.services[ru.rq.Service], time.Now()
	if co == nil {
		return 0, false
	}
	if ru.waiter == nil {
		turn := make(chan struct{}, 1)
		ru.turn, ru.heldAt, ru.waiter = turn, now, ru.place()
		ru.waiter.Turn = func() {
			select {
			case turn <- struct{}{}:
			default:
			}
		}
		co.Line.Join(ru.waiter)
	}
	left := max(ru.holdEnd().Sub(now), time.Millisecond)
	if co.Line.IsFirst(ru.waiter) {
		return min(left, holdStep), true
	}
	return left, true
}

// settleStand ends the wait of a request, and records the decision on it.
func (ru *run) settleStand(sent bool) {
	if !ru.judged {
		return
	}
	rl, now := ru.rl, time.Now()
	ad := &rl.Counts.Admissions[min(max(ru.rq.Priority, 0), CountedPriorities-1)]
	rl.mu.Lock()
	if co := rl.contention.services[ru.rq.Service]; co != nil {
		if ru.waiter != nil {
			co.Line.Leave(ru.waiter)
		}
		co.Decided(now, ru.rq.Priority, sent && !ru.Kept)
	}
	rl.mu.Unlock()
	if ru.waiter != nil {
		ad.Held.Add(1)
		ad.HeldMicros.Add(now.Sub(ru.heldAt).Microseconds())
	}
	switch {
	case !sent:
		ad.Rejected.Add(1)
	case ru.Kept:
		ad.Kept.Add(1)
		fallthrough
	default:
		ad.Accepted.Add(1)
	}
	ru.stand = stand{}
}

// recordWait compares the wait of a request that has begun with its prediction. The caller holds mu.
func (rl *Relay) recordWait(now time.Time, id units.TargetID, pi *picked) {
	if co := rl.contention.services[id]; co != nil {
		own := co.Own(now, pi.Uncached, rl.service(id).fleet.PrefillRate())
		co.Began(now, now.Sub(pi.sent)-own, pi.FirstToken-own)
	}
}

// waits returns this node's totals of waits by service, nil without admission by priority. The caller holds mu.
func (rl *Relay) waits() map[units.TargetID]admit.Waits {
	if !rl.contention.active {
		return nil
	}
	out := make(map[units.TargetID]admit.Waits, len(rl.contention.services))
	for id, co := range rl.contention.services {
		out[id] = co.Feedback.Totals()
	}
	return out
}

// mergeWaits merges a peer's totals. The caller holds mu.
func (rl *Relay) mergeWaits(now time.Time, node units.VMID, inc int64, waits map[units.TargetID]admit.Waits) {
	rl.contention.start.Heard(now, node)
	for id, wt := range waits {
		if co := rl.contention.services[id]; co != nil {
			co.Feedback.Merge(now, node, inc, wt)
		}
	}
}

// Correction returns the ratio of actual to predicted waits at a service, 1 without admission by priority.
func (rl *Relay) Correction(id units.TargetID) float64 {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if co := rl.contention.services[id]; co != nil {
		return co.Feedback.Correction(time.Now())
	}
	return 1
}

// LogContention logs the services whose correction has changed, at a bounded rate.
func (rl *Relay) LogContention(now time.Time) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for id, co := range rl.contention.services {
		val := co.Feedback.Correction(now)
		if now.Sub(co.loggedAt) < correctionLogPeriod || math.Max(val/co.logged, co.logged/val) < minCorrectionChange {
			continue
		}
		co.loggedAt, co.logged = now, val
		rl.Log.Info("admission", zap.String("service", string(id)), zap.Float64("correction", val), zap.Float64("accepted", co.Acceptance()),
			zap.Duration("wait", co.Feedback.Mean(now)), zap.Int("waiting", co.Line.Len()))
	}
}
