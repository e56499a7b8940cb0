package crowd

import (
	"time"

	"lycheepick/internal/rule/detour"
	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/units"
)

// CutKind is how the path from a node to all servers fails.
type CutKind int

// The kinds of cut.
const (
	// CutHangs lets connections hang, and new ones too.
	CutHangs CutKind = iota
	// CutResets resets connections and refuses new ones.
	CutResets
	// CutNew lets open connections live on and refuses new ones.
	CutNew
)

// Cut is a time in which a range of nodes reaches no server.
type Cut struct {
	Kind        CutKind
	First, Last int
	At, For     time.Duration
}

// The bounds of the platform's rule RECOVER: from cutContact after a cut began, first tries at
// the nodes that are cut are served cutRatio times as often as those at the others, or more, and
// at most cutSlack and one in cutShare of all first tries fail there.
const (
	cutContact = 3 * time.Second
	cutRatio   = 2.0 / 3
	cutSlack   = 10
	cutShare   = 50
)

const (
	// openShare is the share of requests for which a connection is open.
	openShare = 0.5
	// pathPeriod is the interval at which a node checks its path, and dialTimeout and
	// silenceTimeout are the times after which it gives up a connection and an attempt.
	pathPeriod     = 50 * time.Millisecond
	dialTimeout    = 700 * time.Millisecond
	silenceTimeout = 600 * time.Millisecond
	// acceptTimeout bounds the time in which a peer takes a request, maxForwardTries the peers
	// that are asked.
	acceptTimeout   = 250 * time.Millisecond
	maxForwardTries = 8
	// ejectionChecks is the number of checks between two counts of ejections, which last two seconds.
	ejectionChecks = 10
	// returnTime is the time after a cut from which requests go straight again.
	returnTime = time.Second
)

// CutResult summarises the first tries beside cuts.
type CutResult struct {
	// Cut and CutServed count the first tries at cut nodes in touch from cutContact on, and those
	// that began in time or late; Others and OthersServed those at other nodes meanwhile.
	Cut, CutServed, Others, OthersServed int
	// Before and BeforeServed are those of the time before the first cut.
	Before, BeforeServed int
	// Forwarded counts the requests that went through another node, and Late those that did
	// later than returnTime after the only cut of their node.
	Forwarded, Late int
	// MostFound is how often a node found its path cut, at most.
	MostFound int
	// Ejections counts servers that a node took for unusable that had no cut.
	Ejections int
	// MostRuns is the most servers that ran one request.
	MostRuns int
}

// Broken returns the rules that were broken.
func (cr *CutResult) Broken() (out []string) {
	if cr.Cut > 0 && float64(cr.CutServed)*float64(cr.Others) < cutRatio*float64(cr.OthersServed)*float64(cr.Cut) {
		out = append(out, "RECOVER: served less often")
	}
	if cr.Cut-cr.CutServed > cutSlack+(cr.Cut+cr.Others)/cutShare {
		out = append(out, "RECOVER: too many fail")
	}
	return out
}

// cutNow returns the cut in which a node is.
func (no *node) cutNow() (Cut, bool) { return no.cutAt(no.ru.elapsed()) }

func (no *node) cutAt(at time.Duration) (Cut, bool) {
	for _, cu := range no.cuts {
		if at >= cu.At && at < cu.At+cu.For {
			return cu, true
		}
	}
	return Cut{}, false
}

// scheduleCuts schedules the cuts and the checks of the nodes' paths.
func (ru *run) scheduleCuts() {
	if len(ru.Load.Cuts) == 0 {
		return
	}
	for _, cu := range ru.Load.Cuts {
		for num := cu.First; num <= cu.Last; num++ {
			no := ru.nodes[num]
			no.cuts = append(no.cuts, cu)
			ru.scheduleAt(cu.At, func() { no.breakConnections(cu.Kind) })
		}
	}
	for num, no := range ru.nodes {
		ru.scheduleAt(time.Duration(num)*pathPeriod/time.Duration(ru.Nodes), no.checkPath)
	}
}

// breakConnections ends the attempts in progress when the path is cut.
func (no *node) breakConnections(kind CutKind) {
	if kind == CutNew {
		return
	}
	for _, en := range no.ru.engines {
		for _, rq := range en.inOrder() {
			if rq.node != no {
				continue
			}
			if kind == CutResets {
				rq.pathLost()
				continue
			}
			delete(en.running, rq)
			rq.hang()
		}
	}
}

