package relay

import (
	"context"
	"time"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/units"
)

const (
	// retryShare and retryReserve bound the retries of one node: a tenth of its requests,
	// half of what the platform allows (a fifth), plus a few at low request rates.
	retryShare   = 1.0 / firstsPerRetry
	retryReserve = 4
	// A request that a server rejected waits at most retryWait for the retry budget. Without the wait its caller
	// would be told to come back after noServerRetryAfter.
	retryWait = noServerRetryAfter
	// maxRetryWaits bounds the requests of a service that wait at once.
	maxRetryWaits = retryReserve
	// firstsPerRetry is the number of first attempts that earn a retry.
	firstsPerRetry = 10
)

// retryWaits tells how many requests of a service may wait for the retry budget. Requests that can't get a retry
// within retryWait are better rejected at once, so that one may wait for each retry that the budget earned in the
// latest retryWait.
type retryWaits struct {
	waiting int
	firsts  [maxRetryWaits * firstsPerRetry]time.Time // When the latest first attempts came, a ring.
	next    int                                       // The index in firsts of the oldest.
}

func (rw *retryWaits) recordFirst(now time.Time) {
	rw.firsts[rw.next] = now
	rw.next = (rw.next + 1) % len(rw.firsts)
}

// begin reports whether one more request may wait, and counts it.
func (rw *retryWaits) begin(now time.Time) bool {
	if rw.waiting >= maxRetryWaits {
		return false
	}
	first := rw.firsts[(rw.next+len(rw.firsts)-firstsPerRetry*(rw.waiting+1))%len(rw.firsts)]
	if now.Sub(first) > retryWait {
		return false
	}
	rw.waiting++
	return true
}

// takeRetry takes a retry from the budget for a request that failed with err. A request that a server rejected
// waits for one while another server can take it: when the one server that accepts requests changes, all requests
// on their way to the old one are rejected at the same moment, and need more retries than the budget holds.
func (ru *run) takeRetry(ctx context.Context, err error) bool {
	rl, id := ru.rl, ru.rq.Service
	if rl.spendRetry(id) {
		return true
	}
	if !fault.Is(err, KindRefused) || !rl.beginRetryWait(id) {
		return false
	}
	defer rl.endRetryWait(id)
	const step = 5 * time.Millisecond
	end := time.Now().Add(min(retryWait, time.Until(ru.rq.Deadline)/2))
	ask, rolling := ru.ask, ru.rolling.elsewhere()
	for time.Now().Before(end) && pause.For(ctx, step) {
		if found, taken := rl.takeRetry(id, &ask, &rolling); taken || !found {
			return taken
		}
	}
	return false
}

// beginRetryWait reports whether one more request of a service may wait for the retry budget, and counts it.
func (rl *Relay) beginRetryWait(id units.TargetID) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if !rl.service(id).retryWaits.begin(time.Now()) {
		return false
	}
	rl.Counts.RetryWaits.Add(1)
	return true
}

func (rl *Relay) endRetryWait(id units.TargetID) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.service(id).retryWaits.waiting--
}

// takeRetry takes a retry from the budget if a server would take the request. found is false if none would.
func (rl *Relay) takeRetry(id units.TargetID, ask *place.Request, rr *rollRoute) (found, taken bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se, now := rl.service(id), time.Now()
	ask.Try = false
	rl.setConditions(now, ask)
	rl.setGroup(now, id, ask, rr)
	_, found = se.fleet.Choose(now, ask)
	return found, found && se.budget.Spend()
}

func (rl *Relay) returnRetry(id units.TargetID) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.service(id).budget.Return()
}

// recordFirstAttempt adds a new request to the retry budget.
func (rl *Relay) recordFirstAttempt(id units.TargetID) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se := rl.service(id)
	se.budget.RecordFirst()
	se.retryWaits.recordFirst(time.Now())
}

func (rl *Relay) spendRetry(id units.TargetID) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.service(id).budget.Spend()
}
