package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/roll"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
	"lycheepick/internal/state/server"
)

// rollRoute is the part of a request in the rollout of its service.
type rollRoute struct {
	// hash decides whether the request is one of those that try the target version.
	hash uint64
	// avoidsTarget is set once an attempt at the target version has failed, or found no usable server: in the canary
	// phase the request then goes to the other versions.
	avoidsTarget bool
	// ended is an attempt that has ended and that another one may continue, nil if there is none.
	ended *endedAttempt
}

// endedAttempt is the end of an attempt, as the rollout of its service counts it.
type endedAttempt struct {
	route   string
	version units.SoftwareVersion
	size    units.Tokens
	answer  roll.Answer
}

// newRollRoute returns the part of a request. All nodes decide alike, so that a request that goes through another node
// gets the same group of servers there. The hash differs from that by which the service is chosen.
func newRollRoute(rq *Request) rollRoute {
	return rollRoute{hash: xxhash.Sum64String("rollout/" + string(rq.ID))}
}

// elsewhere returns the part of a request as it is for an attempt after one that fails: in the canary phase that attempt
// goes to the other versions, which can be the only ones with another server.
func (rr *rollRoute) elsewhere() rollRoute { return rollRoute{hash: rr.hash, avoidsTarget: true} }

// ControlRollouts makes the relay follow the orders that move services to another software version. Call it before
// the first request.
func (rl *Relay) ControlRollouts(po roll.Policy, node units.VMID) {
	rl.rollouts = roll.NewBook(po, node)
}

// setGroup sets which servers a request may go to by the rollout of its service, and returns the group. A stream that
// has begun keeps to its version. The caller holds mu.
func (rl *Relay) setGroup(now time.Time, id units.TargetID, ask *place.Request, rr *rollRoute) (gr roll.Group) {
	ask.Allow = nil
	if rl.rollouts == nil || ask.Version != nil {
		return roll.Any
	}
	gr = rl.rollouts.Route(now, id, rr.hash)
	if gr == roll.Target && rr.avoidsTarget && rl.inCanary(id) {
		gr = roll.Others
	}
	if gr != roll.Any {
		ask.Allow = func(sv *server.Server) bool { return rl.rollouts.Allows(now, id, gr, sv) }
	}
	return gr
}

// inCanary reports whether the rollout of a service is in the phase in which a request may leave the target version.
// The caller holds mu.
func (rl *Relay) inCanary(id units.TargetID) bool {
	return rl.rollouts.States()[id].Phase == roll.Canary
}

// leavesTarget reports whether a request that found no server of the target version has to try the others. The caller
// holds mu.
func (rl *Relay) leavesTarget(id units.TargetID, gr roll.Group, rr *rollRoute) bool {
	if gr != roll.Target || rr.avoidsTarget || !rl.inCanary(id) {
		return false
	}
	rr.avoidsTarget = true
	return true
}

// began records that a request goes to a server. The caller holds mu.
func (rl *Relay) began(id units.TargetID, rr *rollRoute, pi *picked) {
	if rl.rollouts != nil {
		rl.rollouts.Began(id, pi.Server.Version)
		rl.endAttempt(id, rr)
	}
}

