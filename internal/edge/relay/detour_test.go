package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/state/answer"
	"lycheepick/internal/state/routes"
	"lycheepick/internal/state/server"
)

// rawExchange is an exchange whose request can go through another node.
type rawExchange struct {
	relay.Exchange
}

func (rawExchange) Raw() (header, body []byte) { return []byte("GET / HTTP/1.1\r\n\r\n"), nil }

func (rawExchange) Notices(*fasthttp.ResponseHeader) (permit.Limit, notice.Leaving) {
	return permit.Limit{}, false
}

// detours is another node that gives the same end to all requests.
type detours struct {
	reply *relay.Reply
	err   error
	count int
}

func (de *detours) Forward(context.Context, *relay.Forward) (*relay.Reply, error) {
	de.count++
	return de.reply, de.err
}

// newCutRelay returns a relay whose path to its two servers is cut.
func newCutRelay(t *testing.T, de relay.Detours) *relay.Relay {
	t.Helper()
	return newCutRelayWith(t, de, func(context.Context, *server.Server) error { return fault.New("test", relay.KindNotSent, "refused") })
}

// newCutRelayWith returns one that opens connections by a function.
func newCutRelayWith(t *testing.T, de relay.Detours, probe func(context.Context, *server.Server) error) *relay.Relay {
	t.Helper()
	rl := newRelay(2)
	rl.Detours, rl.Probe = de, probe
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		rl.WatchPaths(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	refused := &failing{err: fault.New("test", relay.KindNotSent, "refused")}
	for range 2 {
		rl.Serve(t.Context(), request(routes.Route{RetryPolicy: routes.Idempotent}), refused, &sink{})
	}
	for end := time.Now().Add(5 * time.Second); !rl.IsCut("app"); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the path does not count as cut")
		}
	}
	return rl
}

// failing is an exchange all of whose sends fail.
type failing struct{ err error }

func (fa *failing) Send(context.Context, *relay.Attempt) (*relay.Reply, error) { return nil, fa.err }

func refusal(status int, notRun bool) *relay.Reply {
	return &relay.Reply{Close: func() {}, Refusal: &relay.Refusal{Status: status, Reason: "full", RetryAfter: 2 * time.Second, NotRun: notRun}}
}

// TestEndsOfDetours guards against requests through another node that are refused though they may
// have run, lost though they have not, or sent again by both nodes.
func TestEndsOfDetours(t *testing.T) {
	for _, tt := range []struct {
		name   string
		de     detours
		policy routes.RetryPolicy
		status int
		after  bool
		most   int
	}{
		{"no node takes it", detours{err: fault.New("test", relay.KindNoDetour, "none")}, routes.Idempotent, 503, true, 1},
		{"the other node refuses it", detours{reply: refusal(503, true)}, routes.Idempotent, 503, true, 1},
		{"it may have run there, and may not run twice", detours{reply: refusal(502, false)}, routes.AtMostOnce, 502, false, 1},
		{"it may have run there, and may run twice", detours{reply: refusal(502, false)}, routes.Idempotent, 502, false, 2},
		{"the other node dies", detours{err: fault.New("test", relay.KindBroken, "reset")}, routes.AtMostOnce, 502, false, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			de := tt.de
			rl, si := newCutRelay(t, &de), &sink{}
			de.count = 0
			rl.Serve(t.Context(), request(routes.Route{RetryPolicy: tt.policy}), rawExchange{&exchange{replies: []*relay.Reply{serverFailure()}}}, si)
			if si.status != tt.status || (si.after > 0) != tt.after || de.count > tt.most {
				t.Errorf("have status %d, retry after %s, %d nodes asked; want %d, %t, %d at most", si.status, si.after, de.count, tt.status, tt.after, tt.most)
			}
		})
	}
}

// TestNoSecondHop guards against requests that go from node to node, each of which is cut off.
func TestNoSecondHop(t *testing.T) {
	de := &detours{reply: refusal(503, true)}
	rl, si := newCutRelay(t, de), &sink{}
	de.count = 0
	rq := request(routes.Route{})
	state := rl.ServeForwarded(t.Context(), rq, &relay.Forward{Attempts: 1}, rawExchange{&failing{err: fault.New("test", relay.KindNotSent, "refused")}}, si)
	if de.count > 0 || state != answer.NotRun || si.status != fasthttp.StatusServiceUnavailable {
		t.Errorf("have %d nodes asked, state %s and status %d, want none, not_run and 503", de.count, state, si.status)
	}
}

// leavingDetours is a node that is told to stop while it offers a request to another one.
type leavingDetours struct {
	rl       *relay.Relay
	withheld bool
}

func (ld *leavingDetours) Forward(_ context.Context, fw *relay.Forward) (*relay.Reply, error) {
	before, now := fw.Withheld(), time.Now()
	ld.rl.Drain(admit.Departure{SignalAt: now, StopsAt: now.Add(time.Second)})
	ld.withheld = !before && fw.Withheld()
	return nil, fault.New("test", relay.KindNoDetour, "withheld")
}

// TestLeavingNodeWithholdsDetours guards against requests that a node has another one run, though it may stop before it has
// passed the answer on.
func TestLeavingNodeWithholdsDetours(t *testing.T) {
	ld := &leavingDetours{}
	rl, si := newCutRelay(t, &detours{err: fault.New("test", relay.KindNoDetour, "none")}), &sink{}
	rl.Detours, ld.rl = ld, rl
	ex := &exchange{replies: []*relay.Reply{serverFailure()}}
	rl.Serve(t.Context(), request(routes.Route{}), rawExchange{ex}, si)
	if !ld.withheld || si.status != fasthttp.StatusServiceUnavailable || si.after > 100*time.Millisecond || ex.sends > 0 {
		t.Errorf("have withheld %t, status %d, retry after %s, %d sends; want true, 503, at once and none", ld.withheld, si.status, si.after, ex.sends)
	}
}
