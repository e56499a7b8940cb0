package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"lycheepick/internal/rule/limit"
)

const limitsUsage = `measure limits simulates a row that is offered twice its limit, evenly and unevenly
spread over the nodes.

usage: measure limits [--seed N]

It compares loans between nodes with a static share for each node.
`

type limitsCmd struct {
	Seed uint64 `arg:"--seed" default:"1"`
}

func (*limitsCmd) Usage() string { return limitsUsage }

// arrivals is a distribution of a row's requests over the nodes.
type arrivals struct {
	name  string
	share func(node, nodes int) float64
}

func (lc *limitsCmd) Run(ctx context.Context, out io.Writer) error {
	_, _ = fmt.Fprintln(out, "| nodes | arrivals | static share | with loans | greatest sum of allowance, of the limit | messages a second a node |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|---|")
	for _, nodes := range []int{8, 90, 360} {
		for _, ar := range []arrivals{
			{"even", func(_, nodes int) float64 { return 1 / float64(nodes) }},
			{"65% at an eighth of the nodes", func(node, nodes int) float64 {
				hot := max(1, nodes/8)
				if node < hot {
					return 0.65 / float64(hot)
				}
				return 0.35 / float64(nodes-hot)
			}},
		} {
			static, _, _ := lc.simulate(nodes, ar, false)
			loans, sum, messages := lc.simulate(nodes, ar, true)
			_, _ = fmt.Fprintf(out, "| %d | %s | %.1f%% | %.1f%% | %.4f | %.2f |\n", nodes, ar.name, static*100, loans*100, sum, messages)
		}
	}
	return ctx.Err()
}

const (
	limitPerNode       = 20.0 // Limit divided by the number of nodes, in units per second.
	limitStep          = 5 * time.Millisecond
	limitWarmUp        = 5 * time.Second
	limitDuration      = 10 * time.Second
	limitRoundInterval = 200 * time.Millisecond
)

// loanFleet is a fleet in which requests for loans are answered without delay.
type loanFleet struct {
	shares      []*limit.Share
	now         time.Time
	rnd         *rand.Rand
	messages    int
	indexByNode map[string]int
}

func (lc *limitsCmd) simulate(nodes int, ar arrivals, loans bool) (usable, maxSum, messages float64) {
	lf := &loanFleet{now: time.Unix(0, 0), rnd: rand.New(rand.NewPCG(lc.Seed, 5)), indexByNode: map[string]int{}}
	total := limitPerNode * float64(nodes)
	for num := range nodes {
		lf.shares = append(lf.shares, limit.NewShare(limitPerNode, 1, lf.now))
		lf.indexByNode[fmt.Sprint(num)] = num
	}
	admitted := 0
	for at := time.Duration(0); at < limitWarmUp+limitDuration; at += limitStep {
		lf.now = lf.now.Add(limitStep)
		for num, sh := range lf.shares {
			if lf.rnd.Float64() < 2*total*ar.share(num, nodes)*limitStep.Seconds() {
				if ok, _ := sh.Take(lf.now, 1); ok && at >= limitWarmUp {
					admitted++
				}
			}
			if loans && at%limitRoundInterval == 0 {
				lf.exchangeLoans(num)
			}
		}
		if loans && at%limitRoundInterval == 0 {
			maxSum = max(maxSum, lf.totalRate()/total)
		}
	}
	seconds := (limitWarmUp + limitDuration).Seconds()
	return float64(admitted) / (total * limitDuration.Seconds()), maxSum, 2 * float64(lf.messages) / seconds / float64(nodes)
}

// exchangeLoans renews the loans of node num and asks other nodes for new ones.
func (lf *loanFleet) exchangeLoans(num int) {
	sh := lf.shares[num]
	for _, lo := range sh.DueLoans(lf.now) {
		lf.messages++
		if lf.shares[lf.indexByNode[lo.Lender]].Renew(lf.now, lo.ID) {
			sh.Renewed(lf.now, lf.now, lo)
		}
	}
	for range limit.AsksPerRound {
		other := lf.rnd.IntN(len(lf.shares))
		want := sh.Shortfall(lf.now)
		if want <= 0 || other == num {
			continue
		}
		lf.messages++
		id, amount := lf.shares[other].Lend(lf.now, want)
		sh.Borrowed(lf.now, lf.now, limit.Loan{ID: id, Amount: amount, Lender: fmt.Sprint(other)})
	}
}

// totalRate returns the sum of the rates that all nodes may use at present.
func (lf *loanFleet) totalRate() float64 {
	total := 0.0
	for _, sh := range lf.shares {
		total += sh.Rate(lf.now)
	}
	return total
}
