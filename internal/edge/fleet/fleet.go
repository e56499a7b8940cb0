// Package fleet maintains the list of backend servers for the request path, as immutable
// snapshots built from the membership, load reports, health and prices.
package fleet

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lycheepick/internal/edge/engine"
	"lycheepick/internal/plat/cloud"
	"lycheepick/internal/rule/rest"
	"lycheepick/internal/rule/retry"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

// Limits on the prefix keys remembered for all servers and for each one, so that memory
// does not grow with the number of servers.
const (
	maxKeys          = 1 << 18
	maxKeysPerServer = 1 << 14
	minKeysPerServer = 1 << 8
)

// keysPerServer returns the limit for each server, given their number.
func keysPerServer(servers int) int {
	return max(minKeysPerServer, min(maxKeysPerServer, maxKeys/max(1, servers)))
}

// Snapshot is the state of the fleet at one time. It is immutable, apart from the load
// tracking and caches that its servers share.
type Snapshot struct {
	byTarget   map[units.TargetID][]*route.Server
	byVM       map[units.VMID]*route.Server
	members    []member.Member
	reclaiming []units.ZoneID
	owners     map[units.VMID]*member.Member
}

// OwnerNode returns the node that tracks the current load of a backend server, or nil if
// it has none.
func (sn *Snapshot) OwnerNode(id units.VMID) *member.Member { return sn.owners[id] }

// Servers returns the backend servers of a target, usable or not.
func (sn *Snapshot) Servers(ta units.TargetID) []*route.Server { return sn.byTarget[ta] }

// Server returns the backend server on a VM, or nil.
func (sn *Snapshot) Server(id units.VMID) *route.Server { return sn.byVM[id] }

// Members returns the members that the snapshot was built from, ordered by ID.
func (sn *Snapshot) Members() []member.Member { return sn.members }

// ReclaimingZones returns the zones in which VMs of backend servers are being reclaimed.
func (sn *Snapshot) ReclaimingZones() []units.ZoneID { return sn.reclaiming }

// Audit records decisions for operators.
type Audit interface {
	Note(event string, subject string, detail string)
}

// Fleet builds the snapshots. It is safe for concurrent use.
type Fleet struct {
	snap  atomic.Pointer[Snapshot]
	audit Audit
	rests rests

	mu      sync.Mutex
	members []member.Member
	// owners is recomputed when membershipHash, a hash of the live nodes and the servers,
	// changes.
	owners         map[units.VMID]*member.Member
	membershipHash uint64
	servers        map[units.VMID]*server
	prices         map[priceKey]units.PricePerHour
	dirty          bool
}

type priceKey struct {
	zone  units.ZoneID
	class string
}

// server is the state of a backend server that persists across snapshots.
type server struct {
	units.Instance
	load       route.Load
	health     retry.Health
	dispatches *route.DispatchLog
	cache      *route.Cache
	// cacheSeq is the sequence number of the last cache event applied.
	cacheSeq int64
}

// New returns an empty fleet that reports health changes to au.
func New(au Audit) *Fleet {
	fl := &Fleet{audit: au, rests: rests{book: rest.NewBook(rand.Uint64())}, servers: map[units.VMID]*server{}, prices: map[priceKey]units.PricePerHour{}}
	fl.snap.Store(&Snapshot{})
	return fl
}

// Snapshot returns the current snapshot, without locking.
func (fl *Fleet) Snapshot() *Snapshot { return fl.snap.Load() }

// SetMembers replaces the membership and publishes a snapshot.
func (fl *Fleet) SetMembers(list []member.Member) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.members = list
	if sig := hashMembership(list); sig != fl.membershipHash {
		fl.membershipHash = sig
		fl.owners = assignOwners(list)
	}
	fl.publish()
}

// SetPrices replaces the prices and publishes a snapshot.
func (fl *Fleet) SetPrices(list []cloud.Price) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	clear(fl.prices)
	for _, pr := range list {
		fl.prices[priceKey{zone: pr.Zone, class: string(pr.Class)}] = pr.PerHour
	}
	fl.publish()
}

// ApplyReport stores a load report that was requested at the time at. It counts as a
// successful probe. The load is published by the next Refresh.
func (fl *Fleet) ApplyReport(id units.Instance, rep *engine.Report, at time.Time) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	se := fl.current(id)
	if se == nil {
		return
	}
	se.load = route.Load{
		Running: rep.Running, Queued: rep.Queued, Slots: rep.Slots, QueuedTokens: rep.QueuedTokens,
		PrefillRate: rep.PrefillRate, Step: rep.Step.Std(), At: at,
	}
	fl.dirty = true
	if ch := se.health.Probed(at, true); ch != retry.Unchanged {
		fl.auditChange(id.VM, ch)
		fl.publish()
	}
}

// CacheSeq returns the sequence number of the last cache event applied for a server.
func (fl *Fleet) CacheSeq(id units.Instance) int64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if se := fl.current(id); se != nil {
		return se.cacheSeq
	}
	return 0
}

