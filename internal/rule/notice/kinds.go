package notice

import "time"

// Latest is the policy of notices that change: the one of the latest answer holds.
type Latest[V comparable] struct{}

// Replaces implements Policy.
func (Latest[V]) Replaces(_ V, haveAt time.Time, _ V, nextAt time.Time) bool {
	return nextAt.After(haveAt)
}

// TTL implements Policy.
func (Latest[V]) TTL(Server) time.Duration { return 0 }

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
func (Final) TTL(sv Server) time.Duration {
	if sv.StartUnixMS == 0 {
		return unknownStartTTL
	}
	return 0
}

// NewLeaving returns a table of servers that leave.
func NewLeaving() *Table[Leaving] { return NewTable[Leaving](Final{}) }
