package place

import (
	"slices"
	"time"

	"lycheepick/internal/rule/retry"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
	"lycheepick/internal/state/server"
)

// SetServers replaces the list of servers. The state of those that stay is kept, unless they
// were restarted in between.
func (fl *Fleet) SetServers(now time.Time, list []server.Server) {
	next := make(map[units.VMID]*serverState, len(list))
	fl.servers = fl.servers[:0]
	fl.open, fl.versions = make([]units.VMID, 0, len(list)), nil // Not in place, since callers keep what Open returns.
	for _, sv := range list {
		st := fl.byID[sv.ID]
		if st == nil || st.StartUnixMS != sv.StartUnixMS {
			st = &serverState{blocks: map[BlockID]time.Time{}, awaitingFirst: map[Ticket]dispatch{}, lastResponse: now, hash: hashID(sv.ID)}
		}
		st.Server = sv
		next[sv.ID] = st
		fl.servers = append(fl.servers, st)
		if !sv.Draining {
			fl.open = append(fl.open, sv.ID)
		}
		if !slices.Contains(fl.versions, sv.Version) {
			fl.versions = append(fl.versions, sv.Version)
		}
	}
	fl.byID = next
}

// SetPeerLoads replaces what a peer reports of its own load at each server. peers is the
// number of peers in the fleet.
func (fl *Fleet) SetPeerLoads(now time.Time, peers int, node units.VMID, loads map[units.VMID]Load) {
	fl.peerCount = peers
	// Only the servers that either report names are touched: a large fleet has many more.
	for _, id := range fl.loadedBy[node] {
		if st := fl.byID[id]; st != nil && loads[id] == (Load{}) {
			st.peers = slices.DeleteFunc(st.peers, func(pl peerLoad) bool { return pl.node == node })
		}
	}
	named := fl.loadedBy[node][:0]
	for id, lo := range loads {
		if st := fl.byID[id]; st != nil && lo != (Load{}) {
			st.setPeer(peerLoad{node: node, Load: lo, at: now})
			named = append(named, id)
		}
	}
	if fl.loadedBy[node] = named; len(named) == 0 {
		delete(fl.loadedBy, node)
	}
}

func (st *serverState) setPeer(pl peerLoad) {
	if idx := slices.IndexFunc(st.peers, func(other peerLoad) bool { return other.node == pl.node }); idx >= 0 {
		st.peers[idx] = pl
		return
	}
	st.peers = append(st.peers, pl)
}

// OwnLoads adds to out this node's own load at each server that has any.
func (fl *Fleet) OwnLoads(out map[units.VMID]Load) {
	for _, st := range fl.servers {
		if st.ownLoad != (Load{}) {
			out[st.ID] = st.ownLoad
		}
	}
}

// RecentBlocks adds to out the shared blocks that this node has dispatched to each server
// within blockAnnounceTime.
func (fl *Fleet) RecentBlocks(now time.Time, out map[units.VMID][]BlockID) {
	for len(fl.recentBlocks) > 0 && now.Sub(fl.recentBlocks[0].at) > blockAnnounceTime {
		fl.recentBlocks = fl.recentBlocks[1:]
	}
	for _, se := range fl.recentBlocks {
		out[se.server] = append(out[se.server], se.block)
	}
}

// AddPeerBlocks records the blocks that a peer has dispatched to each server.
func (fl *Fleet) AddPeerBlocks(now time.Time, sent map[units.VMID][]BlockID) {
	for id, blocks := range sent {
		if st := fl.byID[id]; st != nil {
			st.addBlocks(now, blocks)
		}
	}
}

func (st *serverState) addBlocks(now time.Time, blocks []BlockID) {
	if len(st.blocks) > maxKnownBlocks {
		st.blocks = map[BlockID]time.Time{}
	}
	for _, bl := range blocks {
		st.blocks[bl] = now
	}
}

