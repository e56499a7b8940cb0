// Package flow takes one accepted request from admission to its single outcome: it asks
// the decision packages what to do and does it.
package flow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lycheepick/internal/edge/engine"
	"lycheepick/internal/edge/fleet"
	"lycheepick/internal/edge/gate"
	"lycheepick/internal/edge/pause"
	"lycheepick/internal/edge/plain"
	"lycheepick/internal/edge/quota"
	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/retry"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/answer"
	"lycheepick/internal/state/table"
)

// Kind tells why a request has no whole answer. Callers see it in the error body.
type Kind string

// The kinds of error of this package.
const (
	// KindLimit marks a request over the row's limits.
	KindLimit Kind = "limit"
	// KindOverload marks a request that the backend servers can't serve in time.
	KindOverload Kind = "overload"
	// KindNoServer marks a request for which no backend server is usable.
	KindNoServer Kind = "no_server"
	// KindDeadline marks a request whose deadline has passed.
	KindDeadline Kind = "deadline"
	// KindBroken marks a request that a backend server failed to answer whole.
	KindBroken Kind = "broken"
	// KindInvalid marks a request that the backend server found wrong.
	KindInvalid Kind = "invalid"
	// KindCanceled marks a request whose caller has gone.
	KindCanceled Kind = "canceled"
	// KindHandedOver marks a request in progress that was handed to a peer.
	KindHandedOver Kind = "handed_over"
	// KindKeyBusy marks a request whose key another one in progress holds.
	KindKeyBusy Kind = "key_in_progress"
	// KindKeyConflict marks a request whose key was used for a different one.
	KindKeyConflict Kind = "key_conflict"
	// KindLog marks a request with a key that could not be claimed in the log.
	KindLog Kind = "log_unavailable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Failure is an error with what the caller is told besides.
type Failure struct {
	Outcome answer.State
	// After is when to come back; 0 if coming back is of no use.
	After time.Duration
	Err   error
}

// Flow runs requests. It is safe for concurrent use.
type Flow struct {
	Fleet  *fleet.Fleet
	Gates  *gate.Gates
	Quota  *quota.Book
	Engine *engine.Client
	Plain  *plain.Client
	Policy route.Policy
	Counts Counts
	// Stewards tell the present state of replicas.
	Stewards Stewards
	// Draining is told of a backend server that refused work because it is leaving.
	Draining func(units.VMID)

	budgets sync.Map // table.RowKey to *budget
	running runningSet
}

// Stewards tell the present state of replicas to a node that is about to use them.
type Stewards interface {
	// Ask returns the state of a replica and notes that the request is about to go
	// there. ok is false if no one could tell.
	Ask(ctx context.Context, re *route.Server, as *route.Request) (st route.ServerState, ok bool)
}

// Counts are the totals that the metrics show.
type Counts struct {
	Accepted, Done, NotRun, Unknown atomic.Int64
	Retries, Moves, Resumes         atomic.Int64
	Prompt, Recomputed, Generated   atomic.Int64
	InFlight                        atomic.Int64
}

type budget struct {
	mu sync.Mutex
	bu *retry.Budget
}

func (fl *Flow) budget(key table.RowKey) *budget {
	if have, ok := fl.budgets.Load(key); ok {
		return have.(*budget)
	}
	have, _ := fl.budgets.LoadOrStore(key, &budget{bu: retry.NewBudget(retry.DefaultShare, retry.DefaultReserve)})
	return have.(*budget)
}

func (bu *budget) first() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.bu.RecordFirst()
}

func (bu *budget) spend() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.bu.Spend()
}

// Place is what an admitted request holds.
type Place struct {
	leave  func()
	settle func(used float64)
}

// Leave gives the place back, with the tokens that the request used.
func (pl *Place) Leave(used units.Tokens) {
	pl.leave()
	pl.settle(float64(used))
}

// Admit applies the row's limits and waits for a place. tokens is the estimate of
// prompt and answer together; 0 for plain services.
func (fl *Flow) Admit(ctx context.Context, ro *table.Row, tokens units.Tokens, deadline time.Time) (*Place, *Failure) {
	const op = "flow.Admit"
	if !fl.isServed(ro.Target) {
		return nil, &Failure{Outcome: answer.NotRun, After: retryAfter, Err: fault.New(op, KindNoServer, "no backend server of %s is usable", ro.Target)}
	}
	settle, after, ok := fl.Quota.Take(ro.Key(), float64(tokens))
	if !ok {
		return nil, &Failure{Outcome: answer.NotRun, After: after, Err: fault.New(op, KindLimit, "row %s is at its limit", ro.Key())}
	}
	it := &admit.Item{
		Row: ro.Key(), Weight: ro.Weight, Cost: float64(max(tokens, 1)),
		DispatchBy: latestStart(time.Now(), ro, deadline),
	}
	leave, after, err := fl.Gates.Enter(ctx, ro.Target, it)
	if err != nil {
		settle(0)
		kind := KindOverload
		if fault.Is(err, gate.KindCanceled) {
			kind = KindCanceled
		}
		return nil, &Failure{Outcome: answer.NotRun, After: after, Err: fault.Wrap(op, kind, err)}
	}
	fl.Counts.Accepted.Add(1)
	fl.Counts.InFlight.Add(1)
	return &Place{leave: leave, settle: func(used float64) {
		fl.Counts.InFlight.Add(-1)
		settle(used)
	}}, nil
}

