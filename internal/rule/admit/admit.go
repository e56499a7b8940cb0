// Package admit decides which accepted requests are dispatched to the backend servers next,
// and which are refused at once because they can't be served in time.
//
// It does no I/O and reads no clock.
package admit

import (
	"container/heap"
	"time"

	"lycheepick/internal/state/table"
)

// Item is one request in a queue.
type Item struct {
	Row table.RowKey
	// Weight is the weight of the row in fair queueing.
	Weight int
	// Cost is the work of the request, in any unit that all items of a queue share.
	Cost float64
	// DispatchBy is the time after which the request is no longer worth dispatching.
	DispatchBy time.Time

	start  float64
	finish float64
	order  uint64
	index  int
}

// Queue holds the requests of one target that wait for a slot, in weighted fair order:
// start-time fair queueing by row. It is not safe for concurrent use.
type Queue struct {
	slots        int
	inUse        int
	heap         itemHeap
	rows         map[table.RowKey]*rowQueue
	virtualTime  float64
	order        uint64
	workRate     float64 // Work finished a second, smoothed.
	measuredAt   time.Time
	finishedWork float64
	// queuedWork is the cost of all waiting items.
	queuedWork float64
}

type rowQueue struct {
	finish     float64
	waiting    int
	weight     int
	queuedWork float64
}

// NewQueue returns an empty queue for a target with this many slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, rows: map[table.RowKey]*rowQueue{}}
}

// SetSlots changes the number of slots. Requests that hold a slot keep it.
func (qu *Queue) SetSlots(slots int) { qu.slots = slots }

// InUse returns the number of slots in use.
func (qu *Queue) InUse() int { return qu.inUse }

// Waiting returns the number of requests that wait for a slot.
func (qu *Queue) Waiting() int { return len(qu.heap) }

// Verdict is the result of an Offer.
type Verdict int

// The verdicts.
const (
	// Admitted means that the request has a slot.
	Admitted Verdict = iota
	// Queued means that the request waits for a slot.
	Queued
	// Refused means that the request can't be served in time.
	Refused
)

// Offer requests a slot for an item. For Refused it also returns the Retry-After.
func (qu *Queue) Offer(now time.Time, it *Item) (ve Verdict, after time.Duration) {
	if qu.inUse < qu.slots && len(qu.heap) == 0 {
		qu.inUse++
		return Admitted, 0
	}
	wait := qu.predictWait(it)
	if slack := it.DispatchBy.Sub(now); wait > slack {
		return Refused, max(wait-slack, minRetryAfter)
	}
	qu.push(it)
	return Queued, 0
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// defaultWait is predicted until the first work has finished.
	defaultWait = 200 * time.Millisecond
)

// predictWait estimates the wait of an item from its row's backlog and the row's share of the
// rate at which work finishes.
func (qu *Queue) predictWait(it *Item) time.Duration {
	if qu.workRate <= 0 {
		return defaultWait
	}
	ahead := it.Cost
	total := it.Weight
	for key, rs := range qu.rows {
		if rs.waiting == 0 {
			continue
		}
		if key == it.Row {
			ahead += rs.queuedWork
			continue
		}
		total += rs.weight
	}
	// A row's backlog is served at the row's own share, and takes no longer than the whole
	// backlog.
	own := ahead / (qu.workRate * float64(it.Weight) / float64(total))
	all := (qu.queuedWork + it.Cost) / qu.workRate
	return min(time.Duration(min(own, all)*float64(time.Second)), maxRetryAfter)
}

func (qu *Queue) push(it *Item) {
	rs := qu.rows[it.Row]
	if rs == nil {
		rs = &rowQueue{}
		qu.rows[it.Row] = rs
	}
	rs.weight = it.Weight
	rs.waiting++
	rs.queuedWork += it.Cost
	qu.queuedWork += it.Cost
	qu.order++
	it.order = qu.order
	it.start = max(qu.virtualTime, rs.finish)
	it.finish = it.start + it.Cost/float64(it.Weight)
	rs.finish = it.finish
	heap.Push(&qu.heap, it)
}

// Remove removes an item whose request no longer waits for a slot. It returns false if the
// item isn't in the queue.
func (qu *Queue) Remove(it *Item) bool {
	if it.index < 0 || it.index >= len(qu.heap) || qu.heap[it.index] != it {
		return false
	}
	heap.Remove(&qu.heap, it.index)
	qu.dequeued(it)
	return true
}

func (qu *Queue) dequeued(it *Item) {
	rs := qu.rows[it.Row]
	rs.waiting--
	rs.queuedWork -= it.Cost
	qu.queuedWork -= it.Cost
	if rs.waiting == 0 && rs.finish <= qu.virtualTime {
		delete(qu.rows, it.Row)
	}
}

// Release frees a slot after work of this cost.
func (qu *Queue) Release(now time.Time, cost float64) {
	qu.inUse--
	qu.updateRate(now, cost)
}

// rateWindow is the time over which the rate of finished work is measured.
const rateWindow = 500 * time.Millisecond

func (qu *Queue) updateRate(now time.Time, cost float64) {
	if qu.measuredAt.IsZero() {
		qu.measuredAt = now
	}
	qu.finishedWork += cost
	gap := now.Sub(qu.measuredAt)
	if gap < rateWindow {
		return
	}
	rate := qu.finishedWork / gap.Seconds()
	if qu.workRate == 0 || gap > 4*rateWindow {
		qu.workRate = rate
	} else {
		qu.workRate = (qu.workRate + rate) / 2
	}
	qu.finishedWork = 0
	qu.measuredAt = now
}

// Next returns the items to dispatch now, each with a slot, and the items to refuse, whose
// DispatchBy has passed.
func (qu *Queue) Next(now time.Time) (run, late []*Item) {
	for len(qu.heap) > 0 {
		it := qu.heap[0]
		expired := now.After(it.DispatchBy)
		if !expired && qu.inUse >= qu.slots {
			break
		}
		heap.Pop(&qu.heap)
		qu.virtualTime = max(qu.virtualTime, it.start)
		qu.dequeued(it)
		if expired {
			late = append(late, it)
			continue
		}
		qu.inUse++
		run = append(run, it)
	}
	return run, late
}

// Backlog returns the time that the queued work takes, for a Retry-After.
func (qu *Queue) Backlog() time.Duration {
	if qu.workRate <= 0 {
		return time.Second
	}
	return min(max(time.Duration(qu.queuedWork/qu.workRate*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// itemHeap orders items by start tag, then by arrival.
type itemHeap []*Item

func (ih itemHeap) Len() int { return len(ih) }

func (ih itemHeap) Less(one, two int) bool {
	if ih[one].start != ih[two].start {
		return ih[one].start < ih[two].start
	}
	return ih[one].order < ih[two].order
}

func (ih itemHeap) Swap(one, two int) {
	ih[one], ih[two] = ih[two], ih[one]
	ih[one].index, ih[two].index = one, two
}

// Push implements heap.Interface.
func (ih *itemHeap) Push(val any) {
	it := val.(*Item)
	it.index = len(*ih)
	*ih = append(*ih, it)
}

// Pop implements heap.Interface.
func (ih *itemHeap) Pop() any {
	old := *ih
	it := old[len(old)-1]
	it.index = -1
	*ih = old[:len(old)-1]
	return it
}
