package relay

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lycheepick/internal/edge/memory"
	"lycheepick/internal/edge/pause"
	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/crash"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/rest"
	"lycheepick/internal/state/answer"
	"lycheepick/internal/state/routes"
)

const (
	// maxSends bounds the dispatches of a request that servers reject without executing it.
	maxSends = 4
	// minRetryTime is the time left until the deadline below which a request is not
	// retried.
	minRetryTime = 30 * time.Millisecond
	// A retryable request waits firstByteTimeoutFactor times the predicted latency for the
	// first byte, at least minFirstByteTimeout, before it is sent to another server, if there is one.
	firstByteTimeoutFactor = 3
	minFirstByteTimeout    = 600 * time.Millisecond
	// noServerRetryAfter is the retry-after time sent if no server is usable.
	noServerRetryAfter = 500 * time.Millisecond
	// drainRetryAfter is the retry-after time sent by a draining node; the retry should
	// reach another node.
	drainRetryAfter = 10 * time.Millisecond
)

// run is the state of one request in progress.
type run struct {
	rl      *Relay
	rq      *Request
	ex      Exchange
	sink    Sink
	machine *answer.Machine
	ask     place.Request
	// sends counts dispatches, events the stream events forwarded, and asks the requests for
	// permits since the last dispatch.
	sends, events, asks int
	// lastEvent is the ID of the last event forwarded.
	lastEvent string
	progress
	// last is the most recently selected server, and unsent the time from its selection until
	// the request was handed to the kernel, 0 if there was no answer.
	last   picked
	unsent time.Duration
	// firstByte cancels a retryable attempt whose response has not started, nil for others.
	firstByte *firstByteTimer
	// result is recorded with the server's health if the attempt got a response.
	result place.Result
	// failure is the error response of a server. It is sent to the caller if no retry
	// succeeds.
	failure *failure
	// beganAt is when the response of the current attempt began, zero before.
	beganAt time.Time
	// parts are the parts of the prompt that other requests may have too, and keys what crashes are
	// counted under. trial is set if the request tries one that is blocked.
	parts []place.BlockID
	keys  []crash.Key
	trial bool
	// forwarded is set if another node forwarded the request, and counted if the request is in
	// that node's demand. noOpen is set once no open connection was left on a path that is cut.
	forwarded, counted, noOpen bool
	// waited is the time for which the request has waited for trials.
	waited time.Duration
	// passed is set once a body is passed on that is not collected.
	passed  bool
	rolling rollRoute // Its part in a rollout.
	// refusal is what another node refused the request with.
	refusal *Refusal
	stand
}

type failure struct {
	head *fasthttp.ResponseHeader
	body *memory.Buffer
}

// Serve handles a request and writes its response to sink. ctx must end when the caller
// disconnects.
func (rl *Relay) Serve(ctx context.Context, rq *Request, ex Exchange, sink Sink) {
	rl.Counts.Received.Add(1)
	if !rl.enter(rq, sink) {
		return
	}
	defer rl.requests.Leave()
	ru := rl.newRun(rq, ex, sink)
	defer ru.dropFailure()
	defer ru.endRollout()
	if ru.refuseBlocked() {
		return
	}
	if ok, after := rl.admit(time.Now(), rq); !ok {
		rl.Counts.Limited.Add(1)
		rl.logLimit(rq)
		rl.refuse(rq, sink, fasthttp.StatusTooManyRequests, "the customer's limit is reached", after)
		return
	}
	rl.recordFirstAttempt(rq.Service)
	ctx, cancel := rl.untilStop(ctx, rq.Deadline)
	defer cancel()
	ru.machine.Accept()
	if rq.LastEvent == "" || ru.locate(ctx) {
		ru.loop(ctx)
	} else {
		rl.Counts.NoOrigin.Add(1)
		ru.abort("the version that began the stream is not known", noServerRetryAfter)
	}
	if ru.machine.State() == answer.NotRun {
		rl.refund(rq)
	}
}

// untilStop returns a context that ends at a deadline, or when the node stops: then with the cause
// errStopping.
func (rl *Relay) untilStop(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(rl.stopping, func() { cancel(errStopping) })
	ctx, release := context.WithDeadline(ctx, deadline)
	return ctx, func() {
		stop()
		release()
		cancel(nil)
	}
}

