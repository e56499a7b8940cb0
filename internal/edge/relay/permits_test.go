package relay_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
)

// limitedServers is an exchange whose servers name a limit and break off every stream after its
// first event.
type limitedServers struct {
	sentTo []units.VMID
	// names is set if the responses name a limit, and connecting is called while the attempt
	// connects.
	names      bool
	connecting func(*relay.Attempt)
}

// Send implements relay.Exchange.
func (ls *limitedServers) Send(_ context.Context, at *relay.Attempt) (*relay.Reply, error) {
	if ls.connecting != nil {
		ls.connecting(at)
	}
	if at.Limited() {
		return nil, fault.New("test", relay.KindLimited, "it has named a limit")
	}
	ls.sentTo = append(ls.sentTo, at.Server.ID)
	hd := &fasthttp.ResponseHeader{}
	hd.SetNoDefaultContentType(true)
	hd.SetStatusCode(fasthttp.StatusOK)
	return &relay.Reply{
		Status: fasthttp.StatusOK, Authentic: true, Head: hd, SentAt: time.Now(), Limit: permit.Limit{Rate: 1, Named: ls.names},
		Body: io.MultiReader(strings.NewReader("id: "+string(rune('0'+len(ls.sentTo)))+"\n\n"), strings.NewReader("cut")), Close: func() {},
	}, nil
}

// TestAttemptsWithoutPermit guards against attempts that reach a server which names a limit without a
// permit: the first, the retry, and the resumption of a stream by this node or by the caller.
func TestAttemptsWithoutPermit(t *testing.T) {
	for _, tt := range []struct {
		name  string
		route routes.Route
		// lastEvent is set for a stream that the caller resumes.
		lastEvent string
		// granted are the permits of each server, and sends the attempts that reach one.
		granted, sends int
	}{
		{"no permit", routes.Route{RetryPolicy: routes.Idempotent}, "", 0, 0},
		{"a stream that this node resumes", routes.Route{Stream: true, RetryPolicy: routes.Resumable}, "", 1, 2},
		{"a stream that the caller resumes", routes.Route{Stream: true, RetryPolicy: routes.Resumable}, "4", 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rl, ex, si := newRelay(2), &limitedServers{names: true}, &sink{}
			for _, id := range []units.VMID{"a", "b"} {
				rl.ApplyPeerReport(time.Now(), time.Now(), "peer", 1, relay.LoadReport{ServerLimits: []permit.Observation{
					{Server: notice.Server{ID: id}, Limit: permit.Limit{Rate: 1, Named: true}},
				}})
			}
			left := map[units.VMID]int{"a": tt.granted, "b": tt.granted}
			rl.AskPermits = func(_ context.Context, rq permit.Request) (permit.Grant, error) {
				gr := permit.Grant{Observation: rq.Observation, After: time.Second}
				if left[rq.ID] > 0 {
					left[rq.ID]--
					gr.Permits, gr.After = 1, 0
				}
				return gr, nil
			}
			rq := request(tt.route)
			rq.Customer, rq.LastEvent = nil, tt.lastEvent
			began := time.Now()
			rl.Serve(context.Background(), rq, ex, si)
			if len(ex.sentTo) != tt.sends {
				t.Errorf("sent to %v, want %d sends", ex.sentTo, tt.sends)
			}
			if tt.sends > 0 {
				return
			}
			if si.status != fasthttp.StatusServiceUnavailable || si.after <= 0 || time.Since(began) > 100*time.Millisecond {
				t.Errorf("have status %d, retry after %s, after %s, want 503 at once with a time to come back", si.status, si.after, time.Since(began))
			}
		})
	}
}

// TestServerNamesLimitWhileConnecting guards against a request that is sent to a server which named
// a limit between the choice and the end of the dial. It has to reach another server.
func TestServerNamesLimitWhileConnecting(t *testing.T) {
	rl, si := newRelay(2), &sink{}
	first := units.VMID("")
	ex := &limitedServers{}
	ex.connecting = func(at *relay.Attempt) {
		if first != "" {
			return
		}
		first = at.Server.ID
		rl.ApplyPeerReport(time.Now(), time.Now(), "peer", 1, relay.LoadReport{ServerLimits: []permit.Observation{
			{Server: notice.Server{ID: first}, Limit: permit.Limit{Rate: 1, Named: true}},
		}})
	}
	rl.AskPermits = func(_ context.Context, rq permit.Request) (permit.Grant, error) {
		return permit.Grant{Observation: rq.Observation, After: time.Second}, nil
	}
	rq := request(routes.Route{Stream: true})
	rq.Customer = nil
	rl.Serve(context.Background(), rq, ex, si)
	if len(ex.sentTo) != 1 || ex.sentTo[0] == first {
		t.Errorf("sent to %v, want the server without a limit once", ex.sentTo)
	}
}
