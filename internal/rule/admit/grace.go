package admit

import "time"

// Durations estimates how long the requests of a route take, from arrival to the end of the answer. The
// zero value has seen none.
type Durations struct {
	mean, dev time.Duration
	known     bool
}

const (
	// durationWeight and deviationWeight are the weights of one request in the smoothed duration and its
	// deviation, of which expectedDeviations are added for nearly all requests.
	durationWeight     = 1.0 / 8
	deviationWeight    = 1.0 / 4
	expectedDeviations = 4
	// unknownDuration and unknownStream are expected of a route whose requests, or streams, have not
	// been seen to end.
	unknownDuration = time.Second
	unknownStream   = 4 * time.Second
)

// Observe records how long a request took.
func (du *Durations) Observe(took time.Duration) {
	if !du.known {
		du.mean, du.dev, du.known = took, took/8, true
		return
	}
	diff := took - du.mean
	du.mean += time.Duration(float64(diff) * durationWeight)
	du.dev += time.Duration(float64(max(diff, -diff)-du.dev) * deviationWeight)
}

// Expected returns the time within which nearly all requests end, which may be streams.
func (du *Durations) Expected(stream bool) time.Duration {
	switch {
	case du != nil && du.known:
		return du.mean + expectedDeviations*du.dev
	case stream:
		return unknownStream
	}
	return unknownDuration
}

// Departure is the end of a node that has been told to stop.
type Departure struct {
	// SignalAt is when the node was told to stop, StopsAt when it ends what is still in progress.
	SignalAt, StopsAt time.Time
}

// answerMargin is the time in which a request that has reached its deadline is answered.
const answerMargin = 50 * time.Millisecond

// Outlasts reports whether a request may still be in progress when the node stops. Only its deadline bounds it:
// servers may become slower after it was taken.
func (de *Departure) Outlasts(deadline time.Time) bool {
	return de != nil && deadline.Add(answerMargin).After(de.StopsAt)
}
