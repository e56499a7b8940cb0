package permit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "lycheepick/internal/fake/seed"
	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/units"
)

var (
	epoch   = time.Unix(1_000_000, 0)
	limited = notice.Server{ID: "i-1", StartUnixMS: 7}
)

func named(rate units.RequestsPerSecond) permit.Limit { return permit.Limit{Rate: rate, Named: true} }

// TestIssuerKeepsLimit checks that, however many nodes ask at whatever times, an issuer issues in no
// window of the platform's rule more than the rule allows, and most of the limit if many ask.
func TestIssuerKeepsLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0, 300).Draw(rt, "rate")
		askers := rapid.IntRange(1, 360).Draw(rt, "askers")
		bo, now := permit.NewBook(), epoch
		next := make([]time.Time, askers)
		var issued []time.Time
		total := 0
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(rt, "gap")) * time.Millisecond)
			node := rapid.IntRange(0, askers-1).Draw(rt, "node")
			if now.Before(next[node]) {
				continue
			}
			gr := bo.Issue(now, permit.Request{Observation: permit.Observation{Server: limited, Limit: named(units.RequestsPerSecond(rate))}, Want: rapid.IntRange(1, 64).Draw(rt, "want")}, 1)
			if (gr.Permits == 0) == (gr.After == 0) {
				rt.Fatalf("have %d permits and a delay of %s, want one of them", gr.Permits, gr.After)
			}
			next[node] = now.Add(gr.After)
			for range gr.Permits {
				issued = append(issued, now)
			}
			total += gr.Permits
			for len(issued) > 0 && now.Sub(issued[0]) > 4*time.Second {
				issued = issued[1:]
			}
			// Permits that are used late may add to the next window, so the bound here is below 1.5.
			if allowed := 1.1*rate*4 + 4; float64(len(issued)) > allowed {
				rt.Fatalf("issued %d permits in 4 s at %.1f a second, want %.1f at most", len(issued), rate, allowed)
			}
		}
	})
}

// TestOldAnswerDoesNotEndLimit guards against an answer that was given before a server named its
// limit, and read after it, for example by a node that was frozen.
func TestOldAnswerDoesNotEndLimit(t *testing.T) {
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	for _, tt := range []struct {
		name string
		now  int
		sent int
		want bool
	}{
		{"an answer to a request sent before the limit was named", 900, 400, true},
		{"an answer to a request sent after it", 900, 600, false},
	} {
		bo := permit.NewBook()
		bo.Observe(at(500), at(490), limited, named(2))
		bo.Observe(at(tt.now), at(tt.sent), limited, permit.Limit{})
		if have := bo.Limit(limited).Named; have != tt.want {
			t.Errorf("%s: limit named: have %t, want %t", tt.name, have, tt.want)
		}
	}
	bo := permit.NewBook()
	bo.Observe(at(500), at(490), limited, named(2))
	bo.Merge(at(700), at(700), []permit.Observation{{Server: limited, Age: 300 * time.Millisecond}})
	if !bo.Limit(limited).Named {
		t.Error("an older observation of a peer ended the limit")
	}
	bo.Merge(at(700), at(700), []permit.Observation{{Server: limited, Age: 100 * time.Millisecond}})
	if bo.Limit(limited).Named {
		t.Error("a newer observation of a peer did not end the limit")
	}
	bo.Observe(at(800), at(790), notice.Server{ID: limited.ID, StartUnixMS: 8}, named(2))
	if bo.Limit(limited).Named {
		t.Error("the limit of the next incarnation applies to the one before")
	}
}

// TestPermitsExpire checks that a permit can be used once, and only for a short time.
func TestPermitsExpire(t *testing.T) {
	bo := permit.NewBook()
	bo.Observe(epoch, epoch, limited, named(2))
	if bo.Gate(epoch, limited) != permit.Ask {
		t.Fatal("a server with a limit gets requests without a permit")
	}
	bo.Receive(epoch, permit.Grant{Observation: permit.Observation{Server: limited, Limit: named(2), Age: time.Second}, Permits: 2})
	bo.Use(epoch, limited)
	if bo.Gate(epoch, limited) != permit.Open {
		t.Error("the second of two permits can't be used")
	}
	if bo.Gate(epoch.Add(600*time.Millisecond), limited) != permit.Ask {
		t.Error("a permit can be used after it expired")
	}
	bo.Use(epoch, limited)
	if bo.Gate(epoch, limited) != permit.Ask {
		t.Error("two permits can be used three times")
	}
	bo.Receive(epoch, permit.Grant{Observation: permit.Observation{Server: limited, Limit: named(2), Age: time.Second}, After: time.Second})
	if bo.Gate(epoch.Add(900*time.Millisecond), limited) != permit.Closed || bo.Gate(epoch.Add(time.Second), limited) != permit.Ask {
		t.Error("the delay until permits can be asked for again is not kept")
	}
}

