package notice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/units"
)

var (
	epoch = time.Unix(1_000_000, 0)
	first = notice.Server{ID: "i-1", StartUnixMS: 7}
	next  = notice.Server{ID: "i-1", StartUnixMS: 8}
)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestLeavingIsFinal guards against a server that gets requests again after it said that it leaves,
// whatever is heard later, and in which order.
func TestLeavingIsFinal(t *testing.T) {
	for _, tt := range []struct {
		name string
		hear func(ta *notice.Table[notice.Leaving])
		want notice.Leaving
	}{
		{"said", func(ta *notice.Table[notice.Leaving]) { ta.Observe(at(10), at(10), first, true) }, true},
		{"an older answer without it comes later", func(ta *notice.Table[notice.Leaving]) {
			ta.Observe(at(10), at(10), first, true)
			ta.Observe(at(20), at(5), first, false)
		}, true},
		{"a later answer without it", func(ta *notice.Table[notice.Leaving]) {
			ta.Observe(at(10), at(10), first, true)
			ta.Observe(at(20), at(20), first, false)
		}, true},
		{"a peer's old news comes last", func(ta *notice.Table[notice.Leaving]) {
			ta.Observe(at(10), at(10), first, false)
			ta.Merge(at(3000), at(3000), []notice.Heard[notice.Leaving]{{Server: first, Value: true, Age: 3 * time.Second}})
		}, true},
		{"another incarnation", func(ta *notice.Table[notice.Leaving]) { ta.Observe(at(10), at(10), next, true) }, false},
		{"a peer's age is below 0", func(ta *notice.Table[notice.Leaving]) {
			ta.Merge(at(10), at(10), []notice.Heard[notice.Leaving]{{Server: first, Value: true, Age: -1}})
		}, false},
	} {
		ta := notice.NewLeaving()
		tt.hear(ta)
		if have := ta.Get(first); have != tt.want {
			t.Errorf("%s: have %t, want %t", tt.name, have, tt.want)
		}
	}
}

// TestNoticesEnd guards against notices that are kept for ever, or forgotten while they hold.
func TestNoticesEnd(t *testing.T) {
	unknown := notice.Server{ID: "i-2"} // Doesn't state its start.
	ta := notice.NewLeaving()
	for _, sv := range []notice.Server{first, next, unknown} {
		ta.Observe(at(0), at(0), sv, true)
	}
	listed := func(sv notice.Server) bool { return sv != first }
	ta.Retain(at(59_000), listed)
	for _, sv := range []notice.Server{first, next, unknown} {
		if !ta.Get(sv) {
			t.Errorf("after 59 s: %v has no notice", sv)
		}
	}
	ta.Retain(at(61_000), listed)
	if ta.Get(first) || !ta.Get(next) || ta.Get(unknown) {
		t.Errorf("after 61 s: have %t, %t, %t of not listed, listed, listed without a start; want the second alone", ta.Get(first), ta.Get(next), ta.Get(unknown))
	}
}

// TestNoticesSpread checks that each change is in the reports of the seconds after it, that older
// notices are repeated in time, and that a server which says nothing costs none.
func TestNoticesSpread(t *testing.T) {
	const count = 100
	ta, peer := notice.NewLeaving(), notice.NewLeaving()
	for num := range count {
		ta.Observe(at(0), at(0), notice.Server{ID: units.VMID(rune(num)), StartUnixMS: 1}, true)
		ta.Observe(at(0), at(0), notice.Server{ID: units.VMID(rune(1000 + num)), StartUnixMS: 1}, false)
	}
	if have := len(ta.Heard(at(4000))); have != count {
		t.Errorf("in the seconds after the change: have %d notices, want %d", have, count)
	}
	if have := len(ta.Heard(at(6000))); have == 0 || have >= count/2 {
		t.Errorf("later: have %d notices in one report, want a few", have)
	}
	missing := func() (out int) {
		for num := range count {
			if !peer.Get(notice.Server{ID: units.VMID(rune(num)), StartUnixMS: 1}) {
				out++
			}
		}
		return out
	}
	for round := 0; missing() > 0; round++ {
		if round > 1000 {
			t.Fatalf("%d notices are not repeated", missing())
		}
		peer.Merge(at(6000), at(6000), ta.Heard(at(6000)))
	}
}

// TestLatestHoldsInAnyOrder checks that tables agree once they have heard the same, in any order.
func TestLatestHoldsInAnyOrder(t *testing.T) {
	rnd := rand.New(rand.NewPCG(20261205, 0))
	for range 200 {
		heard := make([]notice.Heard[int], 8)
		for idx := range heard {
			heard[idx] = notice.Heard[int]{Server: first, Value: 1 + rnd.IntN(3), Age: time.Duration(idx) * time.Second}
		}
		want := heard[0].Value
		rnd.Shuffle(len(heard), func(one, two int) { heard[one], heard[two] = heard[two], heard[one] })
		ta := notice.NewTable[int](notice.Latest[int]{})
		ta.Merge(epoch, epoch, heard)
		if have := ta.Get(first); have != want {
			t.Fatalf("have %d, want %d, which is the latest of %v", have, want, heard)
		}
	}
}
