// Package limit keeps the sum of what all nodes admit of a row within the row's limit.
//
// Each entry VM that holds a seat owns an equal share of every limit. A node that needs more
// borrows from a peer for a short time. The lender deducts the amount before it replies and
// counts the loan's time from its reply; the borrower counts it from its request, which is
// earlier. So the sum over all nodes never exceeds the limit, whatever is lost, late, paused
// or partitioned, and no node has to know how many others there are.
//
// Nothing here does I/O or reads a clock.
package limit

import (
	"math"
	"time"
)

// LoanTime is how long a loan lasts, counted by the lender.
const LoanTime = 2 * time.Second

// AsksPerRound is the number of peers that a node asks for a loan in one round, per limit.
const AsksPerRound = 3

const (
	// burstTime is the time for which unused allowance accumulates.
	burstTime = time.Second
	// demandTimeConstant smooths the demand estimate.
	demandTimeConstant = time.Second
	// lendShare is the part of its spare allowance that a lender gives to one borrower.
	lendShare = 0.8
	// borrowHeadroom is the ratio of allowance to demand up to which a node borrows, and
	// lendHeadroom the one below which it doesn't lend.
	borrowHeadroom = 1.05
	lendHeadroom   = 1.05
	// maxQuickRefusals is the number of refusals in a row after which a share asks less often.
	maxQuickRefusals = 20
	// minLoanShare is the part of the base rate below which a loan isn't worth a message.
	minLoanShare = 0.01
)

// Share is one node's share of one limit, in units a second. It is not safe for concurrent
// use.
type Share struct {
	base       float64
	lent       []Loan
	borrowed   []Loan
	lastLoanID uint64
	level      float64
	refilledAt time.Time
	demand     float64
	// minBurst is the minimum capacity, so that the largest single request can pass.
	minBurst float64
	// minRate is the allowance to hold whatever the demand.
	minRate float64
	// refusals counts the loan requests in a row that got nothing. No loan is requested
	// before noAskUntil.
	refusals   int
	noAskUntil time.Time
}

// Loan is an amount that one node lends to another.
type Loan struct {
	// ID is the lender's number for the loan.
	ID uint64
	// Lender is the address at which the borrower reaches the lender.
	Lender string
	// Amount is in units a second.
	Amount float64
	// Until is the end of the loan, on the clock of the side that holds this value.
	Until time.Time
}

// NewShare returns a share that owns base units a second. Single requests of up to minBurst
// units can pass however small the rate is.
func NewShare(base, minBurst float64, now time.Time) *Share {
	sh := &Share{base: base, minBurst: minBurst, refilledAt: now}
	sh.level = sh.capacity(base)
	return sh
}

// SetBase sets the owned rate, which changes with the table or the seat.
func (sh *Share) SetBase(base float64, now time.Time) {
	sh.refill(now)
	sh.base = base
}

// SetMinRate makes the share ask for at least this many units a second whatever its demand, so
// that a node that owns nothing can admit its first requests.
func (sh *Share) SetMinRate(rate float64) { sh.minRate = rate }

func (sh *Share) capacity(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return max(rate*burstTime.Seconds(), sh.minBurst)
}

// Rate returns the allowance at now, in units a second: owned, less lent, plus borrowed.
func (sh *Share) Rate(now time.Time) float64 {
	sh.borrowed = unexpired(sh.borrowed, now)
	sh.lent = unexpired(sh.lent, now)
	return max(0, sh.base-sum(sh.lent)) + sum(sh.borrowed)
}

func unexpired(list []Loan, now time.Time) []Loan {
	out := list[:0]
	for _, lo := range list {
		if now.Before(lo.Until) {
			out = append(out, lo)
		}
	}
	return out
}

func sum(list []Loan) float64 {
	total := 0.0
	for _, lo := range list {
		total += lo.Amount
	}
	return total
}

// refill adds to the level what the allowance gave since the last call. Loans that ended in
// between count only up to their end.
func (sh *Share) refill(now time.Time) {
	gap := now.Sub(sh.refilledAt)
	if gap <= 0 {
		return
	}
	gained := max(0, sh.base-sum(sh.lent)) * gap.Seconds()
	for _, lo := range sh.borrowed {
		gained += lo.Amount * max(0, min(gap, lo.Until.Sub(sh.refilledAt))).Seconds()
	}
	rate := sh.Rate(now)
	sh.level = min(sh.level+gained, sh.capacity(rate))
	sh.demand *= math.Exp(-float64(gap) / float64(demandTimeConstant))
	sh.refilledAt = now
}

