// Package lease decides which node holds a duty that only one may have, from the records
// of one stream of the platform's store.
//
// A node takes the duty by an append that succeeds only if it has read all records, and
// keeps it by further ones. A node that reads no record of the holder for longer than the
// lease takes over; a holder that has not appended for a shorter time does nothing any
// more. So a holder that was paused or cut off finds out by its own clock, and no two act
// at once. The offset of the record that took the duty is its fencing number.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use. Times
// are of a clock that goes on while the VM is suspended.
package lease

import (
	"time"

	"lycheepick/internal/rule/units"
)

// Holder is one start of a node.
type Holder struct {
	Node units.VMID `json:"node"`
	Life int64      `json:"life"`
}

// Timing bounds a lease.
type Timing struct {
	// Lease is the time in which the platform wants no two holders in turn.
	Lease time.Duration
	// Margin is the time beyond it that a successor waits.
	Margin time.Duration
}

// validShare is the part of the lease for which a holder acts after an append.
const validShare = 0.5

// Valid is how long a holder acts after the last append that it sent.
func (ti Timing) Valid() time.Duration { return time.Duration(float64(ti.Lease) * validShare) }

// Lease is one node's view of a duty.
type Lease struct {
	own    Holder
	timing Timing

	next    units.Offset
	holder  Holder
	fence   units.Offset
	seen    time.Duration
	renewed time.Duration
	known   bool
}

// New returns the view of a node that has read nothing.
func New(own Holder, ti Timing) *Lease { return &Lease{own: own, timing: ti} }

// Next returns the offset of the first record that was not read, at which an append that
// takes or keeps the duty has to be.
func (le *Lease) Next() units.Offset { return le.next }

// Read folds the record at off.
func (le *Lease) Read(now time.Duration, off units.Offset, ho Holder) {
	if off < le.next {
		return
	}
	le.next = off + 1
	if !le.known || ho != le.holder {
		le.holder, le.fence, le.known = ho, off, true
		le.renewed = 0
	}
	le.seen = now
}

// ReadTo notes that all records before off are gone or read.
func (le *Lease) ReadTo(now time.Duration, off units.Offset) {
	if off > le.next {
		le.next, le.seen = off, now
	}
}

// Appended notes that an append which was sent at sent took effect at off.
func (le *Lease) Appended(sent, now time.Duration, off units.Offset) {
	le.Read(now, off, le.own)
	if le.holder == le.own {
		le.renewed = sent
	}
}

// Held tells whether this node may act now, and under which fencing number.
func (le *Lease) Held(now time.Duration) (fence units.Offset, ok bool) {
	if !le.known || le.holder != le.own || le.renewed == 0 {
		return 0, false
	}
	return le.fence + 1, now-le.renewed < le.timing.Valid()
}

// Holds tells whether this node was the last to append, valid or not.
func (le *Lease) Holds() bool { return le.known && le.holder == le.own }

// Claims tells whether this node is to append now, to keep the duty or to take it.
func (le *Lease) Claims(now time.Duration) bool {
	if !le.known {
		return true
	}
	if le.holder.Node == le.own.Node {
		return true
	}
	return now-le.seen > le.timing.Lease+le.timing.Margin
}
