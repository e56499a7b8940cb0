package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// link bounds the bytes a second that a machine receives.
type link struct {
	mu   sync.Mutex
	rate float64
	next time.Time
}

// take waits until size bytes have passed.
func (li *link) take(size int) {
	li.mu.Lock()
	if now := time.Now(); li.next.Before(now) {
		li.next = now
	}
	li.next = li.next.Add(time.Duration(float64(size) / li.rate * float64(time.Second)))
	until := li.next
	li.mu.Unlock()
	time.Sleep(time.Until(until))
}

// model is a model replica. In trouble it answers with a body that has no end.
type model struct {
	id      string
	slots   int
	link    *link
	ls      net.Listener
	trouble atomic.Bool
	running atomic.Int64
	// events is the number of events of an answer, gap the time between them.
	// first is the time to the first one.
	events     int
	first, gap time.Duration

	mu sync.Mutex
	// ran are the requests that the replica has begun to run while it was sound.
	ran map[string]time.Time
}

func newModel(id string, slots int, li *link) (*model, error) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mo := &model{id: id, slots: slots, link: li, ls: ls, events: 17, first: 300 * time.Millisecond, gap: 50 * time.Millisecond, ran: map[string]time.Time{}}
	go func() {
		for cn, err := ls.Accept(); err == nil; cn, err = ls.Accept() {
			go mo.serve(cn)
		}
	}()
	return mo, nil
}

func (mo *model) hasRun(id string) bool {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	return !mo.ran[id].IsZero()
}

func (mo *model) serve(cn net.Conn) {
	defer func() { _ = cn.Close() }()
	rd := bufio.NewReader(cn)
	for {
		rq, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, rq.Body); err != nil {
			return
		}
		id := rq.Header.Get("X-Attempt-Id")
		if rq.Header.Get("X-Expect-Instance") != mo.id {
			_, _ = fmt.Fprintf(cn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		running := mo.running.Add(1)
		if running > int64(mo.slots) {
			mo.running.Add(-1)
			_, _ = fmt.Fprintf(cn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\nX-Replica-Load: %d,0,%d\r\nTransfer-Encoding: chunked\r\n", id, id, running, mo.slots)
		if mo.trouble.Load() {
			mo.endless(cn, head)
			mo.running.Add(-1)
			return
		}
		mo.mu.Lock()
		mo.ran[id] = time.Now()
		mo.mu.Unlock()
		ok := mo.stream(cn, head)
		mo.running.Add(-1)
		if !ok {
			return
		}
	}
}

// stream answers with events.
func (mo *model) stream(cn net.Conn, head string) bool {
	time.Sleep(mo.first)
	if _, err := fmt.Fprintf(cn, "%sContent-Type: text/event-stream\r\n\r\n", head); err != nil {
		return false
	}
	for num := 1; num <= mo.events; num++ {
		ev := fmt.Sprintf("id: %d\ndata: some words of the answer\n\n", num)
		if _, err := fmt.Fprintf(cn, "%x\r\n%s\r\n", len(ev), ev); err != nil {
			return false
		}
		time.Sleep(mo.gap)
	}
	_, err := io.WriteString(cn, "0\r\n\r\n")
	return err == nil
}

// endless answers with a sound head and a body without end, until the caller closes. All replicas together send no
// more than the link of a machine takes.
func (mo *model) endless(cn net.Conn, head string) {
	if _, err := fmt.Fprintf(cn, "%sContent-Type: application/json\r\n\r\n", head); err != nil {
		return
	}
	part := make([]byte, 16<<10)
	for idx := range part {
		part[idx] = 'x'
	}
	for {
		mo.link.take(len(part))
		if _, err := fmt.Fprintf(cn, "%x\r\n%s\r\n", len(part), part); err != nil {
			return
		}
	}
}

// bodies lets one of three model replicas answer with bodies that have no end.
func bodies(wo *world, trouble bool) (int, error) {
	const (
		memory   = 284 // MB, of the site's machines.
		linkMbps = 1000
		slots    = 48
		clients  = 112
		calm     = 8 * time.Second
		length   = 40 * time.Second
		maxLost  = 3
	)
	wo.putConfig(1, []map[string]any{
		{"name": "draft", "path_prefix": "/stream/", "kind": "streaming", "service": "lm-pool", "timeout_ms": 6000, "target_latency_ms": 400, "gap_aim_ms": 250},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	li := &link{rate: linkMbps / 8 * 1e6}
	var list []*model
	for num := range 3 {
		mo, err := newModel(fmt.Sprintf("i-%d", num), slots, li)
		if err != nil {
			return cannotRun, err
		}
		list = append(list, mo)
		wo.putServer(mo.id, "lm-pool", mo.ls.Addr().String(), "ready", slots, nil)
	}
	go wo.renew(ctx)
	no := wo.addNode("front-hall-a-1")
	if err := wo.start(no, 4100); err != nil {
		return cannotRun, err
	}
	var peak, good, failed, begun, lost atomic.Int64
	go wo.watchMemory(ctx, no, memory, &peak)
	var wg sync.WaitGroup
	load, stop := context.WithCancel(ctx)
	defer stop()
	for num := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(num) * 12 * time.Millisecond) // One after the other, as clients come.
			rq := &request{method: "POST", path: "/stream/a", body: "prompt", deadline: 6 * time.Second, tokens: "300,51"}
			first := true
			(&client{addr: no.callers}).loop(load, rq, time.Duration(150+num)*time.Millisecond, func(an answer) {
				kept := !first
				first = false
				switch {
				case an.err == nil && an.status == http.StatusOK:
					good.Add(1)
				case an.err == nil:
					failed.Add(1)
				case an.status != 0: // The answer has begun, which the rule doesn't count.
					begun.Add(1)
				case kept:
					for _, mo := range list[1:] {
						if mo.hasRun(an.id) {
							lost.Add(1)
							wo.note("%s on a kept connection, passed on to the sound replica %s: no answer, %v", an.id, mo.id, an.err)
						}
					}
				}
				if !no.isUp() {
					stop()
				}
			})
		})
	}
	for began := time.Now(); time.Since(began) < length && no.isUp(); time.Sleep(time.Second) {
		if time.Since(began) > calm && trouble && !list[0].trouble.Swap(true) {
			wo.note("%s begins to answer with bodies without end", list[0].id)
		}
		wo.note("whole answers %d, failures %d, memory %.0f MiB, at most %d; requests at the replicas %d %d %d", good.Load(), failed.Load(), no.memory(), peak.Load(), list[0].running.Load(), list[1].running.Load(), list[2].running.Load())
	}
	up := no.isUp()
	if up {
		stop()
	}
	wg.Wait()
	wo.note("the process runs: %t; at most %d MiB; requests from kept connections that were passed on to a sound replica and whose connection ended without an answer: %d; answers that broke off: %d", up, peak.Load(), lost.Load(), begun.Load())
	if !up && lost.Load() > maxLost {
		return broken, nil
	}
	return held, nil
}
