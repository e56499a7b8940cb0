package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// TestNoPeerIsAskedWhenPathIsBack guards against a request that waits for one silent peer after the other
// though its own node reaches the servers again.
func TestNoPeerIsAskedWhenPathIsBack(t *testing.T) {
	for _, tt := range []struct {
		name   string
		back   bool
		offers int64
		want   relay.Kind
	}{
		{"the path is cut", false, 3, relay.KindNoDetour},
		{"the path is back", true, 1, relay.KindPathBack},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var offers atomic.Int64
			no := newForwardTest(t, func(ctx context.Context, _ *pulse.FrameStream) {
				offers.Add(1)
				<-ctx.Done()
			})
			no.mu.Lock()
			address := no.peers["peer"].address
			for _, id := range []units.VMID{"peer-2", "peer-3"} {
				no.addPeer(pulse.Peer{Node: id, Address: address}).forwards = true
			}
			no.mu.Unlock()
			_, err := no.forwards.Forward(t.Context(), &relay.Forward{
				ID: "r", Service: "app", Deadline: time.Now().Add(5 * time.Second), Back: func() bool { return tt.back },
			})
			if have := offers.Load(); !fault.Is(err, tt.want) || have != tt.offers {
				t.Errorf("have %d peers asked and error %v, want %d and kind %q", have, err, tt.offers, tt.want)
			}
		})
	}
}