// errStopping is the cause of contexts that end since the node stops.
var errStopping = fault.New("relay.Stop", KindStopping, "this node stops; the request may have run")

func isStopping(ctx context.Context) bool {
	return ctx.Err() != nil && errors.Is(context.Cause(ctx), errStopping)
}

func (rl *Relay) newRun(rq *Request, ex Exchange, sink Sink) *run {
	ru := &run{
		rl: rl, rq: rq, ex: ex, sink: sink, lastEvent: rq.LastEvent, parts: sharedParts(rq.PrefixBlocks),
		machine: answer.New(rq.Route.RetryPolicy != routes.AtMostOnce, maxSends),
		ask:     place.Request{Blocks: rq.PrefixBlocks, Prompt: rq.PromptTokens, Zone: rl.Zone, Key: rl.spreadKey(rq), EventGap: eventGap(rq)},
	}
	ru.keys, ru.rolling = crash.Keys(rq.Content, ru.parts), newRollRoute(rq)
	return ru
}

// spreadKey returns what decides between servers that are as good as each other: requests without a prompt, which find
// nothing in a server's cache, are spread over them, others keep to this node's order.
func (rl *Relay) spreadKey(rq *Request) uint64 {
	if rl.SpreadKey == 0 || len(rq.PrefixBlocks) > 0 {
		return rl.SpreadKey
	}
	return xxhash.Sum64String(string(rq.ID))
}

// logLimit logs the state of the customer's limit that a request was rejected by.
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
		sent, err := ru.send(ctx, runs)
		if !sent {
			return
		}
		if err == nil {
			ru.finish(nil)
			return
		}
		if !fault.Is(err, KindRefused) && !isNotSent(err) {
			runs++
		}
		if !ru.shouldRetry(ctx, err, runs) {
			ru.finish(err)
			return
		}
	}
}

// send sends the request once, to a server or through another node. It returns false if the
// request has ended without. runs counts the attempts that may have been executed.
func (ru *run) send(ctx context.Context, runs int) (sent bool, err error) {
	if ru.sends > 0 {
		ru.awaitPath(ctx)
	}
	withheld := ru.withheld()
	if ru.takesDetour() {
		if ru.belongsElsewhere() {
			ru.leave()
			return false, nil
		}
		att, _ := ru.machine.Dispatch()
		ru.sends++
		err := ru.forward(ctx, runs, withheld)
		ru.settleForward(att, err)
		return true, err
	}
	pi, ok := ru.pick(ctx)
	if !ok {
		return false, nil
	}
	att, _ := ru.machine.Dispatch()
	ru.sends++
	err = ru.attempt(ctx, &pi, withheld)
	if err != nil {
		ru.rl.pathFailed(ru.rq.Service, &pi, err)
	}
	ru.settle(att, &pi, err)
	if isLost(err) {
		ru.recordLost(&pi)
	}
	if fault.Is(err, KindCut) {
		ru.noOpen = true
	} else {
		ru.ask.Avoid = append(ru.ask.Avoid, pi.Server.ID)
	}
	return true, err
}

// pick selects a server. If none is usable, or none is predicted to respond in time, it
// ends the request and returns false. Retries are dispatched regardless of the prediction.
func (ru *run) pick(ctx context.Context) (picked, bool) {
	ru.asks = 0
	pi, found, sent, after := ru.tryPick()
	for !sent && !ru.belongsElsewhere() && (ru.acquire(ctx, &pi.Choice, found) || !found && ru.awaitTrial(ctx) || found && ru.awaitRoom(ctx)) {
		pi, found, sent, after = ru.tryPick()
	}
	ru.settleStand(sent)
	rq := ru.rq
	if !ru.counted {
		ru.counted = true
		fresh := pi.Uncached
		if !found {
			fresh = rq.PromptTokens
		}
		ru.rl.noteOffered(rq.Service, fresh)
	}
	switch {
	case sent:
		ru.last = pi
		return pi, true
	case ru.belongsElsewhere():
		ru.leave()
	case found:
		ru.rl.Counts.Overload.Add(1)
		ru.rl.Meter.RecordLate(rq.Service)
		ru.last = pi
		ru.abort("no server can answer in time", after)
	default:
		ru.abortNoServer()
	}
	return pi, false
}

