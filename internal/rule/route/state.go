package route

import (
	"time"

	"lycheepick/internal/rule/units"
)

// State is what a replica's steward knows of it.
type State struct {
	// Load is as of now: the report, what was dispatched since, and what the engine
	// has computed since.
	Load Load
	// Cached is the number of leading prompt tokens in the replica's cache.
	Cached units.Tokens
	Usable bool
	// Ticket is set if the dispatch already counts in the replica's own Track.
	Ticket Ticket
}

// Marks are some keys of a prefix, each Stride blocks apart, which is a power of two so
// that the marks of prefixes of different lengths coincide where they can.
type Marks struct {
	Stride int
	Keys   []units.PrefixKey
}

// mostMarks bounds the keys that a question to a steward carries.
const mostMarks = 8

// Thin returns the marks of a prefix.
func Thin(prefix []units.PrefixKey) Marks {
	ma := Marks{Stride: 1}
	for len(prefix)/ma.Stride > mostMarks {
		ma.Stride *= 2
	}
	for at := ma.Stride; at <= len(prefix); at += ma.Stride {
		ma.Keys = append(ma.Keys, prefix[at-1])
	}
	return ma
}

// Now returns the present state of a replica for a prefix.
func Now(now time.Time, re *Replica, prefix Marks) State {
	count, tokens := re.Track.Since(re.Load.At)
	held := re.Cache.Match(prefix.Keys) * units.Tokens(prefix.Stride)
	st := State{Load: re.Load, Cached: held, Usable: re.Usable}
	drained := units.Tokens(now.Sub(re.Load.At).Seconds() * float64(re.Load.PrefillRate))
	st.Load.QueuedTokens = max(0, re.Load.QueuedTokens+tokens-drained)
	st.Load.Queued += count
	st.Load.At = now
	return st
}

// Told returns the replica with what its steward said in place of what this node knew.
// The copy shares the track, whose dispatches all lie before the steward's answer.
func (re *Replica) Told(st *State, prefix []units.PrefixKey) *Replica {
	out := *re
	out.Load = st.Load
	out.Usable = re.Usable && st.Usable
	out.Cache = NewCache(len(prefix))
	out.Cache.Hold(prefix[:min(len(prefix), int(st.Cached/BlockTokens))])
	return &out
}
