package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/edge/relay"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

// peer is a node that this one exchanges reports with.
type peer struct {
	address string
	// heard is when the peer last answered or asked; tried when it was last asked.
	heard, tried time.Time
	lost         bool
	// life and turns are what the peer last told of its start and of its contact with
	// the store.
	life, turns int64
}

// heardWork is what a peer says of the work offered to it.
type heardWork struct {
	life    int64
	offered map[units.TargetID]pulse.Work
}

const (
	// nodesStream is where nodes leave their addresses for those that start later.
	nodesStream stream.Name = "keyed.nodes"
	// toldPeers bounds the peers that a report names, chosen by chance: a node that starts
	// finds the others in the store, and they find it by its questions.
	toldPeers = 8
	// slowEvery is the time between two questions to a peer that does not answer.
	slowEvery = 2 * time.Second
	// lostTime is the silence after which a peer of a small fleet counts as lost, forgetTime
	// that after which it is forgotten.
	lostTime   = 2500 * time.Millisecond
	forgetTime = 40 * time.Second
	// aheadTime is how long a peer may have read more of the list of servers than this
	// node before it is asked for the rest: the store then serves it and not us.
	aheadTime = 250 * time.Millisecond
	// joinRetry is the pause between two tries to register in the store.
	joinRetry = time.Second
)

// exchange registers the node and exchanges reports with its peers.
func (no *Node) exchange(ctx context.Context) {
	client := pulse.NewClient()
	defer client.Close()
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { no.join(ctx) })
	for _, addr := range no.set.Seeds {
		if addr != no.set.Listen.Peers {
			wg.Go(func() { no.ask(ctx, client, addr) })
		}
	}
	for number := uint64(0); pause.For(ctx, watch.RoundInterval); number++ {
		for _, addr := range no.round(number) {
			wg.Go(func() { no.ask(ctx, client, addr) })
		}
	}
}

// join leaves this node's address in the store and reads those of the others.
func (no *Node) join(ctx context.Context) {
	own, err := json.Marshal(pulse.Peer{Node: no.set.VM.ID, Address: no.set.Listen.Peers})
	if err != nil {
		no.log.Error("address_not_encoded", zap.Error(err))
		return
	}
	for {
		_, err := no.pf.Store.Append(ctx, nodesStream, stream.Anywhere, no.pf.Join(string(no.set.VM.ID), own))
		var items []stream.Keyed
		if err == nil {
			items, _, err = no.pf.Store.Newest(ctx, nodesStream)
		}
		if err == nil {
			no.joined(items)
			return
		}
		no.log.Warn("registration_failed", zap.Error(err))
		if !pause.For(ctx, joinRetry) {
			return
		}
	}
}

func (no *Node) joined(items []stream.Keyed) {
	no.mu.Lock()
	defer no.mu.Unlock()
	for _, it := range items {
		var pe pulse.Peer
		if err := json.Unmarshal(it.Value, &pe); err != nil {
			no.log.Warn("peer_entry_unreadable", zap.String("key", it.Key), zap.Error(err))
			continue
		}
		no.meet(pe)
	}
}

// meet adds a peer; the caller holds the lock.
func (no *Node) meet(pe pulse.Peer) *peer {
	if pe.Node == "" || pe.Node == no.set.VM.ID || pe.Address == "" {
		return nil
	}
	have := no.peers[pe.Node]
	if have == nil {
		have = &peer{address: pe.Address, heard: time.Now()}
		no.peers[pe.Node] = have
		no.relay.Expect(have.heard, pe.Node)
	}
	return have
}

// round returns the addresses to ask now: all of a small fleet, some of a large one.
func (no *Node) round(number uint64) []string {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	var alive, due []units.VMID
	limit := watch.SilenceTimeout(lostTime, len(no.peers))
	for id, pe := range no.peers {
		silence := now.Sub(pe.heard)
		switch {
		case silence > forgetTime:
			delete(no.peers, id)
			continue
		case silence > limit && !pe.lost:
			pe.lost = true
			no.log.Warn("peer_lost", zap.String("peer", string(id)), zap.Duration("silence", silence))
		}
		if !pe.lost {
			alive = append(alive, id)
		}
		if !pe.lost || now.Sub(pe.tried) >= slowEvery {
			due = append(due, id)
		}
	}
	no.watch.SetPeers(alive)
	var out []string
	for _, id := range no.watch.SelectPeers(number, no.duty.holder, due) {
		out = append(out, no.peers[id].address)
	}
	return out
}

// ask makes one exchange with the peer at addr.
func (no *Node) ask(ctx context.Context, client *pulse.Client, addr string) {
	asked := time.Now()
	id := no.tried(asked, addr)
	qu := &pulse.Question{Report: no.report(), WantServers: no.wantsServers(id)}
	re, err := client.Exchange(ctx, addr, qu)
	if err != nil {
		no.mu.Lock()
		no.watch.ReaderFailed(id)
		no.mu.Unlock()
		no.log.Debug("exchange_failed", zap.String("peer", addr), zap.Error(err))
		return
	}
	no.takeReport(&re.Report)
	if len(re.RawConfig) > 0 {
		no.takeConfig(re.RawConfig, "peer "+string(re.Node))
	}
	no.takeServers(re, asked)
}

