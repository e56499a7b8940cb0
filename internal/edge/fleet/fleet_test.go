package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"lycheepick/internal/edge/engine"
	"lycheepick/internal/edge/fleet"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
)

// auditRecorder collects the audit events.
type auditRecorder struct{ events []string }

// Note implements fleet.Audit.
func (au *auditRecorder) Note(event, subject, _ string) {
	au.events = append(au.events, event+" "+subject)
}

func members(nodes, servers int) []member.Member {
	var out []member.Member
	for num := range nodes {
		out = append(out, member.Member{Instance: units.Instance{VM: units.VMID(fmt.Sprintf("node-%03d", num)), Incarnation: 1}, Address: "a"})
	}
	for num := range servers {
		out = append(out, member.Member{
			Instance: units.Instance{VM: units.VMID(fmt.Sprintf("engine-%03d", num)), Incarnation: 1},
			Role:     member.RoleEngine, Target: units.TargetID(fmt.Sprint("model-", num%6)), Zone: "zone-1",
		})
	}
	return out
}

func TestServerIsEjectedAndComesBack(t *testing.T) {
	gm := gomega.NewWithT(t)
	au := &auditRecorder{}
	fl := fleet.New(au)
	list := members(1, 2)
	fl.SetMembers(list)
	now := time.Now()
	server := list[1].Instance
	for range 3 {
		fl.RequestFailed(server, now)
	}
	gm.Expect(fl.Snapshot().Server("engine-000").Usable).To(gomega.BeFalse())
	gm.Expect(fl.Snapshot().Server("engine-001").Usable).To(gomega.BeTrue())
	fl.ApplyReport(server, &engine.Report{Slots: 4}, now.Add(time.Minute))
	gm.Expect(fl.Snapshot().Server("engine-000").Usable).To(gomega.BeTrue())
	gm.Expect(au.events).To(gomega.Equal([]string{"server_ejected engine-000", "server_returned engine-000"}))
}

// TestNewIncarnationStartsAfresh checks that a new incarnation of a VM ID does not inherit
// the health state of the old one, nor the results of requests to it that arrive late.
func TestNewIncarnationStartsAfresh(t *testing.T) {
	gm := gomega.NewWithT(t)
	fl := fleet.New(&auditRecorder{})
	list := members(1, 1)
	fl.SetMembers(list)
	for range 3 {
		fl.RequestFailed(list[1].Instance, time.Now())
	}
	before := list[1].Instance
	list = members(1, 1)
	list[1].Incarnation = 2
	fl.SetMembers(list)
	gm.Expect(fl.Snapshot().Server("engine-000").Usable).To(gomega.BeTrue())
	for range 3 {
		fl.RequestFailed(before, time.Now())
	}
	gm.Expect(fl.Snapshot().Server("engine-000").Usable).To(gomega.BeTrue(), "late results of the old incarnation")
}

// TestOwnerNodes checks that the owner of a server depends only on the membership, and
// that a node leaving reassigns only the servers that it owned.
func TestOwnerNodes(t *testing.T) {
	gm := gomega.NewWithT(t)
	fl := fleet.New(&auditRecorder{})
	list := members(5, 40)
	fl.SetMembers(list)
	before := fl.Snapshot()
	left := members(5, 40)
	left[2].State = member.Leaving
	fl.SetMembers(left)
	moved := 0
	for _, me := range list[5:] {
		was, is := before.OwnerNode(me.VM), fl.Snapshot().OwnerNode(me.VM)
		gm.Expect(is.VM).NotTo(gomega.Equal(units.VMID("node-002")))
		if was.VM != is.VM {
			gm.Expect(was.VM).To(gomega.Equal(units.VMID("node-002")))
			moved++
		}
	}
	gm.Expect(moved).To(gomega.BeNumerically(">", 0))
}

func BenchmarkSetMembers(b *testing.B) {
	for _, size := range [][2]int{{8, 27}, {90, 150}, {360, 600}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			fl := fleet.New(&auditRecorder{})
			list := members(size[0], size[1])
			for num := 0; b.Loop(); num++ {
				list[0].TableVersion = units.Version(num)
				fl.SetMembers(list)
			}
		})
		b.Run(fmt.Sprintf("%dx%d/nodes-change", size[0], size[1]), func(b *testing.B) {
			fl := fleet.New(&auditRecorder{})
			list := members(size[0], size[1])
			for num := 0; b.Loop(); num++ {
				list[0].State = member.State(num % 2)
				fl.SetMembers(list)
			}
		})
	}
}