// pathLost ends an attempt whose connection was reset.
func (rq *request) pathLost() {
	no := rq.node
	no.crashes.Lost(no.ru.now, notice.Server{ID: rq.engine.id, StartUnixMS: rq.engine.incarnation}, rq.loss())
	no.path.Failed(no.ru.now, rq.engine.id)
	rq.serverGone()
}

// hang lets an attempt wait on a silent connection.
func (rq *request) hang() {
	no, sends, started := rq.node, rq.sends, rq.started
	no.ru.scheduleAfter(silenceTimeout, func() {
		if rq.node != no || rq.sends != sends || rq.started != started {
			return
		}
		no.path.Failed(no.ru.now, rq.engine.id)
		rq.serverGone()
	})
}

// sendOverCut lets an attempt fail that a node dispatched although its path is cut. It returns
// false if the attempt goes out on an open connection.
func (no *node) sendOverCut(rq *request) bool {
	cu, isCut := no.cutNow()
	if !isCut {
		return false
	}
	isOpen := no.ru.rnd.Float64() < openShare
	switch {
	case cu.Kind == CutNew && isOpen:
		return false
	case cu.Kind == CutResets || cu.Kind == CutNew:
		no.ru.scheduleAfter(roundTrip, rq.notConnected)
	case isOpen:
		rq.engine = &engine{id: rq.engine.id, incarnation: rq.engine.incarnation, running: map[*request]struct{}{}}
		rq.hang()
	default:
		no.dialing[rq] = rq.sends
		no.ru.scheduleAfter(dialTimeout, func() { no.endDial(rq) })
	}
	return true
}

// endDial gives a connection up.
func (no *node) endDial(rq *request) {
	if sends, ok := no.dialing[rq]; ok && sends == rq.sends {
		delete(no.dialing, rq)
		rq.notConnected()
	}
}

// notConnected ends an attempt of which no byte was sent.
func (rq *request) notConnected() {
	no := rq.node
	isCut := no.path.State() == detour.Cut
	if isCut {
		rq.attemptEnded(place.Canceled)
	} else {
		no.path.Refused(no.ru.now, rq.engine.id)
		rq.attemptEnded(place.Incomplete)
	}
	rq.sends--
	if isCut {
		rq.noOpen = true
		no.send(rq)
		return
	}
	rq.ask.Avoid = append(rq.ask.Avoid, rq.engine.id)
	if !no.budget.Spend() {
		no.refuseAdmitted(rq, immediateRetryDelay)
		return
	}
	no.send(rq)
}

// checkPath checks the path to the servers, as package relay does.
func (no *node) checkPath() {
	ru := no.ru
	if ru.elapsed() > ru.Duration+deadline {
		return
	}
	ru.scheduleAfter(pathPeriod, no.checkPath)
	if no.down() {
		return
	}
	if no.checks++; no.checks%ejectionChecks == 0 {
		no.countEjections()
	}
	for _, id := range no.path.Next(ru.now, no.fleet.Open(), func(du time.Duration) int { return no.fleet.Waiting(ru.now, du) }) {
		accepts, after := ru.engineOf(id).isServing(id), roundTrip
		if cu, isCut := no.cutNow(); isCut {
			if accepts = false; cu.Kind == CutHangs {
				after = detour.ProbeTimeout
			}
		}
		ru.scheduleAfter(after, func() { no.probed(accepts) })
	}
}

func (no *node) probed(accepts bool) {
	st, changed := no.path.Probed(no.ru.now, accepts)
	switch {
	case !changed:
	case st == detour.Cut:
		no.isCut = true
		no.found++
		no.ru.result.Cuts.MostFound = max(no.ru.result.Cuts.MostFound, no.found)
		no.fleet.Forgive(no.ru.now)
		for _, rq := range no.waiting() {
			no.endDial(rq)
		}
	case no.isCut:
		no.isCut = false
		no.fleet.Forgive(no.ru.now)
	}
}

// waiting returns the requests that wait for a connection, in the order of their ids.
func (no *node) waiting() []*request {
	en := engine{running: map[*request]struct{}{}}
	for rq := range no.dialing {
		en.running[rq] = struct{}{}
	}
	return en.inOrder()
}

// countEjections counts the servers that serve and that a node without a cut takes for unusable.
func (no *node) countEjections() {
	if len(no.cuts) > 0 || len(no.faults) > 0 {
		return
	}
	for _, lo := range no.fleet.Servers(no.ru.now) {
		if !lo.Usable && !lo.Draining && no.ru.engineOf(lo.ID).isServing(lo.ID) && no.ru.engineOf(lo.ID).frozenUntil.Before(no.ru.now) {
			no.ru.result.Cuts.Ejections++
		}
	}
}

