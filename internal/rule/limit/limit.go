// Package limit keeps the sum of what all nodes admit of a row within the row's limit.
//
// Each entry VM that holds a seat owns an equal part of every limit. A node that needs
// more borrows from a peer for a short time. The lender gives up the amount before it
// answers, and counts the loan's time from its answer; the borrower counts it from its
// question, which is earlier. So the sum over all nodes never exceeds the limit, whatever
// is lost, late, paused or cut, and no node has to know how many others there are.
//
// Nothing here does I/O or reads a clock.
package limit

import (
	"math"
	"time"
)

// LoanTime is how long a loan lasts, counted by the lender.
const LoanTime = 2 * time.Second

// AsksAtOnce is the number of peers that a node asks in one round for one limit.
const AsksAtOnce = 3

const (
	// burst is the time for which unused allowance is kept.
	burst = time.Second
	// demandTime is the time constant of the demand estimate.
	demandTime = time.Second
	// spareShare is the part of what a lender does not need that it gives to one asker.
	spareShare = 0.8
	// headroom is the ratio of allowance to demand that a node borrows for, and
	// keptRoom the one that it keeps when it lends.
	headroom = 1.05
	keptRoom = 1.05
	// dryAsks is the number of questions in vain after which a share asks less often.
	dryAsks = 20
	// leastLoan is the ratio to the base rate under which a loan is not worth a message.
	leastLoan = 0.01
)

// Share is one node's part of one limit, in units a second. It is not safe for
// concurrent use.
type Share struct {
	base   float64
	out    []Loan
	in     []Loan
	nextID uint64
	level  float64
	last   time.Time
	demand float64
	// least is the burst that lets the largest single request pass.
	least float64
	// floor is the allowance to hold whatever the demand.
	floor float64
	// dry counts the questions in a row that got nothing, and quiet is until when no
	// more are asked.
	dry   int
	quiet time.Time
}

// Loan is an amount that one node lent to another.
type Loan struct {
	// ID is the lender's number for it.
	ID uint64
	// Lender is the address that the borrower knows the lender by.
	Lender string
	// Amount is in units a second.
	Amount float64
	// Until is when it ends, on the clock of the side that holds this value.
	Until time.Time
}

// NewShare returns a share that owns base units a second. Single requests of up to
// least units can pass however small the rate is.
func NewShare(base, least float64, now time.Time) *Share {
	sh := &Share{base: base, least: least, last: now}
	sh.level = sh.capacity(base)
	return sh
}

// SetBase changes the owned rate, when the table or the seat changes.
func (sh *Share) SetBase(base float64, now time.Time) {
	sh.advance(now)
	sh.base = base
}

// SetFloor makes the share want at least so many units a second whatever its demand, so
// that a node that owns nothing can admit its first requests.
func (sh *Share) SetFloor(floor float64) { sh.floor = floor }

func (sh *Share) capacity(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return max(rate*burst.Seconds(), sh.least)
}

// Rate returns the allowance at now: owned, less lent, plus borrowed.
func (sh *Share) Rate(now time.Time) float64 {
	sh.in = live(sh.in, now)
	sh.out = live(sh.out, now)
	return max(0, sh.base-sum(sh.out)) + sum(sh.in)
}

