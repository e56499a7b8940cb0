// Package drain decides what becomes of the requests on VMs that are being reclaimed: finish
// in place, move the KV cache to another engine, or resume elsewhere from the prompt and the
// tokens generated so far.
//
// It does no I/O and reads no clock.
package drain

import (
	"sort"
	"time"

	"lycheepick/internal/rule/units"
)

// Action is what becomes of a request.
type Action int

// The actions.
const (
	// Finish leaves the request where it is; it ends before the deadline.
	Finish Action = iota
	// Move copies its KV cache to the destination and continues there.
	Move
	// Resume computes the prompt and the generated tokens again at the destination.
	Resume
)

var actionNames = [...]string{"finish", "move", "resume"}

// String returns the action as lower-case text, such as "finish".
func (ac Action) String() string { return actionNames[ac] }

// Running is one request on a VM that is being reclaimed.
type Running struct {
	Request units.RequestID
	VM      units.VMID
	// Context is the number of prompt tokens and of tokens generated so far.
	Context units.Tokens
	// Remaining is the number of tokens that the request may still generate.
	Remaining units.Tokens
	// Cached is the number of tokens of the context that each destination already has cached.
	Cached map[units.VMID]units.Tokens
}

// Source is a VM that is being reclaimed.
type Source struct {
	VM       units.VMID
	Deadline time.Time
	// Step is the time of one decode step.
	Step time.Duration
	// Bandwidth is the rate at which the VM can export KV caches.
	Bandwidth units.BytesPerSecond
	// TokenSize is the size of one token's KV cache.
	TokenSize units.Bytes
}

// Destination is an engine that can take over requests.
type Destination struct {
	VM   units.VMID
	Zone units.ZoneID
	// FreeSlots is the number of requests that can start there at once.
	FreeSlots int
	// Outstanding is the number of requests running and queued there.
	Outstanding int
}

// Decision is what becomes of one request.
type Decision struct {
	Request units.RequestID
	Action  Action
	// To is the destination; empty for Finish, or if there is none.
	To units.VMID
	// Rank orders the moves of one source, from 0.
	Rank int
	// Recomputed is the number of tokens expected to be computed again.
	Recomputed units.Tokens
}

// Margin is kept free before the deadline, for the last response to reach the caller.
const Margin = 500 * time.Millisecond

// Plan decides for all requests of one reclaim wave together, so that they are spread over the
// destinations, which must be outside the wave.
func Plan(now time.Time, sources []Source, requests []Running, dests []Destination) []Decision {
	pl := planner{now: now, sources: map[units.VMID]Source{}, dests: append([]Destination(nil), dests...)}
	for _, so := range sources {
		pl.sources[so.VM] = so
	}
	out := make([]Decision, 0, len(requests))
	var rest []Running
	for _, ru := range requests {
		if pl.finishesInTime(&ru) {
			out = append(out, Decision{Request: ru.Request, Action: Finish})
			continue
		}
		rest = append(rest, ru)
	}
	return append(out, pl.assign(rest)...)
}

type planner struct {
	now     time.Time
	sources map[units.VMID]Source
	dests   []Destination
}

func (pl *planner) timeLeft(vm units.VMID) time.Duration {
	return pl.sources[vm].Deadline.Sub(pl.now) - Margin
}

func (pl *planner) finishesInTime(ru *Running) bool {
	return time.Duration(ru.Remaining)*pl.sources[ru.VM].Step <= pl.timeLeft(ru.VM)
}

// candidate is a request with the destination assigned to it.
type candidate struct {
	ru          Running
	dest        *Destination
	savedTokens units.Tokens // Tokens that a move saves compared to a resume.
	size        units.Bytes
}

