// Package clock estimates the true time of day of a fleet whose clocks may jump: the
// median over the nodes' clocks, carried on by the node's steady clock.
//
// Nothing here reads a clock, and nothing is safe for concurrent use.
package clock

import (
	"sort"
	"time"

	"lycheepick/internal/rule/units"
)

const (
	// jumpLeast is the difference from which on a change of the time of day counts as a
	// jump and not as drift.
	jumpLeast = 150 * time.Millisecond
	// peerTime is how long a peer's clock counts.
	peerTime = 30 * time.Second
)

// Clock estimates the true time.
type Clock struct {
	own   time.Duration
	set   bool
	peers map[units.VMID]reading
}

type reading struct {
	offset time.Duration
	at     time.Duration
}

// New returns a clock that was not set.
func New() *Clock { return &Clock{peers: map[units.VMID]reading{}} }

func offset(steady time.Duration, wall time.Time) time.Duration {
	return time.Duration(wall.UnixNano()) - steady
}

// Own notes this node's time of day at a time of its steady clock. A jump is ignored:
// the steady clock goes on from what was believed before.
func (cl *Clock) Own(steady time.Duration, wall time.Time) {
	now := offset(steady, wall)
	if diff := now - cl.own; !cl.set || (diff < jumpLeast && diff > -jumpLeast) {
		cl.own, cl.set = now, true
	}
}

// Peer notes a peer's time of day.
func (cl *Clock) Peer(node units.VMID, steady time.Duration, wall time.Time) {
	cl.peers[node] = reading{offset: offset(steady, wall), at: steady}
}

// Now returns the estimate at a time of the steady clock.
func (cl *Clock) Now(steady time.Duration) time.Time {
	all := []time.Duration{cl.own}
	for id, re := range cl.peers {
		if steady-re.at > peerTime {
			delete(cl.peers, id)
			continue
		}
		all = append(all, re.offset)
	}
	sort.Slice(all, func(one, two int) bool { return all[one] < all[two] })
	return time.Unix(0, int64(all[(len(all)-1)/2]+steady))
}
