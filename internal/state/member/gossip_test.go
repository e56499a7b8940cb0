package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

// net is a set of nodes whose messages arrive at once, or not at all.
type net struct {
	nodes map[units.VMID]*member.Gossip
	down  map[units.VMID]bool
	cut   map[[2]units.VMID]bool
	loss  float64
	rnd   *rand.Rand
	now   time.Time
	ids   []units.VMID
}

func newNet(count int, seed uint64) *net {
	ne := &net{
		nodes: map[units.VMID]*member.Gossip{}, down: map[units.VMID]bool{}, cut: map[[2]units.VMID]bool{},
		rnd: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0),
	}
	for num := range count {
		ne.join(units.VMID(fmt.Sprintf("node-%03d", num)), 1)
	}
	return ne
}

func (ne *net) join(id units.VMID, life units.Incarnation) {
	self := member.Member{Instance: units.Instance{VM: id, Incarnation: life}, Address: "10.0.0.1:1"}
	gs := member.NewGossip(member.DefaultConfig(), self, rand.New(rand.NewPCG(ne.rnd.Uint64(), 1)))
	if len(ne.ids) > 0 {
		seed := ne.nodes[ne.ids[0]]
		gs.Answered(seed.Self(), seed.Receive(member.Message{From: id, Members: []member.Member{self}, Full: true}, ne.now), ne.now)
	}
	if ne.nodes[id] == nil {
		ne.ids = append(ne.ids, id)
	}
	ne.nodes[id] = gs
}

func (ne *net) reach(from, to units.VMID) bool {
	if ne.down[from] || ne.down[to] || ne.cut[[2]units.VMID{from, to}] || ne.cut[[2]units.VMID{to, from}] {
		return false
	}
	return ne.rnd.Float64() >= ne.loss
}

// send carries a plan out, with the answer.
func (ne *net) send(from units.VMID, plan member.Plan) bool {
	for more := true; more; {
		if !ne.reach(from, plan.To.VM) || !ne.reach(plan.To.VM, from) {
			return false
		}
		re := ne.nodes[plan.To.VM].Receive(plan.Message, ne.now)
		plan, more = ne.nodes[from].Answered(plan.To, re, ne.now)
	}
	return true
}

// round lets every node do one period.
func (ne *net) round() {
	ne.now = ne.now.Add(member.DefaultConfig().Period)
	for _, id := range ne.ids {
		if ne.down[id] {
			continue
		}
		gs := ne.nodes[id]
		if plan, ok := gs.Tick(ne.now); ok && !ne.send(id, plan) && !ne.probed(id, plan.To.VM) {
			gs.Failed(plan.To.VM, ne.now)
		}
	}
	ne.fanOut()
}

func (ne *net) probed(from, to units.VMID) bool {
	for _, helper := range ne.nodes[from].Indirect(to) {
		if ne.reach(from, helper.VM) && ne.reach(helper.VM, to) {
			return true
		}
	}
	return false
}

// fanOut carries urgent changes until none is left.
func (ne *net) fanOut() {
	for busy := true; busy; {
		busy = false
		for _, id := range ne.ids {
			if ne.down[id] {
				continue
			}
			for _, plan := range ne.nodes[id].Urgent() {
				busy = true
				ne.send(id, plan)
			}
		}
	}
}

// count returns how many running nodes see a member in a state.
func (ne *net) count(id units.VMID, st member.State) int {
	total := 0
	for _, other := range ne.ids {
		if me, ok := ne.nodes[other].View().Get(id); ok && !ne.down[other] && other != id && me.State == st {
			total++
		}
	}
	return total
}

func TestViewsConverge(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := newNet(30, 1)
	for range 70 {
		ne.round()
	}
	for _, id := range ne.ids {
		gm.Expect(ne.nodes[id].View().Digest()).To(gomega.Equal(ne.nodes[ne.ids[0]].View().Digest()), string(id))
	}
}

