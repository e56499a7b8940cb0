package crash_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"lycheepick/internal/rule/crash"
	"lycheepick/internal/rule/notice"
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

func server(num int) notice.Server {
	return notice.Server{ID: units.VMID(fmt.Sprint("server-", num)), StartUnixMS: 1}
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
