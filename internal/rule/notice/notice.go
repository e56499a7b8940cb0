// Package notice holds what backend servers say of themselves in their answers, such as that they
// leave, and what other nodes have heard of it.
//
// A server tells only the node that it answers. Nodes pass what they hear on in the reports that
// they exchange anyway: changes for some seconds, and some older notices for nodes that missed
// them. What arrives in which order does not matter: the policy of a table decides which of two
// notices of one server holds.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package notice

import (
	"math/rand/v2"
	"slices"
	"time"

	"lycheepick/internal/rule/units"
)

// Server identifies one incarnation of a backend server. What it says does not apply to the next
// one.
type Server struct {
	ID          units.VMID `json:"server" cbor:"1,keyasint"`
	StartUnixMS int64      `json:"start,omitempty" cbor:"2,keyasint,omitempty"`
}

// Policy decides which notices of a kind hold. The zero value of V means that the server says
// nothing of that kind.
type Policy[V comparable] interface {
	// Replaces reports whether a notice from a time replaces one from another.
	Replaces(have V, haveAt time.Time, next V, nextAt time.Time) bool
	// TTL is the time after its answer at which a notice ends, 0 for never.
	TTL(sv Server, val V) time.Duration
}

// Heard is a notice as an answer of the server gave it some time ago.
type Heard[V comparable] struct {
	Server
	Value V
	Age   time.Duration
}

const (
	// announceTime is how long a change is part of each report. Reports also have up to
	// maxRepeated older notices, for nodes that missed the change.
	announceTime = 5 * time.Second
	maxRepeated  = 16
	// forgetTime is how long the notice of a server is kept that is not in the list of servers.
	forgetTime = time.Minute
	// maxRows bounds the servers with a notice, since peers name them.
	maxRows = 4096
)

// Table holds the notices of one kind.
type Table[V comparable] struct {
	policy Policy[V]
	rows   map[Server]row[V]
	// turn counts the times that all older notices have been repeated, from 1.
	turn int
}

type row[V comparable] struct {
	value V
	// at is when the server gave the answer, changedAt when this node learned of the latest
	// change.
	at, changedAt time.Time
	// turn is the latest turn in which the notice was repeated.
	turn int
}

// NewTable returns a table without notices.
func NewTable[V comparable](po Policy[V]) *Table[V] {
	return &Table[V]{policy: po, rows: map[Server]row[V]{}, turn: 1}
}

// Observe records the notice of an answer that a server gave at a time, which may be the zero value.
// It returns true if that is a change.
func (ta *Table[V]) Observe(now, at time.Time, sv Server, val V) bool {
	var none V
	ro, known := ta.rows[sv]
	if !known && (val == none || len(ta.rows) >= maxRows) {
		return false
	}
	if at.After(now) {
		at = now
	}
	if known && !ta.policy.Replaces(ro.value, ro.at, val, at) {
		return false
	}
	changed := !known || ro.value != val
	ro.at = at
	if changed {
		ro.value, ro.changedAt = val, now
	}
	ta.rows[sv] = ro
	return changed
}

// Merge records what a peer has heard, as of a time, and returns the changes.
func (ta *Table[V]) Merge(now, asOf time.Time, list []Heard[V]) []Heard[V] {
	var changes []Heard[V]
	for _, he := range list {
		if he.Age >= 0 && ta.Observe(now, asOf.Add(-he.Age), he.Server, he.Value) {
			changes = append(changes, he)
		}
	}
	return changes
}

// Get returns what a server says, the zero value for nothing.
func (ta *Table[V]) Get(sv Server) V { return ta.rows[sv].value }

// Has reports whether there is a notice of a server, also one that it says nothing any more.
func (ta *Table[V]) Has(sv Server) bool {
	_, ok := ta.rows[sv]
	return ok
}

// Len returns the number of servers with a notice.
func (ta *Table[V]) Len() int { return len(ta.rows) }

// Age returns the time since the answer in which a server said so.
func (ta *Table[V]) Age(now time.Time, sv Server) time.Duration {
	if ro, ok := ta.rows[sv]; ok {
		return now.Sub(ro.at)
	}
	return 0
}

// Heard returns the notices to report to a peer: all that changed lately and some others.
func (ta *Table[V]) Heard(now time.Time) []Heard[V] {
	var out, others []Heard[V]
	var none V
	for sv, ro := range ta.rows {
		he := Heard[V]{Server: sv, Value: ro.value, Age: now.Sub(ro.at)}
		if ttl := ta.policy.TTL(sv, ro.value); ttl > 0 && he.Age > ttl {
			continue
		}
		switch {
		case now.Sub(ro.changedAt) <= announceTime:
			out = append(out, he)
		case ro.value != none:
			others = append(others, he)
		}
	}
	return append(out, ta.pickRepeated(others)...)
}

// pickRepeated picks up to maxRepeated of the older notices at random, none twice before all have had their turn.
// A choice without turns can leave one out for hundreds of reports, and turns in a fixed order can tell a peer the
// same ones each time.
func (ta *Table[V]) pickRepeated(others []Heard[V]) []Heard[V] {
	due := slices.DeleteFunc(others, func(he Heard[V]) bool { return ta.rows[he.Server].turn == ta.turn })
	rand.Shuffle(len(due), func(one, two int) { due[one], due[two] = due[two], due[one] })
	last := len(due) <= maxRepeated
	due = due[:min(len(due), maxRepeated)]
	for _, he := range due {
		ro := ta.rows[he.Server]
		ro.turn = ta.turn
		ta.rows[he.Server] = ro
	}
	if last {
		ta.turn++
	}
	return due
}

// Retain ends notices whose time is over, and forgets those of servers that are not listed and have
// not answered for a while.
func (ta *Table[V]) Retain(now time.Time, listed func(Server) bool) {
	for sv, ro := range ta.rows {
		age, ttl := now.Sub(ro.at), ta.policy.TTL(sv, ro.value)
		if ttl > 0 && age > ttl || age > forgetTime && !listed(sv) {
			delete(ta.rows, sv)
		}
	}
}
