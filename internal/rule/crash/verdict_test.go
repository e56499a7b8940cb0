package crash_test

import (
	"fmt"
	"testing"
	"time"

	"lycheepick/internal/rule/crash"
	"lycheepick/internal/rule/place"
)

// TestVerdicts checks which parts are blocked after crashes.
func TestVerdicts(t *testing.T) {
	const settle = 1500 * ms
	for _, tt := range []struct {
		name   string
		play   func(*log)
		blocks []place.BlockID
	}{
		{"four crashes", func(lo *log) { lo.crashes(4, 300*ms, prompt(shared, guilty)).after(settle) }, prompt(guilty)},
		{"three crashes", func(lo *log) { lo.crashes(3, 300*ms, prompt(shared, guilty)).after(settle) }, nil},
		{"before others can have reported", func(lo *log) { lo.crashes(4, 300*ms, prompt(shared, guilty)).after(500 * ms) }, nil},
		{"the first part", func(lo *log) {
			for num := range 4 {
				lo.after(300 * ms).crash(prompt(guilty, place.BlockID(10+num)))
			}
			lo.after(settle)
		}, prompt(guilty)},
		{"sound requests on the same servers", func(lo *log) {
			lo.crashes(5, 300*ms, prompt(shared, topic), prompt(shared, guilty), prompt(shared, topic)).after(settle)
		}, prompt(guilty)},
		{"completions with a part", func(lo *log) {
			for range 6 {
				lo.after(300*ms).crash(prompt(shared, topic)).after(100*ms).complete(shared, topic)
			}
			lo.after(settle)
		}, nil},
		{"some requests crash no server", func(lo *log) {
			lo.crashes(2, 300*ms, prompt(guilty)).after(1200 * ms).complete(guilty).after(2100 * ms)
			lo.crashes(3, 300*ms, prompt(guilty)).after(settle)
		}, prompt(guilty)},
		{"a completion ends a verdict", func(lo *log) {
			lo.crashes(4, 300*ms, prompt(topic)).after(settle).complete(topic)
			lo.after(200 * ms)
		}, nil},
		{"servers that end at one moment", func(lo *log) {
			lo.crashes(9, 5*ms, prompt(shared, topic)).after(settle)
		}, nil},
		{"servers that serve afterwards", func(lo *log) {
			lo.crashes(6, 300*ms, prompt(topic)).after(500 * ms)
			for num := range 4 {
				lo.Heard(lo.now, server(num+1))
			}
			lo.after(settle)
		}, nil},
		{"two guilty parts at once", func(lo *log) {
			lo.crashes(3, 200*ms, prompt(shared, guilty)).complete(shared).crashes(3, 200*ms, prompt(shared, topic)).complete(shared).crashes(2, 200*ms, prompt(shared, guilty), prompt(shared, topic))
			lo.after(settle)
		}, prompt(guilty, topic)},
		{"one request that comes again", func(lo *log) {
			lo.content = 7
			lo.crashes(6, 300*ms, prompt(shared, topic)).after(settle)
		}, nil},
		{"one request that comes again, beside a guilty part", func(lo *log) {
			lo.content = 7
			lo.crashes(6, 300*ms, prompt(shared, topic)).complete(shared)
			lo.content = 0
			lo.crashes(4, 300*ms, prompt(shared, guilty)).after(300*ms).crash(prompt(shared, guilty), prompt(shared, topic)).complete(shared).after(settle)
		}, prompt(guilty)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			lo := newLog(1)
			tt.play(lo)
			want := map[place.BlockID]bool{}
			for _, id := range tt.blocks {
				want[id] = true
			}
			for _, id := range prompt(shared, topic, guilty) {
				if have := lo.blocks(id); have != want[id] {
					t.Errorf("part %d: have blocked %t, want %t", id, have, want[id])
				}
			}
		})
	}
}

// TestRepeatedRequest checks which requests are blocked by their content.
func TestRepeatedRequest(t *testing.T) {
	const guilty, sound = 7, 8
	lo := newLog(1)
	blocked := func(content uint64) bool {
		_, ok := lo.Blocked(lo.now, crash.Keys(content, nil))
		return ok
	}
	for num := range 3 {
		lo.content = guilty
		lo.after(300 * ms).crash(prompt(shared))
		lo.content = sound // Lost on the same servers, but for the first.
		if num > 0 {
			lo.servers--
			lo.crash(prompt(shared))
		}
	}
	if lo.after(500 * ms); blocked(guilty) {
		t.Error("have the request blocked before others can have reported")
	}
	if lo.after(time.Second); !blocked(guilty) || blocked(sound) {
		t.Errorf("have %t for the guilty request and %t for the other, want only the first blocked", blocked(guilty), blocked(sound))
	}
	lo.Completed(lo.now, crash.Keys(guilty, nil))
	if lo.after(200 * ms); blocked(guilty) {
		t.Error("have the request blocked after it was completed")
	}
}

