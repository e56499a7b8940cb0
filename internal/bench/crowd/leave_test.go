package crowd_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"lycheepick/internal/bench/crowd"
)

// leaveCase is a fleet with servers that say in their answers that they leave.
type leaveCase struct {
	name           string
	nodes, servers int
	load           crowd.Load
}

// departures lets count servers from number first on say that they leave.
func departures(first, count int, at, length, outage time.Duration) (out []crowd.Departure) {
	for num := range count {
		out = append(out, crowd.Departure{Server: first + num, At: at, For: length, Outage: outage})
	}
	return out
}

func leaveCases() (out []leaveCase) {
	const second = time.Second
	for _, size := range []struct{ nodes, servers int }{{8, 12}, {64, 89}, {360, 120}} {
		few, tenth := max(2, size.servers/10), max(1, size.nodes/10)
		leave := departures(0, few, 2*second, 0, 0)
		add := func(name string, load crowd.Load) {
			if load.Departures == nil {
				load.Departures = leave
			}
			out = append(out, leaveCase{name, size.nodes, size.servers, load})
		}
		add("steady", crowd.Load{})
		add("one after the other, and back", crowd.Load{Departures: append(departures(0, few, 2*second, 4*second, second), departures(few, few, 5*second, 3*second, second)...)})
		add("skewed arrivals", crowd.Load{BusyNodes: max(1, size.nodes/16)})
		add("nodes restart, freeze and are cut off from peers", crowd.Load{Faults: []crowd.Fault{
			{Kind: crowd.Stopped, First: 0, Last: tenth, At: 3 * second, For: second},
			{Kind: crowd.Frozen, First: size.nodes / 3, Last: size.nodes/3 + tenth, At: 3 * second, For: 2 * second},
			{Kind: crowd.CutOff, First: size.nodes / 2, Last: size.nodes/2 + tenth, At: second, For: 4 * second},
		}})
		add("nodes join", crowd.Load{Faults: []crowd.Fault{{Kind: crowd.Stopped, First: 0, Last: tenth, For: 5 * second}}})
		add("nodes reach no server", crowd.Load{Cuts: []crowd.Cut{{Kind: crowd.CutResets, First: 0, Last: size.nodes / 3, At: 3 * second, For: 4 * second}}})
		add("servers name limits too", crowd.Load{Limits: limits(2*few, 3, 2)})
	}
	return out
}

// TestRequestsReachLeavingServers guards against requests that reach a server from a node to which it
// has said that it leaves, and from any node once all should know.
func TestRequestsReachLeavingServers(t *testing.T) {
	for _, lc := range leaveCases() {
		if lc.nodes > largestFleet || lc.nodes > 64 && lc.name != "steady" && os.Getenv("LEAVE_ALL") == "" {
			continue
		}
		t.Run(fmt.Sprintf("%d nodes, %s", lc.nodes, lc.name), func(t *testing.T) {
			t.Parallel()
			re := crowd.Run(crowd.Setup{Nodes: lc.nodes, Servers: lc.servers, Unlimited: lc.nodes > 8, Load: lc.load, Duration: 10 * time.Second, Seed: 33})
			le := re.Leaving
			t.Logf("%d servers left, %d nodes were told by an answer, %d requests reached them, the last %s after its node was told; %d of %d requests in time, %d refused, %d lost",
				le.Departures, le.Told, le.Arrivals, le.Slowest, re.InTime, re.Requests, re.Refused, re.Lost)
			if le.Departures == 0 || le.Told == 0 || le.Arrivals == 0 {
				t.Errorf("have %d servers that left, %d nodes that were told, %d requests; want some", le.Departures, le.Told, le.Arrivals)
			}
			if le.Late > 0 || le.LateOfAll > 0 {
				t.Errorf("DRAIN: have %d requests from nodes that had passed it on, %d from nodes that should know, want none", le.Late, le.LateOfAll)
			}
			if lc.load.Limits == nil && re.Refused*10 > re.Requests {
				t.Errorf("have %d of %d requests refused while nine servers in ten serve", re.Refused, re.Requests)
			}
		})
	}
}
