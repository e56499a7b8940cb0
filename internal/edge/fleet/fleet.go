// Package fleet keeps the list of backend servers that requests read: an immutable
// snapshot behind an atomic pointer, built from the membership, the load reports, the
// servers' health and the prices.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"lycheepick/internal/edge/engine"
	"lycheepick/internal/plat/cloud"
	"lycheepick/internal/rule/retry"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

// The prefix keys remembered of all replicas are bounded, and those of each one, so that
// memory does not grow with the fleet.
const (
	keysInAll   = 1 << 18
	keysMost    = 1 << 14
	keysAtLeast = 1 << 8
)

// cacheKeys is the bound for one of so many replicas.
func cacheKeys(replicas int) int {
	return max(keysAtLeast, min(keysMost, keysInAll/max(1, replicas)))
}

// Snapshot is one state of the fleet. It is never changed.
type Snapshot struct {
	byTarget map[units.TargetID][]*route.Server
	byVM     map[units.VMID]*route.Server
	members  []member.Member
	waves    []units.ZoneID
	stewards map[units.VMID]*member.Member
}

// Steward returns the node that is the steward of a backend server, or nil.
func (sn *Snapshot) Steward(id units.VMID) *member.Member { return sn.stewards[id] }

// Replicas returns the backend servers of a target.
func (sn *Snapshot) Replicas(ta units.TargetID) []*route.Server { return sn.byTarget[ta] }

// Replica returns the backend server on a VM, or nil.
func (sn *Snapshot) Replica(id units.VMID) *route.Server { return sn.byVM[id] }

// Members returns the members behind the snapshot, in order of id.
func (sn *Snapshot) Members() []member.Member { return sn.members }

// Waves returns the zones with backend servers under reclaim.
func (sn *Snapshot) Waves() []units.ZoneID { return sn.waves }

// Audit receives the decisions that operators want to see.
type Audit interface {
	Note(event string, subject string, detail string)
}

// Fleet builds snapshots. It is safe for concurrent use.
type Fleet struct {
	snap  atomic.Pointer[Snapshot]
	audit Audit

	mu      sync.Mutex
	members []member.Member
	// stewards is computed again when the signature, a sum over the live nodes and
	// the servers, changes.
	stewards  map[units.VMID]*member.Member
	signature uint64
	servers   map[units.VMID]*server
	prices    map[priceKey]units.PricePerHour
	dirty     bool
}

type priceKey struct {
	zone  units.ZoneID
	class string
}

// server is what lasts from one snapshot to the next.
type server struct {
	units.Instance
	load   route.Load
	health retry.Health
	track  *route.DispatchLog
	cache  *route.Cache
	// cacheSeq is the number of the last cache event taken over.
	cacheSeq int64
}

// New returns an empty fleet.
func New(au Audit) *Fleet {
	fl := &Fleet{audit: au, servers: map[units.VMID]*server{}, prices: map[priceKey]units.PricePerHour{}}
	fl.snap.Store(&Snapshot{})
	return fl
}

// Snapshot returns the current state.
func (fl *Fleet) Snapshot() *Snapshot { return fl.snap.Load() }

// SetMembers takes over the membership.
func (fl *Fleet) SetMembers(list []member.Member) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.members = list
	if sig := signature(list); sig != fl.signature {
		fl.signature = sig
		fl.stewards = stewards(list)
	}
	fl.publish()
}

// SetPrices takes over the prices.
func (fl *Fleet) SetPrices(list []cloud.Price) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	clear(fl.prices)
	for _, pr := range list {
		fl.prices[priceKey{zone: pr.Zone, class: string(pr.Class)}] = pr.PerHour
	}
	fl.publish()
}

// Reported takes over a load report that was asked for at at.
func (fl *Fleet) Reported(id units.VMID, rep *engine.Report, at time.Time) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	se := fl.servers[id]
	if se == nil {
		return
	}
	se.load = route.Load{
		Running: rep.Running, Queued: rep.Queued, Slots: rep.Slots, QueuedTokens: rep.QueuedTokens,
		PrefillRate: rep.PrefillRate, Step: rep.Step.Std(), At: at,
	}
	fl.dirty = true
	if ch := se.health.Probed(at, true); ch != retry.Unchanged {
		fl.note(id, ch)
		fl.publish()
	}
}

