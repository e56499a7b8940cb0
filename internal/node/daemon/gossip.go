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

const exchangeTimeout = time.Second

// gossipLoop exchanges membership changes with one peer each period.
func (da *Daemon) gossipLoop(ctx context.Context) {
	runEvery(ctx, da.settings.Timing.Gossip.Std(), func(ctx context.Context) {
		da.gossipMu.Lock()
		plan, ok := da.gossip.Tick(time.Now())
		da.gossipMu.Unlock()
		if ok {
			da.exchange(ctx, plan)
		} else {
			da.joinSeeds(ctx)
		}
		da.publishMembers()
	})
}

// joinSeeds sends this node's member entry to the seeds until one answers. It is used while no
// peer is known.
func (da *Daemon) joinSeeds(ctx context.Context) {
	for _, seed := range da.settings.Seeds {
		if seed == da.settings.Listen.Advertise {
			continue
		}
		da.gossipMu.Lock()
		msg := member.Message{From: da.settings.VM.ID, Members: []member.Member{da.gossip.Self()}}
		da.gossipMu.Unlock()
		to := member.Member{Address: seed}
		if da.send(ctx, member.Outgoing{To: to, Message: msg}) == nil {
			return
		}
	}
}

// exchange sends a gossip message to a peer. A peer that neither answers this node nor the
// nodes asked to probe it is reported to the membership as failed.
func (da *Daemon) exchange(ctx context.Context, plan member.Outgoing) {
	err := da.send(ctx, plan)
	if err == nil || da.probeIndirectly(ctx, &plan.To) {
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
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return da.peerPool.Peer(ctx, plan.To.Address).Gossip(ctx, mesh.ToWire(&plan.Message))
}

// probeIndirectly asks some peers to probe a node that this one can't reach.
func (da *Daemon) probeIndirectly(ctx context.Context, to *member.Member) bool {
	da.gossipMu.Lock()
	helpers := da.gossip.IndirectProbers(to.VM)
	da.gossipMu.Unlock()
	alive := make([]bool, len(helpers))
	var wg conc.WaitGroup
	for idx := range helpers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, 2*exchangeTimeout)
			defer cancel()
			re, err := da.peerPool.Peer(ctx, helpers[idx].Address).Probe(ctx, &wire.ProbeRequest{Id: string(to.VM), Address: to.Address})
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

// announce changes this node's own member entry and sends it to some peers at once.
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

// observe merges member entries that this node learned from the cloud API or from the servers.
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
		da.publishMembers()
	}
}

// publishMembers passes the membership on if it has changed, and starts what follows from it:
// reclaims, this node's own shutdown, and the fetch of a newer table.
func (da *Daemon) publishMembers() {
	da.publishMu.Lock()
	defer da.publishMu.Unlock()
	list, changed := da.changedMembers()
	if !changed {
		return
	}
	da.fleet.SetMembers(list)
	da.setFreeSlots()
	da.startReclaims(list)
	da.leaveIfReclaimed(list)
	da.fetchNewestTable(list)
}

func (da *Daemon) changedMembers() (list []member.Member, changed bool) {
	da.gossipMu.Lock()
	defer da.gossipMu.Unlock()
	digest := da.gossip.View().Digest()
	if digest == da.publishedDigest {
		return nil, false
	}
	da.publishedDigest = digest
	return da.gossip.View().List(), true
}

// fetchNewestTable fetches the table from the peer that announces the newest version, if that is
// newer than the version in force.
func (da *Daemon) fetchNewestTable(list []member.Member) {
	var best *member.Member
	for idx := range list {
		me := &list[idx]
		if me.Role == member.RoleNode && me.VM != da.settings.VM.ID && (best == nil || me.TableVersion > best.TableVersion) {
			best = me
		}
	}
	in := da.table.Load()
	if best != nil && (in == nil || best.TableVersion > in.Version) && best.TableVersion > 0 {
		da.spawn(func(ctx context.Context) { da.fetchTable(ctx, best) })
	}
}

// leaveIfReclaimed starts the shutdown when this node's own VM is announced as leaving.
func (da *Daemon) leaveIfReclaimed(list []member.Member) {
	for idx := range list {
		me := &list[idx]
		if me.VM != da.settings.VM.ID || me.State != member.Leaving || da.leaving.Load() {
			continue
		}
		deadline := me.Deadline
		if deadline.IsZero() {
			deadline = time.Now().Add(da.settings.Timing.Grace.Std() + leaveMargin)
		}
		select {
		case da.leaveBy <- deadline:
		default:
		}
	}
}

// members returns the membership of the snapshot that requests use.
func (da *Daemon) members() []member.Member { return da.fleet.Snapshot().Members() }

func isLiveNode(me *member.Member) bool {
	return me.Role == member.RoleNode && me.State == member.Alive
}

// isFirstRanked reports whether this node ranks first for a task in rendezvous order. It can
// be true on two nodes whose memberships differ; the tasks tolerate that.
func (da *Daemon) isFirstRanked(task string) bool { return da.isTopRanked(task, 1) }

func (da *Daemon) isTopRanked(task string, count int) bool {
	ranked := member.Rank(task, da.members(), isLiveNode)
	for _, me := range ranked[:min(count, len(ranked))] {
		if me.VM == da.settings.VM.ID {
			return true
		}
	}
	return len(ranked) == 0
}

// rankNodes returns the live nodes in the rendezvous order of a key.
func (da *Daemon) rankNodes(key string) []member.Member {
	return member.Rank(key, da.members(), isLiveNode)
}

func isSelf(da *Daemon, me *member.Member) bool { return me.VM == da.settings.VM.ID }
