package entry

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/node/config"
)

const (
	// heartbeat is the time between two records of a server, and expiry that after which the store
	// removes a server that has not renewed its record.
	heartbeat = time.Second
	expiry    = 3 * heartbeat
	// reachServerCount is the number of servers.
	reachServerCount = 20
)

// reachTiming returns the times of a fleet of so many nodes.
func reachTiming(nodes int) config.EntryTiming {
	bound, _ := reachBounds(nodes)
	return config.EntryTiming{GraceS: 8, LeaseMS: 1000, UsageWindowS: 1, UsageLateS: 10, HeartbeatMS: float64(heartbeat.Milliseconds()), DrainMS: float64(bound.Milliseconds())}
}

// reachBounds returns the time within which a change has to be in force in a fleet of so many nodes, and that
// after which a node is in touch.
func reachBounds(nodes int) (bound, contact time.Duration) {
	if nodes > smallFleetNodes {
		return largeConfigBound, 4 * time.Second
	}
	return configBound, 3 * time.Second
}

// reachServer is a server that renews its record.
type reachServer struct {
	id       string
	mu       sync.Mutex
	sequence int
	state    string
	written  time.Time
	// leftAt is when the store acknowledged that the server leaves, zero while it serves.
	leftAt time.Time
	// expired is set while the store has no record of the server.
	expired bool
}

// startServers starts servers that renew their records one after the other.
func (fl *reachFleet) startServers(ctx context.Context) {
	for num := range reachServerCount {
		fl.servers = append(fl.servers, &reachServer{id: fmt.Sprintf("s-%d", num), state: "ready"})
	}
	fl.wg.Go(func() {
		for num := 0; pause.For(ctx, heartbeat/reachServerCount); num++ {
			fl.servers[num%reachServerCount].renew(fl)
			for _, sv := range fl.servers {
				sv.expire(fl)
			}
		}
	})
}

func (sv *reachServer) renew(fl *reachFleet) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.sequence++
	if sv.state == "" || fl.store.isDown() {
		return
	}
	sv.expired, sv.written = false, time.Now()
	fl.store.put(reachServers, sv.id, []byte(fmt.Sprintf("1 %d %s", sv.sequence, sv.state)))
}

func (sv *reachServer) expire(fl *reachFleet) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.state == "" || sv.expired || sv.written.IsZero() || time.Since(sv.written) < expiry {
		return
	}
	sv.expired = true
	fl.store.put(reachServers, sv.id, nil)
}

// leave makes servers leave from number first on: each says that it drains, or is removed.
func (fl *reachFleet) leave(first, count int, state string) {
	for _, sv := range fl.servers[first : first+count] {
		sv.mu.Lock()
		sv.sequence++
		sv.state, sv.leftAt = state, time.Now()
		value := []byte(nil)
		if state != "" {
			value = []byte(fmt.Sprintf("1 %d %s", sv.sequence, state))
		}
		fl.store.put(reachServers, sv.id, value)
		sv.mu.Unlock()
	}
}

// outage makes the store answer nobody, servers included.
func outage(du time.Duration) func(context.Context, *reachFleet) {
	return func(_ context.Context, fl *reachFleet) {
		fl.store.mu.Lock()
		defer fl.store.mu.Unlock()
		fl.store.downTo = time.Now().Add(du)
	}
}

// watchServers judges every tenth of a second until ctx ends.
func (fl *reachFleet) watchServers(ctx context.Context, bound, contact time.Duration) (bad []string, slowest time.Duration) {
	lost := map[string]bool{}
	for pause.For(ctx, 100*time.Millisecond) {
		now := time.Now()
		fl.store.mu.Lock()
		stable := now.Sub(fl.store.downTo) >= contact
		fl.store.mu.Unlock()
		for _, no := range fl.nodes {
			no.mu.Lock()
			inTouch, nd := now.Sub(no.since) >= contact && stable, no.proc
			up := !no.dead && !now.Before(no.frozenTo) && now.Sub(no.since) >= contact || !no.dead && no.startedAt.IsZero() && !now.Before(no.frozenTo)
			dead := no.dead
			no.mu.Unlock()
			if dead {
				continue
			}
			usable := map[string]bool{}
			for _, sl := range nd.relay.Servers(now, "app") {
				usable[string(sl.ID)] = sl.Usable
			}
			for _, sv := range fl.servers {
				sv.mu.Lock()
				left := sv.leftAt
				sv.mu.Unlock()
				switch {
				case !left.IsZero() && usable[sv.id] && inTouch:
					if slowest = max(slowest, now.Sub(left)); now.Sub(left) > bound {
						bad = append(bad, fmt.Sprintf("DRAIN: %s sends to %s %s after it left", no.id, sv.id, now.Sub(left)))
					}
				case left.IsZero() && !usable[sv.id] && up && !lost[string(no.id)+sv.id]:
					lost[string(no.id)+sv.id] = true
					bad = append(bad, fmt.Sprintf("%s doesn't send to %s, which serves", no.id, sv.id))
				}
			}
		}
	}
	return bad, slowest
}

