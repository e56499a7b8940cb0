package member_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"lycheepick/internal/bench/spread"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

func TestViewsConverge(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := spread.New(30, 1)
	ne.Rounds(70)
	for _, id := range ne.IDs {
		gm.Expect(ne.Nodes[id].View().Digest()).To(gomega.Equal(ne.Nodes[ne.IDs[0]].View().Digest()), string(id))
	}
}

func TestOnlyDeadNodeBecomesGone(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := spread.New(30, 2)
	ne.Rounds(70)
	ne.Down["node-007"] = true
	ne.Rounds(25)
	gm.Expect(ne.CountInState("node-007", member.Gone)).To(gomega.Equal(29))
	for _, id := range ne.IDs {
		if id != "node-007" {
			gm.Expect(ne.CountInState(id, member.Alive)).To(gomega.BeNumerically(">=", 28), string(id))
		}
	}
}

// At a message loss of 5%, no live node may be marked as gone. Without indirect probes, some
// are suspected.
func TestLossMakesNoNodeGone(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := spread.New(40, 3)
	ne.Loss = 0.05
	for range 300 {
		ne.Round()
		for _, id := range ne.IDs {
			gm.Expect(ne.CountInState(id, member.Gone)).To(gomega.BeZero(), string(id))
		}
	}
}

// A node that pauses for two seconds, less than SuspectTimeout, must refute the suspicion.
func TestPauseIsRefuted(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := spread.New(20, 4)
	ne.Rounds(60)
	for start := range 10 {
		id := ne.IDs[start]
		ne.Down[id] = true
		ne.Round()
		ne.Round()
		ne.Down[id] = false
		for range 8 {
			ne.Round()
		}
		gm.Expect(ne.CountInState(id, member.Gone)).To(gomega.BeZero(), string(id))
	}
	ne.Rounds(40)
	for _, id := range ne.IDs {
		gm.Expect(ne.CountInState(id, member.Alive)).To(gomega.Equal(19), string(id))
	}
}

// Nodes pause in turn while messages are lost, so that some miss a refutation. They must not
// mark the suspect as gone when its timeout passes.
func TestMissedRefutationBuriesNoOne(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := spread.New(8, 2)
	ne.Rounds(60)
	ne.Loss = 0.05
	for round := range 200 {
		paused := ne.IDs[round/2%8]
		ne.Down[paused] = true
		ne.Round()
		ne.Down[paused] = round%2 == 0
		for _, id := range ne.IDs {
			gm.Expect(ne.CountInState(id, member.Gone)).To(gomega.BeZero(), "%s in round %d", id, round)
		}
	}
}

func TestRestartedNodeComesBack(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := spread.New(10, 5)
	ne.Rounds(20)
	ne.Down["node-003"] = true
	ne.Rounds(25)
	gm.Expect(ne.CountInState("node-003", member.Gone)).To(gomega.Equal(9))
	ne.Down["node-003"] = false
	ne.Join("node-003", 2)
	ne.Rounds(20)
	gm.Expect(ne.CountInState("node-003", member.Alive)).To(gomega.Equal(9))
}

// One node receives a reclaim notice. Fan-out alone must bring it to more than 50 of the 60
// nodes, and two periods to the rest.
func TestLeavingReachesAllAtOnce(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := spread.New(60, 6)
	ne.Rounds(100)
	vm := member.Member{
		Instance: units.Instance{VM: "engine-1", Incarnation: 1}, Role: member.RoleEngine, State: member.Leaving,
		Deadline: time.Unix(2000, 0).UTC(),
	}
	ne.Nodes["node-000"].Observe(vm, ne.Now)
	ne.FanOut()
	early := ne.CountInState("engine-1", member.Leaving)
	gm.Expect(early).To(gomega.BeNumerically(">", 50), "by fan-out alone")
	ne.Rounds(2)
	gm.Expect(ne.CountInState("engine-1", member.Leaving)).To(gomega.Equal(60))
}

// One node receives reclaim notices while all nodes have many other changes to send. Fan-out
// reaches most nodes; the rest must not have to wait until the other changes have spread.
func TestLeavingOvertakesOtherNews(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := spread.New(120, 11)
	ne.Rounds(120)
	for num := range 5 {
		for range 2 {
			for _, id := range ne.IDs {
				ne.Nodes[id].Announce(func(me *member.Member) { me.TableVersion++ })
			}
			ne.Round()
		}
		vm := member.Member{
			Instance: units.Instance{VM: "engine-1", Incarnation: units.Incarnation(num + 1)}, Role: member.RoleEngine, State: member.Leaving,
		}
		ne.Nodes["node-000"].Observe(vm, ne.Now)
		ne.FanOut()
		ne.Rounds(2)
		seen := 0
		for _, id := range ne.IDs {
			if me, _ := ne.Nodes[id].View().Get("engine-1"); me.Incarnation == vm.Incarnation {
				seen++
			}
		}
		gm.Expect(seen).To(gomega.Equal(120), "reclaim %d", num)
	}
}

// A node that was marked as gone while it was partitioned from the others must rejoin under
// a new incarnation.
func TestNodeMarkedGoneRejoins(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := spread.New(8, 8)
	ne.Rounds(20)
	for _, id := range ne.IDs[1:] {
		ne.Cut[[2]units.VMID{"node-000", id}] = true
	}
	ne.Rounds(30)
	gm.Expect(ne.CountInState("node-000", member.Gone)).To(gomega.Equal(7))
	clear(ne.Cut)
	ne.Rounds(60)
	gm.Expect(ne.CountInState("node-000", member.Alive)).To(gomega.Equal(7))
}

// Two regions that were partitioned and marked each other as gone must merge again once the
// partition heals.
func TestCutRegionsMerge(t *testing.T) {
	gm := gomega.NewWithT(t)
	ne := spread.New(24, 9)
	ne.Rounds(40)
	for one := range 12 {
		for two := 12; two < 24; two++ {
			ne.Cut[[2]units.VMID{ne.IDs[one], ne.IDs[two]}] = true
		}
	}
	ne.Rounds(60)
	gm.Expect(ne.CountInState("node-000", member.Gone)).To(gomega.Equal(12))
	gm.Expect(ne.CountInState("node-000", member.Alive)).To(gomega.Equal(11))
	clear(ne.Cut)
	ne.Rounds(120)
	for _, id := range ne.IDs {
		gm.Expect(ne.CountInState(id, member.Alive)).To(gomega.Equal(23), string(id))
	}
}
