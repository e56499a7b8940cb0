package entry

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lycheepick/internal/rule/units"
)

const (
	// configBound is the time from the acknowledgement of a configuration to its being in force
	// at each node that is in touch; largeConfigBound is that of fleets with more than
	// smallFleetNodes nodes.
	configBound      = 2 * time.Second
	largeConfigBound = 3 * time.Second
	smallFleetNodes  = 8
	// reachWarmup is how long a fleet runs before a case, until all nodes know each other.
	reachWarmup = 5 * time.Second
)

// judge returns the worst time from the acknowledgement of a version to its being in force, and
// what took longer than the bound. A node has to have been in touch all the while.
func (fl *reachFleet) judge(bound, contact time.Duration) (worst time.Duration, bad []string) {
	for ver, acked := range fl.store.acked {
		for num, no := range fl.nodes {
			no.mu.Lock()
			at, since, dead := no.appliedAt[ver], no.since, no.dead
			no.mu.Unlock()
			if ver == 1 || acked.Add(bound).Before(since.Add(contact)) || dead {
				continue
			}
			took := at.Sub(acked)
			if at.IsZero() {
				took = time.Since(acked)
			}
			if worst = max(worst, took); took > bound {
				bad = append(bad, fmt.Sprintf("version %d was not in force at node-%d %s after its acknowledgement", ver, num, took))
			}
		}
	}
	for _, no := range fl.nodes {
		no.mu.Lock()
		if no.regressed > 0 {
			bad = append(bad, fmt.Sprintf("%s handled a request by version %d after one by version %d", no.id, no.regressed, no.handledBy))
		}
		no.mu.Unlock()
	}
	slices.Sort(bad)
	return worst, bad
}

// reachCase is a change of the configuration beside disruptions, by the time in milliseconds.
type reachCase struct {
	name string
	// large is set for cases that are always played at 360 nodes too.
	large bool
	play  map[int]func(ctx context.Context, fl *reachFleet)
}

// older makes a node one of an older build.
func older(no *reachNode) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.old = true
}

// largeConfig is the packed size of a configuration of 1,200 routes.
const largeConfig = 48 << 10

func reachCases() []reachCase {
	type play = map[int]func(ctx context.Context, fl *reachFleet)
	put := func(ver units.Version, size int) func(context.Context, *reachFleet) {
		return func(_ context.Context, fl *reachFleet) { fl.store.putConfig(ver, size) }
	}
	each := func(readers bool, share float64, do func(*reachNode)) func(context.Context, *reachFleet) {
		return func(_ context.Context, fl *reachFleet) { fl.each(readers, share, do) }
	}
	series := func(pl play, first, count, gap int) play {
		for num := range count {
			pl[first+num*gap] = put(units.Version(2+num), largeConfig)
		}
		return pl
	}
	return []reachCase{
		{"calm", false, play{4000: put(2, 1<<10)}},
		{"large ones in series", true, series(play{}, 4000, 6, 300)},
		{"the readers' polls lost their answers", false, play{0: each(true, 0, loseAnswers(reachOperators)), 3100: put(2, 1<<10)}},
		{"all polls of the stream lost their answers", false, play{0: each(true, 1, loseAnswers(reachOperators)), 3100: put(2, 1<<10)}},
		{"a third of the nodes hang", false, play{3000: each(false, 0.33, freeze(4*time.Second)), 3300: put(2, 1<<10)}},
		{"half of the nodes hang and the readers with them", false, play{3000: each(true, 0.5, freeze(4*time.Second)), 3300: put(2, 1<<10)}},
		{"large ones in series, and a third of the nodes hang", false, series(play{3000: each(false, 0.33, freeze(5*time.Second))}, 3300, 5, 300)},
		{"the readers die before a large one", false, play{3000: each(true, 0, kill), 3050: put(2, largeConfig)}},
		{"the readers die after large ones in series", true, series(play{3500: each(true, 0, kill), 3550: put(10, largeConfig)}, 100, 8, 400)},
		{"the readers lose the store before a large one", false, play{3000: each(true, 0, silence(6*time.Second)), 3050: put(2, largeConfig)}},
		{"the readers lose the store after large ones in series", false, series(play{3500: each(true, 0, silence(6*time.Second)), 3550: put(10, largeConfig)}, 100, 8, 400)},
		{"the answers to the readers are late", true, play{
			0: each(true, 0, delay(1600*time.Millisecond, 8*time.Second)), 1000: put(2, 1<<10), 2700: put(3, 1<<10), 4300: put(4, largeConfig),
		}},
		{"all nodes lose the store for 1.5 s", false, play{0: each(true, 1, silence(1500*time.Millisecond)), 300: put(2, 1<<10), 1400: put(3, largeConfig)}},
		{"half of the nodes are of an older build", false, series(play{0: each(true, 0.5, older)}, 4000, 5, 300)},
		{"half of the nodes are of an older build, and the readers lose the store", false, play{
			0: each(false, 0.5, older), 3000: each(true, 0, silence(6*time.Second)), 3050: put(2, largeConfig),
		}},
		{"the readers can't be called before a large one", false, play{3000: each(true, 0, deafen(6*time.Second)), 3050: put(2, largeConfig)}},
		{"half of the nodes can't be called before a large one", false, play{3000: each(true, 0.5, deafen(6*time.Second)), 3050: put(2, largeConfig)}},
		{"half of the nodes die before a large one", false, play{3000: each(false, 0.5, kill), 3050: put(2, largeConfig)}},
		{"nodes join beside large ones in series", false, series(play{
			3000: each(true, 0.3, kill), 3500: func(ctx context.Context, fl *reachFleet) {
				for num, no := range fl.nodes {
					if no.isDead() {
						fl.start(ctx, num)
					}
				}
			},
		}, 3600, 5, 300)},
	}
}

