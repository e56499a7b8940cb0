package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/units"
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
	// exchangeEvery is the time between two rounds of exchanges. Both sides learn from
	// one, so a node hears of each peer twice in this time.
	exchangeEvery = 300 * time.Millisecond
	// roundPeers bounds the peers asked in a round, so that the cost of a node does not
	// grow with the fleet.
	roundPeers = 8
	// slowEvery is the time between two questions to a peer that does not answer.
	slowEvery = 2 * time.Second
	// lostTime is the silence after which a peer counts as lost, forgetTime that after
	// which it is forgotten.
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
	for pause.For(ctx, exchangeEvery) {
		for _, addr := range no.round() {
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
func (no *Node) round() []string {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	var out []string
	for id, pe := range no.peers {
		silence := now.Sub(pe.heard)
		switch {
		case silence > forgetTime:
			delete(no.peers, id)
			continue
		case silence > lostTime && !pe.lost:
			pe.lost = true
			no.log.Warn("peer_lost", zap.String("peer", string(id)), zap.Duration("silence", silence))
		}
		if pe.lost && now.Sub(pe.tried) < slowEvery {
			continue
		}
		out = append(out, pe.address)
	}
	sort.Strings(out)
	rand.Shuffle(len(out), func(one, two int) { out[one], out[two] = out[two], out[one] })
	return out[:min(len(out), roundPeers)]
}

// ask makes one exchange with the peer at addr.
func (no *Node) ask(ctx context.Context, client *pulse.Client, addr string) {
	no.mu.Lock()
	for _, pe := range no.peers {
		if pe.address == addr {
			pe.tried = time.Now()
		}
	}
	no.mu.Unlock()
	qu := &pulse.Question{Report: no.report(), WantServers: no.isBehind()}
	re, err := client.Exchange(ctx, addr, qu)
	if err != nil {
		no.log.Debug("exchange_failed", zap.String("peer", addr), zap.Error(err))
		return
	}
	no.takeReport(&re.Report)
	if len(re.RawConfig) > 0 {
		no.takeConfig(re.RawConfig, "peer "+string(re.Node))
	}
	if qu.WantServers {
		no.takeServers(re, qu.Servers)
	}
}

// isBehind tells whether a peer has read more of the list of servers for a while.
func (no *Node) isBehind() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.servers.Next() >= no.ahead {
		no.behind = time.Time{}
		return false
	}
	if no.behind.IsZero() {
		no.behind = time.Now()
	}
	return time.Since(no.behind) >= aheadTime
}

// takeServers folds the records that a peer has read from the store.
func (no *Node) takeServers(re *pulse.Reply, from units.Offset) {
	if re.Servers <= from {
		return
	}
	no.mu.Lock()
	now := time.Now()
	changed := false
	for _, it := range re.Records {
		changed = no.foldServer(now, it) || changed
	}
	no.servers.Skip(re.Servers)
	no.mu.Unlock()
	no.listed.Store(true)
	if changed {
		no.publishServers("peer " + string(re.Node))
	}
}

// report says what this node knows of itself.
func (no *Node) report() pulse.Report {
	loads, sent, admitted := no.relay.Own(time.Now())
	out := pulse.Report{
		Peer: pulse.Peer{Node: no.set.VM.ID, Address: no.set.Listen.Peers},
		Life: no.life, Wall: time.Now().UnixNano(), Holding: no.holding.Load(), StoreTurns: no.contact.count(), Loads: loads, Sent: sent, Admitted: admitted,
	}
	if fo := no.config.Load(); fo != nil {
		out.Config = fo.Version
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	out.Servers = no.servers.Next()
	out.Began = no.book.Source(no.source())
	out.Offered = make(map[units.TargetID]pulse.Work, len(no.offered))
	for id, wo := range no.offered {
		out.Offered[id] = wo
	}
	for id, pe := range no.peers {
		if !pe.lost {
			out.Peers = append(out.Peers, pulse.Peer{Node: id, Address: pe.address})
		}
	}
	return out
}

// takeReport takes in what a peer says of itself.
func (no *Node) takeReport(re *pulse.Report) {
	now := time.Now()
	no.relay.Peer(now, re.Node, re.Life, re.Loads, re.Sent, re.Admitted)
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
		no.duty.heard = now
	}
	no.clock.Peer(re.Node, no.steady(), time.Unix(0, re.Wall))
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
	if qu.WantServers {
		out.Records = no.recordsSince(qu.Servers)
	}
	return out
}

// recordsSince returns the records of servers from an offset on, in order.
func (no *Node) recordsSince(off units.Offset) []stream.Keyed {
	no.mu.Lock()
	defer no.mu.Unlock()
	var out []stream.Keyed
	for _, it := range no.records {
		if it.Offset >= off {
			out = append(out, it)
		}
	}
	sort.Slice(out, func(one, two int) bool { return out[one].Offset < out[two].Offset })
	return out
}
