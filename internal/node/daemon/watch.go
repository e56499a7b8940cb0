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
	// watchers is the number of nodes that watch the cloud API; the rest hear from
	// them by gossip.
	watchers   = 3
	noticeWait = 5 * time.Second
	cloudTime  = 3 * time.Second
	// leaveTime is assumed for a VM that leaves without a stated deadline.
	leaveTime = 30 * time.Second
)

// vmLoop reads the VM list while this node is a watcher.
func (da *Daemon) vmLoop(ctx context.Context) {
	seen := map[units.VMID]cloud.VM{}
	every(ctx, da.set.Timing.VMList.Std(), func(ctx context.Context) {
		if len(seen) > 0 && !da.isAmong("watch", watchers) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, cloudTime)
		defer cancel()
		list, err := da.cloud.VMs(ctx)
		if err != nil {
			da.log.Debug("vm_list_unreadable", zap.Error(err))
			return
		}
		da.observe(da.accounts(list, seen)...)
	})
}

// accounts turns a VM list into accounts of members. A VM that was listed and no
// longer is, or is under a later incarnation, is gone; one that was never listed may
// just be new, since the list lags.
func (da *Daemon) accounts(list []cloud.VM, seen map[units.VMID]cloud.VM) []member.Member {
	var out []member.Member
	present := map[units.VMID]bool{}
	for _, vm := range list {
		present[vm.VM] = true
		if old, ok := seen[vm.VM]; ok && old.Incarnation < vm.Incarnation {
			da.vmGone(old)
		}
		if old, ok := seen[vm.VM]; ok && old.Incarnation > vm.Incarnation {
			continue
		}
		seen[vm.VM] = vm
		if me, ok := da.account(&vm); ok {
			out = append(out, me)
		}
	}
	for id, vm := range seen {
		if present[id] {
			continue
		}
		delete(seen, id)
		da.vmGone(vm)
		if me, ok := da.account(&vm); ok {
			me.State = member.Gone
			out = append(out, me)
		}
	}
	return out
}

// account returns what the VM list says of one VM. A node is known by its own account;
// the list adds only that it leaves, or where a node is that no one has met.
func (da *Daemon) account(vm *cloud.VM) (member.Member, bool) {
	me := member.Member{
		Instance: vm.Instance, Address: vm.Address, Zone: vm.Zone, Target: vm.Target, Class: string(vm.Class),
	}
	switch vm.Role {
	case cloud.RoleEngine:
		me.Role = member.RoleEngine
	case cloud.RolePlain:
		me.Role = member.RolePlain
	case cloud.RoleNode:
		return da.nodeAccount(vm)
	default:
		return member.Member{}, false
	}
	if vm.State == cloud.StateLeaving {
		me.State = member.Leaving
	}
	return me, true
}

func (da *Daemon) nodeAccount(vm *cloud.VM) (member.Member, bool) {
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

// vmGone frees the seat of a VM that no longer exists.
func (da *Daemon) vmGone(vm cloud.VM) {
	if vm.Role != cloud.RoleNode {
		return
	}
	da.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cloudTime)
		defer cancel()
		rec := limit.SeatRecord{Op: limit.SeatGone, Instance: vm.Instance}
		if _, err := da.logs.Append(ctx, logsvc.StreamSeats, rec); err != nil {
			da.log.Debug("seat_not_freed", zap.Error(err))
		}
	})
}

// noticeLoop reads reclaim notices while this node is a watcher.
func (da *Daemon) noticeLoop(ctx context.Context) {
	var after int64
	for ctx.Err() == nil {
		if !da.isAmong("watch", watchers) {
			wait(ctx, jitter(da.set.Timing.VMList.Std()))
			continue
		}
		list, err := da.cloud.Notices(ctx, after, noticeWait)
		if err != nil {
			da.log.Debug("notices_unreadable", zap.Error(err))
			wait(ctx, jitter(logBackoff))
			continue
		}
		for _, no := range list {
			after = max(after, no.Seq)
			da.noticed(no)
		}
	}
}

// noticed takes one notice over. A notice for an earlier life of the VM changes nothing.
func (da *Daemon) noticed(no cloud.Notice) {
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

// serverDraining notes that a backend server itself said that it leaves.
func (da *Daemon) serverDraining(id units.VMID) {
	da.gossipMu.Lock()
	me, known := da.gossip.View().Get(id)
	da.gossipMu.Unlock()
	if !known || me.State >= member.Leaving {
		return
	}
	me.State = member.Leaving
	da.trail.Note("server_draining", string(id), "")
	da.observe(me)
}

// startReclaims saves the requests on VMs that were announced as reclaimed and not
// dealt with before, all of one target together.
func (da *Daemon) startReclaims(list []member.Member) {
	waves := map[units.TargetID][]member.Member{}
	da.reclaimMu.Lock()
	for _, me := range list {
		if me.Role != member.RoleEngine || me.State != member.Leaving || me.Deadline.IsZero() || da.reclaimed[me.Instance] {
			continue
		}
		da.reclaimed[me.Instance] = true
		waves[me.Target] = append(waves[me.Target], me)
	}
	da.reclaimMu.Unlock()
	for _, wave := range waves {
		da.spawn(func(ctx context.Context) { da.reclaim(ctx, wave) })
	}
}

func (da *Daemon) reclaim(ctx context.Context, wave []member.Member) {
	ctx, cancel := context.WithTimeout(ctx, leaveTime+time.Until(wave[0].Deadline))
	defer cancel()
	plan := da.flow.Reclaim(ctx, wave, flow.KVExport{
		Bandwidth: da.set.Export.BytesPerSecond, PerToken: da.set.Export.BytesPerToken,
	})
	for _, de := range plan {
		da.trail.Note("request_saved", string(de.Request), "action="+de.Action.String()+" to="+string(de.To))
	}
}

func (da *Daemon) priceLoop(ctx context.Context) {
	every(ctx, da.set.Timing.Prices.Std(), func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cloudTime)
		defer cancel()
		list, err := da.cloud.Prices(ctx)
		if err != nil {
			da.log.Debug("prices_unreadable", zap.Error(err))
			return
		}
		da.fleet.SetPrices(list)
	})
}
