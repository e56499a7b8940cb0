package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lycheepick/platform/fakes"
)

// usage lets the store come back from a copy some seconds old, as in a drill, while the node that has just reported usage is
// killed.
func usage(wo *world, trouble bool) (int, error) {
	const (
		work     = 100 * time.Millisecond
		clients  = 30
		age      = 3 * time.Second // Of the copy.
		away     = 500 * time.Millisecond
		restart  = 500 * time.Millisecond
		warmup   = 12 * time.Second
		recovery = 20 * time.Second
		length   = 100 * time.Second
	)
	config := func(version int) {
		wo.putConfig(version, []map[string]any{
			{"name": "claims", "path_prefix": "/claims/", "kind": "idempotent", "service": "status-app", "timeout_ms": 1500, "target_latency_ms": 300},
		})
	}
	config(1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for num := range 3 {
		re := fakes.NewReplica(fmt.Sprintf("s-%d", num))
		re.Delay = work
		wo.putServer(re.ID, "status-app", re.Address(), "ready", 24, nil)
	}
	go wo.renew(ctx)
	for num := range 3 {
		if err := wo.start(wo.addNode(fmt.Sprintf("front-hall-a-%d", num+1)), 0); err != nil {
			return cannotRun, err
		}
	}
	var good, failed atomic.Int64
	load, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for num := range clients {
		wg.Go(func() {
			rq := &request{method: "GET", path: fmt.Sprintf("/claims/%d", num), deadline: 3 * time.Second}
			time.Sleep(time.Duration(num) * 100 * time.Millisecond)
			(&client{addr: wo.nodes[num%3].callers}).loop(load, rq, 900*time.Millisecond, func(an answer) {
				if an.err == nil && an.status == http.StatusOK {
					good.Add(1)
					return
				}
				failed.Add(1)
				time.Sleep(100 * time.Millisecond)
			})
		})
	}
	type snapshot struct {
		at   time.Time
		copy fakes.Copy
	}
	var copies []snapshot
	began, calm := time.Now(), time.Now().Add(warmup)
	seen, version, verdict := 0, 1, held
	for time.Since(began) < length && verdict == held {
		time.Sleep(20 * time.Millisecond)
		if len(copies) == 0 || time.Since(copies[len(copies)-1].at) > 200*time.Millisecond {
			copies = append(copies, snapshot{at: time.Now(), copy: wo.store.Copy()})
		}
		list := wo.cloud.Usages()
		acted := len(list) > seen
		for ; seen < len(list); seen++ {
			us := list[seen]
			wo.note("the platform accepts from %s, token %d, for window %d: %v (now window %d + %.1f s); served %d, failed %d", us.Holder, us.Fence, us.Window, us.Counts,
				time.Now().Unix()/5, float64(time.Now().UnixMilli()%5000)/1000, good.Load(), failed.Load())
			for _, have := range list[:seen] {
				if have.Window == us.Window && fmt.Sprint(have.Counts) != fmt.Sprint(us.Counts) {
					wo.note("two reports of window %d: %v of %s and %v of %s", us.Window, have.Counts, have.Holder, us.Counts, us.Holder)
					verdict = broken
				}
			}
		}
		if !trouble || !acted || time.Now().Before(calm) || verdict != held {
			continue
		}
		calm = time.Now().Add(recovery)
		old := copies[0]
		for _, sn := range copies {
			if time.Since(sn.at) >= age {
				old = sn
			}
		}
		last := list[len(list)-1]
		wo.store.SetMode(fakes.Reset)
		for _, no := range wo.nodes {
			if no.name == last.Holder {
				no.kill()
				time.AfterFunc(restart, func() {
					if err := wo.start(no, 0); err != nil {
						wo.note("%v", err)
					}
				})
			}
		}
		wo.note("the store goes away, and %s, which acted last, is killed", last.Holder)
		time.Sleep(away)
		wo.store.Restore(old.copy)
		version++
		config(version)
		wo.renewNow()
		wo.store.SetMode(fakes.Healthy)
		wo.note("the store is back from a copy %.1f s old; the operator and the replicas have written again", time.Since(old.at).Seconds())
		copies = nil
	}
	stop()
	wg.Wait()
	time.Sleep(restart + time.Second)
	wo.note("requests served %d, failed %d; other violations: %v", good.Load(), failed.Load(), wo.cloud.Violations())
	return verdict, nil
}
