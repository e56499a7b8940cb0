package crowd

import "time"

// Loads returns the patterns that the decisions answer. Trouble comes from the fifth second
// on and lasts five.
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
	// Waves six seconds apart, with nothing to be had after; the last of the servers stay.
	waves := []Reclaim{
		{At: from, Notice: 2500 * time.Millisecond, For: 14 * time.Second, Share: 0.26},
		{At: from + 6*time.Second, Notice: 2500 * time.Millisecond, For: 14 * time.Second, From: 0.26, Share: 0.26},
	}
	return []Load{
		{Name: "steady"},
		{Name: "burst", Factor: during(1.7, 1)},
		{Name: "hot key", HotKey: during(0.3, 0)},
		{Name: "hot customer", HotCustomer: during(7.5, 1)},
		{Name: "impatient callers", Factor: during(1.7, 1), Impatient: true},
		{Name: "reclaim waves", Reclaims: waves},
		{
			Name: "all at once", Factor: during(1.4, 1), HotKey: during(0.3, 0), HotCustomer: during(4, 1),
			Impatient: true, Reclaims: waves,
		},
	}
}
