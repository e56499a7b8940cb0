package stand

import (
	"context"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"lycheepick/internal/plat/cloud"
	"lycheepick/internal/plat/httpc"
	"lycheepick/internal/rule/units"
)

// Cloud is a stand-in of the VM list and the cloud API.
type Cloud struct {
	faults faults
	lag    time.Duration

	mu      sync.Mutex
	vms     map[units.VMID]cloud.VM
	shown   []version
	prices  []cloud.Price
	notices []cloud.Notice
	grown   chan struct{}
}

// version is one state of the VM list and when it came to be.
type version struct {
	at   time.Time
	list []cloud.VM
}

// NewCloud returns a cloud without VMs, whose VM list lags by lag.
func NewCloud(lag time.Duration) *Cloud {
	return &Cloud{lag: lag, vms: map[units.VMID]cloud.VM{}, grown: make(chan struct{})}
}

// App returns the cloud's HTTP server.
func (cl *Cloud) App() *fiber.App {
	app := cl.faults.newApp()
	app.Post("/admin/vms", cl.setVMs)
	app.Post("/admin/remove", cl.remove)
	app.Post("/admin/prices", cl.setPrices)
	app.Post("/admin/reclaim", cl.reclaim)
	app.Use(cl.faults.guard)
	app.Get("/vms", cl.list)
	app.Get("/prices", cl.listPrices)
	app.Get("/notices", cl.listNotices)
	return app
}

// changed notes a new state of the VM list. The caller holds the lock.
func (cl *Cloud) changed() {
	list := make([]cloud.VM, 0, len(cl.vms))
	for _, vm := range cl.vms {
		list = append(list, vm)
	}
	cl.shown = append(cl.shown, version{at: time.Now(), list: list})
}

func (cl *Cloud) setVMs(ct *fiber.Ctx) error {
	var list []cloud.VM
	if err := ct.BodyParser(&list); err != nil {
		return err
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, vm := range list {
		cl.vms[vm.VM] = vm
	}
	cl.changed()
	return ct.SendStatus(fiber.StatusOK)
}

func (cl *Cloud) remove(ct *fiber.Ctx) error {
	var ids []units.VMID
	if err := ct.BodyParser(&ids); err != nil {
		return err
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, id := range ids {
		delete(cl.vms, id)
	}
	cl.changed()
	return ct.SendStatus(fiber.StatusOK)
}

func (cl *Cloud) setPrices(ct *fiber.Ctx) error {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.prices = nil
	return ct.BodyParser(&cl.prices)
}

// Reclaim is the order that takes VMs away.
type Reclaim struct {
	// Zone takes all reclaimable VMs of a zone; VMs takes those named.
	Zone units.ZoneID   `json:"zone"`
	VMs  []units.VMID   `json:"vms"`
	In   units.Duration `json:"in"`
	// Exit stops the stand-ins on the VMs at the deadline.
	Exit bool `json:"exit"`
}

func (cl *Cloud) reclaim(ct *fiber.Ctx) error {
	var in Reclaim
	if err := ct.BodyParser(&in); err != nil {
		return err
	}
	deadline := time.Now().Add(in.In.Std())
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, vm := range cl.taken(&in) {
		vm.State = cloud.StateLeaving
		cl.vms[vm.VM] = vm
		cl.notices = append(cl.notices, cloud.Notice{Seq: int64(len(cl.notices) + 1), Instance: vm.Instance, Deadline: deadline})
		if in.Exit {
			time.AfterFunc(in.In.Std(), func() { exitVM(vm.Address) })
		}
	}
	cl.changed()
	close(cl.grown)
	cl.grown = make(chan struct{})
	return ct.SendStatus(fiber.StatusOK)
}

func exitVM(addr string) {
	_ = httpc.New("http://"+addr).Do(context.Background(), "POST", "/admin/exit", nil, nil)
}

func (cl *Cloud) taken(in *Reclaim) []cloud.VM {
	var out []cloud.VM
	for _, id := range in.VMs {
		if vm, ok := cl.vms[id]; ok {
			out = append(out, vm)
		}
	}
	for _, vm := range cl.vms {
		if in.Zone != "" && vm.Zone == in.Zone && vm.Role != cloud.RoleNode {
			out = append(out, vm)
		}
	}
	return out
}

func (cl *Cloud) list(ct *fiber.Ctx) error {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	out := []cloud.VM{}
	for _, ve := range cl.shown {
		if time.Since(ve.at) >= cl.lag {
			out = ve.list
		}
	}
	return ct.JSON(out)
}

func (cl *Cloud) listPrices(ct *fiber.Ctx) error {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.prices == nil {
		return ct.JSON([]cloud.Price{})
	}
	return ct.JSON(cl.prices)
}

func (cl *Cloud) listNotices(ct *fiber.Ctx) error {
	after := int64(ct.QueryInt("after"))
	patience, _ := time.ParseDuration(ct.Query("wait", "0s"))
	until := time.Now().Add(patience)
	for {
		out, grown := cl.newer(after)
		left := time.Until(until)
		if len(out) > 0 || left <= 0 {
			return ct.JSON(out)
		}
		select {
		case <-grown:
		case <-time.After(left):
		}
	}
}

func (cl *Cloud) newer(after int64) ([]cloud.Notice, chan struct{}) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	out := []cloud.Notice{}
	for _, no := range cl.notices {
		if no.Seq > after {
			out = append(out, no)
		}
	}
	return out, cl.grown
}
