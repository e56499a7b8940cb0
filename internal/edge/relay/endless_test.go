package relay_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/state/routes"
)

// filler is a body of size bytes; a negative size has no end.
type filler struct{ size int }

// Read implements io.Reader.
func (fi *filler) Read(buf []byte) (int, error) {
	if fi.size == 0 {
		return 0, io.EOF
	}
	for idx := range buf {
		buf[idx] = 'x'
	}
	num := len(buf)
	if fi.size > 0 {
		num = min(num, fi.size)
		fi.size -= num
	}
	return num, nil
}

// longBodies is an exchange whose servers answer with bodies of these sizes, one after the other.
type longBodies struct{ sizes []int }

// Send implements relay.Exchange.
func (lb *longBodies) Send(context.Context, *relay.Attempt) (*relay.Reply, error) {
	size := lb.sizes[0]
	lb.sizes = lb.sizes[1:]
	hd := &fasthttp.ResponseHeader{}
	hd.SetStatusCode(fasthttp.StatusOK)
	return &relay.Reply{Status: fasthttp.StatusOK, Authentic: true, Head: hd, SentAt: time.Now(), Body: &filler{size}, Close: func() {}}, nil
}

// TestLongBodyIsNotWhole guards against a body that is cut at the relay's bound and reaches the caller as a
// complete answer.
func TestLongBodyIsNotWhole(t *testing.T) {
	const most = 16 << 20
	for _, tt := range []struct {
		name   string
		policy routes.RetryPolicy
		sizes  []int
		status int
		bytes  int
	}{
		{"as long as the bound", routes.Idempotent, []int{most}, fasthttp.StatusOK, most},
		{"a byte longer, may run once", routes.AtMostOnce, []int{most + 1}, fasthttp.StatusBadGateway, 0},
		{"without end, may run once", routes.AtMostOnce, []int{-1}, fasthttp.StatusBadGateway, 0},
		{"without end, and then another server", routes.Idempotent, []int{-1, 5}, fasthttp.StatusOK, 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			si := &sink{}
			rq := request(routes.Route{RetryPolicy: tt.policy})
			rq.Customer = nil
			newRelay(2).Serve(context.Background(), rq, &longBodies{tt.sizes}, si)
			if si.status != tt.status || len(si.body) != tt.bytes {
				t.Errorf("have status %d and %d bytes, want %d and %d", si.status, len(si.body), tt.status, tt.bytes)
			}
		})
	}
}
