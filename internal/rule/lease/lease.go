// Package lease implements a lease that only one node at a time holds, on the records of one
// stream of the platform's store.
//
// A node acquires the lease by an append that succeeds only if it has read all records, and
// renews it by further appends. A node that reads no record of the holder for longer than the
// lease takes over; a holder stops acting a shorter time after its last append. So a holder
// that was paused or cut off finds out from its own clock, and no two act at the same time.
// The fencing token is one more than the offset of the record that acquired the lease, below the
// era of the store.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use. Times are of
// a clock that continues while the VM is suspended.
package lease

import (
	"time"

	"lycheepick/internal/rule/units"
)

// Holder identifies one incarnation of a node.
type Holder struct {
	Node        units.VMID `json:"node"`
	Incarnation int64      `json:"life"`
}

// Timing bounds a lease.
type Timing struct {
	// Lease is the minimum time that the platform requires between the actions of two
	// successive holders.
	Lease time.Duration
	// Margin is the additional time that a successor waits.
	Margin time.Duration
}

// activeShare is the part of the lease for which a holder acts after an append.
const activeShare = 0.5

// ActiveTime returns how long a holder acts after it sent its last successful append.
func (ti Timing) ActiveTime() time.Duration { return time.Duration(float64(ti.Lease) * activeShare) }

// Lease is one node's view of the lease.
type Lease struct {
	own    Holder
	timing Timing

	next       units.Offset
	holder     Holder
	acquiredAt units.Offset
	lastRead   time.Duration
	renewedAt  time.Duration
	hasHolder  bool
	// era is the era of the store to which next belongs, once the records are listed.
	era    units.Era
	listed bool
	// waitUntil is the time until which this node appends nothing.
	waitUntil time.Duration
	// soleUntil is the time until which no other node can append after this node's last append.
	soleUntil time.Duration
}

// New returns the view of a node that has read nothing.
func New(own Holder, ti Timing) *Lease { return &Lease{own: own, timing: ti} }

// NextOffset returns the offset of the first record that was not read, at which an append that
// acquires or renews the lease has to be.
func (le *Lease) NextOffset() units.Offset { return le.next }

// EnterEra records the era of the store in which the records are listed, before they are read, and
// the era in which the newest of them was written, 0 if there is none. seen is when this node first saw the era.
//
// If the store has come back from an older copy in between, it may lack the latest records, whose
// holder may still act. So offsets start anew, and this node appends nothing for as long as a successor waits.
// EnterEra then returns true. It returns false if the latest records are known to be this node's own.
func (le *Lease) EnterEra(now, seen time.Duration, era, written units.Era) (lossy bool) {
	if le.listed && era <= le.era {
		return false
	}
	lossy = (le.listed || written < era) && seen >= le.soleUntil
	if lossy {
		le.waitUntil = now + le.timing.Lease + le.timing.Margin
	}
	le.listed, le.era, le.next, le.hasHolder = true, era, 0, false
	return lossy
}

// Era returns the era of the store in which the records were listed.
func (le *Lease) Era() units.Era { return le.era }

// Drop gives the lease up until it is acquired again.
func (le *Lease) Drop() { le.hasHolder = false }

// Read folds the record at off. Records before NextOffset are ignored.
func (le *Lease) Read(now time.Duration, off units.Offset, ho Holder) {
	if off < le.next {
		return
	}
	le.next = off + 1
	if !le.hasHolder || ho != le.holder {
		le.holder, le.acquiredAt, le.hasHolder = ho, off, true
		le.renewedAt = 0
	}
	if ho != le.own {
		le.soleUntil = 0
	}
	le.lastRead = now
}

// SkipTo records that all records before off are gone or read.
func (le *Lease) SkipTo(now time.Duration, off units.Offset) {
	if off > le.next {
		le.next, le.lastRead = off, now
	}
}

// Appended records that an append that was sent at sent took effect at off.
func (le *Lease) Appended(sent, now time.Duration, off units.Offset) {
	le.Read(now, off, le.own)
	if le.holder == le.own {
		le.renewedAt, le.soleUntil = sent, sent+le.timing.Lease
	}
}

// eraBits is the number of bits of a fencing token below the era.
const eraBits = 32

// Active tells whether this node may act as the holder now, and under which fencing token.
func (le *Lease) Active(now time.Duration) (fence units.Offset, ok bool) {
	if !le.hasHolder || le.holder != le.own || le.renewedAt == 0 {
		return 0, false
	}
	return units.Offset(le.era)<<eraBits + le.acquiredAt + 1, now-le.renewedAt < le.timing.ActiveTime()
}

// IsHolder tells whether this node was the last to append, still active or not.
func (le *Lease) IsHolder() bool { return le.hasHolder && le.holder == le.own }

// ShouldAppend tells whether this node should append now, to renew or to acquire the lease.
func (le *Lease) ShouldAppend(now time.Duration) bool {
	if now < le.waitUntil {
		return false
	}
	if !le.hasHolder {
		return true
	}
	if le.holder.Node == le.own.Node {
		return true
	}
	return now-le.lastRead > le.timing.Lease+le.timing.Margin
}