// awaitTrial waits while a server that no request may follow yet is being tried. It returns false if
// there is none, or if the request has waited for rest.TrialTime.
func (ru *run) awaitTrial(ctx context.Context) bool {
	const step = 5 * time.Millisecond
	waits := ru.rl.isTrying(ru.rq.Service)
	for waits && ru.rl.isTrying(ru.rq.Service) {
		if ru.waited >= rest.TrialTime || !pause.For(ctx, step) {
			return false
		}
		ru.waited += step
	}
	return waits
}

// tryPick selects a server, unless permits should be asked for first. If it refuses the request,
// after is the time to retry after.
func (ru *run) tryPick() (pi picked, found, sent bool, after time.Duration) {
	now := time.Now()
	rq := ru.rq
	ru.rl.setLeave(now, rq, &ru.ask)
	ru.Judgement = admit.Judgement{}
	pi, found, sent = ru.rl.choose(now, rq.Service, &ru.ask, &ru.rolling, func(ch *place.Choice) bool {
		if ch.Held != nil && ru.asks == 0 || ru.belongsElsewhere() {
			return false
		}
		if ru.sends > 0 {
			return true
		}
		if co := ru.rl.contention.services[rq.Service]; co != nil {
			accepted := ru.judge(now, co, ch)
			after = ru.After
			return accepted
		}
		var refuse bool
		refuse, after = admit.ShouldRefuse(admit.Prediction{
			FirstToken: ch.FirstToken, Waited: now.Sub(rq.Arrived), Remaining: rq.Deadline.Sub(now),
			Target: rq.Route.TargetLatency, SpareCapacity: ch.SpareCapacity,
		})
		return !refuse
	})
	if sent && ru.rl.spills.Load() && pi.Server.Zone != ru.rl.Zone {
		ru.rl.Counts.LeftZone.Add(1)
	}
	return pi, found, sent, after
}

// abortNoServer ends a request for which no server is usable, or whose servers all name limits.
func (ru *run) abortNoServer() {
	now := time.Now()
	if after := ru.rl.restRetryAfter(now, ru.rq.Service); after > 0 {
		ru.rl.Counts.AllResting.Add(1)
		ru.rl.Meter.RecordLate(ru.rq.Service)
		ru.abort("all servers have asked for a rest", after)
		return
	}
	if after := ru.rl.permitRetryAfter(now, ru.rq.Service); after > 0 {
		ru.rl.Counts.NoPermit.Add(1)
		ru.abort("the limits of all servers are reached", after)
		return
	}
	ru.rl.Counts.NoServer.Add(1)
	ru.abort("no server is usable", noServerRetryAfter)
}

// abort ends a request that can't be dispatched.
func (ru *run) abort(reason string, after time.Duration) {
	if ru.deliverFailure() {
		return
	}
	if ru.machine.Abort() == answer.NotRun {
		ru.rl.refuse(ru.rq, ru.sink, fasthttp.StatusServiceUnavailable, reason, after)
		if ru.last.Server.ID != "" {
			ru.log("refused_after", reason, fasthttp.StatusServiceUnavailable)
		}
		return
	}
	ru.failUnknown(fasthttp.StatusBadGateway, reason)
}

func (ru *run) failUnknown(status int, reason string) {
	ru.rl.Counts.Unknown.Add(1)
	ru.log("request_failed", reason, status)
	ru.sink.Refuse(status, reason, 0)
}

// log writes the log line of a request's outcome, including the prediction and the age of
// the server list at its last dispatch.
func (ru *run) log(event, reason string, status int) {
	rq, pi := ru.rq, &ru.last
	ru.rl.Log.Info(event, zap.String("request", string(rq.ID)), zap.String("route", rq.Route.Name),
		zap.Uint64("config", uint64(rq.Config)), zap.String("reason", reason), zap.Int("status", status),
		zap.Int("sends", ru.sends), zap.Int("events", ru.events), zap.Duration("took", time.Since(rq.Arrived)),
		zap.String("server", string(pi.Server.ID)), zap.String("version", string(pi.Server.Version)),
		zap.String("resumes", string(rq.Resumes)), zap.Duration("predicted", pi.FirstToken),
		zap.Int64("fresh_tokens", int64(pi.Uncached)), zap.Duration("list_age", pi.listAge),
		zap.Duration("servers_age", pi.serversAge), zap.Duration("unsent", ru.unsent))
}

