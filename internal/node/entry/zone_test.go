package entry

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/edge/door"
	"lycheepick/internal/node/config"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/spill"
	"lycheepick/internal/rule/units"
)

// TestReportTellsZone guards against a node whose zone, or what is offered to it, its peers don't learn. Older nodes send no zone.
func TestReportTellsZone(t *testing.T) {
	no := New(&config.EntrySettings{VM: config.EntryVM{ID: "n-1", Zone: "z1"}}, Platform{
		Handler: func(View) (door.Handler, ForwardHandler) { return nil, nil },
	}, zap.NewNop())
	no.RecordDemand("app", 700)
	rep := no.report(false)
	if have := offeredFrom(rep.Offered)["app"]; rep.Zone != "z1" || have != (spill.Offered{Requests: 1, Prompts: 700}) {
		t.Errorf("have zone %q and %+v offered, want z1, and one request with 700 tokens", rep.Zone, have)
	}
	no.relay.SetSpill(true)
	for _, zone := range []units.ZoneID{"z2", ""} {
		no.applyReport(&pulse.Report{Peer: pulse.Peer{Node: "n-2", Address: "127.0.0.1:1"}, Incarnation: 1, Zone: zone}, time.Now())
	}
	if have := no.relay.Spilled(); have != 0 {
		t.Errorf("have fraction %.2f without requests, want 0", have)
	}
}
