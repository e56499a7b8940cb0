package relay

import (
	"math/rand/v2"
	"time"

	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/pace"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/spill"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/origin"
)

// LoadReport is the state that nodes exchange: their own load at the backend servers, and
// admitted amounts by customer. PeerTotals relays what this node knows of other nodes for
// customers close to their limits.
type LoadReport struct {
	// Zone is the node's zone, empty if it is not known.
	Zone units.ZoneID
	// Offered is what callers have offered to the node since its start. It is not set in reports of this node.
	Offered      map[units.TargetID]spill.Offered
	Loads        map[units.VMID]place.Load
	SentPrefixes map[units.VMID][]place.BlockID
	Admitted     pool.Totals
	PeerTotals   map[units.CustomerID][]pool.RelayedUsage
	// Newcomers relays the totals of nodes that have started lately.
	Newcomers []pool.Newcomer
	// Waits are the node's totals of waits, by service.
	Waits map[units.TargetID]admit.Waits
	// ServerLimits are limits that servers have named.
	ServerLimits []permit.Observation
	// ServersLeaving are servers that have said that they leave.
	ServersLeaving []notice.Heard[notice.Leaving]
	// ServersResting are servers that have refused requests lately.
	ServersResting []notice.Heard[notice.Rest]
	// Versions are the software versions of services whose servers have had several.
	Versions map[units.TargetID]origin.Ages
	// ServerLoads are what this node has observed lately of the load and the pace of servers.
	ServerLoads []pace.Observation
}

// ApplyPeerReport merges a peer's report into the local state. inc is the peer's
// incarnation, and asOf a time at which the report had not been made yet, from which on the ages in
// it count.
func (rl *Relay) ApplyPeerReport(now, asOf time.Time, node units.VMID, inc int64, rep LoadReport) {
	rl.mu.Lock()
	for id, se := range rl.fleets {
		se.fleet.SetPeerLoads(now, rl.pool.Peers(), node, rep.Loads)
		se.fleet.AddPeerBlocks(now, rep.SentPrefixes)
		rl.noteZone(now, id, se, node, inc, &rep)
		se.fleet.MergeObservations(asOf, rep.ServerLoads)
	}
	rl.pool.MergeReport(now, node, inc, rep.Admitted)
	rl.pool.MergeRelayed(now, rep.PeerTotals)
	rl.pool.MergeNewcomers(now, rep.Newcomers)
	rl.versions.Merge(now, rep.Versions)
	rl.mergeWaits(now, node, inc, rep.Waits)
	rl.rests.Merge(now, asOf, rep.ServersResting)
	limits := rl.permits.Merge(now, asOf, rep.ServerLimits)
	left := rl.mergeLeaving(now, asOf, rep.ServersLeaving)
	rl.mu.Unlock()
	for _, ob := range limits {
		rl.logServerLimit(ob.ID, ob.Limit, "peer "+string(node))
	}
	for _, he := range left {
		rl.logLeaving(he.Server, "peer "+string(node))
	}
}

// ExpectPeer registers a peer before its first report arrives.
func (rl *Relay) ExpectPeer(now time.Time, node units.VMID) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.pool.AddPeer(now, node)
}

// LocalReport returns this node's report for its peers, with the admissions of other nodes that it relays.
func (rl *Relay) LocalReport(now time.Time) LoadReport {
	rep := rl.BriefReport(now)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rep.PeerTotals, rep.Newcomers = rl.pool.Relay(now), rl.pool.Newcomers(now, rand.Uint64())
	return rep
}

// BriefReport returns this node's report without admissions of other nodes.
func (rl *Relay) BriefReport(now time.Time) LoadReport {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rep := LoadReport{Zone: rl.Zone, Loads: map[units.VMID]place.Load{}, SentPrefixes: map[units.VMID][]place.BlockID{}}
	for _, se := range rl.fleets {
		se.fleet.OwnLoads(rep.Loads)
		se.fleet.RecentBlocks(now, rep.SentPrefixes)
	}
	rep.Admitted = rl.pool.Admitted()
	rep.ServerLimits, rep.ServersLeaving = rl.permits.Observations(now), rl.leaving.Heard(now)
	rep.ServersResting = rl.rests.Heard(now)
	rl.seeVersions(now)
	rep.Waits = rl.waits()
	rep.Versions = rl.versions.Several(now)
	rep.ServerLoads = rl.observations(now)
	return rep
}
