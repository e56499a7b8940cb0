package crowd_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"lycheepick/internal/bench/crowd"
)

// crashCase is a fleet with requests that crash servers.
type crashCase struct {
	name string
	load crowd.Load
}

const second = time.Second

// part returns a part that crashes servers from 4 s on.
func part(rate float64, place int) crowd.GuiltyPart {
	return crowd.GuiltyPart{From: 4 * second, To: time.Minute, Rate: rate, Place: place}
}

func crashCases(nodes, servers int) []crashCase {
	early, seldom, fast := part(3, 1), part(3, 1), part(12, 2)
	early.BeforeHead, seldom.Harmless = true, 0.15
	tenth := max(1, nodes/10)
	faults := []crowd.Fault{
		{Kind: crowd.Stopped, First: 0, Last: tenth - 1, For: 9 * second}, // They join later.
		{Kind: crowd.Stopped, First: tenth, Last: 2*tenth - 1, At: 7 * second, For: second},
		{Kind: crowd.Frozen, First: 2 * tenth, Last: 3*tenth - 1, At: 6 * second, For: 4 * second},
		{Kind: crowd.CutOff, First: 3 * tenth, Last: 4*tenth - 1, At: 5 * second, For: 4 * second},
		{Kind: crowd.Stopped, First: 4 * tenth, Last: 5*tenth - 1, At: 8 * second, For: time.Minute},
	}
	alone := func(first, last int, at time.Duration) crowd.ServerFault {
		return crowd.ServerFault{At: at, First: first, Last: last}
	}
	var others crowd.Crashes
	for num := range max(2, servers*15/100) {
		others.Alone = append(others.Alone, alone(num, num, 2*second+time.Duration(num)*12*second/time.Duration(servers)))
	}
	others.Alone = append(others.Alone, crowd.ServerFault{At: 7 * second, For: 2 * second, First: servers - 2, Last: servers - 1})
	for num := range 3 {
		others.Resets = append(others.Resets, crowd.Reset{At: time.Duration(5+2*num) * second, Node: num})
	}
	both := others
	both.Parts = []crowd.GuiltyPart{part(3, 1)}
	return []crashCase{
		{"first part", crowd.Load{Crashes: crowd.Crashes{Parts: []crowd.GuiltyPart{part(3, 0)}}}},
		{"second part", crowd.Load{Crashes: crowd.Crashes{Parts: []crowd.GuiltyPart{part(3, 1)}}}},
		{"last shared part", crowd.Load{Crashes: crowd.Crashes{Parts: []crowd.GuiltyPart{part(3, 2)}}}},
		{"before the head", crowd.Load{Crashes: crowd.Crashes{Parts: []crowd.GuiltyPart{early}}}},
		{"sometimes not at all", crowd.Load{Crashes: crowd.Crashes{Parts: []crowd.GuiltyPart{seldom}}}},
		{"seldom", crowd.Load{Crashes: crowd.Crashes{Parts: []crowd.GuiltyPart{part(0.7, 1)}}}},
		{"often", crowd.Load{Crashes: crowd.Crashes{Parts: []crowd.GuiltyPart{fast}}}},
		{"three parts", crowd.Load{Crashes: crowd.Crashes{Parts: []crowd.GuiltyPart{part(2, 0), part(2, 1), early}}}},
		{"nodes stop, freeze, join and are cut off", crowd.Load{Crashes: crowd.Crashes{Parts: []crowd.GuiltyPart{part(3, 1)}}, Faults: faults}},
		{"beside crashes, freezes, cuts and reclaims", crowd.Load{Crashes: both, Reclaims: []crowd.Reclaim{
			{At: 6 * second, Notice: second, From: 0.5, Share: 0.2},
		}}},
		{"no part, only other faults", crowd.Load{Crashes: others, Reclaims: []crowd.Reclaim{
			{At: 6 * second, Notice: second, From: 0.5, Share: 0.2},
		}}},
		{"no part, all servers crash at once, twice", crowd.Load{Crashes: crowd.Crashes{Alone: []crowd.ServerFault{
			alone(0, servers-1, 3*second), alone(0, servers-1, 9*second),
		}}}},
	}
}

