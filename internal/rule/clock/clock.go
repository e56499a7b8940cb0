// Package clock estimates the true time of day of a fleet whose wall clocks may jump: the
// median of the nodes' wall clocks, advanced by the node's monotonic clock.
//
// Nothing here reads a clock, and nothing is safe for concurrent use.
package clock

import (
	"sort"
	"time"

	"lycheepick/internal/rule/units"
)

const (
	// minJump is the change of a wall clock relative to the monotonic clock from which on it
	// counts as a jump and not as drift.
	minJump = 150 * time.Millisecond
	// peerTTL is how long a peer's reading counts.
	peerTTL = 30 * time.Second
)

// Clock estimates the true time from readings of this node's clock and its peers'.
type Clock struct {
	ownOffset time.Duration
	set       bool
	peers     map[units.VMID]reading
}

type reading struct {
	offset time.Duration
	at     time.Duration
}

// New returns a clock without any reading.
func New() *Clock { return &Clock{peers: map[units.VMID]reading{}} }

func offset(monotonic time.Duration, wall time.Time) time.Duration {
	return time.Duration(wall.UnixNano()) - monotonic
}

// SetOwn records a reading of this node's wall clock. A jump is ignored: the estimate
// continues from the reading before it.
func (cl *Clock) SetOwn(monotonic time.Duration, wall time.Time) {
	now := offset(monotonic, wall)
	if diff := now - cl.ownOffset; !cl.set || (diff < minJump && diff > -minJump) {
		cl.ownOffset, cl.set = now, true
	}
}

// SetPeer records a reading of a peer's wall clock, at this node's monotonic time.
func (cl *Clock) SetPeer(node units.VMID, monotonic time.Duration, wall time.Time) {
	cl.peers[node] = reading{offset: offset(monotonic, wall), at: monotonic}
}

// Now returns the estimated time of day at a time of the monotonic clock.
func (cl *Clock) Now(monotonic time.Duration) time.Time {
	offsets := []time.Duration{cl.ownOffset}
	for id, re := range cl.peers {
		if monotonic-re.at > peerTTL {
			delete(cl.peers, id)
			continue
		}
		offsets = append(offsets, re.offset)
	}
	sort.Slice(offsets, func(one, two int) bool { return offsets[one] < offsets[two] })
	return time.Unix(0, int64(offsets[(len(offsets)-1)/2]+monotonic))
}
