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

// Call is one request to a plain service.
type Call struct {
	Row      *table.Row
	Deadline time.Time
	Request  plain.Request
}

const (
	// patience is how long a request looks for a usable server.
	patience = 2 * time.Second
	// retryAfter is told to callers whose request failed for want of a server.
	retryAfter = time.Second
)

// Service runs an admitted request to a plain service to its outcome.
func (fl *Flow) Service(ctx context.Context, ca *Call) (*plain.Answer, *Failure) {
	ctx, cancel := context.WithDeadline(ctx, ca.Deadline)
	defer cancel()
	ma := answer.New(ca.Row.Idempotent, ca.Row.Attempts)
	ma.Accept()
	bu := fl.budget(ca.Row.Key())
	bu.first()
	ask := route.Request{FirstToken: ca.Row.FirstToken.Std()}
	for {
		an, err := fl.serviceOnce(ctx, ca, ma, &ask)
		if err == nil {
			fl.count(answer.Done)
			return an, nil
		}
		if !ma.CanDispatch() || ctx.Err() != nil || fault.Is(err, KindNoServer) || !bu.spend() {
			st := ma.GiveUp()
			fl.count(st)
			return nil, &Failure{Outcome: st, After: retryAfter, Err: err}
		}
		fl.Counts.Retries.Add(1)
		backOff(ctx, ma.Attempt())
	}
}

func (fl *Flow) serviceOnce(ctx context.Context, ca *Call, ma *answer.Machine, ask *route.Request) (*plain.Answer, error) {
	const op = "flow.serviceOnce"
	pi, ok := fl.choose(ctx, ca.Row.Target, ask, patience)
	if !ok {
		return nil, fault.New(op, KindNoServer, "no backend server of %s is usable", ca.Row.Target)
	}
	defer pi.ended()
	att, ok := ma.Dispatch()
	if !ok {
		return nil, fault.New(op, KindBroken, "no attempt is left")
	}
	rq := ca.Request
	rq.Attempt = att
	rq.Idempotent = ca.Row.Idempotent
	an, err := fl.Plain.Do(ctx, pi.replica.Address, &rq)
	if err != nil {
		ask.Avoid = append(ask.Avoid, pi.replica.VM)
		return nil, fl.serviceFailed(ctx, ma, att, pi.replica.VM, err)
	}
	fl.Fleet.Succeeded(pi.replica.VM)
	ma.Finish(att, 0)
	return an, nil
}

// serviceFailed notes what is known of an attempt that failed.
func (fl *Flow) serviceFailed(ctx context.Context, ma *answer.Machine, att units.AttemptID, vm units.VMID, err error) error {
	const op = "flow.serviceFailed"
	switch {
	case fault.Is(err, plain.KindNotSent):
		ma.Fail(att, answer.NotSent)
	case fault.Is(err, plain.KindDraining):
		ma.Fail(att, answer.Refused)
		fl.Draining(vm)
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
	fl.Fleet.Failed(vm, time.Now())
	return fault.Wrap(op, KindBroken, err)
}
