package admit

import "time"

// Prospect is what is known of a request when a server has been chosen for it.
type Prospect struct {
	// First is the predicted time to the first token, from now.
	First time.Duration
	// Waited is the time since the request arrived, Left that until it is of no use.
	Waited, Left time.Duration
	// Target is the time from arrival in which the first token is worth most.
	Target time.Duration
	// Idle is set if under half of the places of the servers are taken.
	Idle bool
}

const (
	// lateFactor is the ratio to the target up to which a prediction may be late: it
	// errs by about a third, and a late answer is still worth something to its caller.
	lateFactor = 1.5
	// leftShare is the part of the remaining time that the first token may take.
	leftShare = 0.6
	// returnShare is the part of the remaining time within which callers honour the
	// time to come back.
	returnShare = 0.3
)

// Hopeless tells whether a request would only take work from others that can still be
// served in time, and if so when to come back. The load that it answers is a burst that
// lasts longer than the targets: with every request accepted, every first token is late.
func Hopeless(pr Prospect) (bool, time.Duration) {
	limit := min(time.Duration(float64(pr.Target)*lateFactor)-pr.Waited, time.Duration(float64(pr.Left)*leftShare))
	if pr.First <= limit || pr.Idle {
		return false, 0
	}
	after := pr.First - limit
	return true, max(min(after, time.Duration(float64(pr.Left)*returnShare)), leastRetry)
}
