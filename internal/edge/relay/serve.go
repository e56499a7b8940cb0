package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/answer"
	"lycheepick/internal/state/routes"
)

const (
	// mostSends bounds the dispatches of a request whose attempts were refused unrun.
	mostSends = 4
	// leastLeft is the time under which a request is not sent again.
	leastLeft = 30 * time.Millisecond
	// patienceFactor and patienceLeast tell how long a repeatable request waits for a
	// first byte beyond the prediction before it goes elsewhere.
	patienceFactor = 3
	patienceLeast  = 600 * time.Millisecond
	// comeBack is when callers are told to return if no server is known.
	comeBack = 500 * time.Millisecond
	// leaveRetry is when callers are told to return to another node.
	leaveRetry = 10 * time.Millisecond
)

// run is one request in progress.
type run struct {
	rl   *Relay
	rq   *Request
	ex   Exchange
	sink Sink
	ma   *answer.Machine
	ask  place.Request
	// sends counts dispatches, events the pieces passed on.
	sends, events int
	lastEvent     string
	// last is the latest choice of a server.
	last picked
	// patience gives up an attempt that may be repeated and has no answer yet.
	patience *time.Timer
	// result is what an answered attempt says of its server.
	result place.Result
	// failure is a server's own answer that it failed, for the caller if no better one
	// follows.
	failure *failure
}

type failure struct {
	head *fasthttp.ResponseHeader
	body []byte
}

// Serve runs a request to its outcome. ctx ends when the caller leaves.
func (rl *Relay) Serve(ctx context.Context, rq *Request, ex Exchange, sink Sink) {
	rl.Counts.Received.Add(1)
	if rl.isTooLate(rq) {
		rl.refuse(rq, sink, fasthttp.StatusServiceUnavailable, "this node is leaving", leaveRetry)
		return
	}
	if ok, after := rl.admit(time.Now(), rq); !ok {
		rl.Counts.Limited.Add(1)
		rl.logLimit(rq)
		rl.refuse(rq, sink, fasthttp.StatusTooManyRequests, "the customer's limit is reached", after)
		return
	}
	rl.first(rq.Service)
	ctx, cancel := context.WithDeadline(ctx, rq.Until)
	defer cancel()
	ru := &run{
		rl: rl, rq: rq, ex: ex, sink: sink, lastEvent: rq.LastEvent,
		ma:  answer.New(rq.Route.Repeat != routes.Once, mostSends),
		ask: place.Request{Blocks: rq.Parts, Prompt: rq.Prompt, Zone: rl.Zone},
	}
	ru.ma.Accept()
	ru.loop(ctx)
	if ru.ma.State() == answer.NotRun {
		rl.refund(rq)
	}
}

// logLimit logs what decided that a request is over its customer's limit.
func (rl *Relay) logLimit(rq *Request) {
	rl.mu.Lock()
	vi := rl.pool.View(time.Now(), rq.Customer.ID)
	rl.mu.Unlock()
	rl.Log.Info("limit_reached", zap.String("request", string(rq.ID)), zap.String("customer", string(rq.Customer.ID)),
		zap.Float64("size", rq.Size), zap.Float64("rate", vi.Rate), zap.Float64("burst", vi.Burst),
		zap.Float64("level", vi.Level), zap.Float64("unseen", vi.Unreported))
}

func (rl *Relay) refuse(rq *Request, sink Sink, status int, reason string, after time.Duration) {
	rl.Counts.NotRun.Add(1)
	rl.Log.Info("request_refused", zap.String("request", string(rq.ID)), zap.String("route", rq.Route.Name),
		zap.Uint64("config", uint64(rq.Config)), zap.String("reason", reason), zap.Int("status", status),
		zap.Duration("retry_after", after))
	sink.Refuse(status, reason, after)
}

func (ru *run) loop(ctx context.Context) {
	runs := 0
	for {
		pi, ok := ru.pick()
		if !ok {
			return
		}
		att, _ := ru.ma.Dispatch()
		ru.sends++
		err := ru.attempt(ctx, &pi)
		ru.settle(att, &pi, err)
		if err == nil {
			ru.finish(nil)
			return
		}
		if !fault.Is(err, KindRefused) && !fault.Is(err, KindNotSent) {
			runs++
		}
		if !ru.again(ctx, err, runs) {
			ru.finish(err)
			return
		}
		ru.ask.Avoid = append(ru.ask.Avoid, pi.Server.ID)
	}
}