// assign gives each request a destination, largest context first, and then uses each source's
// bandwidth for the moves that save most.
func (pl *planner) assign(rest []Running) []Decision {
	sort.SliceStable(rest, func(one, two int) bool { return rest[one].Context > rest[two].Context })
	bySource := map[units.VMID][]candidate{}
	var order []units.VMID
	for _, ru := range rest {
		if _, seen := bySource[ru.VM]; !seen {
			order = append(order, ru.VM)
		}
		bySource[ru.VM] = append(bySource[ru.VM], pl.newCandidate(ru))
	}
	var out []Decision
	for _, vm := range order {
		out = append(out, pl.planMoves(vm, bySource[vm])...)
	}
	return out
}

func (pl *planner) newCandidate(ru Running) candidate {
	ca := candidate{ru: ru, dest: pl.destination(&ru)}
	if ca.dest == nil {
		return ca
	}
	ca.dest.FreeSlots--
	ca.dest.Outstanding++
	ca.savedTokens = ru.Context - ru.Cached[ca.dest.VM]
	ca.size = units.Bytes(ru.Context) * pl.sources[ru.VM].TokenSize
	return ca
}

// destination picks, among the destinations with a free slot, the one with most of the context
// cached, then the one with the fewest outstanding requests. Without free slots it picks among
// all.
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
	if (one.FreeSlots > 0) != (two.FreeSlots > 0) {
		return one.FreeSlots > 0
	}
	if have, other := ru.Cached[one.VM], ru.Cached[two.VM]; have != other {
		return have > other
	}
	return one.Outstanding < two.Outstanding
}

// planMoves selects the moves of one source that fit its bandwidth until the deadline.
func (pl *planner) planMoves(vm units.VMID, list []candidate) []Decision {
	so := pl.sources[vm]
	budget := units.Bytes(float64(so.Bandwidth) * max(0, pl.timeLeft(vm).Seconds()))
	chosen := selectMoves(list, budget)
	out := make([]Decision, 0, len(list))
	rank := 0
	for _, idx := range byDensity(list) {
		ca := list[idx]
		de := Decision{Request: ca.ru.Request, Action: Resume, Recomputed: ca.savedTokens}
		if ca.dest != nil {
			de.To = ca.dest.VM
		}
		if chosen[idx] {
			de.Action = Move
			de.Rank = rank
			de.Recomputed = 0
			rank++
		}
		out = append(out, de)
	}
	return out
}

// selectMoves solves the knapsack by two greedy passes, by saved tokens per byte and by saved
// tokens, and keeps the better result. It saves at least half of what the optimum saves, and
// mostly as much.
func selectMoves(list []candidate, budget units.Bytes) []bool {
	dense, saved := selectGreedily(list, byDensity(list), budget)
	large, other := selectGreedily(list, bySavedTokens(list), budget)
	if other > saved {
		return large
	}
	return dense
}

func selectGreedily(list []candidate, order []int, budget units.Bytes) (chosen []bool, saved units.Tokens) {
	chosen = make([]bool, len(list))
	for _, idx := range order {
		ca := &list[idx]
		if ca.dest == nil || ca.savedTokens <= 0 || ca.size > budget {
			continue
		}
		budget -= ca.size
		chosen[idx] = true
		saved += ca.savedTokens
	}
	return chosen, saved
}

func byDensity(list []candidate) []int {
	return sortedIndexes(list, func(one, two *candidate) bool {
		// Cross-multiplied, so that a size of 0 needs no case of its own.
		return float64(one.savedTokens)*float64(two.size) > float64(two.savedTokens)*float64(one.size)
	})
}

func bySavedTokens(list []candidate) []int {
	return sortedIndexes(list, func(one, two *candidate) bool { return one.savedTokens > two.savedTokens })
}

func sortedIndexes(list []candidate, less func(one, two *candidate) bool) []int {
	out := make([]int, len(list))
	for idx := range out {
		out[idx] = idx
	}
	sort.SliceStable(out, func(one, two int) bool { return less(&list[out[one]], &list[out[two]]) })
	return out
}
