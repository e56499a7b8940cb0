package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lycheepick/internal/fake/seed"
	"lycheepick/internal/rule/limit"
	"lycheepick/internal/rule/units"
)

func Example() {
	start := time.Unix(0, 0)
	lender := limit.NewShare(10, 1, start)
	asker := limit.NewShare(10, 1, start)
	fmt.Println(lender.Rate(start)+asker.Rate(start), "in all")
	id, amount := lender.Lend(start, 8)
	asker.Borrowed(start, start, limit.Loan{ID: id, Amount: amount})
	fmt.Println(lender.Rate(start), "+", asker.Rate(start))
	later := start.Add(limit.LoanTime)
	fmt.Println(lender.Rate(later), "+", asker.Rate(later))
	// Output:
	// 20 in all
	// 2 + 18
	// 10 + 10
}

// fleet is a set of nodes that borrow from each other over a network that loses and delays
// messages, while nodes pause and crash.
type fleet struct {
	shares       []*limit.Share
	dead         []bool
	seatUsableAt []time.Time // When a restarted node may use its seat, zero if it does.
	now          time.Time
	// skipSeatDelay makes restarted nodes use their seat at once.
	skipSeatDelay bool
	// keepLent makes lenders not deduct what they lend, as if a lender crashed and its
	// replacement did not know of the loan.
	keepLent bool
}

// reply is a lender's reply in flight.
type reply struct {
	to    int
	asked time.Time
	loan  limit.Loan
	renew bool
}

func newFleet(count int, limitRate float64) *fleet {
	fl := &fleet{now: time.Unix(0, 0), dead: make([]bool, count), seatUsableAt: make([]time.Time, count)}
	for range count {
		fl.shares = append(fl.shares, limit.NewShare(limitRate/float64(count), 1, fl.now))
	}
	return fl
}

// restart replaces a node's process, which loses its record of loans.
func (fl *fleet) restart(node int) {
	fl.shares[node] = limit.NewShare(0, 1, fl.now)
	fl.dead[node] = false
	fl.seatUsableAt[node] = fl.now.Add(limit.LoanTime)
	if fl.skipSeatDelay {
		fl.seatUsableAt[node] = fl.now
	}
}

// restoreSeats gives restarted nodes their share back once they may use their seat.
func (fl *fleet) restoreSeats() {
	for idx, at := range fl.seatUsableAt {
		if !at.IsZero() && !fl.now.Before(at) {
			fl.shares[idx].SetBase(total/float64(len(fl.shares)), fl.now)
			fl.seatUsableAt[idx] = time.Time{}
		}
	}
}

func (fl *fleet) sum() float64 {
	total := 0.0
	for idx, sh := range fl.shares {
		if !fl.dead[idx] {
			total += sh.Rate(fl.now)
		}
	}
	return total
}

func (fl *fleet) lend(from int, ask float64) limit.Loan {
	if fl.keepLent {
		return limit.Loan{Amount: ask / 2}
	}
	id, amount := fl.shares[from].Lend(fl.now, ask)
	return limit.Loan{ID: id, Amount: amount, Lender: fmt.Sprint(from)}
}

// renew asks the lenders of a node's loans to renew them.
func (fl *fleet) renew(node int) (out []reply) {
	for _, lo := range fl.shares[node].DueLoans(fl.now) {
		var from int
		if _, err := fmt.Sscan(lo.Lender, &from); err == nil && !fl.dead[from] && fl.shares[from].Renew(fl.now, lo.ID) {
			out = append(out, reply{to: node, asked: fl.now, loan: lo, renew: true})
		}
	}
	return out
}

func (fl *fleet) deliver(re reply) {
	if re.renew {
		fl.shares[re.to].Renewed(re.asked, fl.now, re.loan)
		return
	}
	fl.shares[re.to].Borrowed(re.asked, fl.now, re.loan)
}

// maxAllowance runs random demand, loans, losses, delays, pauses and crashes, and returns the
// largest sum of allowance reached.
func maxAllowance(rt *rapid.T, fl *fleet) float64 {
	count := len(fl.shares)
	node := rapid.IntRange(0, count-1)
	var inFlight []reply
	maxSum := 0.0
	steps := rapid.IntRange(10, 100).Draw(rt, "steps")
	for range steps {
		fl.now = fl.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
		fl.restoreSeats()
		one, two := node.Draw(rt, "one"), node.Draw(rt, "two")
		switch rapid.IntRange(0, 5).Draw(rt, "step") {
		case 0, 1:
			for range rapid.IntRange(1, 40).Draw(rt, "burst") {
				fl.shares[one].Take(fl.now, 1)
			}
		case 2, 3:
			if one == two || fl.dead[one] || fl.dead[two] {
				continue
			}
			replies := append(fl.renew(one), reply{to: one, asked: fl.now, loan: fl.lend(two, rapid.Float64Range(0, 60).Draw(rt, "ask"))})
			for _, re := range replies {
				if !rapid.Bool().Draw(rt, "lost") {
					inFlight = append(inFlight, re)
				}
			}
		case 4: // Replies arrive, however late, as after a pause of the borrower.
			for _, re := range inFlight {
				fl.deliver(re)
			}
			inFlight = nil
		case 5:
			switch rapid.IntRange(0, 5).Draw(rt, "fault") {
			case 0:
				fl.dead[one] = true
			case 1:
				fl.restart(one)
			}
		}
		fl.restoreSeats()
		maxSum = max(maxSum, fl.sum())
	}
	return maxSum
}

const total = 100.0

func TestSumNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(2, 8).Draw(rt, "nodes")
		if maxSum := maxAllowance(rt, newFleet(count, total)); maxSum > total*(1+1e-9) {
			rt.Fatalf("sum of allowance: have %v, want %v or less", maxSum, total)
		}
	})
}

func TestSumExceedsTheLimitWithoutTheRules(t *testing.T) {
	for name, disable := range map[string]func(*fleet){
		"lenders that keep what they lend":    func(fl *fleet) { fl.keepLent = true },
		"restarted nodes that use their seat": func(fl *fleet) { fl.skipSeatDelay = true },
	} {
		maxSum := 0.0
		rapid.Check(t, func(rt *rapid.T) {
			fl := newFleet(4, total)
			disable(fl)
			maxSum = max(maxSum, maxAllowance(rt, fl))
		})
		if maxSum <= total*(1+1e-9) {
			t.Errorf("%s: the sum of allowance never exceeded the limit, its maximum is %v", name, maxSum)
		}
	}
}

// usableShare simulates skewed arrivals and returns the part of the limit that was admitted,
// with or without loans.
func usableShare(nodes int, skew []float64, borrow bool) float64 {
	fl := newFleet(nodes, total)
	rnd := rand.New(rand.NewPCG(1, 2))
	admitted := 0
	const step, warm, run = 5 * time.Millisecond, 4 * time.Second, 10 * time.Second
	for at := time.Duration(0); at < warm+run; at += step {
		fl.now = fl.now.Add(step)
		for idx, sh := range fl.shares {
			if rnd.Float64() < skew[idx]*2*total*step.Seconds() {
				if ok, _ := sh.Take(fl.now, 1); ok && at >= warm {
					admitted++
				}
			}
			if !borrow || at%(200*time.Millisecond) != 0 {
				continue
			}
			for _, re := range fl.renew(idx) {
				fl.deliver(re)
			}
			for range limit.AsksPerRound {
				other := rnd.IntN(nodes)
				if want := sh.Shortfall(fl.now); want > 0 && other != idx {
					fl.deliver(reply{to: idx, asked: fl.now, loan: fl.lend(other, want)})
				}
			}
		}
	}
	return float64(admitted) / (total * run.Seconds())
}

func TestSkewedArrivalsCanUseTheLimit(t *testing.T) {
	gm := gomega.NewWithT(t)
	skew := []float64{0.65, 0.2, 0.05, 0.05, 0.02, 0.01, 0.01, 0.01}
	gm.Expect(usableShare(8, skew, false)).To(gomega.BeNumerically("<", 0.6), "a static share for each node")
	gm.Expect(usableShare(8, skew, true)).To(gomega.BeNumerically(">=", 0.95))
}

func TestSeatsHaveOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		se := limit.NewSeats()
		at := time.Unix(0, 0)
		// expiry is when a process stops using its seat by its own clock.
		expiry := map[units.Instance]time.Time{}
		seatOf := map[units.Instance]int{}
		var off units.Offset
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 90).Draw(rt, "minutes")) * time.Minute)
			id := units.Instance{VM: units.VMID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "vm")), Incarnation: 1}
			rec := limit.SeatRecord{Op: limit.SeatClaim, Instance: id, Seat: rapid.IntRange(0, 2).Draw(rt, "seat")}
			if rapid.IntRange(0, 9).Draw(rt, "release") == 0 {
				rec.Op = limit.SeatRelease
				delete(expiry, id)
			}
			se.Read(off, at, rec)
			off++
			if num, ok := se.Holder(id, 0); ok && rec.Op == limit.SeatClaim && num == rec.Seat {
				expiry[id] = at.Add(limit.SeatTTL)
				seatOf[id] = num
			}
			used := map[int]units.Instance{}
			for who, until := range expiry {
				num, ok := se.Holder(who, 0)
				if !ok || !at.Before(until) {
					continue
				}
				if other, dup := used[num]; dup {
					rt.Fatalf("seat %d has two holders: %s and %s", num, who.VM, other.VM)
				}
				used[num] = who
			}
		}
	})
}

func TestSeatIsFreed(t *testing.T) {
	gm := gomega.NewWithT(t)
	at := time.Unix(0, 0)
	se := limit.NewSeats()
	one := units.Instance{VM: "node-1", Incarnation: 1}
	two := units.Instance{VM: "node-2", Incarnation: 1}
	se.Read(0, at, limit.SeatRecord{Op: limit.SeatClaim, Instance: one, ProcessIncarnation: 1})
	se.Read(1, at, limit.SeatRecord{Op: limit.SeatClaim, Instance: two, ProcessIncarnation: 1})
	_, held := se.Holder(two, 1)
	gm.Expect(held).To(gomega.BeFalse(), "the seat is taken")
	num, ok := se.Pick("node-1", 1, 0, at)
	gm.Expect(ok && num == 0).To(gomega.BeTrue(), "a restarted process takes its VM's own seat")
	se.Read(2, at, limit.SeatRecord{Op: limit.SeatClaim, Instance: one, ProcessIncarnation: 2})
	_, held = se.Holder(one, 2)
	gm.Expect(held).To(gomega.BeTrue())
	se.Read(3, at, limit.SeatRecord{Op: limit.SeatGone, Instance: one})
	se.Read(4, at, limit.SeatRecord{Op: limit.SeatClaim, Instance: two, ProcessIncarnation: 1})
	_, held = se.Holder(two, 1)
	gm.Expect(held).To(gomega.BeTrue(), "the first VM is gone from the VM list")
}
