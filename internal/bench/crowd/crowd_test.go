package crowd_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"lycheepick/internal/bench/crowd"
)

// TestRunsAreDeterministic runs each load twice with a small fleet: the same seed gives the
// same result, and every request has exactly one outcome.
func TestRunsAreDeterministic(t *testing.T) {
	for _, lo := range crowd.Loads() {
		for _, naive := range []bool{false, true} {
			se := crowd.Setup{Nodes: 4, Servers: 6, Naive: naive, Load: lo, Duration: 12 * time.Second, Seed: 1}
			one, two := crowd.Run(se), crowd.Run(se)
			if !reflect.DeepEqual(one, two) {
				t.Errorf("%s: two runs differ", lo.Name)
			}
			if have := one.InTime + one.Late + one.Refused + one.Lost; have != one.Requests {
				t.Errorf("%s: have %d outcomes, want %d", lo.Name, have, one.Requests)
			}
		}
	}
}

// TestAgainstNaive checks that under each load more requests are answered in time than with
// the naive decisions, and that limits are kept.
func TestAgainstNaive(t *testing.T) {
	for _, lo := range crowd.Loads() {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", lo.Name, seed), func(t *testing.T) {
				t.Parallel()
				se := crowd.Setup{Nodes: 8, Servers: 12, Load: lo, Duration: 16 * time.Second, Seed: seed}
				ours := crowd.Run(se)
				se.Naive = true
				naive := crowd.Run(se)
				t.Logf("in time: %d, naive: %d, of %d requests", ours.InTime, naive.InTime, ours.Requests)
				if ours.InTime <= naive.InTime {
					t.Errorf("in time: have %d, want more than %d", ours.InTime, naive.InTime)
				}
				if ours.LimitRatio > 1 {
					t.Errorf("admitted above the limit: have %.2f of the allowed amount, want 1 or less", ours.LimitRatio)
				}
			})
		}
	}
}

// TestBurstAtALargeFleet guards against late first tokens in a burst when nodes know only
// outdated loads of the servers. With one preferred server for each prompt prefix, 3 requests
// in 10 of a burst were late (found on quiet-1 of the grown bbsw-austin, where a pair of nodes
// exchanges reports once a second). The bound is the users' target.
func TestBurstAtALargeFleet(t *testing.T) {
	for _, lo := range crowd.Loads() {
		if lo.Name != "burst" {
			continue
		}
		re := crowd.Run(crowd.Setup{Nodes: 32, Servers: 44, Load: lo, Duration: 7 * time.Second, Seed: 1})
		share := float64(re.InTime) / float64(re.Requests)
		t.Logf("share in time %.3f, prefilled tokens %.2f of the unique ones", share, float64(re.PrefilledTokens)/float64(re.UniqueTokens))
		if share < 0.95 {
			t.Errorf("share in time: have %.3f, want 0.95 or more", share)
		}
	}
}
