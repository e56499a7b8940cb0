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

// fleet is a set of nodes that borrow from each other over a network that loses and
// delays, while nodes pause and die.
type fleet struct {
	shares []*limit.Share
	dead   []bool
	seated []time.Time // When a restarted node may use its seat.
	now    time.Time
	// hasty makes restarted nodes use their seat at once.
	hasty bool
	// naive makes lenders give without giving up, as a steward that died and its
	// successor would.
	naive bool
}

// answer is one that is under way.
type answer struct {
	to    int
	asked time.Time
	loan  limit.Loan
	renew bool
}

func newFleet(count int, limitRate float64) *fleet {
	fl := &fleet{now: time.Unix(0, 0), dead: make([]bool, count), seated: make([]time.Time, count)}
	for range count {
		fl.shares = append(fl.shares, limit.NewShare(limitRate/float64(count), 1, fl.now))
	}
	return fl
}

// restart replaces a node's process, which forgets whom it lent to.
func (fl *fleet) restart(node int) {
	fl.shares[node] = limit.NewShare(0, 1, fl.now)
	fl.dead[node] = false
	fl.seated[node] = fl.now.Add(limit.LoanTime)
	if fl.hasty {
		fl.seated[node] = fl.now
	}
}

// seat gives restarted nodes their part back in time.
func (fl *fleet) seat() {
	for idx, at := range fl.seated {
		if !at.IsZero() && !fl.now.Before(at) {
			fl.shares[idx].SetBase(total/float64(len(fl.shares)), fl.now)
			fl.seated[idx] = time.Time{}
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
	if fl.naive {
		return limit.Loan{Amount: ask / 2}
	}
	id, amount := fl.shares[from].Lend(fl.now, ask)
	return limit.Loan{ID: id, Amount: amount, Lender: fmt.Sprint(from)}
}

// renew asks the lenders of a node's loans for more time.
func (fl *fleet) renew(node int) (out []answer) {
	for _, lo := range fl.shares[node].Due(fl.now) {
		var from int
		if _, err := fmt.Sscan(lo.Lender, &from); err == nil && !fl.dead[from] && fl.shares[from].Renew(fl.now, lo.ID) {
			out = append(out, answer{to: node, asked: fl.now, loan: lo, renew: true})
		}
	}
	return out
}

func (fl *fleet) arrive(an answer) {
	if an.renew {
		fl.shares[an.to].Renewed(an.asked, fl.now, an.loan)
		return
	}
	fl.shares[an.to].Borrowed(an.asked, fl.now, an.loan)
}

// schedule runs random demand, loans, losses, delays, pauses and deaths, and returns
// the greatest sum of allowance seen.
func schedule(rt *rapid.T, fl *fleet) float64 {
	count := len(fl.shares)
	node := rapid.IntRange(0, count-1)
	var way []answer
	high := 0.0
	steps := rapid.IntRange(10, 100).Draw(rt, "steps")
	for range steps {
		fl.now = fl.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
		fl.seat()
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
			asks := append(fl.renew(one), answer{to: one, asked: fl.now, loan: fl.lend(two, rapid.Float64Range(0, 60).Draw(rt, "ask"))})
			for _, an := range asks {
				if !rapid.Bool().Draw(rt, "lost") {
					way = append(way, an)
				}
			}
		case 4: // An answer arrives, however late, perhaps after a pause of its asker.
			for _, an := range way {
				fl.arrive(an)
			}
			way = nil
		case 5:
			switch rapid.IntRange(0, 5).Draw(rt, "fate") {
			case 0:
				fl.dead[one] = true
			case 1:
				fl.restart(one)
			}
		}
		fl.seat()
		high = max(high, fl.sum())
	}
	return high
}

const total = 100.0

func TestSumNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(2, 8).Draw(rt, "nodes")
		if high := schedule(rt, newFleet(count, total)); high > total*(1+1e-9) {
			rt.Fatalf("the sum of allowance reached %v of %v", high, total)
		}
	})
}

