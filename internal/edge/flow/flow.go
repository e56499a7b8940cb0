// Package flow serves accepted requests: admission, server selection, retries, moves to
// other servers on a reclaim, and exactly one outcome for each. The decisions are made by
// the rule packages; flow does the I/O.
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

// Kind classifies why a request has no complete response. Callers see it in the error body.
type Kind string

// The kinds of error of this package.
const (
	// KindLimit marks a request over the row's limits.
	KindLimit Kind = "limit"
	// KindOverload marks a request that the backend servers can't start in time.
	KindOverload Kind = "overload"
	// KindNoServer marks a request for which no backend server is usable.
	KindNoServer Kind = "no_server"
	// KindDeadline marks a request whose deadline has passed.
	KindDeadline Kind = "deadline"
	// KindBroken marks a request that a backend server did not answer completely.
	KindBroken Kind = "broken"
	// KindInvalid marks a request that the backend server rejected as invalid.
	KindInvalid Kind = "invalid"
	// KindCanceled marks a request whose caller disconnected.
	KindCanceled Kind = "canceled"
	// KindHandedOver marks a request in progress that was handed over to a peer.
	KindHandedOver Kind = "handed_over"
	// KindLeaving marks a request that has not run since the node leaves.
	KindLeaving Kind = "not_ready"
	// KindKeyBusy marks a request whose idempotency key is held by one in progress.
	KindKeyBusy Kind = "key_in_progress"
	// KindKeyConflict marks a request whose idempotency key was used for a different one.
	KindKeyConflict Kind = "key_conflict"
	// KindLogUnavailable marks a request whose idempotency key could not be claimed in the
	// log.
	KindLogUnavailable Kind = "log_unavailable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Failure is an error with the outcome and the retry advice for the caller.
type Failure struct {
	Outcome answer.State
	// RetryAfter is the time to retry after, or 0 if a retry is of no use.
	RetryAfter time.Duration
	Err        error
}

// Flow serves requests. It is safe for concurrent use.
type Flow struct {
	Fleet  *fleet.Fleet
	Gates  *gate.Gates
	Quota  *quota.Limiter
	Engine *engine.Client
	Plain  *plain.Client
	Policy route.Policy
	Counts Counts
	// Owners queries the owner nodes of backend servers.
	Owners Owners
	// OnDraining is called when a backend server rejects a request because it is draining.
	OnDraining func(units.Instance)

	budgets   sync.Map // table.RowKey to *budget
	running   runningSet
	departure departure
}

// Owners queries the owner nodes, which track the current load of backend servers.
type Owners interface {
	// Reserve returns the state of a server and counts the request as dispatched to it.
	// ok is false if there is no owner node, or it did not answer or doesn't know the server.
	Reserve(ctx context.Context, re *route.Server, as *route.Request) (st route.ServerState, ok bool)
}

// Counts are the totals exported as metrics.
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

func (bu *budget) recordFirst() {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.bu.RecordFirst()
}

func (bu *budget) spend() bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.bu.Spend()
}

// Admission is the queue slot and the quota that an admitted request holds.
type Admission struct {
	releaseSlot func()
	settle      func(used float64)
}

// Release frees the slot and refunds the quota that was not used.
func (ad *Admission) Release(used units.Tokens) {
	ad.releaseSlot()
	ad.settle(float64(used))
}

// Admit applies the row's limits and waits for a slot. tokens is the estimate for prompt
// and response together, 0 for plain services.
func (fl *Flow) Admit(ctx context.Context, ro *table.Row, tokens units.Tokens, deadline time.Time) (*Admission, *Failure) {
	const op = "flow.Admit"
	if !fl.hasUsableServer(ro.Target) {
		return nil, &Failure{Outcome: answer.NotRun, RetryAfter: retryAfter, Err: fault.New(op, KindNoServer, "no backend server of %s is usable", ro.Target)}
	}
	if after := fl.Fleet.RetryAfter(time.Now(), ro.Target); after > 0 {
		return nil, &Failure{Outcome: answer.NotRun, RetryAfter: after, Err: errResting(op, ro.Target)}
	}
	settle, after, ok := fl.Quota.Take(ro.Key(), float64(tokens))
	if !ok {
		return nil, &Failure{Outcome: answer.NotRun, RetryAfter: after, Err: fault.New(op, KindLimit, "row %s is at its limit", ro.Key())}
	}
	it := &admit.Item{
		Row: ro.Key(), Weight: ro.Weight, Cost: float64(max(tokens, 1)),
		DispatchBy: latestStart(time.Now(), ro, deadline),
	}
	ctx, cancel := fl.untilHandOver(ctx)
	defer cancel()
	leave, after, err := fl.Gates.Enter(ctx, ro.Target, it)
	if err != nil {
		settle(0)
		if isHandedOver(ctx) {
			return nil, notRun(op)
		}
		kind := KindOverload
		if fault.Is(err, gate.KindCanceled) {
			kind = KindCanceled
		}
		return nil, &Failure{Outcome: answer.NotRun, RetryAfter: after, Err: fault.Wrap(op, kind, err)}
	}
	fl.Counts.Accepted.Add(1)
	fl.Counts.InFlight.Add(1)
	return &Admission{releaseSlot: leave, settle: func(used float64) {
		fl.Counts.InFlight.Add(-1)
		settle(used)
	}}, nil
}

// errResting is the error of a request that no server takes since all have asked for a rest.
func errResting(op string, ta units.TargetID) error {
	return fault.New(op, KindNoServer, "all backend servers of %s have asked for a rest", ta)
}