// isServed tells whether a target has a usable backend server.
func (fl *Flow) isServed(ta units.TargetID) bool {
	for _, re := range fl.Fleet.Snapshot().Replicas(ta) {
		if re.Usable {
			return true
		}
	}
	return false
}

// latestStart is when a request must have been dispatched for its first token to come
// within the row's target.
func latestStart(now time.Time, ro *table.Row, deadline time.Time) time.Time {
	const startShare = 0.5 // Of the target; the rest is for the engine.
	at := now.Add(time.Duration(float64(ro.FirstToken.Std()) * startShare))
	if at.After(deadline) {
		return deadline
	}
	return at
}

// pickPause is the time between two looks for a usable replica.
const pickPause = 20 * time.Millisecond

// choose picks a replica, and waits for one to become usable for as long as the first
// token could still come in time. Accepted requests wait longer, up to acceptedWait.
func (fl *Flow) choose(ctx context.Context, ta units.TargetID, ask *route.Request, patience time.Duration) (picked, bool) {
	until := time.Now().Add(patience)
	for {
		sn := fl.Fleet.Snapshot()
		ask.AvoidZones = sn.Waves()
		now := time.Now()
		if ch, ticket, ok := fl.chooseTold(ctx, now, ask, sn.Replicas(ta)); ok {
			if ticket == 0 {
				ticket = ch.Server.Dispatches.Dispatched(now, ask.PromptTokens-ch.Cached)
			}
			ch.Server.Cache.Add(ask.Prefix)
			return picked{replica: ch.Server, ticket: ticket}, true
		}
		// A request that has failed everywhere may try the same servers again.
		ask.Avoid = nil
		if now.After(until) || !pause.For(ctx, pickPause) {
			return picked{}, false
		}
	}
}

// picked is a replica and the dispatch that is noted there.
type picked struct {
	replica *route.Server
	ticket  route.Ticket
	// kvHandle names a KV cache to go on from.
	kvHandle string
}

// ended notes that the attempt is over.
func (pi *picked) ended() { pi.replica.Dispatches.Ended(pi.ticket) }

// mostAsked bounds the questions to stewards for one choice.
const mostAsked = 4

// chooseTold chooses, asks the steward of the choice for its state, and chooses again if
// that speaks for another. The returned replica is the one of the snapshot; the ticket is
// set if the dispatch counts in its Track already.
func (fl *Flow) chooseTold(ctx context.Context, now time.Time, ask *route.Request, replicas []*route.Server) (ch route.Choice, ticket route.Ticket, ok bool) {
	list := append([]*route.Server(nil), replicas...)
	told := map[units.VMID]route.Ticket{}
	for {
		ch, ok = fl.Policy.Choose(now, ask, list)
		if !ok {
			return ch, 0, false
		}
		id := ch.Server.VM
		if was, asked := told[id]; asked || len(told) == mostAsked || ask.PromptTokens == 0 {
			ch.Server = original(replicas, id)
			return ch, was, true
		}
		st, answered := fl.Stewards.Ask(ctx, ch.Server, ask)
		if !answered {
			ch.Server = original(replicas, id)
			return ch, 0, true
		}
		told[id] = st.Ticket
		for idx, re := range list {
			if re.VM == id {
				list[idx] = re.WithState(&st, ask.Prefix)
			}
		}
	}
}

func original(replicas []*route.Server, id units.VMID) *route.Server {
	for _, re := range replicas {
		if re.VM == id {
			return re
		}
	}
	return nil
}

// backOff waits before a retry, with jitter.
func backOff(ctx context.Context, att units.AttemptID) bool {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return pause.For(ctx, retry.Backoff(int(att), rnd))
}

// count adds a final outcome to the totals.
func (fl *Flow) count(st answer.State) {
	switch st {
	case answer.Done:
		fl.Counts.Done.Add(1)
	case answer.NotRun:
		fl.Counts.NotRun.Add(1)
	default:
		fl.Counts.Unknown.Add(1)
	}
}