func TestWithoutTheRulesTheSumExceedsIt(t *testing.T) {
	for name, spoil := range map[string]func(*fleet){
		"lenders that keep what they lend":    func(fl *fleet) { fl.naive = true },
		"restarted nodes that use their seat": func(fl *fleet) { fl.hasty = true },
	} {
		high := 0.0
		rapid.Check(t, func(rt *rapid.T) {
			fl := newFleet(4, total)
			spoil(fl)
			high = max(high, schedule(rt, fl))
		})
		if high <= total*(1+1e-9) {
			t.Errorf("%s: the schedules never went over the limit: %v", name, high)
		}
	}
}

// usable runs skewed arrivals for a while and returns the share of the limit that was
// admitted, with and without loans.
func usable(nodes int, skew []float64, borrow bool) float64 {
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
			for _, an := range fl.renew(idx) {
				fl.arrive(an)
			}
			for range limit.AsksAtOnce {
				other := rnd.IntN(nodes)
				if want := sh.Wants(fl.now); want > 0 && other != idx {
					fl.arrive(answer{to: idx, asked: fl.now, loan: fl.lend(other, want)})
				}
			}
		}
	}
	return float64(admitted) / (total * run.Seconds())
}

func TestSkewedArrivalsCanUseTheLimit(t *testing.T) {
	gm := gomega.NewWithT(t)
	skew := []float64{0.65, 0.2, 0.05, 0.05, 0.02, 0.01, 0.01, 0.01}
	gm.Expect(usable(8, skew, false)).To(gomega.BeNumerically("<", 0.6), "a static share for each node")
	gm.Expect(usable(8, skew, true)).To(gomega.BeNumerically(">=", 0.95))
}

func TestSeatsHaveOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		se := limit.NewSeats()
		at := time.Unix(0, 0)
		// lapse is when a process stops using its seat by its own account.
		lapse := map[units.Instance]time.Time{}
		seatOf := map[units.Instance]int{}
		var off units.Offset
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 90).Draw(rt, "minutes")) * time.Minute)
			id := units.Instance{VM: units.VMID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "vm")), Incarnation: 1}
			rec := limit.SeatRecord{Op: limit.SeatClaim, Instance: id, Seat: rapid.IntRange(0, 2).Draw(rt, "seat")}
			if rapid.IntRange(0, 9).Draw(rt, "release") == 0 {
				rec.Op = limit.SeatRelease
				delete(lapse, id)
			}
			se.Read(off, at, rec)
			off++
			if num, ok := se.Holder(id, 0); ok && rec.Op == limit.SeatClaim && num == rec.Seat {
				lapse[id] = at.Add(limit.SeatTime)
				seatOf[id] = num
			}
			used := map[int]units.Instance{}
			for who, until := range lapse {
				num, ok := se.Holder(who, 0)
				if !ok || !at.Before(until) {
					continue
				}
				if other, dup := used[num]; dup {
					rt.Fatalf("seat %d has two holders, %s and %s", num, who.VM, other.VM)
				}
				used[num] = who
			}
		}
	})
}

func TestSeatComesBack(t *testing.T) {
	gm := gomega.NewWithT(t)
	at := time.Unix(0, 0)
	se := limit.NewSeats()
	one := units.Instance{VM: "node-1", Incarnation: 1}
	two := units.Instance{VM: "node-2", Incarnation: 1}
	se.Read(0, at, limit.SeatRecord{Op: limit.SeatClaim, Instance: one, Life: 1})
	se.Read(1, at, limit.SeatRecord{Op: limit.SeatClaim, Instance: two, Life: 1})
	_, held := se.Holder(two, 1)
	gm.Expect(held).To(gomega.BeFalse(), "the seat is taken")
	num, ok := se.Pick("node-1", 1, 0, at)
	gm.Expect(ok && num == 0).To(gomega.BeTrue(), "a restarted process takes its VM's own seat")
	se.Read(2, at, limit.SeatRecord{Op: limit.SeatClaim, Instance: one, Life: 2})
	_, held = se.Holder(one, 2)
	gm.Expect(held).To(gomega.BeTrue())
	se.Read(3, at, limit.SeatRecord{Op: limit.SeatGone, Instance: one})
	se.Read(4, at, limit.SeatRecord{Op: limit.SeatClaim, Instance: two, Life: 1})
	_, held = se.Holder(two, 1)
	gm.Expect(held).To(gomega.BeTrue(), "the VM list said that the first VM is gone")
}