// tried notes that a peer is asked, and returns which.
func (no *Node) tried(now time.Time, addr string) units.VMID {
	no.mu.Lock()
	defer no.mu.Unlock()
	for id, pe := range no.peers {
		if pe.address == addr {
			pe.tried = now
			return id
		}
	}
	return ""
}

// wantsServers tells whether a peer is asked for what is new of the servers: the reader
// that this node relies on always is, others once they have read more for a while.
func (no *Node) wantsServers(id units.VMID) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.listed.Load() && !no.watch.IsReader() && id == no.watch.Reader() {
		return true
	}
	if no.servers.Next() >= no.ahead {
		no.behind = time.Time{}
		return false
	}
	if no.behind.IsZero() {
		no.behind = time.Now()
	}
	return time.Since(no.behind) >= aheadTime
}

// takeServers folds what a peer, asked at a time, knows of the servers.
func (no *Node) takeServers(re *pulse.Reply, asked time.Time) {
	no.mu.Lock()
	now := time.Now()
	agreed := asked.Add(-re.Agreed)
	whole := re.Whole || no.servers.Next() >= re.Servers
	if whole && now.Sub(agreed) < no.watch.Age(now) {
		no.servers.Served(agreed)
		if !no.watch.IsReader() {
			no.servers.HearBack(now, re.StoreBack)
		}
		no.watch.Synced(agreed)
	}
	changed := false
	listed := map[units.VMID]bool{}
	for _, it := range re.Records {
		changed = no.foldServer(now, it) || changed
		listed[units.VMID(it.Key)] = true
	}
	if re.Listing {
		changed = no.servers.Missing(now, listed) || changed
	}
	if re.Whole {
		no.servers.Skip(re.Servers)
		no.listed.Store(true)
	}
	no.mu.Unlock()
	if changed {
		no.publishServers("peer " + string(re.Node))
	}
}

// report says what this node knows of itself.
func (no *Node) report() pulse.Report {
	now := time.Now()
	wo := no.relay.Own(now)
	out := pulse.Report{
		Peer: pulse.Peer{Node: no.set.VM.ID, Address: no.set.Listen.Peers},
		Life: no.life, Wall: now.UnixNano(), Holding: no.holding.Load(), StoreTurns: no.contact.count(),
		Loads: wo.Loads, Sent: wo.Sent, Admitted: wo.Admitted, Heard: wo.Heard,
	}
	if fo := no.config.Load(); fo != nil {
		out.Config = fo.Version
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	out.Servers, out.Agreed = no.servers.Next(), no.watch.Age(now)
	out.StoreBack = no.servers.Back(now)
	out.Began = no.book.SourceCounts(no.source())
	out.Offered = make(map[units.TargetID]pulse.Work, len(no.offered))
	for id, of := range no.offered {
		out.Offered[id] = of
	}
	for id, pe := range no.peers {
		if len(out.Peers) == toldPeers { // The order of a map is by chance.
			break
		}
		if !pe.lost {
			out.Peers = append(out.Peers, pulse.Peer{Node: id, Address: pe.address})
		}
	}
	return out
}

// takeReport takes in what a peer says of itself.
func (no *Node) takeReport(re *pulse.Report) {
	now := time.Now()
	no.relay.Peer(now, re.Node, re.Life, relay.Work{Loads: re.Loads, Sent: re.Sent, Admitted: re.Admitted, Heard: re.Heard})
	no.mu.Lock()
	defer no.mu.Unlock()
	pe := no.meet(re.Peer)
	if pe == nil {
		return
	}
	if pe.lost {
		pe.lost = false
		no.log.Info("peer_back", zap.String("peer", string(re.Node)))
	}
	pe.heard, pe.address = now, re.Address
	if pe.life == re.Life && re.StoreTurns > pe.turns {
		no.contact.restart()
	}
	pe.life, pe.turns = re.Life, re.StoreTurns
	no.ahead = max(no.ahead, re.Servers)
	if re.Holding {
		no.duty.heard, no.duty.holder = now, re.Node
	}
	no.clock.SetPeer(re.Node, no.steady(), time.Unix(0, re.Wall))
	no.book.Merge(sourceOf(re.Node, re.Life), re.Began)
	no.heard[re.Node] = &heardWork{life: re.Life, offered: re.Offered}
	for _, other := range re.Peers {
		no.meet(other)
	}
}

// answer answers a peer's question.
func (no *Node) answer(qu *pulse.Question) *pulse.Reply {
	no.takeReport(&qu.Report)
	out := &pulse.Reply{Report: no.report()}
	if fo := no.config.Load(); fo != nil && fo.Version > qu.Config {
		out.RawConfig = fo.raw
	}
	if qu.WantServers && qu.Servers < out.Servers {
		no.mu.Lock()
		defer no.mu.Unlock()
		// The list may have gone on since the report was made.
		out.Servers = no.servers.Next()
		out.Records, out.Listing = no.records.since(qu.Servers)
		out.Whole = true
	}
	return out
}
