package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/edge/relay"
	"lycheepick/internal/state/routes"
)

// drip is a body that brings its parts one after the other, each after a time, and ends with ctx as a
// connection does.
type drip struct {
	ctx   context.Context
	parts []string
	every time.Duration
	// endless makes the last part come again and again.
	endless bool
}

// Read implements io.Reader.
func (dr *drip) Read(buf []byte) (int, error) {
	if len(dr.parts) == 0 {
		return 0, io.EOF
	}
	if !pause.For(dr.ctx, dr.every) {
		return 0, dr.ctx.Err()
	}
	num := copy(buf, dr.parts[0])
	if len(dr.parts) > 1 || !dr.endless {
		dr.parts = dr.parts[1:]
	}
	return num, nil
}

// dripping is an exchange whose server answers with such a body.
type dripping struct{ drip }

// Send implements relay.Exchange.
func (dr *dripping) Send(ctx context.Context, _ *relay.Attempt) (*relay.Reply, error) {
	dr.ctx = ctx
	hd := &fasthttp.ResponseHeader{}
	hd.SetNoDefaultContentType(true)
	hd.SetStatusCode(fasthttp.StatusOK)
	return &relay.Reply{Status: fasthttp.StatusOK, Authentic: true, Head: hd, SentAt: time.Now(), Body: &dr.drip, Close: func() {}}, nil
}

// TestSlowAndStalledStreams checks that a stream which makes progress in events is passed on however slow it
// is, and that one that sends bytes without ever completing an event ends at its deadline.
func TestSlowAndStalledStreams(t *testing.T) {
	const deadline = 20 * time.Second
	for _, tt := range []struct {
		name string
		body drip
		// whole tells whether the caller has to get all events.
		whole bool
	}{
		{"an event each 3 s", drip{parts: []string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n", "id: 4\n\n", "id: 5\n\n"}, every: 3 * time.Second}, true},
		{"comments between events", drip{parts: []string{"id: 1\n\n", ":\n\n", ":\n\n", "id: 2\n\n"}, every: 3 * time.Second}, true},
		{"a byte a second, after an event", drip{parts: []string{"id: 1\n\n", "x"}, every: time.Second, endless: true}, false},
		{"a byte a second, before any event", drip{parts: []string{"x"}, every: time.Second, endless: true}, false},
		{"comments without end", drip{parts: []string{":\n\n"}, every: time.Second, endless: true}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, ex, si := newRelay(1), &dripping{tt.body}, &sink{}
				rq := request(routes.Route{Stream: true, RetryPolicy: routes.AtMostOnce})
				rq.Customer, rq.Route.TargetLatency, rq.Route.MaxAttempts = nil, 4*time.Second, 1
				rq.Deadline = time.Now().Add(deadline)
				ctx, cancel := context.WithDeadline(t.Context(), rq.Deadline)
				defer cancel()
				began := time.Now()
				rl.Serve(ctx, rq, ex, si)
				if took := time.Since(began); took > deadline+time.Second {
					t.Errorf("the request ended after %s, want its deadline of %s", took, deadline)
				}
				if isWhole := strings.Count(si.body, "id: ") == strings.Count(strings.Join(tt.body.parts, ""), "id: ") && si.status == fasthttp.StatusOK; tt.whole && !isWhole {
					t.Errorf("have status %d and %q, want all events", si.status, si.body)
				}
				if !tt.whole && rl.Counts.Done.Load() != 0 {
					t.Error("a stream without an end counts as done")
				}
			})
		})
	}
}
