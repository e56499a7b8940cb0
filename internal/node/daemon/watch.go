package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/edge/flow"
	"lycheepick/internal/plat/cloud"
	"lycheepick/internal/plat/logsvc"
	"lycheepick/internal/rule/limit"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

const (
	// watcherCount is the number of nodes that poll the cloud API; the others learn of VMs and
	// notices by gossip.
	watcherCount = 3
	noticeWait   = 5 * time.Second
	cloudTimeout = 3 * time.Second
	// reclaimSlack is how long after the deadline of a VM a reclaim may still take.
	reclaimSlack = 30 * time.Second
)

// vmLoop reads the VM list while this node is a watcher.
func (da *Daemon) vmLoop(ctx context.Context) {
	seen := map[units.VMID]cloud.VM{}
	runEvery(ctx, da.settings.Timing.VMList.Std(), func(ctx context.Context) {
		if len(seen) > 0 && !da.isTopRanked("watch", watcherCount) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
		defer cancel()
		list, err := da.cloud.VMs(ctx)
		if err != nil {
			da.log.Debug("vm_list_unreadable", zap.Error(err))
			return
		}
		da.observe(da.vmMembers(list, seen)...)
	})
}

// vmMembers converts a VM list to member entries. A VM is gone if it was listed before and is
// missing now, or has a later incarnation now. A VM that was never listed is not treated as
// gone: it may be new, since the list lags.
func (da *Daemon) vmMembers(list []cloud.VM, seen map[units.VMID]cloud.VM) []member.Member {
	var out []member.Member
	present := map[units.VMID]bool{}
	for _, vm := range list {
		present[vm.VM] = true
		if old, ok := seen[vm.VM]; ok && old.Incarnation < vm.Incarnation {
			da.freeSeat(old)
		}
		if old, ok := seen[vm.VM]; ok && old.Incarnation > vm.Incarnation {
			continue
		}
		seen[vm.VM] = vm
		if me, ok := da.vmMember(&vm); ok {
			out = append(out, me)
		}
	}
	for id, vm := range seen {
		if present[id] {
			continue
		}
		delete(seen, id)
		da.freeSeat(vm)
		if me, ok := da.vmMember(&vm); ok {
			me.State = member.Gone
			out = append(out, me)
		}
	}
	return out
}

// vmMember converts one VM of the list to a member entry. A node announces its own entry by
// gossip; the list adds only that it is leaving, or the address of a node not known yet.
func (da *Daemon) vmMember(vm *cloud.VM) (member.Member, bool) {
	me := member.Member{
		Instance: vm.Instance, Address: vm.Address, Zone: vm.Zone, Target: vm.Target, Class: string(vm.Class),
	}
	switch vm.Role {
	case cloud.RoleEngine:
		me.Role = member.RoleEngine
	case cloud.RolePlain:
		me.Role = member.RolePlain
	case cloud.RoleNode:
		return da.nodeMember(vm)
	default:
		return member.Member{}, false
	}
	if vm.State == cloud.StateLeaving {
		me.State = member.Leaving
	}
	return me, true
}

func (da *Daemon) nodeMember(vm *cloud.VM) (member.Member, bool) {
	da.gossipMu.Lock()
	defer da.gossipMu.Unlock()
	cur, known := da.gossip.View().Get(vm.VM)
	if known && cur.VMIncarnation() == vm.Incarnation {
		if vm.State == cloud.StateLeaving && cur.State < member.Leaving {
			cur.State = member.Leaving
		}
		return cur, true
	}
	if known && cur.VMIncarnation() > vm.Incarnation {
		return member.Member{}, false
	}
	return member.Member{
		Instance: units.Instance{VM: vm.VM, Incarnation: member.NodeIncarnation(vm.Incarnation, time.UnixMilli(0))},
		Role:     member.RoleNode, Address: vm.Address, Zone: vm.Zone,
	}, true
}

