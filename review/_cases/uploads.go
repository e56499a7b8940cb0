package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// uploads lets clients send bodies of the largest size that the configuration allows. Then as many more come as in a burst.
func uploads(wo *world, trouble bool) (int, error) {
	const (
		memory   = 284 // MB, of the site's machines.
		linkMbps = 1000
		clients  = 50
		added    = 35 // 1.7 times as many.
		calm     = 14 * time.Second
		length   = 30 * time.Second
		maxLost  = 3
	)
	wo.putConfig(1, []map[string]any{
		{"name": "chat", "path_prefix": "/stream/", "kind": "streaming", "service": "lm-pool", "timeout_ms": 15000, "target_latency_ms": 250, "gap_aim_ms": 250},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	li := &link{rate: linkMbps / 8 * 1e6}
	var list []*model
	for num := range 3 {
		mo, err := newModel(fmt.Sprintf("i-%d", num), 48, nil)
		if err != nil {
			return cannotRun, err
		}
		mo.events, mo.gap = 93, 48*time.Millisecond
		list = append(list, mo)
		wo.putServer(mo.id, "lm-pool", mo.ls.Addr().String(), "ready", 48, nil)
	}
	go wo.renew(ctx)
	no := wo.addNode("front-hall-a-1")
	if err := wo.start(no, 4100); err != nil {
		return cannotRun, err
	}
	var peak, good, failed, lost atomic.Int64
	go wo.watchMemory(ctx, no, memory, &peak)
	body := strings.Repeat("0123456789abcdef", 4194304/16)
	load, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	add := func(num int) {
		wg.Go(func() {
			time.Sleep(time.Duration(num*97%4600) * time.Millisecond)
			rq := &request{method: "POST", path: "/stream/a", body: body, deadline: 15 * time.Second, tokens: "300,279"}
			first := true
			(&client{addr: no.callers, link: li}).loop(load, rq, 300*time.Millisecond, func(an answer) {
				kept := !first
				first = false
				switch {
				case an.err == nil && an.status == http.StatusOK:
					good.Add(1)
				case an.err == nil:
					failed.Add(1)
				case kept:
					for _, mo := range list {
						if mo.hasRun(an.id) {
							lost.Add(1)
							wo.note("%s on a kept connection, passed on to %s: no whole answer, %v", an.id, mo.id, an.err)
						}
					}
				}
				if !no.isUp() {
					stop()
				}
			})
		})
	}
	for num := range clients {
		add(num)
	}
	more := !trouble
	for began := time.Now(); time.Since(began) < length && no.isUp(); time.Sleep(time.Second) {
		if !more && time.Since(began) > calm {
			more = true
			wo.note("%d more clients come", added)
			for num := range added {
				add(num)
			}
		}
		wo.note("whole answers %d, failures %d, memory %.0f MiB, at most %d", good.Load(), failed.Load(), no.memory(), peak.Load())
	}
	up, inTime := no.isUp(), lost.Load()
	stop()
	if up {
		no.kill()
		wg.Wait()
	} else {
		wg.Wait()
		inTime = lost.Load()
	}
	wo.note("the process runs: %t; at most %d MiB; requests from kept connections that were passed on and whose connection ended without a whole answer: %d", up, peak.Load(), inTime)
	if !up && inTime > maxLost {
		return broken, nil
	}
	return held, nil
}
