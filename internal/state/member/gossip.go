package member

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	"lycheepick/internal/rule/units"
)

// Config holds the timing and the sizes of the gossip.
type Config struct {
	// Period is the time between two exchanges that a node begins.
	Period time.Duration
	// SuspectFor is how long a suspect node has to refute before it is gone.
	SuspectFor time.Duration
	// FullEvery bounds how often a node sends its whole view.
	FullEvery time.Duration
	// KeepGone is how long a member that is gone is remembered.
	KeepGone time.Duration
	// Fanout is the number of peers that urgent changes go to at once.
	Fanout int
	// MessageMembers bounds the changed members in one message.
	MessageMembers int
	// RetryGone is the number of periods between two messages to a node that is gone,
	// which find the other side again after a cut.
	RetryGone int
	// Indirect is the number of peers asked to probe a node that did not answer.
	Indirect int
}

// DefaultConfig returns the values that the daemon runs with.
func DefaultConfig() Config {
	return Config{
		Period: time.Second, SuspectFor: 6 * time.Second, FullEvery: time.Minute, KeepGone: 2 * time.Hour,
		Fanout: 3, MessageMembers: 24, Indirect: 3, RetryGone: 10,
	}
}

// Message is what two nodes exchange.
type Message struct {
	From    units.VMID
	Members []Member
	// Digest is the sender's digest before the exchange.
	Digest uint64
	// Full marks a message that holds the sender's whole view.
	Full bool
}

// Plan is a message to send, or a probe by a message without changes.
type Plan struct {
	To      Member
	Message Message
}

// Gossip spreads changes of a view and finds nodes that do not answer. It is not
// safe for concurrent use.
type Gossip struct {
	cfg  Config
	self units.VMID
	view *View
	rnd  *rand.Rand
	// sends counts how often each recent change was sent.
	sends map[units.VMID]int
	// urgent holds the changes that have not been fanned out yet.
	urgent   map[units.VMID]bool
	since    map[units.VMID]time.Time // When a member became suspect or gone.
	ring     []units.VMID
	lastFull time.Time
	ticks    int
}

// NewGossip returns the gossip of the node self.
func NewGossip(cfg Config, self Member, rnd *rand.Rand) *Gossip {
	gs := &Gossip{
		cfg: cfg, self: self.VM, view: NewView(), rnd: rnd,
		sends: map[units.VMID]int{}, urgent: map[units.VMID]bool{}, since: map[units.VMID]time.Time{},
	}
	gs.view.Apply(self)
	gs.sends[self.VM] = 0
	return gs
}

// View returns the view, for reading.
func (gs *Gossip) View() *View { return gs.view }

// Self returns the node's own account.
func (gs *Gossip) Self() Member {
	me, _ := gs.view.Get(gs.self)
	return me
}

// UpdateSelf changes the node's own account under a new revision.
func (gs *Gossip) UpdateSelf(change func(*Member)) {
	me := gs.Self()
	change(&me)
	me.Revision++
	gs.Observe(me, time.Time{})
}

// Announce changes the node's own account and sends it to some peers at once.
func (gs *Gossip) Announce(change func(*Member)) {
	gs.UpdateSelf(change)
	gs.urgent[gs.self] = true
}

// Observe merges an account, from this node's own sources, and tells whether it
// was news.
func (gs *Gossip) Observe(in Member, now time.Time) bool {
	old, known := gs.view.Get(in.VM)
	if !gs.view.Apply(in) {
		return false
	}
	cur, _ := gs.view.Get(in.VM)
	gs.sends[in.VM] = 0
	if isUrgent(old, known, cur) {
		gs.urgent[in.VM] = true
	}
	if cur.State == Suspect || cur.State == Gone {
		gs.since[in.VM] = now
	} else {
		delete(gs.since, in.VM)
	}
	if cur.VM == gs.self && cur.State == Suspect {
		gs.UpdateSelf(func(me *Member) { me.State = Alive })
	}
	return true
}

