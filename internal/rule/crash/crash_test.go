package crash_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"lycheepick/internal/rule/crash"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/units"
)

const (
	ms = time.Millisecond
	// guilty is the part that crashes servers in these tests, shared and topic are sound ones.
	shared, topic, guilty place.BlockID = 1, 2, 3
)

// log is a book with a clock, and numbers for servers and requests.
type log struct {
	*crash.Book
	now     time.Time
	servers int
	request uint32
	// content is that of all requests, 0 for one of its own for each.
	content uint64
}

func newLog(node uint32) *log {
	return &log{Book: crash.NewBook(node), now: time.Unix(1_000_000, 0)}
}

func (lo *log) after(du time.Duration) *log {
	lo.now = lo.now.Add(du)
	return lo
}

func server(num int) permit.Server {
	return permit.Server{ID: units.VMID(fmt.Sprint("server-", num)), StartUnixMS: 1}
}

// crash loses a request with each of these prompts in one crash.
func (lo *log) crash(prompts ...[]place.BlockID) *log {
	lo.servers++
	for _, parts := range prompts {
		lo.request++
		content := lo.content
		if content == 0 {
			content = 1000 + uint64(lo.request)
		}
		lo.Lost(lo.now, server(lo.servers), crash.Loss{Request: lo.request, Content: content, At: lo.now, Parts: parts})
	}
	return lo
}

func (lo *log) crashes(count int, gap time.Duration, prompts ...[]place.BlockID) *log {
	for range count {
		lo.after(gap).crash(prompts...)
	}
	return lo
}

func (lo *log) complete(parts ...place.BlockID) *log {
	lo.Completed(lo.now, crash.Keys(0, parts))
	return lo
}

func (lo *log) blocks(part place.BlockID) bool {
	_, ok := lo.Blocked(lo.now, crash.Keys(0, prompt(part)))
	return ok
}

func prompt(parts ...place.BlockID) []place.BlockID { return parts }

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

// lose loses requests with these contents and one prompt, each on the given server, 0 for a new one.
func (lo *log) lose(sv int, parts []place.BlockID, contents ...uint64) {
	if sv == 0 {
		lo.servers++
		sv = lo.servers
	}
	for _, content := range contents {
		lo.request++
		lo.Lost(lo.now, server(sv), crash.Loss{Request: lo.request, Content: content, At: lo.now, Parts: parts})
	}
}