func TestDeadNodeIsFoundAndLiveOnesAreNot(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := newNet(30, 2)
	for range 70 {
		ne.round()
	}
	ne.down["node-007"] = true
	for range 25 {
		ne.round()
	}
	gm.Expect(ne.count("node-007", member.Gone)).To(gomega.Equal(29))
	for _, id := range ne.ids {
		if id != "node-007" {
			gm.Expect(ne.count(id, member.Alive)).To(gomega.BeNumerically(">=", 28), string(id))
		}
	}
}

// With one message in twenty lost, no node that answers is taken for dead. Without the
// helpers that probe on a node's behalf, some are suspected.
func TestLossMakesNoNodeGone(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := newNet(40, 3)
	ne.loss = 0.05
	for range 300 {
		ne.round()
		for _, id := range ne.ids {
			gm.Expect(ne.count(id, member.Gone)).To(gomega.BeZero(), string(id))
		}
	}
}

// A pause of two seconds is shorter than a suspicion lasts, and the node refutes it.
func TestPauseIsRefuted(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := newNet(20, 4)
	for range 60 {
		ne.round()
	}
	for start := range 10 {
		id := ne.ids[start]
		ne.down[id] = true
		ne.round()
		ne.round()
		ne.down[id] = false
		for range 8 {
			ne.round()
		}
		gm.Expect(ne.count(id, member.Gone)).To(gomega.BeZero(), string(id))
	}
	for range 40 {
		ne.round()
	}
	for _, id := range ne.ids {
		gm.Expect(ne.count(id, member.Alive)).To(gomega.Equal(19), string(id))
	}
}

func TestRestartedNodeComesBack(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := newNet(10, 5)
	for range 20 {
		ne.round()
	}
	ne.down["node-003"] = true
	for range 25 {
		ne.round()
	}
	gm.Expect(ne.count("node-003", member.Gone)).To(gomega.Equal(9))
	ne.down["node-003"] = false
	ne.join("node-003", 2)
	for range 20 {
		ne.round()
	}
	gm.Expect(ne.count("node-003", member.Alive)).To(gomega.Equal(9))
}

// One node hears of a reclaim; all the others know before the next period.
func TestLeavingReachesAllAtOnce(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := newNet(60, 6)
	for range 100 {
		ne.round()
	}
	vm := member.Member{
		Instance: units.Instance{VM: "engine-1", Incarnation: 1}, Role: member.RoleEngine, State: member.Leaving,
		Deadline: time.Unix(2000, 0).UTC(),
	}
	ne.nodes["node-000"].Observe(vm, ne.now)
	ne.fanOut()
	early := ne.count("engine-1", member.Leaving)
	gm.Expect(early).To(gomega.BeNumerically(">", 50), "by fan-out alone")
	for range 2 {
		ne.round()
	}
	gm.Expect(ne.count("engine-1", member.Leaving)).To(gomega.Equal(60))
}

// A node that the others buried while it was cut off comes back under a new life.
func TestBuriedNodeRises(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := newNet(8, 8)
	for range 20 {
		ne.round()
	}
	for _, id := range ne.ids[1:] {
		ne.cut[[2]units.VMID{"node-000", id}] = true
	}
	for range 30 {
		ne.round()
	}
	gm.Expect(ne.count("node-000", member.Gone)).To(gomega.Equal(7))
	clear(ne.cut)
	for range 60 {
		ne.round()
	}
	gm.Expect(ne.count("node-000", member.Alive)).To(gomega.Equal(7))
}

// Two regions that lost each other find each other again.
func TestCutRegionsMerge(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := newNet(24, 9)
	for range 40 {
		ne.round()
	}
	for one := range 12 {
		for two := 12; two < 24; two++ {
			ne.cut[[2]units.VMID{ne.ids[one], ne.ids[two]}] = true
		}
	}
	for range 60 {
		ne.round()
	}
	gm.Expect(ne.count("node-000", member.Gone)).To(gomega.Equal(12))
	gm.Expect(ne.count("node-000", member.Alive)).To(gomega.Equal(11))
	clear(ne.cut)
	for range 120 {
		ne.round()
	}
	for _, id := range ne.ids {
		gm.Expect(ne.count(id, member.Alive)).To(gomega.Equal(23), string(id))
	}
}
