package daemon

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"lycheepick/internal/edge/plain"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

const (
	probeTimeout        = time.Second
	maxConcurrentProbes = 16
	refreshPeriod       = 100 * time.Millisecond
	borrowPeriod        = 200 * time.Millisecond
	// maxShare bounds the free slots that a node may use before it gets the next load
	// reports, as a multiple of an equal share.
	maxShare = 2.0
	// plainSlots is the number of slots assumed for a server of a plain service, which
	// reports none.
	plainSlots = 64
)

// loadLoop polls the load of the servers that this node owns.
func (da *Daemon) loadLoop(ctx context.Context) {
	da.probeLoop(ctx, da.settings.Timing.Load.Std(), true)
}

// otherLoadLoop polls the other servers at a lower rate, since their owner nodes are asked
// before a request is sent there.
func (da *Daemon) otherLoadLoop(ctx context.Context) {
	const seldom = 8
	da.probeLoop(ctx, seldom*da.settings.Timing.Load.Std(), false)
}

// probeLoop probes servers, one round each period, at no more than the configured number of
// probes per second. own selects the servers that this node owns, or the others.
func (da *Daemon) probeLoop(ctx context.Context, period time.Duration, own bool) {
	pace := time.Second / time.Duration(da.settings.Limits.ProbesPerSecond)
	for ctx.Err() == nil {
		began := time.Now()
		po := pool.New().WithMaxGoroutines(maxConcurrentProbes)
		for _, me := range da.members() {
			if me.Role == member.RoleNode || me.State == member.Gone || da.isOwner(me.VM) != own {
				continue
			}
			po.Go(func() { da.probe(ctx, &me) })
			sleep(ctx, pace)
		}
		po.Wait()
		sleep(ctx, period-time.Since(began))
	}
}

func (da *Daemon) isOwner(id units.VMID) bool {
	ow := da.ownerOf(id)
	return ow != nil && isSelf(da, ow)
}

func (da *Daemon) probe(ctx context.Context, me *member.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	asked := time.Now()
	if me.Role == member.RolePlain {
		da.probePlain(ctx, me)
		return
	}
	rep, err := da.flow.Engine.Load(ctx, me.Address)
	if err != nil {
		da.fleet.ProbeFailed(me.Instance, time.Now())
		return
	}
	if rep.Draining {
		da.serverDraining(me.Instance)
	}
	da.fleet.ApplyReport(me.Instance, &rep, asked)
	if da.isOwner(me.VM) {
		da.readCacheEvents(ctx, me, rep.CacheSeq)
	}
}

// readCacheEvents reads the new cache events of a server. Only its owner node does so.
func (da *Daemon) readCacheEvents(ctx context.Context, me *member.Member, newest int64) {
	seen := da.fleet.CacheSeq(me.Instance)
	if newest <= seen {
		return
	}
	list, err := da.flow.Engine.CacheEvents(ctx, me.Address, seen)
	if err != nil {
		da.log.Debug("cache_events_unreadable", zap.String("server", string(me.VM)), zap.Error(err))
		return
	}
	da.fleet.ApplyCacheEvents(me.Instance, list)
}

func (da *Daemon) probePlain(ctx context.Context, me *member.Member) {
	rq := plain.Request{ID: "probe", Method: "GET", Path: "/healthz", Idempotent: true}
	_, err := da.flow.Plain.Do(ctx, me.Address, &rq)
	switch {
	case fault.Is(err, plain.KindDraining):
		da.serverDraining(me.Instance)
	case err != nil:
		da.fleet.ProbeFailed(me.Instance, time.Now())
	default:
		da.fleet.ProbeSucceeded(me.Instance, time.Now())
	}
}

// refreshLoop publishes load reports and the free slots computed from them, and drops expired
// sessions.
func (da *Daemon) refreshLoop(ctx context.Context) {
	runEvery(ctx, refreshPeriod, func(context.Context) {
		da.fleet.Refresh()
		da.setFreeSlots()
		da.sessions.expire(time.Now())
	})
}

// setFreeSlots sets how many more requests this node may send to each target: its share of the
// target's free slots. The queue then forms at the nodes, which can order it fairly and refuse
// requests in time, and not at the engines. The share is more than an equal one, so that a node
// with more callers than the others can use more slots.
func (da *Daemon) setFreeSlots() {
	sn := da.fleet.Snapshot()
	nodes := 0
	free := map[units.TargetID]int{}
	for idx, list := 0, sn.Members(); idx < len(list); idx++ {
		me := &list[idx]
		if isLiveNode(me) {
			nodes++
		}
		if me.Role == member.RoleNode {
			continue
		}
		free[me.Target] += freeSlots(sn.Server(me.VM))
	}
	share := 1.0
	if nodes > 1 {
		share = min(1, maxShare/float64(nodes))
	}
	for ta, count := range free {
		da.flow.Gates.SetFree(ta, int(float64(count)*share))
	}
}

// freeSlots returns a server's free slots, less the requests that this node has sent since the
// load report. It is negative if requests are queued at the server.
func freeSlots(re *route.Server) int {
	if re == nil || !re.Usable {
		return 0
	}
	if re.Load.Slots == 0 {
		return plainSlots
	}
	sent, _ := re.Dispatches.Since(re.Load.At)
	return re.Load.Slots - re.Load.Running - re.Load.Queued - sent
}
