// Package stream describes the append-only streams of the platform's store as the node
// uses them. Package platform implements it.
package stream

import (
	"context"
	"time"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Kind tells what is known of a call that failed.
type Kind string

// The kinds of error of this package.
const (
	// KindUnavailable marks a call that had no effect, since the store refused it.
	KindUnavailable Kind = "unavailable"
	// KindUnanswered marks a call whose effect is unknown.
	KindUnanswered Kind = "unanswered"
	// KindConflict marks a conditional append to a stream that had grown.
	KindConflict Kind = "conflict"
	// KindExpired marks a read of records that are no longer kept.
	KindExpired Kind = "expired"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Name names a stream.
type Name string

// Keyed is a record of a stream that keeps the newest record of each key.
type Keyed struct {
	Offset units.Offset
	Key    string
	// Value is empty for a key that was removed.
	Value []byte
}

// Page is the result of a read.
type Page struct {
	// From is the offset of the first record, End that after the last one kept.
	From, End units.Offset
	Records   [][]byte
}

// Store is the platform's store.
type Store interface {
	// Append appends records. If at is not negative, it does so only if the stream ends
	// there. It returns the offset of the first record.
	Append(ctx context.Context, na Name, at units.Offset, records ...[]byte) (units.Offset, error)
	// Read returns records from an offset on, and waits for the first one.
	Read(ctx context.Context, na Name, from units.Offset, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key, and the end of the stream before
	// the first was read.
	Newest(ctx context.Context, na Name) ([]Keyed, units.Offset, error)
}

// Anywhere is the condition of an append that has none.
const Anywhere units.Offset = -1
