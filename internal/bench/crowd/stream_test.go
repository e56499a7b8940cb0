package crowd_test

import (
	"fmt"
	"testing"
	"time"

	"lycheepick/internal/bench/crowd"
)

// allNodesLosePower makes all nodes lose power twice. Callers of their streams notice once the nodes are in
// touch again.
func allNodesLosePower(nodes int, first, second time.Duration) (crowd.Streams, []crowd.Fault) {
	var faults []crowd.Fault
	for _, at := range []time.Duration{first, second} {
		faults = append(faults, crowd.Fault{Kind: crowd.Stopped, First: 0, Last: nodes - 1, At: at, For: 600 * time.Millisecond})
	}
	return crowd.Streams{CutShare: 0.02, NoticeAfter: 4200 * time.Millisecond}, faults
}

// TestStreamsAfterAllNodesLosePower guards against streams that don't go on, or go on at another software
// version, after all nodes have lost power: no node remembers where they began.
func TestStreamsAfterAllNodesLosePower(t *testing.T) {
	const second = time.Second
	for _, size := range []struct{ nodes, servers int }{{8, 12}, {64, 89}, {360, 120}} {
		if size.nodes > largestFleet {
			continue
		}
		for _, tt := range []struct {
			name string
			load crowd.Load
		}{
			{"usual load", crowd.Load{}},
			{"burst", crowd.Load{RateFactor: func(at time.Duration) float64 { return 1 + float64(at/second%2) }}},
		} {
			t.Run(fmt.Sprintf("%d nodes, %s", size.nodes, tt.name), func(t *testing.T) {
				t.Parallel()
				tt.load.Streams, tt.load.Faults = allNodesLosePower(size.nodes, 5*second, 11*second)
				re := crowd.Run(crowd.Setup{Nodes: size.nodes, Servers: size.servers, Unlimited: true, Load: tt.load, Duration: 17 * second, Seed: 42})
				st := re.Streams
				t.Logf("%d streams of two versions, %d of %d went on, %d of %d new ones began", st.Mixed, st.WentOn, st.Resumed, st.Begun, st.New)
				if broken := st.Broken(); len(broken) > 0 {
					t.Errorf("have %v broken, want none", broken)
				}
				if st.Resumed < 12 {
					t.Errorf("have %d streams taken up again, want 12", st.Resumed)
				}
			})
		}
	}
}

// TestStreamsOfTwoVersions checks the platform's rules ORDER and LOST from the callers' side, with
// servers of two software versions side by side. Streams are cut, also by servers and nodes that
// end, and taken up again at random nodes.
func TestStreamsOfTwoVersions(t *testing.T) {
	const second = time.Second
	for _, size := range []struct{ nodes, servers int }{{8, 12}, {64, 89}, {360, 120}} {
		if size.nodes > largestFleet {
			continue
		}
		last := max(0, size.nodes/8-1)
		for _, tt := range []struct {
			name string
			load crowd.Load
		}{
			{"connections break", crowd.Load{Streams: crowd.Streams{CutShare: 0.2}}},
			{"two servers of one version", crowd.Load{Streams: crowd.Streams{CutShare: 0.3, FewOf: 2}}},
			{"servers are replaced by the other version", crowd.Load{Streams: crowd.Streams{CutShare: 0.1}, Reclaims: []crowd.Reclaim{
				{At: 4 * second, Notice: 100 * time.Millisecond, Share: 0.25}, {At: 8 * second, Notice: 100 * time.Millisecond, From: 0.25, Share: 0.25},
			}}},
			{"nodes stop, freeze and are cut off", crowd.Load{Streams: crowd.Streams{CutShare: 0.2}, Faults: []crowd.Fault{
				{Kind: crowd.Stopped, First: 0, Last: last, At: 4 * second, For: second},
				{Kind: crowd.CutOff, First: last + 1, Last: 2*last + 1, At: 6 * second, For: 4 * second},
				{Kind: crowd.Frozen, First: 2*last + 2, Last: 3*last + 2, At: 5 * second, For: 3 * second},
			}}},
			{"all nodes start anew", crowd.Load{Streams: crowd.Streams{CutShare: 0.2}, Faults: []crowd.Fault{
				{Kind: crowd.Stopped, First: 0, Last: size.nodes - 1, At: 6 * second, For: 2 * second},
			}}},
		} {
			t.Run(fmt.Sprintf("%d nodes, %s", size.nodes, tt.name), func(t *testing.T) {
				t.Parallel()
				re := crowd.Run(crowd.Setup{Nodes: size.nodes, Servers: size.servers, Unlimited: size.nodes > 8, Load: tt.load, Duration: 12 * second, Seed: 6})
				st := re.Streams
				t.Logf("%d streams of two versions, %d of %d went on, %d of %d new ones began", st.Mixed, st.WentOn, st.Resumed, st.Begun, st.New)
				if broken := st.Broken(); len(broken) > 0 {
					t.Errorf("have %v broken, want none", broken)
				}
				if st.Resumed < 12 {
					t.Errorf("have %d streams taken up again, want 12", st.Resumed)
				}
			})
		}
	}
}
