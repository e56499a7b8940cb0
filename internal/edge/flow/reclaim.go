package flow

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"lycheepick/internal/edge/engine"
	"lycheepick/internal/edge/pause"
	"lycheepick/internal/rule/drain"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

// Export is what is assumed of an engine's KV export.
type Export struct {
	Bandwidth units.BytesPerSecond
	PerToken  units.Bytes
}

// Reclaim saves the requests on VMs that will be reclaimed. It returns when each has
// finished or been told where to go on.
func (fl *Flow) Reclaim(ctx context.Context, wave []member.Member, ex Export) []drain.Decision {
	byID := map[units.RequestID]*run{}
	sn := fl.Fleet.Snapshot()
	var sources []drain.Source
	var running []drain.Running
	var latest time.Time
	for idx := range wave {
		me := &wave[idx]
		sources = append(sources, source(me, sn.Replica(me.VM), ex))
		dests := usableOutside(sn.Replicas(me.Target), sn.Waves())
		for _, ru := range fl.running.on(me.VM) {
			byID[ru.job.ID] = ru
			running = append(running, ru.describe(me.VM, dests))
		}
		if me.Deadline.After(latest) {
			latest = me.Deadline
		}
	}
	if len(running) == 0 {
		return nil
	}
	// All of a wave's targets share one plan when they share replicas.
	dests := destinations(usableOutside(sn.Replicas(wave[0].Target), sn.Waves()))
	plan := drain.Plan(time.Now(), sources, running, dests)
	fl.carryOut(ctx, plan, byID, sources)
	return plan
}

func source(me *member.Member, re *route.Server, ex Export) drain.Source {
	so := drain.Source{VM: me.VM, Deadline: me.Deadline, Bandwidth: ex.Bandwidth, TokenSize: ex.PerToken}
	if re != nil {
		so.Step = re.Load.Step
	}
	return so
}

func usableOutside(list []*route.Server, waves []units.ZoneID) []*route.Server {
	var out, inside []*route.Server
	for _, re := range list {
		switch {
		case !re.Usable:
		case contains(waves, re.Zone):
			inside = append(inside, re)
		default:
			out = append(out, re)
		}
	}
	if len(out) == 0 {
		return inside
	}
	return out
}

func contains(list []units.ZoneID, zo units.ZoneID) bool {
	for _, have := range list {
		if have == zo {
			return true
		}
	}
	return false
}

func destinations(list []*route.Server) []drain.Destination {
	out := make([]drain.Destination, 0, len(list))
	for _, re := range list {
		waiting := re.Load.Running + re.Load.Queued
		out = append(out, drain.Destination{
			VM: re.VM, Zone: re.Zone, FreeSlots: max(0, re.Load.Slots-waiting), Outstanding: waiting,
		})
	}
	return out
}

// carryOut does the moves of each source one after the other, sources side by side,
// and resumes the rest shortly before the deadline, since some end by then.
func (fl *Flow) carryOut(ctx context.Context, plan []drain.Decision, runs map[units.RequestID]*run, sources []drain.Source) {
	bySource := map[units.VMID][]drain.Decision{}
	vmOf := map[units.RequestID]units.VMID{}
	for _, so := range sources {
		for _, ru := range fl.running.on(so.VM) {
			vmOf[ru.job.ID] = so.VM
		}
	}
	for _, de := range plan {
		vm := vmOf[de.Request]
		bySource[vm] = append(bySource[vm], de)
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, so := range sources {
		wg.Go(func() { fl.saveSource(ctx, so, bySource[so.VM], runs) })
	}
}

func (fl *Flow) saveSource(ctx context.Context, so drain.Source, plan []drain.Decision, runs map[units.RequestID]*run) {
	last := so.Deadline.Add(-drain.Margin)
	moving, cancel := context.WithDeadline(ctx, last)
	defer cancel()
	moved := map[units.RequestID]bool{}
	for _, de := range plan {
		if de.Action == drain.Move {
			moved[de.Request] = fl.move(moving, so.VM, de, runs[de.Request])
		}
	}
	if !pause.For(ctx, time.Until(last)) {
		return
	}
	for _, de := range plan {
		// A request that was to finish and has not goes on elsewhere all the same.
		if !moved[de.Request] {
			runs[de.Request].give(order{from: so.VM, to: de.To})
		}
	}
}

func (fl *Flow) move(ctx context.Context, from units.VMID, de drain.Decision, ru *run) bool {
	sn := fl.Fleet.Snapshot()
	src, dst := sn.Replica(from), sn.Replica(de.To)
	if src == nil || dst == nil {
		return false
	}
	done, err := fl.Engine.Import(ctx, dst.Address, engine.Move{Request: ru.job.ID, From: src.Address})
	if err != nil {
		return false
	}
	ru.give(order{from: from, to: de.To, kvHandle: done.KVHandle})
	return true
}

// HandOver stops all runs that are left, so that their callers can be sent to a peer.
func (fl *Flow) HandOver() {
	for _, ru := range fl.running.all() {
		ru.give(order{handOver: true})
	}
}
