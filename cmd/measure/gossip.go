package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"lycheepick/internal/bench/spread"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

const gossipUsage = `measure gossip runs the membership protocol of 8, 90 and 360 nodes with 600 backend
servers in one process, under a virtual clock.

usage: measure gossip [--seed N]
`

type gossipCmd struct {
	Seed uint64 `arg:"--seed" default:"1"`
}

func (*gossipCmd) Usage() string { return gossipUsage }

// callOverheadBytes is the size of the drpc, TCP and IP headers of a call.
const callOverheadBytes = 150

const gossipServers = 600

func (gc *gossipCmd) Run(ctx context.Context, out io.Writer) error {
	_, _ = fmt.Fprintln(out, "| nodes | servers | quiet: bytes/s a node | busy: bytes/s a node | CPU a node, of a core | view, KB | a dead node is gone after | a reclaim reaches all in | gone by mistake in 5 min at 5% loss and 2 s pauses |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
	for _, nodes := range []int{8, 90, 360} {
		gc.measureFleet(out, nodes)
	}
	return ctx.Err()
}

func (gc *gossipCmd) measureFleet(out io.Writer, nodes int) {
	ne := spread.New(nodes, gc.Seed)
	for num := range gossipServers {
		ne.Nodes[ne.IDs[num%nodes]].Observe(engineMember(num), ne.Now)
	}
	ne.Rounds(120) // Until the membership has converged.
	ne.CountBytes = true
	quiet, cpu := traffic(ne, 60, func(int) {})
	// Busy: a server leaves or joins every 10 s, and the table changes every 20 s, which is
	// far above the expected 100 restarts and 220 table versions a day.
	busy, _ := traffic(ne, 60, func(round int) {
		if round%10 == 0 {
			me := engineMember(round)
			me.Incarnation = units.Incarnation(2 + round)
			me.State = member.State(2 * (round / 10 % 2))
			ne.Nodes[ne.IDs[round%nodes]].Observe(me, ne.Now)
		}
		if round%20 == 0 {
			for _, id := range ne.IDs {
				ne.Nodes[id].Announce(func(me *member.Member) { me.TableVersion++ })
			}
		}
	})
	ne.CountBytes = false
	hops, rounds := spreadReclaim(ne)
	dead := detectionTime(ne)
	mistakes := gc.falsePositives(nodes)
	view := float64(ne.Nodes[ne.IDs[0]].View().Len()) * memberBytes / 1024
	_, _ = fmt.Fprintf(out, "| %d | %d | %.0f | %.0f | %.4f%% | %.0f | %s | %d hops, %d periods | %d |\n", nodes, gossipServers, quiet, busy, cpu*100, view, dead, hops, rounds, mistakes)
}

// memberBytes is the memory that a member takes, with its strings and its map entry.
const memberBytes = 300

func engineMember(num int) member.Member {
	return member.Member{
		Instance: units.Instance{VM: units.VMID(fmt.Sprintf("engine-%03d", num)), Incarnation: 1},
		Role:     member.RoleEngine, Address: "10.1.0.1:8000", Zone: "zone-1", Target: "model-1", Class: "gpu",
	}
}

// traffic runs rounds and returns, for each node, the bytes per second sent and received
// and the CPU time as a fraction of one core.
func traffic(ne *spread.Net, rounds int, beforeRound func(round int)) (bytes, cpu float64) {
	ne.Bytes, ne.Messages = 0, 0
	began := time.Now()
	for round := range rounds {
		beforeRound(round)
		ne.Round()
	}
	took := time.Since(began)
	seconds := float64(rounds) * member.DefaultConfig().Period.Seconds() * float64(len(ne.IDs))
	sentAndReceived := 2 * (float64(ne.Bytes) + float64(ne.Messages)*callOverheadBytes)
	return sentAndReceived / seconds, took.Seconds() / seconds
}

// detectionTime stops a node and returns the time until all others have it as gone.
func detectionTime(ne *spread.Net) time.Duration {
	id := ne.IDs[len(ne.IDs)/2]
	ne.Down[id] = true
	began := ne.Now
	for ne.CountInState(id, member.Gone) < len(ne.IDs)-1 {
		ne.Round()
	}
	took := ne.Now.Sub(began)
	ne.Down[id] = false
	return took
}

// spreadReclaim marks a server as leaving and returns the hops of the first fan-out, and the
// gossip periods until all nodes have the change.
func spreadReclaim(ne *spread.Net) (hops, rounds int) {
	me := engineMember(7)
	me.Incarnation, me.State = 100, member.Leaving
	ne.Nodes[ne.IDs[1]].Observe(me, ne.Now)
	hops = ne.FanOut()
	for ne.CountInState(me.VM, member.Leaving) < len(ne.IDs) {
		ne.Round()
		rounds++
	}
	return hops, rounds
}

// falsePositives counts the running nodes that others declared gone, with 5% of the messages
// lost and one node at a time paused for 2 s.
func (gc *gossipCmd) falsePositives(nodes int) int {
	ne := spread.New(nodes, gc.Seed+1)
	ne.Rounds(60)
	ne.Loss = 0.05
	count := 0
	seen := map[units.VMID]bool{}
	for round := range 300 {
		paused := ne.IDs[round/2%nodes]
		ne.Down[paused] = true
		ne.Round()
		ne.Down[paused] = round%2 == 0
		for _, id := range ne.IDs {
			if !seen[id] && ne.CountInState(id, member.Gone) > 0 {
				seen[id] = true
				count++
			}
		}
	}
	return count
}
