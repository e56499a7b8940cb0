package route

import (
	"time"

	"lycheepick/internal/rule/units"
)

// ServerState is a server's current state as its owner node knows it.
type ServerState struct {
	// Load is as of now: the report, plus what was dispatched since, less what the server has
	// computed since.
	Load Load
	// Cached is the number of leading prompt tokens in the server's KV cache.
	Cached units.Tokens
	Usable bool
	// Ticket is set if the dispatch is already counted in the server's Dispatches.
	Ticket Ticket
}

// PrefixSample holds every Stride-th key of a prefix. Stride is a power of two, so that the
// samples of prefixes of different lengths share keys where they can.
type PrefixSample struct {
	Stride int
	Keys   []units.PrefixKey
}

// maxSampledKeys bounds the keys in a query to an owner node.
const maxSampledKeys = 8

// SamplePrefix returns a prefix's sample, of at most maxSampledKeys keys.
func SamplePrefix(prefix []units.PrefixKey) PrefixSample {
	ps := PrefixSample{Stride: 1}
	for len(prefix)/ps.Stride > maxSampledKeys {
		ps.Stride *= 2
	}
	for at := ps.Stride; at <= len(prefix); at += ps.Stride {
		ps.Keys = append(ps.Keys, prefix[at-1])
	}
	return ps
}

// CurrentState returns the state of a server as of now, with the cached tokens of a prefix.
func CurrentState(now time.Time, sv *Server, sample PrefixSample) ServerState {
	count, tokens := sv.Dispatches.Since(sv.Load.At)
	held := sv.Cache.Match(sample.Keys) * units.Tokens(sample.Stride)
	st := ServerState{Load: sv.Load, Cached: held, Usable: sv.Usable}
	computed := units.Tokens(now.Sub(sv.Load.At).Seconds() * float64(sv.Load.PrefillRate))
	st.Load.QueuedTokens = max(0, sv.Load.QueuedTokens+tokens-computed)
	st.Load.Queued += count
	st.Load.At = now
	return st
}

// WithState returns a copy of the server with the state that its owner node reported. The copy
// shares Dispatches, whose entries all precede the owner's reply.
func (sv *Server) WithState(st *ServerState, prefix []units.PrefixKey) *Server {
	out := *sv
	out.Load = st.Load
	out.Usable = sv.Usable && st.Usable
	out.Cache = NewCache(len(prefix))
	out.Cache.Add(prefix[:min(len(prefix), int(st.Cached/BlockTokens))])
	return &out
}
