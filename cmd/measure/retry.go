package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"lycheepick/internal/rule/retry"
)

const retryUsage = `measure retry simulates requests to servers of which some fail.

usage: measure retry [--seed N]

It compares retry budgets and ejection with up to three retries of each request.
`

type retryCmd struct {
	Seed uint64 `arg:"--seed" default:"1"`
}

func (*retryCmd) Usage() string { return retryUsage }

// outage is a failure scenario.
type outage struct {
	name      string
	dead      int     // Number of servers that do not answer.
	errorRate float64 // Share of requests that fail at the other servers.
}

const (
	retryServers  = 9
	retryRequests = 50000
	retryInterval = 10 * time.Millisecond
	maxRetries    = 3
)

func (rc *retryCmd) Run(ctx context.Context, out io.Writer) error {
	_, _ = fmt.Fprintln(out, "| servers fail | retries | attempts a request | requests that failed | lost to a dead server, each |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|")
	for _, ou := range []outage{{"1 of 9 is dead", 1, 0}, {"3 of 9 are dead", 3, 0}, {"every tenth request", 0, 0.1}, {"all are dead", retryServers, 0}} {
		for _, budget := range []bool{false, true} {
			policy := "3 fixed"
			if budget {
				policy = "budget, ejection"
			}
			attempts, failed, lost := rc.simulate(ou, budget)
			_, _ = fmt.Fprintf(out, "| %s | %s | %.3f | %.2f%% | %.0f |\n", ou.name, policy, attempts, failed*100, lost)
		}
	}
	return ctx.Err()
}

func (rc *retryCmd) simulate(ou outage, budget bool) (attempts, failed, lost float64) {
	rnd := rand.New(rand.NewPCG(rc.Seed, 9))
	bu := retry.NewBudget(retry.DefaultShare, retry.DefaultReserve)
	health := make([]retry.Health, retryServers)
	now := time.Unix(0, 0)
	totalAttempts, failedRequests, deadAttempts := 0, 0, 0
	for range retryRequests {
		now = now.Add(retryInterval)
		bu.RecordFirst()
		ok := false
		for try := 0; try <= maxRetries && !ok; try++ {
			if try > 0 && budget && !bu.Spend() {
				break
			}
			server := pickServer(rnd, health, budget)
			totalAttempts++
			ok = server >= ou.dead && rnd.Float64() >= ou.errorRate
			if server < ou.dead {
				deadAttempts++
			}
			if ok {
				health[server].Succeeded()
			} else {
				health[server].Failed(now)
			}
		}
		if !ok {
			failedRequests++
		}
		for num := range health { // Probes of dead servers fail.
			health[num].Probed(now, num >= ou.dead)
		}
	}
	return float64(totalAttempts) / retryRequests, float64(failedRequests) / retryRequests, float64(deadAttempts) / float64(max(1, ou.dead))
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
