package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/bound"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

// peer is the state of a node that this one exchanges reports with.
type peer struct {
	address string
	// lastSeen is when the peer last sent a request or a reply, lastAsked when it was last
	// sent a request.
	lastSeen, lastAsked time.Time
	lost                bool
	// knownSince is when the first report of the peer's incarnation came.
	knownSince time.Time
	// incarnation is the peer's start, and storeTransitions how often it had lost or
	// regained the store, in its latest report.
	incarnation, storeTransitions int64
	// config is the version in force at the peer, from its latest report.
	config units.Version
	// forwards is set if the peer takes requests of other nodes, load is its number of requests
	// in progress, and unreached are the services whose servers it doesn't reach.
	forwards  bool
	load      int
	unreached map[units.TargetID]bool
}

// peerWork is the work offered to a peer since its start, from its latest report.
type peerWork struct {
	incarnation int64
	offered     map[units.TargetID]pulse.Demand
}

const (
	// nodesStream holds the addresses of all nodes, for nodes that start later.
	nodesStream stream.Name = "keyed.nodes"
	// maxReportedPeers bounds the random peers that a report names. A few are enough: a new
	// node finds the others in the store, and they learn of it by its requests.
	maxReportedPeers = 8
	// lostPeerPeriod is the interval between two requests to a lost peer.
	lostPeerPeriod = 2 * time.Second
	// lostTimeout is the silence after which a peer counts as lost in a small fleet;
	// watch.SilenceTimeout extends it for larger ones. After forgetTimeout a peer is deleted.
	lostTimeout   = 2500 * time.Millisecond
	forgetTimeout = 40 * time.Second
	// maxLag is how long this node may be behind a peer in the list of servers before it asks
	// peers for the rest: by then the store likely serves the peer and not this node.
	maxLag = 250 * time.Millisecond
	// exchangeLogRounds is the number of rounds between two log lines about exchanges.
	exchangeLogRounds = 10
	// registerRetryDelay is the pause between two attempts to register in the store.
	registerRetryDelay = time.Second
)

// exchangeStats counts this node's exchanges with its peers, for one log line in a while. calls are its own, served those
// that peers began, and brief the ones among both with or as a hub.
type exchangeStats struct {
	calls, failed, served, brief, configsSent, configsReceived, configsDeferred atomic.Int64
	lastError                                                                   atomic.Pointer[error]
	traffic                                                                     pulse.Traffic
}

// logExchanges logs what has been counted since the last call.
func (no *Node) logExchanges() {
	ex := &no.exchanges
	var err error
	if last := ex.lastError.Swap(nil); last != nil {
		err = *last
	}
	no.log.Info("exchanges", zap.Int64("calls", ex.calls.Swap(0)), zap.Int64("failed", ex.failed.Swap(0)),
		zap.Int64("served", ex.served.Swap(0)), zap.Int64("brief", ex.brief.Swap(0)),
		zap.Int64("configs_sent", ex.configsSent.Swap(0)), zap.Int64("configs_received", ex.configsReceived.Swap(0)),
		zap.Int64("configs_deferred", ex.configsDeferred.Swap(0)),
		zap.Int64("bytes_sent", ex.traffic.Sent.Swap(0)), zap.Int64("bytes_received", ex.traffic.Received.Swap(0)), zap.Error(err))
}

// peerCaller calls peers, as pulse.Client does.
type peerCaller interface {
	Exchange(ctx context.Context, addr string, rq *pulse.Request) (*pulse.Reply, error)
	AskPermits(ctx context.Context, addr string, rq *permit.Request) (*pulse.PermitReply, error)
	Origins(ctx context.Context, addr string, rq *pulse.OriginsRequest) (*pulse.OriginsReply, error)
	Forward(ctx context.Context, addr string) (*pulse.FrameStream, error)
	Close()
}

