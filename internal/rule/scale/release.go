package scale

import (
	"math"
	"time"
)

// releaseShare is the largest part of a service's servers that is given back at once.
const releaseShare = 0.25

// Group is a group of servers that are ordered together.
type Group[K comparable] struct {
	Key K
	// Want is the number to order, Have the number that serves or was ordered.
	Want, Have int
}

// Release decides when servers of one service are given back: a group keeps its servers until they have been surplus for as long as others
// take to start, and a service gives back a part at a time. The zero value is ready for use.
type Release[K comparable] struct {
	// surplusSince is the time since which a group has had more servers than are wanted.
	surplusSince map[K]time.Time
}

// Bound returns the groups with their numbers raised to what may be ordered at now. boot is the time that a server takes to start. known is
// false while the demand is not known, and nothing is given back then.
func (re *Release[K]) Bound(now time.Time, groups []Group[K], boot time.Duration, known bool) []Group[K] {
	if re.surplusSince == nil {
		re.surplusSince = map[K]time.Time{}
	}
	total := 0
	for _, gr := range groups {
		total += gr.Have
	}
	left := int(math.Ceil(float64(total) * releaseShare))
	out := make([]Group[K], 0, len(groups))
	for _, gr := range groups {
		if gr.Want < gr.Have {
			given := min(gr.Have-gr.Want, left)
			if given == 0 || !re.isSurplus(now, gr.Key, boot, known) {
				given = 0
			} else {
				re.surplusSince[gr.Key] = now
			}
			left -= given
			gr.Want = gr.Have - given
		} else {
			delete(re.surplusSince, gr.Key)
		}
		out = append(out, gr)
	}
	return out
}

// isSurplus reports whether a group that has more servers than are wanted may give some back.
func (re *Release[K]) isSurplus(now time.Time, key K, boot time.Duration, known bool) bool {
	since, ok := re.surplusSince[key]
	if !ok {
		re.surplusSince[key] = now
		return false
	}
	return known && now.Sub(since) >= boot
}
