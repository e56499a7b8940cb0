package entry

import (
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/edge/relay"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/spill"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

// report returns this node's current report to its peers. A brief one, for exchanges with a hub, has no admissions and
// addresses of other nodes: they would fill the hub's link, and spread by the other exchanges too.
func (no *Node) report(isBrief bool) pulse.Report {
	now := time.Now()
	rep := no.relay.BriefReport(now)
	if !isBrief {
		rep = no.relay.LocalReport(now)
	}
	out := pulse.Report{
		Peer:        pulse.Peer{Node: no.settings.VM.ID, Address: no.settings.Listen.Peers},
		Incarnation: no.incarnation, Wall: now.UnixNano(), HoldsLease: no.isLeader.Load(), StoreTransitions: no.storeHealth.transitionCount(),
		Loads: rep.Loads, SentPrefixes: rep.SentPrefixes, Admitted: rep.Admitted, PeerAdmitted: rep.PeerTotals, Newcomers: rep.Newcomers,
		ServerLimits: rep.ServerLimits, ServersLeaving: leavingTo(rep.ServersLeaving), ServersResting: restingTo(rep.ServersResting), IssuesPermits: true, Versions: rep.Versions,
		ServerLoads: loadsTo(rep.ServerLoads), Zone: rep.Zone,
	}
	if fo := no.config.Load(); fo != nil {
		out.Config = fo.Version
	}
	out.Rollouts, out.RolloutCounts = no.rolloutReports(now), no.relay.RolloutReport(now)
	out.Unreached, out.Forwards = no.relay.Unreached(), !no.leaving.Load()
	no.mu.Lock()
	defer no.mu.Unlock()
	out.Servers, out.StoreEra, out.ServersAge = no.servers.NextOffset(), no.serversEra, no.watch.Age(watch.Servers, now)
	if !no.steadySince.IsZero() {
		out.ListSteady = max(1, now.Sub(no.steadySince))
	}
	out.ConfigAge = max(1, no.watch.Age(watch.Config, now))
	out.SinceStoreOutage = no.servers.SinceRecovery(now)
	out.UsageWindows = no.usageBook.SourceCounts(no.ownSource())
	out.Offered = make(map[units.TargetID]pulse.Demand, len(no.offered))
	for id, of := range no.offered {
		of.Waited, of.Expected, of.Begun = rep.Waits[id].Waited, rep.Waits[id].Expected, rep.Waits[id].Begun
		out.Offered[id] = of
	}
	if !isBrief {
		out.Peers = no.reportedPeers()
	}
	return out
}

// reportedPeers returns the peers that a report names. The caller holds mu.
func (no *Node) reportedPeers() []pulse.Peer {
	var out []pulse.Peer
	for id, pe := range no.peers {
		if len(out) == maxReportedPeers { // Map order is random, so the peers are too.
			break
		}
		if !pe.lost {
			out = append(out, pulse.Peer{Node: id, Address: pe.address})
		}
	}
	return out
}

// applyReport updates the state of a peer from its report. asOf is a time at which the report had
// not been made yet, as far as this node can tell.
func (no *Node) applyReport(re *pulse.Report, asOf time.Time) {
	now := time.Now()
	no.relay.ApplyPeerReport(now, asOf, re.Node, re.Incarnation, relay.LoadReport{
		Zone: re.Zone, Offered: offeredFrom(re.Offered),
		Loads: re.Loads, SentPrefixes: re.SentPrefixes, Admitted: re.Admitted, PeerTotals: re.PeerAdmitted, Newcomers: re.Newcomers, ServerLimits: re.ServerLimits,
		ServersLeaving: leavingFrom(re.ServersLeaving), ServersResting: restingFrom(re.ServersResting), Versions: re.Versions, Waits: waitsFrom(re.Offered),
		ServerLoads: loadsFrom(re.ServerLoads),
	})
	no.applyRollouts(re, asOf)
	no.mu.Lock()
	defer no.mu.Unlock()
	pe := no.addPeer(re.Peer)
	if pe == nil {
		return
	}
	if pe.lost {
		pe.lost = false
		no.log.Info("peer_back", zap.String("peer", string(re.Node)))
	}
	pe.lastSeen, pe.address = now, re.Address
	no.members.Heard(now, re.Node, re.IssuesPermits)
	if pe.incarnation != re.Incarnation {
		pe.knownSince = now
	}
	if pe.incarnation == re.Incarnation && re.StoreTransitions > pe.storeTransitions {
		no.storeHealth.restartReads()
	}
	pe.incarnation, pe.storeTransitions = re.Incarnation, re.StoreTransitions
	pe.config = re.Config
	pe.noteForwarding(re)
	no.hearConfig(re.Config)
	no.notePeerServers(re)
	if re.HoldsLease {
		no.leader.reportedAt, no.leader.reportedBy = now, re.Node
	}
	no.clock.SetPeer(re.Node, no.uptime(), time.Unix(0, re.Wall))
	no.usageBook.Merge(sourceKey(re.Node, re.Incarnation), re.UsageWindows)
	no.peerWork[re.Node] = &peerWork{incarnation: re.Incarnation, offered: re.Offered}
	for _, other := range re.Peers {
		no.addPeer(other)
	}
}

// offeredFrom converts what a peer says that has been offered to it.
func offeredFrom(list map[units.TargetID]pulse.Demand) map[units.TargetID]spill.Offered {
	out := make(map[units.TargetID]spill.Offered, len(list))
	for id, de := range list {
		out[id] = spill.Offered{Requests: de.Requests, Prompts: de.PromptTokens}
	}
	return out
}

// noteForwarding takes note of whether a peer takes requests of other nodes.
func (pe *peer) noteForwarding(re *pulse.Report) {
	pe.forwards, pe.load, pe.unreached = re.Forwards, 0, nil
	for _, lo := range re.Loads {
		pe.load += lo.Running
	}
	for _, id := range re.Unreached {
		if pe.unreached == nil {
			pe.unreached = map[units.TargetID]bool{}
		}
		pe.unreached[id] = true
	}
}