// Take admits a request of this many units, or returns how long until the allowance covers it.
func (sh *Share) Take(now time.Time, amount float64) (ok bool, wait time.Duration) {
	sh.refill(now)
	sh.demand += amount / demandTimeConstant.Seconds()
	rate := sh.Rate(now)
	need := min(amount, sh.capacity(rate))
	if rate > 0 && sh.level >= need {
		sh.level -= amount
		return true, 0
	}
	if rate <= 0 {
		return false, LoanTime
	}
	return false, time.Duration((need - sh.level) / rate * float64(time.Second))
}

// Refund returns units that a request reserved and did not use; a negative amount charges
// units that it used beyond its reservation.
func (sh *Share) Refund(now time.Time, amount float64) {
	sh.refill(now)
	sh.level = min(sh.level+amount, sh.capacity(sh.Rate(now)))
}

// Demand returns the smoothed demand at this node, in units a second, admitted or not.
func (sh *Share) Demand(now time.Time) float64 {
	sh.refill(now)
	return sh.demand
}

// Shortfall returns the amount to borrow. It is 0 if the allowance nearly covers the demand, and
// during the pause that follows many refusals in a row.
func (sh *Share) Shortfall(now time.Time) float64 {
	sh.refill(now)
	want := max(sh.demand*borrowHeadroom, sh.minRate) - sh.Rate(now)
	if now.Before(sh.noAskUntil) {
		return 0
	}
	if want < sh.base*minLoanShare || want <= 0 {
		return 0
	}
	return want
}

// Lend lends up to ask units a second for LoanTime. Only owned units are lent, so that loans
// never form chains. The amount is 0 if there is nothing to spare.
func (sh *Share) Lend(now time.Time, ask float64) (id uint64, amount float64) {
	sh.refill(now)
	sh.lent = unexpired(sh.lent, now)
	free := sh.base - sum(sh.lent)
	// Borrowed units count towards this node's own demand, so that it lends the owned units
	// that it doesn't need.
	spare := (sh.Rate(now) - sh.demand*lendHeadroom) * lendShare
	amount = min(ask, spare, free)
	if amount < sh.base*minLoanShare || amount <= 0 {
		return 0, 0
	}
	sh.lastLoanID++
	sh.lent = append(sh.lent, Loan{ID: sh.lastLoanID, Amount: amount, Until: now.Add(LoanTime)})
	return sh.lastLoanID, amount
}

// Renew extends a loan to LoanTime from now, unless this node needs it back.
func (sh *Share) Renew(now time.Time, id uint64) bool {
	sh.refill(now)
	sh.lent = unexpired(sh.lent, now)
	if sh.Rate(now) < sh.demand {
		return false
	}
	for idx := range sh.lent {
		if sh.lent[idx].ID == id {
			sh.lent[idx].Until = now.Add(LoanTime)
			return true
		}
	}
	return false
}

// Borrowed adds a loan that was requested at asked. An empty one counts as a refusal.
func (sh *Share) Borrowed(asked, now time.Time, lo Loan) {
	sh.refill(now)
	lo.Until = asked.Add(LoanTime)
	if lo.Amount <= 0 || !now.Before(lo.Until) {
		sh.recordRefusal(now)
		return
	}
	sh.refusals = 0
	sh.borrowed = append(sh.borrowed, lo)
}

// recordRefusal makes a share ask less often after many refusals: when the whole row is at its
// limit, no node has anything to lend.
func (sh *Share) recordRefusal(now time.Time) {
	const maxPause = 2 * time.Second
	sh.refusals++
	if over := sh.refusals - maxQuickRefusals; over > 0 {
		sh.noAskUntil = now.Add(min(maxPause, time.Duration(over)*LoanTime/10))
	}
}

// DueLoans returns the borrowed loans to renew now: those past half their time that are still
// needed.
func (sh *Share) DueLoans(now time.Time) []Loan {
	sh.refill(now)
	rate := sh.Rate(now)
	var out []Loan
	for _, lo := range sh.borrowed {
		if lo.Until.Sub(now) < LoanTime/2 && max(sh.demand*borrowHeadroom, sh.minRate) > rate-lo.Amount {
			out = append(out, lo)
		}
	}
	return out
}

// Renewed records that a lender renewed a loan on a request sent at asked. A loan that has
// ended in the meantime stays ended.
func (sh *Share) Renewed(asked, now time.Time, lo Loan) {
	sh.refill(now)
	sh.borrowed = unexpired(sh.borrowed, now)
	for idx := range sh.borrowed {
		if sh.borrowed[idx].ID == lo.ID && sh.borrowed[idx].Lender == lo.Lender {
			sh.borrowed[idx].Until = asked.Add(LoanTime)
		}
	}
}
