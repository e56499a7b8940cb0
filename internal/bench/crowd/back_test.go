package crowd_test

import (
	"testing"

	"lycheepick/internal/bench/crowd"
)

// TestDetoursEndWithTheCut guards against requests that go on asking other nodes, of which many have just
// died, when their own node reaches the servers again.
func TestDetoursEndWithTheCut(t *testing.T) {
	re := crowd.Run(crowd.Setup{Nodes: 64, Servers: 89, Unlimited: true, Duration: 15 * second, Seed: 1, Load: crowd.Load{
		Cuts:   []crowd.Cut{{Kind: crowd.CutHangs, First: 0, Last: 24, At: 4 * second, For: 8 * second}},
		Faults: []crowd.Fault{{Kind: crowd.Stopped, First: 25, Last: 44, At: 11900 * second / 1000, For: 60 * second}},
	}})
	cu := re.Cuts
	t.Logf("%d forwarded, %d late, cut found %d times", cu.Forwarded, cu.Late, cu.MostFound)
	if cu.Late > 0 {
		t.Errorf("%d requests took a detour more than a second after the cut", cu.Late)
	}
}