// TestConfigReachesNodesInTime guards against a node that serves by an old configuration longer
// than the bound after the acknowledgement of a newer one, whichever way the newer one comes.
func TestConfigReachesNodesInTime(t *testing.T) {
	running := make(chan struct{}, 2) // Tests of other packages measure times meanwhile.
	for _, rc := range reachCases() {
		for _, nodes := range []int{8, 64, 360} {
			t.Run(fmt.Sprintf("%s, %d nodes", rc.name, nodes), func(t *testing.T) {
				if nodes > largestFleet || nodes > 64 && !rc.large && os.Getenv("REACH_ALL") == "" {
					t.Skip("REACH_ALL=1 plays all cases in large fleets")
				}
				t.Parallel()
				running <- struct{}{}
				defer func() { <-running }()
				synctest.Test(t, func(t *testing.T) { playReach(t, rc, nodes) })
			})
		}
	}
}

func playReach(t *testing.T, rc reachCase, nodes int) {
	bound, contact := reachBounds(nodes)
	ctx, stop := context.WithCancel(t.Context())
	fl := newReachFleet(ctx, nodes, 1)
	defer fl.wg.Wait()
	defer stop()
	time.Sleep(reachWarmup)
	for _, no := range fl.nodes {
		no.disturb(time.Time{}, func() {})
		no.configReads.Store(0)
	}
	fl.wg.Go(func() { fl.watchVersions(ctx) })
	for at := 0; at <= 8500; at += 50 {
		if do := rc.play[at]; do != nil {
			do(ctx, fl)
		}
		time.Sleep(50 * time.Millisecond)
	}
	worst, bad := fl.judge(bound, contact)
	if rc.name == "calm" {
		fl.judgeReads(t)
	}
	t.Logf("worst %s", worst)
	if len(bad) > 0 {
		t.Errorf("%d late, %s", len(bad), strings.Join(bad[:min(len(bad), 5)], "\n"))
	}
}

// judgeReads checks that the readers read the configuration for the other nodes.
func (fl *reachFleet) judgeReads(t *testing.T) {
	t.Helper()
	var all, others int64
	for _, no := range fl.nodes {
		all += no.configReads.Load()
	}
	fl.each(false, 1, func(no *reachNode) { others += no.configReads.Load() })
	if others*100 > all {
		t.Errorf("%d of %d reads of the configuration by nodes that aren't readers, want 1 in 100", others, all)
	}
}
