package relay_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
	"lycheepick/internal/state/server"
)

// meter takes what a relay tells and drops it.
type meter struct{}

func (meter) Began(units.CustomerID, time.Time)    {}
func (meter) Offered(units.TargetID, units.Tokens) {}
func (meter) Late(units.TargetID)                  {}

// exchange answers each send with the next of its replies; nil breaks the connection.
type exchange struct {
	replies []*relay.Reply
	sends   int
}

func (ex *exchange) Send(context.Context, *relay.Attempt) (*relay.Reply, error) {
	ex.sends++
	rp := ex.replies[min(ex.sends, len(ex.replies))-1]
	if rp == nil {
		return nil, fault.New("test", relay.KindBroken, "the connection broke")
	}
	return rp, nil
}

func failed() *relay.Reply {
	hd := &fasthttp.ResponseHeader{}
	hd.SetStatusCode(fasthttp.StatusInternalServerError)
	return &relay.Reply{
		Status: fasthttp.StatusInternalServerError, Proper: true, Head: hd,
		Body: strings.NewReader("failed"), Close: func() {},
	}
}

// sink keeps what the caller is told.
type sink struct {
	status int
	body   string
	after  time.Duration
}

func (si *sink) Whole(hd *fasthttp.ResponseHeader, body []byte) error {
	si.status, si.body = hd.StatusCode(), string(body)
	return nil
}

func (si *sink) Start(hd *fasthttp.ResponseHeader) error {
	si.status = hd.StatusCode()
	return nil
}

func (si *sink) Part(part []byte) error {
	si.body += string(part)
	return nil
}

func (si *sink) End() error { return nil }

func (si *sink) Refuse(status int, _ string, after time.Duration) {
	si.status, si.after = status, after
}

func (si *sink) Started() bool { return si.status != 0 }

func (si *sink) Status() int { return si.status }

// customer may use 1000 units at once, and next to nothing after.
var customer = routes.Customer{ID: "alpha", Rate: 0.001, Burst: 1000, LimitsInTokens: true}

func newRelay(servers int) *relay.Relay {
	rl := relay.New(zap.NewNop(), "a", meter{}, pool.Tolerance{})
	list := make([]server.Server, servers)
	for num := range list {
		list[num] = server.Server{ID: units.VMID(rune('a' + num)), Status: server.Status{Service: "app", Zone: "a", Slots: 8}}
	}
	rl.SetServers(time.Now(), list)
	rl.SetLimits(time.Now(), &routes.Config{Customers: []routes.Customer{customer}})
	return rl
}

func request(ro routes.Route) *relay.Request {
	ro.TargetLatency, ro.MaxAttempts = time.Second, 2
	now := time.Now()
	return &relay.Request{ID: "r", Route: &ro, Customer: &customer, Service: "app", Size: 30, Arrived: now, Until: now.Add(5 * time.Second)}
}

// TestLeavingNodeRefusesLateStreams replays trouble-2 of bvid-lycheepick: a stream that a
// node took 5 s after the signal to stop was cut by its exit (LOST). The caller is told at
// once to go to another node.
func TestLeavingNodeRefusesLateStreams(t *testing.T) {
	for _, tt := range []struct {
		name  string
		route routes.Route
		since time.Duration
		sends int
	}{
		{"a stream soon after the signal", routes.Route{Stream: true}, time.Second, 1},
		{"a late stream", routes.Route{Stream: true}, 5 * time.Second, 0},
		{"another request at the same time", routes.Route{}, 5 * time.Second, 1},
		{"another request shortly before the exit", routes.Route{}, 7 * time.Second, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rl, ex, si := newRelay(1), &exchange{replies: []*relay.Reply{failed()}}, &sink{}
			rl.Leave(time.Now().Add(-tt.since), 3*time.Second, 6*time.Second)
			rl.Serve(context.Background(), request(tt.route), ex, si)
			if ex.sends != tt.sends {
				t.Fatalf("sends: have %d, want %d", ex.sends, tt.sends)
			}
			if tt.sends == 0 && (si.status != fasthttp.StatusServiceUnavailable || si.after <= 0) {
				t.Errorf("have status %d and %s to come back, want 503 and a time", si.status, si.after)
			}
		})
	}
}

// TestServersOwnFailureIsDelivered lets a second try fail in each way after a server has
// answered that it failed: its answer reaches the caller, not one of ours.
func TestServersOwnFailureIsDelivered(t *testing.T) {
	for _, tt := range []struct {
		name    string
		servers int
		second  *relay.Reply
	}{
		{"the second connection breaks", 2, nil},
		{"the second server refuses", 2, &relay.Reply{Status: fasthttp.StatusServiceUnavailable, Refused: true, Close: func() {}}},
		{"there is no second server", 1, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rl, si := newRelay(tt.servers), &sink{}
			rl.Serve(context.Background(), request(routes.Route{RetryPolicy: routes.Idempotent}), &exchange{replies: []*relay.Reply{failed(), tt.second}}, si)
			if si.status != fasthttp.StatusInternalServerError || si.body != "failed" {
				t.Errorf("have %d %q, want the server's own 500", si.status, si.body)
			}
		})
	}
}

// TestRefundOnlyWhatDidNotRun sends requests until the customer's limit is used up: one
// that may have run counts, one that was refused does not.
func TestRefundOnlyWhatDidNotRun(t *testing.T) {
	for _, tt := range []struct {
		name    string
		reply   *relay.Reply
		limited bool
	}{
		{"may have run", nil, true},
		{"refused", &relay.Reply{Status: fasthttp.StatusServiceUnavailable, Refused: true, Close: func() {}}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			limited := false
			rl := newRelay(1)
			for range 3 {
				si := &sink{}
				rl.SetServers(time.Now(), []server.Server{{ID: "a", Status: server.Status{Service: "app", Zone: "a", Slots: 8}}})
				rl.Serve(context.Background(), request(routes.Route{}), &exchange{replies: []*relay.Reply{tt.reply}}, si)
				limited = limited || si.status == fasthttp.StatusTooManyRequests
			}
			if limited != tt.limited {
				t.Errorf("limit reached: have %t, want %t", limited, tt.limited)
			}
		})
	}
}
