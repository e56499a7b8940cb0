package scale_test

import (
	"fmt"
	"testing"
	"time"

	"lycheepick/internal/rule/scale"
	"lycheepick/internal/rule/units"
)

func ExampleRelease() {
	re, now := &scale.Release[string]{}, time.Unix(1000, 0)
	groups := []scale.Group[string]{{Key: "a", Want: 0, Have: 20}, {Key: "b", Want: 6, Have: 4}}
	for _, after := range []time.Duration{0, 3 * time.Second, 4 * time.Second} {
		out := re.Bound(now.Add(after), groups, 4*time.Second, true)
		fmt.Println(after, out[0].Want, out[1].Want)
	}
	// Output:
	// 0s 20 6
	// 3s 20 6
	// 4s 14 6
}

// TestReleaseGivesBackTooMuch guards against one decision that takes most servers away, or one on a demand that is not known.
func TestReleaseGivesBackTooMuch(t *testing.T) {
	const boot = 4 * time.Second
	re, now := &scale.Release[string]{}, time.Unix(1000, 0)
	have := 100
	for step := range 60 {
		known := step >= 20
		out := re.Bound(now.Add(time.Duration(step)*time.Second), []scale.Group[string]{{Key: "a", Want: 0, Have: have}}, boot, known)
		if given := have - out[0].Want; given > (have+3)/4 || given > 0 && !known {
			t.Errorf("after %d s: %d of %d servers are given back", step, given, have)
		}
		have = out[0].Want
	}
	if have > 10 {
		t.Errorf("have %d servers left of 100 that nobody wants, want 10 or fewer", have)
	}
	re = &scale.Release[string]{}
	for step := range 20 {
		want := 9 + step%2*3 // Every other second as many are wanted as serve.
		if out := re.Bound(now.Add(time.Duration(step)*time.Second), []scale.Group[string]{{Key: "a", Want: want, Have: 12}}, boot, true); out[0].Want != 12 {
			t.Errorf("after %d s: have %d servers, want 12 until they are surplus for %s", step, out[0].Want, boot)
		}
	}
}

// TestUnknownDemandIsNotNone guards against an estimate of a node that has just started which counts as a demand of 0.
func TestUnknownDemandIsNotNone(t *testing.T) {
	now := time.Unix(1000, 0)
	de := scale.NewDemand()
	de.SetInitial(0)
	de.Rate(now)
	if de.IsInherited() || de.IsSettled(now) || de.Known(now) != 0 {
		t.Errorf("at the start: inherited %t, settled %t, known %.0f", de.IsInherited(), de.IsSettled(now), de.Known(now))
	}
	de.SetInitial(400_000)
	var sum scale.Totals
	de.Report("node-1/1", sum)
	for step := range 20 {
		now = now.Add(500 * time.Millisecond)
		sum.Prompt, sum.Requests = sum.Prompt+5_000, sum.Requests+10
		de.Report("node-1/1", sum)
		rate := de.Rate(now)
		if !de.IsSettled(now) && rate < 400_000 {
			t.Errorf("after %d steps: have %.0f before the estimate is settled, want that of the holder before, 400000", step+1, rate)
		}
	}
	if rate := de.Rate(now); !de.IsSettled(now) || rate > 11_000 || de.Known(now) != rate {
		t.Errorf("after 10 s of traffic: settled %t, demand %.0f, known %.0f, want about 10000", de.IsSettled(now), rate, de.Known(now))
	}
	idle := scale.NewDemand()
	idle.SetInitial(400_000)
	idle.Rate(now)
	if rate := idle.Rate(now.Add(2 * time.Minute)); rate != 0 {
		t.Errorf("after two minutes without traffic: have %.0f, want %.0f", rate, units.TokensPerSecond(0))
	}
}
