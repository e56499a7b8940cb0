package roll

import (
	"cmp"
	"fmt"
	"maps"
	"strings"
	"time"

	"lycheepick/internal/rule/bound"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

const (
	// writeMargin is the time before the deadline for two writes to the store.
	writeMargin = time.Second
	// settleTime is the time after a node has learned of the shift in which requests may still begin that it had routed
	// before.
	settleTime = 200 * time.Millisecond
	// maxPeers bounds the peers that are kept, and peerTime the time without a report after which one of too many is dropped.
	maxPeers, peerTime = 1024, time.Minute
	// maxOpen bounds the requests in progress at a peer.
	maxOpen = 1 << 20
	// maxReason bounds the bytes of a reason that is taken from a peer.
	maxReason = 200
	// everyRoundNodes is the number of nodes up to which each exchanges with the holder of the lease in every round.
	everyRoundNodes = 96
)

// Report returns what peers are told, by service. It has no entry for services without an order in progress.
func (bo *Book) Report(now time.Time) map[units.TargetID]Report {
	var out map[units.TargetID]Report
	for id, sc := range bo.services {
		ro := sc.rollout
		if ro == nil || ro.phase.IsFinal() {
			continue
		}
		re := Report{Offset: ro.Offset, Era: ro.Era, Age: now.Sub(ro.startedAt).Truncate(time.Millisecond), Phase: ro.phase, Stopped: ro.stopped, Open: sc.unsettled(now), OpenTarget: sc.open[ro.Target]}
		if ro.phase == Canary || ro.phase == Shift {
			re.Key = ro.key
			re.Target, re.Others = packed(ro.evidence.targetAt(ro.key)), packed(ro.evidence.others[ro.key])
			if bo.relays {
				re.Relayed = ro.evidence.relay(ro.key)
			}
		}
		if ro.stopped {
			re.Reason = ro.reason
		}
		if ro.phase != Shift {
			bo.reports++
			re.Usual = sc.usual.pack(bo.reports)
		}
		if out == nil {
			out = map[units.TargetID]Report{}
		}
		out[id] = re
	}
	return out
}

// unsettled returns the number of this node's requests in progress at the other versions, at least 1 while some may begin.
func (sc *service) unsettled(now time.Time) int {
	num := sc.openOthers()
	if sc.rollout.phase == Shift && now.Sub(sc.rollout.phaseAt) < settleTime {
		return max(1, num)
	}
	return num
}

// packed returns totals as a message, nil if there are none.
func packed(to totals) []byte {
	if len(to) == 0 {
		return nil
	}
	return to.pack(nil)
}

// Merge takes over a peer's reports. incarnation is the peer's start time.
func (bo *Book) Merge(now time.Time, node units.VMID, incarnation int64, reports map[units.TargetID]Report) {
	known := bo.peers[node]
	if node == bo.node || incarnation < known.incarnation {
		return
	}
	if incarnation > known.incarnation {
		bo.restarted(now, node)
	}
	bo.peers[node] = peer{incarnation, now}
	bo.relays = len(bo.peers) > watch.MaxRoundPeers
	for id, re := range reports {
		sc := bo.services[id]
		if sc == nil || sc.rollout == nil || re.Offset != sc.rollout.Offset || re.Era != sc.rollout.Era {
			continue
		}
		sc.merge(now, node, &re)
	}
}

// restarted forgets how far a peer had come before its start, and peers that have gone.
func (bo *Book) restarted(now time.Time, node units.VMID) {
	for _, sc := range bo.services {
		if sc.rollout != nil {
			delete(sc.rollout.peers, node)
		}
	}
	if len(bo.peers) < maxPeers {
		return
	}
	maps.DeleteFunc(bo.peers, func(_ units.VMID, pe peer) bool { return now.Sub(pe.heardAt) > peerTime })
}

func (sc *service) merge(now time.Time, node units.VMID, re *Report) {
	ro, own := sc.rollout, sc.rollout.key
	ro.hear(now, re.Phase)
	if age := re.Age; age > 0 && age < maxDuration && now.Add(-age).Before(ro.startedAt) {
		ro.startedAt = now.Add(-age)
	}
	ro.peers[node] = progress{re.Phase, bound.Clamp(re.Open, 0, maxOpen), bound.Clamp(re.OpenTarget, 0, maxOpen)}
	sc.usual.merge(re.Usual)
	if re.Stopped && (ro.phase == Canary || ro.phase == Shift && ro.fleet.others > 0) {
		ro.stop(cmp.Or(shortened(re.Reason), "stopped by a peer"))
	}
	if re.Key == 0 || re.Key == own || ro.phase.IsFinal() {
		return
	}
	isWorse := false
	if in, ok := (&reader{raw: re.Others}).totals(); ok {
		ro.evidence.mergeOthers(re.Key, in)
	}
	if in, ok := (&reader{raw: re.Target}).totals(); ok {
		isWorse = ro.evidence.mergeTarget(re.Key, in)
	}
	rd := &reader{raw: re.Relayed}
	for len(rd.raw) > 0 && !rd.failed {
		key := rd.uint(4)
		in, ok := rd.totals()
		if !ok {
			break
		}
		if key != own {
			isWorse = ro.evidence.mergeTarget(key, in) || isWorse
		}
	}
	if isWorse {
		sc.judge(now)
	}
	ro.evidence.note(now)
}

// shortened returns at most maxReason bytes of a reason, without a part of a character: peers refuse a report whose text
// isn't UTF-8.
func shortened(reason string) string {
	return strings.ToValidUTF8(reason[:min(len(reason), maxReason)], "")
}

// hear takes over a phase that a peer or the store names for the order.
func (ro *rollout) hear(now time.Time, ph Phase) {
	if ph <= None || ph > RolledBack {
		return
	}
	ro.contactAt = now
	ro.advance(now, ph)
}

// advance enters a later phase.
func (ro *rollout) advance(now time.Time, ph Phase) {
	if ph <= ro.phase || ro.phase.IsFinal() {
		return
	}
	ro.phase, ro.phaseAt, ro.contactAt = ph, now, now
	if ph == Shift {
		ro.evidence.shifted = maps.Clone(ro.evidence.sum)
	}
}

// States returns the phases of the orders in force, for peers and to write them again after a loss of the store.
func (bo *Book) States() map[units.TargetID]State {
	var out map[units.TargetID]State
	for id, sc := range bo.services {
		if sc.rollout == nil || sc.rollout.phase == None {
			continue
		}
		if out == nil {
			out = map[units.TargetID]State{}
		}
		out[id] = sc.rollout.state(sc.rollout.phase)
	}
	return out
}

func (ro *rollout) state(ph Phase) State {
	return State{Offset: ro.Offset, Era: ro.Era, Target: ro.Target, Phase: ph}
}

// Apply takes over a phase from the store or from a peer. Each call with the current phase also shows that this
// node is in contact: call it for each report of a peer, whether or not the phase is new.
func (bo *Book) Apply(now time.Time, id units.TargetID, st State) {
	if st.Phase <= None || st.Phase > RolledBack {
		return
	}
	sc := bo.services[id]
	if sc == nil {
		if len(bo.services) >= maxServices {
			return
		}
		sc = bo.service(id)
	}
	if st.isAfter(sc.heard) {
		sc.heard = st
	}
	if sc.rollout != nil && sc.rollout.isSame(st) {
		sc.rollout.hear(now, st.Phase)
	}
}

// isAfter reports whether a state is of a later order, or of a later phase of the same one.
func (st State) isAfter(other State) bool {
	switch {
	case st.Era != other.Era:
		return st.Era > other.Era
	case st.Offset != other.Offset:
		return st.Offset > other.Offset
	}
	return st.Phase > other.Phase
}

// Next returns the phase that the holder of the lease has to record next, and false if there is none. It doesn't
// change the phase: call Apply once the phase is recorded. peers are the nodes in contact, and drain is the time
// that nearly all requests need to end. Call it several times a second.
func (bo *Book) Next(now time.Time, id units.TargetID, peers []units.VMID, drain time.Duration) (State, bool) {
	ro := bo.rollout(id)
	if ro == nil || ro.phase.IsFinal() {
		return State{}, false
	}
	sc := bo.services[id]
	ro.fleet.watch(now)
	sc.judge(now)
	ro.evidence.note(now)
	verdictAt := ro.deadline().Add(-drain - writeMargin - spreadTime(len(peers)))
	var next Phase
	switch ro.phase {
	case None:
		next = bo.afterNone(now, ro, verdictAt)
	case Canary:
		ro.contactAt = now
		next = sc.afterCanary(now, verdictAt)
	default:
		next = sc.afterShift(now, peers)
	}
	return ro.state(next), next != None
}

// spreadTime returns the time in which all nodes learn of a phase from the holder of the lease, and it learns that they have.
func spreadTime(peers int) time.Duration {
	return 2 * watch.RoundInterval * time.Duration(1+peers/everyRoundNodes)
}

func (bo *Book) afterNone(now time.Time, ro *rollout, verdictAt time.Time) Phase {
	wanted := ro.fleet.wanted(bo.share(ro, now))
	switch {
	case !now.Before(verdictAt):
		ro.reason = fmt.Sprintf("%d servers of the target at the time for a verdict, want %d for the canary", ro.fleet.target, wanted)
		return RolledBack
	case ro.fleet.target >= wanted:
		return Canary
	}
	return None
}

func (sc *service) afterCanary(now, verdictAt time.Time) Phase {
	ro := sc.rollout
	switch {
	case ro.stopped:
		return RolledBack
	case ro.fleet.othersGone(now) && ro.fleet.target > 0:
		ro.reason = "the other servers are gone"
		return Shift
	case now.Before(verdictAt):
		return None
	case !now.Before(ro.deadline()): // The canary has ended, and its evidence is old.
		ro.reason = "no verdict could be recorded before the deadline"
		return RolledBack
	}
	good, reason := sc.verdict(now)
	ro.reason = reason
	if good {
		return Shift
	}
	return RolledBack
}

func (sc *service) afterShift(now time.Time, peers []units.VMID) Phase {
	ro := sc.rollout
	switch {
	case ro.stopped && ro.fleet.others > 0:
		return RolledBack
	case ro.fleet.targetGone(now) && ro.fleet.others > 0:
		ro.reason = "the servers of the target are gone"
		return RolledBack
	case ro.fleet.target == 0 || sc.unsettled(now) > 0:
		return None
	}
	for _, no := range peers {
		if pe := ro.peers[no]; no != sc.own && (pe.phase != Shift || pe.open > 0) {
			return None
		}
	}
	return Completed
}

// Explain returns why the rollout of a service is where it is. ok is false without an order.
func (bo *Book) Explain(id units.TargetID) (ex Explanation, ok bool) {
	ro := bo.rollout(id)
	if ro == nil {
		return ex, false
	}
	sum := ro.evidence.sum.sum().target
	return Explanation{Phase: ro.phase, Stopped: ro.stopped, Reason: ro.reason, Answers: sum.answers, Bad: sum.failed + sum.slow}, true
}
