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
	probeTime    = time.Second
	probesAtOnce = 16
	refreshEvery = 100 * time.Millisecond
	borrowEvery  = 200 * time.Millisecond
	// skew is the ratio to an equal part of the free slots that one node may take
	// before it sees the next load reports.
	skew = 2.0
	// plainSlots is the number of requests in progress assumed for a plain service.
	plainSlots = 64
)

// loadLoop asks the servers that this node is the steward of for their load.
func (da *Daemon) loadLoop(ctx context.Context) {
	da.probeLoop(ctx, da.set.Timing.Load.Std(), true)
}

// otherLoadLoop asks the other servers, more seldom: their stewards are asked before a
// request goes there.
func (da *Daemon) otherLoadLoop(ctx context.Context) {
	const seldom = 8
	da.probeLoop(ctx, seldom*da.set.Timing.Load.Std(), false)
}

// probeLoop asks servers in turn, one round each period, and never more often than the
// bound on probes allows.
func (da *Daemon) probeLoop(ctx context.Context, period time.Duration, own bool) {
	pace := time.Second / time.Duration(da.set.Limits.ProbesPerSecond)
	for ctx.Err() == nil {
		began := time.Now()
		po := pool.New().WithMaxGoroutines(probesAtOnce)
		for _, me := range da.members() {
			if me.Role == member.RoleNode || me.State == member.Gone || da.isSteward(me.VM) != own {
				continue
			}
			po.Go(func() { da.probe(ctx, &me) })
			wait(ctx, pace)
		}
		po.Wait()
		wait(ctx, period-time.Since(began))
	}
}

func (da *Daemon) isSteward(id units.VMID) bool {
	st := da.stewardOf(id)
	return st != nil && isSelf(da, st)
}

func (da *Daemon) probe(ctx context.Context, me *member.Member) {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	asked := time.Now()
	if me.Role == member.RolePlain {
		da.probePlain(ctx, me)
		return
	}
	rep, err := da.flow.Engine.Load(ctx, me.Address)
	if err != nil {
		da.fleet.Unreachable(me.VM, time.Now())
		return
	}
	if rep.Draining {
		da.serverDraining(me.VM)
	}
	da.fleet.Reported(me.VM, &rep, asked)
	if da.isSteward(me.VM) {
		da.readCacheEvents(ctx, me, rep.CacheSeq)
	}
}

// readCacheEvents takes over what a server says of its cache. Only its steward does.
func (da *Daemon) readCacheEvents(ctx context.Context, me *member.Member, newest int64) {
	seen := da.fleet.CacheSeen(me.VM)
	if newest <= seen {
		return
	}
	list, err := da.flow.Engine.CacheEvents(ctx, me.Address, seen)
	if err != nil {
		da.log.Debug("cache_events_unreadable", zap.String("server", string(me.VM)), zap.Error(err))
		return
	}
	da.fleet.CacheEvents(me.VM, list)
}

func (da *Daemon) probePlain(ctx context.Context, me *member.Member) {
	rq := plain.Request{ID: "probe", Method: "GET", Path: "/healthz", Idempotent: true}
	_, err := da.flow.Plain.Do(ctx, me.Address, &rq)
	switch {
	case fault.Is(err, plain.KindDraining):
		da.serverDraining(me.VM)
	case err != nil:
		da.fleet.Unreachable(me.VM, time.Now())
	default:
		da.fleet.Alive(me.VM, time.Now())
	}
}

// refreshLoop publishes load reports and the places that follow from them.
func (da *Daemon) refreshLoop(ctx context.Context) {
	every(ctx, refreshEvery, func(context.Context) {
		da.fleet.Refresh()
		da.setPlaces()
		da.sessions.expire(time.Now())
	})
}

// setPlaces lets this node's requests in progress grow by its part of the slots that
// are free. So the queue of a target forms at the nodes, where it is fair and can be
// refused in time, and not at the engines; and a node that gets more of the callers
// than the others may use more of the slots.
func (da *Daemon) setPlaces() {
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
		free[me.Target] += freeSlots(sn.Replica(me.VM))
	}
	part := 1.0
	if nodes > 1 {
		part = min(1, skew/float64(nodes))
	}
	for ta, count := range free {
		da.flow.Gates.SetFree(ta, int(float64(count)*part))
	}
}

// freeSlots returns a server's free slots, less what this node has sent since the load
// report; below 0 if requests wait there.
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