func live(list []Loan, now time.Time) []Loan {
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

// advance fills the bucket. Loans that ended on the way count only up to their end.
func (sh *Share) advance(now time.Time) {
	gap := now.Sub(sh.last)
	if gap <= 0 {
		return
	}
	gained := max(0, sh.base-sum(sh.out)) * gap.Seconds()
	for _, lo := range sh.in {
		gained += lo.Amount * max(0, min(gap, lo.Until.Sub(sh.last))).Seconds()
	}
	rate := sh.Rate(now)
	sh.level = min(sh.level+gained, sh.capacity(rate))
	sh.demand *= math.Exp(-float64(gap) / float64(demandTime))
	sh.last = now
}

// Take admits a request of so many units, or tells how long until the allowance
// covers it.
func (sh *Share) Take(now time.Time, amount float64) (ok bool, wait time.Duration) {
	sh.advance(now)
	sh.demand += amount / demandTime.Seconds()
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

// Refund gives units back that a request reserved and did not use; a negative amount
// charges units that it used beyond its reservation.
func (sh *Share) Refund(now time.Time, amount float64) {
	sh.advance(now)
	sh.level = min(sh.level+amount, sh.capacity(sh.Rate(now)))
}

// Demand returns the estimate of what this node was asked for, in units a second.
func (sh *Share) Demand(now time.Time) float64 {
	sh.advance(now)
	return sh.demand
}

// Wants returns the amount to borrow, or 0 if the allowance covers the demand.
func (sh *Share) Wants(now time.Time) float64 {
	sh.advance(now)
	want := max(sh.demand*headroom, sh.floor) - sh.Rate(now)
	if now.Before(sh.quiet) {
		return 0
	}
	if want < sh.base*leastLoan || want <= 0 {
		return 0
	}
	return want
}

// Lend gives up to ask units a second away for LoanTime. Only owned units are lent,
// so that loans never form chains. The amount is 0 if there is nothing to spare.
func (sh *Share) Lend(now time.Time, ask float64) (id uint64, amount float64) {
	sh.advance(now)
	sh.out = live(sh.out, now)
	free := sh.base - sum(sh.out)
	// What is borrowed counts for this node's own demand, so that it does not sit on
	// owned units that it does not need.
	spare := (sh.Rate(now) - sh.demand*keptRoom) * spareShare
	amount = min(ask, spare, free)
	if amount < sh.base*leastLoan || amount <= 0 {
		return 0, 0
	}
	sh.nextID++
	sh.out = append(sh.out, Loan{ID: sh.nextID, Amount: amount, Until: now.Add(LoanTime)})
	return sh.nextID, amount
}

// Renew lets a loan last for another LoanTime, unless this node needs it back.
func (sh *Share) Renew(now time.Time, id uint64) bool {
	sh.advance(now)
	sh.out = live(sh.out, now)
	if sh.Rate(now) < sh.demand {
		return false
	}
	for idx := range sh.out {
		if sh.out[idx].ID == id {
			sh.out[idx].Until = now.Add(LoanTime)
			return true
		}
	}
	return false
}

// Borrowed takes a loan over that was asked for at asked.
func (sh *Share) Borrowed(asked, now time.Time, lo Loan) {
	sh.advance(now)
	lo.Until = asked.Add(LoanTime)
	if lo.Amount <= 0 || !now.Before(lo.Until) {
		sh.refused(now)
		return
	}
	sh.dry = 0
	sh.in = append(sh.in, lo)
}

// refused makes a share that asks in vain ask less often: when the whole row is at its
// limit, no one has anything to lend.
func (sh *Share) refused(now time.Time) {
	const most = 2 * time.Second
	sh.dry++
	if over := sh.dry - dryAsks; over > 0 {
		sh.quiet = now.Add(min(most, time.Duration(over)*LoanTime/10))
	}
}

// Due returns the loans to renew now: those past half their time that are still needed.
func (sh *Share) Due(now time.Time) []Loan {
	sh.advance(now)
	rate := sh.Rate(now)
	var out []Loan
	for _, lo := range sh.in {
		if lo.Until.Sub(now) < LoanTime/2 && max(sh.demand*headroom, sh.floor) > rate-lo.Amount {
			out = append(out, lo)
		}
	}
	return out
}

// Renewed notes that a lender renewed a loan on a question of asked. A loan that has
// ended in the meantime stays ended.
func (sh *Share) Renewed(asked, now time.Time, lo Loan) {
	sh.advance(now)
	sh.in = live(sh.in, now)
	for idx := range sh.in {
		if sh.in[idx].ID == lo.ID && sh.in[idx].Lender == lo.Lender {
			sh.in[idx].Until = asked.Add(LoanTime)
		}
	}
}
