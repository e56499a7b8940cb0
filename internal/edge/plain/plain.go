// Package plain is the adapter to plain services: it passes one HTTP request on and
// tells what is known if there is no whole answer.
package plain

import (
	"context"
	"io"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
	"lycheepick/internal/edge/engine"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Kind tells what is known of a failed exchange with a plain service.
type Kind string

// The kinds of error of this package.
const (
	// KindNotSent marks a request of which no byte reached the server.
	KindNotSent Kind = "not_sent"
	// KindRefused marks a request that the server refused before running it.
	KindRefused Kind = "refused"
	// KindDraining is KindRefused from a server that is leaving.
	KindDraining Kind = "draining"
	// KindBroken marks a request that was sent and not answered whole.
	KindBroken Kind = "broken"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// MaxAnswerBytes bounds the body of an answer.
const MaxAnswerBytes = 8 << 20

// Request is one attempt of one request to a plain service.
type Request struct {
	ID          units.RequestID
	Attempt     units.AttemptID
	Method      string
	Path        string // Path and query at the service.
	ContentType string
	Key         string // Idempotency key, passed on if set.
	Body        []byte
	Idempotent  bool
}

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client talks to plain services.
type Client struct{ caller *call.Caller }

// NewClient returns a client that keeps its connections in ca.
func NewClient(ca *call.Caller) *Client { return &Client{caller: ca} }

// Do sends a request and reads the whole answer. A request that is not idempotent
// gets a connection of its own, since an idle one can break after the request was
// sent and before the server saw it.
func (cl *Client) Do(ctx context.Context, addr string, rq *Request) (*Answer, error) {
	const op = "plain.Do"
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(rq.Method)
	req.SetRequestURI("http://" + addr + rq.Path)
	req.Header.SetContentType(rq.ContentType)
	req.Header.Set(engine.HeaderRequest, string(rq.ID))
	req.Header.SetBytesV(engine.HeaderAttempt, fasthttp.AppendUint(nil, int(rq.Attempt)))
	if rq.Key != "" {
		req.Header.Set("Idempotency-Key", rq.Key)
	}
	req.SetBodyRaw(rq.Body)
	an, err := cl.caller.Do(ctx, addr, req, !rq.Idempotent)
	if fault.Is(err, call.KindNotSent) {
		return nil, fault.Wrap(op, KindNotSent, err)
	}
	if err != nil {
		return nil, fault.Wrap(op, KindBroken, err)
	}
	defer an.Close()
	return read(an)
}

func read(an *call.Answer) (*Answer, error) {
	const op = "plain.read"
	body, err := io.ReadAll(io.LimitReader(an.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, fault.Wrap(op, KindBroken, err)
	}
	if len(body) > MaxAnswerBytes {
		return nil, fault.New(op, KindBroken, "answer of over %d bytes", MaxAnswerBytes)
	}
	switch refused := string(an.Header.Peek(engine.HeaderRefused)); refused {
	case "":
	case engine.RefusedDraining:
		return nil, fault.New(op, KindDraining, "status %d", an.Header.StatusCode())
	default:
		return nil, fault.New(op, KindRefused, "status %d: %s", an.Header.StatusCode(), refused)
	}
	return &Answer{
		Status:      an.Header.StatusCode(),
		ContentType: string(an.Header.ContentType()),
		Body:        body,
	}, nil
}
