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

// Cloud is a fake of the VM list and the cloud API.
type Cloud struct {
	faults faults
	lag    time.Duration

	mu           sync.Mutex
	vms          map[units.VMID]cloud.VM
	listVersions []vmListVersion
	prices       []cloud.Price
	notices      []cloud.Notice
	noticesAdded chan struct{}
}

// vmListVersion is the VM list as of a point in time.
type vmListVersion struct {
	at   time.Time
	list []cloud.VM
}

// NewCloud returns a cloud without VMs. Changes appear in its VM list after lag.
func NewCloud(lag time.Duration) *Cloud {
	return &Cloud{lag: lag, vms: map[units.VMID]cloud.VM{}, noticesAdded: make(chan struct{})}
}

// App returns the HTTP server of the cloud API, with admin endpoints that set VMs and prices
// and reclaim VMs.
func (cl *Cloud) App() *fiber.App {
	app := cl.faults.newApp()
	app.Post("/admin/vms", cl.setVMs)
	app.Post("/admin/remove", cl.remove)
	app.Post("/admin/prices", cl.setPrices)
	app.Post("/admin/reclaim", cl.reclaim)
	app.Use(cl.faults.applyFaults)
	app.Get("/vms", cl.list)
	app.Get("/prices", cl.listPrices)
	app.Get("/notices", cl.listNotices)
	return app
}

// recordList adds a version of the VM list. The caller holds the lock.
func (cl *Cloud) recordList() {
	list := make([]cloud.VM, 0, len(cl.vms))
	for _, vm := range cl.vms {
		list = append(list, vm)
	}
	cl.listVersions = append(cl.listVersions, vmListVersion{at: time.Now(), list: list})
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
	cl.recordList()
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
	cl.recordList()
	return ct.SendStatus(fiber.StatusOK)
}

func (cl *Cloud) setPrices(ct *fiber.Ctx) error {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.prices = nil
	return ct.BodyParser(&cl.prices)
}

// Reclaim is the body of POST /admin/reclaim, which reclaims VMs.
type Reclaim struct {
	// Zone, if not empty, reclaims all VMs of that zone except nodes. VMs reclaims the VMs
	// listed.
	Zone         units.ZoneID   `json:"zone"`
	VMs          []units.VMID   `json:"vms"`
	NoticePeriod units.Duration `json:"in"`
	// Exit stops the fakes on the VMs at the end of the notice period.
	Exit bool `json:"exit"`
}

func (cl *Cloud) reclaim(ct *fiber.Ctx) error {
	var in Reclaim
	if err := ct.BodyParser(&in); err != nil {
		return err
	}
	deadline := time.Now().Add(in.NoticePeriod.Std())
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, vm := range cl.reclaimedVMs(&in) {
		vm.State = cloud.StateLeaving
		cl.vms[vm.VM] = vm
		cl.notices = append(cl.notices, cloud.Notice{Seq: int64(len(cl.notices) + 1), Instance: vm.Instance, Deadline: deadline})
		if in.Exit {
			time.AfterFunc(in.NoticePeriod.Std(), func() { stopVM(vm.Address) })
		}
	}
	cl.recordList()
	close(cl.noticesAdded)
	cl.noticesAdded = make(chan struct{})
	return ct.SendStatus(fiber.StatusOK)
}

func stopVM(addr string) {
	_ = httpc.New("http://"+addr).Do(context.Background(), "POST", "/admin/exit", nil, nil)
}

// reclaimedVMs returns the VMs that in selects. The caller holds the lock.
func (cl *Cloud) reclaimedVMs(in *Reclaim) []cloud.VM {
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
	for _, ve := range cl.listVersions {
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
	wait, _ := time.ParseDuration(ct.Query("wait", "0s"))
	until := time.Now().Add(wait)
	for {
		out, added := cl.noticesAfter(after)
		left := time.Until(until)
		if len(out) > 0 || left <= 0 {
			return ct.JSON(out)
		}
		select {
		case <-added:
		case <-time.After(left):
		}
	}
}

// noticesAfter returns the notices with numbers above after, and a channel that is closed
// when notices are added.
func (cl *Cloud) noticesAfter(after int64) ([]cloud.Notice, chan struct{}) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	out := []cloud.Notice{}
	for _, no := range cl.notices {
		if no.Seq > after {
			out = append(out, no)
		}
	}
	return out, cl.noticesAdded
}
