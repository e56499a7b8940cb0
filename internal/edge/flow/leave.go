package flow

import (
	"context"
	"sync"
	"time"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/state/answer"
)

// departure ends the requests in progress at a node that leaves. The zero value is that of a node that stays.
type departure struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// context returns a context that ends with HandOver.
func (de *departure) context() context.Context {
	de.mu.Lock()
	defer de.mu.Unlock()
	if de.ctx == nil {
		de.ctx, de.cancel = context.WithCancel(context.Background())
	}
	return de.ctx
}

// LeavingRetryAfter is when a request may come back that a leaving node does not run; the retry should reach
// another node.
const LeavingRetryAfter = 10 * time.Millisecond

// HandOver ends all requests in progress: those to models so that peers can continue them, the others with an
// answer that says whether they may have run.
func (fl *Flow) HandOver() {
	fl.departure.context()
	fl.departure.cancel()
}

// untilHandOver returns a context that ends with ctx, or with HandOver as its cause.
func (fl *Flow) untilHandOver(ctx context.Context) (context.Context, context.CancelFunc) {
	const op = "flow.untilHandOver"
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(fl.departure.context(), func() {
		cancel(fault.New(op, KindHandedOver, "this node is leaving"))
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// isHandedOver reports whether a context of untilHandOver ended with HandOver.
func isHandedOver(ctx context.Context) bool { return fault.Is(context.Cause(ctx), KindHandedOver) }

// notRun returns the failure of a request that has not run as the node leaves.
func notRun(op string) *Failure {
	return &Failure{
		Outcome: answer.NotRun, RetryAfter: LeavingRetryAfter,
		Err: fault.New(op, KindLeaving, "this node is leaving"),
	}
}