// freeSeat frees the seat of a node whose VM no longer exists.
func (da *Daemon) freeSeat(vm cloud.VM) {
	if vm.Role != cloud.RoleNode {
		return
	}
	da.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
		defer cancel()
		rec := limit.SeatRecord{Op: limit.SeatGone, Instance: vm.Instance}
		if _, err := da.logService.Append(ctx, logsvc.StreamSeats, rec); err != nil {
			da.log.Debug("seat_not_freed", zap.Error(err))
		}
	})
}

// noticeLoop reads reclaim notices while this node is a watcher.
func (da *Daemon) noticeLoop(ctx context.Context) {
	var after int64
	for ctx.Err() == nil {
		if !da.isTopRanked("watch", watcherCount) {
			sleep(ctx, jitter(da.settings.Timing.VMList.Std()))
			continue
		}
		list, err := da.cloud.Notices(ctx, after, noticeWait)
		if err != nil {
			da.log.Debug("notices_unreadable", zap.Error(err))
			sleep(ctx, jitter(logRetryDelay))
			continue
		}
		for _, no := range list {
			after = max(after, no.Seq)
			da.applyNotice(no)
		}
	}
}

// applyNotice marks the VM of a reclaim notice as leaving. A notice for another incarnation of
// the VM is ignored.
func (da *Daemon) applyNotice(no cloud.Notice) {
	da.gossipMu.Lock()
	me, known := da.gossip.View().Get(no.VM)
	da.gossipMu.Unlock()
	if !known || me.VMIncarnation() != no.Incarnation {
		return
	}
	if me.State >= member.Leaving && !me.Deadline.IsZero() {
		return
	}
	me.State = max(me.State, member.Leaving)
	me.Deadline = no.Deadline.UTC().Truncate(time.Millisecond)
	da.trail.Note("vm_reclaimed", string(no.VM), "deadline="+me.Deadline.Format(time.RFC3339Nano))
	da.observe(me)
}

// serverDraining marks a backend server as leaving after the server itself has reported so.
// Its VM id may have passed to a new incarnation since, which is not leaving.
func (da *Daemon) serverDraining(id units.Instance) {
	da.gossipMu.Lock()
	me, known := da.gossip.View().Get(id.VM)
	da.gossipMu.Unlock()
	if !known || me.Instance != id || me.State >= member.Leaving {
		return
	}
	me.State = member.Leaving
	da.trail.Note("server_draining", string(id.VM), "")
	da.observe(me)
}

// startReclaims starts to save the requests on engines that are newly announced as reclaimed. All
// engines of one target are planned together.
func (da *Daemon) startReclaims(list []member.Member) {
	byTarget := map[units.TargetID][]member.Member{}
	da.reclaimMu.Lock()
	for _, me := range list {
		if me.Role != member.RoleEngine || me.State != member.Leaving || me.Deadline.IsZero() || da.reclaimed[me.Instance] {
			continue
		}
		da.reclaimed[me.Instance] = true
		byTarget[me.Target] = append(byTarget[me.Target], me)
	}
	da.reclaimMu.Unlock()
	for _, batch := range byTarget {
		da.spawn(func(ctx context.Context) { da.reclaim(ctx, batch) })
	}
}

func (da *Daemon) reclaim(ctx context.Context, batch []member.Member) {
	ctx, cancel := context.WithTimeout(ctx, reclaimSlack+time.Until(batch[0].Deadline))
	defer cancel()
	plan := da.flow.Reclaim(ctx, batch, flow.KVExport{
		Bandwidth: da.settings.Export.BytesPerSecond, PerToken: da.settings.Export.BytesPerToken,
	})
	for _, de := range plan {
		da.trail.Note("request_saved", string(de.Request), "action="+de.Action.String()+" to="+string(de.To))
	}
}

func (da *Daemon) priceLoop(ctx context.Context) {
	runEvery(ctx, da.settings.Timing.Prices.Std(), func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cloudTimeout)
		defer cancel()
		list, err := da.cloud.Prices(ctx)
		if err != nil {
			da.log.Debug("prices_unreadable", zap.Error(err))
			return
		}
		da.fleet.SetPrices(list)
	})
}