// pick chooses a server, or answers the caller that there is none in time.
func (ru *run) pick() (picked, bool) {
	now := time.Now()
	rq := ru.rq
	var after time.Duration
	pi, found, sent := ru.rl.choose(now, rq.Service, &ru.ask, func(ch *place.Choice) bool {
		if ru.sends > 0 {
			return true
		}
		var hopeless bool
		hopeless, after = admit.ShouldRefuse(admit.Prediction{
			FirstToken: ch.FirstToken, Waited: now.Sub(rq.Arrived), Remaining: rq.Until.Sub(now),
			Target: rq.Route.Target, SpareCapacity: ch.SpareCapacity,
		})
		return !hopeless
	})
	if ru.sends == 0 {
		ru.rl.Meter.Offered(rq.Service, pi.Uncached)
	}
	switch {
	case sent:
		ru.last = pi
		return pi, true
	case found:
		ru.rl.Counts.Overload.Add(1)
		ru.rl.Meter.Late(rq.Service)
		ru.last = pi
		ru.giveUp(fasthttp.StatusServiceUnavailable, "no server can answer in time", after)
	default:
		ru.rl.Counts.NoServer.Add(1)
		ru.giveUp(fasthttp.StatusServiceUnavailable, "no server is usable", comeBack)
	}
	return pi, false
}

// giveUp ends a request for which there is no further attempt to make.
func (ru *run) giveUp(status int, reason string, after time.Duration) {
	if ru.deliverFailure() {
		return
	}
	if ru.ma.GiveUp() == answer.NotRun {
		ru.rl.refuse(ru.rq, ru.sink, status, reason, after)
		if ru.last.Server.ID != "" {
			ru.log("refused_after", reason, status)
		}
		return
	}
	ru.unknown(fasthttp.StatusBadGateway, reason)
}

func (ru *run) unknown(status int, reason string) {
	ru.rl.Counts.Unknown.Add(1)
	ru.log("request_failed", reason, status)
	ru.sink.Refuse(status, reason, 0)
}

// log writes the one line about a request's end, with what its last choice was based on.
func (ru *run) log(event, reason string, status int) {
	rq, pi := ru.rq, &ru.last
	ru.rl.Log.Info(event, zap.String("request", string(rq.ID)), zap.String("route", rq.Route.Name),
		zap.Uint64("config", uint64(rq.Config)), zap.String("reason", reason), zap.Int("status", status),
		zap.Int("sends", ru.sends), zap.Int("events", ru.events), zap.Duration("took", time.Since(rq.Arrived)),
		zap.String("server", string(pi.Server.ID)), zap.Duration("predicted", pi.FirstToken),
		zap.Int64("fresh_tokens", int64(pi.Uncached)), zap.Duration("list_age", pi.age))
}

// deliverFailure sends the caller a server's own answer that it failed, if there is one
// and nothing better came.
func (ru *run) deliverFailure() bool {
	if ru.failure == nil || ru.sink.Started() {
		return false
	}
	reason := ""
	if err := ru.sink.Whole(ru.failure.head, ru.failure.body); err != nil {
		reason = err.Error()
	}
	ru.ma.GiveUp()
	ru.rl.Counts.Done.Add(1)
	ru.log("request_done", reason, ru.sink.Status())
	return true
}

// finish tells the caller the end of a request, with err if it has failed.
func (ru *run) finish(err error) {
	if err != nil && !fault.Is(err, KindGone) && ru.deliverFailure() {
		return
	}
	state := ru.ma.GiveUp()
	switch {
	case err == nil:
		ru.rl.Counts.Done.Add(1)
		ru.log("request_done", "", ru.sink.Status())
	case fault.Is(err, KindGone):
		ru.rl.Counts.Gone.Add(1)
		ru.log("caller_gone", err.Error(), 0)
	case state == answer.NotRun:
		ru.rl.refuse(ru.rq, ru.sink, fasthttp.StatusServiceUnavailable, err.Error(), comeBack)
	case fault.Is(err, KindTimeout):
		ru.unknown(fasthttp.StatusGatewayTimeout, err.Error())
	default:
		ru.unknown(fasthttp.StatusBadGateway, err.Error())
	}
}

