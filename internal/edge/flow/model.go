package flow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"lycheepick/internal/edge/engine"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/answer"
	"lycheepick/internal/state/table"
)

// ModelRequest is one request to a model, as parsed by package serve.
type ModelRequest struct {
	ID       units.RequestID
	Row      *table.Row
	Path     string
	Body     []byte
	Deadline time.Time
	Prefix   []units.PrefixKey
	// PromptTokens and OutputTokens are estimates.
	PromptTokens units.Tokens
	OutputTokens units.Tokens
	// Tokens are those already delivered by a peer before this node took over.
	Tokens []string
	// Key is the caller's idempotency key, if any.
	Key string
}

// Sink receives the tokens of a response in order.
type Sink interface {
	// Token delivers a token. An error means that the caller has disconnected.
	Token(index int, text string) error
	// KeepAlive is called every keepAliveInterval, so that the sink can detect a
	// disconnected caller while no tokens arrive.
	KeepAlive() error
}

// Outcome is the result of a request to a model.
type Outcome struct {
	// Tokens are all tokens of the response, including those delivered by a peer.
	Tokens []string
	// Finish is the finish reason.
	Finish string
	// Prompt is the engine's count of prompt tokens.
	Prompt units.Tokens
	// Failure is nil if the response is complete.
	Failure *Failure
}

const (
	keepAliveInterval = 500 * time.Millisecond
	// modelServerWait is how long an accepted request to a model waits for a usable server.
	modelServerWait = 10 * time.Second
	// An attempt times out if the server sends nothing for these multiples of the row's
	// latency targets, before the first and after each token, at least minStallTimeout.
	firstTokenStallFactor = 4
	nextTokenStallFactor  = 100
	minStallTimeout       = 2 * time.Second
)

// run is the state of one model request in progress.
type run struct {
	fl      *Flow
	request *ModelRequest
	machine *answer.Machine
	sink    Sink
	out     Outcome
	ask     route.Request
	orders  chan moveOrder
	// next is the order of a planned move, whose destination the next attempt uses.
	next *moveOrder
	// delivered is the number of tokens delivered, readable from other goroutines.
	delivered atomic.Int64
	// answered is set once the server of the current attempt has sent an event.
	answered bool
}

// moveOrder tells a run to continue on another server.
type moveOrder struct {
	from     units.VMID
	to       units.VMID
	kvHandle string
}

// Model serves an admitted request to a model, with retries and moves between servers.
func (fl *Flow) Model(ctx context.Context, rq *ModelRequest, sink Sink) Outcome {
	ctx, cancel := context.WithDeadline(ctx, rq.Deadline)
	defer cancel()
	ru := &run{
		fl: fl, request: rq, sink: sink, machine: answer.New(rq.Row.Idempotent, rq.Row.Attempts),
		orders: make(chan moveOrder, 1),
		ask: route.Request{
			Prefix: rq.Prefix, PromptTokens: rq.PromptTokens, OutputTokens: rq.OutputTokens,
			FirstToken: rq.Row.FirstToken.Std(), BetweenTokens: rq.Row.BetweenTokens.Std(),
		},
	}
	ru.machine.Accept()
	if len(rq.Tokens) > 0 {
		ru.machine.Resume(len(rq.Tokens))
		ru.out.Tokens = append(ru.out.Tokens, rq.Tokens...)
	}
	fl.budget(rq.Row.Key()).recordFirst()
	ru.loop(ctx)
	return ru.out
}

func (ru *run) loop(ctx context.Context) {
	waits, cancel := ru.fl.untilHandOver(ctx)
	defer cancel()
	for {
		err := ru.attempt(ctx, waits)
		if err == nil {
			ru.fl.countOutcome(answer.Done)
			return
		}
		if !ru.shouldRetry(waits, err) {
			ru.fail(waits, err)
			return
		}
	}
}

// shouldRetry reports whether to make another attempt after err. It waits for the backoff.
func (ru *run) shouldRetry(ctx context.Context, err error) bool {
	if ru.next != nil {
		return true // A planned move does not count as a retry.
	}
	if !ru.machine.CanDispatch() || ctx.Err() != nil {
		return false
	}
	if fault.Is(err, KindBroken) && !ru.isReclaimed() {
		if !ru.fl.budget(ru.request.Row.Key()).spend() {
			return false
		}
		ru.fl.Counts.Retries.Add(1)
		return backOff(ctx, ru.machine.Attempt())
	}
	return fault.Is(err, KindBroken)
}

// isReclaimed reports whether the server of the last attempt is leaving or unusable.
// Continuing elsewhere is then part of the service and not charged to the retry budget.
func (ru *run) isReclaimed() bool {
	if len(ru.ask.Avoid) == 0 {
		return false
	}
	re := ru.fl.Fleet.Snapshot().Server(ru.ask.Avoid[len(ru.ask.Avoid)-1])
	return re == nil || !re.Usable
}

