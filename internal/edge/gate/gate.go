// Package gate queues requests for a free slot at their target. The order and the
// rejections are decided by package admit.
package gate

import (
	"context"
	"sync"
	"time"

	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Kind classifies why a request got no slot.
type Kind string

// The kinds of error of this package.
const (
	// KindOverload marks a request that can't be started in time.
	KindOverload Kind = "overload"
	// KindCanceled marks a request whose context was cancelled.
	KindCanceled Kind = "canceled"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Gates holds one queue for each target. It is safe for concurrent use.
type Gates struct {
	mu    sync.Mutex
	gates map[units.TargetID]*gate
}

type gate struct {
	mu      sync.Mutex
	queue   *admit.Queue
	waiting map[*admit.Item]chan bool
}

// New returns an empty Gates; the queue of a target is created on first use.
func New() *Gates { return &Gates{gates: map[units.TargetID]*gate{}} }

func (gs *Gates) gate(ta units.TargetID) *gate {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	ga := gs.gates[ta]
	if ga == nil {
		ga = &gate{queue: admit.NewQueue(0), waiting: map[*admit.Item]chan bool{}}
		gs.gates[ta] = ga
	}
	return ga
}

// SetFree sets the number of slots to those in use plus free. If free is negative, slots
// are removed as requests end. At least one slot remains, so that the target
// can be tried at all.
func (gs *Gates) SetFree(ta units.TargetID, free int) {
	ga := gs.gate(ta)
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.queue.SetSlots(max(1, ga.queue.InUse()+free))
	ga.dispatchNext(time.Now())
}

// Enter waits for a slot. The caller must call leave when the request has ended. On an
// error, after is the time to retry after.
func (gs *Gates) Enter(ctx context.Context, ta units.TargetID, it *admit.Item) (leave func(), after time.Duration, err error) {
	const op = "gate.Enter"
	ga := gs.gate(ta)
	turn, verdict, after := ga.offer(it)
	switch verdict {
	case admit.Admitted:
		return ga.releaser(it.Cost), 0, nil
	case admit.Refused:
		return nil, after, fault.New(op, KindOverload, "%s can't serve this in time", ta)
	case admit.Queued:
	}
	tm := time.NewTimer(time.Until(it.DispatchBy))
	defer tm.Stop()
	select {
	case ok := <-turn:
		if ok {
			return ga.releaser(it.Cost), 0, nil
		}
	case <-tm.C:
		if ga.withdraw(it, turn) {
			return ga.releaser(it.Cost), 0, nil
		}
	case <-ctx.Done():
		if ga.withdraw(it, turn) {
			ga.releaser(it.Cost)()
		}
		return nil, 0, fault.Wrap(op, KindCanceled, ctx.Err())
	}
	return nil, ga.backlog(), fault.New(op, KindOverload, "%s had no place in time", ta)
}

func (ga *gate) offer(it *admit.Item) (chan bool, admit.Verdict, time.Duration) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	verdict, after := ga.queue.Offer(time.Now(), it)
	if verdict != admit.Queued {
		return nil, verdict, after
	}
	turn := make(chan bool, 1)
	ga.waiting[it] = turn
	return turn, verdict, 0
}

// withdraw removes a request from the queue. It returns true if the request was given a
// slot in the meantime.
func (ga *gate) withdraw(it *admit.Item, turn chan bool) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.queue.Remove(it) {
		delete(ga.waiting, it)
		return false
	}
	return <-turn
}

func (ga *gate) releaser(cost float64) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			ga.mu.Lock()
			defer ga.mu.Unlock()
			now := time.Now()
			ga.queue.Release(now, cost)
			ga.dispatchNext(now)
		})
	}
}

func (ga *gate) dispatchNext(now time.Time) {
	run, late := ga.queue.Next(now)
	for _, it := range run {
		ga.notify(it, true)
	}
	for _, it := range late {
		ga.notify(it, false)
	}
}

func (ga *gate) notify(it *admit.Item, ok bool) {
	ga.waiting[it] <- ok
	delete(ga.waiting, it)
}

func (ga *gate) backlog() time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.queue.Backlog()
}
