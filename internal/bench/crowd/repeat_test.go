package crowd_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"lycheepick/internal/bench/crowd"
)

// repeated is a setup that is played several times.
type repeated struct {
	name  string
	setup crowd.Setup
}

// repeatedSetups returns the cases of the other tests, with few nodes but for those of cuts.
func repeatedSetups() (out []repeated) {
	add := func(kind, name string, nodes, servers int, load crowd.Load, length time.Duration) {
		out = append(out, repeated{fmt.Sprintf("%d nodes, %s, %s", nodes, kind, name), crowd.Setup{
			Nodes: nodes, Servers: servers, Unlimited: nodes > 8, Load: load, Duration: length, Seed: 36,
		}})
	}
	for _, cc := range cutCases(8, 12) {
		add("cut", cc.name, 8, 12, cc.load, 18*second)
		cc.load.Leavers = crowd.Leavers{Share: 0.1, After: 300 * time.Millisecond}
		add("cut and callers leave", cc.name, 8, 12, cc.load, 18*second)
	}
	for _, cc := range cutCases(64, 89) {
		if cc.large && largestFleet >= 64 {
			add("cut", cc.name, 64, 89, cc.load, 14*second)
		}
	}
	for _, cc := range append(crashCases(8, 12), repeatCases(8, 12)...) {
		add("crashes", cc.name, 8, 12, cc.load, 12*second)
	}
	for _, lc := range leaveCases() {
		if lc.nodes <= 8 {
			add("leave", lc.name, lc.nodes, lc.servers, lc.load, 10*second)
		}
	}
	for _, lc := range limitCases() {
		if lc.nodes <= 8 {
			add("limits", lc.name, lc.nodes, lc.servers, lc.load, 12*second)
		}
	}
	for _, rc := range restCases() {
		if rc.nodes <= 8 {
			add("rests", fmt.Sprint(rc.servers, " servers, ", rc.name), rc.nodes, rc.servers, rc.load, 12*second)
		}
	}
	return out
}

// TestRunsBesideFaultsAreDeterministic guards against runs that differ though their seed is the same,
// so that a failure can't be played again.
func TestRunsBesideFaultsAreDeterministic(t *testing.T) {
	for _, rp := range repeatedSetups() {
		t.Run(rp.name, func(t *testing.T) {
			t.Parallel()
			first := crowd.Run(rp.setup)
			for range 2 {
				if next := crowd.Run(rp.setup); !reflect.DeepEqual(first, next) {
					t.Errorf("have %+v, %+v,\nthen %+v, %+v", first.Counts, first.Cuts, next.Counts, next.Cuts)
				}
			}
		})
	}
}