// fail ends the request without a complete response. waits is the context of untilHandOver.
func (ru *run) fail(waits context.Context, err error) {
	const op = "flow.fail"
	st := ru.machine.Abort()
	ru.fl.countOutcome(st)
	if isHandedOver(waits) && !fault.Is(err, KindInvalid) && !fault.Is(err, KindCanceled) {
		if st == answer.NotRun && len(ru.out.Tokens) == 0 {
			ru.out.Failure = notRun(op)
			return
		}
		err = context.Cause(waits)
	}
	ru.out.Failure = &Failure{Outcome: st, RetryAfter: ru.fl.failureRetryAfter(ru.request.Row.Target), Err: err}
	if fault.Is(err, KindInvalid) || fault.Is(err, KindCanceled) {
		ru.out.Failure.RetryAfter = 0
	}
}

// pick returns the server of the next attempt: the destination of a planned move if it is
// still usable, else the policy's choice.
func (ru *run) pick(ctx context.Context) (picked, bool) {
	if or := ru.next; or != nil {
		ru.next = nil
		if re := ru.fl.Fleet.Snapshot().Server(or.to); re != nil && re.Usable {
			now := time.Now()
			return picked{server: re, ticket: re.Dispatches.Dispatched(now, 0), sentAt: now, kvHandle: or.kvHandle}, true
		}
	}
	return ru.fl.choose(ctx, ru.request.Row.Target, &ru.ask, modelServerWait)
}

// attempt sends the request to one server and delivers the tokens. It returns nil once the
// response is complete. It waits for a server until waits ends.
func (ru *run) attempt(ctx, waits context.Context) error {
	const op = "flow.attempt"
	pi, ok := ru.pick(waits)
	if !ok && waits.Err() != nil {
		return fault.Wrap(op, KindDeadline, waits.Err())
	}
	if !ok {
		return fault.New(op, KindNoServer, "no backend server of %s is usable", ru.request.Row.Target)
	}
	defer pi.recordEnd()
	att, ok := ru.machine.Dispatch()
	if !ok {
		return fault.New(op, KindBroken, "no attempt is left")
	}
	re := pi.server
	leave := ru.fl.running.add(re, ru)
	defer leave()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan event)
	var wg conc.WaitGroup
	wg.Go(func() { ru.readStream(ctx, re, att, pi.kvHandle, events) })
	ru.answered = false
	err := ru.consume(ctx, re, att, events)
	ru.fl.recordAnswer(&pi, ru.answered, err)
	if err != nil {
		cancel()
	}
	// After a complete response the reader prepares the connection for reuse, which
	// cancelling the context first would prevent.
	wg.Wait()
	ru.settle(re, att, err)
	return err
}

// settle records the end of an attempt in the server's health and cache estimate.
func (ru *run) settle(re *route.Server, att units.AttemptID, err error) {
	if err == nil {
		re.Cache.Add(ru.request.Prefix)
		ru.fl.Fleet.RequestSucceeded(re.Instance)
		return
	}
	ru.ask.Avoid = append(ru.ask.Avoid, re.VM)
	if fault.Is(err, KindCanceled) || fault.Is(err, KindDeadline) {
		// The context has closed the connection; the explicit order makes sure that the
		// engine stops.
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = ru.fl.Engine.Cancel(ctx, re.Address, ru.request.ID, att)
	}
}

const cancelTimeout = 500 * time.Millisecond

// event is a token or the error that ends an attempt.
type event struct {
	tok engine.Token
	err error
}

// readStream starts an attempt and sends its events to a channel until it ends.
func (ru *run) readStream(ctx context.Context, re *route.Server, att units.AttemptID, kvHandle string, events chan<- event) {
	send := func(ev event) bool {
		select {
		case events <- ev:
			return true
		case <-ctx.Done():
			return false
		}
	}
	sm, err := ru.fl.Engine.Start(ctx, re.Address, &engine.Prompt{
		Request: ru.request.ID, Attempt: att, Path: ru.request.Path, Body: ru.request.Body, Priority: ru.request.Row.Weight,
		Extras: engine.Extras{ContinueTokens: ru.out.Tokens, KVHandle: kvHandle},
	})
	if err != nil {
		send(event{err: err})
		return
	}
	finished := false
	defer func() { sm.Close(finished) }()
	for {
		tok, err := sm.Next()
		finished = err == nil && tok.Finish != ""
		if !send(event{tok: tok, err: err}) || err != nil || finished {
			return
		}
	}
}