func leaveCases() []reachCase {
	type play = map[int]func(ctx context.Context, fl *reachFleet)
	each := func(readers bool, share float64, do func(*reachNode)) func(context.Context, *reachFleet) {
		return func(_ context.Context, fl *reachFleet) { fl.each(readers, share, do) }
	}
	leave := func(first int, state string) func(context.Context, *reachFleet) {
		return func(_ context.Context, fl *reachFleet) { fl.leave(first, 2, state) }
	}
	const second = time.Second
	restart := func(ctx context.Context, fl *reachFleet) {
		for num, no := range fl.nodes {
			if no.isDead() {
				fl.start(ctx, num)
			}
		}
	}
	return []reachCase{
		{"calm", false, play{1000: leave(0, "draining"), 2000: leave(2, "")}},
		{"the store's answers to the readers are late", true, play{
			0: each(true, 0, delay(1600*time.Millisecond, 8*second)), 2000: leave(0, "draining"), 2700: leave(2, ""), 3500: leave(4, "draining"), 4200: leave(6, ""),
		}},
		{"all nodes lose the store for 1.5 s, servers don't", true, play{0: each(true, 1, silence(1500*time.Millisecond)), 300: leave(0, ""), 1000: leave(2, ""), 1400: leave(4, "draining")}},
		{"all nodes lose the store for 2.5 s, servers don't", false, play{0: each(true, 1, silence(2500*time.Millisecond)), 300: leave(0, ""), 1500: leave(2, ""), 2300: leave(4, "")}},
		{"all nodes lose the store for 5 s, servers don't", false, play{0: each(true, 1, silence(5*second)), 500: leave(0, ""), 3000: leave(2, ""), 4800: leave(4, "")}},
		{"the readers lose the store for 3 s, servers don't", false, play{0: each(true, 0, silence(3*second)), 300: leave(0, ""), 1500: leave(2, ""), 2800: leave(4, "")}},
		{"the store is away for 2 s", false, play{0: outage(2 * second), 4500: leave(0, "")}},
		{"the store is away for 5 s, and records expire", true, play{0: outage(5 * second), 8500: leave(0, "")}},
		{"the store is away for 5 s, and nodes restart after it", false, play{0: outage(5 * second), 5200: each(true, 0, kill), 5400: restart}},
		{"nodes join while the answers to the readers are late", false, play{
			0: each(false, 0.5, kill), 1000: each(true, 0, delay(1600*time.Millisecond, 8*second)), 1500: restart, 3000: leave(0, "draining"), 3700: leave(2, ""), 6500: leave(4, ""),
		}},
		{"half of the nodes freeze, the readers too", false, play{0: each(true, 0.5, freeze(3*second)), 500: leave(0, ""), 2500: leave(2, "draining")}},
	}
}

// TestServerLeavesBesideLateNews guards against requests to a server that left longer ago than the
// bound, as a node took late news for fresh or its own loss of the store for an outage, and against
// sound servers that get no requests when the store is back.
func TestServerLeavesBesideLateNews(t *testing.T) {
	running := make(chan struct{}, 2) // Tests of other packages measure times meanwhile.
	for _, rc := range leaveCases() {
		for _, nodes := range []int{8, 64, 360} {
			t.Run(fmt.Sprintf("%s, %d nodes", rc.name, nodes), func(t *testing.T) {
				if nodes > largestFleet || nodes > 64 && !rc.large && os.Getenv("REACH_ALL") == "" || nodes > 8 && !rc.large && testing.Short() {
					t.Skip("REACH_ALL=1 plays all cases in large fleets")
				}
				t.Parallel()
				running <- struct{}{}
				defer func() { <-running }()
				synctest.Test(t, func(t *testing.T) { playLeave(t, rc, nodes) })
			})
		}
	}
}

func playLeave(t *testing.T, rc reachCase, nodes int) {
	bound, contact := reachBounds(nodes)
	ctx, stop := context.WithCancel(t.Context())
	fl := newReachFleet(ctx, nodes, 1)
	defer fl.wg.Wait()
	defer stop()
	time.Sleep(reachWarmup)
	for _, no := range fl.nodes {
		no.disturb(time.Time{}, func() { no.startedAt = time.Time{} })
	}
	watch, done := context.WithTimeout(ctx, 13*time.Second)
	defer done()
	var bad []string
	var slowest time.Duration
	var judging conc.WaitGroup
	judging.Go(func() { bad, slowest = fl.watchServers(watch, bound, contact) })
	for at := 0; at <= 13000; at += 50 {
		if do := rc.play[at]; do != nil {
			do(ctx, fl)
		}
		time.Sleep(50 * time.Millisecond)
	}
	judging.Wait()
	t.Logf("last sent %s after a server left", slowest)
	slices.Sort(bad)
	if len(bad) > 0 {
		t.Errorf("%d, %s", len(bad), strings.Join(bad[:min(len(bad), 5)], "\n"))
	}
}
