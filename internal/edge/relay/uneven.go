package relay

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/rule/pace"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/server"
)

const (
	// maxReported bounds the observations of servers in one report. reportRate bounds those of a second: each takes up to
	// 50 bytes, and there may be 54 reports a second, so that they would exceed 8 KB/s.
	maxReported = 16
	reportRate  = 150.0
	// badLoadPeriod is the least time between two log lines about malformed figures of servers.
	badLoadPeriod = 5 * time.Second
)

// uneven is the state of services whose servers differ in speed.
type uneven struct {
	contended bool
	// allowed is the number of observations that may be reported at filledAt.
	allowed  float64
	filledAt time.Time
	// next is where the next report begins among the observations that don't fit into one.
	next int
	// badLoggedAt is when malformed figures were last logged, and badUnlogged counts those since.
	badLoggedAt time.Time
	badUnlogged int
}

// SetContended sets whether the configuration is contended, so that requests are placed by what nodes measure of the servers.
func (rl *Relay) SetContended(contended bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.setContended(contended)
}

func (rl *Relay) setContended(contended bool) {
	rl.uneven.contended = contended
	for _, se := range rl.fleets {
		se.fleet.SetContended(contended)
	}
}

// observeLoad records what a server reports of its load and its pace.
func (rl *Relay) observeLoad(id units.TargetID, sv *server.Server, rp *Reply) {
	now := time.Now()
	switch {
	case rp.Misdirected:
	case rp.BadLoad != "":
		rl.logBadLoad(now, sv.ID, rp.BadLoad)
	case rp.Load.Named():
		rl.mu.Lock()
		defer rl.mu.Unlock()
		rl.service(id).fleet.SetLoad(now, noticeServer(sv), rp.Load)
	}
}

// logBadLoad logs malformed figures of a server, at a bounded rate.
func (rl *Relay) logBadLoad(now time.Time, id units.VMID, raw string) {
	rl.Counts.BadLoads.Add(1)
	rl.mu.Lock()
	un := &rl.uneven
	if now.Sub(un.badLoggedAt) < badLoadPeriod {
		un.badUnlogged++
		rl.mu.Unlock()
		return
	}
	unlogged := un.badUnlogged
	un.badLoggedAt, un.badUnlogged = now, 0
	rl.mu.Unlock()
	rl.Log.Warn("server_load_invalid", zap.String("server", string(id)), zap.String("value", raw), zap.Int("unlogged", unlogged))
}

// observations returns this node's own observations of servers for a report, those that make a difference first. The
// caller holds mu.
func (rl *Relay) observations(now time.Time) []pace.Observation {
	var all []pace.Observation
	for _, se := range rl.fleets {
		all = se.fleet.Observations(now, all)
	}
	if len(all) == 0 {
		return nil
	}
	un := &rl.uneven
	un.allowed = min(un.allowed+now.Sub(un.filledAt).Seconds()*reportRate, maxReported)
	un.filledAt = now
	count := min(len(all), int(un.allowed))
	un.allowed -= float64(count)
	slices.SortFunc(all, func(one, two pace.Observation) int { return one.Compare(&two) })
	unusual := slices.IndexFunc(all, func(ob pace.Observation) bool { return !ob.Unusual() })
	if unusual < 0 {
		unusual = len(all)
	}
	// Those that fit into no report because of the same earlier ones come first in the next report.
	if unusual >= count {
		rotate(all[:unusual], un.next)
		un.next += count
	} else {
		rotate(all[unusual:], un.next)
		un.next += count - unusual
	}
	return all[:count]
}

// rotate moves the first elements of a list to its end.
func rotate[T any](list []T, count int) {
	if len(list) == 0 {
		return
	}
	count %= len(list)
	slices.Reverse(list[:count])
	slices.Reverse(list[count:])
	slices.Reverse(list)
}

// eventGap returns the target for the pauses of a request's answer, 0 if it is no stream.
func eventGap(rq *Request) time.Duration {
	if !rq.Route.Stream {
		return 0
	}
	return rq.Route.TargetEventGap
}

// PacedServices returns the number of services whose servers report their pace.
func (rl *Relay) PacedServices() (count int64) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, se := range rl.fleets {
		if se.fleet.Paced() {
			count++
		}
	}
	return count
}

// PredictionError returns the largest mean difference, of all services, between the predicted and the measured time to the
// first token.
func (rl *Relay) PredictionError() (out time.Duration) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, se := range rl.fleets {
		out = max(out, se.fleet.PredictionError())
	}
	return out
}
