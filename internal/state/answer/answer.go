// Package answer holds the state machine of one request, from its arrival to exactly
// one final outcome, and the order of the tokens of its answer.
//
// It does no I/O. The caller reports what happened and asks what is allowed; it
// serialises the calls for one request.
package answer

import "lycheepick/internal/rule/units"

// State is the progress of a request.
type State int

// The states. The last three are final.
const (
	// Received marks a request that was read and not yet admitted.
	Received State = iota
	// Accepted marks a request that was admitted; it must now come to an end.
	Accepted
	// Dispatched marks a request that an attempt was made for.
	Dispatched
	// Answering marks a request of whose answer a part was delivered.
	Answering
	// Done marks a request whose caller has the whole answer.
	Done
	// NotRun marks a request that certainly never ran.
	NotRun
	// Unknown marks a request that may have run and has no whole answer.
	Unknown
)

var stateNames = [...]string{"received", "accepted", "dispatched", "answering", "done", "not_run", "unknown"}

// String returns the state in snake case.
func (st State) String() string { return stateNames[st] }

// Final tells whether no event can change the state any more.
func (st State) Final() bool { return st >= Done }

// Evidence tells what is known of an attempt that failed.
type Evidence int

// The kinds of evidence.
const (
	// MayHaveRun is all that is known once a byte was sent.
	MayHaveRun Evidence = iota
	// NotSent is known if no byte reached the server.
	NotSent
	// Refused is known if the server itself said that it did not run the request.
	Refused
)

// Verdict tells what to do with a token or an end that arrived.
type Verdict int

// The verdicts.
const (
	// Drop discards it: it is late, doubled or of another attempt.
	Drop Verdict = iota
	// Deliver passes it on to the caller.
	Deliver
	// Gap means that tokens before it are missing, so that the attempt has failed.
	Gap
)

// Machine is the state of one request.
type Machine struct {
	idempotent bool
	attempts   units.AttemptID
	state      State
	attempt    units.AttemptID
	live       bool // The current attempt has not failed.
	mayHaveRun bool
	next       int
}

// New returns the machine of a request that was received. attempts bounds its
// dispatches; a request that is not idempotent is never sent again once it may have run.
func New(idempotent bool, attempts int) *Machine {
	return &Machine{idempotent: idempotent, attempts: units.AttemptID(attempts)}
}

// State returns the current state.
func (ma *Machine) State() State { return ma.state }

// Next returns the index of the next token to deliver, which is the number delivered.
func (ma *Machine) Next() int { return ma.next }

// Attempt returns the number of the latest attempt, 0 before the first.
func (ma *Machine) Attempt() units.AttemptID { return ma.attempt }

// Accept admits the request.
func (ma *Machine) Accept() {
	if ma.state == Received {
		ma.state = Accepted
	}
}

// Resume admits a request of which a peer has delivered the first next tokens.
func (ma *Machine) Resume(next int) {
	ma.state = Answering
	ma.next = next
	ma.mayHaveRun = true
}

// CanDispatch tells whether another attempt is allowed.
func (ma *Machine) CanDispatch() bool {
	if ma.state == Received || ma.state.Final() || ma.live {
		return false
	}
	if ma.attempt >= ma.attempts {
		return false
	}
	return ma.idempotent || !ma.mayHaveRun
}

// Dispatch begins an attempt, which must produce the tokens from index Next on.
// ok is false if none is allowed.
func (ma *Machine) Dispatch() (att units.AttemptID, ok bool) {
	if !ma.CanDispatch() {
		return 0, false
	}
	ma.attempt++
	ma.live = true
	if ma.state == Accepted {
		ma.state = Dispatched
	}
	return ma.attempt, true
}

// Token reports the token at index of attempt att.
func (ma *Machine) Token(att units.AttemptID, index int) Verdict {
	if !ma.current(att) || index < ma.next {
		return Drop
	}
	if index > ma.next {
		return Gap
	}
	ma.state = Answering
	ma.mayHaveRun = true
	ma.next++
	return Deliver
}

// Finish reports the end of the answer of attempt att, which has count tokens in all.
func (ma *Machine) Finish(att units.AttemptID, count int) Verdict {
	if !ma.current(att) {
		return Drop
	}
	if count != ma.next {
		return Gap
	}
	ma.live = false
	ma.state = Done
	return Deliver
}

// Fail reports the failure of attempt att, or that it is to be superseded.
func (ma *Machine) Fail(att units.AttemptID, ev Evidence) {
	if !ma.current(att) {
		return
	}
	ma.live = false
	if ev == MayHaveRun {
		ma.mayHaveRun = true
	}
}

// Supersede ends attempt att in favour of a planned next one, which does not count
// against the bound on attempts.
func (ma *Machine) Supersede(att units.AttemptID) {
	if !ma.current(att) {
		return
	}
	ma.Fail(att, MayHaveRun)
	ma.attempts++
}

// GiveUp ends the request without a whole answer and returns its outcome. It
// changes nothing once the request has ended.
func (ma *Machine) GiveUp() State {
	if ma.state.Final() {
		return ma.state
	}
	if ma.live || ma.mayHaveRun {
		ma.state = Unknown
	} else {
		ma.state = NotRun
	}
	ma.live = false
	return ma.state
}

func (ma *Machine) current(att units.AttemptID) bool {
	return ma.live && att == ma.attempt && !ma.state.Final()
}
