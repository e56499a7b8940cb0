package crowd_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"lycheepick/internal/bench/crowd"
)

type cutCase struct {
	name string
	load crowd.Load
	// found is how often a node may find its path cut.
	found int
	// large is set for cases that are always played at 360 nodes too.
	large bool
}

func cutCases(nodes, servers int) []cutCase {
	cut := func(kind crowd.CutKind, share float64, at, length time.Duration) crowd.Cut {
		return crowd.Cut{Kind: kind, First: 0, Last: max(1, int(float64(nodes)*share)) - 1, At: at, For: length}
	}
	one := func(kind crowd.CutKind, share float64) crowd.Load {
		return crowd.Load{Cuts: []crowd.Cut{cut(kind, share, 4*second, 8*second)}}
	}
	var flaps crowd.Load
	for num := range 6 {
		flaps.Cuts = append(flaps.Cuts, cut(crowd.CutResets, 0.3, time.Duration(4+2*num)*second, second))
	}
	flaps.Cuts = append(flaps.Cuts, crowd.Cut{Kind: crowd.CutHangs, First: nodes / 2, Last: nodes - 2, At: 9 * second, For: 7 * second})
	next, tenth := nodes/2, max(1, nodes/10)
	beside := one(crowd.CutHangs, 0.4)
	beside.Faults = []crowd.Fault{
		{Kind: crowd.Stopped, First: next, Last: next + tenth - 1, For: 9 * second}, // They join later.
		{Kind: crowd.Stopped, First: next + tenth, Last: next + 2*tenth - 1, At: 9 * second, For: time.Minute},
		{Kind: crowd.Frozen, First: next + 2*tenth, Last: next + 3*tenth - 1, At: 8 * second, For: 3 * second},
	}
	crashes := one(crowd.CutResets, 0.4)
	for num := range max(2, servers/5) {
		crashes.Crashes.Alone = append(crashes.Crashes.Alone, crowd.ServerFault{At: 5*second + time.Duration(num)*8*second/time.Duration(servers), First: num, Last: num})
	}
	return []cutCase{
		{"a quarter hangs", one(crowd.CutHangs, 0.25), 1, false},
		{"half are reset", one(crowd.CutResets, 0.5), 1, false},
		{"half hang", one(crowd.CutHangs, 0.5), 1, false},
		{"a third, a whole zone, hangs", one(crowd.CutHangs, 0.34), 1, false},
		{"half get no new connections", one(crowd.CutNew, 0.5), 1, false},
		{"again and again", flaps, 4, true},
		{"beside nodes that join, die and freeze", beside, 1, true},
		{"beside servers that crash", crashes, 1, false},
	}
}

// TestCutNodesServe guards against nodes that reach no server and refuse their callers' requests,
// or whose troubles the other nodes' callers feel, judged by the platform's rule RECOVER. CUT_ALL
// plays all cases at 360 nodes, CUT_SEED another seed.
func TestCutNodesServe(t *testing.T) {
	seed := uint64(29)
	if raw := os.Getenv("CUT_SEED"); raw != "" {
		if _, err := fmt.Sscan(raw, &seed); err != nil {
			t.Fatal(err)
		}
	}
	for _, size := range []struct{ nodes, servers int }{{8, 12}, {64, 89}, {360, 120}} {
		if size.nodes > largestFleet {
			continue
		}
		for _, cc := range cutCases(size.nodes, size.servers) {
			if size.nodes > 64 && !cc.large && os.Getenv("CUT_ALL") == "" {
				continue
			}
			t.Run(fmt.Sprintf("%d nodes, %s", size.nodes, cc.name), func(t *testing.T) {
				t.Parallel()
				re := crowd.Run(crowd.Setup{Nodes: size.nodes, Servers: size.servers, Unlimited: size.nodes > 8, Load: cc.load, Duration: 18 * second, Seed: seed})
				cu := re.Cuts
				t.Logf("cut nodes served %d of %d first tries, the others %d of %d, before %d of %d; %d forwarded, %d late, cut found %d times; %d ejections by others; %d runs at most; %d lost",
					cu.CutServed, cu.Cut, cu.OthersServed, cu.Others, cu.BeforeServed, cu.Before, cu.Forwarded, cu.Late, cu.MostFound, cu.Ejections, cu.MostRuns, re.Lost)
				if broken := cu.Broken(); len(broken) > 0 {
					t.Errorf("have %v broken, want none", broken)
				}
				if cu.Cut < 20 || cu.Others < 20 {
					t.Errorf("have %d first tries at cut nodes and %d at others, want 20", cu.Cut, cu.Others)
				}
				if cu.OthersServed*cu.Before*50 < cu.BeforeServed*cu.Others*49 {
					t.Errorf("the others served %d of %d beside cut nodes, %d of %d before", cu.OthersServed, cu.Others, cu.BeforeServed, cu.Before)
				}
				if cu.Late > 0 {
					t.Errorf("%d requests took a detour more than a second after the cut", cu.Late)
				}
				if cu.MostFound > cc.found {
					t.Errorf("a node found its path cut %d times, want %d at most", cu.MostFound, cc.found)
				}
				if cu.MostRuns > 2 {
					t.Errorf("a request reached %d servers, want 2 at most", cu.MostRuns)
				}
				if re.Crashes.SoundBlocked > 0 {
					t.Errorf("have %d sound requests refused for what they hold, want none", re.Crashes.SoundBlocked)
				}
				if cu.Ejections > 0 && len(cc.load.Crashes.Alone) == 0 {
					t.Errorf("nodes that reach the servers took sound ones for unusable %d times", cu.Ejections)
				}
			})
		}
	}
}
