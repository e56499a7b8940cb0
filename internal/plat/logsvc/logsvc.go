// Package logsvc is the client of the platform's log service: streams of records
// with offsets, kept for a limited time.
package logsvc

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"lycheepick/internal/plat/httpc"
	"lycheepick/internal/rule/units"
)

// Stream names a stream of the log service.
type Stream string

// The streams that lycheepick uses.
const (
	// StreamTable carries the versions of the table.
	StreamTable Stream = "table"
	// StreamAudit carries decisions of the nodes.
	StreamAudit Stream = "audit"
	// StreamSeats carries the claims of entry VMs to a share of the limits.
	StreamSeats Stream = "seats"
)

// IntentStream returns the stream of one partition of idempotency keys.
func IntentStream(part int) Stream { return Stream(fmt.Sprintf("intent-%d", part)) }

// Record is one record of a stream.
type Record struct {
	Offset units.Offset `json:"offset"`
	// At is the log service's time of the append.
	At   time.Time       `json:"at"`
	Body json.RawMessage `json:"body"`
}

// Page is the answer to a read.
type Page struct {
	// First is the oldest offset that the service still keeps, or the next
	// offset to be written if it keeps none.
	First units.Offset `json:"first"`
	// Next is the offset that the next record gets.
	Next units.Offset `json:"next"`
	// Retention is how long records are kept.
	Retention units.Duration `json:"retention"`
	Records   []Record       `json:"records"`
}

// Log is what the system needs of the log service.
type Log interface {
	// Append adds a record. An error of kind httpc.KindUnanswered means that
	// the record may stand in the log all the same.
	Append(ctx context.Context, st Stream, body any) (units.Offset, error)
	// Read returns records from offset from on. It waits up to wait for one.
	Read(ctx context.Context, st Stream, from units.Offset, wait time.Duration) (Page, error)
}

// Client is a Log over HTTP.
type Client struct{ http *httpc.Client }

// New returns a client of the log service at base.
func New(base string) *Client { return &Client{http: httpc.New(base)} }

const (
	pageRecords   = 1000
	readAllowance = 2 * time.Second
)

type appended struct {
	Offset units.Offset `json:"offset"`
}

// Append adds a record to a stream.
func (cl *Client) Append(ctx context.Context, st Stream, body any) (units.Offset, error) {
	var out appended
	err := cl.http.Do(ctx, "POST", "/streams/"+string(st)+"/records", body, &out)
	return out.Offset, err
}

// Read returns records from offset from on; it waits up to wait if there is none.
func (cl *Client) Read(ctx context.Context, st Stream, from units.Offset, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readAllowance)
	defer cancel()
	var page Page
	path := fmt.Sprintf("/streams/%s/records?from=%d&max=%d&wait=%s", st, from, pageRecords, wait)
	err := cl.http.Do(ctx, "GET", path, nil, &page)
	return page, err
}
