package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lycheepick/platform/fakes"
)

// files replaces the replicas of a service one after the other, as a release does, for as long as maxReleased, and
// then lets clients open new connections.
func files(wo *world, trouble bool) (int, error) {
	const (
		maxFiles    = 4100 // Of the site's machines.
		slots       = 48
		serving     = 2
		clients     = 96
		gap         = 750 * time.Millisecond
		drain       = 2500 * time.Millisecond
		releaseTime = 72 * time.Second
		contact     = 4 * time.Second
		newcomers   = 8
	)
	wo.putConfig(1, []map[string]any{
		{"name": "chat", "path_prefix": "/stream/", "kind": "streaming", "service": "lm-pool", "timeout_ms": 6000, "target_latency_ms": 400, "gap_aim_ms": 250},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var list []*fakes.Replica
	number := 0
	add := func() {
		number++
		re := fakes.NewReplica(fmt.Sprintf("i-%04d", number))
		re.Events, re.Pause = 17, 50*time.Millisecond
		list = append(list, re)
		wo.putServer(re.ID, "lm-pool", re.Address(), "ready", slots, nil)
	}
	for range serving {
		add()
	}
	go wo.renew(ctx)
	no := wo.addNode("front-hall-a-1")
	if err := wo.start(no, maxFiles); err != nil {
		return cannotRun, err
	}
	// The balancer's checks go out on a connection that it keeps.
	checks, err := net.Dial("tcp", no.ready)
	if err != nil {
		return cannotRun, err
	}
	defer func() { _ = checks.Close() }()
	ready := bufio.NewReader(checks)
	check := func() int {
		_ = checks.SetDeadline(time.Now().Add(2 * time.Second))
		if _, err := fmt.Fprintf(checks, "GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return 0
		}
		resp, err := http.ReadResponse(ready, nil)
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	rq := &request{method: "POST", path: "/stream/a", body: "prompt", deadline: 6 * time.Second, tokens: "300,51"}
	var good, bad atomic.Int64
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			(&client{addr: no.callers}).loop(load, rq, 20*time.Millisecond, func(an answer) {
				if an.status == http.StatusOK && an.err == nil {
					good.Add(1)
					return
				}
				bad.Add(1)
				time.Sleep(200 * time.Millisecond)
			})
		})
	}
	replaced := 0
	for end, num := time.Now().Add(releaseTime), 0; time.Now().Before(end); num++ {
		time.Sleep(gap)
		if trouble {
			old := list[0]
			list = list[1:]
			add() // The new one starts first.
			wo.putServer(old.ID, "lm-pool", old.Address(), "draining", slots, nil)
			time.AfterFunc(drain, func() {
				wo.removeServer(old.ID)
				_ = old.Config.Close()
			})
			replaced++
		}
		if num%8 == 0 {
			wo.note("replicas replaced %d, requests served %d, not served %d, descriptors open at the node %d, memory %.0f MiB, readiness %d", replaced, good.Load(), bad.Load(), no.files(), no.memory(), check())
		}
	}
	wo.note("the release is over: %d replaced, descriptors open at the node %d", replaced, no.files())
	said := check()
	// Newcomers do as the pages say: they give a connection up whose request is not read within a second, and try again.
	var tries, answered atomic.Int64
	var new sync.WaitGroup
	for num := range newcomers {
		new.Go(func() {
			for end := time.Now().Add(contact + time.Second); time.Now().Before(end); {
				cl := &client{addr: no.callers}
				an := cl.send(rq, time.Second)
				cl.close()
				tries.Add(1)
				wo.note("new client %d: %s status %d after %s, error %v", num, an.id, an.status, an.took.Round(time.Millisecond), an.err)
				if an.status != 0 {
					answered.Add(1)
					time.Sleep(500 * time.Millisecond)
				}
			}
		})
	}
	new.Wait()
	again := check()
	wo.note("readiness %d before and %d after; of %d new connections of %d clients in %s, %d got an answer; process runs: %t", said, again, tries.Load(), newcomers, contact+time.Second, answered.Load(), no.isUp())
	stop()
	wg.Wait()
	if answered.Load() == 0 && said == http.StatusOK && again == http.StatusOK {
		return broken, nil
	}
	return held, nil
}
