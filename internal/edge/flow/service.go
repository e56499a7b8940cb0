package flow

import (
	"context"
	"time"

	"lycheepick/internal/edge/plain"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/answer"
	"lycheepick/internal/state/table"
)

// ServiceRequest is one request to a plain service.
type ServiceRequest struct {
	Row      *table.Row
	Deadline time.Time
	Request  plain.Request
}

const (
	// serviceServerWait is how long a request waits for a usable server.
	serviceServerWait = 2 * time.Second
	// retryAfter is sent to callers whose request failed on the backend servers.
	retryAfter = time.Second
)

// Service serves an admitted request to a plain service, with retries.
func (fl *Flow) Service(ctx context.Context, ca *ServiceRequest) (*plain.Answer, *Failure) {
	ctx, cancel := context.WithDeadline(ctx, ca.Deadline)
	defer cancel()
	ctx, stop := fl.untilHandOver(ctx)
	defer stop()
	ma := answer.New(ca.Row.Idempotent, ca.Row.Attempts)
	ma.Accept()
	bu := fl.budget(ca.Row.Key())
	bu.recordFirst()
	ask := route.Request{FirstToken: ca.Row.FirstToken.Std()}
	for {
		an, err := fl.serviceOnce(ctx, ca, ma, &ask)
		if err == nil {
			fl.countOutcome(answer.Done)
			return an, nil
		}
		if !ma.CanDispatch() || ctx.Err() != nil || fault.Is(err, KindNoServer) || !bu.spend() {
			return nil, fl.serviceFailure(ctx, ca, ma, err)
		}
		fl.Counts.Retries.Add(1)
		backOff(ctx, ma.Attempt())
	}
}

// serviceFailure ends a request after its last attempt.
func (fl *Flow) serviceFailure(ctx context.Context, ca *ServiceRequest, ma *answer.Machine, err error) *Failure {
	const op = "flow.Service"
	st := ma.Abort()
	fl.countOutcome(st)
	if isHandedOver(ctx) {
		if st == answer.NotRun {
			return notRun(op)
		}
		err = fault.New(op, KindBroken, "this node left before the service had answered")
	}
	return &Failure{Outcome: st, RetryAfter: fl.failureRetryAfter(ca.Row.Target), Err: err}
}

func (fl *Flow) serviceOnce(ctx context.Context, ca *ServiceRequest, ma *answer.Machine, ask *route.Request) (*plain.Answer, error) {
	const op = "flow.serviceOnce"
	pi, ok := fl.choose(ctx, ca.Row.Target, ask, serviceServerWait)
	if !ok {
		return nil, fault.New(op, KindNoServer, "no backend server of %s is usable", ca.Row.Target)
	}
	defer pi.recordEnd()
	att, ok := ma.Dispatch()
	if !ok {
		return nil, fault.New(op, KindBroken, "no attempt is left")
	}
	rq := ca.Request
	rq.Attempt = att
	rq.Idempotent = ca.Row.Idempotent
	an, err := fl.Plain.Do(ctx, pi.server.Address, &rq)
	fl.recordAnswer(&pi, err == nil, err)
	if err != nil {
		ask.Avoid = append(ask.Avoid, pi.server.VM)
		return nil, fl.serviceFailed(ctx, ma, att, pi.server.Instance, err)
	}
	fl.Fleet.RequestSucceeded(pi.server.Instance)
	ma.Finish(att, 0)
	return an, nil
}

// serviceFailed records a failed attempt, with whether it may have been executed, and
// returns its error.
func (fl *Flow) serviceFailed(ctx context.Context, ma *answer.Machine, att units.AttemptID, id units.Instance, err error) error {
	const op = "flow.serviceFailed"
	switch {
	case fault.Is(err, plain.KindNotSent):
		ma.Fail(att, answer.NotSent)
	case fault.Is(err, plain.KindDraining):
		ma.Fail(att, answer.Refused)
		fl.OnDraining(id)
		return fault.Wrap(op, KindBroken, err)
	case fault.Is(err, plain.KindRefused):
		ma.Fail(att, answer.Refused)
		return fault.Wrap(op, KindBroken, err)
	default:
		ma.Fail(att, answer.MayHaveRun)
	}
	if ctx.Err() != nil {
		return fault.Wrap(op, KindDeadline, err)
	}
	fl.Fleet.RequestFailed(id, time.Now())
	return fault.Wrap(op, KindBroken, err)
}