// takesDetour reports whether a request goes through another node.
func (no *node) takesDetour(rq *request) bool {
	return no.path.State() == detour.Cut && rq.origin == nil && (rq.noOpen || !no.path.UsesOpenConnections())
}

// forward sends a request through a peer that has not been asked.
func (no *node) forward(rq *request, asked map[units.VMID]bool) {
	ru := no.ru
	var ids []units.VMID
	load := map[units.VMID]int{}
	for _, id := range no.peers {
		if to := ru.byID[id]; !no.lost[id] && !to.toldCut(no) {
			ids, load[id] = append(ids, id), to.running
		}
	}
	id, ok := no.detours.Choose(ru.now, "", ids, asked, func(id units.VMID) int { return load[id] })
	if !ok || len(asked) >= maxForwardTries {
		no.refuseAdmitted(rq, immediateRetryDelay)
		return
	}
	asked[id] = true
	to := ru.byID[id]
	after, takes := roundTrip, to.path.State() != detour.Cut
	if to.isolated() || no.isolated() {
		after, takes = acceptTimeout, false
	}
	if !takes {
		no.passOver(to, after == acceptTimeout)
		ru.scheduleAfter(after, func() {
			switch {
			case no.down():
			case no.path.State() == detour.Cut:
				no.forward(rq, asked)
			default:
				no.trySend(rq)
			}
		})
		return
	}
	if no.isLate() {
		ru.result.Cuts.Late++
	}
	ru.result.Cuts.Forwarded++
	no.detours.Began(id)
	no.detours.Took(ru.now, id, "")
	rq.origin, rq.node = no, to
	ru.scheduleAfter(after, func() {
		switch {
		case to.down():
			to.dropForwarded(rq)
		case rq.hasLeft():
			no.detours.Ended(id)
		default:
			to.send(rq)
		}
	})
}

// passOver records that a node did not take a request. One that declines names some that do.
func (no *node) passOver(to *node, silent bool) {
	if silent {
		no.detours.Silent(no.ru.now, to.id, "")
		return
	}
	no.detours.Declined(no.ru.now, to.id, "")
	for _, id := range to.detours.Hints(no.ru.now, "") {
		if id != no.id {
			no.detours.Took(no.ru.now, id, "")
		}
	}
}

// isLate reports whether a detour comes later than returnTime after the only cut of a node.
func (no *node) isLate() bool {
	return len(no.cuts) == 1 && no.ru.elapsed() > no.cuts[0].At+no.cuts[0].For+returnTime
}

// toldCut reports whether a node has told another one that its path is cut.
func (no *node) toldCut(other *node) bool { return other.unreached[no.id] }

// dropForwarded ends a forwarded request whose node has died.
func (no *node) dropForwarded(rq *request) {
	origin := rq.origin
	rq.node, rq.origin = origin, nil
	if rq.started || rq.sends >= maxSends || origin.down() {
		origin.refuseAdmitted(rq, immediateRetryDelay)
		return
	}
	origin.send(rq)
}

// cutTry is a first try beside cuts.
type cutTry struct {
	isCut, before bool
}

// countTry counts the first try of a caller at a node.
func (rq *request) countTry(no *node) {
	ru := rq.ru
	if len(ru.Load.Cuts) == 0 || rq.callerTries > 0 || rq.guilty != nil {
		return
	}
	at := ru.elapsed()
	re := &ru.result.Cuts
	if at < ru.Load.Cuts[0].At {
		re.Before++
		rq.try = &cutTry{before: true}
		return
	}
	if no.excused(ru.now) {
		return
	}
	cu, isCut := no.cutAt(at)
	switch {
	case isCut && at >= cu.At+cutContact:
		re.Cut++
		rq.try = &cutTry{isCut: true}
	case !isCut && ru.inCut(at) && len(no.cuts) == 0:
		re.Others++
		rq.try = &cutTry{}
	}
}

// inCut reports whether some nodes have been cut for cutContact.
func (ru *run) inCut(at time.Duration) bool {
	for _, cu := range ru.Load.Cuts {
		if at >= cu.At+cutContact && at < cu.At+cu.For {
			return true
		}
	}
	return false
}

// countServed counts a first try that is served.
func (rq *request) countServed() {
	re, tr := &rq.ru.result.Cuts, rq.try
	rq.try = nil
	switch {
	case tr == nil:
	case tr.before:
		re.BeforeServed++
	case tr.isCut:
		re.CutServed++
	default:
		re.OthersServed++
	}
}
