package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lycheepick/internal/fake/seed"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
)

var now = time.Unix(100, 0)

func newServer(id string, price units.PricePerHour, queued units.Tokens) *route.Server {
	return &route.Server{
		Instance: units.Instance{VM: units.VMID(id), Incarnation: 1}, Zone: units.ZoneID("zone-" + id), Price: price, Usable: true,
		Load:       route.Load{Slots: 16, QueuedTokens: queued, PrefillRate: 10000, Step: 10 * time.Millisecond, At: now},
		Dispatches: &route.DispatchLog{}, Cache: route.NewCache(1000),
	}
}

func newRequest() *route.Request {
	return &route.Request{PromptTokens: 1000, OutputTokens: 100, FirstToken: 1100 * time.Millisecond, BetweenTokens: 32 * time.Millisecond}
}

func TestCostPolicy(t *testing.T) {
	cheap, expensive := newServer("cheap", 1, 0), newServer("expensive", 3, 0)
	for name, tc := range map[string]struct {
		change func(*route.Request)
		list   []*route.Server
		want   units.VMID
		late   bool
	}{
		"the cheapest that meets the target":        {nil, []*route.Server{expensive, cheap}, "cheap", false},
		"not one that would be late":                {nil, []*route.Server{newServer("busy", 1, 50000), expensive}, "expensive", false},
		"the earliest if all are late":              {nil, []*route.Server{newServer("worse", 1, 90000), newServer("bad", 3, 50000)}, "bad", true},
		"not one at which it failed":                {func(rq *route.Request) { rq.Avoid = []units.VMID{"cheap"} }, []*route.Server{cheap, expensive}, "expensive", false},
		"not a zone under reclaim":                  {func(rq *route.Request) { rq.AvoidZones = []units.ZoneID{"zone-cheap"} }, []*route.Server{cheap, expensive}, "expensive", false},
		"a zone under reclaim if there is no other": {func(rq *route.Request) { rq.AvoidZones = []units.ZoneID{"zone-cheap"} }, []*route.Server{cheap}, "cheap", false},
	} {
		t.Run(name, func(t *testing.T) {
			gm := gomega.NewWithT(t)
			rq := newRequest()
			if tc.change != nil {
				tc.change(rq)
			}
			ch, ok := route.NewCostPolicy().Choose(now, rq, tc.list)
			gm.Expect(ok).To(gomega.BeTrue())
			gm.Expect(ch.Server.VM).To(gomega.Equal(tc.want))
			gm.Expect(ch.Late).To(gomega.Equal(tc.late))
		})
	}
}

func TestAffinityAndItsBound(t *testing.T) {
	gm := gomega.NewWithT(t)
	var list []*route.Server
	for num := range 8 {
		list = append(list, newServer(fmt.Sprint("r", num), 2, 0))
	}
	rq := newRequest()
	rq.Prefix = route.Keys(make([]byte, 4000))
	first, _ := route.NewCostPolicy().Choose(now, rq, list)
	again, _ := route.NewCostPolicy().Choose(now, rq, list)
	gm.Expect(again.Server.VM).To(gomega.Equal(first.Server.VM), "all nodes prefer the same server for a prefix without communication")
	first.Server.Cache.Add(rq.Prefix)
	held, _ := route.NewCostPolicy().Choose(now, rq, list)
	gm.Expect(held.Server.VM).To(gomega.Equal(first.Server.VM))
	gm.Expect(held.Cached).To(gomega.BeNumerically(">", 900))
	for range 16 {
		first.Server.Dispatches.Dispatched(now.Add(time.Millisecond), 0)
	}
	other, _ := route.NewCostPolicy().Choose(now.Add(time.Millisecond), rq, list)
	gm.Expect(other.Server.VM).NotTo(gomega.Equal(first.Server.VM), "a hot prefix spills over to another server")
}

// A policy chooses only usable servers, and a late choice is the earliest of them, so that the
// target is missed only if no server is predicted to meet it.
func TestChoiceMeetsTheTargetIfAnyCan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var list []*route.Server
		for num := range rapid.IntRange(1, 12).Draw(rt, "servers") {
			sv := newServer(fmt.Sprint("r", num), units.PricePerHour(rapid.IntRange(1, 5).Draw(rt, "price")), units.Tokens(rapid.IntRange(0, 20000).Draw(rt, "queue")))
			sv.Usable = rapid.IntRange(0, 4).Draw(rt, "usable") > 0
			sv.Load.Running = rapid.IntRange(0, 20).Draw(rt, "running")
			list = append(list, sv)
		}
		rq := newRequest()
		ch, ok := route.NewCostPolicy().Choose(now, rq, list)
		rr, okRR := (&route.RoundRobin{}).Choose(now, rq, list)
		lf, okLF := route.LeastInFlight{}.Choose(now, rq, list)
		if ok != okRR || ok != okLF {
			rt.Fatalf("the policies differ on whether a server is usable")
		}
		if !ok {
			return
		}
		if !ch.Server.Usable || !rr.Server.Usable || !lf.Server.Usable {
			rt.Fatalf("a policy chose an unusable server")
		}
		best := route.Predict(now, rq, ch.Server).FirstToken
		for _, sv := range list {
			if est := route.Predict(now, rq, sv); sv.Usable && ch.Late && est.FirstToken < best {
				rt.Fatalf("late at %s by %s, but %s is predicted at %s", ch.Server.VM, best, sv.VM, est.FirstToken)
			}
		}
	})
}

func TestPrefixSampleGivesCachedTokens(t *testing.T) {
	gm := gomega.NewWithT(t)
	sv := newServer("r", 1, 0)
	long := route.Keys(make([]byte, 60*64*4))
	sample := route.SamplePrefix(long)
	gm.Expect(sample.Stride).To(gomega.Equal(8))
	gm.Expect(sample.Keys).To(gomega.HaveLen(7))
	gm.Expect(route.CurrentState(now, sv, sample).Cached).To(gomega.BeZero())
	sv.Cache.Add(long[:30])
	gm.Expect(route.CurrentState(now, sv, sample).Cached).To(gomega.Equal(24*route.BlockTokens), "the last sampled key at or before 30 blocks")
	st := route.CurrentState(now, sv, route.SamplePrefix(long[:5]))
	gm.Expect(st.Cached).To(gomega.Equal(5 * route.BlockTokens))
	gm.Expect(sv.WithState(&st, long).Cache.Match(long)).To(gomega.Equal(5 * route.BlockTokens))
}

func TestOwnDispatchesAreAddedToAnOldReport(t *testing.T) {
	gm := gomega.NewWithT(t)
	sv := newServer("r", 1, 0)
	before := route.Predict(now, newRequest(), sv).FirstToken
	for range 5 {
		sv.Dispatches.Dispatched(now.Add(time.Millisecond), 10000)
	}
	gm.Expect(route.Predict(now.Add(time.Millisecond), newRequest(), sv).FirstToken - before).To(gomega.BeNumerically("~", 5*time.Second, 10*time.Millisecond))
	sv.Load.At = now.Add(time.Second)
	gm.Expect(route.Predict(now.Add(time.Second), newRequest(), sv).FirstToken).To(gomega.Equal(before), "the next report includes them")
}
