// Package plain is the client for plain services. It forwards one HTTP request, and
// classifies failures by whether the request may have been executed.
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

// Kind classifies failed requests by whether they may have been executed.
type Kind string

// The kinds of error of this package.
const (
	// KindNotSent marks a request of which no byte reached the server.
	KindNotSent Kind = "not_sent"
	// KindRefused marks a request that the server rejected without executing it.
	KindRefused Kind = "refused"
	// KindDraining marks a request rejected, without executing it, by a draining server.
	KindDraining Kind = "draining"
	// KindBroken marks a request that was sent and has no complete response.
	KindBroken Kind = "broken"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// MaxAnswerBytes is the maximum size of a response body.
const MaxAnswerBytes = 8 << 20

// Request is one attempt of one request to a plain service.
type Request struct {
	ID          units.RequestID
	Attempt     units.AttemptID
	Method      string
	Path        string // Path and query at the service, with the leading slash.
	ContentType string
	Key         string // Idempotency key, forwarded if set.
	Body        []byte
	Idempotent  bool
}

// Answer is a complete response.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client sends requests to plain services. It is safe for concurrent use.
type Client struct{ caller *call.Caller }

// NewClient returns a client that uses the connections of ca.
func NewClient(ca *call.Caller) *Client { return &Client{caller: ca} }

// Do sends a request and reads the complete response. Requests that are not idempotent use
// a new connection: the server may close an idle one after the request was sent and before
// it was read, which looks the same as a failure during its execution.
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
	out, err := read(an)
	if (fault.Is(err, KindRefused) || fault.Is(err, KindDraining)) && !engine.IsOwn(an, rq.ID, rq.Attempt) {
		return nil, fault.New(op, KindBroken, "a refusal that doesn't name the request: %s", err)
	}
	return out, err
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
		return nil, engine.Refusal(an, fault.New(op, KindRefused, "status %d: %s", an.Header.StatusCode(), refused))
	}
	return &Answer{
		Status:      an.Header.StatusCode(),
		ContentType: string(an.Header.ContentType()),
		Body:        body,
	}, nil
}
