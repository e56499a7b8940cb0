// Package units defines the types of identifiers and quantities that other packages share.
package units

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Identifiers are opaque strings chosen by the platform or the operators, unless noted.
type (
	// CustomerID identifies a customer in the table.
	CustomerID string
	// TargetID identifies a model or a plain service in the table.
	TargetID string
	// RequestKind identifies a kind of request in the table.
	RequestKind string
	// VMID identifies a VM in the platform's VM list. Ids can be reused.
	VMID string
	// ZoneID identifies a zone, which is one data centre.
	ZoneID string
	// NodeID identifies one running lycheepickd.
	NodeID string
	// RequestID identifies one accepted request.
	RequestID string
	// SoftwareVersion is the version of the software of a backend server, "" if it names none.
	SoftwareVersion string
	// AttemptID numbers the dispatches of one request, from 1.
	AttemptID uint32
	// PrefixKey is the hash of the leading blocks of a prompt.
	PrefixKey uint64
)

// Quantities.
type (
	// Incarnation numbers the VMs that had one id; a later one has a larger number.
	Incarnation uint64
	// Version is the number of a version of the table, from 1, or of the configuration of the
	// users' platform.
	Version uint64
	// Offset is the position of a record in a stream of the log service or of the store.
	Offset int64
	// Era counts how often the store has come back from an older copy of itself. Offsets of
	// different eras can't be compared: some are given out again.
	Era int64
	// Tokens is a number of model tokens.
	Tokens int64
	// TokensPerSecond is a rate of model tokens.
	TokensPerSecond float64
	// RequestsPerSecond is a rate of requests.
	RequestsPerSecond float64
	// PricePerHour is the price of a VM in US dollars an hour.
	PricePerHour float64
	// Bytes is a number of bytes.
	Bytes int64
	// BytesPerSecond is a rate of bytes.
	BytesPerSecond float64
)

// Instance identifies one incarnation of a VM.
type Instance struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
}

// Duration is a time.Duration that JSON encodes as a string such as "1.1s".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (du Duration) Std() time.Duration { return time.Duration(du) }

// String returns the value in the notation of time.Duration.
func (du Duration) String() string { return time.Duration(du).String() }

// MarshalJSON encodes the value as a string with a unit.
func (du Duration) MarshalJSON() ([]byte, error) { return json.Marshal(du.String()) }

// UnmarshalJSON decodes a string such as "250ms". A number is rejected, since it has no unit.
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
