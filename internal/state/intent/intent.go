// Package intent folds the log streams of idempotency keys. The first intent for a key
// in log order wins, and only its writer may dispatch the request, once. So a request with
// a key runs at most once, even if several nodes receive it or a node acts after a long
// delay.
package intent

import (
	"time"

	"lycheepick/internal/rule/units"
)

// Key is an idempotency key within the namespace of a customer.
type Key struct {
	Customer units.CustomerID `json:"customer"`
	Key      string           `json:"key"`
}

// ID identifies one intent. A node uses a new one for each request that it receives.
type ID string

// Op is the operation of an entry.
type Op string

// The operations.
const (
	// OpIntent claims a key.
	OpIntent Op = "intent"
	// OpOutcome records the end of the request.
	OpOutcome Op = "outcome"
	// OpAbandon withdraws an intent: its writer will never dispatch the request.
	OpAbandon Op = "abandon"
)

// Answer is the stored result of a request, from which repeated requests are answered.
type Answer struct {
	// Outcome is "done" or "unknown".
	Outcome     string `json:"outcome"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// MaxBody is the size of the largest body that is stored with an outcome.
const MaxBody units.Bytes = 16 << 10

// Entry is one operation on one key.
type Entry struct {
	Op Op `json:"op"`
	Key
	Intent ID `json:"intent"`
	// Fingerprint is a hash of the request. It detects a key that is used for two
	// different requests.
	Fingerprint string  `json:"fingerprint,omitempty"`
	Answer      *Answer `json:"answer,omitempty"`
}

// Batch is one record of a stream; its entries are applied in order.
type Batch struct {
	// ID is unique; a writer whose append got no answer finds its record by it.
	ID      string  `json:"id"`
	Entries []Entry `json:"entries"`
}

// ClaimResult is the result of a claim.
type ClaimResult int

// The results of a claim.
const (
	// Undecided means that the fold holds no intent for the key; one may still be read.
	Undecided ClaimResult = iota
	// Won means that the writer of the intent may dispatch the request, once.
	Won
	// InProgress means that another intent won the key and has no outcome yet.
	InProgress
	// Answered means that the request has an outcome.
	Answered
	// Conflict means that the key was used for a different request.
	Conflict
)

type keyState struct {
	intent      ID
	fingerprint string
	answer      *Answer
	updatedAt   time.Time
}

// Fold computes the state of the keys of one stream from its records. It is not safe for
// concurrent use.
type Fold struct {
	keys map[Key]keyState
	// abandoned holds the intents with an OpAbandon. It may come before the intent in the
	// log, if the append of the intent was delayed beyond its writer's timeout.
	abandoned  map[ID]time.Time
	nextOffset units.Offset
}

// NewFold returns a fold without keys that reads from offset 0.
func NewFold() *Fold { return &Fold{keys: map[Key]keyState{}, abandoned: map[ID]time.Time{}} }

// NextOffset returns the offset of the next record to read.
func (fo *Fold) NextOffset() units.Offset { return fo.nextOffset }

// Len returns the number of keys that have not expired.
func (fo *Fold) Len() int { return len(fo.keys) }

// SkipTo reports that the log no longer holds the records before off.
func (fo *Fold) SkipTo(off units.Offset) { fo.nextOffset = max(fo.nextOffset, off) }

// Read folds the record at off, which the log service received at at. Records before
// NextOffset are ignored.
func (fo *Fold) Read(off units.Offset, at time.Time, ba Batch) {
	if off < fo.nextOffset {
		return
	}
	fo.nextOffset = off + 1
	for idx := range ba.Entries {
		fo.apply(at, &ba.Entries[idx])
	}
}

func (fo *Fold) apply(at time.Time, en *Entry) {
	cur, held := fo.keys[en.Key]
	switch en.Op {
	case OpIntent:
		if _, dead := fo.abandoned[en.Intent]; !held && !dead {
			fo.keys[en.Key] = keyState{intent: en.Intent, fingerprint: en.Fingerprint, updatedAt: at}
		}
	case OpOutcome:
		// An outcome is kept even if its intent has expired from the log, so that the
		// request does not run again.
		if !held || (cur.intent == en.Intent && cur.answer == nil) {
			fo.keys[en.Key] = keyState{intent: en.Intent, fingerprint: en.Fingerprint, answer: en.Answer, updatedAt: at}
		}
	case OpAbandon:
		if held && cur.intent == en.Intent && cur.answer == nil {
			delete(fo.keys, en.Key)
		}
		fo.abandoned[en.Intent] = at
	}
}

// Claim returns the state of a key as seen by the writer of intent id. The Answer is nil
// unless the result is Answered.
func (fo *Fold) Claim(ke Key, id ID, fingerprint string) (ClaimResult, *Answer) {
	cur, held := fo.keys[ke]
	switch {
	case !held:
		return Undecided, nil
	case cur.fingerprint != fingerprint:
		return Conflict, nil
	case cur.answer != nil:
		return Answered, cur.answer
	case cur.intent == id:
		return Won, nil
	}
	return InProgress, nil
}

// Expire drops the keys and the abandoned intents whose last record was received before a
// time; the log expires these records as well.
func (fo *Fold) Expire(before time.Time) {
	for ke, cur := range fo.keys {
		if cur.updatedAt.Before(before) {
			delete(fo.keys, ke)
		}
	}
	for id, at := range fo.abandoned {
		if at.Before(before) {
			delete(fo.abandoned, id)
		}
	}
}
