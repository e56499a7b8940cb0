package daemon

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"lycheepick/internal/peer/mesh"
	"lycheepick/internal/peer/wire"
	"lycheepick/internal/state/member"
)

const exchangeTime = time.Second

// gossipLoop exchanges changes with one peer each period.
func (da *Daemon) gossipLoop(ctx context.Context) {
	every(ctx, da.set.Timing.Gossip.Std(), func(ctx context.Context) {
		da.gossipMu.Lock()
		plan, ok := da.gossip.Tick(time.Now())
		da.gossipMu.Unlock()
		if ok {
			da.exchange(ctx, plan)
		} else {
			da.joinSeeds(ctx)
		}
		da.membersChanged()
	})
}

// joinSeeds sends this node's account to the seeds while no peer is known.
func (da *Daemon) joinSeeds(ctx context.Context) {
	for _, seed := range da.set.Seeds {
		if seed == da.set.Listen.Advertise {
			continue
		}
		da.gossipMu.Lock()
		msg := member.Message{From: da.set.VM.ID, Members: []member.Member{da.gossip.Self()}}
		da.gossipMu.Unlock()
		to := member.Member{Address: seed}
		if da.send(ctx, member.Outgoing{To: to, Message: msg}) == nil {
			return
		}
	}
}

// exchange carries a plan out, and finds out about a peer that does not answer.
func (da *Daemon) exchange(ctx context.Context, plan member.Outgoing) {
	err := da.send(ctx, plan)
	if err == nil || da.probedByOthers(ctx, &plan.To) {
		return
	}
	da.log.Debug("peer_silent", zap.String("peer", string(plan.To.VM)), zap.Error(err))
	da.gossipMu.Lock()
	da.gossip.ProbeFailed(plan.To.VM, time.Now())
	da.gossipMu.Unlock()
}

func (da *Daemon) send(ctx context.Context, plan member.Outgoing) error {
	for {
		re, err := da.callGossip(ctx, &plan)
		if err != nil {
			return err
		}
		msg, err := mesh.FromWire(re)
		if err != nil {
			return err
		}
		da.gossipMu.Lock()
		next, more := da.gossip.HandleReply(plan.To, msg, time.Now())
		da.gossipMu.Unlock()
		if !more {
			return nil
		}
		plan = next
	}
}

func (da *Daemon) callGossip(ctx context.Context, plan *member.Outgoing) (*wire.GossipMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTime)
	defer cancel()
	return da.pool.Peer(ctx, plan.To.Address).Gossip(ctx, mesh.ToWire(&plan.Message))
}

// probedByOthers asks some peers to reach a node that this one can't.
func (da *Daemon) probedByOthers(ctx context.Context, to *member.Member) bool {
	da.gossipMu.Lock()
	helpers := da.gossip.IndirectProbers(to.VM)
	da.gossipMu.Unlock()
	alive := make([]bool, len(helpers))
	var wg conc.WaitGroup
	for idx := range helpers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, 2*exchangeTime)
			defer cancel()
			re, err := da.pool.Peer(ctx, helpers[idx].Address).Probe(ctx, &wire.ProbeRequest{Id: string(to.VM), Address: to.Address})
			alive[idx] = err == nil && re.GetAlive()
		})
	}
	wg.Wait()
	for _, one := range alive {
		if one {
			return true
		}
	}
	return false
}

// announce changes this node's own account and tells some peers at once.
func (da *Daemon) announce(change func(*member.Member)) {
	da.gossipMu.Lock()
	da.gossip.Announce(change)
	da.gossipMu.Unlock()
	da.sendUrgent()
}

// sendUrgent sends urgent changes to some peers without waiting for them.
func (da *Daemon) sendUrgent() {
	da.gossipMu.Lock()
	plans := da.gossip.UrgentMessages()
	da.gossipMu.Unlock()
	for _, plan := range plans {
		da.spawn(func(ctx context.Context) { _ = da.send(ctx, plan) })
	}
}

// observe merges what this node's own sources say of VMs.
func (da *Daemon) observe(list ...member.Member) {
	now := time.Now()
	changed := false
	da.gossipMu.Lock()
	for _, me := range list {
		changed = da.gossip.Observe(me, now) || changed
	}
	da.gossipMu.Unlock()
	if changed {
		da.sendUrgent()
		da.membersChanged()
	}
}

// membersChanged hands the membership on if it changed, and acts on what is new in it.
func (da *Daemon) membersChanged() {
	da.changeMu.Lock()
	defer da.changeMu.Unlock()
	list, changed := da.newMembers()
	if !changed {
		return
	}
	da.fleet.SetMembers(list)
	da.setPlaces()
	da.startReclaims(list)
	da.noticeSelf(list)
	da.fetchNewest(list)
}

func (da *Daemon) newMembers() (list []member.Member, changed bool) {
	da.gossipMu.Lock()
	defer da.gossipMu.Unlock()
	digest := da.gossip.View().Digest()
	if digest == da.seenDigest {
		return nil, false
	}
	da.seenDigest = digest
	return da.gossip.View().List(), true
}

// fetchNewest gets the table from a peer that says it has a newer one.
func (da *Daemon) fetchNewest(list []member.Member) {
	var best *member.Member
	for idx := range list {
		me := &list[idx]
		if me.Role == member.RoleNode && me.VM != da.set.VM.ID && (best == nil || me.TableVersion > best.TableVersion) {
			best = me
		}
	}
	in := da.table.Load()
	if best != nil && (in == nil || best.TableVersion > in.Version) && best.TableVersion > 0 {
		da.spawn(func(ctx context.Context) { da.fetchTable(ctx, best) })
	}
}

// noticeSelf begins to leave when this node's own VM is announced as leaving.
func (da *Daemon) noticeSelf(list []member.Member) {
	for idx := range list {
		me := &list[idx]
		if me.VM != da.set.VM.ID || me.State != member.Leaving || da.leaving.Load() {
			continue
		}
		deadline := me.Deadline
		if deadline.IsZero() {
			deadline = time.Now().Add(da.set.Timing.Grace.Std() + leaveMargin)
		}
		select {
		case da.leave <- deadline:
		default:
		}
	}
}

// members returns the membership that requests see.
func (da *Daemon) members() []member.Member { return da.fleet.Snapshot().Members() }

func isLiveNode(me *member.Member) bool {
	return me.Role == member.RoleNode && me.State == member.Alive
}

// isFirst tells whether this node is the first choice for a task. Two nodes whose
// views differ may both be; the tasks allow for that.
func (da *Daemon) isFirst(task string) bool { return da.isAmong(task, 1) }

func (da *Daemon) isAmong(task string, count int) bool {
	ranked := member.Rank(task, da.members(), isLiveNode)
	for _, me := range ranked[:min(count, len(ranked))] {
		if me.VM == da.set.VM.ID {
			return true
		}
	}
	return len(ranked) == 0
}

// home returns the live nodes for a key, in rendezvous order.
func (da *Daemon) home(key string) []member.Member {
	return member.Rank(key, da.members(), isLiveNode)
}

func isSelf(da *Daemon, me *member.Member) bool { return me.VM == da.set.VM.ID }
