package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"lycheepick/internal/rule/limit"
)

const limitsUsage = `measure limits lets a row that is offered twice its limit arrive unevenly at the nodes.

usage: measure limits [--seed N]

It compares the loans between nodes with a static share for each node.
`

type limitsCmd struct {
	Seed uint64 `arg:"--seed" default:"1"`
}

func (*limitsCmd) Usage() string { return limitsUsage }

// arrivals is how a row's requests are spread over the nodes.
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
			static, _, _ := lc.play(nodes, ar, false)
			loans, sum, messages := lc.play(nodes, ar, true)
			_, _ = fmt.Fprintf(out, "| %d | %s | %.1f%% | %.1f%% | %.4f | %.2f |\n", nodes, ar.name, static*100, loans*100, sum, messages)
		}
	}
	return ctx.Err()
}

const (
	limitPerNode = 20.0 // The limit, in units a second, for each node.
	limitStep    = 5 * time.Millisecond
	limitWarm    = 5 * time.Second
	limitFor     = 10 * time.Second
	limitRound   = 200 * time.Millisecond
)

// lenders is a fleet whose questions are answered at once.
type lenders struct {
	shares   []*limit.Share
	now      time.Time
	rnd      *rand.Rand
	messages int
	of       map[string]int
}

func (lc *limitsCmd) play(nodes int, ar arrivals, loans bool) (usable, high, messages float64) {
	le := &lenders{now: time.Unix(0, 0), rnd: rand.New(rand.NewPCG(lc.Seed, 5)), of: map[string]int{}}
	total := limitPerNode * float64(nodes)
	for num := range nodes {
		le.shares = append(le.shares, limit.NewShare(limitPerNode, 1, le.now))
		le.of[fmt.Sprint(num)] = num
	}
	admitted := 0
	for at := time.Duration(0); at < limitWarm+limitFor; at += limitStep {
		le.now = le.now.Add(limitStep)
		for num, sh := range le.shares {
			if le.rnd.Float64() < 2*total*ar.share(num, nodes)*limitStep.Seconds() {
				if ok, _ := sh.Take(le.now, 1); ok && at >= limitWarm {
					admitted++
				}
			}
			if loans && at%limitRound == 0 {
				le.round(num)
			}
		}
		if loans && at%limitRound == 0 {
			high = max(high, le.sum()/total)
		}
	}
	seconds := (limitWarm + limitFor).Seconds()
	return float64(admitted) / (total * limitFor.Seconds()), high, 2 * float64(le.messages) / seconds / float64(nodes)
}

// round renews a node's loans and asks for new ones.
func (le *lenders) round(num int) {
	sh := le.shares[num]
	for _, lo := range sh.DueLoans(le.now) {
		le.messages++
		if le.shares[le.of[lo.Lender]].Renew(le.now, lo.ID) {
			sh.Renewed(le.now, le.now, lo)
		}
	}
	for range limit.AsksPerRound {
		other := le.rnd.IntN(len(le.shares))
		want := sh.Shortfall(le.now)
		if want <= 0 || other == num {
			continue
		}
		le.messages++
		id, amount := le.shares[other].Lend(le.now, want)
		sh.Borrowed(le.now, le.now, limit.Loan{ID: id, Amount: amount, Lender: fmt.Sprint(other)})
	}
}

func (le *lenders) sum() float64 {
	total := 0.0
	for _, sh := range le.shares {
		total += sh.Rate(le.now)
	}
	return total
}