// exchangeLoop registers the node and exchanges reports with its peers until ctx ends.
func (no *Node) exchangeLoop(ctx context.Context) {
	client := no.peerClient
	defer client.Close()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { no.keepRegistered(ctx) })
	for _, addr := range no.settings.Seeds {
		if addr != no.settings.Listen.Peers {
			wg.Go(func() { no.exchangeWith(ctx, client, addr, pulse.ConfigNone) })
		}
	}
	for number := uint64(0); pause.For(ctx, watch.RoundInterval); number++ {
		no.origins.share(no.relay.ServicesWithVersions(time.Now()))
		if number%exchangeLogRounds == 0 {
			no.logExchanges()
		}
		for _, addr := range no.roundAddrs(number) {
			wg.Go(func() { no.exchangeWith(ctx, client, addr, pulse.ConfigNone) })
		}
	}
}

// keepRegistered registers the node, and again whenever the store has come back from an older copy, which may
// lack the address. It returns when ctx ends.
func (no *Node) keepRegistered(ctx context.Context) {
	for {
		no.register(ctx)
		select {
		case <-no.restored:
		case <-ctx.Done():
			return
		}
	}
}

// register writes this node's address to the store and reads those of the other nodes. It
// retries until it succeeds or ctx ends.
func (no *Node) register(ctx context.Context) {
	own, err := json.Marshal(pulse.Peer{Node: no.settings.VM.ID, Address: no.settings.Listen.Peers})
	if err != nil {
		no.log.Error("address_not_encoded", zap.Error(err))
		return
	}
	for {
		_, err := no.platform.Store.Append(ctx, nodesStream, stream.Unconditional, no.platform.EncodeRecord(string(no.settings.VM.ID), own))
		var list stream.Listing
		if err == nil {
			list, err = no.platform.Store.Newest(ctx, nodesStream, 0)
		}
		if err == nil {
			no.addPeers(list.Items)
			return
		}
		no.log.Warn("registration_failed", zap.Error(err))
		if !pause.For(ctx, registerRetryDelay) {
			return
		}
	}
}

func (no *Node) addPeers(items []stream.Keyed) {
	no.mu.Lock()
	defer no.mu.Unlock()
	for _, it := range items {
		var pe pulse.Peer
		err := bound.JSON(it.Value, bound.Record, &pe)
		if err == nil {
			err = bound.Address(pe.Address)
		}
		if err != nil {
			no.logUnreadable("peer_entry_unreadable", it.Key, err, zap.String("key", it.Key))
			continue
		}
		no.addPeer(pe)
	}
}

// addPeer returns the state of a peer and adds it if it is new. It returns nil for this node
// itself and for an incomplete entry. The caller holds mu.
func (no *Node) addPeer(pe pulse.Peer) *peer {
	if pe.Node == "" || pe.Node == no.settings.VM.ID || pe.Address == "" {
		return nil
	}
	have := no.peers[pe.Node]
	if have == nil {
		have = &peer{address: pe.Address, lastSeen: time.Now()}
		no.peers[pe.Node] = have
		no.relay.ExpectPeer(have.lastSeen, pe.Node)
		no.members.Add(have.lastSeen, pe.Node)
	}
	return have
}

// roundAddrs returns the addresses of the peers to exchange with in one round: all of a small
// fleet, a selection of a large one. It also updates which peers are lost, and who reads the store.
func (no *Node) roundAddrs(number uint64) []string {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	var alive, due []units.VMID
	limit := watch.SilenceTimeout(lostTimeout, len(no.peers))
	for id, pe := range no.peers {
		silence := now.Sub(pe.lastSeen)
		switch {
		case silence > forgetTimeout:
			delete(no.peers, id)
			no.members.Forget(id)
			continue
		case silence > limit && !pe.lost:
			pe.lost = true
			no.log.Warn("peer_lost", zap.String("peer", string(id)), zap.Duration("silence", silence))
		}
		if !pe.lost {
			alive = append(alive, id)
		}
		if !pe.lost || now.Sub(pe.lastAsked) >= lostPeerPeriod {
			due = append(due, id)
		}
	}
	no.watch.SetPeers(alive)
	no.watch.SetHurried(no.servers.SinceRecovery(now) > 0)
	var out []string
	for _, id := range append(no.watch.SelectPeers(number, no.leader.reportedBy, due), no.members.Suspects()...) {
		out = append(out, no.peers[id].address)
	}
	return out
}