// isUrgent picks the changes that the others act on at once: a member that leaves, a
// suspicion, and its refutation, which has little time to spread.
func isUrgent(old Member, known bool, cur Member) bool {
	if !known || old.Incarnation != cur.Incarnation {
		return cur.State != Alive
	}
	return old.State != cur.State
}

// Tick begins a period: entries of long ago are dropped, and one exchange is planned,
// with a suspect whose time is up or else with the next node of the ring.
func (gs *Gossip) Tick(now time.Time) (plan Plan, ok bool) {
	gs.ticks++
	to, ok := gs.expire(now)
	if !ok {
		to, ok = gs.nextGone()
	}
	if !ok {
		to, ok = gs.nextPeer()
	}
	if !ok {
		return Plan{}, false
	}
	return Plan{To: to, Message: gs.message(to.VM, false)}, true
}

// expire drops entries of long ago and returns a suspect whose time is up. It is asked
// once more before it counts as gone, since its refutation may just not have come here.
func (gs *Gossip) expire(now time.Time) (suspect Member, ok bool) {
	for id, at := range gs.since {
		me, known := gs.view.Get(id)
		switch {
		case !known:
			delete(gs.since, id)
		case (me.State == Suspect || me.State == Leaving) && now.Sub(at) >= gs.cfg.SuspectFor:
			if !ok || me.VM < suspect.VM { // The order of a map must not decide.
				suspect, ok = me, true
			}
		case me.State == Gone && now.Sub(at) >= gs.cfg.KeepGone:
			gs.view.Forget(id)
			delete(gs.since, id)
			delete(gs.sends, id)
		}
	}
	return suspect, ok
}

// Urgent plans the messages that carry urgent changes, and marks them as sent.
func (gs *Gossip) Urgent() []Plan {
	if len(gs.urgent) == 0 {
		return nil
	}
	clear(gs.urgent)
	var out []Plan
	for _, to := range gs.Sample(gs.cfg.Fanout, "") {
		out = append(out, Plan{To: to, Message: gs.message(to.VM, false)})
	}
	return out
}

// Receive merges a message and returns the answer to it.
func (gs *Gossip) Receive(msg Message, now time.Time) Message {
	gs.merge(msg, now)
	full := msg.Full || gs.fullDue(msg, now)
	return gs.message(msg.From, full)
}

// Answered merges the answer to a message that this node sent. If a full exchange
// is needed, it returns the plan for it.
func (gs *Gossip) Answered(to Member, msg Message, now time.Time) (plan Plan, ok bool) {
	gs.merge(msg, now)
	if me, known := gs.view.Get(msg.From); known && me.State == Leaving {
		delete(gs.since, msg.From) // It leaves, and it still answers.
	}
	if !msg.Full && gs.fullDue(msg, now) {
		return Plan{To: to, Message: gs.message(to.VM, true)}, true
	}
	if me, known := gs.view.Get(msg.From); known && me.State == Gone && to.VM != msg.From {
		// A seed, known by its address alone, answers for a node that is taken for gone.
		to.VM = msg.From
		return Plan{To: to, Message: gs.message(msg.From, false)}, true
	}
	return Plan{}, false
}