// CacheSeen returns the number of the last cache event taken over from a server.
func (fl *Fleet) CacheSeen(id units.VMID) int64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if se := fl.servers[id]; se != nil {
		return se.cacheSeq
	}
	return 0
}

// CacheEvents takes over cache events of a server. Missing numbers do no harm: what they
// told shows up as a wrong estimate.
func (fl *Fleet) CacheEvents(id units.VMID, list []engine.CacheEvent) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	se := fl.servers[id]
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

// Refresh publishes the load reports that came since the last snapshot. A node calls
// it several times a second, so that one rebuild serves many reports.
func (fl *Fleet) Refresh() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if fl.dirty {
		fl.publish()
	}
}

// Alive notes a probe that a server answered without a load report.
func (fl *Fleet) Alive(id units.VMID, now time.Time) {
	fl.change(id, func(se *server) retry.Change { return se.health.Probed(now, true) })
}

// Unreachable notes that a probe of a server failed.
func (fl *Fleet) Unreachable(id units.VMID, now time.Time) {
	fl.change(id, func(se *server) retry.Change { return se.health.Probed(now, false) })
}

// Succeeded notes a request that a server answered.
func (fl *Fleet) Succeeded(id units.VMID) {
	fl.change(id, func(se *server) retry.Change { return se.health.Succeeded() })
}

// Failed notes a request that failed by the server's fault.
func (fl *Fleet) Failed(id units.VMID, now time.Time) {
	fl.change(id, func(se *server) retry.Change { return se.health.Failed(now) })
}

func (fl *Fleet) change(id units.VMID, do func(*server) retry.Change) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	se := fl.servers[id]
	if se == nil {
		return
	}
	if ch := do(se); ch != retry.Unchanged {
		fl.note(id, ch)
		fl.publish()
	}
}

func (fl *Fleet) note(id units.VMID, ch retry.Change) {
	switch ch {
	case retry.Ejected:
		fl.audit.Note("server_ejected", string(id), "")
	case retry.Returned:
		fl.audit.Note("server_returned", string(id), "")
	case retry.Unchanged:
	}
}

// publish builds the next snapshot. The caller holds the lock.
func (fl *Fleet) publish() {
	sn := &Snapshot{
		byTarget: map[units.TargetID][]*route.Server{},
		byVM:     map[units.VMID]*route.Server{},
		members:  fl.members, stewards: fl.stewards,
	}
	known := make(map[units.VMID]*server, len(fl.servers))
	waves := map[units.ZoneID]bool{}
	for idx := range fl.members {
		me := &fl.members[idx]
		if me.Role == member.RoleNode || me.State == member.Gone {
			continue
		}
		se := fl.server(me.Instance)
		known[me.VM] = se
		re := fl.replica(me, se)
		sn.byTarget[me.Target] = append(sn.byTarget[me.Target], re)
		sn.byVM[me.VM] = re
		if me.State == member.Leaving && !me.Deadline.IsZero() && !waves[me.Zone] {
			waves[me.Zone] = true
			sn.waves = append(sn.waves, me.Zone)
		}
	}
	fl.servers = known
	fl.dirty = false
	fl.snap.Store(sn)
}

// server returns what is known of a server; a new incarnation starts afresh.
func (fl *Fleet) server(id units.Instance) *server {
	if se, ok := fl.servers[id.VM]; ok && se.Instance == id {
		return se
	}
	return &server{Instance: id, track: &route.DispatchLog{}, cache: route.NewCache(cacheKeys(len(fl.members)))}
}

func (fl *Fleet) replica(me *member.Member, se *server) *route.Server {
	return &route.Server{
		Instance: me.Instance, Zone: me.Zone, Address: me.Address, Target: me.Target,
		Price:  fl.prices[priceKey{zone: me.Zone, class: me.Class}],
		Usable: me.State == member.Alive && se.health.Usable(),
		Load:   se.load, Dispatches: se.track, Cache: se.cache,
	}
}

func signature(list []member.Member) uint64 {
	sig := uint64(1)
	for idx := range list {
		me := &list[idx]
		if me.Role != member.RoleNode || me.State == member.Alive {
			sig ^= member.Score(me.Address, me.VM)
		}
	}
	return sig
}

// stewards picks the live node with the highest rendezvous score for each server.
func stewards(list []member.Member) map[units.VMID]*member.Member {
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
