package place_test

import (
	"fmt"
	"testing"
	"time"

	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/units"
)

// BenchmarkChoose measures one choice by the number of nodes, each of which has work at one server in eight.
func BenchmarkChoose(be *testing.B) {
	const count = 84
	for _, nodes := range []int{8, 64, 195, 360} {
		be.Run(fmt.Sprint(nodes, " nodes"), func(be *testing.B) {
			fl, list := place.NewFleet(), servers(count)
			fl.SetServers(start, list)
			for num := range nodes {
				loads := map[units.VMID]place.Load{}
				for idx := num % 8; idx < count; idx += 8 {
					loads[list[idx].ID] = place.Load{Running: 1, PendingPrefill: 2000}
				}
				fl.SetPeerLoads(start, nodes, units.VMID(fmt.Sprint("n-", num)), loads)
			}
			now, rq := start.Add(100*time.Millisecond), &place.Request{Zone: "a", Prompt: 2000, Key: 1}
			for be.Loop() {
				fl.Choose(now, rq)
			}
		})
	}
}
