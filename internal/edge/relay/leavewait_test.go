package relay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/origin"
	"lycheepick/internal/state/routes"
)

// slowOrigins finds the origin of a stream after a while.
type slowOrigins struct {
	relay.Origins
	after time.Duration
}

func (so *slowOrigins) Find(ctx context.Context, id units.RequestID) (og origin.Origin, found, answered bool) {
	time.Sleep(so.after)
	return so.Origins.Find(ctx, id)
}

// slowConnections is an exchange whose connections take a while.
type slowConnections struct {
	versionServers
	takes time.Duration
}

func (sc *slowConnections) Send(ctx context.Context, at *relay.Attempt) (*relay.Reply, error) {
	time.Sleep(sc.takes)
	if at.Blocked() {
		return nil, fault.New("test", relay.KindBlocked, "it is refused")
	}
	return sc.versionServers.Send(ctx, at)
}

// TestLeavingNodeSendsWhatHasWaited guards against requests that came before the signal, were sent to a server after
// it, and are cut as the node stops: until they are sent another node can serve them.
func TestLeavingNodeSendsWhatHasWaited(t *testing.T) {
	for _, tt := range []struct {
		name string
		// origin and connection are the times for which the request waits, and deadline that for which its caller does.
		origin, connection, deadline time.Duration
		sends                        int
	}{
		{"waits for the origin, has to end before the stop", 300 * time.Millisecond, 0, 5 * time.Second, 1},
		{"waits for the origin, may end after the stop", 300 * time.Millisecond, 0, 8 * time.Second, 0},
		{"waits for a connection, has to end before the stop", 0, 300 * time.Millisecond, 5 * time.Second, 1},
		{"waits for a connection, may end after the stop", 0, 300 * time.Millisecond, 8 * time.Second, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rl, ex, si := versionRelay("1", "2"), &slowConnections{takes: tt.connection}, &sink{}
				rl.Origins.Record(origin.Record{ID: "first", Origin: origin.Origin{Service: "app", Version: "1"}}, false)
				rl.Origins = &slowOrigins{Origins: rl.Origins, after: tt.origin}
				rq := request(routes.Route{Stream: true, RetryPolicy: routes.Resumable, TrafficSplit: []routes.WeightedService{{Service: "app", Weight: 1}}})
				rq.Customer, rq.Resumes, rq.LastEvent = nil, "first", "3"
				rq.Deadline = rq.Arrived.Add(tt.deadline)
				time.AfterFunc(100*time.Millisecond, func() {
					rl.Drain(admit.Departure{SignalAt: time.Now(), StopsAt: time.Now().Add(7500 * time.Millisecond)}) // A grace of 8 s.
				})
				rl.Serve(t.Context(), rq, ex, si)
				if len(ex.versions) != tt.sends {
					t.Errorf("sends: have %d, want %d", len(ex.versions), tt.sends)
				}
				if tt.sends == 0 && (si.status != fasthttp.StatusServiceUnavailable || si.after <= 0 || si.after > 50*time.Millisecond) {
					t.Errorf("have status %d, retry after %s, want 503 and to come back at once", si.status, si.after)
				}
			})
		})
	}
}
