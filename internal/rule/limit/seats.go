package limit

import (
	"time"

	"lycheepick/internal/rule/units"
)

// SeatTime is how long a claim to a seat holds unless it is renewed. It outlasts
// ordinary outages of the log service, during which no one can renew.
const SeatTime = 2 * time.Hour

// SeatRenew is the time between renewals.
const SeatRenew = 5 * time.Minute

// SeatOp tells what a record of the stream of seats does.
type SeatOp string

// The operations.
const (
	// SeatClaim takes a free seat or renews one's own.
	SeatClaim SeatOp = "claim"
	// SeatRelease gives up a seat.
	SeatRelease SeatOp = "release"
	// SeatGone frees the seat of a VM that the VM list no longer has.
	SeatGone SeatOp = "gone"
)

// SeatRecord is one entry of the stream of seats.
type SeatRecord struct {
	Op SeatOp `json:"op"`
	// Seat is the number that is claimed, from 0.
	Seat int `json:"seat"`
	units.Instance
	// Life tells apart the processes that ran on one life of a VM.
	Life uint64 `json:"life"`
}

// Seats folds the stream of seats. Every reader gets the same result, since the only
// clock is the log service's time of each append.
type Seats struct {
	holder map[int]seat
	next   units.Offset
}

type seat struct {
	units.Instance
	life uint64
	at   time.Time
}

// NewSeats returns a fold that has read nothing.
func NewSeats() *Seats { return &Seats{holder: map[int]seat{}} }

// Next returns the offset to read from.
func (se *Seats) Next() units.Offset { return se.next }

// Read folds the record at off, which the log service received at at.
func (se *Seats) Read(off units.Offset, at time.Time, rec SeatRecord) {
	if off < se.next {
		return
	}
	se.next = off + 1
	switch rec.Op {
	case SeatClaim:
		se.claim(at, rec)
	case SeatRelease:
		if ho, ok := se.holder[rec.Seat]; ok && ho.Instance == rec.Instance && ho.life == rec.Life {
			delete(se.holder, rec.Seat)
		}
	case SeatGone:
		for num, ho := range se.holder {
			if ho.Instance == rec.Instance {
				delete(se.holder, num)
			}
		}
	}
}

// claim accepts a record if the seat is free, lapsed, the claimant's own, or held by
// an earlier life of the claimant's VM.
func (se *Seats) claim(at time.Time, rec SeatRecord) {
	ho, held := se.holder[rec.Seat]
	if held && at.Sub(ho.at) < SeatTime && !follows(rec, ho) {
		return
	}
	for num, other := range se.holder {
		if num != rec.Seat && other.VM == rec.VM && follows(rec, other) {
			delete(se.holder, num)
		}
	}
	se.holder[rec.Seat] = seat{Instance: rec.Instance, life: rec.Life, at: at}
}

func follows(rec SeatRecord, ho seat) bool {
	if rec.VM != ho.VM {
		return false
	}
	if rec.Incarnation != ho.Incarnation {
		return rec.Incarnation > ho.Incarnation
	}
	return rec.Life >= ho.life
}

// Holder returns the seat that a process holds. ok is false if it holds none.
func (se *Seats) Holder(id units.Instance, life uint64) (num int, ok bool) {
	for num, ho := range se.holder {
		if ho.Instance == id && ho.life == life {
			return num, true
		}
	}
	return 0, false
}

// Pick returns the seat to claim among the first count: one's VM's own, or the first
// free one from a start that differs from node to node. ok is false if none is free.
func (se *Seats) Pick(id units.VMID, count, start int, now time.Time) (num int, ok bool) {
	for num, ho := range se.holder {
		if ho.VM == id && num < count {
			return num, true
		}
	}
	for step := 0; step < count; step++ {
		num := (start + step) % count
		ho, held := se.holder[num]
		if !held || now.Sub(ho.at) > SeatTime {
			return num, true
		}
	}
	return 0, false
}

// Held returns who holds each seat.
func (se *Seats) Held() map[int]units.Instance {
	out := make(map[int]units.Instance, len(se.holder))
	for num, ho := range se.holder {
		out[num] = ho.Instance
	}
	return out
}
