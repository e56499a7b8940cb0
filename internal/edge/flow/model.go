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

// Job is one request to a model.
type Job struct {
	ID       units.RequestID
	Row      *table.Row
	Path     string
	Body     []byte
	Deadline time.Time
	Prefix   []units.PrefixKey
	// PromptTokens and OutputTokens are estimates.
	PromptTokens units.Tokens
	OutputTokens units.Tokens
	// Tokens are those that a peer has delivered before this node took over.
	Tokens []string
	// Key is the caller's idempotency key, if any.
	Key string
}

// Sink takes the tokens of an answer in order.
type Sink interface {
	// Token passes a token on. An error means that the caller has gone.
	Token(index int, text string) error
	// Idle is called now and then while no token comes.
	Idle() error
}

// Outcome is the end of a request to a model.
type Outcome struct {
	// Tokens are all tokens of the answer.
	Tokens []string
	Finish string
	Prompt units.Tokens
	// Failure is nil if the answer is whole.
	Failure *Failure
}

const (
	idleEvery = 500 * time.Millisecond
	// acceptedWait is how long an accepted request to a model looks for a replica.
	acceptedWait = 10 * time.Second
	// stallFirst and stallNext are multiples of the row's targets after which a
	// silent replica is given up; stallLeast bounds them from below.
	stallFirst = 4
	stallNext  = 100
	stallLeast = 2 * time.Second
)

// run is one request to a model in progress.
type run struct {
	fl     *Flow
	job    *Job
	ma     *answer.Machine
	sink   Sink
	out    Outcome
	ask    route.Request
	orders chan order
	// next is the destination of a planned move.
	next *order
	// at is the number of tokens delivered, for readers on other goroutines.
	at atomic.Int64
}

// order tells a run to go on elsewhere, or to stop here.
type order struct {
	from     units.VMID
	to       units.VMID
	kvHandle string
	handOver bool
}

// Model runs an admitted request to a model to its outcome.
func (fl *Flow) Model(ctx context.Context, job *Job, sink Sink) Outcome {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	ru := &run{
		fl: fl, job: job, sink: sink, ma: answer.New(job.Row.Idempotent, job.Row.Attempts),
		orders: make(chan order, 1),
		ask: route.Request{
			Prefix: job.Prefix, PromptTokens: job.PromptTokens, OutputTokens: job.OutputTokens,
			FirstToken: job.Row.FirstToken.Std(), BetweenTokens: job.Row.BetweenTokens.Std(),
		},
	}
	ru.ma.Accept()
	if len(job.Tokens) > 0 {
		ru.ma.Resume(len(job.Tokens))
		ru.out.Tokens = append(ru.out.Tokens, job.Tokens...)
	}
	fl.budget(job.Row.Key()).first()
	ru.loop(ctx)
	return ru.out
}

func (ru *run) loop(ctx context.Context) {
	for {
		err := ru.attempt(ctx)
		if err == nil {
			ru.fl.count(answer.Done)
			return
		}
		if !ru.again(ctx, err) {
			ru.fail(err)
			return
		}
	}
}

// again tells whether another attempt is to be made after err.
func (ru *run) again(ctx context.Context, err error) bool {
	if ru.next != nil {
		return true // A planned move costs no retry.
	}
	if !ru.ma.CanDispatch() || ctx.Err() != nil {
		return false
	}
	if fault.Is(err, KindBroken) && !ru.isReclaimed() {
		if !ru.fl.budget(ru.job.Row.Key()).spend() {
			return false
		}
		ru.fl.Counts.Retries.Add(1)
		return backOff(ctx, ru.ma.Attempt())
	}
	return fault.Is(err, KindBroken)
}

// isReclaimed tells whether the latest server is known to leave; going on elsewhere is
// then no retry but what the system promised.
func (ru *run) isReclaimed() bool {
	if len(ru.ask.Avoid) == 0 {
		return false
	}
	re := ru.fl.Fleet.Snapshot().Replica(ru.ask.Avoid[len(ru.ask.Avoid)-1])
	return re == nil || !re.Usable
}

func (ru *run) fail(err error) {
	st := ru.ma.GiveUp()
	ru.fl.count(st)
	ru.out.Failure = &Failure{Outcome: st, After: retryAfter, Err: err}
	if fault.Is(err, KindInvalid) || fault.Is(err, KindCanceled) {
		ru.out.Failure.After = 0
	}
}

// pick returns the replica of the next attempt: the destination of a planned move if
// it is still usable, or the policy's choice.
func (ru *run) pick(ctx context.Context) (picked, bool) {
	if or := ru.next; or != nil {
		ru.next = nil
		if re := ru.fl.Fleet.Snapshot().Replica(or.to); re != nil && re.Usable {
			return picked{replica: re, ticket: re.Dispatches.Dispatched(time.Now(), 0), kvHandle: or.kvHandle}, true
		}
	}
	return ru.fl.choose(ctx, ru.job.Row.Target, &ru.ask, acceptedWait)
}

// attempt makes one attempt. It returns nil once the answer is whole.
func (ru *run) attempt(ctx context.Context) error {
	const op = "flow.attempt"
	pi, ok := ru.pick(ctx)
	if !ok && ctx.Err() != nil {
		return fault.Wrap(op, KindDeadline, ctx.Err())
	}
	if !ok {
		return fault.New(op, KindNoServer, "no backend server of %s is usable", ru.job.Row.Target)
	}
	defer pi.ended()
	att, ok := ru.ma.Dispatch()
	if !ok {
		return fault.New(op, KindBroken, "no attempt is left")
	}
	re := pi.replica
	leave := ru.fl.running.enter(re, ru)
	defer leave()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := make(chan event)
	var wg conc.WaitGroup
	wg.Go(func() { ru.read(ctx, re, att, pi.kvHandle, events) })
	err := ru.consume(ctx, re, att, events)
	if err != nil {
		cancel()
	}
	// After a whole answer the reader makes the connection ready for the next request,
	// which the end of the context would prevent.
	wg.Wait()
	ru.settle(re, att, err)
	return err
}

