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

func replica(id string, price units.PricePerHour, queued units.Tokens) *route.Replica {
	return &route.Replica{
		Instance: units.Instance{VM: units.VMID(id), Incarnation: 1}, Zone: units.ZoneID("zone-" + id), Price: price, Usable: true,
		Load:  route.Load{Slots: 16, QueuedTokens: queued, PrefillRate: 10000, Step: 10 * time.Millisecond, At: now},
		Track: &route.Track{}, Cache: route.NewCache(1000),
	}
}

func ask() *route.Ask {
	return &route.Ask{PromptTokens: 1000, OutputTokens: 100, FirstToken: 1100 * time.Millisecond, BetweenTokens: 32 * time.Millisecond}
}

func TestCost(t *testing.T) {
	cheap, dear := replica("cheap", 1, 0), replica("dear", 3, 0)
	for name, tc := range map[string]struct {
		change func(*route.Ask)
		list   []*route.Replica
		want   units.VMID
		late   bool
	}{
		"the cheapest that meets the target": {nil, []*route.Replica{dear, cheap}, "cheap", false},
		"not one that would be late":         {nil, []*route.Replica{replica("busy", 1, 50000), dear}, "dear", false},
		"the soonest if all are late":        {nil, []*route.Replica{replica("worse", 1, 90000), replica("bad", 3, 50000)}, "bad", true},
		"not one that it failed at":          {func(as *route.Ask) { as.Avoid = []units.VMID{"cheap"} }, []*route.Replica{cheap, dear}, "dear", false},
		"not a zone under reclaim":           {func(as *route.Ask) { as.AvoidZones = []units.ZoneID{"zone-cheap"} }, []*route.Replica{cheap, dear}, "dear", false},
		"a zone under reclaim if need be":    {func(as *route.Ask) { as.AvoidZones = []units.ZoneID{"zone-cheap"} }, []*route.Replica{cheap}, "cheap", false},
	} {
		t.Run(name, func(t *testing.T) {
			gm := gomega.NewWithT(t)
			as := ask()
			if tc.change != nil {
				tc.change(as)
			}
			ch, ok := route.NewCost().Choose(now, as, tc.list)
			gm.Expect(ok).To(gomega.BeTrue())
			gm.Expect(ch.Replica.VM).To(gomega.Equal(tc.want))
			gm.Expect(ch.Late).To(gomega.Equal(tc.late))
		})
	}
}

func TestAffinityAndItsBound(t *testing.T) {
	gm := gomega.NewWithT(t)
	var list []*route.Replica
	for num := range 8 {
		list = append(list, replica(fmt.Sprint("r", num), 2, 0))
	}
	as := ask()
	as.Prefix = route.Keys(make([]byte, 4000))
	first, _ := route.NewCost().Choose(now, as, list)
	again, _ := route.NewCost().Choose(now, as, list)
	gm.Expect(again.Replica.VM).To(gomega.Equal(first.Replica.VM), "nodes agree on a prefix's own replica without talking")
	first.Replica.Cache.Hold(as.Prefix)
	held, _ := route.NewCost().Choose(now, as, list)
	gm.Expect(held.Replica.VM).To(gomega.Equal(first.Replica.VM))
	gm.Expect(held.Cached).To(gomega.BeNumerically(">", 900))
	for range 16 {
		first.Replica.Track.Dispatched(now.Add(time.Millisecond), 0)
	}
	other, _ := route.NewCost().Choose(now.Add(time.Millisecond), as, list)
	gm.Expect(other.Replica.VM).NotTo(gomega.Equal(first.Replica.VM), "a hot prefix spills over")
}

// The choice is always usable, and it meets the target if any replica is predicted to.
func TestChoiceMeetsTheTargetIfAnyCan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var list []*route.Replica
		for num := range rapid.IntRange(1, 12).Draw(rt, "replicas") {
			re := replica(fmt.Sprint("r", num), units.PricePerHour(rapid.IntRange(1, 5).Draw(rt, "price")), units.Tokens(rapid.IntRange(0, 20000).Draw(rt, "queue")))
			re.Usable = rapid.IntRange(0, 4).Draw(rt, "usable") > 0
			re.Load.Running = rapid.IntRange(0, 20).Draw(rt, "running")
			list = append(list, re)
		}
		as := ask()
		ch, ok := route.NewCost().Choose(now, as, list)
		rr, okRR := (&route.RoundRobin{}).Choose(now, as, list)
		lf, okLF := route.LeastInFlight{}.Choose(now, as, list)
		if ok != okRR || ok != okLF {
			rt.Fatalf("the policies differ on whether a replica is usable")
		}
		if !ok {
			return
		}
		if !ch.Replica.Usable || !rr.Replica.Usable || !lf.Replica.Usable {
			rt.Fatalf("an unusable replica was chosen")
		}
		best := route.Predict(now, as, ch.Replica).FirstToken
		for _, re := range list {
			if est := route.Predict(now, as, re); re.Usable && ch.Late && est.FirstToken < best {
				rt.Fatalf("late at %s by %s, but %s takes %s", ch.Replica.VM, best, re.VM, est.FirstToken)
			}
		}
	})
}

func TestMarksTellTheCachedPart(t *testing.T) {
	gm := gomega.NewWithT(t)
	re := replica("r", 1, 0)
	long := route.Keys(make([]byte, 60*64*4))
	marks := route.Thin(long)
	gm.Expect(marks.Stride).To(gomega.Equal(8))
	gm.Expect(marks.Keys).To(gomega.HaveLen(7))
	gm.Expect(route.Now(now, re, marks).Cached).To(gomega.BeZero())
	re.Cache.Hold(long[:30])
	gm.Expect(route.Now(now, re, marks).Cached).To(gomega.Equal(24*route.BlockTokens), "the last mark at or before 30 blocks")
	st := route.Now(now, re, route.Thin(long[:5]))
	gm.Expect(st.Cached).To(gomega.Equal(5 * route.BlockTokens))
	gm.Expect(re.Told(&st, long).Cache.Match(long)).To(gomega.Equal(5 * route.BlockTokens))
}

func TestOwnDispatchesCorrectAnOldReport(t *testing.T) {
	gm := gomega.NewWithT(t)
	re := replica("r", 1, 0)
	before := route.Predict(now, ask(), re).FirstToken
	for range 5 {
		re.Track.Dispatched(now.Add(time.Millisecond), 10000)
	}
	gm.Expect(route.Predict(now.Add(time.Millisecond), ask(), re).FirstToken - before).To(gomega.BeNumerically("~", 5*time.Second, 10*time.Millisecond))
	re.Load.At = now.Add(time.Second)
	gm.Expect(route.Predict(now.Add(time.Second), ask(), re).FirstToken).To(gomega.Equal(before), "the next report shows them itself")
}
