// Package retry decides whether a failed attempt may be retried, and ejects failing backend
// servers for a while. It does no I/O and reads no clock.
package retry

import (
	"math/rand/v2"
	"time"
)

// Budget bounds retries to a share of the first attempts, so that retries never add more than
// that share to the load. It is not safe for concurrent use.
type Budget struct {
	share    float64
	capacity float64
	tokens   float64
}

// The daemon's budget: one retry for ten first attempts, and a reserve with which a row with
// little traffic can retry at all.
const (
	DefaultShare   = 0.1
	DefaultReserve = 5
)

// NewBudget returns a full budget. share is the retries earned by each first attempt, and
// reserve the most that can be saved up.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, capacity: reserve, tokens: reserve}
}

// RecordFirst records a first attempt.
func (bu *Budget) RecordFirst() { bu.tokens = min(bu.capacity, bu.tokens+bu.share) }

// Spend takes one retry from the budget, or returns false if none is left.
func (bu *Budget) Spend() bool {
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}

// Return gives a retry back that was not made.
func (bu *Budget) Return() { bu.tokens = min(bu.capacity, bu.tokens+1) }

// HasReserve tells whether at least half of the budget is left, so that a retry which could be avoided
// takes none from those that can't.
func (bu *Budget) HasReserve() bool { return bu.tokens >= max(1, bu.capacity/2) }

// Backoff returns the pause before attempt number num, with full jitter and below 1 s.
func Backoff(num int, rnd *rand.Rand) time.Duration {
	const base, limit = 10 * time.Millisecond, time.Second
	maxPause := min(base<<min(num, 10), limit)
	return time.Duration(rnd.Int64N(int64(maxPause)))
}

// Health tracks the failures of one backend server and ejects it. It is not safe for
// concurrent use.
type Health struct {
	failures     int
	ejected      bool
	ejections    int
	ejectedUntil time.Time
}

const (
	// ejectAfter is the number of failures in a row that eject a server. An ejection lasts
	// minEjection, doubled for each one before it without a success in between, up to
	// maxDoublings times and maxEjection.
	ejectAfter   = 3
	minEjection  = 2 * time.Second
	maxEjection  = time.Minute
	maxDoublings = 5
)

// Change is the effect of an event on a server's health.
type Change int

// The changes.
const (
	// Unchanged is returned for most events.
	Unchanged Change = iota
	// Ejected is returned when a server stops getting requests.
	Ejected
	// Returned is returned when a server gets requests again.
	Returned
)

// Succeeded records a response to a request.
func (he *Health) Succeeded() Change {
	he.failures = 0
	if !he.ejected {
		he.ejections = 0
	}
	return Unchanged
}

// Failed records a failed request for which the server is at fault.
func (he *Health) Failed(now time.Time) Change {
	he.failures++
	if he.ejected || he.failures < ejectAfter {
		return Unchanged
	}
	he.ejected = true
	he.ejectedUntil = now.Add(min(minEjection<<min(he.ejections, maxDoublings), maxEjection))
	he.ejections++
	return Ejected
}

// Probed records the result of a probe. An ejected server returns only by one that succeeds
// after the ejection time.
func (he *Health) Probed(now time.Time, alive bool) Change {
	if !he.ejected {
		if alive {
			return Unchanged
		}
		return he.Failed(now)
	}
	if !alive || now.Before(he.ejectedUntil) {
		return Unchanged
	}
	he.ejected = false
	// One more failure is enough to eject it again.
	he.failures = ejectAfter - 1
	return Returned
}

// Usable tells whether the server gets requests.
func (he *Health) Usable() bool { return !he.ejected }
