package crowd

import "time"

// Loads returns the load patterns of the benchmark. Each disturbance begins after five
// seconds; all but the reclaims last five seconds.
func Loads() []Load {
	const from, length = 5 * time.Second, 5 * time.Second
	during := func(value, otherwise float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at >= from && at < from+length {
				return value
			}
			return otherwise
		}
	}
	// Two waves six seconds apart, each without replacement capacity for 14 s. The servers
	// at the end of the list are not reclaimed.
	waves := []Reclaim{
		{At: from, Notice: 2500 * time.Millisecond, Outage: 14 * time.Second, Share: 0.26},
		{At: from + 6*time.Second, Notice: 2500 * time.Millisecond, Outage: 14 * time.Second, From: 0.26, Share: 0.26},
	}
	return []Load{
		{Name: "steady"},
		{Name: "burst", RateFactor: during(1.7, 1)},
		{Name: "hot key", HotKeyShare: during(0.3, 0)},
		{Name: "hot customer", HotCustomerFactor: during(7.5, 1)},
		{Name: "impatient callers", RateFactor: during(1.7, 1), IgnoreRetryAfter: true},
		{Name: "reclaim waves", Reclaims: waves},
		{
			Name: "all at once", RateFactor: during(1.4, 1), HotKeyShare: during(0.3, 0), HotCustomerFactor: during(4, 1),
			IgnoreRetryAfter: true, Reclaims: waves,
		},
	}
}
