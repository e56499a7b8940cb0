// Package route chooses the backend server of a request.
//
// It does no I/O. A Policy gets an immutable list of servers with their known load, and the
// time as an argument.
package route

import (
	"time"

	"lycheepick/internal/rule/units"
)

// Load is a server's load report as of At.
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

// Server is one backend server as the router sees it. Its fields don't change after it is
// published; Dispatches and Cache are safe for concurrent use.
type Server struct {
	units.Instance
	Zone    units.ZoneID
	Address string
	Target  units.TargetID
	Price   units.PricePerHour
	// Usable is false for a server that is draining or ejected.
	Usable     bool
	Load       Load
	Dispatches *DispatchLog
	Cache      *Cache
}

// Request is what a policy needs to know of a request.
type Request struct {
	// Prefix holds the keys of the prompt's leading blocks, each key covering all blocks up to
	// its own.
	Prefix       []units.PrefixKey
	PromptTokens units.Tokens
	OutputTokens units.Tokens
	// FirstToken and BetweenTokens are the latency targets of the request's row.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Avoid lists VMs at which this request has already failed.
	Avoid []units.VMID
	// AvoidZones lists zones whose VMs are being reclaimed.
	AvoidZones []units.ZoneID
}

// Choice is a server with the predictions for the request there.
type Choice struct {
	Server *Server
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Cached is the number of prompt tokens expected in the server's KV cache.
	Cached units.Tokens
	// Late is set if no server is predicted to meet the targets.
	Late bool
}

// Policy chooses a server. ok is false if none is usable.
type Policy interface {
	Choose(now time.Time, rq *Request, servers []*Server) (ch Choice, ok bool)
}

// BlockTokens is the number of tokens of one prefix block, and so of each prefix key.
const BlockTokens units.Tokens = 64

// Estimate is the prediction for a request on one server.
type Estimate struct {
	FirstToken time.Duration
	Cached     units.Tokens
	// Cost is in US dollars.
	Cost float64
	// Outstanding is the number of requests running and queued there.
	Outstanding int
	// HasFreeSlot is set if the request would not queue.
	HasFreeSlot bool
}

const (
	// The defaults stand in for a server that has not reported its load.
	defaultPrefillRate units.TokensPerSecond = 4000
	defaultStep                              = 20 * time.Millisecond
	defaultSlots                             = 8
)

// Predict estimates the latency and cost of a request on a server, from the server's last report
// and this node's dispatches since. The queue is taken to have shrunk at the reported rate.
func Predict(now time.Time, rq *Request, sv *Server) Estimate {
	load := sv.Load
	rate, step, slots := load.PrefillRate, load.Step, load.Slots
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	if step <= 0 {
		step = defaultStep
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	sentCount, sentTokens := sv.Dispatches.Since(load.At)
	cached := min(sv.Cache.Match(rq.Prefix), rq.PromptTokens)
	fresh := rq.PromptTokens - cached
	queued := float64(load.QueuedTokens+sentTokens) - now.Sub(load.At).Seconds()*float64(rate)
	queued = max(queued, 0)
	first := seconds((queued+float64(fresh))/float64(rate)) + step
	outstanding := load.Running + load.Queued + sentCount
	if over := outstanding + 1 - slots; over > 0 {
		// A slot becomes free each time that a request of the batch ends.
		slotInterval := step * time.Duration(max(rq.OutputTokens, 1)) / time.Duration(slots)
		first += slotInterval * time.Duration(over)
	}
	busy := float64(fresh)/float64(rate) + step.Seconds()*float64(rq.OutputTokens)/float64(slots)
	return Estimate{
		FirstToken: first, Cached: cached, Outstanding: outstanding, HasFreeSlot: outstanding < slots,
		Cost: float64(sv.Price) / time.Hour.Seconds() * busy,
	}
}

func seconds(val float64) time.Duration { return time.Duration(val * float64(time.Second)) }

func (rq *Request) allows(sv *Server) bool {
	if !sv.Usable {
		return false
	}
	for _, id := range rq.Avoid {
		if id == sv.VM {
			return false
		}
	}
	for _, zo := range rq.AvoidZones {
		if zo == sv.Zone {
			return false
		}
	}
	return true
}

// usable returns the servers to choose from. If the request's constraints leave none, zones
// under reclaim are allowed again, since a server there may still finish in time.
func usable(rq *Request, servers []*Server) []*Server {
	out := make([]*Server, 0, len(servers))
	for _, sv := range servers {
		if rq.allows(sv) {
			out = append(out, sv)
		}
	}
	if len(out) > 0 || len(rq.AvoidZones) == 0 {
		return out
	}
	relaxed := *rq
	relaxed.AvoidZones = nil
	return usable(&relaxed, servers)
}
