package crowd_test

import (
	"fmt"
	"testing"
	"time"

	"lycheepick/internal/bench/crowd"
	"lycheepick/internal/rule/units"
)

// largestFleet is the largest number of nodes that is simulated.
var largestFleet = 360

// limitCase is a fleet with servers that name limits.
type limitCase struct {
	name           string
	nodes, servers int
	load           crowd.Load
}

// duration is shorter for a large fleet, which takes longer to simulate.
func (lc *limitCase) duration() time.Duration {
	if lc.nodes > 64 {
		return 14 * time.Second
	}
	return 20 * time.Second
}

// limits lets the first count servers name a limit at 2 s that changes at 8 s.
func limits(count int, rate, later units.RequestsPerSecond) []crowd.NamedLimit {
	var out []crowd.NamedLimit
	for num := range count {
		out = append(out, crowd.NamedLimit{Server: num, At: 2 * time.Second, Rate: rate}, crowd.NamedLimit{Server: num, At: 8 * time.Second, Rate: later})
	}
	return out
}

func limitCases() []limitCase {
	const second = time.Second
	const length = 4 * time.Second
	out := []limitCase{
		{"limits fall and end", 8, 12, crowd.Load{Limits: append(limits(3, 3, 1), crowd.NamedLimit{Server: 0, At: 13 * second})}},
		{"a limit ends and is named again", 8, 12, crowd.Load{Limits: append(limits(1, 2, 0), crowd.NamedLimit{Server: 0, At: 11 * second, Rate: 2})}},
		{"all servers", 8, 12, crowd.Load{Limits: limits(12, 4, 2)}},
		{"servers start anew", 8, 12, crowd.Load{Limits: append(limits(4, 2, 2), crowd.NamedLimit{Server: 0, At: 16 * second, Rate: 2}), Reclaims: []crowd.Reclaim{
			{At: 9 * second, Notice: second, Share: 0.26},
		}}},
		{"callers that ignore Retry-After", 8, 12, crowd.Load{Limits: limits(12, 3, 3), IgnoreRetryAfter: true}},
		{"nodes join", 8, 12, crowd.Load{Limits: limits(3, 2, 2), Faults: []crowd.Fault{{Kind: crowd.Stopped, First: 0, Last: 3, For: 9 * second}}}},
		{"a node stops for good", 8, 12, crowd.Load{Limits: limits(12, 2, 2), Faults: []crowd.Fault{{Kind: crowd.Stopped, First: 2, Last: 2, At: 7 * second, For: time.Minute}}}},
	}
	for kind, name := range []string{"restarted", "frozen", "cut off"} {
		out = append(out, limitCase{"nodes " + name, 8, 12, crowd.Load{
			Limits: limits(6, 2, 2), Faults: []crowd.Fault{{Kind: crowd.FaultKind(kind), First: 1, Last: 3, At: 7 * second, For: length}},
		}})
	}
	for _, size := range []struct{ nodes, servers int }{{8, 12}, {64, 89}, {360, 120}} {
		few := size.servers / 10
		out = append(
			out,
			limitCase{"steady", size.nodes, size.servers, crowd.Load{Limits: limits(few, 1.9, 1.9)}},
			limitCase{"high limits", size.nodes, size.servers, crowd.Load{Limits: limits(few, 6, 6)}},
			limitCase{"skewed arrivals", size.nodes, size.servers, crowd.Load{Limits: limits(few, 2, 2), BusyNodes: max(1, size.nodes/16)}},
			limitCase{"a tenth cut off, then frozen", size.nodes, size.servers, crowd.Load{Limits: limits(few, 2, 2), Faults: []crowd.Fault{
				{Kind: crowd.CutOff, First: 0, Last: size.nodes / 10, At: 6 * second, For: length},
				{Kind: crowd.Frozen, First: size.nodes / 2, Last: size.nodes/2 + size.nodes/10, At: 8 * second, For: length},
			}}},
		)
	}
	return out
}

// TestServerLimits checks the platform's rule LIMIT from the servers' side, and that limited
// servers get what they allow while they are worth choosing.
func TestServerLimits(t *testing.T) {
	for _, lc := range limitCases() {
		if lc.nodes > largestFleet {
			continue
		}
		t.Run(fmt.Sprintf("%d nodes, %s", lc.nodes, lc.name), func(t *testing.T) {
			t.Parallel()
			re := crowd.Run(crowd.Setup{Nodes: lc.nodes, Servers: lc.servers, Unlimited: lc.nodes > 8, Load: lc.load, Duration: lc.duration(), Seed: 5})
			li := re.ServerLimits
			t.Logf("worst window %.2f of what the rule allows, %.2f with nodes that the server hasn't told, %.2f of what the limits allow used, %d of %d requests in time, %d refused",
				li.Worst, li.WorstOfAll, li.Used/li.Allowed, re.InTime, re.Requests, re.Refused)
			if li.Broken > 0 || li.Periods == 0 {
				t.Errorf("LIMIT: have %d of %d periods in which it was broken, want none", li.Broken, li.Periods)
			}
			if li.WorstOfAll > 1 {
				t.Errorf("have %.2f of what the rule allows from all nodes, told or not, want 1 or less", li.WorstOfAll)
			}
			if share := li.Used / li.Allowed; share < 0.5 {
				t.Errorf("have %.2f of what the limits allow used, want half", share)
			}
		})
	}
}
