// Package spread simulates the gossip of many nodes in one process, with a virtual clock.
// Messages either arrive without delay or are lost. Tests and benchmarks share it.
package spread

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"lycheepick/internal/peer/mesh"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

// Net is a simulated network of gossiping nodes. It is not safe for concurrent use.
type Net struct {
	Nodes map[units.VMID]*member.Gossip
	// IDs lists the nodes in the order in which they joined.
	IDs []units.VMID
	// Down holds the nodes that neither send nor answer.
	Down map[units.VMID]bool
	// Cut holds the pairs of nodes that cannot reach each other; the order in a pair does
	// not matter.
	Cut map[[2]units.VMID]bool
	// Loss is the share of messages that are lost, from 0 to 1.
	Loss float64
	// CountBytes enables counting the bytes of all messages, which is slow.
	CountBytes bool
	// Bytes and Messages count the messages sent, replies included.
	Bytes    units.Bytes
	Messages int
	Now      time.Time

	cfg member.Config
	rnd *rand.Rand
}

// New returns a network of count nodes that joined through the first one.
func New(count int, seed uint64) *Net {
	ne := &Net{
		Nodes: map[units.VMID]*member.Gossip{}, Down: map[units.VMID]bool{}, Cut: map[[2]units.VMID]bool{},
		rnd: rand.New(rand.NewPCG(seed, 7)), Now: time.Unix(1000, 0), cfg: member.DefaultConfig(),
	}
	for num := range count {
		ne.Join(units.VMID(fmt.Sprintf("node-%03d", num)), 1)
	}
	return ne
}

// Join starts a node, or a later incarnation of it.
func (ne *Net) Join(id units.VMID, inc units.Incarnation) {
	self := member.Member{Instance: units.Instance{VM: id, Incarnation: inc}, Address: "10.0.0.1:9000", Zone: "zone-1"}
	gs := member.NewGossip(ne.cfg, self, rand.New(rand.NewPCG(ne.rnd.Uint64(), 1)))
	if len(ne.IDs) > 0 {
		first := ne.Nodes[ne.IDs[0]]
		gs.HandleReply(first.Self(), first.Receive(member.Message{From: id, Members: []member.Member{self}, Full: true}, ne.Now), ne.Now)
	}
	if ne.Nodes[id] == nil {
		ne.IDs = append(ne.IDs, id)
	}
	ne.Nodes[id] = gs
}

// delivers reports whether a message gets through; with Loss this is random.
func (ne *Net) delivers(from, to units.VMID) bool {
	if ne.Down[from] || ne.Down[to] || ne.Cut[[2]units.VMID{from, to}] || ne.Cut[[2]units.VMID{to, from}] {
		return false
	}
	return ne.rnd.Float64() >= ne.Loss
}

func (ne *Net) count(msg *member.Message) {
	ne.Messages++
	if ne.CountBytes {
		ne.Bytes += units.Bytes(proto.Size(mesh.ToWire(msg)))
	}
}

// Send delivers a message and the replies in both directions. It returns false if a message
// or a reply was lost.
func (ne *Net) Send(from units.VMID, out member.Outgoing) bool {
	for more := true; more; {
		ne.count(&out.Message)
		if !ne.delivers(from, out.To.VM) || !ne.delivers(out.To.VM, from) {
			return false
		}
		re := ne.Nodes[out.To.VM].Receive(out.Message, ne.Now)
		ne.count(&re)
		out, more = ne.Nodes[from].HandleReply(out.To, re, ne.Now)
	}
	return true
}

// Round advances the clock by one gossip period and runs that period of every node that is up.
func (ne *Net) Round() {
	ne.Now = ne.Now.Add(ne.cfg.Period)
	for _, id := range ne.IDs {
		if ne.Down[id] {
			continue
		}
		gs := ne.Nodes[id]
		if out, ok := gs.Tick(ne.Now); ok && !ne.Send(id, out) && !ne.probeIndirectly(id, out.To.VM) {
			gs.ProbeFailed(out.To.VM, ne.Now)
		}
	}
	ne.FanOut()
}

// Rounds runs count periods.
func (ne *Net) Rounds(count int) {
	for range count {
		ne.Round()
	}
}

// probeIndirectly reports whether a node reaches a peer through any of its indirect probers.
func (ne *Net) probeIndirectly(from, to units.VMID) bool {
	for _, helper := range ne.Nodes[from].IndirectProbers(to) {
		if ne.delivers(from, helper.VM) && ne.delivers(helper.VM, to) {
			return true
		}
	}
	return false
}

// FanOut delivers urgent messages until none is left. It returns the number of hops.
func (ne *Net) FanOut() (hops int) {
	for busy := true; busy; {
		busy = false
		var outs []member.Outgoing
		var from []units.VMID
		for _, id := range ne.IDs {
			if ne.Down[id] {
				continue
			}
			for _, out := range ne.Nodes[id].UrgentMessages() {
				outs = append(outs, out)
				from = append(from, id)
			}
		}
		for idx := range outs {
			busy = true
			ne.Send(from[idx], outs[idx])
		}
		if busy {
			hops++
		}
	}
	return hops
}

// CountInState returns the number of other running nodes whose view has a member in a state.
func (ne *Net) CountInState(id units.VMID, st member.State) int {
	total := 0
	for _, other := range ne.IDs {
		if ne.Down[other] || other == id {
			continue
		}
		if me, ok := ne.Nodes[other].View().Get(id); ok && me.State == st {
			total++
		}
	}
	return total
}
