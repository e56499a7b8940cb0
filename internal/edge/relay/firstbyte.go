package relay

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"lycheepick/internal/rule/fault"
)

// firstByteCheckPeriod is the interval at which an attempt that has waited too long looks for another
// server.
const firstByteCheckPeriod = 100 * time.Millisecond

// firstByteTimer cancels an attempt whose response doesn't begin in time, once the request can go
// elsewhere. A nil timer never does.
type firstByteTimer struct {
	timeout time.Duration
	// takeRetry takes a retry from the budget if the request can go elsewhere, and returnRetry gives it back.
	// They are nil if the attempt is cancelled in any case.
	takeRetry   func() bool
	returnRetry func()
	// paid is set if the retry that follows has been taken from the budget.
	paid   atomic.Bool
	cancel context.CancelCauseFunc
	// ended is set by whichever comes first: the response, or the end of the wait for it. stopped is set if
	// it was the response.
	ended, stopped atomic.Bool
	timer          *time.Timer
}

func (fb *firstByteTimer) start(timeout time.Duration, cancel context.CancelCauseFunc) *firstByteTimer {
	fb.timeout, fb.cancel = timeout, cancel
	fb.timer = time.AfterFunc(math.MaxInt64, fb.check)
	fb.timer.Reset(timeout)
	return fb
}

func (fb *firstByteTimer) check() {
	const reason = "no answer within %s"
	switch {
	case fb.ended.Load():
	case fb.takeRetry == nil:
		fb.expire(false, reason, fb.timeout)
	case !fb.takeRetry():
		fb.timer.Reset(firstByteCheckPeriod)
	case !fb.expire(true, reason, fb.timeout):
		fb.returnRetry()
	}
}

// expire cancels the attempt. It returns false if its response has begun. paid is set if the retry has been
// taken from the budget.
func (fb *firstByteTimer) expire(paid bool, format string, args ...any) bool {
	if !fb.ended.CompareAndSwap(false, true) {
		return false
	}
	fb.paid.Store(paid)
	fb.cancel(fault.New("relay.attempt", KindFirstByteTimeout, format, args...))
	return true
}

// hasPaid reports whether the retry after the attempt has been taken from the budget.
func (fb *firstByteTimer) hasPaid() bool { return fb != nil && fb.paid.Load() }

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

// newFirstByteTimer returns a timer for an attempt that is cancelled if another server would take the request
// as a retry, and the budget has one.
func (ru *run) newFirstByteTimer(pi *picked) *firstByteTimer {
	rl, id, ask, rolling := ru.rl, ru.rq.Service, ru.ask, ru.rolling.elsewhere()
	ask.Avoid = append(slices.Clone(ask.Avoid), pi.Server.ID)
	takeRetry := func() bool {
		_, taken := rl.takeRetry(id, &ask, &rolling)
		return taken
	}
	return &firstByteTimer{takeRetry: takeRetry, returnRetry: func() { rl.returnRetry(id) }}
}
