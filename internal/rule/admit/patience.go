package admit

import "time"

// Prediction is what is known of a request once a server has been chosen for it.
type Prediction struct {
	// FirstToken is the predicted time to the first token, from now.
	FirstToken time.Duration
	// Waited is the time since the request arrived, Remaining the time until its deadline.
	Waited, Remaining time.Duration
	// Target is the time from arrival within which the first token is worth most.
	Target time.Duration
	// SpareCapacity is set if under half of the slots of all servers are in use and few prompts wait.
	SpareCapacity bool
}

const (
	// maxLateRatio is the ratio of the predicted time to the target up to which a request is
	// accepted: predictions err by about a third, and a late answer is still worth something.
	maxLateRatio = 1.5
	// maxRemainingShare is the part of the remaining time that the first token may take.
	maxRemainingShare = 0.6
	// maxRetryAfterShare is the part of the remaining time within which callers honour a
	// Retry-After.
	maxRetryAfterShare = 0.3
)

// ShouldRefuse tells whether a request would only take capacity from others that can still be
// served in time, and if so when to retry. Without it, in a burst that lasts longer than the
// targets, every request is accepted and every first token is late.
func ShouldRefuse(pr Prediction) (bool, time.Duration) {
	limit := min(time.Duration(float64(pr.Target)*maxLateRatio)-pr.Waited, time.Duration(float64(pr.Remaining)*maxRemainingShare))
	if pr.FirstToken <= limit || pr.SpareCapacity {
		return false, 0
	}
	after := pr.FirstToken - limit
	return true, max(min(after, time.Duration(float64(pr.Remaining)*maxRetryAfterShare)), minRetryAfter)
}
