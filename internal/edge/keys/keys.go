// Package keys claims idempotency keys in the log service. The claims of a partition are
// batched into appends; each is then decided by folding the partition's stream, so that all
// nodes reach the same verdict.
package keys

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"lycheepick/internal/plat/httpc"
	"lycheepick/internal/plat/logsvc"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/intent"
)

// Kind classifies why a claim has no verdict.
type Kind string

// The kinds of error of this package.
const (
	// KindUnavailable marks a claim that was not written to the log.
	KindUnavailable Kind = "unavailable"
	// KindUndecided marks a claim that may have been written to the log.
	KindUndecided Kind = "undecided"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Partitions is the number of streams over which keys are distributed.
const Partitions = 8

const (
	// appendInterval is the minimum time between appends to one partition. The claims of a
	// partition go through one node at a time, the first in its rank order, so with all
	// partitions busy the whole system makes at most 320 appends a second. Other nodes append
	// only if that node does not answer or can't append, or if memberships differ.
	appendInterval = 25 * time.Millisecond
	decideTimeout  = 2 * time.Second
	maxBatch       = 512
	maxPending     = 4096
	expireInterval = time.Minute
)

// Partition returns the partition of a key, from 0 to Partitions-1.
func Partition(ke intent.Key) int {
	di := xxhash.New()
	_, _ = di.WriteString(string(ke.Customer))
	_, _ = di.Write([]byte{0})
	_, _ = di.WriteString(ke.Key)
	return int(di.Sum64() % Partitions)
}

// Ledger claims keys and records outcomes in all partitions. It is safe for concurrent use.
type Ledger struct {
	ctx        context.Context
	log        logsvc.Log
	mu         sync.Mutex
	partitions [Partitions]*partition
	start      func(func())
}

// NewLedger returns a ledger that works until ctx ends. run must start its argument in a
// goroutine; partitions are started on first use.
func NewLedger(ctx context.Context, log logsvc.Log, run func(func())) *Ledger {
	return &Ledger{ctx: ctx, log: log, start: run}
}

// partition is the state of one partition's stream, read since the first claim in it.
type partition struct {
	stream logsvc.Stream
	log    logsvc.Log
	queue  chan *request

	fold       *intent.Fold
	lastExpire time.Time
	lastAppend time.Time
}

// request is one entry to append and the channel for its result.
type request struct {
	ctx   context.Context
	entry intent.Entry
	reply chan result
}

type result struct {
	verdict intent.ClaimResult
	answer  *intent.Answer
	err     error
}

func (le *Ledger) partition(ke intent.Key) *partition {
	num := Partition(ke)
	le.mu.Lock()
	defer le.mu.Unlock()
	pa := le.partitions[num]
	if pa == nil {
		pa = &partition{
			stream: logsvc.IntentStream(num), log: le.log,
			queue: make(chan *request, maxPending), fold: intent.NewFold(),
		}
		le.partitions[num] = pa
		le.start(func() { pa.run(le.ctx) })
	}
	return pa
}

// Claim appends an intent and returns its verdict. On an error of KindUndecided the caller
// must never dispatch the request, and should abandon the intent.
func (le *Ledger) Claim(ctx context.Context, ke intent.Key, id intent.ID, fingerprint string) (intent.ClaimResult, *intent.Answer, error) {
	re := le.submit(ctx, intent.Entry{Op: intent.OpIntent, Key: ke, Intent: id, Fingerprint: fingerprint})
	return re.verdict, re.answer, re.err
}

// Record appends an outcome or an abandonment. It returns nil once that is in the log.
func (le *Ledger) Record(ctx context.Context, en intent.Entry) error {
	return le.submit(ctx, en).err
}

func (le *Ledger) submit(ctx context.Context, en intent.Entry) result {
	const op = "keys.submit"
	rq := &request{ctx: ctx, entry: en, reply: make(chan result, 1)}
	select {
	case le.partition(en.Key).queue <- rq:
	default:
		return result{err: fault.New(op, KindUnavailable, "too many entries wait for the log")}
	}
	select {
	case re := <-rq.reply:
		return re
	case <-ctx.Done():
		return result{err: fault.Wrap(op, KindUndecided, ctx.Err())}
	case <-le.ctx.Done():
		return result{err: fault.Wrap(op, KindUndecided, le.ctx.Err())}
	}
}

func (pa *partition) run(ctx context.Context) {
	for {
		var batch []*request
		select {
		case <-ctx.Done():
			return
		case rq := <-pa.queue:
			batch = append(batch, rq)
		}
		if !pa.awaitInterval(ctx) {
			return
		}
		batch = pa.fillBatch(batch)
		pa.process(ctx, batch)
	}
}

// awaitInterval waits until appendInterval has passed since the last append. It returns
// false if ctx ended first.
func (pa *partition) awaitInterval(ctx context.Context) bool {
	wait := time.Until(pa.lastAppend.Add(appendInterval))
	if wait <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func (pa *partition) fillBatch(batch []*request) []*request {
	for len(batch) < maxBatch {
		select {
		case rq := <-pa.queue:
			batch = append(batch, rq)
		default:
			return batch
		}
	}
	return batch
}

// process answers claims that the fold already decides, appends the remaining entries as
// one record, and answers them after reading the stream up to that record.
func (pa *partition) process(ctx context.Context, batch []*request) {
	ctx, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	// Reading first allows claims of decided keys to be answered without an append. It also
	// ensures that no claim is accepted while the partition's history can't be read.
	if err := pa.catchUp(ctx, 0); err != nil {
		answerAll(batch, result{err: fault.Wrap("keys.process", KindUnavailable, err)})
		return
	}
	rest := pa.answerKnown(batch)
	if len(rest) == 0 {
		return
	}
	pa.appendBatch(ctx, rest)
}

func (pa *partition) answerKnown(batch []*request) []*request {
	var rest []*request
	for _, rq := range batch {
		if rq.ctx.Err() != nil && rq.entry.Op == intent.OpIntent {
			rq.reply <- result{err: fault.Wrap("keys.answerKnown", KindUnavailable, rq.ctx.Err())}
			continue
		}
		if rq.entry.Op == intent.OpIntent {
			verdict, an := pa.fold.Claim(rq.entry.Key, rq.entry.Intent, rq.entry.Fingerprint)
			if verdict != intent.Undecided {
				rq.reply <- result{verdict: verdict, answer: an}
				continue
			}
		}
		rest = append(rest, rq)
	}
	return rest
}

func (pa *partition) appendBatch(ctx context.Context, rest []*request) {
	const op = "keys.appendBatch"
	ba := intent.Batch{ID: uuid.NewString()}
	for _, rq := range rest {
		ba.Entries = append(ba.Entries, rq.entry)
	}
	pa.lastAppend = time.Now()
	off, err := pa.log.Append(ctx, pa.stream, ba)
	if err != nil && !fault.Is(err, httpc.KindUnanswered) {
		answerAll(rest, result{err: fault.Wrap(op, KindUnavailable, err)})
		return
	}
	if err == nil {
		err = pa.catchUp(ctx, off+1)
	} else {
		err = pa.awaitEntries(ctx, rest)
	}
	for _, rq := range rest {
		rq.reply <- pa.decide(rq, err)
	}
}

// awaitEntries reads the stream after an append that got no response, until its entries
// appear or ctx ends.
func (pa *partition) awaitEntries(ctx context.Context, rest []*request) error {
	const pause = 50 * time.Millisecond
	for {
		if err := pa.catchUp(ctx, 0); err != nil && ctx.Err() != nil {
			return err
		}
		if re := pa.decide(rest[0], nil); re.err == nil && rest[0].entry.Op == intent.OpIntent {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// decide returns the result of one request from the fold. cause is the error that
// prevented the stream from being read up to the entry, or nil.
func (pa *partition) decide(rq *request, cause error) result {
	const op = "keys.decide"
	if rq.entry.Op != intent.OpIntent {
		return result{err: fault.Wrap(op, KindUndecided, cause)}
	}
	verdict, an := pa.fold.Claim(rq.entry.Key, rq.entry.Intent, rq.entry.Fingerprint)
	if verdict == intent.Undecided {
		if cause == nil {
			return result{err: fault.New(op, KindUndecided, "the intent is not in the log")}
		}
		return result{err: fault.Wrap(op, KindUndecided, cause)}
	}
	return result{verdict: verdict, answer: an}
}

// catchUp reads the stream until all records before upTo are folded, or all records in the
// log if upTo is 0.
func (pa *partition) catchUp(ctx context.Context, upTo units.Offset) error {
	for {
		page, err := pa.log.Read(ctx, pa.stream, pa.fold.NextOffset(), 0)
		if err != nil {
			return err
		}
		pa.fold.SkipTo(page.First)
		for _, rec := range page.Records {
			var ba intent.Batch
			if err := json.Unmarshal(rec.Body, &ba); err != nil {
				ba = intent.Batch{} // Not written by a node: treated as empty.
			}
			pa.fold.Read(rec.Offset, rec.At, ba)
		}
		pa.expire(page)
		if pa.fold.NextOffset() >= max(upTo, page.Next) {
			return nil
		}
	}
}

func (pa *partition) expire(page logsvc.Page) {
	if len(page.Records) == 0 || time.Since(pa.lastExpire) < expireInterval {
		return
	}
	pa.lastExpire = time.Now()
	newest := page.Records[len(page.Records)-1].At
	pa.fold.Expire(newest.Add(-page.Retention.Std()))
}

func answerAll(batch []*request, re result) {
	for _, rq := range batch {
		rq.reply <- re
	}
}