// checkCrashes runs the cases and judges BUDGET, LOST, and whether sound requests are refused.
func checkCrashes(t *testing.T, cases func(nodes, servers int) []crashCase) {
	for _, size := range []struct {
		nodes, servers int
		length         time.Duration
	}{{8, 12, 18 * second}, {64, 89, 18 * second}, {360, 120, 14 * second}} {
		if size.nodes > largestFleet {
			continue
		}
		seed := uint64(24)
		if raw := os.Getenv("CRASH_SEED"); raw != "" {
			if _, err := fmt.Sscan(raw, &seed); err != nil {
				t.Fatal(err)
			}
		}
		for _, cc := range cases(size.nodes, size.servers) {
			t.Run(fmt.Sprintf("%d nodes, %s", size.nodes, cc.name), func(t *testing.T) {
				t.Parallel()
				re := crowd.Run(crowd.Setup{Nodes: size.nodes, Servers: size.servers, Unlimited: size.nodes > 8, Load: cc.load, Duration: size.length, Seed: seed})
				cr := re.Crashes
				t.Logf("%d of %d requests crashed a server, %d count, %d refused; sound: %d of %d began before, %d of %d after, %d refused for what they hold; %d of %d requests in time; reports of crashes: %d B in the worst second of a node, %d B in the mean",
					cr.Crashes, cr.Arrivals, cr.Excess, cr.GuiltyBlocked, cr.Begun, cr.Before, cr.BegunAfter, cr.After, cr.SoundBlocked, re.InTime, re.Requests, cr.ReportBytes, cr.ReportMean)
				if broken := cr.Broken(); len(broken) > 0 {
					t.Errorf("have %v broken, want none", broken)
				}
				if cr.SoundBlocked > 0 {
					t.Errorf("have %d sound requests refused for what they hold, want none", cr.SoundBlocked)
				}
				if len(cc.load.Crashes.Parts)+len(cc.load.Crashes.Requests) > 0 && cr.Crashes < 3 {
					t.Errorf("have %d crashes, want 3 or more", cr.Crashes)
				}
			})
		}
	}
}

// TestPartCrashesServers checks the platform's rules BUDGET and LOST for parts of prompts that crash
// servers, and that sound requests are refused for nothing.
func TestPartCrashesServers(t *testing.T) { checkCrashes(t, crashCases) }

// repeatCases are fleets to which a request comes again that crashes servers.
func repeatCases(nodes, servers int) []crashCase {
	byPart := map[string]crowd.Load{}
	for _, cc := range crashCases(nodes, servers) {
		byPart[cc.name] = cc.load
	}
	early, seldom, slow, fast, late := part(3, 0), part(3, 0), part(0.7, 0), part(12, 0), part(1, 0)
	early.BeforeHead, late.BeforeHead, seldom.Harmless = true, true, 0.15
	requests := func(list ...crowd.GuiltyPart) crowd.Load {
		return crowd.Load{Crashes: crowd.Crashes{Requests: list}}
	}
	faults := requests(part(3, 0))
	faults.Faults = byPart["nodes stop, freeze, join and are cut off"].Faults
	others := byPart["beside crashes, freezes, cuts and reclaims"]
	others.Crashes.Requests, others.Crashes.Parts = []crowd.GuiltyPart{early}, nil
	both := requests(early, part(2, 0))
	both.Crashes.Parts = []crowd.GuiltyPart{part(2, 1)}
	return []crashCase{
		{"in mid-stream", requests(part(3, 0))},
		{"before the head", requests(early)},
		{"sometimes not at all", requests(seldom)},
		{"seldom", requests(slow)},
		{"often", requests(fast)},
		{"three requests", requests(part(2, 0), late, early)},
		{"two requests and a part", both},
		{"nodes stop, freeze, join and are cut off", faults},
		{"beside crashes, freezes, cuts and reclaims", others},
	}
}

// TestRequestCrashesServers checks the platform's rule BUDGET for requests that come again and crash
// each server that runs them.
func TestRequestCrashesServers(t *testing.T) { checkCrashes(t, repeatCases) }
