package member_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lycheepick/internal/fake/seed"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

func drawMember(rt *rapid.T) member.Member {
	me := member.Member{
		Instance: units.Instance{VM: "vm", Incarnation: units.Incarnation(rapid.IntRange(1, 2).Draw(rt, "incarnation"))},
		State:    member.State(rapid.IntRange(0, 3).Draw(rt, "state")),
		Revision: uint64(rapid.IntRange(0, 2).Draw(rt, "revision")),
		Address:  rapid.SampledFrom([]string{"10.0.0.1:1", "10.0.0.2:1"}).Draw(rt, "address"),
	}
	if rapid.Bool().Draw(rt, "deadline") {
		me.Deadline = time.Unix(int64(rapid.IntRange(1, 2).Draw(rt, "at")), 0).UTC()
	}
	return me
}

func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		one, two, three := drawMember(rt), drawMember(rt), drawMember(rt)
		if member.Merge(one, two) != member.Merge(two, one) {
			rt.Fatalf("not commutative: %+v %+v", one, two)
		}
		if member.Merge(one, one) != one {
			rt.Fatalf("not idempotent: %+v", one)
		}
		left := member.Merge(member.Merge(one, two), three)
		right := member.Merge(one, member.Merge(two, three))
		if left != right {
			rt.Fatalf("not associative: %+v / %+v / %+v: %+v, %+v", one, two, three, left, right)
		}
	})
}

// newest is a naive view that keeps the record that arrived last.
type newest struct{ cur member.Member }

func (ne *newest) apply(me member.Member) { ne.cur = me }

// A VM list that lags behind a reclaim notice still lists the VM as alive. The member must
// stay leaving until its id is reused by another VM.
func TestLeavingIsSticky(t *testing.T) {
	gm := gomega.NewWithT(t)
	live := member.Member{Instance: units.Instance{VM: "vm", Incarnation: 1}, Role: member.RoleEngine}
	leaving := live
	leaving.State = member.Leaving
	leaving.Deadline = time.Unix(100, 0).UTC()

	naive := &newest{}
	vi := member.NewView()
	for _, me := range []member.Member{live, leaving, live, leaving, live} {
		naive.apply(me)
		vi.Apply(me)
	}
	gm.Expect(naive.cur.State).To(gomega.Equal(member.Alive), "the naive view takes a leaving server for alive")
	have, _ := vi.Get("vm")
	gm.Expect(have).To(gomega.Equal(leaving))

	again := live
	again.Incarnation = 2
	vi.Apply(again)
	vi.Apply(leaving)
	have, _ = vi.Get("vm")
	gm.Expect(have).To(gomega.Equal(again), "a notice for the earlier VM must not apply to the later one")
}

func TestDigestIgnoresOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		one, two := member.NewView(), member.NewView()
		list := rapid.SliceOfN(rapid.Custom(drawMember), 1, 8).Draw(rt, "records")
		for idx := range list {
			one.Apply(list[idx])
			two.Apply(list[len(list)-1-idx])
		}
		if one.Digest() != two.Digest() {
			rt.Fatalf("the digest depends on the order of arrival")
		}
	})
}

func TestRankIsStableWhenAMemberLeaves(t *testing.T) {
	gm := gomega.NewWithT(t)
	var list []member.Member
	for _, id := range []units.VMID{"a", "b", "c", "d", "e"} {
		list = append(list, member.Member{Instance: units.Instance{VM: id}})
	}
	all := func(*member.Member) bool { return true }
	notC := func(me *member.Member) bool { return me.VM != "c" }
	for _, key := range []string{"one", "two", "three", "four", "five", "six"} {
		before, after := member.Rank(key, list, all), member.Rank(key, list, notC)
		if before[0].VM != "c" {
			gm.Expect(after[0].VM).To(gomega.Equal(before[0].VM))
		}
	}
}