// again tells whether a failed request is sent once more.
func (ru *run) again(ctx context.Context, err error, runs int) bool {
	if ctx.Err() != nil || time.Until(ru.rq.Until) < leastLeft || fault.Is(err, KindGone) || fault.Is(err, KindTimeout) {
		return false
	}
	if !ru.ma.CanDispatch() || runs >= ru.rq.Route.Attempts || (ru.sink.Started() && ru.rq.Route.Repeat != routes.Resumable) {
		return false
	}
	if !ru.rl.spend(ru.rq.Service) {
		return false
	}
	ru.rl.Counts.Retries.Add(1)
	if ru.sink.Started() {
		ru.rl.Counts.Resumes.Add(1)
	}
	ru.rl.Log.Info("request_repeated", zap.String("request", string(ru.rq.ID)), zap.Int("send", ru.sends+1),
		zap.String("server", string(ru.last.Server.ID)), zap.String("last_event", ru.lastEvent), zap.String("reason", err.Error()))
	return true
}

// settle notes the end of an attempt with the machine of the request and with the server.
func (ru *run) settle(att units.AttemptID, pi *picked, err error) {
	res, evidence := place.Incomplete, answer.MayHaveRun
	switch {
	case err == nil:
		res = ru.result
	case fault.Is(err, KindRefused):
		res, evidence = place.Refused, answer.Refused
	case fault.Is(err, KindNotSent):
		evidence = answer.NotSent
	case fault.Is(err, KindErrored):
		res = place.Errored
	case fault.Is(err, KindGone), fault.Is(err, KindTimeout):
		res = place.Canceled
	}
	ru.rl.ended(ru.rq.Service, pi, res)
	if err == nil {
		ru.ma.Finish(att, 0)
		return
	}
	ru.ma.Fail(att, evidence)
}

// attempt makes one attempt. It returns nil once the caller has the whole answer.
func (ru *run) attempt(ctx context.Context, pi *picked) error {
	const op = "relay.attempt"
	outer := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if ru.mayRepeat() {
		patience := max(patienceLeast, pi.FirstToken*patienceFactor)
		ru.patience = time.AfterFunc(patience, func() { cancel(fault.New(op, KindSilent, "no answer within %s", patience)) })
		defer ru.patience.Stop()
	}
	ru.rl.Counts.Sent.Add(1)
	sentAt := time.Now()
	rp, err := ru.ex.Send(ctx, &Attempt{Server: pi.Server, Until: ru.rq.Until, Rank: ru.rq.Rank, LastEvent: ru.lastEvent})
	if err != nil {
		return ru.why(outer, ctx, err)
	}
	defer rp.Close()
	if rp.Refused || rp.Misdirected {
		ru.rl.Counts.Refused.Add(1)
		return fault.New(op, KindRefused, "server %s refused with status %d", pi.Server.ID, rp.Status)
	}
	if !rp.Proper {
		return fault.New(op, KindBroken, "server %s gave an answer that is not its own, status %d", pi.Server.ID, rp.Status)
	}
	if ru.rq.Route.Stream && rp.Status == fasthttp.StatusOK {
		err = ru.stream(pi, rp)
	} else {
		err = ru.whole(pi, rp, sentAt)
	}
	return ru.why(outer, ctx, err)
}

// why tells the cause of a failed attempt from the contexts that may have ended it.
func (ru *run) why(outer, ctx context.Context, err error) error {
	const op = "relay.why"
	if err == nil || fault.Is(err, KindErrored) {
		return err
	}
	if fault.Is(err, KindNotSent) && outer.Err() == nil {
		return err
	}
	switch {
	case errors.Is(outer.Err(), context.DeadlineExceeded):
		return fault.Wrap(op, KindTimeout, err)
	case outer.Err() != nil:
		return fault.Wrap(op, KindGone, err)
	case ctx.Err() != nil:
		return fault.Wrap(op, KindSilent, context.Cause(ctx))
	}
	return err
}
