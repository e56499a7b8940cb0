package permit

import (
	"math"
	"time"

	"lycheepick/internal/rule/units"
)

const (
	// burstTime is the time for which an issuer saves up permits that nobody asks for, and
	// minBurst the number that it always may.
	burstTime = 250 * time.Millisecond
	minBurst  = 2
	// batchTime bounds the permits of one grant, so that one node doesn't take all of them.
	batchTime = 100 * time.Millisecond
	maxWant   = 64
	// minIssueRate is issued even under a lower limit, since only an answer shows that the limit
	// has changed.
	minIssueRate units.RequestsPerSecond = 0.2
	// minAskDelay and maxAskDelay bound the time after which a node without permits asks again.
	minAskDelay = 20 * time.Millisecond
	maxAskDelay = 3 * time.Second
)

// issuer issues the permits of one server. It starts without any, since the issuer before it
// may have used them.
type issuer struct {
	level      float64
	refilledAt time.Time
	// deferred is the number of requests for permits that were told to come back.
	deferred float64
}

func (is *issuer) refill(now time.Time, rate float64) {
	if is.refilledAt.IsZero() {
		is.refilledAt = now
	}
	gained := rate * now.Sub(is.refilledAt).Seconds()
	is.refilledAt = now
	is.level = min(is.level+gained, max(minBurst, rate*burstTime.Seconds()))
	is.deferred = max(0, is.deferred-gained)
}

// Issue answers a request for permits at their issuer. share is the part of the limit that this
// node may issue, see Members.Share.
func (bo *Book) Issue(now time.Time, rq Request, share float64) Grant {
	bo.apply(now, now.Add(-rq.Age), rq.Server, rq.Limit)
	gr := Grant{Observation: bo.observation(now, rq.Server)}
	st := bo.named(rq.Server)
	if st == nil {
		return gr
	}
	rate := float64(max(gr.Rate, minIssueRate)) * share
	is := &st.issuer
	is.refill(now, rate)
	if is.level >= 1 {
		batch := max(1, int(rate*batchTime.Seconds()))
		gr.Permits = max(1, min(rq.Want, int(is.level), batch))
		is.level -= float64(gr.Permits)
		return gr
	}
	// The time until a permit is left after those of the nodes that were told to come back.
	wait := time.Duration((1 - is.level + is.deferred) / rate * float64(time.Second))
	is.deferred++
	gr.After = min(max(wait, minAskDelay), maxAskDelay)
	return gr
}

// RetryAfter spreads the retries of requests that were refused for want of permits. The zero
// value is ready to use.
type RetryAfter struct{ next time.Time }

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Next returns when a refused request may come back, for a node that expects this many permits
// a second.
func (ra *RetryAfter) Next(now time.Time, rate float64) time.Duration {
	gap := maxRetryAfter
	if rate > 0 {
		gap = time.Duration(math.Min(float64(time.Second)/rate, float64(maxRetryAfter)))
	}
	if ra.next.Before(now) {
		ra.next = now
	}
	ra.next = ra.next.Add(gap)
	if latest := now.Add(maxRetryAfter); ra.next.After(latest) {
		ra.next = latest
	}
	return max(minRetryAfter, ra.next.Sub(now))
}
