package crowd

import (
	"time"

	"lycheepick/internal/rule/notice"
	"lycheepick/internal/state/server"
)

// Departure is a server that says in its answers from At on that it leaves, while its record says
// that it is ready. Nodes learn of it from its answers and from each other alone. It ends after For,
// and starts anew after a further Outage.
type Departure struct {
	Server          int
	At, For, Outage time.Duration
}

const (
	// leaveBound is the platform's bound from the answer that a node passed on to its last request
	// there, and leaveContact the time in which what a server says has to bind all nodes in touch.
	leaveBound   = 2 * time.Second
	leaveContact = 3 * time.Second
)

// LeaveResult summarises the requests that reached servers that had said that they leave.
type LeaveResult struct {
	// Departures counts the servers that said so, Told the nodes that passed it on.
	Departures, Told int
	// Late counts the requests from nodes that had passed it on longer than leaveBound before, and
	// LateOfAll those from nodes in touch later than leaveContact after the first had. Arrivals counts all.
	Late, LateOfAll, Arrivals int
	// Slowest is the longest time from a node's passing it on to its last request there.
	Slowest time.Duration
}

// departure is what a server that says that it leaves has told: when it first told any node, and when each.
type departure struct {
	first time.Time
	told  map[*node]time.Time
}

func (ru *run) scheduleDepartures() {
	for _, dp := range ru.Load.Departures {
		en := ru.engines[dp.Server]
		ru.scheduleAt(dp.At, func() {
			en.departs = &departure{told: map[*node]time.Time{}}
			ru.result.Leaving.Departures++
		})
		if dp.For == 0 {
			continue
		}
		ru.scheduleAt(dp.At+dp.For, func() {
			en.dead, en.departs = true, nil
			for _, rq := range en.inOrder() {
				rq.serverGone()
			}
		})
		ru.scheduleAt(dp.At+dp.For+noticeDelay, ru.updateServers)
		ru.scheduleAt(dp.At+dp.For+dp.Outage, func() {
			en.restart()
			ru.updateServers()
		})
	}
}

// arrive judges a request that reaches a server that has said that it leaves.
func (dp *departure) arrive(rq *request) {
	re, now, no := &rq.ru.result.Leaving, rq.ru.now, rq.node
	re.Arrivals++
	if told, ok := dp.told[no]; ok {
		re.Slowest = max(re.Slowest, now.Sub(told))
		if rq.at.After(told.Add(leaveBound)) && !no.restartedSince(told) {
			re.Late++
		}
	}
	if !dp.first.IsZero() && rq.at.After(dp.first.Add(leaveContact)) && !no.excused(now) {
		re.LateOfAll++
	}
}

// restartedSince reports whether a node was restarted or frozen since a time, which excuses it.
func (no *node) restartedSince(at time.Time) bool {
	for _, fa := range no.faults {
		if fa.Kind != CutOff && epoch.Add(fa.At+fa.For).After(at) && epoch.Add(fa.At).Before(no.ru.now) {
			return true
		}
	}
	return false
}

// passLeavingOn shows the node that its server leaves, in the answer that it passes on.
func (rq *request) passLeavingOn() {
	dp := rq.engine.departs
	if dp == nil {
		return
	}
	for _, no := range []*node{rq.node, rq.origin} {
		if no == nil {
			continue
		}
		if dp.told[no].IsZero() {
			dp.told[no] = rq.ru.now
			rq.ru.result.Leaving.Told++
		}
		if dp.first.IsZero() {
			dp.first = rq.ru.now
		}
		if no.leaving.Observe(rq.ru.now, rq.ru.now, notice.Server{ID: rq.engine.id, StartUnixMS: rq.engine.incarnation}, true) {
			no.applyServers()
		}
	}
}

// mergeLeaving applies what a peer has heard of servers that leave.
func (no *node) mergeLeaving(other *node) {
	if len(no.leaving.Merge(no.ru.now, no.ru.now, other.leaving.Heard(no.ru.now))) > 0 {
		no.applyServers()
	}
}

// applyServers puts the listed servers in use; those that have said that they leave get no requests.
func (no *node) applyServers() {
	out := make([]server.Server, len(no.servers))
	for idx, sv := range no.servers {
		sv.Draining = sv.Draining || bool(no.leaving.Get(noticeServer(&sv)))
		out[idx] = sv
	}
	no.fleet.SetServers(no.ru.now, out)
}
