// Package cloud is the client of the platform's VM list and cloud API.
package cloud

import (
	"context"
	"fmt"
	"time"

	"lycheepick/internal/plat/httpc"
	"lycheepick/internal/rule/units"
)

// Role tells what runs on a VM.
type Role string

// The roles of a VM.
const (
	RoleEngine Role = "engine"
	RolePlain  Role = "plain"
	RoleNode   Role = "node"
)

// State is what the VM list says of a VM.
type State string

// The states of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Class names a machine class, reclaimable or not.
type Class string

// VM is one entry of the VM list.
type VM struct {
	units.Instance
	Zone units.ZoneID `json:"zone"`
	Role Role         `json:"role"`
	// Address is host:port by IP number. For a node it is the peer address.
	Address string `json:"address"`
	// Target is the model or the plain service that a backend server offers.
	Target units.TargetID `json:"target,omitempty"`
	Class  Class          `json:"class"`
	State  State          `json:"state"`
}

// Price is the current price of a machine class in a zone.
type Price struct {
	Zone    units.ZoneID       `json:"zone"`
	Class   Class              `json:"class"`
	PerHour units.PricePerHour `json:"per_hour"`
}

// Notice says that a VM will be reclaimed. A notice may be delivered twice.
type Notice struct {
	Seq int64 `json:"seq"`
	units.Instance
	Deadline time.Time `json:"deadline"`
}

// API is what the system needs of the cloud.
type API interface {
	// VMs returns the VM list, which may lag.
	VMs(ctx context.Context) ([]VM, error)
	// Prices returns the current prices.
	Prices(ctx context.Context) ([]Price, error)
	// Notices returns the notices with a sequence number over after. It waits
	// up to wait for one.
	Notices(ctx context.Context, after int64, wait time.Duration) ([]Notice, error)
}

// Client is an API over HTTP.
type Client struct{ http *httpc.Client }

// New returns a client of the cloud API at base.
func New(base string) *Client { return &Client{http: httpc.New(base)} }

const waitAllowance = 2 * time.Second

// VMs returns the VM list.
func (cl *Client) VMs(ctx context.Context) ([]VM, error) {
	var out []VM
	err := cl.http.Do(ctx, "GET", "/vms", nil, &out)
	return out, err
}

// Prices returns the current prices.
func (cl *Client) Prices(ctx context.Context) ([]Price, error) {
	var out []Price
	err := cl.http.Do(ctx, "GET", "/prices", nil, &out)
	return out, err
}

// Notices returns the reclaim notices after a sequence number.
func (cl *Client) Notices(ctx context.Context, after int64, wait time.Duration) ([]Notice, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+waitAllowance)
	defer cancel()
	var out []Notice
	err := cl.http.Do(ctx, "GET", fmt.Sprintf("/notices?after=%d&wait=%s", after, wait), nil, &out)
	return out, err
}
