package watch_test

import (
	"fmt"
	"testing"
	"time"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

func fleet(count int) []units.VMID {
	out := make([]units.VMID, count)
	for num := range out {
		out[num] = units.VMID(fmt.Sprintf("node-%d", num))
	}
	return out
}

// without returns the nodes but one.
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
		nodes := fleet(tt.nodes)
		have := 0
		for _, no := range nodes {
			wa := watch.New(no)
			wa.Plan(without(nodes, no))
			if wa.Reads() {
				have++
			}
		}
		if have != tt.want {
			t.Errorf("%d nodes: have %d readers, want %d", tt.nodes, have, tt.want)
		}
	}
}

func TestNodeReadsOnceItsReadersAreSilent(t *testing.T) {
	nodes := fleet(64)
	now := time.Unix(1000, 0)
	early := 0
	for _, no := range nodes {
		wa := watch.New(no)
		wa.Plan(without(nodes, no))
		wa.Agreed(now)
		if wa.Reads() {
			continue
		}
		if wa.Due(now.Add(time.Second)) {
			t.Fatalf("%s reads though it was told a second ago", no)
		}
		if wa.Due(now.Add(1450 * time.Millisecond)) {
			early++
		}
		if !wa.Due(now.Add(1800 * time.Millisecond)) {
			t.Fatalf("%s does not read after 1.8 s of silence", no)
		}
	}
	if early == 0 || early > 50 {
		t.Errorf("have %d nodes that read within 1.45 s, want some and not all", early)
	}
}

func TestNextReaderIsAskedAfterAFailure(t *testing.T) {
	wa := watch.New("node-1")
	wa.Plan(fleet(64)[2:])
	first := wa.Reader()
	wa.Failed(first)
	if wa.Reader() == first {
		t.Errorf("%s is asked again", first)
	}
	second := wa.Reader()
	wa.Failed(first) // A late failure of the one before says nothing of this one.
	if wa.Reader() != second {
		t.Errorf("have %s, want %s", wa.Reader(), second)
	}
}

// TestNewsReachesAll plays rounds at 8, 64 and 360 nodes in which one reader learns
// something: all nodes know it within the time in which no node gives up on its readers.
// The naive way, by peers chosen by chance alone, is played beside.
func TestNewsReachesAll(t *testing.T) {
	for _, size := range []int{8, 64, 360} {
		rounds, naive := spread(size, true), spread(size, false)
		t.Logf("%d nodes: %d rounds with readers asked first, %d by chance", size, rounds, naive)
		if most := int(1200*time.Millisecond/watch.RoundEvery) + 1; rounds > most {
			t.Errorf("%d nodes: have %d rounds, want %d or fewer", size, rounds, most)
		}
	}
}

// spread returns the number of rounds until all nodes know what all readers know.
func spread(size int, readers bool) int {
	nodes := fleet(size)
	watches, knows := map[units.VMID]*watch.Watch{}, map[units.VMID]bool{}
	for _, no := range nodes {
		watches[no] = watch.New(no)
		watches[no].Plan(without(nodes, no))
		knows[no] = watches[no].Reads()
		if !readers {
			watches[no] = watch.New(no)
		}
	}
	for round := 1; ; round++ {
		next := map[units.VMID]bool{}
		for _, no := range nodes {
			next[no] = knows[no]
			for _, pe := range watches[no].Round(uint64(round), "", without(nodes, no)) {
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

func TestSilenceGrowsWithTheFleet(t *testing.T) {
	for _, tt := range []struct {
		peers int
		want  time.Duration
	}{{0, 1500 * time.Millisecond}, {8, 1500 * time.Millisecond}, {63, 5625 * time.Millisecond}} {
		if have := watch.Silence(1500*time.Millisecond, tt.peers); have != tt.want {
			t.Errorf("%d peers: have %s, want %s", tt.peers, have, tt.want)
		}
	}
}

func ExampleWatch() {
	wa := watch.New("node-1")
	wa.Plan([]units.VMID{"node-2", "node-3"})
	fmt.Println(wa.Reads(), wa.Due(time.Now()))
	// Output: true true
}
