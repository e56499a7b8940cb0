package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/rule/detour"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/rest"
	"lycheepick/internal/rule/retry"
	"lycheepick/internal/rule/roll"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/server"
)

// picked is a selected server and the dispatch recorded for it.
type picked struct {
	place.Choice
	ticket place.Ticket
	// listAge is the time since the server list last changed, serversAge the time since it
	// last matched the store, sent the time of dispatch.
	listAge, serversAge time.Duration
	sent                time.Time
	// limited is set if the server named a limit when it was chosen, so that the dispatch took
	// a permit.
	limited bool
	// tries is set if the request tries a server that has refused requests, and answered once the head
	// of the server's answer has come.
	tries, answered bool
	// failed is set if the answer is an error, the time to which is no wait for a first event.
	failed bool
	// detour is set if another node chose the server and sent the request there.
	detour bool
	// group is the group of servers to which the request may go by a rollout.
	group roll.Group
	// dial ends when the path to the servers is found to be cut, openOnly is set if it is cut and
	// open connections still work.
	dial     context.Context
	openOnly bool
}

// choose selects a server and records the dispatch, with a permit if the server names a limit.
// send decides from the choice whether to dispatch at all.
func (rl *Relay) choose(now time.Time, id units.TargetID, ask *place.Request, rr *rollRoute, send func(*place.Choice) bool) (pi picked, found, sent bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se := rl.service(id)
	pi.listAge = now.Sub(se.listReadAt)
	pi.serversAge = now.Sub(time.Unix(0, rl.syncedAt.Load()))
	rl.setConditions(now, ask)
	pi.group = rl.setGroup(now, id, ask, rr)
	pi.Choice, found, sent = rl.chooseFrom(now, se, ask, send)
	if !sent && rl.leavesTarget(id, pi.group, rr) {
		pi.group = rl.setGroup(now, id, ask, rr)
		pi.Choice, found, sent = rl.chooseFrom(now, se, ask, send)
	}
	if !sent {
		return pi, found, false
	}
	pi.tries = rl.rests.Sent(now, noticeServer(&pi.Server))
	pi.limited = rl.permits.Limit(noticeServer(&pi.Server)).Named
	rl.permits.Use(now, noticeServer(&pi.Server))
	pi.ticket, pi.sent = se.fleet.Dispatch(now, ask, &pi.Choice), now
	pi.dial, pi.openOnly = se.dial, se.path.State() == detour.Cut
	rl.began(id, rr, &pi)
	return pi, true, true
}

// chooseFrom selects one of the servers that ask allows, and asks send whether to dispatch. The caller holds mu.
func (rl *Relay) chooseFrom(now time.Time, se *service, ask *place.Request, send func(*place.Choice) bool) (ch place.Choice, found, sent bool) {
	// A trial may have to be repeated elsewhere.
	ask.Try = se.budget.HasReserve() && len(ask.Avoid) == 0
	ch, found = se.fleet.Choose(now, ask)
	sent = found && send(&ch)
	if found && !sent && !ask.Try && ask.Rest != nil && ch.Held == nil {
		ask.Try = true // A trial is better than a refusal.
		ch, found = se.fleet.Choose(now, ask)
		sent = found && send(&ch)
	}
	return ch, found, sent
}

// setConditions sets which servers take a request now. The caller holds mu.
func (rl *Relay) setConditions(now time.Time, ask *place.Request) {
	ask.Gate = func(sv *server.Server) permit.Gate { return rl.permits.Gate(now, noticeServer(sv)) }
	ask.Rest = nil
	if !rl.rests.Empty() {
		ask.Rest = func(sv *server.Server) (rest.State, time.Time) { return rl.rests.State(now, noticeServer(sv)) }
	}
}

func (rl *Relay) recordFirstByte(id units.TargetID, pi *picked) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := time.Now()
	if pi.failed {
		rl.service(id).fleet.FailedAnswer(now, pi.Server.ID, pi.ticket)
	} else {
		rl.service(id).fleet.FirstToken(now, pi.Server.ID, pi.ticket)
		rl.recordWait(now, id, pi)
	}
	rl.crashes.Heard(pi.sent, noticeServer(&pi.Server))
}

// recordEnd records how an attempt ended, and with which error.
func (rl *Relay) recordEnd(id units.TargetID, pi *picked, res place.Result, err error) {
	rl.mu.Lock()
	se := rl.service(id)
	blamesPath := se.blamesPath(pi.sent)
	if (res == place.Incomplete || res == place.Silent) && blamesPath {
		res = place.Canceled
	}
	switch sv := noticeServer(&pi.Server); {
	case pi.answered:
	case isNotSent(err), blamesPath:
		if pi.tries {
			rl.rests.NotSent(sv)
		}
	default:
		rl.rests.GaveUp(time.Now(), pi.sent, sv)
	}
	change := se.fleet.End(time.Now(), pi.Server.ID, pi.ticket, res)
	rl.mu.Unlock()
	if change == retry.Ejected {
		rl.Log.Info("server_ejected", zap.String("server", string(pi.Server.ID)), zap.String("service", string(id)))
	}
}
