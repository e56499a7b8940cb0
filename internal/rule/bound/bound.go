// Package bound decodes what other writers have written to the store, sent in headers, or reported.
// All of it may be of any size, nesting and range, so that limits are applied here and in no other
// place.
package bound

import (
	"encoding/json"
	"math"
	"net"
	"strconv"
	"time"

	"lycheepick/internal/rule/fault"
)

// Kind tells which limit data exceeds.
type Kind string

// The kinds of error of this package.
const (
	// KindSize marks data that is too long or nested too deeply.
	KindSize Kind = "size"
	// KindSyntax marks data that is no JSON or has a field of another type.
	KindSyntax Kind = "syntax"
	// KindRange marks a number out of its range.
	KindRange Kind = "range"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Limits bound a document.
type Limits struct{ Bytes, Depth int }

// The limits of the documents that nodes read.
var (
	// Record bounds a server's record, a node's address and the like.
	Record = Limits{Bytes: 64 << 10, Depth: 8}
	// Origins bounds a batch of origins of streams.
	Origins = Limits{Bytes: 1 << 20, Depth: 4}
	// Lease bounds the record of the lease, which holds counts of all nodes.
	Lease = Limits{Bytes: 4 << 20, Depth: 12}
	// Message bounds a message of a peer, which may hold a configuration.
	Message = Limits{Bytes: 32 << 20, Depth: 16}
	// Config bounds a configuration.
	Config = Limits{Bytes: 16 << 20, Depth: 16}
	// Listing bounds a page of a listing of the store.
	Listing = Limits{Bytes: 8 << 20, Depth: 8}
)

// JSON decodes a document into out. The error is of KindSize or KindSyntax.
func JSON(raw []byte, li Limits, out any) error {
	const op = "bound.JSON"
	if len(raw) > li.Bytes {
		return fault.New(op, KindSize, "%d bytes, want %d at most", len(raw), li.Bytes)
	}
	if depth := Depth(raw); depth > li.Depth {
		return fault.New(op, KindSize, "nested %d deep, want %d at most", depth, li.Depth)
	}
	return fault.Wrap(op, KindSyntax, json.Unmarshal(raw, out))
}

// Depth returns how deeply the arrays and objects of a document are nested.
func Depth(raw []byte) int {
	depth, most, quoted := 0, 0, false
	for idx := 0; idx < len(raw); idx++ {
		switch ch := raw[idx]; {
		case quoted && ch == '\\':
			idx++
		case ch == '"':
			quoted = !quoted
		case quoted:
		case ch == '[' || ch == '{':
			depth++
			most = max(most, depth)
		case ch == ']' || ch == '}':
			depth--
		}
	}
	return most
}

// maxAddress bounds the bytes of an address.
const maxAddress = 255

// Address fails unless an address can be dialled: a host and a port from 1 to 65535.
func Address(addr string) error {
	const op = "bound.Address"
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fault.Wrap(op, KindSyntax, err)
	}
	if num, err := strconv.ParseUint(port, 10, 16); err != nil || num == 0 || host == "" || len(addr) > maxAddress {
		return fault.New(op, KindRange, "%.40q has no host, or no port from 1 to 65535", addr)
	}
	return nil
}

// Whole returns a number as an integer, with its fraction cut off. It fails if the number is not from
// 0 to most: the conversion of larger ones depends on the processor.
func Whole(name string, val float64, most int64) (int64, error) {
	if !(val >= 0 && val <= float64(most)) {
		return 0, fault.New("bound.Whole", KindRange, "%s is %g, want 0 to %d", name, val, most)
	}
	return int64(val), nil
}

// Millis returns a number of milliseconds as a duration. It fails if it is not from 0 to most.
func Millis(name string, val float64, most time.Duration) (time.Duration, error) {
	if !(val >= 0 && val <= float64(most.Milliseconds())) {
		return 0, fault.New("bound.Millis", KindRange, "%s is %g ms, want 0 to %s", name, val, most)
	}
	return time.Duration(val * float64(time.Millisecond)), nil
}

// Clamp returns the value nearest to val that is from least to most.
func Clamp[T ~int | ~int64 | ~float64](val, least, most T) T {
	if math.IsNaN(float64(val)) {
		return least
	}
	return min(max(val, least), most)
}

// First returns the first count items of a list at most.
func First[T any](list []T, count int) []T { return list[:min(len(list), count)] }
