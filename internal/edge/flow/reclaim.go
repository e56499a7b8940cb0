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

// KVExport is the assumed performance of an engine's KV cache export: its bandwidth and
// the size of a token's cache entry.
type KVExport struct {
	Bandwidth units.BytesPerSecond
	PerToken  units.Bytes
}

// Reclaim drains the servers on VMs that are being reclaimed: each request finishes, or is
// moved with its KV cache, or resumes on another server. It returns the plan once it is
// carried out.
func (fl *Flow) Reclaim(ctx context.Context, reclaimed []member.Member, ex KVExport) []drain.Decision {
	byID := map[units.RequestID]*run{}
	sn := fl.Fleet.Snapshot()
	var sources []drain.Source
	var running []drain.Running
	var latest time.Time
	for idx := range reclaimed {
		me := &reclaimed[idx]
		sources = append(sources, source(me, sn.Server(me.VM), ex))
		dests := usableOutsideZones(sn.Servers(me.Target), sn.ReclaimingZones())
		for _, ru := range fl.running.onVM(me.VM) {
			byID[ru.request.ID] = ru
			running = append(running, ru.drainInput(me.VM, dests))
		}
		if me.Deadline.After(latest) {
			latest = me.Deadline
		}
	}
	if len(running) == 0 {
		return nil
	}
	// One plan covers all VMs, which serve the same target and so share the destinations.
	dests := destinations(usableOutsideZones(sn.Servers(reclaimed[0].Target), sn.ReclaimingZones()))
	plan := drain.Plan(time.Now(), sources, running, dests)
	fl.executePlan(ctx, plan, byID, sources)
	return plan
}

func source(me *member.Member, re *route.Server, ex KVExport) drain.Source {
	so := drain.Source{VM: me.VM, Deadline: me.Deadline, Bandwidth: ex.Bandwidth, TokenSize: ex.PerToken}
	if re != nil {
		so.Step = re.Load.Step
	}
	return so
}

func usableOutsideZones(list []*route.Server, reclaiming []units.ZoneID) []*route.Server {
	var out, inside []*route.Server
	for _, re := range list {
		switch {
		case !re.Usable:
		case contains(reclaiming, re.Zone):
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

// executePlan carries out the plan: sources in parallel, the moves of each sequentially.
// Requests that are not moved resume elsewhere only shortly before the deadline, since
// some finish by then.
func (fl *Flow) executePlan(ctx context.Context, plan []drain.Decision, runs map[units.RequestID]*run, sources []drain.Source) {
	bySource := map[units.VMID][]drain.Decision{}
	vmOf := map[units.RequestID]units.VMID{}
	for _, so := range sources {
		for _, ru := range fl.running.onVM(so.VM) {
			vmOf[ru.request.ID] = so.VM
		}
	}
	for _, de := range plan {
		vm := vmOf[de.Request]
		bySource[vm] = append(bySource[vm], de)
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, so := range sources {
		wg.Go(func() { fl.evacuate(ctx, so, bySource[so.VM], runs) })
	}
}

func (fl *Flow) evacuate(ctx context.Context, so drain.Source, plan []drain.Decision, runs map[units.RequestID]*run) {
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
		// This includes requests that were planned to finish in time but have not.
		if !moved[de.Request] {
			runs[de.Request].sendOrder(moveOrder{from: so.VM, to: de.To})
		}
	}
}

func (fl *Flow) move(ctx context.Context, from units.VMID, de drain.Decision, ru *run) bool {
	sn := fl.Fleet.Snapshot()
	src, dst := sn.Server(from), sn.Server(de.To)
	if src == nil || dst == nil {
		return false
	}
	done, err := fl.Engine.Import(ctx, dst.Address, engine.KVImport{Request: ru.request.ID, From: src.Address})
	if err != nil {
		return false
	}
	ru.sendOrder(moveOrder{from: from, to: de.To, kvHandle: done.KVHandle})
	return true
}
