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

const gossipUsage = `measure gossip runs the membership of 8, 90 and 360 nodes with 600 backend servers in
one process, under a virtual clock.

usage: measure gossip [--seed N]
`

type gossipCmd struct {
	Seed uint64 `arg:"--seed" default:"1"`
}

func (*gossipCmd) Usage() string { return gossipUsage }

// callBytes is what a call costs beyond its message: the headers of drpc, TCP and IP.
const callBytes = 150

const gossipServers = 600

func (gc *gossipCmd) Run(ctx context.Context, out io.Writer) error {
	_, _ = fmt.Fprintln(out, "| nodes | servers | quiet: bytes/s a node | busy: bytes/s a node | CPU a node, of a core | view, KB | a dead node is gone after | a reclaim reaches all in | gone by mistake in 5 min at 5% loss and 2 s pauses |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|")
	for _, nodes := range []int{8, 90, 360} {
		gc.one(out, nodes)
	}
	return ctx.Err()
}

func (gc *gossipCmd) one(out io.Writer, nodes int) {
	ne := spread.New(nodes, gc.Seed)
	for num := range gossipServers {
		ne.Nodes[ne.IDs[num%nodes]].Observe(server(num), ne.Now)
	}
	ne.Rounds(120) // The fleet settles.
	ne.CountBytes = true
	quiet, cpu := traffic(ne, 60, func(int) {})
	// Busy: a server leaves or comes every 10 s, and the table changes every 20 s,
	// which is far above the day's 100 restarts and 220 versions.
	busy, _ := traffic(ne, 60, func(round int) {
		if round%10 == 0 {
			me := server(round)
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
	hops, rounds := reclaim(ne)
	dead := detect(ne)
	mistakes := gc.mistakes(nodes)
	view := float64(ne.Nodes[ne.IDs[0]].View().Len()) * memberBytes / 1024
	_, _ = fmt.Fprintf(out, "| %d | %d | %.0f | %.0f | %.4f%% | %.0f | %s | %d hops, %d periods | %d |\n", nodes, gossipServers, quiet, busy, cpu*100, view, dead, hops, rounds, mistakes)
}

// memberBytes is the size of a member in memory with its strings and its place in a map.
const memberBytes = 300

func server(num int) member.Member {
	return member.Member{
		Instance: units.Instance{VM: units.VMID(fmt.Sprintf("engine-%03d", num)), Incarnation: 1},
		Role:     member.RoleEngine, Address: "10.1.0.1:8000", Zone: "zone-1", Target: "model-1", Class: "gpu",
	}
}

// traffic runs some rounds and returns the bytes a second of one node, and its part of
// a core, with what it sends and what it receives.
func traffic(ne *spread.Net, rounds int, each func(round int)) (bytes, cpu float64) {
	ne.Bytes, ne.Messages = 0, 0
	began := time.Now()
	for round := range rounds {
		each(round)
		ne.Round()
	}
	took := time.Since(began)
	seconds := float64(rounds) * member.DefaultConfig().Period.Seconds() * float64(len(ne.IDs))
	both := 2 * (float64(ne.Bytes) + float64(ne.Messages)*callBytes)
	return both / seconds, took.Seconds() / seconds
}

func detect(ne *spread.Net) time.Duration {
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

// reclaim returns the hops of the first fan-out, and the periods until the last node knew.
func reclaim(ne *spread.Net) (hops, rounds int) {
	me := server(7)
	me.Incarnation, me.State = 100, member.Leaving
	ne.Nodes[ne.IDs[1]].Observe(me, ne.Now)
	hops = ne.FanOut()
	for ne.CountInState(me.VM, member.Leaving) < len(ne.IDs) {
		ne.Round()
		rounds++
	}
	return hops, rounds
}

// mistakes counts the nodes that were taken for gone though they lived, with one
// message in twenty lost and one node at a time paused for two seconds.
func (gc *gossipCmd) mistakes(nodes int) int {
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
