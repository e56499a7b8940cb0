// Package roll decides how the requests of a service move to servers of another software version
// while an order of the operators is in force.
//
// Each node sends a small share of its requests to a few of the target's servers, the canary, and
// compares their answers with those of the other versions. Nodes tell each other their totals, and
// relay those of others, so that each node stops the canary by itself soon after the answers of the
// target are clearly worse. The holder of the lease records the phases.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package roll

import (
	"time"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Phase is a step of a rollout. Within an order phases only grow.
type Phase int

// The phases.
const (
	// None is the phase of an order for which nothing is recorded yet. No request goes to the target.
	None Phase = iota
	// Canary sends a small share of the requests to a few servers of the target.
	Canary
	// Shift sends all new requests to the target.
	Shift
	// Completed ends the rollout. The other versions get nothing.
	Completed
	// RolledBack ends the rollout. The target gets nothing.
	RolledBack
)

// String returns the name of the phase in records and logs.
func (ph Phase) String() string {
	switch ph {
	case Canary:
		return "canary"
	case Shift:
		return "shift"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled_back"
	default:
		return "none"
	}
}

// ParsePhase returns the phase with a name. ok is false if there is none.
func ParsePhase(name string) (ph Phase, ok bool) {
	for ph = None; ph <= RolledBack; ph++ {
		if ph.String() == name {
			return ph, true
		}
	}
	return None, false
}

// IsFinal reports whether no phase follows.
func (ph Phase) IsFinal() bool { return ph == Completed || ph == RolledBack }

// Group is the set of servers to which a request may go.
type Group int

// The groups.
const (
	// Any is all servers of the service: no order controls them.
	Any Group = iota
	// Target is the servers of the version that the order names, in the canary only a few of them.
	Target
	// Others is the servers of all other versions.
	Others
)

// Order is an order to move the traffic of a service to a software version.
type Order struct {
	Service units.TargetID
	Target  units.SoftwareVersion
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Offset and Era identify the order: they are those of its record in the store.
	Offset units.Offset
	Era    units.Era
}

// State is the phase of an order as it is recorded in the store and reported to peers.
type State struct {
	Offset units.Offset          `json:"offset" cbor:"1,keyasint"`
	Era    units.Era             `json:"era,omitempty" cbor:"2,keyasint,omitempty"`
	Target units.SoftwareVersion `json:"target" cbor:"3,keyasint"`
	Phase  Phase                 `json:"phase" cbor:"4,keyasint"`
}

// Validate returns an error of kind KindOrder for an order that can't be followed.
func (or *Order) Validate() error {
	const op = "roll.Validate"
	switch {
	case or.Service == "":
		return fault.New(op, KindOrder, "no service")
	case or.Target == "":
		return fault.New(op, KindOrder, "no target version for service %q", or.Service)
	case or.Duration <= 0 || or.Duration > maxDuration:
		return fault.New(op, KindOrder, "duration %s for service %q, want more than 0 and at most %s", or.Duration, or.Service, maxDuration)
	}
	return nil
}

// maxDuration bounds the time of a rollout.
const maxDuration = 7 * 24 * time.Hour

// Kind tells callers how to handle an Error.
type Kind string

// KindOrder is an order that can't be followed.
const KindOrder Kind = "order"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Policy holds the bounds of rollouts.
type Policy struct {
	// Share and Slack bound the requests that a bad version gets: Share of all requests of the service
	// between the order and its deadline, and Slack requests more.
	Share float64
	Slack int
	// RollbackBound is the time after the 50th bad answer of a version after which it gets nothing.
	RollbackBound time.Duration
}

// Answer is the end of a request.
type Answer struct {
	// Failed is set if the server is at fault for an answer that is missing, broken or an error.
	Failed bool
	// First is the time from sending the request to the first event, or to the answer of a plain service.
	First time.Duration
	// Counted is set if the answer says something about the server: not if the caller left, or if the server
	// refused the request or was reclaimed.
	Counted bool
}

// Report is what a node tells its peers of the rollout of one service. The byte strings are packed
// numbers, as each node of a large fleet sends some 50 reports a second.
type Report struct {
	// Offset and Era identify the order, and Age is the time since the node, or a peer of it, first saw it.
	Offset units.Offset  `json:"offset" cbor:"1,keyasint"`
	Era    units.Era     `json:"era,omitempty" cbor:"2,keyasint,omitempty"`
	Age    time.Duration `json:"age" cbor:"3,keyasint"`
	// Key identifies the process whose totals these are.
	Key uint32 `json:"key,omitempty" cbor:"4,keyasint,omitempty"`
	// Stopped is set once the evidence says that the target is bad.
	Stopped bool `json:"stopped,omitempty" cbor:"5,keyasint,omitempty"`
	// Open is the number of the node's requests in progress at the other versions.
	Open int `json:"open,omitempty" cbor:"6,keyasint,omitempty"`
	// OpenTarget is the number of those at the target.
	OpenTarget int `json:"open_target,omitempty" cbor:"13,keyasint,omitempty"`
	// Target and Others are the node's totals of answers, by route.
	Target []byte `json:"target_counts,omitempty" cbor:"7,keyasint,omitempty"`
	Others []byte `json:"other_counts,omitempty" cbor:"8,keyasint,omitempty"`
	// Relayed are the target's totals of other nodes.
	Relayed []byte `json:"relayed,omitempty" cbor:"9,keyasint,omitempty"`
	// Phase is the order's phase at the node.
	Phase Phase `json:"phase,omitempty" cbor:"10,keyasint,omitempty"`
	// Reason says why the node has stopped.
	Reason string `json:"reason,omitempty" cbor:"12,keyasint,omitempty"`
	// Usual is the node's usual time to the first event, by route and prompt size.
	Usual []byte `json:"usual,omitempty" cbor:"11,keyasint,omitempty"`
}

// Explanation says why the rollout of a service is where it is, for logs and operators.
type Explanation struct {
	Phase Phase `json:"phase"`
	// Stopped is set if this node sends nothing to the target, as its answers are worse.
	Stopped bool `json:"stopped,omitempty"`
	// Reason is the latest decision in words, empty before the first one.
	Reason string `json:"reason,omitempty"`
	// Answers and Bad are the target's answers known here, and those of them that failed or were slow.
	Answers int64 `json:"answers"`
	Bad     int64 `json:"bad"`
}
