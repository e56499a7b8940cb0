package admit

import (
	"math"
	"slices"
	"time"
)

// Class is one priority of a service, with the smallest target latency of its routes.
type Class struct {
	Priority int
	Target   time.Duration
}

// Classes are the priorities of a service, the most urgent first.
type Classes []Class

// headroomShare is the part of the more urgent classes' target that the wait of a request may take, once for each of
// these classes, so that the less urgent classes are rejected first.
const headroomShare = 0.6

// Add returns the classes with a route of a priority and a target latency. A route without a target is none.
func (cs Classes) Add(priority int, target time.Duration) Classes {
	if target <= 0 {
		return cs
	}
	at, found := slices.BinarySearchFunc(cs, priority, func(cl Class, pr int) int { return cl.Priority - pr })
	if found {
		cs[at].Target = min(cs[at].Target, target)
		return cs
	}
	return slices.Insert(cs, at, Class{Priority: priority, Target: target})
}

// headroom returns the longest predicted wait with which a request of a priority is accepted. It returns false for the
// most urgent priority, which only its own target limits.
func (cs Classes) headroom(priority int) (time.Duration, bool) {
	rank, least := 0, time.Duration(math.MaxInt64)
	for _, cl := range cs {
		if cl.Priority >= priority {
			break
		}
		rank++
		least = min(least, cl.Target)
	}
	if rank == 0 {
		return 0, false
	}
	return time.Duration(float64(least) * math.Pow(headroomShare, float64(rank))), true
}

// least returns the smallest target of all classes, 0 if there is none.
func (cs Classes) least() time.Duration {
	var out time.Duration
	for _, cl := range cs {
		if out == 0 || cl.Target < out {
			out = cl.Target
		}
	}
	return out
}
