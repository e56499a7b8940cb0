// Package logsvc is the client of the platform's log service, which stores append-only
// streams of records with offsets for a limited retention time.
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
	// StreamTable holds the versions of the table.
	StreamTable Stream = "table"
	// StreamAudit holds the audit log of the nodes' decisions.
	StreamAudit Stream = "audit"
	// StreamSeats holds the claims of entry VMs to a share of the limits.
	StreamSeats Stream = "seats"
)

// IntentStream returns the stream of one partition of the idempotency keys.
func IntentStream(part int) Stream { return Stream(fmt.Sprintf("intent-%d", part)) }

// Record is one record of a stream.
type Record struct {
	Offset units.Offset `json:"offset"`
	// At is the time of the append by the log service's clock.
	At   time.Time       `json:"at"`
	Body json.RawMessage `json:"body"`
}

// Page is the result of a read.
type Page struct {
	// First is the oldest offset still stored, or Next if the stream is empty.
	First units.Offset `json:"first"`
	// Next is the offset of the next record to be appended.
	Next units.Offset `json:"next"`
	// Retention is the time for which records are stored.
	Retention units.Duration `json:"retention"`
	Records   []Record       `json:"records"`
}

// Log is the part of the log service's API that the system uses.
type Log interface {
	// Append appends a record, encoded as JSON, and returns its offset. After an error of
	// kind httpc.KindUnanswered the record may be in the stream nevertheless.
	Append(ctx context.Context, st Stream, body any) (units.Offset, error)
	// Read returns records from offset from on. If there is none, it waits up to wait for
	// the first.
	Read(ctx context.Context, st Stream, from units.Offset, wait time.Duration) (Page, error)
}

// Client is a Log over HTTP.
type Client struct{ http *httpc.Client }

// New returns a client of the log service at the URL base, such as
// "http://10.0.0.1:9000".
func New(base string) *Client { return &Client{http: httpc.New(base)} }

const (
	maxPageRecords = 1000
	// longPollMargin bounds a read beyond the time for which the service may wait for a
	// record.
	longPollMargin = 2 * time.Second
)

type appended struct {
	Offset units.Offset `json:"offset"`
}

// Append implements Log.
func (cl *Client) Append(ctx context.Context, st Stream, body any) (units.Offset, error) {
	var out appended
	err := cl.http.Do(ctx, "POST", "/streams/"+string(st)+"/records", body, &out)
	return out.Offset, err
}

// Read implements Log. A page has at most maxPageRecords records.
func (cl *Client) Read(ctx context.Context, st Stream, from units.Offset, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+longPollMargin)
	defer cancel()
	var page Page
	path := fmt.Sprintf("/streams/%s/records?from=%d&max=%d&wait=%s", st, from, maxPageRecords, wait)
	err := cl.http.Do(ctx, "GET", path, nil, &page)
	return page, err
}
