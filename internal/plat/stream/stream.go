// Package stream defines the interface to the append-only streams of the platform's store.
// Package platform implements it.
package stream

import (
	"context"
	"time"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Kind classifies a failed call by its cause and whether it may have had an effect.
type Kind string

// The kinds of error of this package.
const (
	// KindUnavailable means that the call had no effect: the store was unreachable or
	// rejected it.
	KindUnavailable Kind = "unavailable"
	// KindUnanswered means that the call may or may not have had an effect.
	KindUnanswered Kind = "unanswered"
	// KindConflict means that a conditional append found the stream's end at another offset.
	KindConflict Kind = "conflict"
	// KindExpired means that a call names an offset that the store no longer has, or that
	// belongs to an era before the store came back from an older copy.
	KindExpired Kind = "expired"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Name is the name of a stream in the store.
type Name string

// Keyed is a record of a keyed stream, in which the newest record of each key is kept.
type Keyed struct {
	Offset units.Offset
	Key    string
	// Value is empty in the record that removes the key.
	Value []byte
}

// Listing is the newest record of each key of a stream.
type Listing struct {
	Items []Keyed
	// End is the end of the stream as of before the first item was read.
	End units.Offset
	Era units.Era
}

// Page is the result of a read.
type Page struct {
	// From is the offset of the first record in the page, End the offset after the last
	// record of the stream.
	From, End units.Offset
	// First is the offset of the first record that is stored.
	First   units.Offset
	Era     units.Era
	Records [][]byte
}

// Store is the platform's store.
type Store interface {
	// Append appends records and returns the offset of the first. If at is not negative,
	// it appends only if the stream ends at that offset, and else fails with KindConflict, or
	// with KindExpired if the store's era has changed since the stream was listed. The records may
	// have been appended then.
	Append(ctx context.Context, na Name, at units.Offset, records ...[]byte) (units.Offset, error)
	// Read returns records from offset from on. If there is none, it waits up to wait for
	// the first. It fails with KindExpired if the offset isn't stored any more, or if the
	// store's era has changed since the stream was listed. In the first case Page.First is set.
	Read(ctx context.Context, na Name, from units.Offset, wait time.Duration) (Page, error)
	// Newest lists the newest record of each key. The answer has to begin within a time, 0 for the usual one.
	Newest(ctx context.Context, na Name, within time.Duration) (Listing, error)
}

// Unconditional is the offset to pass to Append for an unconditional append.
const Unconditional units.Offset = -1