// fullDue tells whether views have differed for longer than changes take to spread.
func (gs *Gossip) fullDue(msg Message, now time.Time) bool {
	if msg.Digest == gs.view.Digest() || now.Sub(gs.lastFull) < gs.cfg.FullEvery {
		return false
	}
	gs.lastFull = now
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

// mergeSelf answers what others say of this node: a suspicion is refuted, and an
// announced reclaim of its VM is taken over.
func (gs *Gossip) mergeSelf(in Member) {
	me := gs.Self()
	if in != me {
		gs.sends[gs.self] = 0 // The sender has an old account of this node.
	}
	if in.Incarnation > me.Incarnation && in.VMIncarnation() == me.VMIncarnation() {
		// An earlier process on this VM had a larger number, by its clock or because
		// it rose from being buried. A later life of the VM id is another node.
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
		// The others have buried this life; it goes on under the next number.
		gs.UpdateSelf(func(cur *Member) { cur.Incarnation++; cur.State = Alive })
	}
}

// Failed reports that a node answered neither this node nor its helpers.
func (gs *Gossip) Failed(id units.VMID, now time.Time) {
	me, ok := gs.view.Get(id)
	if !ok || id == gs.self {
		return
	}
	at, doubted := gs.since[id]
	switch {
	case doubted && me.State != Gone && now.Sub(at) >= gs.cfg.SuspectFor:
		me.State = Gone
		gs.Observe(me, now)
	case me.State == Alive:
		me.State = Suspect
		gs.Observe(me, now)
	case me.State == Leaving && !doubted:
		gs.since[id] = now // It said that it leaves, so it may just have left.
	}
}

// message gathers the changes that were sent least often. A peer that is not taken for
// alive is told so first, since it alone can refute that.
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
	for _, id := range gs.leastSent() {
		if len(msg.Members) >= gs.cfg.MessageMembers {
			break
		}
		me, ok := gs.view.Get(id)
		if !ok {
			delete(gs.sends, id)
			continue
		}
		msg.Members = append(msg.Members, me)
		gs.sends[id]++
		if gs.sends[id] >= limit {
			delete(gs.sends, id)
		}
	}
	return msg
}

// leastSent returns the members with changes to send: first those that are not alive,
// which others act on, and among equals those sent least often.
func (gs *Gossip) leastSent() []units.VMID {
	ids := make([]units.VMID, 0, len(gs.sends))
	for id := range gs.sends {
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
		if gs.sends[ids[one]] != gs.sends[ids[two]] {
			return gs.sends[ids[one]] < gs.sends[ids[two]]
		}
		return ids[one] < ids[two]
	})
	return ids
}

// sendLimit is how often a change is sent on: a multiple of the logarithm of the
// number of nodes, which reaches all of them with high probability.
func (gs *Gossip) sendLimit() int {
	const factor = 3
	return factor * bits.Len(uint(gs.view.Len()))
}

// nextGone returns, now and then, a node that is gone.
func (gs *Gossip) nextGone() (Member, bool) {
	if gs.ticks%gs.cfg.RetryGone != 0 {
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

// nextPeer walks the nodes in a shuffled order, so that each is probed within one round.
func (gs *Gossip) nextPeer() (Member, bool) {
	for try := 0; try < 2; try++ {
		for len(gs.ring) > 0 {
			id := gs.ring[0]
			gs.ring = gs.ring[1:]
			if me, ok := gs.view.Get(id); ok && gs.isPeer(&me) {
				return me, true
			}
		}
		gs.refillRing()
	}
	return Member{}, false
}

func (gs *Gossip) refillRing() {
	for _, me := range gs.view.List() {
		if gs.isPeer(&me) {
			gs.ring = append(gs.ring, me.VM)
		}
	}
	gs.rnd.Shuffle(len(gs.ring), func(one, two int) {
		gs.ring[one], gs.ring[two] = gs.ring[two], gs.ring[one]
	})
}

func (gs *Gossip) isPeer(me *Member) bool {
	return me.Role == RoleNode && me.State != Gone && me.VM != gs.self
}

// Sample returns up to num random peers other than not.
func (gs *Gossip) Sample(num int, not units.VMID) []Member {
	var peers []Member
	for _, me := range gs.view.List() {
		if gs.isPeer(&me) && me.VM != not && me.State != Suspect {
			peers = append(peers, me)
		}
	}
	gs.rnd.Shuffle(len(peers), func(one, two int) { peers[one], peers[two] = peers[two], peers[one] })
	return peers[:min(num, len(peers))]
}

// Indirect returns the peers to ask for a probe of id.
func (gs *Gossip) Indirect(id units.VMID) []Member { return gs.Sample(gs.cfg.Indirect, id) }