// exchangeWith sends this node's report to the peer at addr and applies the reply. want tells
// whether the configuration is asked for.
func (no *Node) exchangeWith(ctx context.Context, client peerCaller, addr string, want pulse.ConfigRequest) {
	asked := time.Now()
	id, isHub := no.markAsked(asked, addr)
	no.exchanges.calls.Add(1)
	if isHub {
		no.exchanges.brief.Add(1)
	}
	rq := &pulse.Request{Report: no.report(isHub), Brief: isHub, WantServers: no.wantsServers(id), WantConfig: want, Crashes: no.relay.CrashSummary(asked)}
	re, err := client.Exchange(ctx, addr, rq)
	if err != nil {
		no.mu.Lock()
		no.watch.ReaderFailed(id)
		no.members.CallFailed(time.Now(), id)
		no.mu.Unlock()
		no.exchanges.failed.Add(1)
		no.exchanges.lastError.Store(&err)
		no.log.Debug("exchange_failed", zap.String("peer", addr), zap.Error(err))
		return
	}
	no.applyReport(&re.Report, asked)
	no.relay.ApplyCrashReport(time.Now(), re.Crashes)
	no.applyPeerConfig(re)
	no.notePeerConfig(&re.Report, asked)
	no.applyServers(re, asked)
}

// markAsked sets the time of the latest request to the peer at addr and returns its id, empty
// if the peer is not known, and whether it is a hub: the lease holder or the reader, which many nodes ask in each round.
func (no *Node) markAsked(now time.Time, addr string) (id units.VMID, isHub bool) {
	no.mu.Lock()
	defer no.mu.Unlock()
	for id, pe := range no.peers {
		if pe.address == addr {
			pe.lastAsked = now
			return id, id == no.leader.reportedBy || id == no.watch.Reader()
		}
	}
	return "", false
}

// wantsServers reports whether to ask a peer for changes of the list of servers. The reader
// on which this node relies is always asked, other peers once this node has been behind for
// maxLag.
func (no *Node) wantsServers(id units.VMID) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.serversLoaded.Load() && id != "" && id == no.watch.Reader() {
		return true
	}
	if !no.isBehind() {
		no.behindSince = time.Time{}
		return false
	}
	if no.behindSince.IsZero() {
		no.behindSince = time.Now()
	}
	return time.Since(no.behindSince) >= maxLag
}

// isBehind reports whether a peer's list of servers is later than this node's. The caller
// holds mu.
func (no *Node) isBehind() bool {
	if no.serversEra != no.maxPeerEra {
		return no.serversEra < no.maxPeerEra
	}
	return no.servers.NextOffset() < no.maxPeerOffset
}

// notePeerServers takes note of how far a peer has read the list of servers. The caller holds
// mu.
func (no *Node) notePeerServers(re *pulse.Report) {
	if re.StoreEra > no.maxPeerEra {
		no.maxPeerEra, no.maxPeerOffset = re.StoreEra, 0
	}
	if re.StoreEra == no.maxPeerEra {
		no.maxPeerOffset = max(no.maxPeerOffset, re.Servers)
	}
}

// servedSince returns a time from which on the list of a peer has matched the store without a gap, up to
// synced. Nodes up to version 0.4 don't report it: they count as served since they are known.
func (pe *peer) servedSince(re *pulse.Report, synced time.Time) time.Time {
	if from := synced.Add(re.ServersAge - re.ListSteady); re.ListSteady > 0 && from.After(pe.knownSince) {
		return from
	}
	return pe.knownSince
}

