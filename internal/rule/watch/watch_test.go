package watch_test

import (
	"fmt"
	"testing"
	"time"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

func nodeIDs(count int) []units.VMID {
	out := make([]units.VMID, count)
	for num := range out {
		out[num] = units.VMID(fmt.Sprintf("node-%d", num))
	}
	return out
}

// without returns all nodes except id.
func without(nodes []units.VMID, id units.VMID) []units.VMID {
	var out []units.VMID
	for _, no := range nodes {
		if no != id {
			out = append(out, no)
		}
	}
	return out
}

func TestFewNodesRead(t *testing.T) {
	for _, tt := range []struct{ nodes, want int }{{1, 1}, {3, 3}, {8, 4}, {64, 4}, {96, 6}, {360, 23}} {
		nodes := nodeIDs(tt.nodes)
		have := 0
		for _, no := range nodes {
			se := watch.New(no, 0)
			se.SetPeers(without(nodes, no))
			if se.IsReader() {
				have++
			}
		}
		if have != tt.want {
			t.Errorf("%d nodes: have %d readers, want %d", tt.nodes, have, tt.want)
		}
	}
}

func TestNodeReadsOnceItsStateIsStale(t *testing.T) {
	nodes := nodeIDs(64)
	now := time.Unix(1000, 0)
	early := 0
	for _, no := range nodes {
		se := watch.New(no, 0)
		se.SetPeers(without(nodes, no))
		se.Synced(watch.Servers, now)
		if se.IsReader() {
			continue
		}
		if se.ShouldRead(watch.Servers, now.Add(time.Second)) {
			t.Fatalf("%s reads though its state is only 1 s old", no)
		}
		if se.ShouldRead(watch.Servers, now.Add(1450*time.Millisecond)) {
			early++
		}
		if !se.ShouldRead(watch.Servers, now.Add(1800*time.Millisecond)) {
			t.Fatalf("%s does not read though its state is 1.8 s old", no)
		}
	}
	if early == 0 || early > 50 {
		t.Errorf("nodes that read after 1.45 s: have %d, want more than 0 and at most 50", early)
	}
}

// TestStreamsAgeApart guards against a node whose poll of one stream hangs, and that takes its
// state of it for fresh since the other stream is.
func TestStreamsAgeApart(t *testing.T) {
	now := time.Unix(1000, 0)
	se := watch.New("node-1", 0)
	se.SetPeers(nodeIDs(64)[2:])
	if se.IsReader() {
		t.Fatal("node-1 is a reader")
	}
	se.Synced(watch.Servers, now)
	if se.ShouldRead(watch.Servers, now) || !se.ShouldRead(watch.Config, now) {
		t.Error("the configuration counts as fresh, or the servers as stale")
	}
}

func TestNextReaderIsQueriedAfterAFailure(t *testing.T) {
	se := watch.New("node-1", 0)
	se.SetPeers(nodeIDs(64)[2:])
	first := se.Reader()
	se.ReaderFailed(first)
	if se.Reader() == first {
		t.Errorf("%s is queried again after its failure", first)
	}
	second := se.Reader()
	se.ReaderFailed(first) // A late failure of the previous reader must not skip the current one.
	if se.Reader() != second {
		t.Errorf("have %s, want %s", se.Reader(), second)
	}
}

// TestNewsReachesAll simulates rounds at 8, 64 and 360 nodes after the readers have learned a
// change: all nodes must know it before staleTimeout makes the others read for themselves. The
// log also shows the rounds that selection purely at random takes.
func TestNewsReachesAll(t *testing.T) {
	for _, size := range []int{8, 64, 360} {
		rounds, random := roundsToReachAll(size, true), roundsToReachAll(size, false)
		t.Logf("%d nodes: %d rounds with readers queried first, %d at random", size, rounds, random)
		if maxRounds := int(1200*time.Millisecond/watch.RoundInterval) + 1; rounds > maxRounds {
			t.Errorf("%d nodes: have %d rounds, want %d or fewer", size, rounds, maxRounds)
		}
	}
}

// roundsToReachAll returns the number of rounds until all nodes know what all readers know.
func roundsToReachAll(size int, readers bool) int {
	nodes := nodeIDs(size)
	selectors, knows := map[units.VMID]*watch.Selector{}, map[units.VMID]bool{}
	for _, no := range nodes {
		selectors[no] = watch.New(no, 0)
		selectors[no].SetPeers(without(nodes, no))
		knows[no] = selectors[no].IsReader()
		if !readers {
			selectors[no] = watch.New(no, 0)
		}
	}
	for round := 1; ; round++ {
		next := map[units.VMID]bool{}
		for _, no := range nodes {
			next[no] = knows[no]
			for _, pe := range selectors[no].SelectPeers(uint64(round), "", without(nodes, no)) {
				next[no] = next[no] || knows[pe]
			}
		}
		knows = next
		left := 0
		for _, no := range nodes {
			if !knows[no] {
				left++
			}
		}
		if left == 0 {
			return round
		}
	}
}

func TestSilenceTimeoutGrowsWithTheFleet(t *testing.T) {
	for _, tt := range []struct {
		peers int
		want  time.Duration
	}{{0, 1500 * time.Millisecond}, {8, 1500 * time.Millisecond}, {63, 5625 * time.Millisecond}} {
		if have := watch.SilenceTimeout(1500*time.Millisecond, tt.peers); have != tt.want {
			t.Errorf("%d peers: have %s, want %s", tt.peers, have, tt.want)
		}
	}
}

func ExampleSelector() {
	se := watch.New("node-1", 0)
	se.SetPeers([]units.VMID{"node-2", "node-3"})
	fmt.Println(se.IsReader(), se.ShouldRead(watch.Config, time.Now()))
	// Output: true true
}
