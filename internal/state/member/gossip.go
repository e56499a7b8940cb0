package member

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	"lycheepick/internal/rule/units"
)

// Config holds the timing and the size limits of the gossip protocol.
type Config struct {
	// Period is the interval at which a node begins an exchange.
	Period time.Duration
	// SuspectTimeout is how long a suspect node may take to refute the suspicion.
	SuspectTimeout time.Duration
	// FullSyncInterval is the minimum time between two full syncs that a node starts, which
	// are needed if views still differ after the time that changes take to spread.
	FullSyncInterval time.Duration
	// GoneRetention is how long a member that is gone is kept in the view.
	GoneRetention time.Duration
	// Fanout is the number of peers to which urgent changes are sent at once.
	Fanout int
	// MaxMessageMembers bounds the number of changed members in one message.
	MaxMessageMembers int
	// GoneProbePeriods is the number of periods between two probes of nodes that are gone.
	// They let the two sides of a network partition merge once it heals.
	GoneProbePeriods int
	// IndirectProbes is the number of peers asked to probe a node that did not answer.
	IndirectProbes int
}

// DefaultConfig returns the configuration of the daemon.
func DefaultConfig() Config {
	return Config{
		Period: time.Second, SuspectTimeout: 6 * time.Second, FullSyncInterval: time.Minute, GoneRetention: 2 * time.Hour,
		Fanout: 3, MaxMessageMembers: 24, IndirectProbes: 3, GoneProbePeriods: 10,
	}
}

// Message is one message of a gossip exchange, in either direction.
type Message struct {
	From    units.VMID
	Members []Member
	// Digest is the digest of the sender's view when the message was built.
	Digest uint64
	// Full is set if Members is the sender's whole view.
	Full bool
}

// Outgoing is a message to send to a node. One without members is a plain probe.
type Outgoing struct {
	To      Member
	Message Message
}

// Gossip spreads changes of a view and detects nodes that do not answer. It is not
// safe for concurrent use.
type Gossip struct {
	cfg  Config
	self units.VMID
	view *View
	rnd  *rand.Rand
	// sendCounts holds how often each recent change was sent.
	sendCounts map[units.VMID]int
	// urgent holds the urgent changes that have not been sent yet.
	urgent map[units.VMID]bool
	// silentSince is when a member became suspect or gone, or stopped answering while leaving.
	silentSince  map[units.VMID]time.Time
	probeOrder   []units.VMID
	lastFullSync time.Time
	ticks        int
}

// NewGossip returns the protocol state of the node self, whose view holds only itself.
func NewGossip(cfg Config, self Member, rnd *rand.Rand) *Gossip {
	gs := &Gossip{
		cfg: cfg, self: self.VM, view: NewView(), rnd: rnd,
		sendCounts: map[units.VMID]int{}, urgent: map[units.VMID]bool{}, silentSince: map[units.VMID]time.Time{},
	}
	gs.view.Apply(self)
	gs.sendCounts[self.VM] = 0
	return gs
}

// View returns the node's view. Callers must not change it.
func (gs *Gossip) View() *View { return gs.view }

// Self returns the node's own record.
func (gs *Gossip) Self() Member {
	me, _ := gs.view.Get(gs.self)
	return me
}

// UpdateSelf applies change to the node's own record and increments its revision. The change
// spreads with the next exchanges.
func (gs *Gossip) UpdateSelf(change func(*Member)) {
	me := gs.Self()
	change(&me)
	me.Revision++
	gs.Observe(me, time.Time{})
}

// Announce does the same as UpdateSelf and marks the change as urgent, so that the next call
// of UrgentMessages includes it.
func (gs *Gossip) Announce(change func(*Member)) {
	gs.UpdateSelf(change)
	gs.urgent[gs.self] = true
}

// Observe merges a record from a peer or from this node's own sources and reports whether
// the view changed.
func (gs *Gossip) Observe(in Member, now time.Time) bool {
	old, known := gs.view.Get(in.VM)
	if !gs.view.Apply(in) {
		return false
	}
	cur, _ := gs.view.Get(in.VM)
	gs.sendCounts[in.VM] = 0
	if isUrgent(old, known, cur) {
		gs.urgent[in.VM] = true
	}
	if cur.State == Suspect || cur.State == Gone {
		gs.silentSince[in.VM] = now
	} else {
		delete(gs.silentSince, in.VM)
	}
	if cur.VM == gs.self && cur.State == Suspect {
		gs.UpdateSelf(func(me *Member) { me.State = Alive })
	}
	return true
}

// isUrgent reports whether a change must be sent at once: a member that leaves or is gone, a
// suspicion, or its refutation, which has to spread within SuspectTimeout.
func isUrgent(old Member, known bool, cur Member) bool {
	if !known || old.Incarnation != cur.Incarnation {
		return cur.State != Alive
	}
	return old.State != cur.State
}