// hasUsableServer reports whether a target has a usable backend server.
func (fl *Flow) hasUsableServer(ta units.TargetID) bool {
	for _, re := range fl.Fleet.Snapshot().Servers(ta) {
		if re.Usable {
			return true
		}
	}
	return false
}

// latestStart returns the time by which a request must be dispatched for its first token
// to meet the row's target.
func latestStart(now time.Time, ro *table.Row, deadline time.Time) time.Time {
	const startShare = 0.5 // Of the target; the rest is left for the engine.
	at := now.Add(time.Duration(float64(ro.FirstToken.Std()) * startShare))
	if at.After(deadline) {
		return deadline
	}
	return at
}

// pickInterval is the polling interval while no server is usable.
const pickInterval = 20 * time.Millisecond

// choose selects a server and records the dispatch. If none is usable, it waits for one
// until the timeout.
func (fl *Flow) choose(ctx context.Context, ta units.TargetID, ask *route.Request, timeout time.Duration) (picked, bool) {
	until := time.Now().Add(timeout)
	for {
		sn := fl.Fleet.Snapshot()
		ask.AvoidZones = sn.ReclaimingZones()
		now := time.Now()
		if ch, ticket, ok := fl.chooseWithOwners(ctx, now, ask, fl.Fleet.Takers(now, ta)); ok {
			if ticket == 0 {
				ticket = ch.Server.Dispatches.Dispatched(now, ask.PromptTokens-ch.Cached)
			}
			ch.Server.Cache.Add(ask.Prefix)
			fl.Fleet.RequestSent(ch.Server.Instance, now)
			return picked{server: ch.Server, ticket: ticket, sentAt: now}, true
		}
		if fl.Fleet.RetryAfter(now, ta) > 0 {
			return picked{}, false
		}
		// After failing on every server, the request may try the same ones again.
		ask.Avoid = nil
		if now.After(until) || !pause.For(ctx, pickInterval) {
			return picked{}, false
		}
	}
}

// picked is a selected server and the dispatch recorded for it.
type picked struct {
	server *route.Server
	ticket route.Ticket
	sentAt time.Time
	// kvHandle names an imported KV cache to continue from, if any.
	kvHandle string
}

// recordAnswer records what the end of an attempt tells of whether the server takes requests. answered is set
// if the server has begun an answer other than a refusal.
func (fl *Flow) recordAnswer(pi *picked, answered bool, err error) {
	now, id := time.Now(), pi.server.Instance
	switch {
	case answered:
		fl.Fleet.RequestAnswered(id, now, pi.sentAt)
	case fault.Is(err, engine.KindRefused), fault.Is(err, plain.KindRefused):
		fl.Fleet.RequestRefused(id, now, pi.sentAt, fault.RetryAfter(err))
	default:
		fl.Fleet.RequestGivenUp(id, now, pi.sentAt, !fault.Is(err, engine.KindNotSent) && !fault.Is(err, plain.KindNotSent))
	}
}

// failureRetryAfter returns when a request to a target may come back that has failed.
func (fl *Flow) failureRetryAfter(ta units.TargetID) time.Duration {
	return max(retryAfter, fl.Fleet.RetryAfter(time.Now(), ta))
}

// recordEnd removes the dispatch from the server's tracked load.
func (pi *picked) recordEnd() { pi.server.Dispatches.Ended(pi.ticket) }

// maxOwnerQueries bounds the queries to owner nodes for one selection.
const maxOwnerQueries = 4

// chooseWithOwners selects a server, gets its current state from its owner node, and
// selects again with that state, until the selection is stable. The returned server is the
// one of the snapshot. The ticket is set if its DispatchLog counts the dispatch already.
func (fl *Flow) chooseWithOwners(ctx context.Context, now time.Time, ask *route.Request, servers []*route.Server) (ch route.Choice, ticket route.Ticket, ok bool) {
	list := append([]*route.Server(nil), servers...)
	reserved := map[units.VMID]route.Ticket{}
	for {
		ch, ok = fl.Policy.Choose(now, ask, list)
		if !ok {
			return ch, 0, false
		}
		id := ch.Server.VM
		if was, asked := reserved[id]; asked || len(reserved) == maxOwnerQueries || ask.PromptTokens == 0 {
			ch.Server = findServer(servers, id)
			return ch, was, true
		}
		st, answered := fl.Owners.Reserve(ctx, ch.Server, ask)
		if !answered {
			ch.Server = findServer(servers, id)
			return ch, 0, true
		}
		reserved[id] = st.Ticket
		for idx, re := range list {
			if re.VM == id {
				list[idx] = re.WithState(&st, ask.Prefix)
			}
		}
	}
}

func findServer(servers []*route.Server, id units.VMID) *route.Server {
	for _, re := range servers {
		if re.VM == id {
			return re
		}
	}
	return nil
}

// backOff waits before a retry, with jitter. It returns false if ctx ended first.
func backOff(ctx context.Context, att units.AttemptID) bool {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return pause.For(ctx, retry.Backoff(int(att), rnd))
}

// countOutcome counts a final outcome.
func (fl *Flow) countOutcome(st answer.State) {
	switch st {
	case answer.Done:
		fl.Counts.Done.Add(1)
	case answer.NotRun:
		fl.Counts.NotRun.Add(1)
	default:
		fl.Counts.Unknown.Add(1)
	}
}
