package notice

import "time"

// Latest is the policy of notices that change: the one of the latest answer holds.
type Latest[V comparable] struct{}

// Replaces implements Policy.
func (Latest[V]) Replaces(_ V, haveAt time.Time, _ V, nextAt time.Time) bool {
	return nextAt.After(haveAt)
}

// TTL implements Policy.
func (Latest[V]) TTL(Server, V) time.Duration { return 0 }

// Leaving is set once a server says that it leaves.
type Leaving bool

// Final is the policy of Leaving: a server that leaves does not come back in its incarnation,
// whatever an older answer says.
type Final struct{}

// unknownStartTTL ends the leaving of a server that doesn't state its start time: the next server
// with its id can't be told from it.
const unknownStartTTL = time.Minute

// Replaces implements Policy.
func (Final) Replaces(have Leaving, haveAt time.Time, next Leaving, nextAt time.Time) bool {
	return bool(next) && (!bool(have) || nextAt.After(haveAt))
}

// TTL implements Policy.
func (Final) TTL(sv Server, _ Leaving) time.Duration {
	if sv.StartUnixMS == 0 {
		return unknownStartTTL
	}
	return 0
}

// NewLeaving returns a table of servers that leave.
func NewLeaving() *Table[Leaving] { return NewTable[Leaving](Final{}) }

// Rest is the time from its answer for which a server is to get no requests from the node that it
// answered. Named is set if the server named it itself.
type Rest struct {
	For   time.Duration
	Named bool
}

// Longest is the policy of Rest: the one that ends last holds, since each answer asks for a time of its
// own.
type Longest struct{}

// Replaces implements Policy.
func (Longest) Replaces(have Rest, haveAt time.Time, next Rest, nextAt time.Time) bool {
	return nextAt.Add(next.For).After(haveAt.Add(have.For))
}

// TTL implements Policy.
func (Longest) TTL(_ Server, val Rest) time.Duration { return val.For }

// NewRests returns a table of servers that want no requests for some time.
func NewRests() *Table[Rest] { return NewTable[Rest](Longest{}) }
