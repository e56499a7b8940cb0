// Package answer implements the state machine of one request, from its arrival to exactly
// one final outcome, and delivers the tokens of its answer in order and once each.
//
// It does no I/O. The caller reports events and asks which actions are allowed; it must
// serialise the calls for one request.
package answer

import "lycheepick/internal/rule/units"

// State is the progress of a request. A request moves forward through the states only.
type State int

// The states. The last three are final.
const (
	// Received marks a request that was read but not admitted yet.
	Received State = iota
	// Accepted marks a request that was admitted and will reach a final state.
	Accepted
	// Dispatched marks a request for which at least one attempt was begun.
	Dispatched
	// Answering marks a request whose answer was delivered in part.
	Answering
	// Done marks a request whose complete answer was delivered.
	Done
	// NotRun marks a request that is known not to have run on any server.
	NotRun
	// Unknown marks a request that may have run and whose answer is incomplete.
	Unknown
)

var stateNames = [...]string{"received", "accepted", "dispatched", "answering", "done", "not_run", "unknown"}

// String returns the state in snake case.
func (st State) String() string { return stateNames[st] }

// Final reports whether the state is terminal.
func (st State) Final() bool { return st >= Done }

// FailureKind tells whether a failed attempt may have run on the server.
type FailureKind int

// The kinds of failure.
const (
	// MayHaveRun applies once any byte was sent to the server.
	MayHaveRun FailureKind = iota
	// NotSent means that no byte reached the server.
	NotSent
	// Refused means that the server replied that it did not run the request.
	Refused
)

// Action tells what to do with a received token or end of answer.
type Action int

// The actions.
const (
	// Drop discards it: it is late, a duplicate or from another attempt.
	Drop Action = iota
	// Deliver forwards it to the caller.
	Deliver
	// Gap means that earlier tokens are missing; the caller must fail the attempt.
	Gap
)

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	idempotent  bool
	maxAttempts units.AttemptID
	state       State
	attempt     units.AttemptID
	active      bool // The latest attempt has neither failed nor finished.
	mayHaveRun  bool
	nextToken   int
}

// New returns the machine of a request in state Received. maxAttempts bounds the
// dispatches; a request that is not idempotent is not retried once it may have run.
func New(idempotent bool, maxAttempts int) *Machine {
	return &Machine{idempotent: idempotent, maxAttempts: units.AttemptID(maxAttempts)}
}

// State returns the state after the events reported so far.
func (ma *Machine) State() State { return ma.state }

// NextToken returns the index of the next token to deliver, which equals the number of
// tokens delivered.
func (ma *Machine) NextToken() int { return ma.nextToken }

// Attempt returns the number of the latest attempt, counted from 1, or 0 before the first.
func (ma *Machine) Attempt() units.AttemptID { return ma.attempt }

// Accept moves a request from Received to Accepted; in other states it has no effect.
func (ma *Machine) Accept() {
	if ma.state == Received {
		ma.state = Accepted
	}
}

// Resume admits a request whose first next tokens were delivered by a peer node. The
// request counts as possibly run.
func (ma *Machine) Resume(next int) {
	ma.state = Answering
	ma.nextToken = next
	ma.mayHaveRun = true
}

// CanDispatch reports whether another attempt is allowed: none is in progress, the limit
// on attempts is not reached, and the request is idempotent or has certainly not run.
func (ma *Machine) CanDispatch() bool {
	if ma.state == Received || ma.state.Final() || ma.active {
		return false
	}
	if ma.attempt >= ma.maxAttempts {
		return false
	}
	return ma.idempotent || !ma.mayHaveRun
}

// Dispatch begins an attempt, which must produce the tokens from index NextToken on.
// ok is false if CanDispatch is false.
func (ma *Machine) Dispatch() (att units.AttemptID, ok bool) {
	if !ma.CanDispatch() {
		return 0, false
	}
	ma.attempt++
	ma.active = true
	if ma.state == Accepted {
		ma.state = Dispatched
	}
	return ma.attempt, true
}

// Token reports that attempt att produced the token at index, counted from 0.
func (ma *Machine) Token(att units.AttemptID, index int) Action {
	if !ma.isCurrent(att) || index < ma.nextToken {
		return Drop
	}
	if index > ma.nextToken {
		return Gap
	}
	ma.state = Answering
	ma.mayHaveRun = true
	ma.nextToken++
	return Deliver
}

// Finish reports the end of the answer of attempt att. count is the number of tokens of the
// whole answer, those of earlier attempts included.
func (ma *Machine) Finish(att units.AttemptID, count int) Action {
	if !ma.isCurrent(att) {
		return Drop
	}
	if count != ma.nextToken {
		return Gap
	}
	ma.active = false
	ma.state = Done
	return Deliver
}

// Fail reports that attempt att failed. It has no effect unless att is in progress.
func (ma *Machine) Fail(att units.AttemptID, fk FailureKind) {
	if !ma.isCurrent(att) {
		return
	}
	ma.active = false
	if fk == MayHaveRun {
		ma.mayHaveRun = true
	}
}

// HasNotRun reports whether no attempt is in progress and none can have run the request.
func (ma *Machine) HasNotRun() bool { return !ma.active && !ma.mayHaveRun }

// Supersede ends attempt att in favour of a planned next one, which does not count
// towards the maximum number of attempts.
func (ma *Machine) Supersede(att units.AttemptID) {
	if !ma.isCurrent(att) {
		return
	}
	ma.Fail(att, MayHaveRun)
	ma.maxAttempts++
}

// Abort ends the request without a complete answer and returns its final state: Unknown
// if the request may have run, else NotRun. A state that is already final is kept.
func (ma *Machine) Abort() State {
	if ma.state.Final() {
		return ma.state
	}
	if ma.active || ma.mayHaveRun {
		ma.state = Unknown
	} else {
		ma.state = NotRun
	}
	ma.active = false
	return ma.state
}

func (ma *Machine) isCurrent(att units.AttemptID) bool {
	return ma.active && att == ma.attempt && !ma.state.Final()
}