// totalLoad adds up the load of all nodes at a server, for the choice between servers, and the prompt tokens that wait
// there. For the choice a peer's pending prefill is reduced by all that the server could have computed since the report,
// so that the reports of a large fleet, which are older, don't drive prompts away from the servers that have their shared
// parts. Of what waits, all peers' parts are reduced together: the server computes the prompts of all nodes in turn.
func (fl *Fleet) totalLoad(now time.Time, st *serverState) (lo Load, queued units.Tokens) {
	lo = st.ownLoad
	limit, expired := watch.SilenceTimeout(peerReportTTL, fl.peerCount), false
	var reported units.Tokens
	var weighted float64 // The tokens computed since each report, weighted with those that it names.
	for idx := range st.peers {
		pl := &st.peers[idx]
		age := now.Sub(pl.at)
		if age > limit {
			expired = true
			continue
		}
		lo.Running += pl.Running
		computed := age.Seconds() * float64(fl.prefillRate)
		lo.PendingPrefill += max(0, pl.PendingPrefill-units.Tokens(computed))
		reported += pl.PendingPrefill
		weighted += computed * float64(pl.PendingPrefill)
	}
	if expired {
		st.peers = slices.DeleteFunc(st.peers, func(pl peerLoad) bool { return now.Sub(pl.at) > limit })
	}
	queued = st.ownLoad.PendingPrefill
	if reported > 0 {
		computed := weighted / float64(reported)
		queued += units.Tokens(float64(reported) * max(0, 1-computed/float64(reported+st.ownLoad.PendingPrefill)))
	}
	return lo, queued
}

// Dispatch records that a request is sent to the chosen server.
func (fl *Fleet) Dispatch(now time.Time, rq *Request, ch *Choice) Ticket {
	fl.lastTicket++
	st := fl.byID[ch.Server.ID]
	if st == nil {
		return fl.lastTicket
	}
	lo, _ := fl.totalLoad(now, st)
	st.awaitingFirst[fl.lastTicket] = dispatch{at: now, uncached: ch.Uncached, queueEmpty: lo.PendingPrefill == 0, plain: rq.isPlain(), predicted: ch.FirstToken}
	fl.gaps.add(now, rq.EventGap)
	st.ownLoad.Running++
	st.ownLoad.PendingPrefill += ch.Uncached
	for idx, bl := range rq.Blocks {
		if _, known := st.blocks[bl.ID]; !known && idx < len(rq.Blocks)-1 {
			fl.recentBlocks = append(fl.recentBlocks, sentBlock{at: now, server: st.ID, block: bl.ID})
		}
		st.addBlocks(now, []BlockID{bl.ID})
	}
	return fl.lastTicket
}

// FirstToken records the first token or byte of a response, and takes a sample of the prefill
// rate from it if the server had no other prefill work.
func (fl *Fleet) FirstToken(now time.Time, id units.VMID, ti Ticket) {
	fl.firstToken(now, id, ti, true)
}

// FailedAnswer records that the answer of a dispatch is an error. Adaptive fleets don't learn from the time that it took:
// a server that fails at once would make all look fast.
func (fl *Fleet) FailedAnswer(now time.Time, id units.VMID, ti Ticket) {
	fl.firstToken(now, id, ti, !fl.isAdaptive())
}

func (fl *Fleet) firstToken(now time.Time, id units.VMID, ti Ticket, learns bool) {
	st := fl.byID[id]
	if st == nil {
		return
	}
	fl.responded(now, st)
	di, ok := st.awaitingFirst[ti]
	if !ok {
		return
	}
	delete(st.awaitingFirst, ti)
	st.ownLoad.PendingPrefill -= di.uncached
	if !learns {
		return
	}
	st.observe(now.Sub(di.at) - fl.prefillTime(di.uncached, 1))
	if fl.isAdaptive() {
		fl.learn(now, st, &di)
		return
	}
	if took := now.Sub(di.at) - baseLatency; di.queueEmpty && di.uncached >= minRateSample && took > 0 {
		sample := float64(di.uncached) / took.Seconds()
		fl.prefillRate = units.TokensPerSecond(float64(fl.prefillRate)*(1-rateWeight) + sample*rateWeight)
	}
}

// observe takes a sample of the time until the server begins an answer.
func (st *serverState) observe(sample time.Duration) {
	if sample = max(sample, 1); st.usual == 0 {
		st.usual = sample
	}
	st.usual += time.Duration(usualWeight * float64(sample-st.usual))
}

