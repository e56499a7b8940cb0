package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"lycheepick/internal/rule/retry"
)

const retryUsage = `measure retry sends requests to servers of which some fail.

usage: measure retry [--seed N]

It compares budgets and ejection with three fixed retries.
`

type retryCmd struct {
	Seed uint64 `arg:"--seed" default:"1"`
}

func (*retryCmd) Usage() string { return retryUsage }

// outage is how the servers fail.
type outage struct {
	name string
	dead int     // Servers that answer nothing.
	rate float64 // Share of requests that fail at the others.
}

const (
	retryServers = 9
	retryFirsts  = 50000
	retryEvery   = 10 * time.Millisecond
	retryMost    = 3
)

func (rc *retryCmd) Run(ctx context.Context, out io.Writer) error {
	_, _ = fmt.Fprintln(out, "| servers fail | retries | attempts a request | requests that failed | lost to a dead server, each |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|")
	for _, ou := range []outage{{"1 of 9 is dead", 1, 0}, {"3 of 9 are dead", 3, 0}, {"every tenth request", 0, 0.1}, {"all are dead", retryServers, 0}} {
		for _, budget := range []bool{false, true} {
			name := "3 fixed"
			if budget {
				name = "budget, ejection"
			}
			attempts, failed, lost := rc.play(ou, budget)
			_, _ = fmt.Fprintf(out, "| %s | %s | %.3f | %.2f%% | %.0f |\n", ou.name, name, attempts, failed*100, lost)
		}
	}
	return ctx.Err()
}

func (rc *retryCmd) play(ou outage, budget bool) (attempts, failed, lost float64) {
	rnd := rand.New(rand.NewPCG(rc.Seed, 9))
	bu := retry.NewBudget(retry.DefaultShare, retry.DefaultReserve)
	health := make([]retry.Health, retryServers)
	now := time.Unix(0, 0)
	total, bad, dead := 0, 0, 0
	for range retryFirsts {
		now = now.Add(retryEvery)
		bu.RecordFirst()
		ok := false
		for try := 0; try <= retryMost && !ok; try++ {
			if try > 0 && budget && !bu.Spend() {
				break
			}
			server := pickServer(rnd, health, budget)
			total++
			ok = server >= ou.dead && rnd.Float64() >= ou.rate
			if server < ou.dead {
				dead++
			}
			if ok {
				health[server].Succeeded()
			} else {
				health[server].Failed(now)
			}
		}
		if !ok {
			bad++
		}
		for num := range health { // Probes find a dead server dead.
			health[num].Probed(now, num >= ou.dead)
		}
	}
	return float64(total) / retryFirsts, float64(bad) / retryFirsts, float64(dead) / float64(max(1, ou.dead))
}

func pickServer(rnd *rand.Rand, health []retry.Health, budget bool) int {
	start := rnd.IntN(len(health))
	for step := range health {
		num := (start + step) % len(health)
		if !budget || health[num].Usable() {
			return num
		}
	}
	return start
}
