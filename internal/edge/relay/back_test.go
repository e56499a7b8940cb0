package relay_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/state/routes"
	"lycheepick/internal/state/server"
)

// slowDetours are other nodes of which none has taken a request when the path is back.
type slowDetours struct {
	open  *atomic.Bool
	asked int
}

func (sd *slowDetours) Forward(_ context.Context, fw *relay.Forward) (*relay.Reply, error) {
	sd.asked++
	sd.open.Store(true)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if fw.Back != nil && fw.Back() {
			return nil, fault.New("test", relay.KindPathBack, "the servers are reached again")
		}
	}
	return nil, fault.New("test", relay.KindNoDetour, "none")
}

// TestRequestGoesStraightWhenPathIsBack guards against a request that is refused, or goes on asking other
// nodes, though its own node reaches the servers again.
func TestRequestGoesStraightWhenPathIsBack(t *testing.T) {
	var open atomic.Bool
	sd := &slowDetours{open: &open}
	rl := newCutRelayWith(t, sd, func(context.Context, *server.Server) error {
		if open.Load() {
			return nil
		}
		return fault.New("test", relay.KindNotSent, "refused")
	})
	ex, si := &exchange{replies: []*relay.Reply{serverFailure()}}, &sink{}
	rl.Serve(t.Context(), request(routes.Route{RetryPolicy: routes.AtMostOnce}), rawExchange{ex}, si)
	if sd.asked != 1 || ex.sends != 1 || si.status != 500 {
		t.Errorf("have %d detours, %d requests sent straight and status %d, want 1, 1 and the server's 500", sd.asked, ex.sends, si.status)
	}
}
