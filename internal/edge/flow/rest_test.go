package flow_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
	"lycheepick/internal/edge/engine"
	"lycheepick/internal/edge/fleet"
	"lycheepick/internal/edge/flow"
	"lycheepick/internal/edge/gate"
	"lycheepick/internal/edge/plain"
	"lycheepick/internal/edge/quota"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
	"lycheepick/internal/state/table"
)

// noAudit drops all notes, and noOwners is a fleet without owner nodes.
type (
	noAudit  struct{}
	noOwners struct{}
)

// Note implements fleet.Audit.
func (noAudit) Note(string, string, string) {}

// Reserve implements flow.Owners.
func (noOwners) Reserve(context.Context, *route.Server, *route.Request) (route.ServerState, bool) {
	return route.ServerState{}, false
}

// backend is a server of both kinds that refuses requests while refuses is set, with a Retry-After if it is
// not empty.
type backend struct {
	refuses atomic.Pointer[string]

	mu       sync.Mutex
	arrivals []time.Time
}

func (ba *backend) serve(ct *fasthttp.RequestCtx) {
	ba.mu.Lock()
	ba.arrivals = append(ba.arrivals, time.Now())
	ba.mu.Unlock()
	for _, name := range []string{engine.HeaderRequest, engine.HeaderAttempt} {
		ct.Response.Header.SetBytesV(name, ct.Request.Header.Peek(name))
	}
	after := ba.refuses.Load()
	if after == nil {
		ct.SetBodyString("data: {\"lycheepick\":{\"index\":0}}\n\n")
		return
	}
	ct.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ct.Response.Header.Set(engine.HeaderRefused, "full")
	if *after != "" {
		ct.Response.Header.Set(fasthttp.HeaderRetryAfter, *after)
	}
}

// later returns the requests that came later than a time after the first one.
func (ba *backend) later(after time.Duration) (count int) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	for _, at := range ba.arrivals {
		if at.Sub(ba.arrivals[0]) > after {
			count++
		}
	}
	return count
}

func newFlow(t *testing.T, count int) (*flow.Flow, []*backend) {
	var list []member.Member
	var out []*backend
	for num := range count {
		ls, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ls.Close() })
		ba := &backend{}
		out = append(out, ba)
		go func() { _ = (&fasthttp.Server{Handler: ba.serve}).Serve(ls) }()
		list = append(list, member.Member{
			Instance: units.Instance{VM: units.VMID(fmt.Sprint("server-", num)), Incarnation: 1}, Role: member.RolePlain,
			Target: "app", Address: ls.Addr().String(), State: member.Alive,
		})
	}
	fl, ca := fleet.New(noAudit{}), call.NewCaller()
	fl.SetMembers(list)
	return &flow.Flow{
		Fleet: fl, Gates: gate.New(), Quota: quota.New(), Engine: engine.NewClient(ca), Plain: plain.NewClient(ca),
		Policy: route.NewCostPolicy(), Owners: noOwners{}, OnDraining: func(units.Instance) {},
	}, out
}

// offer sends a request each 10 ms for some time and returns how many were served and failed, and the shortest
// time after which a failed one may come back.
func offer(fl *flow.Flow, length time.Duration) (served, failed int, after time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	after = time.Hour
	for num := range int(length / (10 * time.Millisecond)) {
		wg.Go(func() {
			_, fa := fl.Service(context.Background(), &flow.ServiceRequest{
				Row: &table.Row{Target: "app", Attempts: 3, Idempotent: true}, Deadline: time.Now().Add(5 * time.Second),
				Request: plain.Request{ID: units.RequestID(fmt.Sprint("r-", num)), Method: "POST", Path: "/x"},
			})
			mu.Lock()
			defer mu.Unlock()
			if fa == nil {
				served++
				return
			}
			failed, after = failed+1, min(after, fa.RetryAfter)
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	return served, failed, after
}

// TestServerThatRefusesGetsRequests guards against a server that refuses, and so runs nothing, drawing the
// requests of the OpenAI address, whether it names a time of rest or not.
func TestServerThatRefusesGetsRequests(t *testing.T) {
	const rest, heard, spread = 2 * time.Second, 500 * time.Millisecond, 300 * time.Millisecond
	for _, tt := range []struct {
		name, after string
		servers     int
		most        int
	}{
		{"a rest, beside another server", "2", 2, 2},
		{"a rest, alone", "2", 1, 2},
		{"no time, beside another server", "", 2, 15},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			fl, list := newFlow(t, tt.servers)
			list[0].refuses.Store(&tt.after)
			served, failed, after := offer(fl, rest-100*time.Millisecond)
			late := list[0].later(heard)
			t.Logf("%d served, %d failed, to come back after %s at least; %d requests reached the server, %d of them later", served, failed, after, list[0].later(-1), late)
			if late > tt.most {
				t.Errorf("have %d requests at the server that refuses, want %d or fewer", late, tt.most)
			}
			if tt.servers > 1 && failed > 0 {
				t.Errorf("have %d requests failed although a server was idle, want none", failed)
			}
			if failed > 0 && after <= 0 {
				t.Error("want all failed requests to be told when to come back")
			}
			list[0].refuses.Store(nil)
			time.Sleep(rest + spread) // A trial may have been refused at the end of the load.
			before := list[0].later(-1)
			if served, failed, _ := offer(fl, time.Second); failed > 0 || served < 100 || list[0].later(-1)-before < 20 {
				t.Errorf("once it is well: have %d served, %d failed, %d at the server, want 100, 0 and 20 or more", served, failed, list[0].later(-1)-before)
			}
		})
	}
}