// Tick begins a period. It drops members that were gone for GoneRetention and returns one
// exchange: with a suspect whose timeout has passed, or every GoneProbePeriods with a node
// that is gone, or else with the next node of the probe order. ok is false if there is no
// other node.
func (gs *Gossip) Tick(now time.Time) (out Outgoing, ok bool) {
	gs.ticks++
	to, ok := gs.expire(now)
	if !ok {
		to, ok = gs.nextGone()
	}
	if !ok {
		to, ok = gs.nextPeer()
	}
	if !ok {
		return Outgoing{}, false
	}
	return Outgoing{To: to, Message: gs.message(to.VM, false)}, true
}

// expire drops members that were gone for GoneRetention and returns a suspect or leaving
// member whose SuspectTimeout has passed. It is probed once more before it is marked as gone,
// since this node may have missed its refutation.
func (gs *Gossip) expire(now time.Time) (suspect Member, ok bool) {
	for id, at := range gs.silentSince {
		me, known := gs.view.Get(id)
		switch {
		case !known:
			delete(gs.silentSince, id)
		case (me.State == Suspect || me.State == Leaving) && now.Sub(at) >= gs.cfg.SuspectTimeout:
			if !ok || me.VM < suspect.VM { // Independent of the map's iteration order.
				suspect, ok = me, true
			}
		case me.State == Gone && now.Sub(at) >= gs.cfg.GoneRetention:
			gs.view.Forget(id)
			delete(gs.silentSince, id)
			delete(gs.sendCounts, id)
		}
	}
	return suspect, ok
}

// UrgentMessages returns messages with the urgent changes for Fanout random peers, and marks
// the changes as sent. It returns nil if there are none.
func (gs *Gossip) UrgentMessages() []Outgoing {
	if len(gs.urgent) == 0 {
		return nil
	}
	clear(gs.urgent)
	var out []Outgoing
	for _, to := range gs.Sample(gs.cfg.Fanout, "") {
		out = append(out, Outgoing{To: to, Message: gs.message(to.VM, false)})
	}
	return out
}

// Receive merges a message that a peer sent and returns the reply. The reply holds the whole
// view if the message does, or if the digests differ and a full sync is due.
func (gs *Gossip) Receive(msg Message, now time.Time) Message {
	gs.merge(msg, now)
	full := msg.Full || gs.fullSyncDue(msg, now)
	return gs.message(msg.From, full)
}

// HandleReply merges the reply to a message that this node sent to a member. ok is true if
// another message must be sent: a full sync, or its own record to a peer that is marked as gone.
func (gs *Gossip) HandleReply(to Member, msg Message, now time.Time) (out Outgoing, ok bool) {
	gs.merge(msg, now)
	if me, known := gs.view.Get(msg.From); known && me.State == Leaving {
		delete(gs.silentSince, msg.From) // The leaving node still answers.
	}
	if !msg.Full && gs.fullSyncDue(msg, now) {
		return Outgoing{To: to, Message: gs.message(to.VM, true)}, true
	}
	if me, known := gs.view.Get(msg.From); known && me.State == Gone && to.VM != msg.From {
		// A seed, known only by its address, turned out to be a node that is marked as
		// gone. It alone can refute that.
		to.VM = msg.From
		return Outgoing{To: to, Message: gs.message(msg.From, false)}, true
	}
	return Outgoing{}, false
}

// fullSyncDue reports whether the views differ and the last full sync was at least
// FullSyncInterval ago.
func (gs *Gossip) fullSyncDue(msg Message, now time.Time) bool {
	if msg.Digest == gs.view.Digest() || now.Sub(gs.lastFullSync) < gs.cfg.FullSyncInterval {
		return false
	}
	gs.lastFullSync = now
	return true
}

func (gs *Gossip) merge(msg Message, now time.Time) {
	for _, in := range msg.Members {
		if in.VM == gs.self {
			gs.mergeSelf(in)
			continue
		}
		gs.Observe(in, now)
	}
}

// mergeSelf handles a peer's record of this node: it refutes a suspicion, takes over an
// announced reclaim of its VM, and starts a new incarnation if it was marked as gone.
func (gs *Gossip) mergeSelf(in Member) {
	me := gs.Self()
	if in != me {
		gs.sendCounts[gs.self] = 0 // The sender has an outdated record of this node.
	}
	if in.Incarnation > me.Incarnation && in.VMIncarnation() == me.VMIncarnation() {
		// An earlier process on this VM had a larger incarnation, because its clock was
		// ahead or because it was marked as gone and incremented it. A later incarnation
		// of the VM is another node.
		gs.UpdateSelf(func(cur *Member) { cur.Incarnation = in.Incarnation + 1; cur.State = Alive })
		return
	}
	if in.Incarnation != me.Incarnation {
		return
	}
	switch {
	case in.State == Suspect && in.Revision >= me.Revision:
		gs.UpdateSelf(func(cur *Member) { cur.Revision = in.Revision })
	case in.State == Leaving:
		gs.Observe(in, time.Time{})
	case in.State == Gone:
		// Gone is sticky, so the node needs a new incarnation to be alive again.
		gs.UpdateSelf(func(cur *Member) { cur.Incarnation++; cur.State = Alive })
	}
}