// applyServers folds the server records of a reply. asked is when the request was sent.
func (no *Node) applyServers(re *pulse.Reply, asked time.Time) {
	no.mu.Lock()
	now := time.Now()
	if re.StoreEra < no.serversEra || (re.StoreEra > no.serversEra && !re.Snapshot) {
		no.mu.Unlock()
		return // Offsets of another era can't be compared with this node's.
	}
	no.enterEra(now, re.StoreEra, "peer "+string(re.Node))
	synced := asked.Add(-re.ServersAge)
	changed := false
	hold := time.Duration(0) // The peer has read the removals without an outage, whatever this node saw.
	if pe := no.peers[re.Node]; pe != nil && re.SinceStoreOutage == 0 {
		from := pe.servedSince(&re.Report, synced)
		if !re.LostStore() {
			changed = no.servers.PeerServed(now, from, synced)
		}
		no.servers.PeerReached(now, synced)
		hold = no.servers.PeerGrace(now, from)
	}
	isCertain := re.Verdicts && hold == 0
	since := no.watch.SyncedAt(watch.Servers)
	complete := re.Complete || no.servers.NextOffset() >= re.Servers
	if complete && now.Sub(synced) < no.watch.Age(watch.Servers, now) {
		no.servers.NotePeerRecovery(now, re.SinceStoreOutage)
		no.setSynced(synced)
	}
	if re.SinceStoreOutage > 0 {
		hold = no.servers.GraceLeft(now)
	}
	grace := func(id units.VMID) time.Duration {
		if isCertain && !slices.Contains(re.HeldBack, id) { // The peer is certain that the server has left.
			return 0
		}
		return hold
	}
	listed, removals := map[units.VMID]bool{}, 0
	for _, it := range re.Records {
		changed = no.foldServer(now, since, it, "peer "+string(re.Node), grace(units.VMID(it.Key))) || changed
		no.records.noteChange(it)
		listed[units.VMID(it.Key)] = true
		if len(it.Value) == 0 {
			removals++
		}
	}
	if re.Snapshot {
		changed = no.servers.Reconcile(now, listed, re.Servers, grace) || changed
		no.records.reconcile(listed, re.Servers)
	}
	if len(re.Records) > 0 || re.Snapshot {
		no.log.Info("servers_received", zap.String("peer", string(re.Node)), zap.Int64("from", int64(no.servers.NextOffset())),
			zap.Int64("to", int64(re.Servers)), zap.Int("records", len(re.Records)), zap.Int("removals", removals), zap.Bool("listing", re.Snapshot))
	}
	if re.Complete {
		no.servers.SkipTo(re.Servers)
		no.serversLoaded.Store(true)
	}
	no.mu.Unlock()
	if changed {
		no.publishServers("peer " + string(re.Node))
	}
}

// Exchange implements pulse.Handler. It applies a peer's report and returns this node's, with the
// configuration and the server records that the peer lacks.
func (no *Node) Exchange(rq *pulse.Request) *pulse.Reply {
	no.exchanges.served.Add(1)
	if rq.Brief {
		no.exchanges.brief.Add(1)
	}
	no.applyReport(&rq.Report, time.Now())
	out := &pulse.Reply{Report: no.report(rq.Brief), Crashes: no.relay.CrashReport(time.Now(), rq.Crashes)}
	if fo := no.config.Load(); fo.version() > rq.Config {
		no.addConfig(out, fo, rq.WantConfig)
	}
	if rq.WantServers && (rq.StoreEra < out.StoreEra || rq.StoreEra == out.StoreEra && rq.Servers < out.Servers) {
		no.addServers(out, rq)
	}
	return out
}

// addServers adds the server records that a peer lacks to a reply: all of them if it has those of
// an earlier era of the store.
func (no *Node) addServers(out *pulse.Reply, rq *pulse.Request) {
	no.mu.Lock()
	defer no.mu.Unlock()
	// The list may have advanced since the report was built.
	out.Servers, out.StoreEra, out.Complete = no.servers.NextOffset(), no.serversEra, true
	out.Verdicts, out.HeldBack = true, no.servers.HeldBackIDs()
	if rq.StoreEra < no.serversEra {
		out.Records, out.Snapshot = no.records.all(), true
		return
	}
	out.Records, out.Snapshot = no.records.since(rq.Servers)
}