// isWithdrawn reports whether a request may not go to the server any more that was chosen for it, since the phase has changed
// or the canary has ended while a connection was set up.
func (rl *Relay) isWithdrawn(id units.TargetID, pi *picked) bool {
	if pi.group == roll.Any {
		return false
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return !rl.rollouts.Allows(time.Now(), id, pi.group, &pi.Server)
}

// endAttempt records the end of the last attempt once another one has begun, or the request has ended: a stream between
// two attempts still needs the servers of its version. The caller holds mu.
func (rl *Relay) endAttempt(id units.TargetID, rr *rollRoute) {
	if ea := rr.ended; ea != nil {
		rl.rollouts.Ended(time.Now(), id, ea.route, ea.version, ea.size, ea.answer)
		rr.ended = nil
	}
}

// endRollout records the end of the request.
func (ru *run) endRollout() {
	ru.rl.mu.Lock()
	defer ru.rl.mu.Unlock()
	ru.rl.endAttempt(ru.rq.Service, &ru.rolling)
}

// recordAnswer records what an attempt tells of its server's software version.
func (ru *run) recordAnswer(pi *picked, err error) {
	rl := ru.rl
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.rollouts == nil {
		return
	}
	an := ru.rollAnswer(pi, err)
	if rl.service(ru.rq.Service).blamesPath(pi.sent) || err != nil && rl.isLeaving(&pi.Server) {
		an.Counted = false
	}
	ru.rolling.ended = &endedAttempt{route: ru.rq.Route.Name, version: pi.Server.Version, size: pi.Uncached, answer: an}
	if err != nil && rl.rollouts.States()[ru.rq.Service].Target == pi.Server.Version {
		ru.rolling.avoidsTarget = true
	}
	if err == nil {
		rl.endAttempt(ru.rq.Service, &ru.rolling)
	}
}

// rollAnswer returns what the end of an attempt tells of the version. An attempt that did not run, or that its caller
// left early, tells nothing; one that was left without an answer after the route's target has failed.
func (ru *run) rollAnswer(pi *picked, err error) (an roll.Answer) {
	if !ru.beganAt.IsZero() {
		an.First = ru.beganAt.Sub(pi.sent)
	}
	switch {
	case err == nil:
		an.Counted, an.Failed = true, ru.result == place.Errored
	case fault.Is(err, KindErrored), fault.Is(err, KindBroken), fault.Is(err, KindFirstByteTimeout):
		an.Counted, an.Failed = true, true
	case fault.Is(err, KindCallerGone), fault.Is(err, KindDeadline):
		isLate := time.Since(pi.sent) > ru.rq.Route.TargetLatency
		an.Counted, an.Failed = !ru.beganAt.IsZero() || isLate, ru.beganAt.IsZero()
	}
	return an
}

// SetRolloutOrder takes an order that was first read at a time, or removes that of a service.
func (rl *Relay) SetRolloutOrder(at time.Time, or roll.Order) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.rollouts.SetOrder(at, or)
}

// RedateRolloutOrder sets the era of the order of a service, and when it was first read.
func (rl *Relay) RedateRolloutOrder(id units.TargetID, at time.Time, era units.Era) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.rollouts.Redate(id, at, era)
}

// RemoveRolloutOrder ends the control of the versions of a service.
func (rl *Relay) RemoveRolloutOrder(id units.TargetID) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.rollouts.RemoveOrder(id)
}

// ApplyRollout merges the state of a rollout that was recorded in the store, or reported by a peer, as known at a time.
func (rl *Relay) ApplyRollout(at time.Time, id units.TargetID, st roll.State) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.rollouts.Apply(at, id, st)
}

// Rollouts returns the states of all rollouts.
func (rl *Relay) Rollouts() map[units.TargetID]roll.State {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.rollouts.States()
}

// RolloutReport returns this node's evidence on the versions of services with orders.
func (rl *Relay) RolloutReport(now time.Time) map[units.TargetID]roll.Report {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.rollouts.Report(now)
}

// ExplainRollout returns why the rollout of a service is where it is.
func (rl *Relay) ExplainRollout(id units.TargetID) roll.Explanation {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	ex, _ := rl.rollouts.Explain(id)
	return ex
}

// MergeRollouts merges a peer's evidence.
func (rl *Relay) MergeRollouts(now time.Time, node units.VMID, inc int64, reports map[units.TargetID]roll.Report) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.rollouts.Merge(now, node, inc, reports)
}

// NextRollout returns the phase of a rollout to record next, if one is due. peers are the nodes in contact.
func (rl *Relay) NextRollout(now time.Time, id units.TargetID, peers []units.VMID, drain time.Duration) (roll.State, bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.rollouts.Next(now, id, peers, drain)
}

// setRolloutRoutes names the routes of each service. The caller holds mu.
func (rl *Relay) setRolloutRoutes(co *routes.Config) {
	if rl.rollouts == nil {
		return
	}
	by := map[units.TargetID][]string{}
	for idx := range co.Routes {
		for _, sp := range co.Routes[idx].TrafficSplit {
			by[sp.Service] = append(by[sp.Service], co.Routes[idx].Name)
		}
	}
	for id, names := range by {
		rl.rollouts.SetRoutes(id, names)
	}
}
