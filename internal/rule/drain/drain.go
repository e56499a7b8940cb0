// Package drain decides what becomes of the requests on VMs that are reclaimed: finish
// in place, move the KV cache to another engine, or resume elsewhere from the prompt
// and the tokens sent so far.
//
// It does no I/O and reads no clock.
package drain

import (
	"sort"
	"time"

	"lycheepick/internal/rule/units"
)

// Action tells what becomes of a request.
type Action int

// The actions.
const (
	// Finish leaves the request where it is; it ends before the deadline.
	Finish Action = iota
	// Move copies its KV cache to the destination and goes on there.
	Move
	// Resume computes prompt and tokens again at the destination.
	Resume
)

var actionNames = [...]string{"finish", "move", "resume"}

// String returns the action in snake case.
func (ac Action) String() string { return actionNames[ac] }

// Running is one request on a VM under reclaim.
type Running struct {
	Request units.RequestID
	VM      units.VMID
	// Context counts prompt tokens and tokens generated so far.
	Context units.Tokens
	// Left is the number of tokens that the request may still generate.
	Left units.Tokens
	// Cached returns how many tokens of the context a destination holds already.
	Cached map[units.VMID]units.Tokens
}

// Source is a VM under reclaim.
type Source struct {
	VM       units.VMID
	Deadline time.Time
	// Step is the time of one decode step.
	Step time.Duration
	// Bandwidth is what the VM can export.
	Bandwidth units.BytesPerSecond
	// PerToken is the size of one token's KV cache.
	PerToken units.Bytes
}

// Destination is an engine that can take requests.
type Destination struct {
	VM   units.VMID
	Zone units.ZoneID
	// Free counts the requests that it can take on.
	Free int
	// Waiting counts the requests running and queued there.
	Waiting int
}

// Decision is what becomes of one request.
type Decision struct {
	Request units.RequestID
	Action  Action
	// To is the destination; empty for Finish, or if there is none.
	To units.VMID
	// Rank orders the moves of one source, from 0.
	Rank int
	// Expected is the number of tokens that have to be computed again.
	Expected units.Tokens
}

// Margin is kept free before the deadline, for the last answer to reach the caller.
const Margin = 500 * time.Millisecond

// Plan decides for all requests of one wave at once, so that destinations are spread.
// The destinations must lie outside the wave.
func Plan(now time.Time, sources []Source, requests []Running, dests []Destination) []Decision {
	pl := planner{now: now, sources: map[units.VMID]Source{}, dests: append([]Destination(nil), dests...)}
	for _, so := range sources {
		pl.sources[so.VM] = so
	}
	out := make([]Decision, 0, len(requests))
	var rest []Running
	for _, ru := range requests {
		if pl.finishes(&ru) {
			out = append(out, Decision{Request: ru.Request, Action: Finish})
			continue
		}
		rest = append(rest, ru)
	}
	return append(out, pl.place(rest)...)
}

type planner struct {
	now     time.Time
	sources map[units.VMID]Source
	dests   []Destination
}

func (pl *planner) time(vm units.VMID) time.Duration {
	return pl.sources[vm].Deadline.Sub(pl.now) - Margin
}

func (pl *planner) finishes(ru *Running) bool {
	return time.Duration(ru.Left)*pl.sources[ru.VM].Step <= pl.time(ru.VM)
}

// option is a request with the destination picked for it.
type option struct {
	ru   Running
	dest *Destination
	save units.Tokens // Tokens that a move saves over a resume.
	size units.Bytes
}

// place gives each request a destination, largest context first, and then spends each
// source's bandwidth on the moves that save most.
func (pl *planner) place(rest []Running) []Decision {
	sort.SliceStable(rest, func(one, two int) bool { return rest[one].Context > rest[two].Context })
	bySource := map[units.VMID][]option{}
	var order []units.VMID
	for _, ru := range rest {
		if _, seen := bySource[ru.VM]; !seen {
			order = append(order, ru.VM)
		}
		bySource[ru.VM] = append(bySource[ru.VM], pl.option(ru))
	}
	var out []Decision
	for _, vm := range order {
		out = append(out, pl.spend(vm, bySource[vm])...)
	}
	return out
}

func (pl *planner) option(ru Running) option {
	op := option{ru: ru, dest: pl.destination(&ru)}
	if op.dest == nil {
		return op
	}
	op.dest.Free--
	op.dest.Waiting++
	op.save = ru.Context - ru.Cached[op.dest.VM]
	op.size = units.Bytes(ru.Context) * pl.sources[ru.VM].PerToken
	return op
}

// destination picks the one that holds most of the context among those with a free
// place, then the one with the least waiting. Without free places it is the least loaded.
func (pl *planner) destination(ru *Running) *Destination {
	var best *Destination
	for idx := range pl.dests {
		de := &pl.dests[idx]
		if best == nil || better(de, best, ru) {
			best = de
		}
	}
	return best
}

func better(one, two *Destination, ru *Running) bool {
	if (one.Free > 0) != (two.Free > 0) {
		return one.Free > 0
	}
	if have, other := ru.Cached[one.VM], ru.Cached[two.VM]; have != other {
		return have > other
	}
	return one.Waiting < two.Waiting
}

// spend picks the moves of one source under its bandwidth until the deadline.
func (pl *planner) spend(vm units.VMID, list []option) []Decision {
	so := pl.sources[vm]
	budget := units.Bytes(float64(so.Bandwidth) * max(0, pl.time(vm).Seconds()))
	chosen := choose(list, budget)
	out := make([]Decision, 0, len(list))
	rank := 0
	for _, idx := range byDensity(list) {
		op := list[idx]
		de := Decision{Request: op.ru.Request, Action: Resume, Expected: op.save}
		if op.dest != nil {
			de.To = op.dest.VM
		}
		if chosen[idx] {
			de.Action = Move
			de.Rank = rank
			de.Expected = 0
			rank++
		}
		out = append(out, de)
	}
	return out
}

// choose solves the knapsack by two greedy passes, by density and by size, and keeps
// the better result; it is within half of the optimum and mostly equal to it.
func choose(list []option, budget units.Bytes) []bool {
	dense, saved := fill(list, byDensity(list), budget)
	large, other := fill(list, bySaving(list), budget)
	if other > saved {
		return large
	}
	return dense
}

func fill(list []option, order []int, budget units.Bytes) (chosen []bool, saved units.Tokens) {
	chosen = make([]bool, len(list))
	for _, idx := range order {
		op := &list[idx]
		if op.dest == nil || op.save <= 0 || op.size > budget {
			continue
		}
		budget -= op.size
		chosen[idx] = true
		saved += op.save
	}
	return chosen, saved
}

func byDensity(list []option) []int {
	return sortedIndex(list, func(one, two *option) bool {
		// Cross-multiplied, so that a size of 0 needs no case of its own.
		return float64(one.save)*float64(two.size) > float64(two.save)*float64(one.size)
	})
}

func bySaving(list []option) []int {
	return sortedIndex(list, func(one, two *option) bool { return one.save > two.save })
}

func sortedIndex(list []option, less func(one, two *option) bool) []int {
	out := make([]int, len(list))
	for idx := range out {
		out[idx] = idx
	}
	sort.SliceStable(out, func(one, two int) bool { return less(&list[out[one]], &list[out[two]]) })
	return out
}
