// Package retry decides whether a failed attempt may be followed by another, and which
// backend servers get no requests for a while. It does no I/O and reads no clock.
package retry

import (
	"math/rand/v2"
	"time"
)

// Budget bounds retries to a share of the first attempts, so that retries never add
// more than that share to the load. It is not safe for concurrent use.
type Budget struct {
	share float64
	cap   float64
	have  float64
}

// The daemon's budget: one retry for ten first attempts, and a small reserve so that
// a quiet row can retry at all.
const (
	DefaultShare   = 0.1
	DefaultReserve = 5
)

// NewBudget returns a budget that is full.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, cap: reserve, have: reserve}
}

// First notes a first attempt.
func (bu *Budget) First() { bu.have = min(bu.cap, bu.have+bu.share) }

// Spend takes one retry from the budget, or returns false if there is none.
func (bu *Budget) Spend() bool {
	if bu.have < 1 {
		return false
	}
	bu.have--
	return true
}

// Backoff returns the pause before attempt number num, with full jitter.
func Backoff(num int, rnd *rand.Rand) time.Duration {
	const base, limit = 10 * time.Millisecond, time.Second
	top := min(base<<min(num, 10), limit)
	return time.Duration(rnd.Int64N(int64(top)))
}

// Health decides whether one backend server gets requests. It is not safe for
// concurrent use.
type Health struct {
	failures int
	ejected  bool
	round    int
	until    time.Time
}

// Bounds of ejection.
const (
	ejectAfter   = 3
	ejectFor     = 2 * time.Second
	ejectMost    = time.Minute
	ejectDoubles = 5
)

// Change tells what an event did to a server's health.
type Change int

// The changes.
const (
	// Unchanged is returned for most events.
	Unchanged Change = iota
	// Ejected is returned when a server begins to get no requests.
	Ejected
	// Returned is returned when a server gets requests again.
	Returned
)

// Succeeded notes an answer to a request.
func (he *Health) Succeeded() Change {
	he.failures = 0
	if !he.ejected {
		he.round = 0
	}
	return Unchanged
}

// Failed notes a request that failed by the server's fault.
func (he *Health) Failed(now time.Time) Change {
	he.failures++
	if he.ejected || he.failures < ejectAfter {
		return Unchanged
	}
	he.ejected = true
	he.until = now.Add(min(ejectFor<<min(he.round, ejectDoubles), ejectMost))
	he.round++
	return Ejected
}

// Probed notes the result of a probe, which an ejected server needs to come back.
func (he *Health) Probed(now time.Time, alive bool) Change {
	if !he.ejected {
		if alive {
			return Unchanged
		}
		return he.Failed(now)
	}
	if !alive || now.Before(he.until) {
		return Unchanged
	}
	he.ejected = false
	// One more failure is enough to eject it again.
	he.failures = ejectAfter - 1
	return Returned
}

// Usable tells whether the server gets requests.
func (he *Health) Usable() bool { return !he.ejected }