func (lo *log) blocksRequest(content uint64) bool {
	_, ok := lo.Blocked(lo.now, crash.Keys(content, nil))
	return ok
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

// TestReportsHaveCompletions guards against completions that wait behind losses, or that are forgotten as they
// came before the report of the crash, while sound requests are refused.
func TestReportsHaveCompletions(t *testing.T) {
	own, peer := newLog(1), newLog(2)
	peer.servers, peer.request = 100, 1000
	for range 4 {
		own.after(300 * ms).crash(prompt(topic))
		peer.after(300*ms).crash(prompt(shared), prompt(shared))
	}
	peer.after(100 * ms).complete(topic)
	own.after(100 * ms).tell(peer)
	for num := range 40 { // What other nodes lost at the time.
		for content := range 10 {
			peer.lose(200+num, prompt(place.BlockID(10000+100*num+content)), uint64(10000+100*num+content))
		}
	}
	own.after(200 * ms).blocks(topic)
	peer.after(200 * ms).tell(own)
	for range 4 {
		own.after(300*ms).Merge(own.now, crash.Report{}) // Keeps it in touch.
	}
	if own.blocks(topic) {
		t.Error("have the part blocked that the peer completed after the crashes")
	}
}

// TestReportsHoldWhatIsLacking guards against reports that repeat all losses of a server for a few that the peer lacks.
func TestReportsHoldWhatIsLacking(t *testing.T) {
	own, peer := newLog(1), newLog(2)
	own.servers = 1
	for content := range uint64(40) {
		own.lose(1, prompt(topic), content+1)
		peer.request = own.request - 1
		if content > 0 {
			peer.lose(1, prompt(topic), content+1)
		}
	}
	all, missing := own.Report(own.now, crash.Summary{}), own.Report(own.now, peer.Summary(peer.now))
	if have, full := len(missing.Servers[0].Lost), len(all.Servers[0].Lost); have == 0 || have > full/3 {
		t.Errorf("have %d bytes for one missing loss, want some, but less than a third of %d", have, full)
	}
}

// tell lets a node learn from another what it lacks.
func (lo *log) tell(to *log) {
	to.Merge(to.now, lo.Report(lo.now, to.Summary(to.now)))
}

// TestNodesAgree checks that nodes that have seen one crash each come to the same verdict, that one
// which starts later learns of it, and that a report holds only what is lacking.
func TestNodesAgree(t *testing.T) {
	var nodes []*log
	for num := range 5 {
		nodes = append(nodes, newLog(uint32(num)))
	}
	start := nodes[0].now
	for num, lo := range nodes {
		lo.servers, lo.request = 10*num, uint32(10*num)
		lo.after(time.Duration(num+1) * 200 * ms).crash(prompt(shared, guilty))
	}
	tell := func(at time.Duration) {
		for _, lo := range nodes {
			lo.now = start.Add(at)
		}
		for _, from := range nodes {
			for _, to := range nodes {
				from.tell(to)
			}
		}
	}
	for at := 1100 * ms; at <= 2600*ms; at += 300 * ms {
		tell(at)
	}
	for num, lo := range nodes {
		if !lo.blocks(guilty) || lo.blocks(shared) {
			t.Errorf("node %d: have %t for the guilty part and %t for the shared one, want only the first blocked", num, lo.blocks(guilty), lo.blocks(shared))
		}
	}
	if re := nodes[0].Report(nodes[0].now, nodes[1].Summary(nodes[1].now)); len(re.Servers)+len(re.Completed) > 0 {
		t.Errorf("have %+v for a peer that knows all, want nothing", re)
	}
	late := newLog(9)
	late.now = start.Add(time.Minute)
	nodes[0].now = late.now
	nodes[0].tell(late)
	late.after(200 * ms)
	if !late.blocks(guilty) || late.blocks(shared) {
		t.Errorf("a node that starts later: have %t for the guilty part and %t for the shared one, want only the first blocked", late.blocks(guilty), late.blocks(shared))
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

// TestHostilePromptsAreBounded checks the bounds of memory and of reports when requests with a great
// many parts crash servers without end.
func TestHostilePromptsAreBounded(t *testing.T) {
	lo := newLog(1)
	before := heapInUse()
	next := place.BlockID(1000)
	for range 2000 {
		var prompts [][]place.BlockID
		for range 100 {
			parts := make([]place.BlockID, 300)
			for idx := range parts {
				next++
				parts[idx] = next
			}
			prompts = append(prompts, parts)
		}
		lo.after(20 * ms).crash(prompts...)
		lo.Blocked(lo.now, nil)
	}
	used := heapInUse() - before
	t.Logf("%d KB for 200000 lost requests with 300 parts each", used>>10)
	if used > 8<<20 {
		t.Errorf("have %d bytes in use, want 8 MB or less", used)
	}
	sent := 0
	for range 200 { // Eight seconds of exchanges at a node that all ask.
		lo.after(40 * ms)
		raw, err := json.Marshal(lo.Report(lo.now, crash.Summary{}))
		if err != nil {
			t.Fatal(err)
		}
		sent += len(raw)
	}
	t.Logf("%d B/s of reports", sent/8)
	if sent/8 > 24<<10 {
		t.Errorf("have %d bytes of reports a second, want 24 KB or less", sent/8)
	}
	runtime.KeepAlive(lo)
}

// BenchmarkHostileSuspects measures how much of a processor judgements take if a great many requests
// and parts are lost again and again, ten crashes a second.
func BenchmarkHostileSuspects(b *testing.B) {
	lo := newLog(1)
	num := uint32(0)
	var busy time.Duration
	for b.Loop() {
		num++
		var prompts [][]place.BlockID
		for idx := range 64 {
			parts := make([]place.BlockID, 8)
			for at := range parts {
				parts[at] = place.BlockID(1000 + idx*8 + at)
			}
			prompts = append(prompts, parts)
		}
		lo.request = num << 8
		lo.crash(prompts...)
		for range 10 {
			lo.after(10 * ms)
			began := time.Now()
			lo.blocks(guilty)
			busy += time.Since(began)
		}
	}
	b.ReportMetric(busy.Seconds()/(0.1*float64(num)), "processors")
}

func heapInUse() int64 {
	runtime.GC()
	var st runtime.MemStats
	runtime.ReadMemStats(&st)
	return int64(st.HeapAlloc)
}

// FuzzMerge checks that any report is merged without a panic.
func FuzzMerge(f *testing.F) {
	lo := newLog(1)
	lo.crashes(4, 300*ms, prompt(shared, guilty))
	raw, err := json.Marshal(lo.Report(lo.now, crash.Summary{}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"servers":[{"server":"a","heard_age":-1,"lost":"AAAA"}],"completed":"AAAAAAAAAAAAAAAAAAAAAA=="}`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var re crash.Report
		if json.Unmarshal(raw, &re) != nil {
			return
		}
		to := newLog(2)
		to.crash(prompt(shared))
		to.Merge(to.now, re)
		to.after(2 * time.Second).blocks(guilty)
		to.Report(to.now, to.Summary(to.now))
	})
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
