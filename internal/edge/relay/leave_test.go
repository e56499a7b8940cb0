package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
)

// stalled is an exchange whose streams send two events and a part of a third, and then nothing.
type stalled struct{}

func (stalled) Send(ctx context.Context, _ *relay.Attempt) (*relay.Reply, error) {
	rp := streamReply("")
	rd, wr := io.Pipe()
	context.AfterFunc(ctx, func() { _ = wr.CloseWithError(ctx.Err()) })
	rp.Body = io.MultiReader(strings.NewReader("id: 1\n\nid: 2\n\nid:"), rd)
	return rp, nil
}

// heldSink is a sink whose caller's machine has received a number of bytes.
type heldSink struct {
	sink
	delivered units.Bytes
}

func (hs *heldSink) Delivered() units.Bytes { return hs.delivered }

// toldToStop is an exchange whose node is told to stop while an attempt connects.
type toldToStop struct {
	exchange
	connecting func()
}

func (ts *toldToStop) Send(ctx context.Context, at *relay.Attempt) (*relay.Reply, error) {
	ts.connecting()
	if at.Blocked() {
		return nil, fault.New("test", relay.KindBlocked, "it must not be sent")
	}
	return ts.exchange.Send(ctx, at)
}

// TestLeavingNodeBeginsNothing guards against requests that came before the stop signal, waited, and are sent after
// it although they may outlast the node. Another node can serve those that have not run.
func TestLeavingNodeBeginsNothing(t *testing.T) {
	refused := &relay.Reply{Status: fasthttp.StatusServiceUnavailable, Refused: true, Close: func() {}}
	for _, tt := range []struct {
		name   string
		policy routes.RetryPolicy
		// left is how long the node still runs.
		left time.Duration
		// waits tells whether the signal comes while the request waits for a permit, not while it connects.
		waits   bool
		replies []*relay.Reply
		status  int
		sends   int
	}{
		{"it waits for a permit", routes.AtMostOnce, time.Second, true, []*relay.Reply{streamReply("whole")}, fasthttp.StatusServiceUnavailable, 0},
		{"it waits for a permit, and ends before the node", routes.AtMostOnce, 6 * time.Second, true, []*relay.Reply{streamReply("whole")}, fasthttp.StatusOK, 1},
		{"it connects", routes.AtMostOnce, time.Second, false, []*relay.Reply{streamReply("whole")}, fasthttp.StatusServiceUnavailable, 0},
		{"it connects, and ends before the node", routes.AtMostOnce, 6 * time.Second, false, []*relay.Reply{streamReply("whole")}, fasthttp.StatusOK, 1},
		{"a server refuses it, and it ends before the node", routes.AtMostOnce, 6 * time.Second, false, []*relay.Reply{refused, streamReply("whole")}, fasthttp.StatusOK, 2},
		{"it may be repeated", routes.Idempotent, time.Second, false, []*relay.Reply{streamReply("whole")}, fasthttp.StatusServiceUnavailable, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rl, si := newRelay(2), &sink{}
			leave := func() {
				now := time.Now()
				rl.Drain(admit.Departure{SignalAt: now, StopsAt: now.Add(tt.left)})
			}
			ex := &toldToStop{exchange: exchange{replies: tt.replies}, connecting: leave}
			if tt.waits {
				ex.connecting = func() {}
				for _, id := range []units.VMID{"a", "b"} {
					rl.ApplyPeerReport(time.Now(), time.Now(), "peer", 1, relay.LoadReport{ServerLimits: []permit.Observation{
						{Server: notice.Server{ID: id}, Limit: permit.Limit{Rate: 1, Named: true}},
					}})
				}
				rl.AskPermits = func(_ context.Context, rq permit.Request) (permit.Grant, error) {
					leave()
					return permit.Grant{Observation: rq.Observation, Permits: 1}, nil
				}
			}
			rl.Serve(t.Context(), request(routes.Route{RetryPolicy: tt.policy}), ex, si)
			if ex.sends != tt.sends || si.status != tt.status || (si.after > 0) != (tt.sends == 0) {
				t.Errorf("have %d sends, status %d, retry after %s; want %d, %d", ex.sends, si.status, si.after, tt.sends, tt.status)
			}
		})
	}
}

// TestLeavingNodeRepeatsWhatMayHaveRun checks that a request that may have run is still repeated where that is allowed:
// a refusal would not be true.
func TestLeavingNodeRepeatsWhatMayHaveRun(t *testing.T) {
	rl, si := newRelay(2), &sink{}
	ex := &toldToStop{exchange: exchange{replies: []*relay.Reply{nil, streamReply("whole")}}, connecting: func() {}}
	ex.connecting = func() {
		if ex.sends == 1 {
			now := time.Now()
			rl.Drain(admit.Departure{SignalAt: now, StopsAt: now.Add(time.Second)})
		}
	}
	rl.Serve(t.Context(), request(routes.Route{RetryPolicy: routes.Idempotent}), ex, si)
	if ex.sends != 2 || si.status != fasthttp.StatusOK || si.body != "whole" {
		t.Errorf("have %d sends, status %d and body %q", ex.sends, si.status, si.body)
	}
}

// TestCutRequestIsLogged checks that the log tells why a leaving node cut a request: when it came and was cut
// after the signal, what it was bounded by, and how far its answer had come on either side.
func TestCutRequestIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		rl := newRelay(1)
		rl.Log = zap.New(core)
		go func() {
			time.Sleep(2 * time.Second)
			rl.Drain(admit.Departure{SignalAt: time.Now(), StopsAt: time.Now().Add(time.Second)})
			time.Sleep(time.Second)
			rl.Stop()
		}()
		rl.Serve(t.Context(), request(routes.Route{Name: "chat", Stream: true}), stalled{}, &heldSink{delivered: 7})
		lines := logs.FilterMessage("request_cut").All()
		if len(lines) != 1 {
			t.Fatalf("have %d lines, want 1", len(lines))
		}
		have := lines[0].ContextMap()
		for key, want := range map[string]any{
			"request": "r", "route": "chat", "arrived": -2 * time.Second, "cut": time.Second, "deadline": 3 * time.Second,
			"expected": 4 * time.Second, "began": true, "server": "a", "server_bytes": int64(17), "server_event": "2",
			"caller_bytes": int64(7), "caller_event": "2",
		} {
			if have[key] != want {
				t.Errorf("%s: have %v, want %v", key, have[key], want)
			}
		}
		if cut := rl.Counts.Cut.Load(); cut != 1 {
			t.Errorf("cut requests: have %d, want 1", cut)
		}
	})
}

// TestDeadlineAtStopIsCut guards against requests whose deadline comes as the node stops, and that are ended by the stop
// or by the deadline as it happens.
func TestDeadlineAtStopIsCut(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			rl, si, rq := newRelay(1), &heldSink{}, request(routes.Route{Stream: true})
			rl.Drain(admit.Departure{SignalAt: time.Now(), StopsAt: rq.Deadline})
			time.AfterFunc(time.Until(rq.Deadline), func() { rl.Stop() })
			rl.Serve(t.Context(), rq, stalled{}, si)
			if si.status != fasthttp.StatusServiceUnavailable || rl.Counts.Cut.Load() > 0 {
				t.Fatalf("have status %d, %d cut, want it refused", si.status, rl.Counts.Cut.Load())
			}
		})
	}
}