// settle notes the end of an attempt with the replica's health and cache.
func (ru *run) settle(re *route.Server, att units.AttemptID, err error) {
	if err == nil {
		re.Cache.Add(ru.job.Prefix)
		ru.fl.Fleet.Succeeded(re.VM)
		return
	}
	ru.ask.Avoid = append(ru.ask.Avoid, re.VM)
	if fault.Is(err, KindCanceled) || fault.Is(err, KindDeadline) {
		// The connection is closed with the context; the order makes sure of it.
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = ru.fl.Engine.Cancel(ctx, re.Address, ru.job.ID, att)
	}
}

const cancelTimeout = 500 * time.Millisecond

// event is one thing that the reader of an attempt got.
type event struct {
	tok engine.Token
	err error
}

// read passes the events of one attempt on until it ends.
func (ru *run) read(ctx context.Context, re *route.Server, att units.AttemptID, kvHandle string, events chan<- event) {
	send := func(ev event) bool {
		select {
		case events <- ev:
			return true
		case <-ctx.Done():
			return false
		}
	}
	sm, err := ru.fl.Engine.Start(ctx, re.Address, &engine.Prompt{
		Request: ru.job.ID, Attempt: att, Path: ru.job.Path, Body: ru.job.Body, Priority: ru.job.Row.Weight,
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

// consume passes the tokens of one attempt on to the caller.
func (ru *run) consume(ctx context.Context, re *route.Server, att units.AttemptID, events <-chan event) error {
	const op = "flow.consume"
	idle := time.NewTicker(idleEvery)
	defer idle.Stop()
	row := ru.job.Row
	stall := time.NewTimer(max(stallLeast, stallFirst*row.FirstToken.Std()))
	defer stall.Stop()
	for {
		select {
		case ev := <-events:
			done, err := ru.handle(re, att, ev)
			if done || err != nil {
				return err
			}
			stall.Reset(max(stallLeast, stallNext*row.BetweenTokens.Std()))
		case or := <-ru.orders:
			if or.handOver || or.from == re.VM { // An order for an earlier server is stale.
				return ru.follow(att, or)
			}
		case <-idle.C:
			if err := ru.sink.Idle(); err != nil {
				ru.ma.Fail(att, answer.MayHaveRun)
				return fault.Wrap(op, KindCanceled, err)
			}
		case <-stall.C:
			ru.ma.Fail(att, answer.MayHaveRun)
			ru.fl.Fleet.Failed(re.VM, time.Now())
			return fault.New(op, KindBroken, "%s went silent", re.VM)
		case <-ctx.Done():
			ru.ma.Fail(att, answer.MayHaveRun)
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
	if ev.tok.Finish != "" {
		if ru.ma.Finish(att, ev.tok.Index) != answer.Deliver {
			ru.ma.Fail(att, answer.MayHaveRun)
			return false, fault.New(op, KindBroken, "%s ended after %d of %d tokens", re.VM, ru.ma.Next(), ev.tok.Index)
		}
		ru.finish(ev.tok)
		return true, nil
	}
	switch ru.ma.Token(att, ev.tok.Index) {
	case answer.Drop:
		return false, nil
	case answer.Gap:
		ru.ma.Fail(att, answer.MayHaveRun)
		return false, fault.New(op, KindBroken, "%s left out tokens before %d", re.VM, ev.tok.Index)
	case answer.Deliver:
	}
	ru.out.Tokens = append(ru.out.Tokens, ev.tok.Text)
	ru.at.Store(int64(ru.ma.Next()))
	ru.fl.Counts.Generated.Add(1)
	if err := ru.sink.Token(ev.tok.Index, ev.tok.Text); err != nil {
		ru.ma.Fail(att, answer.MayHaveRun)
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

// attemptFailed notes what is known of an attempt that failed.
func (ru *run) attemptFailed(re *route.Server, att units.AttemptID, err error) error {
	const op = "flow.attemptFailed"
	switch {
	case fault.Is(err, engine.KindInvalid):
		ru.ma.Fail(att, answer.Refused)
		return fault.Wrap(op, KindInvalid, err)
	case fault.Is(err, engine.KindDraining):
		ru.ma.Fail(att, answer.Refused)
		ru.fl.Draining(re.VM)
		return fault.Wrap(op, KindBroken, err)
	case fault.Is(err, engine.KindRefused):
		ru.ma.Fail(att, answer.Refused)
		return fault.Wrap(op, KindBroken, err)
	case fault.Is(err, engine.KindNotSent):
		ru.ma.Fail(att, answer.NotSent)
	default:
		ru.ma.Fail(att, answer.MayHaveRun)
	}
	ru.fl.Fleet.Failed(re.VM, time.Now())
	return fault.Wrap(op, KindBroken, err)
}

// follow ends an attempt on an order of the reclaim.
func (ru *run) follow(att units.AttemptID, or order) error {
	const op = "flow.follow"
	ru.ma.Supersede(att)
	if or.handOver {
		return fault.New(op, KindHandedOver, "this node is leaving")
	}
	ru.next = &or
	if or.kvHandle != "" {
		ru.fl.Counts.Moves.Add(1)
	} else {
		ru.fl.Counts.Resumes.Add(1)
	}
	return fault.New(op, KindBroken, "the VM is reclaimed")
}
