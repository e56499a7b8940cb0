// Package units holds the named types for identifiers and quantities that the
// other packages share.
package units

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Identifiers. Each is an opaque string chosen by the platform or the operators.
type (
	// CustomerID names a customer in the table.
	CustomerID string
	// TargetID names a model or a plain service in the table.
	TargetID string
	// RequestKind names a kind of request in the table.
	RequestKind string
	// VMID names a VM in the platform's VM list. Ids can be used again.
	VMID string
	// ZoneID names a zone, which is one data centre.
	ZoneID string
	// NodeID names one running lycheepickd.
	NodeID string
	// RequestID names one accepted request.
	RequestID string
	// AttemptID numbers the dispatches of one request, from 1.
	AttemptID uint32
	// PrefixKey is the hash of the leading part of a prompt.
	PrefixKey uint64
)

// Quantities.
type (
	// Incarnation numbers the lives of a VM id; a later life has a larger number.
	Incarnation uint64
	// Version numbers the tables that were in force, from 1.
	Version uint64
	// Offset is a position in a stream of the log service.
	Offset int64
	// Tokens counts model tokens.
	Tokens int64
	// TokensPerSecond is a rate of model tokens.
	TokensPerSecond float64
	// PricePerHour is the price of a VM in US dollars an hour.
	PricePerHour float64
	// Bytes counts bytes.
	Bytes int64
	// BytesPerSecond is a rate of bytes.
	BytesPerSecond float64
)

// Instance names one life of a VM.
type Instance struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
}

// Duration is a time.Duration that is written in JSON as a string such as "1.1s".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (du Duration) Std() time.Duration { return time.Duration(du) }

// String returns the value in the notation of time.Duration.
func (du Duration) String() string { return time.Duration(du).String() }

// MarshalJSON writes the value as a string.
func (du Duration) MarshalJSON() ([]byte, error) { return json.Marshal(du.String()) }

// UnmarshalJSON reads a string such as "250ms"; a number is refused, since it
// would carry no unit.
func (du *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Errorf("duration %s: write it as a string with a unit, such as \"1.5s\"", raw)
	}
	val, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("duration %q: write it with a unit, such as \"1.5s\"", text)
	}
	*du = Duration(val)
	return nil
}
