package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"lycheepick/internal/rule/drain"
	"lycheepick/internal/rule/units"
)

const drainUsage = `measure drain simulates reclaims of engines with requests in progress and counts the
tokens that have to be recomputed.

usage: measure drain [--seed N]

It compares the drain plan with restarting all requests, with restarting only those that
do not finish in time, and, as the cases are small, with the optimum.
`

type drainCmd struct {
	Seed uint64 `arg:"--seed" default:"1"`
}

func (*drainCmd) Usage() string { return drainUsage }

// reclaimCase is a reclaim scenario. contextTokens and tokensLeft are means over requests.
type reclaimCase struct {
	name          string
	requests      int
	notice        time.Duration
	bandwidth     units.BytesPerSecond
	contextTokens int
	tokensLeft    int
}

const (
	drainRuns            = 500
	drainKVBytesPerToken = 128 << 10
)

func (dc *drainCmd) Run(ctx context.Context, out io.Writer) error {
	_, _ = fmt.Fprintln(out, "| reclaim | requests | restart all | restart what does not finish | plan | of restart all | optimum |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
	for _, rc := range []reclaimCase{
		{"Bluebonnet, 30 s of notice", 10, 30 * time.Second, 1 << 30, 2500, 300},
		{"Bluebonnet, 2 s of notice", 10, 2 * time.Second, 1 << 30, 2500, 300},
		{"Association, 30 s of notice", 12, 30 * time.Second, 1 << 30, 6000, 2000},
		{"Association, 5 s of notice", 12, 5 * time.Second, 1 << 30, 6000, 2000},
		{"Association, 5 s, export at 64 MB/s", 12, 5 * time.Second, 64 << 20, 6000, 2000},
	} {
		dc.measureCase(out, &rc)
	}
	return ctx.Err()
}

func (dc *drainCmd) measureCase(out io.Writer, rc *reclaimCase) {
	rnd := rand.New(rand.NewPCG(dc.Seed, 13))
	var all, unfinished, plan, optimal units.Tokens
	for range drainRuns {
		so, running := randomRequests(rnd, rc)
		now := time.Unix(0, 0)
		all += drain.RestartAll(running)
		for _, ru := range running {
			if time.Duration(ru.Remaining)*so.Step > so.Deadline.Sub(now)-drain.Margin {
				unfinished += ru.Context
			}
		}
		for _, de := range drain.Plan(now, []drain.Source{so}, running, []drain.Destination{{VM: "a", FreeSlots: 8}, {VM: "b", FreeSlots: 8}}) {
			plan += de.Recomputed
		}
		optimal += optimum(now, so, running)
	}
	_, _ = fmt.Fprintf(out, "| %s | %d | %d | %d | %d | %.1f%% | %d |\n", rc.name, rc.requests, all/drainRuns, unfinished/drainRuns, plan/drainRuns,
		100*float64(plan)/float64(all), optimal/drainRuns)
}

func randomRequests(rnd *rand.Rand, rc *reclaimCase) (drain.Source, []drain.Running) {
	so := drain.Source{
		VM: "src", Deadline: time.Unix(0, 0).Add(rc.notice), Step: 8 * time.Millisecond,
		Bandwidth: rc.bandwidth, TokenSize: drainKVBytesPerToken,
	}
	var running []drain.Running
	for num := range rc.requests {
		running = append(running, drain.Running{
			Request: units.RequestID(fmt.Sprint(num)), VM: "src",
			Context: units.Tokens(rc.contextTokens/2 + rnd.IntN(rc.contextTokens)), Remaining: units.Tokens(1 + rnd.IntN(2*rc.tokensLeft)),
			Cached: map[units.VMID]units.Tokens{},
		})
	}
	return so, running
}

// optimum returns the tokens to recompute under the best choice of which requests to move.
func optimum(now time.Time, so drain.Source, running []drain.Running) units.Tokens {
	left := so.Deadline.Sub(now) - drain.Margin
	budget := units.Tokens(float64(so.Bandwidth) * left.Seconds() / drainKVBytesPerToken)
	var sizes []units.Tokens
	for _, ru := range running {
		if time.Duration(ru.Remaining)*so.Step > left {
			sizes = append(sizes, ru.Context)
		}
	}
	return drain.Optimum(sizes, budget)
}
