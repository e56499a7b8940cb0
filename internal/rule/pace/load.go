// Package pace keeps what is known of how fast the servers of a service work: the figures that servers report of
// themselves, the times that answers take, and the observations that nodes exchange of both.
//
// A server reports its pace, which may change many times a second, only to the node that it answers. An observation
// therefore loses weight with its age. What a server reports of itself may be false, so that each use of it is bounded;
// measured times are kept apart from it.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package pace

import (
	"lycheepick/internal/rule/fault"
)

// Kind classifies the errors of this package.
type Kind string

// KindRange marks reported figures that are out of range.
const KindRange Kind = "range"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Percent is the pace of a server: 100 is the usual pace, 250 means that work takes 2.5 times as long, and 0 that the server
// doesn't report it.
type Percent int

const (
	// Usual is the pace of a server that is not slowed.
	Usual Percent = 100
	// MinPercent is the fastest pace that a server may report.
	MinPercent Percent = 10
	// MaxPercent is the slowest pace that a server may report.
	MaxPercent Percent = 10_000
	// MaxRequests bounds the slots of a server, and its requests in progress and waiting.
	MaxRequests = 1 << 20
)

// Load is what a server reports of itself. The zero value means that it has reported nothing.
type Load struct {
	// Running are the requests in progress, Waiting those that wait for one of the Slots.
	Running, Waiting, Slots int
	Pace                    Percent
}

// Named reports whether the server has reported its load.
func (lo *Load) Named() bool { return lo.Slots > 0 }

// Check returns an error of KindRange if a figure is out of range.
func (lo *Load) Check() error {
	const op = "pace.Check"
	switch {
	case lo.Running < 0 || lo.Running > MaxRequests:
		return fault.New(op, KindRange, "%d running", lo.Running)
	case lo.Waiting < 0 || lo.Waiting > MaxRequests:
		return fault.New(op, KindRange, "%d waiting", lo.Waiting)
	case lo.Slots < 1 || lo.Slots > MaxRequests:
		return fault.New(op, KindRange, "%d slots", lo.Slots)
	case lo.Pace != 0 && (lo.Pace < MinPercent || lo.Pace > MaxPercent):
		return fault.New(op, KindRange, "pace of %d percent", lo.Pace)
	}
	return nil
}
