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

// uploads lets clients send bodies of the largest size that the configuration allows. Then a burst comes.
func uploads(wo *world, trouble bool) (int, error) {
	const (
		memory   = 284 // MB, of the site's machines.
		linkMbps = 1000
		clients  = 56
		factor   = 1.7
		burst    = 3 * time.Second
		calm     = 18 * time.Second
		measured = 6 * time.Second
		length   = 32 * time.Second
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
		mo.events, mo.first, mo.gap = 93, time.Second, 48*time.Millisecond
		list = append(list, mo)
		wo.putServer(mo.id, "lm-pool", mo.ls.Addr().String(), "ready", 48, nil)
	}
	go wo.renew(ctx)
	no := wo.addNode("front-hall-a-1")
	if err := wo.start(no, 4100); err != nil {
		return cannotRun, err
	}
	var peak, sent, good, failed, begun, lost atomic.Int64
	go wo.watchMemory(ctx, no, memory, &peak)
	load, stop := context.WithCancel(ctx)
	defer stop()
	rq := &request{
		method: "POST", path: "/stream/a", body: strings.Repeat("0123456789abcdef", 4194304/16), deadline: 15 * time.Second, tokens: "300,279",
	}
	seen := func(an answer, kept bool) {
		switch {
		case an.err == nil && an.status == http.StatusOK:
			good.Add(1)
		case an.err == nil:
			failed.Add(1)
		case an.status != 0: // The answer has begun, which the rule doesn't count.
			begun.Add(1)
		case kept:
			for _, mo := range list {
				if mo.hasRun(an.id) {
					lost.Add(1)
					wo.note("%s on a kept connection, passed on to %s: no answer, %v", an.id, mo.id, an.err)
				}
			}
		}
		if !no.isUp() {
			stop()
		}
	}
	var wg sync.WaitGroup
	for num := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(num) * 100 * time.Millisecond)
			cl := &client{addr: no.callers, link: li}
			defer cl.close()
			for first := true; load.Err() == nil; first = false {
				sent.Add(1)
				seen(cl.send(rq, rq.deadline+time.Second), !first)
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	var before int64
	for began := time.Now(); time.Since(began) < length && no.isUp(); time.Sleep(200 * time.Millisecond) {
		at := time.Since(began)
		switch {
		case before == 0 && at > calm-measured:
			before = sent.Load()
		case trouble && at > calm && before > 0:
			rate := float64(sent.Load()-before) / measured.Seconds()
			wo.note("%.1f requests a second; %.1f times as many for %s", rate, factor, burst)
			trouble = false
			wg.Go(func() {
				for end := time.Now().Add(burst); time.Now().Before(end) && load.Err() == nil; {
					time.Sleep(time.Duration(float64(time.Second) / (rate * (factor - 1))))
					wg.Go(func() {
						cl := &client{addr: no.callers, link: li}
						defer cl.close()
						sent.Add(1)
						seen(cl.send(rq, rq.deadline+time.Second), false)
					})
				}
			})
		}
		if at.Milliseconds()%1000 < 200 {
			wo.note("requests %d, whole answers %d, failures %d, memory %.0f MiB, at most %d", sent.Load(), good.Load(), failed.Load(), no.memory(), peak.Load())
		}
	}
	up, inTime := no.isUp(), lost.Load()
	stop()
	if up {
		no.kill()
	}
	wg.Wait()
	if !up {
		inTime = lost.Load()
	}
	wo.note("the process runs: %t; at most %d MiB; requests from kept connections that were passed on and whose connection ended without an answer: %d; answers that broke off: %d", up, peak.Load(), inTime, begun.Load())
	if !up && inTime > maxLost {
		return broken, nil
	}
	return held, nil
}