// Result tells how an attempt ended.
type Result int

// The results.
const (
	// Succeeded is a complete response that reports no failure of the server.
	Succeeded Result = iota
	// Refused is a rejection before the request ran.
	Refused
	// Errored is a failure that the server itself reported.
	Errored
	// Incomplete is a response that is missing or truncated.
	Incomplete
	// Silent is a response that did not begin in time.
	Silent
	// Canceled is an attempt that this node ended, which says nothing about the server.
	Canceled
)

// End records the end of an attempt and returns the resulting change of the server's health.
func (fl *Fleet) End(now time.Time, id units.VMID, ti Ticket, res Result) retry.Change {
	st := fl.byID[id]
	if st == nil {
		return retry.Unchanged
	}
	if di, ok := st.awaitingFirst[ti]; ok {
		delete(st.awaitingFirst, ti)
		st.ownLoad.PendingPrefill -= di.uncached
	}
	st.ownLoad.Running = max(0, st.ownLoad.Running-1)
	if res == Silent && !fl.answered {
		res = Canceled // All servers may be slow.
	}
	switch res {
	case Succeeded:
		fl.responded(now, st)
		st.errorRate *= 1 - errorWeight
		return st.health.Succeeded()
	case Errored:
		fl.responded(now, st)
		st.errorRate += (1 - st.errorRate) * errorWeight
	case Incomplete, Silent:
		st.errorRate += (1 - st.errorRate) * errorWeight
		return st.health.Failed(now)
	case Refused:
		fl.responded(now, st)
	case Canceled:
	}
	return retry.Unchanged
}

// Usable returns the number of servers that get new requests.
func (fl *Fleet) Usable(now time.Time) int {
	count := 0
	for _, st := range fl.servers {
		if fl.usable(now, st) {
			count++
		}
	}
	return count
}

// Forgive forgets the failures of all servers, which were not theirs.
func (fl *Fleet) Forgive(now time.Time) {
	for _, st := range fl.servers {
		st.health, st.errorRate, st.avoidUntil, st.lastResponse = retry.Health{}, 0, time.Time{}, now
	}
}

// Open returns the servers that don't drain. Callers must not change the slice.
func (fl *Fleet) Open() []units.VMID { return fl.open }

// Versions returns the software versions of all servers. Callers must not change the slice.
func (fl *Fleet) Versions() []units.SoftwareVersion { return fl.versions }

// Server returns a server, nil if it is not in the list.
func (fl *Fleet) Server(id units.VMID) *server.Server {
	if st := fl.byID[id]; st != nil {
		return &st.Server
	}
	return nil
}

// Waiting returns the number of servers at which a request has waited for the beginning of its
// response for longer than du, besides the time that its prompt takes.
func (fl *Fleet) Waiting(now time.Time, du time.Duration) int {
	count := 0
	for _, st := range fl.servers {
		for _, di := range st.awaitingFirst {
			if now.Sub(di.at) > du+fl.prefillTime(di.uncached, 2) {
				count++
				break
			}
		}
	}
	return count
}

// List returns the servers as they were set, without their load.
func (fl *Fleet) List() []*server.Server {
	out := make([]*server.Server, 0, len(fl.servers))
	for _, st := range fl.servers {
		out = append(out, &st.Server)
	}
	return out
}

// PrefillRate returns the smoothed rate at which one server computes prompts.
func (fl *Fleet) PrefillRate() units.TokensPerSecond { return fl.prefillRate }

// Servers returns all servers with the load of all nodes at each.
func (fl *Fleet) Servers(now time.Time) []ServerLoad {
	out := make([]ServerLoad, 0, len(fl.servers))
	for _, st := range fl.servers {
		lo, _ := fl.totalLoad(now, st)
		out = append(out, ServerLoad{Server: st.Server, Load: lo, Usable: fl.usable(now, st)})
	}
	return out
}

// ServerLoad is a server with the load of all nodes there.
type ServerLoad struct {
	server.Server
	Load
	Usable bool
}
