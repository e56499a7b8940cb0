package route

import (
	"sync/atomic"
	"time"
)

// RoundRobin is the baseline that takes the servers in turn.
type RoundRobin struct{ turn atomic.Uint64 }

// Choose implements Policy.
func (rr *RoundRobin) Choose(now time.Time, rq *Request, servers []*Server) (Choice, bool) {
	list := usable(rq, servers)
	if len(list) == 0 {
		return Choice{}, false
	}
	sv := list[rr.turn.Add(1)%uint64(len(list))]
	return candidate{sv: sv, est: Predict(now, rq, sv)}.choice(), true
}

// LeastInFlight is the baseline that takes the server with the fewest requests in progress, by
// its report and this node's dispatches since.
type LeastInFlight struct{}

// Choose implements Policy.
func (LeastInFlight) Choose(now time.Time, rq *Request, servers []*Server) (Choice, bool) {
	list := usable(rq, servers)
	if len(list) == 0 {
		return Choice{}, false
	}
	best := candidate{sv: list[0], est: Predict(now, rq, list[0])}
	for _, sv := range list[1:] {
		if est := Predict(now, rq, sv); est.Outstanding < best.est.Outstanding {
			best = candidate{sv: sv, est: est}
		}
	}
	return best.choice(), true
}