// deliverFailure sends the caller the server's error response of an earlier attempt, if
// there is one and no response has been started.
func (ru *run) deliverFailure() bool {
	if ru.failure == nil || ru.sink.Started() {
		return false
	}
	reason := ""
	if err := ru.sink.Respond(ru.failure.head, ru.failure.body.Bytes()); err != nil {
		reason = err.Error()
	}
	ru.machine.Abort()
	ru.rl.Counts.Done.Add(1)
	ru.log("request_done", reason, ru.sink.Status())
	return true
}

// finish ends the request: it counts and logs the outcome and sends an error response if
// err is set.
func (ru *run) finish(err error) {
	if err != nil && !fault.Is(err, KindCallerGone) && ru.deliverFailure() {
		return
	}
	state := ru.machine.Abort()
	if state != answer.NotRun {
		ru.logCut(err)
	}
	if err == nil || fault.Is(err, KindDeadline) {
		ru.rl.recordDuration(ru.rq)
	}
	switch {
	case err == nil:
		ru.rl.Counts.Done.Add(1)
		ru.log("request_done", "", ru.sink.Status())
	case fault.Is(err, KindCallerGone):
		ru.rl.Counts.Gone.Add(1)
		ru.log("caller_gone", err.Error(), 0)
	case state == answer.NotRun && ru.rl.outlastsNode(ru.rq):
		ru.rl.refuseLeaving(ru.rq, ru.sink)
	case state == answer.NotRun && fault.Is(err, KindBlocked):
		bl, _ := ru.rl.blocked(ru.keys)
		ru.rl.Counts.Blocked.Add(1)
		ru.rl.refuse(ru.rq, ru.sink, blockedStatus, blockedReason(bl.Key), max(noServerRetryAfter, bl.RetryAfter))
	case state == answer.NotRun && ru.refusal != nil:
		ru.rl.refuse(ru.rq, ru.sink, fasthttp.StatusServiceUnavailable, ru.refusal.Reason, max(noServerRetryAfter, ru.refusal.RetryAfter))
	case state == answer.NotRun:
		after := max(noServerRetryAfter, ru.rl.restRetryAfter(time.Now(), ru.rq.Service))
		ru.rl.refuse(ru.rq, ru.sink, fasthttp.StatusServiceUnavailable, err.Error(), after)
	case fault.Is(err, KindDeadline):
		ru.failUnknown(fasthttp.StatusGatewayTimeout, err.Error())
	default:
		ru.failUnknown(fasthttp.StatusBadGateway, err.Error())
	}
}

// shouldRetry reports whether to send a failed request again, and takes the retry from
// the budget. runs counts the attempts that may have been executed.
func (ru *run) shouldRetry(ctx context.Context, err error, runs int) bool {
	if ctx.Err() != nil || time.Until(ru.rq.Deadline) < minRetryTime || fault.Is(err, KindCallerGone) || fault.Is(err, KindDeadline) {
		return false
	}
	if ru.belongsElsewhere() {
		return false
	}
	if ru.passed || ru.trial || ru.isBlocked() || ru.refusal != nil || fault.Is(err, KindNoDetour) {
		return false
	}
	if !ru.machine.CanDispatch() || runs >= ru.rq.Route.MaxAttempts || (ru.sink.Started() && ru.rq.Route.RetryPolicy != routes.Resumable) {
		return false
	}
	if !ru.firstByte.hasPaid() && !ru.isFree(err) && !ru.takeRetry(ctx, err) {
		return false
	}
	ru.rl.Counts.Retries.Add(1)
	if ru.sink.Started() {
		ru.rl.Counts.Resumes.Add(1)
	}
	ru.rl.Log.Info("request_repeated", zap.String("request", string(ru.rq.ID)), zap.Int("send", ru.sends+1),
		zap.String("server", string(ru.last.Server.ID)), zap.String("version", string(ru.last.Server.Version)),
		zap.String("last_event", ru.lastEvent), zap.String("reason", err.Error()))
	return true
}

// isFree reports whether a retry after an error is none of those that the budget bounds: nothing
// has arrived at the server, and the next one is not in the same trouble.
func (ru *run) isFree(err error) bool {
	if fault.Is(err, KindNotSent) {
		return ru.awaitsPath() && ru.rl.doubtsPath(ru.rq.Service)
	}
	return isNotSent(err)
}
