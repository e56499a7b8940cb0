package admit

import (
	"container/heap"
	"time"
)

// Waiter is a request that waits at this node, unsent.
type Waiter struct {
	Priority int
	// Target is when the request's target latency is over.
	Target time.Time
	// Turn is called when the waiter becomes the first of its line.
	Turn func()

	order uint64
	index int
}

// before reports whether a waiter is to be served before another one.
func (wa *Waiter) before(other *Waiter) bool {
	switch {
	case wa.Priority != other.Priority:
		return wa.Priority < other.Priority
	case !wa.Target.Equal(other.Target):
		return wa.Target.Before(other.Target)
	}
	return wa.order < other.order
}

// Line holds the requests of one service that wait at this node, the most urgent first and then by the time left of
// their targets. The zero value is empty.
type Line struct {
	heap  waiterHeap
	order uint64
}

// Len returns the number of waiters.
func (li *Line) Len() int { return len(li.heap) }

// Join adds a waiter. It reports whether that is the first now.
func (li *Line) Join(wa *Waiter) bool {
	li.order++
	wa.order = li.order
	heap.Push(&li.heap, wa)
	return li.heap[0] == wa
}

// Leave removes a waiter, and tells the next one if it was the first.
func (li *Line) Leave(wa *Waiter) {
	if wa.index < 0 || wa.index >= len(li.heap) || li.heap[wa.index] != wa {
		return
	}
	first := wa.index == 0
	heap.Remove(&li.heap, wa.index)
	if first && len(li.heap) > 0 && li.heap[0].Turn != nil {
		li.heap[0].Turn()
	}
}

// IsFirst reports whether no waiter is to be served before wa, which may not have joined.
func (li *Line) IsFirst(wa *Waiter) bool {
	return len(li.heap) == 0 || li.heap[0] == wa || wa.order == 0 && wa.Priority < li.heap[0].Priority
}

// HasMoreUrgent reports whether a waiter has a more urgent priority.
func (li *Line) HasMoreUrgent(priority int) bool {
	return len(li.heap) > 0 && li.heap[0].Priority < priority
}

type waiterHeap []*Waiter

// Len implements heap.Interface.
func (wh waiterHeap) Len() int { return len(wh) }

// Less implements heap.Interface.
func (wh waiterHeap) Less(one, two int) bool { return wh[one].before(wh[two]) }

// Swap implements heap.Interface.
func (wh waiterHeap) Swap(one, two int) {
	wh[one], wh[two] = wh[two], wh[one]
	wh[one].index, wh[two].index = one, two
}

// Push implements heap.Interface.
func (wh *waiterHeap) Push(val any) {
	wa := val.(*Waiter)
	wa.index = len(*wh)
	*wh = append(*wh, wa)
}

// Pop implements heap.Interface.
func (wh *waiterHeap) Pop() any {
	old := *wh
	wa := old[len(old)-1]
	old[len(old)-1] = nil
	wa.index = -1
	*wh = old[:len(old)-1]
	return wa
}