// consume delivers the tokens of one attempt to the sink, and handles orders, stalls and
// the end of the context.
func (ru *run) consume(ctx context.Context, re *route.Server, att units.AttemptID, events <-chan event) error {
	const op = "flow.consume"
	idle := time.NewTicker(keepAliveInterval)
	defer idle.Stop()
	row := ru.request.Row
	stall := time.NewTimer(max(minStallTimeout, firstTokenStallFactor*row.FirstToken.Std()))
	defer stall.Stop()
	for {
		select {
		case ev := <-events:
			done, err := ru.handle(re, att, ev)
			if done || err != nil {
				return err
			}
			stall.Reset(max(minStallTimeout, nextTokenStallFactor*row.BetweenTokens.Std()))
		case or := <-ru.orders:
			if or.from == re.VM { // Orders for an earlier server are stale.
				return ru.follow(att, or)
			}
		case <-ru.fl.departure.context().Done():
			ru.machine.Supersede(att)
			return fault.New(op, KindHandedOver, "this node is leaving")
		case <-idle.C:
			if err := ru.sink.KeepAlive(); err != nil {
				ru.machine.Fail(att, answer.MayHaveRun)
				return fault.Wrap(op, KindCanceled, err)
			}
		case <-stall.C:
			ru.machine.Fail(att, answer.MayHaveRun)
			ru.fl.Fleet.RequestFailed(re.Instance, time.Now())
			return fault.New(op, KindBroken, "%s went silent", re.VM)
		case <-ctx.Done():
			ru.machine.Fail(att, answer.MayHaveRun)
			if ctx.Err() == context.DeadlineExceeded {
				return fault.Wrap(op, KindDeadline, ctx.Err())
			}
			return fault.Wrap(op, KindCanceled, ctx.Err())
		}
	}
}

// handle processes one event of the current attempt.
func (ru *run) handle(re *route.Server, att units.AttemptID, ev event) (done bool, err error) {
	const op = "flow.handle"
	if ev.err != nil {
		return false, ru.attemptFailed(re, att, ev.err)
	}
	ru.answered = true
	if ev.tok.Finish != "" {
		if ru.machine.Finish(att, ev.tok.Index) != answer.Deliver {
			ru.machine.Fail(att, answer.MayHaveRun)
			return false, fault.New(op, KindBroken, "%s ended after %d of %d tokens", re.VM, ru.machine.NextToken(), ev.tok.Index)
		}
		ru.finish(ev.tok)
		return true, nil
	}
	switch ru.machine.Token(att, ev.tok.Index) {
	case answer.Drop:
		return false, nil
	case answer.Gap:
		ru.machine.Fail(att, answer.MayHaveRun)
		return false, fault.New(op, KindBroken, "%s left out tokens before %d", re.VM, ev.tok.Index)
	case answer.Deliver:
	}
	ru.out.Tokens = append(ru.out.Tokens, ev.tok.Text)
	ru.delivered.Store(int64(ru.machine.NextToken()))
	ru.fl.Counts.Generated.Add(1)
	if err := ru.sink.Token(ev.tok.Index, ev.tok.Text); err != nil {
		ru.machine.Fail(att, answer.MayHaveRun)
		return false, fault.Wrap(op, KindCanceled, err)
	}
	return false, nil
}

func (ru *run) finish(tok engine.Token) {
	ru.out.Finish = tok.Finish
	ru.out.Prompt = tok.PromptTokens
	ru.fl.Counts.Prompt.Add(int64(tok.PromptTokens))
	ru.fl.Counts.Recomputed.Add(int64(tok.Recomputed))
}

// attemptFailed records a failed attempt, with whether it may have been executed, and
// returns its error.
func (ru *run) attemptFailed(re *route.Server, att units.AttemptID, err error) error {
	const op = "flow.attemptFailed"
	switch {
	case fault.Is(err, engine.KindInvalid):
		ru.machine.Fail(att, answer.Refused)
		return fault.Wrap(op, KindInvalid, err)
	case fault.Is(err, engine.KindDraining):
		ru.machine.Fail(att, answer.Refused)
		ru.fl.OnDraining(re.Instance)
		return fault.Wrap(op, KindBroken, err)
	case fault.Is(err, engine.KindRefused):
		ru.machine.Fail(att, answer.Refused)
		return fault.Wrap(op, KindBroken, err)
	case fault.Is(err, engine.KindNotSent):
		ru.machine.Fail(att, answer.NotSent)
	default:
		ru.machine.Fail(att, answer.MayHaveRun)
	}
	ru.fl.Fleet.RequestFailed(re.Instance, time.Now())
	return fault.Wrap(op, KindBroken, err)
}

// follow ends an attempt as ordered by a reclaim.
func (ru *run) follow(att units.AttemptID, or moveOrder) error {
	const op = "flow.follow"
	ru.machine.Supersede(att)
	ru.next = &or
	if or.kvHandle != "" {
		ru.fl.Counts.Moves.Add(1)
	} else {
		ru.fl.Counts.Resumes.Add(1)
	}
	return fault.New(op, KindBroken, "the VM is reclaimed")
}
