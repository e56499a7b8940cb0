package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lycheepick/platform/fakes"
)

var eventOf = regexp.MustCompile(`id: (\d+)\ndata: token \d+ (v\d)\n\n`)

// versions lets a release replace the replicas by those of another software version while all nodes are killed, in a
// deployment whose platform has no duties.
func versions(wo *world, trouble bool) (int, error) {
	const (
		clients  = 12
		events   = 40
		pause    = 100 * time.Millisecond
		deadline = 6 * time.Second
		// The streams have run for a second when the first release begins; the second one follows after gap. The nodes are
		// killed as the first of the old replicas leaves.
		lead      = time.Second
		drain     = 2300 * time.Millisecond
		down      = time.Second
		gap       = 750 * time.Millisecond
		maxJoined = 2
	)
	figures["cloud.duties"] = "[]"
	wo.putConfig(1, []map[string]any{
		{"name": "rewrite", "path_prefix": "/stream/", "kind": "streaming", "service": "lm-pool", "resume_streams": true, "max_attempts": 2, "timeout_ms": 6000, "target_latency_ms": 300, "gap_aim_ms": 250},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go wo.renew(ctx)
	add := func(id, version string) *fakes.Replica {
		re := fakes.NewReplica(id)
		re.Events, re.Pause = events, pause
		re.SetVersion(" " + version)
		wo.putServer(id, "lm-pool", re.Address(), "ready", 48, map[string]any{"version": version})
		return re
	}
	old := []*fakes.Replica{add("i-1", "v1"), add("i-2", "v1")}
	for num := range 2 {
		if err := wo.start(wo.addNode(fmt.Sprintf("front-hall-a-%d", num+1)), 0); err != nil {
			return cannotRun, err
		}
	}
	time.Sleep(3 * time.Second)
	var joined, resumed, whole atomic.Int64
	var wg sync.WaitGroup
	for num := range clients {
		wg.Go(func() {
			st := &taker{wo: wo, num: num, until: time.Now().Add(deadline), events: events}
			st.run()
			if st.tries > 1 && st.last > st.lastFirst {
				resumed.Add(1)
			}
			if st.last == events {
				whole.Add(1)
			}
			if len(st.versions) > 1 {
				joined.Add(1)
			}
			wo.note("stream %s: %d tries, events up to %d, versions %v", st.first, st.tries, st.last, st.order)
		})
	}
	time.Sleep(lead)
	if trouble {
		for num, re := range old {
			if num > 0 {
				time.Sleep(gap)
			}
			add("n-"+re.ID, "v2") // The new one starts first.
			wo.putServer(re.ID, "lm-pool", re.Address(), "draining", 48, map[string]any{"version": "v1"})
			wo.note("a replica of v2 has started, and %s of v1 drains", re.ID)
			time.AfterFunc(drain, func() {
				wo.removeServer(re.ID)
				re.CloseClientConnections()
				_ = re.Config.Close()
				wo.note("%s of v1 has left", re.ID)
			})
		}
		time.Sleep(drain - gap - 50*time.Millisecond)
		for _, no := range wo.nodes {
			no.signal(9)
		}
		wo.note("all nodes are killed")
		time.Sleep(down)
		for _, no := range wo.nodes {
			<-no.ended
			go func() { _ = wo.start(no, 0) }()
		}
	}
	wg.Wait()
	wo.note("of %d streams %d were taken up again and went on, %d came whole; %d hold events of two versions", clients, resumed.Load(), whole.Load(), joined.Load())
	if joined.Load() > maxJoined {
		return broken, nil
	}
	return held, nil
}

// taker is a client that takes its stream up again.
type taker struct {
	wo              *world
	num, events     int
	until           time.Time
	first           string
	tries           int
	last, lastFirst int
	versions        map[string]bool
	order           []string
}

func (ta *taker) run() {
	ta.versions = map[string]bool{}
	for ; time.Now().Before(ta.until) && ta.last < ta.events; time.Sleep(250 * time.Millisecond) {
		ta.try(ta.wo.nodes[(ta.num+ta.tries)%len(ta.wo.nodes)].callers)
	}
}

func (ta *taker) try(addr string) {
	cn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = cn.Close() }()
	_ = cn.SetDeadline(ta.until)
	rq := &request{method: "POST", path: "/stream/a", body: "prompt", deadline: time.Until(ta.until), tokens: "300,51"}
	if ta.last > 0 {
		rq.more = map[string]string{"Last-Event-Id": fmt.Sprint(ta.last), "Resumes": ta.first}
	}
	id := newID()
	ta.tries++
	if _, err := fmt.Fprint(cn, rq.text(id)); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(cn), nil)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		ta.wo.note("stream %s, try %d: status %d", ta.first, ta.tries, resp.StatusCode)
		return
	}
	if ta.first == "" {
		ta.first = id
	}
	rd := bufio.NewReader(resp.Body)
	var text strings.Builder
	for {
		line, err := rd.ReadString('\n')
		text.WriteString(line)
		if all := eventOf.FindStringSubmatch(text.String()); all != nil {
			text.Reset()
			_, _ = fmt.Sscan(all[1], &ta.last)
			if ta.tries == 1 {
				ta.lastFirst = ta.last
			}
			if !ta.versions[all[2]] {
				ta.versions[all[2]] = true
				ta.order = append(ta.order, fmt.Sprintf("%s from event %d", all[2], ta.last))
			}
		}
		if err != nil {
			return
		}
	}
}
