package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"lycheepick/internal/edge/keys"
	"lycheepick/internal/peer/wire"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/intent"
)

// claimTimeout bounds a claim; a request whose claim is undecided by then is refused.
const claimTimeout = 3 * time.Second

// claimNode returns the address of the peer that batches the claims of a key's partition, or ""
// if that is this node. It is a hint: a claim at any other node is just as safe.
func (da *Daemon) claimNode(ke intent.Key) string {
	ranked := da.rankNodes("keys-" + strconv.Itoa(keys.Partition(ke)))
	if len(ranked) == 0 || isSelf(da, &ranked[0]) {
		return ""
	}
	return ranked[0].Address
}

// Claim implements serve.Node.
func (da *Daemon) Claim(ctx context.Context, ke intent.Key, id intent.ID, fingerprint string) (intent.ClaimResult, *intent.Answer, error) {
	const op = "daemon.Claim"
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	addr := da.claimNode(ke)
	if addr == "" {
		return da.ledger.Claim(ctx, ke, id, fingerprint)
	}
	re, err := da.peerPool.Peer(ctx, addr).Claim(ctx, &wire.ClaimRequest{
		Customer: string(ke.Customer), Key: ke.Key, Intent: string(id), Fingerprint: fingerprint,
	})
	if err != nil {
		// It is not known whether the peer appended the intent, but a second claim with
		// the same id is safe.
		if ctx.Err() != nil {
			return 0, nil, fault.Wrap(op, keys.KindUndecided, err)
		}
		return da.ledger.Claim(ctx, ke, id, fingerprint)
	}
	if re.GetFailed() != "" {
		return 0, nil, fault.New(op, keys.Kind(re.GetFailed()), "the node that groups this key's claims could not append")
	}
	return intent.ClaimResult(re.GetVerdict()), answerFromWire(re.GetAnswer()), nil
}

func answerFromWire(an *wire.Answer) *intent.Answer {
	if an == nil {
		return nil
	}
	return &intent.Answer{Outcome: an.GetOutcome(), Status: int(an.GetStatus()), ContentType: an.GetContentType(), Body: an.GetBody()}
}

func answerToWire(an *intent.Answer) *wire.Answer {
	if an == nil {
		return nil
	}
	return &wire.Answer{Outcome: an.Outcome, Status: int32(an.Status), ContentType: an.ContentType, Body: an.Body}
}

// recordJob is an entry that waits to be written to the log.
type recordJob struct{ entry intent.Entry }

// Record implements serve.Node. Entries that do not fit into the outbox are dropped. Their keys
// stay claimed without an outcome, so that the requests are not run again.
func (da *Daemon) Record(en intent.Entry) {
	select {
	case da.outbox <- recordJob{entry: en}:
	default:
		da.trail.Note("outcome_dropped", string(en.Customer), "key="+en.Key.Key)
	}
}

const outboxWorkers = 16

// outboxLoop writes outcomes of keyed requests to the log and retries each until it succeeds.
func (da *Daemon) outboxLoop(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for range outboxWorkers {
		wg.Go(func() { da.outboxWorker(ctx) })
	}
}

func (da *Daemon) outboxWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-da.outbox:
			for ctx.Err() == nil && !da.recordOnce(ctx, job.entry) {
				sleep(ctx, jitter(time.Second))
			}
		}
	}
}

func (da *Daemon) recordOnce(ctx context.Context, en intent.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	addr := da.claimNode(en.Key)
	if addr == "" {
		return da.isRecorded(da.ledger.Record(ctx, en))
	}
	re, err := da.peerPool.Peer(ctx, addr).Settle(ctx, &wire.SettleRequest{
		Customer: string(en.Customer), Key: en.Key.Key, Intent: string(en.Intent), Fingerprint: en.Fingerprint,
		Abandoned: en.Op == intent.OpAbandon, Answer: answerToWire(en.Answer),
	})
	if err == nil && re.GetRecorded() {
		return true
	}
	return da.isRecorded(da.ledger.Record(ctx, en))
}

func (da *Daemon) isRecorded(err error) bool {
	if err != nil {
		da.log.Debug("outcome_not_recorded", zap.Error(err))
	}
	return err == nil
}

func entryFromSettle(rq *wire.SettleRequest) intent.Entry {
	en := intent.Entry{
		Op: intent.OpOutcome, Key: intent.Key{Customer: units.CustomerID(rq.GetCustomer()), Key: rq.GetKey()},
		Intent: intent.ID(rq.GetIntent()), Fingerprint: rq.GetFingerprint(), Answer: answerFromWire(rq.GetAnswer()),
	}
	if rq.GetAbandoned() {
		en.Op = intent.OpAbandon
	}
	return en
}
