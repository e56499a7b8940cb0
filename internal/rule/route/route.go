// Package route decides which backend server gets a request.
//
// It does no I/O. A Policy reads an immutable list of replicas with what is known of
// their load, and the time as an argument.
package route

import (
	"time"

	"lycheepick/internal/rule/units"
)

// Load is an engine's load report, as old as At says.
type Load struct {
	Running      int
	Queued       int
	Slots        int
	QueuedTokens units.Tokens
	PrefillRate  units.TokensPerSecond
	// Step is the time of one decode step.
	Step time.Duration
	At   time.Time
}

// Replica is one backend server as the router sees it. The fields are not changed
// after the replica is published; Track and Cache are safe for concurrent use.
type Replica struct {
	units.Instance
	Zone    units.ZoneID
	Address string
	Target  units.TargetID
	Price   units.PricePerHour
	// Usable is false for a server that is leaving or ejected.
	Usable bool
	Load   Load
	Track  *Track
	Cache  *Cache
}

// Ask is what the router needs to know of a request.
type Ask struct {
	// Prefix holds the keys of the prompt's leading blocks, each key covering all
	// blocks up to its own.
	Prefix       []units.PrefixKey
	PromptTokens units.Tokens
	OutputTokens units.Tokens
	// FirstToken and BetweenTokens are the row's targets.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Avoid lists VMs that this request has already failed at.
	Avoid []units.VMID
	// AvoidZones lists zones under reclaim.
	AvoidZones []units.ZoneID
}

// Choice is the router's answer.
type Choice struct {
	Replica *Replica
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Cached is the number of prompt tokens expected in the replica's cache.
	Cached units.Tokens
	// Late is set if no replica is predicted to meet the target.
	Late bool
}

// Policy chooses a replica. ok is false if none is usable.
type Policy interface {
	Choose(now time.Time, ask *Ask, replicas []*Replica) (ch Choice, ok bool)
}

// BlockTokens is the number of tokens that one prefix key adds.
const BlockTokens units.Tokens = 64

// Estimate is the prediction for one replica.
type Estimate struct {
	FirstToken time.Duration
	Cached     units.Tokens
	// Cost is in US dollars.
	Cost float64
	// Waiting is the number of requests running and queued.
	Waiting int
	// Open tells whether a slot is free.
	Open bool
}

const (
	// assumedRate stands in for a replica that has not reported.
	assumedRate units.TokensPerSecond = 4000
	assumedStep                       = 20 * time.Millisecond
	assumedSlot                       = 8
)

// Predict estimates what a request would meet at a replica. Own dispatches since the
// report are added to it, and the queue is taken to drain at the reported rate.
func Predict(now time.Time, ask *Ask, re *Replica) Estimate {
	load := re.Load
	rate, step, slots := load.PrefillRate, load.Step, load.Slots
	if rate <= 0 {
		rate = assumedRate
	}
	if step <= 0 {
		step = assumedStep
	}
	if slots <= 0 {
		slots = assumedSlot
	}
	ownCount, ownTokens := re.Track.Since(load.At)
	cached := min(re.Cache.Match(ask.Prefix), ask.PromptTokens)
	fresh := ask.PromptTokens - cached
	queued := float64(load.QueuedTokens+ownTokens) - now.Sub(load.At).Seconds()*float64(rate)
	queued = max(queued, 0)
	first := seconds((queued+float64(fresh))/float64(rate)) + step
	waiting := load.Running + load.Queued + ownCount
	if over := waiting + 1 - slots; over > 0 {
		// A slot frees each time that one of the batch ends.
		perEnd := step * time.Duration(max(ask.OutputTokens, 1)) / time.Duration(slots)
		first += perEnd * time.Duration(over)
	}
	busy := float64(fresh)/float64(rate) + step.Seconds()*float64(ask.OutputTokens)/float64(slots)
	return Estimate{
		FirstToken: first, Cached: cached, Waiting: waiting, Open: waiting < slots,
		Cost: float64(re.Price) / time.Hour.Seconds() * busy,
	}
}

func seconds(val float64) time.Duration { return time.Duration(val * float64(time.Second)) }

func (ask *Ask) allows(re *Replica) bool {
	if !re.Usable {
		return false
	}
	for _, id := range ask.Avoid {
		if id == re.VM {
			return false
		}
	}
	for _, zo := range ask.AvoidZones {
		if zo == re.Zone {
			return false
		}
	}
	return true
}

// usable returns the replicas to choose from. If what the ask avoids leaves none,
// zones under reclaim are allowed again, since a server there may still finish.
func usable(ask *Ask, replicas []*Replica) []*Replica {
	out := make([]*Replica, 0, len(replicas))
	for _, re := range replicas {
		if ask.allows(re) {
			out = append(out, re)
		}
	}
	if len(out) > 0 || len(ask.AvoidZones) == 0 {
		return out
	}
	wider := *ask
	wider.AvoidZones = nil
	return usable(&wider, replicas)
}
