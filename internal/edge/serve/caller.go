package serve

import (
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/table"
)

// Names of request and response headers.
const (
	// HeaderKind selects the row of the table, together with the customer and the target.
	HeaderKind = "X-Request-Kind"
	// HeaderDeadline is the caller's time limit for the request as a Go duration, such as
	// "20s".
	HeaderDeadline = "X-Deadline"
	// HeaderKey is the idempotency key. Requests with the same key are executed at most
	// once across all nodes.
	HeaderKey = "Idempotency-Key"
	// HeaderOutcome is set on error responses and tells whether the request was executed.
	HeaderOutcome = "Lycheepick-Outcome"
	// HeaderRequest is the request ID on responses.
	HeaderRequest = "X-Request-Id"
	// HeaderLastEvent is the ID of the event after which to resume a stream.
	HeaderLastEvent = "Last-Event-ID"
)

// DefaultKind is the kind of requests without HeaderKind.
const DefaultKind units.RequestKind = "default"

const maxKeyBytes = 255

// caller is an authenticated customer, with the table that the request is served under.
type caller struct {
	customer units.CustomerID
	index    *table.Index
}

func (sv *Server) identify(ct *fiber.Ctx) (caller, error) {
	const op = "serve.identify"
	in := sv.node.Table()
	if in == nil {
		return caller{}, fault.New(op, KindNotReady, "this node has no table yet")
	}
	key, ok := strings.CutPrefix(ct.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return caller{}, fault.New(op, KindUnauthorized, "send an API key as Authorization: Bearer KEY")
	}
	cu, ok := in.Index.Customer(key)
	if !ok {
		return caller{}, fault.New(op, KindUnauthorized, "the API key is not known")
	}
	return caller{customer: cu, index: in.Index}, nil
}

// row returns the table row for the caller, a target and the request's kind.
func (ca *caller) row(ct *fiber.Ctx, ta units.TargetID, tt table.TargetType) (*table.Row, error) {
	const op = "serve.row"
	kind := units.RequestKind(ct.Get(HeaderKind, string(DefaultKind)))
	key := table.RowKey{Customer: ca.customer, Target: ta, Kind: kind}
	ro := ca.index.Row(key)
	if ro == nil || ro.TargetType != tt {
		return nil, fault.New(op, KindNoRow, "the table has no %s row for %s", tt, key)
	}
	return ro, nil
}

// deadline returns the earlier of the row's and the caller's deadline.
func deadline(ct *fiber.Ctx, ro *table.Row) (time.Time, error) {
	const op = "serve.deadline"
	limit := ro.Deadline.Std()
	if text := ct.Get(HeaderDeadline); text != "" {
		own, err := time.ParseDuration(text)
		if err != nil || own <= 0 {
			return time.Time{}, fault.New(op, KindBadRequest, "%s: have %q, want a duration such as \"20s\"", HeaderDeadline, text)
		}
		limit = min(limit, own)
	}
	return time.Now().Add(limit), nil
}

func idempotencyKey(ct *fiber.Ctx) (string, error) {
	const op = "serve.idempotencyKey"
	key := ct.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return "", fault.New(op, KindBadRequest, "%s: have %d bytes, want at most %d", HeaderKey, len(key), maxKeyBytes)
	}
	return key, nil
}

// lastEvent parses HeaderLastEvent. It returns the request ID and the number of tokens
// that the caller has received; ok is false without the header.
func lastEvent(ct *fiber.Ctx) (rq units.RequestID, have int, ok bool, err error) {
	const op = "serve.lastEvent"
	text := ct.Get(HeaderLastEvent)
	if text == "" {
		return "", 0, false, nil
	}
	cut := strings.LastIndexByte(text, ':')
	if cut <= 0 {
		return "", 0, false, fault.New(op, KindBadRequest, "%s: have %q, want the id of an event", HeaderLastEvent, text)
	}
	num, err := strconv.Atoi(text[cut+1:])
	if err != nil || num < 0 {
		return "", 0, false, fault.New(op, KindBadRequest, "%s: have %q, want the id of an event", HeaderLastEvent, text)
	}
	return units.RequestID(text[:cut]), num + 1, true, nil
}

func eventID(rq units.RequestID, index int) string { return string(rq) + ":" + strconv.Itoa(index) }
