package relay

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/units"
)

// firstByteCheckPeriod is the interval at which an attempt that has waited too long looks for another
// server.
const firstByteCheckPeriod = 100 * time.Millisecond

// firstByteTimer cancels an attempt whose response doesn't begin in time, once the request can go
// elsewhere. A nil timer never does.
type firstByteTimer struct {
	timeout time.Duration
	// canRetry reports whether the request can go elsewhere.
	canRetry func() bool
	cancel   context.CancelCauseFunc
	// ended is set by whichever comes first: the response, or the end of the wait for it. stopped is set if
	// it was the response.
	ended, stopped atomic.Bool
	timer          *time.Timer
}

func startFirstByteTimer(timeout time.Duration, canRetry func() bool, cancel context.CancelCauseFunc) *firstByteTimer {
	fb := &firstByteTimer{timeout: timeout, canRetry: canRetry, cancel: cancel}
	fb.timer = time.AfterFunc(math.MaxInt64, fb.check)
	fb.timer.Reset(timeout)
	return fb
}

func (fb *firstByteTimer) check() {
	switch {
	case fb.ended.Load():
	case fb.canRetry():
		fb.expire("no answer within %s", fb.timeout)
	default:
		fb.timer.Reset(firstByteCheckPeriod)
	}
}

// expire cancels the attempt, unless its response has begun.
func (fb *firstByteTimer) expire(format string, args ...any) {
	if fb.ended.CompareAndSwap(false, true) {
		fb.cancel(fault.New("relay.attempt", KindFirstByteTimeout, format, args...))
	}
}

// stop ends the wait. It returns false if the attempt has been cancelled.
func (fb *firstByteTimer) stop() bool {
	if fb == nil {
		return true
	}
	if fb.ended.CompareAndSwap(false, true) {
		fb.stopped.Store(true)
		fb.timer.Stop()
	}
	return fb.stopped.Load()
}

// canGoElsewhere returns a function that reports whether another server than the one of the current
// attempt would take the request as a retry, and the budget has one.
func (ru *run) canGoElsewhere(pi *picked) func() bool {
	rl, id, ask := ru.rl, ru.rq.Service, ru.ask
	ask.Avoid = append(slices.Clone(ask.Avoid), pi.Server.ID)
	return func() bool { return rl.takesRetry(id, &ask) }
}

// takesRetry reports whether a server would take a request as a retry, and the budget has one.
func (rl *Relay) takesRetry(id units.TargetID, ask *place.Request) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se, now := rl.service(id), time.Now()
	if !se.budget.CanSpend() {
		return false
	}
	ask.Try = false
	rl.setConditions(now, ask)
	_, found := se.fleet.Choose(now, ask)
	return found
}
