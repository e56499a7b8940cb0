package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/answer"
)

// settle records the end of an attempt in the request's state machine and in the server's
// health.
func (ru *run) settle(att units.AttemptID, pi *picked, err error) {
	res, evidence := place.Incomplete, answer.MayHaveRun
	switch {
	case err == nil:
		res = ru.result
	case fault.Is(err, KindRefused):
		res, evidence = place.Refused, answer.Refused
	case fault.Is(err, KindLeaving), fault.Is(err, KindLimited), fault.Is(err, KindResting), fault.Is(err, KindBlocked), fault.Is(err, KindCut):
		res, evidence = place.Canceled, answer.NotSent
	case fault.Is(err, KindNotSent):
		evidence = answer.NotSent
	case fault.Is(err, KindFirstByteTimeout):
		res = place.Silent
	case fault.Is(err, KindErrored):
		res = place.Errored
	case fault.Is(err, KindCallerGone), fault.Is(err, KindDeadline), fault.Is(err, KindStopping):
		res = place.Canceled
	}
	ru.rl.recordEnd(ru.rq.Service, pi, res, err)
	ru.recordAnswer(pi, err)
	if err == nil || fault.Is(err, KindErrored) {
		ru.recordCompleted()
	}
	if err == nil {
		ru.machine.Finish(att, 0)
		return
	}
	ru.machine.Fail(att, evidence)
}

// attempt sends the request to one server and forwards the response. It returns nil once
// the caller has the complete response. The request is not sent once withheld returns true.
func (ru *run) attempt(ctx context.Context, pi *picked, withheld func() bool) error {
	const op = "relay.attempt"
	callerCtx := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ru.firstByte = nil
	if ru.canRetry() {
		timeout, service := max(minFirstByteTimeout, pi.FirstToken*firstByteTimeoutFactor, pi.Usual*place.UsualFactor), ru.rq.Service
		fb := ru.newFirstByteTimer(pi).start(timeout, cancel)
		ru.firstByte = fb
		defer fb.stop()
		defer context.AfterFunc(pi.dial, func() {
			if ru.rl.isSilent(service) {
				fb.expire(false, "the path to server %s is cut", pi.Server.ID)
			}
		})()
	}
	ru.rl.Counts.Sent.Add(1)
	ru.unsent, ru.beganAt = 0, time.Time{}
	sentAt := time.Now()
	rp, err := ru.ex.Send(ctx, &Attempt{
		Server: pi.Server, Deadline: ru.rq.Deadline, Priority: ru.rq.Priority, LastEvent: ru.lastEvent,
		Leaving: func() bool { return ru.rl.isLeaving(&pi.Server) || ru.rl.isWithdrawn(ru.rq.Service, pi) },
		Limited: func() bool { return !pi.limited && ru.rl.isLimited(&pi.Server) },
		Resting: func() bool { return ru.rl.isResting(&pi.Server) },
		Blocked: func() bool { return ru.isBlocked() || withheld() }, Dial: pi.dial, OpenOnly: pi.openOnly,
		Late: func(rp *Reply) { ru.rl.heardLate(ru.rq.Service, pi, rp) }, LateUntil: ru.rl.stopping,
	})
	if err != nil {
		return ru.why(callerCtx, ctx, ru.orCut(pi, err))
	}
	defer rp.Close()
	pi.answered = true
	ru.unsent = rp.SentAt.Sub(pi.sent)
	ru.rl.heard(ru.rq.Service, pi, rp)
	if rp.Refused || rp.Misdirected {
		ru.rl.Counts.Refused.Add(1)
		return fault.New(op, KindRefused, "server %s refused with status %d", pi.Server.ID, rp.Status)
	}
	if !rp.Authentic {
		return fault.New(op, KindBroken, "server %s gave an answer that is not its own, status %d", pi.Server.ID, rp.Status)
	}
	return ru.why(callerCtx, ctx, ru.forwardBody(pi, rp, sentAt))
}

// orCut returns the error of an attempt that was not sent, as one of KindCut if the path to the
// servers is cut.
func (ru *run) orCut(pi *picked, err error) error {
	if fault.Is(err, KindNotSent) && pi.dial.Err() != nil {
		return fault.Wrap("relay.attempt", KindCut, err)
	}
	return err
}

// why classifies the error of a failed attempt by the context that cancelled it, if one
// did. callerCtx is the request's context, ctx the attempt's.
func (ru *run) why(callerCtx, ctx context.Context, err error) error {
	const op = "relay.why"
	if err == nil || fault.Is(err, KindErrored) {
		return err
	}
	if isNotSent(err) && (!errors.Is(callerCtx.Err(), context.Canceled) || isStopping(callerCtx)) {
		return err
	}
	switch {
	case isStopping(callerCtx):
		return errStopping
	case errors.Is(callerCtx.Err(), context.DeadlineExceeded):
		return fault.Wrap(op, KindDeadline, err)
	case callerCtx.Err() != nil:
		return fault.Wrap(op, KindCallerGone, err)
	case ctx.Err() != nil:
		return fault.Wrap(op, KindFirstByteTimeout, context.Cause(ctx))
	}
	return err
}

// isNotSent reports whether no byte of an attempt can have reached its server.
func isNotSent(err error) bool {
	return fault.Is(err, KindNotSent) || fault.Is(err, KindLeaving) || fault.Is(err, KindLimited) || fault.Is(err, KindResting) || fault.Is(err, KindBlocked) ||
		fault.Is(err, KindCut) || fault.Is(err, KindNoDetour) || fault.Is(err, KindPathBack)
}
