package main

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/table"
)

const admitUsage = `measure admit simulates one target under normal load and overload.

usage: measure admit [--seed N]

It compares the daemon's queue with a queue that accepts all requests in order of arrival.
A request counts as good if it starts within half of its first-token target of 1.1 s.
`

type admitCmd struct {
	Seed uint64 `arg:"--seed" default:"1"`
}

func (*admitCmd) Usage() string { return admitUsage }

// Parameters of the simulated target. Requests that start within admitMaxWait, half of the
// first-token target of 1.1 s, count as good.
const (
	admitSlots        = 64
	admitMeanDuration = 2 * time.Second
	admitMaxWait      = 550 * time.Millisecond
	admitDuration     = 60 * time.Second
)

// admitResult is the result of one simulation. goodByRow counts the good requests of a row.
type admitResult struct {
	good, offered int
	goodByRow     map[string]int
	retryAfter    time.Duration // Sum over the refused requests.
	refused       int
}

func (ac *admitCmd) Run(ctx context.Context, out io.Writer) error {
	_, _ = fmt.Fprintln(out, "| offered | queue | good/s | of capacity | refused at once | told to come back after | good of the burst row (weight 1) | of the steady row (weight 3) |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|")
	capacity := float64(admitSlots) / admitMeanDuration.Seconds()
	for _, loadFactor := range []float64{0.9, 1, 3} {
		for _, fair := range []bool{false, true} {
			re := ac.simulate(loadFactor*capacity, fair)
			policy := "order of arrival"
			if fair {
				policy = "fair, refuses early"
			}
			_, _ = fmt.Fprintf(out, "| %.1fx | %s | %.1f | %.1f%% | %d | %d ms | %d | %d |\n", loadFactor, policy, float64(re.good)/admitDuration.Seconds(),
				100*float64(re.good)/admitDuration.Seconds()/capacity, re.refused, (re.retryAfter / time.Duration(max(1, re.refused))).Milliseconds(), re.goodByRow["burst"], re.goodByRow["steady"])
		}
	}
	return ctx.Err()
}

// completion is the end of a running request.
type completion struct {
	at   time.Duration
	cost float64
}

// completions is a heap, ordered by time.
type completions []completion

func (co completions) Len() int           { return len(co) }
func (co completions) Less(a, b int) bool { return co[a].at < co[b].at }
func (co completions) Swap(a, b int)      { co[a], co[b] = co[b], co[a] }
func (co *completions) Push(val any)      { *co = append(*co, val.(completion)) }
func (co *completions) Pop() any {
	old := *co
	last := old[len(old)-1]
	*co = old[:len(old)-1]
	return last
}

// admitRun simulates one queue. The steady row offers a quarter of the capacity, the burst
// row the rest of the load.
type admitRun struct {
	qu        *admit.Queue
	fair      bool
	rnd       *rand.Rand
	running   completions
	re        admitResult
	offeredAt map[*admit.Item]time.Duration
	// queuedRows has the row of each queued item, as items have no row if fair is not set.
	queuedRows map[*admit.Item]string
}

func (ac *admitCmd) simulate(rate float64, fair bool) admitResult {
	ar := &admitRun{
		qu: admit.NewQueue(admitSlots), fair: fair, rnd: rand.New(rand.NewPCG(ac.Seed, 3)),
		offeredAt: map[*admit.Item]time.Duration{}, queuedRows: map[*admit.Item]string{}, re: admitResult{goodByRow: map[string]int{}},
	}
	capacity := float64(admitSlots) / admitMeanDuration.Seconds()
	for now := time.Duration(0); now < admitDuration; {
		now += time.Duration(ar.rnd.ExpFloat64() / rate * float64(time.Second))
		ar.completeUntil(now)
		row, weight := "burst", 1
		if ar.rnd.Float64() < capacity/4/rate {
			row, weight = "steady", 3
		}
		ar.offer(now, row, weight)
	}
	return ar.re
}

func clockTime(du time.Duration) time.Time { return time.Unix(1000, 0).Add(du) }

// completeUntil completes the requests that end by now and starts queued ones in their place.
func (ar *admitRun) completeUntil(now time.Duration) {
	for len(ar.running) > 0 && ar.running[0].at <= now {
		co := heap.Pop(&ar.running).(completion)
		ar.qu.Release(clockTime(co.at), co.cost)
		run, _ := ar.qu.Next(clockTime(co.at))
		for _, it := range run {
			ar.startQueued(co.at, it)
		}
	}
}

func (ar *admitRun) offer(now time.Duration, row string, weight int) {
	ar.re.offered++
	it := &admit.Item{
		Row: table.RowKey{Customer: units.CustomerID(row)}, Weight: weight,
		Cost: 1, DispatchBy: clockTime(now + admitMaxWait),
	}
	if !ar.fair {
		it.Row, it.Weight, it.DispatchBy = table.RowKey{}, 1, clockTime(time.Hour)
	}
	ar.offeredAt[it] = now
	verdict, after := ar.qu.Offer(clockTime(now), it)
	switch verdict {
	case admit.Admitted:
		ar.countGood(now, it, row)
		ar.start(now, it)
	case admit.Refused:
		ar.re.refused++
		ar.re.retryAfter += after
	case admit.Queued:
		ar.queuedRows[it] = row
	}
}

func (ar *admitRun) startQueued(now time.Duration, it *admit.Item) {
	ar.countGood(now, it, ar.queuedRows[it])
	delete(ar.queuedRows, it)
	ar.start(now, it)
}

func (ar *admitRun) countGood(now time.Duration, it *admit.Item, row string) {
	if now-ar.offeredAt[it] <= admitMaxWait {
		ar.re.good++
		ar.re.goodByRow[row]++
	}
	delete(ar.offeredAt, it)
}

func (ar *admitRun) start(now time.Duration, it *admit.Item) {
	duration := time.Duration((0.5 + ar.rnd.Float64()) * float64(admitMeanDuration))
	heap.Push(&ar.running, completion{at: now + duration, cost: it.Cost})
}
