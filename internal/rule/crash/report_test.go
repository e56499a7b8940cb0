package crash_test

import (
	"encoding/json"
	"testing"
	"time"

	"lycheepick/internal/rule/crash"
	"lycheepick/internal/rule/place"
)

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
