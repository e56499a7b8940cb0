// Package keys claims idempotency keys in the log service: it groups the claims of a
// partition into appends, follows the partition's stream, and answers each claim from
// the fold.
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

// Kind tells why a claim has no verdict.
type Kind string

// The kinds of error of this package.
const (
	// KindUnavailable marks a claim that does not stand in the log.
	KindUnavailable Kind = "unavailable"
	// KindUndecided marks a claim that may stand in the log.
	KindUndecided Kind = "undecided"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Partitions is the number of streams that the keys are spread over.
const Partitions = 8

const (
	// appendEvery bounds the appends of one partition; with all partitions busy it
	// keeps the whole system at 320 a second.
	appendEvery  = 25 * time.Millisecond
	decideWithin = 2 * time.Second
	maxBatch     = 512
	maxPending   = 4096
	expireEvery  = time.Minute
)

// Partition returns the partition of a key.
func Partition(ke intent.Key) int {
	di := xxhash.New()
	_, _ = di.WriteString(string(ke.Customer))
	_, _ = di.Write([]byte{0})
	_, _ = di.WriteString(ke.Key)
	return int(di.Sum64() % Partitions)
}

// Ledger claims keys of all partitions. It is safe for concurrent use.
type Ledger struct {
	ctx   context.Context
	log   logsvc.Log
	mu    sync.Mutex
	parts [Partitions]*part
	run   func(func())
}

// NewLedger returns a ledger that works until ctx ends. run starts a goroutine.
func NewLedger(ctx context.Context, log logsvc.Log, run func(func())) *Ledger {
	return &Ledger{ctx: ctx, log: log, run: run}
}

// part is one partition that this node follows since it was first asked about it.
type part struct {
	stream logsvc.Stream
	log    logsvc.Log
	calls  chan *exchange

	fold        *intent.Fold
	lastExpire  time.Time
	lastAppends time.Time
}

// exchange is one entry to append and where its result goes.
type exchange struct {
	ctx   context.Context
	entry intent.Entry
	reply chan result
}

type result struct {
	verdict intent.ClaimResult
	answer  *intent.Answer
	err     error
}

func (le *Ledger) part(ke intent.Key) *part {
	num := Partition(ke)
	le.mu.Lock()
	defer le.mu.Unlock()
	pa := le.parts[num]
	if pa == nil {
		pa = &part{
			stream: logsvc.IntentStream(num), log: le.log,
			calls: make(chan *exchange, maxPending), fold: intent.NewFold(),
		}
		le.parts[num] = pa
		le.run(func() { pa.work(le.ctx) })
	}
	return pa
}

// Claim appends an intent and returns the verdict on it. With KindUndecided the caller
// must not dispatch the request, ever, and should abandon the intent.
func (le *Ledger) Claim(ctx context.Context, ke intent.Key, id intent.ID, fingerprint string) (intent.ClaimResult, *intent.Answer, error) {
	re := le.submit(ctx, intent.Entry{Op: intent.OpIntent, Key: ke, Intent: id, Fingerprint: fingerprint})
	return re.verdict, re.answer, re.err
}

// Record appends an outcome or an abandonment. It returns nil once that stands in the log.
func (le *Ledger) Record(ctx context.Context, en intent.Entry) error {
	return le.submit(ctx, en).err
}

func (le *Ledger) submit(ctx context.Context, en intent.Entry) result {
	const op = "keys.submit"
	ex := &exchange{ctx: ctx, entry: en, reply: make(chan result, 1)}
	select {
	case le.part(en.Key).calls <- ex:
	default:
		return result{err: fault.New(op, KindUnavailable, "too many entries wait for the log")}
	}
	select {
	case re := <-ex.reply:
		return re
	case <-ctx.Done():
		return result{err: fault.Wrap(op, KindUndecided, ctx.Err())}
	case <-le.ctx.Done():
		return result{err: fault.Wrap(op, KindUndecided, le.ctx.Err())}
	}
}

func (pa *part) work(ctx context.Context) {
	for {
		var batch []*exchange
		select {
		case <-ctx.Done():
			return
		case ex := <-pa.calls:
			batch = append(batch, ex)
		}
		if !pa.pace(ctx) {
			return
		}
		batch = pa.gather(batch)
		pa.process(ctx, batch)
	}
}

// pace waits until the partition may append again.
func (pa *part) pace(ctx context.Context) bool {
	wait := time.Until(pa.lastAppends.Add(appendEvery))
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

func (pa *part) gather(batch []*exchange) []*exchange {
	for len(batch) < maxBatch {
		select {
		case ex := <-pa.calls:
			batch = append(batch, ex)
		default:
			return batch
		}
	}
	return batch
}

// process answers what the fold knows already, appends the rest in one record, reads
// the stream up to that record, and answers.
func (pa *part) process(ctx context.Context, batch []*exchange) {
	ctx, cancel := context.WithTimeout(ctx, decideWithin)
	defer cancel()
	// Reading first answers keys that are long decided without an append, and a
	// partition whose past can't be read takes no claims.
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

func (pa *part) answerKnown(batch []*exchange) []*exchange {
	var rest []*exchange
	for _, ex := range batch {
		if ex.ctx.Err() != nil && ex.entry.Op == intent.OpIntent {
			ex.reply <- result{err: fault.Wrap("keys.answerKnown", KindUnavailable, ex.ctx.Err())}
			continue
		}
		if ex.entry.Op == intent.OpIntent {
			verdict, an := pa.fold.Claim(ex.entry.Key, ex.entry.Intent, ex.entry.Fingerprint)
			if verdict != intent.Undecided {
				ex.reply <- result{verdict: verdict, answer: an}
				continue
			}
		}
		rest = append(rest, ex)
	}
	return rest
}

func (pa *part) appendBatch(ctx context.Context, rest []*exchange) {
	const op = "keys.appendBatch"
	ba := intent.Batch{ID: uuid.NewString()}
	for _, ex := range rest {
		ba.Entries = append(ba.Entries, ex.entry)
	}
	pa.lastAppends = time.Now()
	off, err := pa.log.Append(ctx, pa.stream, ba)
	if err != nil && !fault.Is(err, httpc.KindUnanswered) {
		answerAll(rest, result{err: fault.Wrap(op, KindUnavailable, err)})
		return
	}
	if err == nil {
		err = pa.catchUp(ctx, off+1)
	} else {
		err = pa.search(ctx, rest)
	}
	for _, ex := range rest {
		ex.reply <- pa.decide(ex, err)
	}
}

// search reads on after an append without an answer until its entries appear or time
// is up.
func (pa *part) search(ctx context.Context, rest []*exchange) error {
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

// decide answers one exchange from the fold. cause is what kept the fold from
// reading up to the entry, if anything did.
func (pa *part) decide(ex *exchange, cause error) result {
	const op = "keys.decide"
	if ex.entry.Op != intent.OpIntent {
		return result{err: fault.Wrap(op, KindUndecided, cause)}
	}
	verdict, an := pa.fold.Claim(ex.entry.Key, ex.entry.Intent, ex.entry.Fingerprint)
	if verdict == intent.Undecided {
		if cause == nil {
			return result{err: fault.New(op, KindUndecided, "the intent is not in the log")}
		}
		return result{err: fault.Wrap(op, KindUndecided, cause)}
	}
	return result{verdict: verdict, answer: an}
}

// catchUp reads until the fold has folded all records before upTo, or, if that is 0,
// all that the log has.
func (pa *part) catchUp(ctx context.Context, upTo units.Offset) error {
	for {
		page, err := pa.log.Read(ctx, pa.stream, pa.fold.NextOffset(), 0)
		if err != nil {
			return err
		}
		pa.fold.SkipTo(page.First)
		for _, rec := range page.Records {
			var ba intent.Batch
			if err := json.Unmarshal(rec.Body, &ba); err != nil {
				ba = intent.Batch{} // A record that no node of ours wrote holds no entries.
			}
			pa.fold.Read(rec.Offset, rec.At, ba)
		}
		pa.expire(page)
		if pa.fold.NextOffset() >= max(upTo, page.Next) {
			return nil
		}
	}
}

func (pa *part) expire(page logsvc.Page) {
	if len(page.Records) == 0 || time.Since(pa.lastExpire) < expireEvery {
		return
	}
	pa.lastExpire = time.Now()
	newest := page.Records[len(page.Records)-1].At
	pa.fold.Expire(newest.Add(-page.Retention.Std()))
}

func answerAll(batch []*exchange, re result) {
	for _, ex := range batch {
		ex.reply <- re
	}
}
