package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/rule/admit"
)

const (
	// killMargin is how long before the end of the grace period, when the platform kills the
	// process, a leaving node exits.
	killMargin = 500 * time.Millisecond
	// lastAnswers is the part of killMargin in which requests that are still in progress get their
	// answers, at least minLastAnswers if the node stops at once.
	lastAnswers    = 250 * time.Millisecond
	minLastAnswers = lastAnswers / 2
	// signalCheckPeriod is half of how much earlier than the node saw it the stop signal is taken to have come at
	// most, unless the process was stalled.
	signalCheckPeriod = 50 * time.Millisecond
	// balancerDelay is how long the balancer may still send new connections after the node
	// has reported that it is not ready, if the node doesn't see its checks.
	balancerDelay = 3 * time.Second
	// missedChecks is the number of readiness checks without a 200 after which the balancer sends no new
	// connections, and checkPeriod the least time between two that count.
	missedChecks = 2
	checkPeriod  = 900 * time.Millisecond
)

// watchSignal keeps runningAt until ctx ends. The process may see the signal late, as it is stalled or gets no
// processor, but the platform kills it a grace period after it was sent. A check counts once the next one has found
// no signal either, since the first one after a stall may come before the signal is seen.
func (no *Node) watchSignal(ctx context.Context) {
	for last := no.uptime(); pause.For(ctx, signalCheckPeriod); {
		no.runningAt.Store(int64(last))
		last = no.uptime()
	}
}

// leave reports the node as not ready, waits until the balancer has taken it out and then for the requests in
// progress. It takes only requests that end before the node does.
func (no *Node) leave(work context.Context) {
	no.leaving.Store(true)
	signalAt := no.start.Add(time.Duration(no.runningAt.Load()))
	de := admit.Departure{SignalAt: signalAt, StopsAt: signalAt.Add(no.settings.Timing.Grace() - killMargin)}
	no.relay.Drain(de)
	no.log.Info("node_leaving", zap.Duration("signal_age", time.Since(signalAt)), zap.Duration("left", time.Until(de.StopsAt)))
	ctx, cancel := context.WithDeadline(work, de.StopsAt)
	defer cancel()
	no.door.Drain(ctx)
	no.rotation.awaitOut(ctx)
	await(ctx, no.relay.CloseAtIdle())
	no.forwards.wait(ctx)
	last, cancel := context.WithTimeout(work, max(minLastAnswers, time.Until(de.StopsAt.Add(lastAnswers))))
	defer cancel()
	await(last, no.relay.Stop())
	no.forwards.wait(last)
	await(last, no.door.Close())
}

func await(ctx context.Context, done <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// rotation follows by its checks whether the balancer still sends new connections to a leaving node.
type rotation struct {
	mu        sync.Mutex
	missed    int
	countedAt time.Time
	// out is closed once it doesn't.
	out chan struct{}
}

func newRotation() *rotation { return &rotation{out: make(chan struct{})} }

// checked records a check that has been answered with another status than 200.
func (ro *rotation) checked(now time.Time) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ro.missed == missedChecks || ro.missed > 0 && now.Sub(ro.countedAt) < checkPeriod {
		return
	}
	ro.countedAt = now
	if ro.missed++; ro.missed == missedChecks {
		close(ro.out)
	}
}

// awaitOut returns once the balancer sends no new connections, after balancerDelay, or when ctx ends.
func (ro *rotation) awaitOut(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, balancerDelay)
	defer cancel()
	await(ctx, ro.out)
}
