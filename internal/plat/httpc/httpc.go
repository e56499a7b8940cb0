// Package httpc is a JSON-over-HTTP client for the platform's services.
package httpc

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/rule/fault"
)

// Kind classifies a failed call by what is known of its effect.
type Kind string

// The kinds of error of this package.
const (
	// KindUnavailable means that the call was not sent, or that the service answered 429 or
	// a 5xx status other than 504.
	KindUnavailable Kind = "unavailable"
	// KindUnanswered means that the call may or may not have had an effect.
	KindUnanswered Kind = "unanswered"
	// KindRefused means that the service rejected the call as invalid.
	KindRefused Kind = "refused"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	maxConnsPerHost = 16
	maxAnswerBytes  = 64 << 20
	defaultTimeout  = 3 * time.Second
)

// Client calls one service over kept-alive connections.
type Client struct {
	base string
	http *fasthttp.Client
}

// New returns a client of the service at the URL base, such as "http://10.0.0.1:9000".
func New(base string) *Client {
	return &Client{
		base: base,
		http: &fasthttp.Client{
			MaxConnsPerHost:           maxConnsPerHost,
			MaxResponseBodySize:       maxAnswerBytes,
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// Do sends in as a JSON body, or no body if in is nil, and decodes the JSON response into
// out unless out is nil. The call times out at the deadline of ctx, or after
// defaultTimeout if ctx has none.
func (cl *Client) Do(ctx context.Context, method, path string, in, out any) error {
	const op = "httpc.Do"
	if err := ctx.Err(); err != nil {
		return fault.Wrap(op, KindUnavailable, err)
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(cl.base + path)
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return fault.Wrap(op, KindRefused, err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(raw)
	}
	if err := cl.http.DoDeadline(req, resp, deadlineOf(ctx)); err != nil {
		return fault.Wrap(op, KindUnanswered, err)
	}
	return decode(resp, out)
}

func deadlineOf(ctx context.Context) time.Time {
	if at, ok := ctx.Deadline(); ok {
		return at
	}
	return time.Now().Add(defaultTimeout)
}

func decode(resp *fasthttp.Response, out any) error {
	const op = "httpc.decode"
	code := resp.StatusCode()
	switch {
	case code == fasthttp.StatusGatewayTimeout:
		return fault.New(op, KindUnanswered, "status %d", code)
	case code >= fasthttp.StatusInternalServerError, code == fasthttp.StatusTooManyRequests:
		return fault.New(op, KindUnavailable, "status %d: %.200s", code, resp.Body())
	case code >= fasthttp.StatusBadRequest:
		return fault.New(op, KindRefused, "status %d: %.200s", code, resp.Body())
	}
	if out == nil {
		return nil
	}
	return fault.Wrap(op, KindUnanswered, json.Unmarshal(resp.Body(), out))
}
