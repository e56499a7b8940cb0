package entry

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// recoveryTime is the time after the return of all nodes within which service has to be back.
const recoveryTime = 15 * time.Second

// startCases are states of the store in which all nodes start.
var startCases = []struct {
	name string
	// large is set for cases that are always played at 195 nodes too.
	large bool
	play  func(fl *reachFleet)
}{
	{"the store is well", false, func(*reachFleet) {}},
	{"the store is away", false, func(fl *reachFleet) { outage(5*time.Second)(context.Background(), fl) }},
	{"the store is slow", true, func(fl *reachFleet) { fl.each(true, 1, delay(1300*time.Millisecond, 2*recoveryTime)) }},
	{"the store is very slow", true, func(fl *reachFleet) { fl.each(true, 1, delay(2200*time.Millisecond, 2*recoveryTime)) }},
	{"the store is too slow, then well", false, func(fl *reachFleet) { fl.each(true, 1, delay(1600*time.Millisecond, 5*time.Second)) }},
	{"the store is slow, and comes and goes", true, func(fl *reachFleet) {
		fl.each(true, 1, delay(800*time.Millisecond, 2*recoveryTime))
		for at := time.Duration(0); at < 2*recoveryTime; at += 4 * time.Second {
			time.AfterFunc(at, func() { outage(time.Second)(context.Background(), fl) })
		}
	}},
	{"the store is busy", false, func(fl *reachFleet) {
		for _, no := range fl.nodes {
			no.mu.Lock()
			no.busy = 1 + fl.rnd.IntN(8)
			no.mu.Unlock()
		}
	}},
	{"the store doesn't answer half of the nodes", false, func(fl *reachFleet) { fl.each(true, 0.5, silence(2*recoveryTime)) }},
}

// TestNodesAreReadyAfterPowerLoss guards against nodes that are not ready in time after all have lost power, beside
// a large configuration and a store that is away, slow or busy.
func TestNodesAreReadyAfterPowerLoss(t *testing.T) {
	running := make(chan struct{}, 2) // Tests of other packages measure times meanwhile.
	for _, sc := range startCases {
		for _, nodes := range []int{8, 64, 195} {
			t.Run(fmt.Sprintf("%s, %d nodes", sc.name, nodes), func(t *testing.T) {
				if nodes > largestFleet || nodes > 64 && !sc.large && os.Getenv("REACH_ALL") == "" {
					t.Skip("REACH_ALL=1 plays all cases in large fleets")
				}
				t.Parallel()
				running <- struct{}{}
				defer func() { <-running }()
				synctest.Test(t, func(t *testing.T) { playStart(t, nodes, sc.play) })
			})
		}
	}
}

// playStart lets all nodes lose power, and start again once play has changed the state of the store.
func playStart(t *testing.T, nodes int, play func(*reachFleet)) {
	ctx, stop := context.WithCancel(t.Context())
	fl := newReachFleet(ctx, nodes, 1)
	defer fl.wg.Wait()
	defer stop()
	time.Sleep(5 * time.Second)
	fl.store.putConfig(2, 2*largeConfig)
	time.Sleep(time.Second)
	for _, no := range fl.nodes {
		kill(no)
	}
	time.Sleep(1400 * time.Millisecond)
	play(fl)
	began := time.Now()
	for num := range fl.nodes {
		fl.start(ctx, num)
	}
	ready := 0
	for ready < nodes && time.Since(began) < recoveryTime {
		time.Sleep(20 * time.Millisecond)
		ready = fl.ready()
	}
	t.Logf("%d of %d nodes were ready after %s", ready, nodes, time.Since(began))
	if ready < nodes {
		t.Errorf("%d of %d nodes were ready %s after their start", ready, nodes, recoveryTime)
	}
}

// ready returns the number of nodes that can serve by the newest configuration.
func (fl *reachFleet) ready() (out int) {
	for _, no := range fl.nodes {
		if nd := no.node(); nd.canServe() && nd.config.Load().version() == 2 {
			out++
		}
	}
	return out
}