// TestPartsOfFleetIssueWholeLimit guards against the parts of a fleet that was cut apart each issuing
// all of a limit, and against a new node doing so before the others know it.
func TestPartsOfFleetIssueWholeLimit(t *testing.T) {
	for _, nodes := range []int{8, 64, 360} {
		for _, cut := range []int{1, 2, nodes / 3, nodes / 2} {
			members := make([]*permit.Members, nodes)
			for num := range members {
				members[num] = permit.NewMembers(nodeID(num))
			}
			meet := func(now time.Time, within func(one, two int) bool) {
				for one := range members {
					for two := range members {
						if one != two && within(one, two) {
							members[one].Heard(now, nodeID(two), true)
						}
					}
				}
			}
			meet(epoch, func(int, int) bool { return true })
			issuer := members[0].Issuer(epoch, limited)
			for num, me := range members {
				if have := me.Issuer(epoch, limited); have != issuer {
					t.Fatalf("%d nodes: node %d takes %s for the issuer, node 0 %s", nodes, num, have, issuer)
				}
			}
			later := epoch.Add(40 * time.Second)
			meet(later, func(one, two int) bool { return (one < cut) == (two < cut) })
			sum := 0.0
			for num, me := range members {
				if me.Issuer(later, limited) == nodeID(num) {
					sum += me.Share(later)
				}
			}
			if sum > 1.0001 {
				t.Errorf("%d nodes, %d cut off: the issuers issue %.2f of the limit, want 1 at most", nodes, cut, sum)
			}
			joined := permit.NewMembers("new")
			for num := range nodes {
				joined.Add(later, nodeID(num))
			}
			if share := joined.Share(later); share > 1.0/float64(nodes) {
				t.Errorf("%d nodes: a new node issues %.3f of the limit", nodes, share)
			}
		}
	}
}

// TestIssuerThatFails checks that a node that can't be called loses its role, and an old release
// never has it.
func TestIssuerThatFails(t *testing.T) {
	me := permit.NewMembers("own")
	for num := range 20 {
		me.Heard(epoch, nodeID(num), true)
	}
	sv := notice.Server{ID: "i-2"}
	for me.Issuer(epoch, sv) == "own" {
		sv.StartUnixMS++
	}
	issuer := me.Issuer(epoch, sv)
	me.CallFailed(epoch, issuer)
	if have := me.Issuer(epoch.Add(time.Second), sv); have != issuer {
		t.Errorf("after one failed call: have issuer %s, want %s", have, issuer)
	}
	if have := me.Issuer(epoch.Add(2*time.Second), sv); have == issuer {
		t.Errorf("have issuer %s, which has not answered for 2 s", have)
	}
	me.Heard(epoch.Add(2*time.Second), issuer, false)
	if have := me.Issuer(epoch.Add(2*time.Second), sv); have == issuer {
		t.Errorf("have issuer %s, which issues no permits", have)
	}
}

// TestNearestNodesAgree checks that nodes whose views differ by some peers look for state where others
// have put it.
func TestNearestNodesAgree(t *testing.T) {
	for _, nodes := range []int{8, 64, 360} {
		one, two := permit.NewMembers(nodeID(0)), permit.NewMembers(nodeID(1))
		for num := range nodes {
			if num != 0 {
				one.Heard(epoch, nodeID(num), true)
			}
			if num != 1 && num%20 != 7 { // This node has lost one in twenty.
				two.Heard(epoch, nodeID(num), true)
			}
		}
		missed := 0
		for num := range 1000 {
			key := fmt.Sprint("request-", num)
			found := map[units.VMID]bool{}
			for _, id := range two.Nearest(epoch, key, 6) {
				found[id] = true
			}
			hits := 0
			for _, id := range one.Nearest(epoch, key, 2) {
				if found[id] {
					hits++
				}
			}
			if hits == 0 {
				missed++
			}
		}
		if missed > 20 {
			t.Errorf("%d nodes: have %d of 1000 keys of which no copy is found, want 20 at most", nodes, missed)
		}
	}
}

func nodeID(num int) units.VMID { return units.VMID(fmt.Sprint("node-", num)) }

// TestLimitsSpread checks that a report carries every limit that changed lately, also beside
// hundreds of others, and all others in time.
func TestLimitsSpread(t *testing.T) {
	bo, peer := permit.NewBook(), permit.NewBook()
	server := func(num int) notice.Server { return notice.Server{ID: units.VMID(fmt.Sprint("i-", num))} }
	for num := range 300 {
		bo.Observe(epoch, epoch, server(num), named(3))
	}
	now := epoch.Add(time.Minute)
	for num := range 100 {
		bo.Observe(now, now, server(num), named(1))
	}
	peer.Merge(now, now, bo.Observations(now))
	for num := range 100 {
		if peer.Limit(server(num)) != named(1) {
			t.Fatalf("one report does not carry the change of server %d", num)
		}
	}
	for range 200 {
		now = now.Add(300 * time.Millisecond)
		list := bo.Observations(now)
		if now.Sub(epoch) > 2*time.Minute && len(list) > 32 {
			t.Fatalf("a report carries %d limits that have not changed", len(list))
		}
		peer.Merge(now, now, list)
	}
	for num := range 300 {
		if !peer.Limit(server(num)).Named {
			t.Fatalf("200 reports do not carry the limit of server %d", num)
		}
	}
}
