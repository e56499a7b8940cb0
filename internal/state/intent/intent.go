// Package intent folds the log streams of idempotency keys. The first intent for a key
// in the order of the log wins, and only its writer may dispatch the request, once. So
// a request with a key runs at most once, whichever nodes get it and however late any
// of them acts.
package intent

import (
	"time"

	"lycheepick/internal/rule/units"
)

// Key is an idempotency key; keys of different customers are different keys.
type Key struct {
	Customer units.CustomerID `json:"customer"`
	Key      string           `json:"key"`
}

// ID names one intent. A node uses a new one for each request that it reads.
type ID string

// Op tells what an entry does.
type Op string

// The operations.
const (
	// OpIntent claims a key.
	OpIntent Op = "intent"
	// OpOutcome records the end of the request.
	OpOutcome Op = "outcome"
	// OpAbandon says that the writer of the intent will never dispatch it.
	OpAbandon Op = "abandon"
)

// Answer is what is kept of the end of a request.
type Answer struct {
	// Outcome is "done" or "unknown".
	Outcome     string `json:"outcome"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// MaxBody bounds the body that is kept with an outcome.
const MaxBody units.Bytes = 16 << 10

// Entry is one change of one key.
type Entry struct {
	Op Op `json:"op"`
	Key
	Intent ID `json:"intent"`
	// Fingerprint is a hash of the request, so that a key used for two different
	// requests is found out.
	Fingerprint string  `json:"fingerprint,omitempty"`
	Answer      *Answer `json:"answer,omitempty"`
}

// Batch is one record of a stream.
type Batch struct {
	// ID is unique; a writer whose append went unanswered finds its record by it.
	ID      string  `json:"id"`
	Entries []Entry `json:"entries"`
}

// Verdict is the answer to a claim.
type Verdict int

// The verdicts.
const (
	// Undecided means that the fold has not seen the intent; it may yet appear.
	Undecided Verdict = iota
	// Won means that the writer of the intent may dispatch the request, once.
	Won
	// InProgress means that another intent holds the key and has no outcome yet.
	InProgress
	// Answered means that the request has ended.
	Answered
	// Conflict means that the key was used for a different request.
	Conflict
)

type slot struct {
	intent      ID
	fingerprint string
	answer      *Answer
	at          time.Time
}

// Fold holds the state of the keys of one stream. It is not safe for concurrent use.
type Fold struct {
	keys map[Key]slot
	// abandoned holds intents that were abandoned before they stood in the log, as
	// happens when an append is delayed beyond its writer's patience.
	abandoned map[ID]time.Time
	next      units.Offset
}

// NewFold returns a fold that has read nothing.
func NewFold() *Fold { return &Fold{keys: map[Key]slot{}, abandoned: map[ID]time.Time{}} }

// Next returns the offset to read from.
func (fo *Fold) Next() units.Offset { return fo.next }

// Len returns the number of keys remembered.
func (fo *Fold) Len() int { return len(fo.keys) }

// Skipped tells the fold that the log no longer holds the records before off.
func (fo *Fold) Skipped(off units.Offset) { fo.next = max(fo.next, off) }

// Read folds the record at off, which the log service received at at.
func (fo *Fold) Read(off units.Offset, at time.Time, ba Batch) {
	if off < fo.next {
		return
	}
	fo.next = off + 1
	for idx := range ba.Entries {
		fo.apply(at, &ba.Entries[idx])
	}
}

func (fo *Fold) apply(at time.Time, en *Entry) {
	cur, held := fo.keys[en.Key]
	switch en.Op {
	case OpIntent:
		if _, dead := fo.abandoned[en.Intent]; !held && !dead {
			fo.keys[en.Key] = slot{intent: en.Intent, fingerprint: en.Fingerprint, at: at}
		}
	case OpOutcome:
		// An outcome whose intent has expired from the log still counts: it keeps
		// the key from being run again.
		if !held || (cur.intent == en.Intent && cur.answer == nil) {
			fo.keys[en.Key] = slot{intent: en.Intent, fingerprint: en.Fingerprint, answer: en.Answer, at: at}
		}
	case OpAbandon:
		if held && cur.intent == en.Intent && cur.answer == nil {
			delete(fo.keys, en.Key)
		}
		fo.abandoned[en.Intent] = at
	}
}

// Claim answers the claim of an intent.
func (fo *Fold) Claim(ke Key, id ID, fingerprint string) (Verdict, *Answer) {
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

// Expire forgets the keys whose last record is older than before, as the log does.
func (fo *Fold) Expire(before time.Time) {
	for ke, cur := range fo.keys {
		if cur.at.Before(before) {
			delete(fo.keys, ke)
		}
	}
	for id, at := range fo.abandoned {
		if at.Before(before) {
			delete(fo.abandoned, id)
		}
	}
}
