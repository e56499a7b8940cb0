// Package admit decides which accepted requests go to the backend servers next and which
// are refused at once because they can't be served in time.
//
// It does no I/O and reads no clock.
package admit

import (
	"container/heap"
	"time"

	"lycheepick/internal/state/table"
)

// Item is one request that waits.
type Item struct {
	Row table.RowKey
	// Weight is the row's weight.
	Weight int
	// Cost is the work that the request brings, in any unit that all items share.
	Cost float64
	// Latest is when the request must have been dispatched to be of use.
	Latest time.Time

	start  float64
	finish float64
	order  uint64
	index  int
}

// Queue holds the requests of one target that wait for a place, in weighted fair
// order: start-time fair queueing by row. It is not safe for concurrent use.
type Queue struct {
	places int
	used   int
	heap   itemHeap
	rows   map[table.RowKey]*rowState
	vtime  float64
	order  uint64
	rate   float64 // Work finished a second, smoothed.
	last   time.Time
	done   float64
	// queued is the work that waits.
	queued float64
}

type rowState struct {
	finish  float64
	waiting int
	weight  int
	queued  float64
}

// NewQueue returns a queue with so many places.
func NewQueue(places int) *Queue {
	return &Queue{places: places, rows: map[table.RowKey]*rowState{}}
}

// SetPlaces changes the number of places.
func (qu *Queue) SetPlaces(places int) { qu.places = places }

// Used returns the number of places taken.
func (qu *Queue) Used() int { return qu.used }

// Waiting returns the number of requests that wait.
func (qu *Queue) Waiting() int { return len(qu.heap) }

// Verdict is the answer to a request that asks for a place.
type Verdict int

// The verdicts.
const (
	// Go means that the request has a place.
	Go Verdict = iota
	// Wait means that the request stands in the queue.
	Wait
	// Refuse means that the request can't be served in time.
	Refuse
)

// Offer asks for a place. With Refuse it tells when to come back.
func (qu *Queue) Offer(now time.Time, it *Item) (ve Verdict, after time.Duration) {
	if qu.used < qu.places && len(qu.heap) == 0 {
		qu.used++
		return Go, 0
	}
	wait := qu.predict(it)
	if slack := it.Latest.Sub(now); wait > slack {
		return Refuse, max(wait-slack, leastRetry)
	}
	qu.push(it)
	return Wait, 0
}

const (
	leastRetry = 100 * time.Millisecond
	mostRetry  = time.Minute
	// unknownWait is predicted while nothing has finished yet.
	unknownWait = 200 * time.Millisecond
)

// predict estimates the wait from the row's backlog and its share of the rate at
// which work finishes.
func (qu *Queue) predict(it *Item) time.Duration {
	if qu.rate <= 0 {
		return unknownWait
	}
	ahead := it.Cost
	total := it.Weight
	for key, rs := range qu.rows {
		if rs.waiting == 0 {
			continue
		}
		if key == it.Row {
			ahead += rs.queued
			continue
		}
		total += rs.weight
	}
	// A row waits for its own backlog at its own share, and never longer than the
	// whole backlog takes.
	own := ahead / (qu.rate * float64(it.Weight) / float64(total))
	all := (qu.queued + it.Cost) / qu.rate
	return min(time.Duration(min(own, all)*float64(time.Second)), mostRetry)
}

func (qu *Queue) push(it *Item) {
	rs := qu.rows[it.Row]
	if rs == nil {
		rs = &rowState{}
		qu.rows[it.Row] = rs
	}
	rs.weight = it.Weight
	rs.waiting++
	rs.queued += it.Cost
	qu.queued += it.Cost
	qu.order++
	it.order = qu.order
	it.start = max(qu.vtime, rs.finish)
	it.finish = it.start + it.Cost/float64(it.Weight)
	rs.finish = it.finish
	heap.Push(&qu.heap, it)
}

// Remove takes an item out of the queue that no longer waits for a place; it tells
// whether the item was there.
func (qu *Queue) Remove(it *Item) bool {
	if it.index < 0 || it.index >= len(qu.heap) || qu.heap[it.index] != it {
		return false
	}
	heap.Remove(&qu.heap, it.index)
	qu.left(it)
	return true
}

func (qu *Queue) left(it *Item) {
	rs := qu.rows[it.Row]
	rs.waiting--
	rs.queued -= it.Cost
	qu.queued -= it.Cost
	if rs.waiting == 0 && rs.finish <= qu.vtime {
		delete(qu.rows, it.Row)
	}
}

// Release gives a place back after work of so much cost.
func (qu *Queue) Release(now time.Time, cost float64) {
	qu.used--
	qu.measure(now, cost)
}

// measureTime is the time over which the drain rate is taken.
const measureTime = 500 * time.Millisecond

func (qu *Queue) measure(now time.Time, cost float64) {
	if qu.last.IsZero() {
		qu.last = now
	}
	qu.done += cost
	gap := now.Sub(qu.last)
	if gap < measureTime {
		return
	}
	rate := qu.done / gap.Seconds()
	if qu.rate == 0 || gap > 4*measureTime {
		qu.rate = rate
	} else {
		qu.rate = (qu.rate + rate) / 2
	}
	qu.done = 0
	qu.last = now
}

// Next returns the items to dispatch now, which have their places, and those to
// refuse, whose time has passed.
func (qu *Queue) Next(now time.Time) (run, late []*Item) {
	for len(qu.heap) > 0 {
		it := qu.heap[0]
		expired := now.After(it.Latest)
		if !expired && qu.used >= qu.places {
			break
		}
		heap.Pop(&qu.heap)
		qu.vtime = max(qu.vtime, it.start)
		qu.left(it)
		if expired {
			late = append(late, it)
			continue
		}
		qu.used++
		run = append(run, it)
	}
	return run, late
}

// Backlog returns the time that the queued work takes, for a Retry-After.
func (qu *Queue) Backlog() time.Duration {
	if qu.rate <= 0 {
		return time.Second
	}
	return min(max(time.Duration(qu.queued/qu.rate*float64(time.Second)), leastRetry), mostRetry)
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
