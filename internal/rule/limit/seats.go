package limit

import (
	"time"

	"lycheepick/internal/rule/units"
)

// SeatTTL is how long a claim to a seat is valid unless it is renewed. It outlasts ordinary
// outages of the log service, during which no node can renew.
const SeatTTL = 2 * time.Hour

// SeatRenewInterval is the time between renewals.
const SeatRenewInterval = 5 * time.Minute

// SeatOp is the operation of a record in the seat stream.
type SeatOp string

// The operations.
const (
	// SeatClaim takes a free seat or renews one's own.
	SeatClaim SeatOp = "claim"
	// SeatRelease frees one's own seat.
	SeatRelease SeatOp = "release"
	// SeatGone frees the seat of a VM that is no longer in the VM list.
	SeatGone SeatOp = "gone"
)

// SeatRecord is one record of the seat stream.
type SeatRecord struct {
	Op SeatOp `json:"op"`
	// Seat is the number of the claimed seat, from 0.
	Seat int `json:"seat"`
	units.Instance
	// ProcessIncarnation tells apart the processes that ran on one incarnation of a VM.
	ProcessIncarnation uint64 `json:"life"`
}

// Seats folds the seat stream. Every reader gets the same result, since the only clock is the
// log service's time of each append.
type Seats struct {
	holders map[int]seatHolder
	next    units.Offset
}

type seatHolder struct {
	units.Instance
	processIncarnation uint64
	at                 time.Time
}

// NewSeats returns a fold that has read nothing, with all seats free.
func NewSeats() *Seats { return &Seats{holders: map[int]seatHolder{}} }

// NextOffset returns the offset to read from.
func (se *Seats) NextOffset() units.Offset { return se.next }

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
		if ho, ok := se.holders[rec.Seat]; ok && ho.Instance == rec.Instance && ho.processIncarnation == rec.ProcessIncarnation {
			delete(se.holders, rec.Seat)
		}
	case SeatGone:
		for num, ho := range se.holders {
			if ho.Instance == rec.Instance {
				delete(se.holders, num)
			}
		}
	}
}

// claim accepts a record if the seat is free or its claim has expired, or if it belongs to the
// claimant or an earlier incarnation of the claimant's VM.
func (se *Seats) claim(at time.Time, rec SeatRecord) {
	ho, held := se.holders[rec.Seat]
	if held && at.Sub(ho.at) < SeatTTL && !supersedes(rec, ho) {
		return
	}
	for num, other := range se.holders {
		if num != rec.Seat && other.VM == rec.VM && supersedes(rec, other) {
			delete(se.holders, num)
		}
	}
	se.holders[rec.Seat] = seatHolder{Instance: rec.Instance, processIncarnation: rec.ProcessIncarnation, at: at}
}

func supersedes(rec SeatRecord, ho seatHolder) bool {
	if rec.VM != ho.VM {
		return false
	}
	if rec.Incarnation != ho.Incarnation {
		return rec.Incarnation > ho.Incarnation
	}
	return rec.ProcessIncarnation >= ho.processIncarnation
}

// Holder returns the seat that a process holds. ok is false if it holds none.
func (se *Seats) Holder(id units.Instance, processIncarnation uint64) (num int, ok bool) {
	for num, ho := range se.holders {
		if ho.Instance == id && ho.processIncarnation == processIncarnation {
			return num, true
		}
	}
	return 0, false
}

// Pick returns the seat to claim among the first count: the VM's own, or the first free one
// from start on, which differs from node to node. ok is false if none is free.
func (se *Seats) Pick(id units.VMID, count, start int, now time.Time) (num int, ok bool) {
	for num, ho := range se.holders {
		if ho.VM == id && num < count {
			return num, true
		}
	}
	for step := 0; step < count; step++ {
		num := (start + step) % count
		ho, held := se.holders[num]
		if !held || now.Sub(ho.at) > SeatTTL {
			return num, true
		}
	}
	return 0, false
}

// Held returns the VM that holds each seat, including expired claims.
func (se *Seats) Held() map[int]units.Instance {
	out := make(map[int]units.Instance, len(se.holders))
	for num, ho := range se.holders {
		out[num] = ho.Instance
	}
	return out
}