// ProbeFailed reports that a node answered neither this node nor the peers that probed it
// indirectly. An alive node becomes suspect; one that has not answered for SuspectTimeout
// becomes gone.
func (gs *Gossip) ProbeFailed(id units.VMID, now time.Time) {
	me, ok := gs.view.Get(id)
	if !ok || id == gs.self {
		return
	}
	at, silent := gs.silentSince[id]
	switch {
	case silent && me.State != Gone && now.Sub(at) >= gs.cfg.SuspectTimeout:
		me.State = Gone
		gs.Observe(me, now)
	case me.State == Alive:
		me.State = Suspect
		gs.Observe(me, now)
	case me.State == Leaving && !silent:
		gs.silentSince[id] = now // It announced that it leaves and may have exited by now.
	}
}

// message builds a message of the changes that come first in changesToSend, or of the whole
// view if full is set. If the receiver isn't alive in this view, its own record goes first,
// since only the receiver can refute it.
func (gs *Gossip) message(to units.VMID, full bool) Message {
	msg := Message{From: gs.self, Digest: gs.view.Digest(), Full: full}
	if full {
		msg.Members = gs.view.List()
		return msg
	}
	if me, ok := gs.view.Get(to); ok && me.State != Alive {
		msg.Members = append(msg.Members, me)
	}
	limit := gs.sendLimit()
	for _, id := range gs.changesToSend() {
		if len(msg.Members) >= gs.cfg.MaxMessageMembers {
			break
		}
		me, ok := gs.view.Get(id)
		if !ok {
			delete(gs.sendCounts, id)
			continue
		}
		msg.Members = append(msg.Members, me)
		gs.sendCounts[id]++
		if gs.sendCounts[id] >= limit {
			delete(gs.sendCounts, id)
		}
	}
	return msg
}

// changesToSend returns the ids of the members with changes to send: those that are not alive
// first, because peers act on them, and then in order of the number of sends.
func (gs *Gossip) changesToSend() []units.VMID {
	ids := make([]units.VMID, 0, len(gs.sendCounts))
	for id := range gs.sendCounts {
		ids = append(ids, id)
	}
	alive := make(map[units.VMID]bool, len(ids))
	for _, id := range ids {
		alive[id] = gs.view.members[id].State == Alive
	}
	sort.Slice(ids, func(one, two int) bool {
		if alive[ids[one]] != alive[ids[two]] {
			return alive[ids[two]]
		}
		if gs.sendCounts[ids[one]] != gs.sendCounts[ids[two]] {
			return gs.sendCounts[ids[one]] < gs.sendCounts[ids[two]]
		}
		return ids[one] < ids[two]
	})
	return ids
}

// sendLimit returns how often a node sends a change: a multiple of the logarithm of the
// number of members, so that it reaches all nodes with high probability.
func (gs *Gossip) sendLimit() int {
	const factor = 3
	return factor * bits.Len(uint(gs.view.Len()))
}

// nextGone returns a random node that is gone, in every GoneProbePeriods-th period only.
func (gs *Gossip) nextGone() (Member, bool) {
	if gs.ticks%gs.cfg.GoneProbePeriods != 0 {
		return Member{}, false
	}
	var gone []Member
	for _, me := range gs.view.List() {
		if me.Role == RoleNode && me.State == Gone && me.VM != gs.self {
			gone = append(gone, me)
		}
	}
	if len(gone) == 0 {
		return Member{}, false
	}
	return gone[gs.rnd.IntN(len(gone))], true
}

// nextPeer returns the next node of a shuffled round, in which each node is probed once.
func (gs *Gossip) nextPeer() (Member, bool) {
	for try := 0; try < 2; try++ {
		for len(gs.probeOrder) > 0 {
			id := gs.probeOrder[0]
			gs.probeOrder = gs.probeOrder[1:]
			if me, ok := gs.view.Get(id); ok && gs.isPeer(&me) {
				return me, true
			}
		}
		gs.refillProbeOrder()
	}
	return Member{}, false
}

func (gs *Gossip) refillProbeOrder() {
	for _, me := range gs.view.List() {
		if gs.isPeer(&me) {
			gs.probeOrder = append(gs.probeOrder, me.VM)
		}
	}
	gs.rnd.Shuffle(len(gs.probeOrder), func(one, two int) {
		gs.probeOrder[one], gs.probeOrder[two] = gs.probeOrder[two], gs.probeOrder[one]
	})
}

func (gs *Gossip) isPeer(me *Member) bool {
	return me.Role == RoleNode && me.State != Gone && me.VM != gs.self
}

// Sample returns up to num random peers other than except, without suspect and gone ones.
func (gs *Gossip) Sample(num int, except units.VMID) []Member {
	var peers []Member
	for _, me := range gs.view.List() {
		if gs.isPeer(&me) && me.VM != except && me.State != Suspect {
			peers = append(peers, me)
		}
	}
	gs.rnd.Shuffle(len(peers), func(one, two int) { peers[one], peers[two] = peers[two], peers[one] })
	return peers[:min(num, len(peers))]
}

// IndirectProbers returns up to IndirectProbes random peers to ask for a probe of id.
func (gs *Gossip) IndirectProbers(id units.VMID) []Member {
	return gs.Sample(gs.cfg.IndirectProbes, id)
}
