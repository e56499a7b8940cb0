package route

import (
	"sync/atomic"
	"time"
)

// RoundRobin is the baseline that takes the replicas in turn.
type RoundRobin struct{ turn atomic.Uint64 }

// Choose implements Policy.
func (rr *RoundRobin) Choose(now time.Time, ask *Ask, replicas []*Replica) (Choice, bool) {
	list := usable(ask, replicas)
	if len(list) == 0 {
		return Choice{}, false
	}
	re := list[rr.turn.Add(1)%uint64(len(list))]
	return candidate{re: re, est: Predict(now, ask, re)}.choice(), true
}

// LeastInFlight is the baseline that takes the replica with the fewest requests in
// progress, by its report and this node's dispatches since.
type LeastInFlight struct{}

// Choose implements Policy.
func (LeastInFlight) Choose(now time.Time, ask *Ask, replicas []*Replica) (Choice, bool) {
	list := usable(ask, replicas)
	if len(list) == 0 {
		return Choice{}, false
	}
	best := candidate{re: list[0], est: Predict(now, ask, list[0])}
	for _, re := range list[1:] {
		if est := Predict(now, ask, re); est.Waiting < best.est.Waiting {
			best = candidate{re: re, est: est}
		}
	}
	return best.choice(), true
}