// TestBystandersAreServed guards against parts that are blocked for a repeated request and others that
// share a part with it and were lost beside it.
func TestBystandersAreServed(t *testing.T) {
	const repeated, other, early = 7, 8, 9
	for _, tt := range []struct {
		name string
		play func(*log)
	}{
		{"lost beside it and once more elsewhere", func(lo *log) {
			for _, contents := range [][]uint64{{repeated}, {repeated}, {repeated, other}, {other}} {
				lo.after(300*ms).lose(0, prompt(topic), contents...)
			}
		}},
		{"lost alone before a completion", func(lo *log) {
			lo.lose(0, prompt(topic), early)
			lo.after(300 * ms).complete(topic).after(2 * time.Second)
			for _, contents := range [][]uint64{{repeated}, {repeated}, {repeated}, {repeated, other}, {repeated, other}} {
				lo.after(300*ms).lose(0, prompt(topic), contents...)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			lo := newLog(1)
			tt.play(lo)
			if lo.after(1500 * ms); lo.blocks(topic) || !lo.blocksRequest(repeated) {
				t.Errorf("have %t for the part and %t for the request, want only the request blocked", lo.blocks(topic), lo.blocksRequest(repeated))
			}
		})
	}
}

// TestRequestsThatShareCrashes guards against repeated requests that are sent on since other requests
// or parts explain their crashes.
func TestRequestsThatShareCrashes(t *testing.T) {
	const one, two, three = 7, 8, 9
	t.Run("all of four crashes", func(t *testing.T) {
		lo := newLog(1)
		for num := range 6 {
			lo.after(300*ms).lose(0, nil, one)
			if num < 4 {
				lo.lose(lo.servers, nil, two)
			}
			if num < 3 {
				lo.lose(lo.servers, nil, three)
			}
		}
		if lo.after(1500 * ms); !lo.blocksRequest(one) || !lo.blocksRequest(two) || lo.blocksRequest(three) {
			t.Errorf("have %t, %t and %t, want the request under three crashes sent, the others blocked", lo.blocksRequest(one), lo.blocksRequest(two), lo.blocksRequest(three))
		}
	})
	t.Run("a part that is blocked later", func(t *testing.T) {
		lo := newLog(1)
		for num := range 3 {
			lo.after(300*ms).lose(0, prompt(shared), one)
			if num > 0 {
				lo.lose(lo.servers, prompt(guilty), uint64(100+num))
			}
		}
		if lo.after(1500 * ms); !lo.blocksRequest(one) {
			t.Fatal("have the request sent, want it blocked")
		}
		lo.crashes(4, 300*ms, prompt(guilty)).after(1500 * ms)
		if !lo.blocks(guilty) || !lo.blocksRequest(one) {
			t.Errorf("have %t for the part and %t for the request, want both blocked", lo.blocks(guilty), lo.blocksRequest(one))
		}
	})
}

// TestRequestsThatSometimesComplete guards against a repeated request that a few completions among many
// crashes clear.
func TestRequestsThatSometimesComplete(t *testing.T) {
	const repeated = 7
	for _, tt := range []struct {
		completions int
		after       time.Duration
		want        bool
	}{{3, 0, true}, {6, 0, false}, {2, time.Minute, true}, {3, time.Minute, false}} {
		lo := newLog(1)
		for range 8 {
			lo.after(300*ms).lose(0, nil, repeated)
		}
		lo.after(1500 * ms).blocksRequest(repeated)
		for range tt.completions {
			lo.after(tt.after).Completed(lo.now, crash.Keys(repeated, nil))
			lo.after(10 * ms)
		}
		if have := lo.after(200 * ms).blocksRequest(repeated); have != tt.want {
			t.Errorf("%d completions %s apart: have blocked %t, want %t", tt.completions, tt.after, have, tt.want)
		}
	}
}

// TestNodeOutOfTouch guards against verdicts of a node that is cut off from its peers, and so lacks what they
// completed.
func TestNodeOutOfTouch(t *testing.T) {
	own, peer := newLog(1), newLog(2)
	wait := func(du time.Duration, inTouch bool) {
		for until := own.now.Add(du); own.now.Before(until); {
			own.after(100 * ms).blocks(topic)
			peer.after(100 * ms).blocks(topic)
			if inTouch {
				own.tell(peer)
				peer.tell(own)
			}
		}
	}
	wait(time.Second, true)
	for range 4 {
		own.crash(prompt(topic))
		wait(200*ms, true)
	}
	for range 4 {
		peer.complete(topic)
		wait(200*ms, false)
	}
	wait(3*time.Second, false)
	if own.blocks(topic) {
		t.Error("have the part blocked while the node is cut off")
	}
	wait(3*time.Second, true)
	if own.blocks(topic) {
		t.Error("have the part blocked that a peer completed")
	}
	own.crashes(4, 300*ms, prompt(guilty))
	wait(2*time.Second, false)
	wait(3*time.Second, true)
	if !own.blocks(guilty) || !peer.blocks(guilty) {
		t.Error("have the guilty part sent once the nodes are in touch again")
	}
	own.crashes(4, 300*ms, prompt(shared))
	wait(12*time.Second, false)
	if !own.blocks(shared) {
		t.Error("have the part sent by a node whose peers are gone")
	}
}

// TestTrials checks when one request may try a blocked part, and what ends the verdict.
func TestTrials(t *testing.T) {
	lo := newLog(1)
	lo.crashes(5, 300*ms, prompt(shared, guilty)).after(1500 * ms)
	parts := prompt(shared, guilty)
	keys := crash.Keys(7, parts)
	bl, ok := lo.Blocked(lo.now, keys)
	if !ok || bl.Key != crash.PartKey(guilty) || bl.RetryAfter < 25*time.Second || bl.RetryAfter > 30*time.Second {
		t.Fatalf("have %+v, %t, want the guilty part blocked for half a minute", bl, ok)
	}
	if lo.Try(lo.now, keys) {
		t.Error("a request may try the part at once")
	}
	lo.after(30 * time.Second)
	if !lo.Try(lo.now, keys) || lo.Try(lo.now, keys) {
		t.Error("want one request that may try the part")
	}
	lo.after(300 * ms).crash(parts).after(1500 * ms)
	if bl, _ := lo.Blocked(lo.now, keys); bl.RetryAfter < time.Minute {
		t.Errorf("have %s after another crash, want a minute or more", bl.RetryAfter)
	}
	for trial := 0; lo.blocks(guilty); trial++ {
		if lo.after(100 * time.Second); !lo.Try(lo.now, keys) || trial > 3 {
			t.Fatalf("trial %d: want it allowed, and three completions to end the verdict", trial)
		}
		lo.complete(parts...).after(200 * ms)
	}
	if lo.after(2 * time.Hour); lo.blocks(guilty) {
		t.Error("have the part blocked without a crash for hours")
	}
}

func ExampleBook_Blocked() {
	bo, now := crash.NewBook(1), time.Unix(0, 0)
	for num := range 4 {
		now = now.Add(time.Second)
		bo.Lost(now, server(num), crash.Loss{Request: uint32(num), At: now, Parts: prompt(shared, guilty)})
	}
	now = now.Add(2 * time.Second)
	bl, blocked := bo.Blocked(now, crash.Keys(0, prompt(topic, guilty)))
	fmt.Println(blocked, bl.Key, bl.RetryAfter)
	// Output: true 3 28s
}

// TestPartOfSeveralGuiltyOnes guards against a part that is blocked since most crashes are under it,
// although each of them is under a guilty part too.
func TestPartOfSeveralGuiltyOnes(t *testing.T) {
	const common, first, last = 50, 51, 53
	lo := newLog(1)
	for id := place.BlockID(first); id <= last; id++ {
		lo.crashes(4, 300*ms, prompt(common, id)).crashes(4, 300*ms, prompt(id+50, id))
	}
	lo.after(1500 * ms)
	for id := place.BlockID(first); id <= last; id++ {
		if !lo.blocks(id) {
			t.Errorf("part %d is not blocked, under which eight servers crashed", id)
		}
	}
	if lo.blocks(common) {
		t.Error("the part is blocked that is in half of the requests that crash servers")
	}
}
