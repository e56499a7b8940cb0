package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/rule/admit"
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