// ApplyCacheEvents applies cache events of a server. Gaps in the sequence are tolerated:
// missed events only make the estimate of the cached tokens less accurate.
func (fl *Fleet) ApplyCacheEvents(id units.Instance, list []engine.CacheEvent) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	se := fl.current(id)
	if se == nil {
		return
	}
	for _, ev := range list {
		if ev.Held {
			se.cache.Add([]units.PrefixKey{ev.Prefix})
		} else {
			se.cache.Remove(ev.Prefix)
		}
		se.cacheSeq = max(se.cacheSeq, ev.Seq)
	}
}

// Refresh publishes a snapshot if load reports arrived since the last one. It is called
// several times a second, so that one rebuild covers many reports.
func (fl *Fleet) Refresh() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.dirty {
		fl.publish()
	}
}

// ProbeSucceeded records a successful probe that returned no load report.
func (fl *Fleet) ProbeSucceeded(id units.Instance, now time.Time) {
	fl.updateHealth(id, func(se *server) retry.Change { return se.health.Probed(now, true) })
}

// ProbeFailed records a failed probe of a server.
func (fl *Fleet) ProbeFailed(id units.Instance, now time.Time) {
	fl.updateHealth(id, func(se *server) retry.Change { return se.health.Probed(now, false) })
}

// RequestSucceeded records a request that a server completed.
func (fl *Fleet) RequestSucceeded(id units.Instance) {
	fl.updateHealth(id, func(se *server) retry.Change { return se.health.Succeeded() })
}

// RequestFailed records a request that failed because of the server.
func (fl *Fleet) RequestFailed(id units.Instance, now time.Time) {
	fl.updateHealth(id, func(se *server) retry.Change { return se.health.Failed(now) })
}

func (fl *Fleet) updateHealth(id units.Instance, do func(*server) retry.Change) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	se := fl.current(id)
	if se == nil {
		return
	}
	if ch := do(se); ch != retry.Unchanged {
		fl.auditChange(id.VM, ch)
		fl.publish()
	}
}

// current returns the state of a server, or nil if the fleet has no such server or another
// incarnation of it: what an earlier one reported says nothing about the present one.
func (fl *Fleet) current(id units.Instance) *server {
	if se := fl.servers[id.VM]; se != nil && se.Instance == id {
		return se
	}
	return nil
}

func (fl *Fleet) auditChange(id units.VMID, ch retry.Change) {
	switch ch {
	case retry.Ejected:
		fl.audit.Note("server_ejected", string(id), "")
	case retry.Returned:
		fl.audit.Note("server_returned", string(id), "")
	case retry.Unchanged:
	}
}

// publish builds the next snapshot. The caller must hold fl.mu.
func (fl *Fleet) publish() {
	sn := &Snapshot{
		byTarget: map[units.TargetID][]*route.Server{},
		byVM:     map[units.VMID]*route.Server{},
		members:  fl.members, owners: fl.owners,
	}
	kept := make(map[units.VMID]*server, len(fl.servers))
	seen := map[units.ZoneID]bool{}
	for idx := range fl.members {
		me := &fl.members[idx]
		if me.Role == member.RoleNode || me.State == member.Gone {
			continue
		}
		se := fl.server(me.Instance)
		kept[me.VM] = se
		re := fl.candidate(me, se)
		sn.byTarget[me.Target] = append(sn.byTarget[me.Target], re)
		sn.byVM[me.VM] = re
		if me.State == member.Leaving && !me.Deadline.IsZero() && !seen[me.Zone] {
			seen[me.Zone] = true
			sn.reclaiming = append(sn.reclaiming, me.Zone)
		}
	}
	fl.servers = kept
	fl.rests.retain(kept)
	fl.dirty = false
	fl.snap.Store(sn)
}

// server returns the state of a server; a new incarnation starts with empty state.
func (fl *Fleet) server(id units.Instance) *server {
	if se := fl.current(id); se != nil {
		return se
	}
	return &server{Instance: id, dispatches: &route.DispatchLog{}, cache: route.NewCache(keysPerServer(len(fl.members)))}
}

func (fl *Fleet) candidate(me *member.Member, se *server) *route.Server {
	return &route.Server{
		Instance: me.Instance, Zone: me.Zone, Address: me.Address, Target: me.Target,
		Price:  fl.prices[priceKey{zone: me.Zone, class: me.Class}],
		Usable: me.State == member.Alive && se.health.Usable(),
		Load:   se.load, Dispatches: se.dispatches, Cache: se.cache,
	}
}

func hashMembership(list []member.Member) uint64 {
	sig := uint64(1)
	for idx := range list {
		me := &list[idx]
		if me.Role != member.RoleNode || me.State == member.Alive {
			sig ^= member.Score(me.Address, me.VM)
		}
	}
	return sig
}

// assignOwners maps each server to the live node with the highest rendezvous score.
func assignOwners(list []member.Member) map[units.VMID]*member.Member {
	out := map[units.VMID]*member.Member{}
	for idx := range list {
		if list[idx].Role == member.RoleNode {
			continue
		}
		var best *member.Member
		var high uint64
		for num := range list {
			no := &list[num]
			if no.Role != member.RoleNode || no.State != member.Alive {
				continue
			}
			if score := member.Score(string(list[idx].VM), no.VM); best == nil || score > high {
				best, high = no, score
			}
		}
		out[list[idx].VM] = best
	}
	return out
}
