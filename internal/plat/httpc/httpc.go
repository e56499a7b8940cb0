// Package httpc is a JSON-over-HTTP client for the platform's services.
package httpc

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
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
	maxAnswerBytes = 64 << 20
	defaultTimeout = 3 * time.Second
	dialTimeout    = 3 * time.Second
	idleTimeout    = 10 * time.Second
	maxHeaderBytes = 4 << 10
	defaultPort    = "80"
)

// Client calls one service over kept-alive connections.
type Client struct {
	base   string
	caller *call.Caller
}

// New returns a client of the service at the URL base, such as "http://10.0.0.1:9000".
func New(base string) *Client {
	return &Client{base: base, caller: call.NewCallerWith(call.Options{DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxHeader: maxHeaderBytes, Dial: dial})}
}

// dial opens a connection with the usual settings: unlike a backend server, the service is waited for until the deadline of a call.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
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
	defer fasthttp.ReleaseRequest(req)
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
	// A call that has begun is waited for although ctx is canceled, since it may have an effect.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadlineOf(ctx))
	defer cancel()
	an, err := cl.caller.Do(ctx, addressOf(req), req, false)
	if err != nil {
		return fault.Wrap(op, KindUnanswered, err)
	}
	defer an.Close()
	body, err := io.ReadAll(io.LimitReader(an.Body, maxAnswerBytes+1))
	if err != nil {
		return fault.Wrap(op, KindUnanswered, err)
	}
	if len(body) > maxAnswerBytes {
		return fault.New(op, KindUnanswered, "answer of over %d bytes", maxAnswerBytes)
	}
	return decode(an.Header.StatusCode(), body, out)
}

// addressOf returns the host and port of a request's URL.
func addressOf(req *fasthttp.Request) string {
	host := string(req.URI().Host())
	if _, _, err := net.SplitHostPort(host); err != nil {
		return net.JoinHostPort(strings.Trim(host, "[]"), defaultPort)
	}
	return host
}

func deadlineOf(ctx context.Context) time.Time {
	if at, ok := ctx.Deadline(); ok {
		return at
	}
	return time.Now().Add(defaultTimeout)
}

func decode(code int, body []byte, out any) error {
	const op = "httpc.decode"
	switch {
	case code == fasthttp.StatusGatewayTimeout:
		return fault.New(op, KindUnanswered, "status %d", code)
	case code >= fasthttp.StatusInternalServerError, code == fasthttp.StatusTooManyRequests:
		return fault.New(op, KindUnavailable, "status %d: %.200s", code, body)
	case code >= fasthttp.StatusBadRequest:
		return fault.New(op, KindRefused, "status %d: %.200s", code, body)
	}
	if out == nil {
		return nil
	}
	return fault.Wrap(op, KindUnanswered, json.Unmarshal(body, out))
}
