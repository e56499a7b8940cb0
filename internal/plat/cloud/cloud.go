// Package cloud is the client of the platform's VM list and cloud API.
package cloud

import (
	"context"
	"fmt"
	"time"

	"lycheepick/internal/plat/httpc"
	"lycheepick/internal/rule/units"
)

// Role is the kind of process that runs on a VM.
type Role string

// The roles of a VM.
const (
	RoleEngine Role = "engine"
	RolePlain  Role = "plain"
	RoleNode   Role = "node"
)

// State is the state of a VM in the VM list.
type State string

// The states of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Class names a VM class; a class is either reclaimable or not.
type Class string

// VM is one entry of the VM list.
type VM struct {
	units.Instance
	Zone units.ZoneID `json:"zone"`
	Role Role         `json:"role"`
	// Address is host:port with a numeric IP address. For a node it is the peer address.
	Address string `json:"address"`
	// Target is the model or plain service that a backend server provides.
	Target units.TargetID `json:"target,omitempty"`
	Class  Class          `json:"class"`
	State  State          `json:"state"`
}

// Price is the current price of a VM class in a zone.
type Price struct {
	Zone    units.ZoneID       `json:"zone"`
	Class   Class              `json:"class"`
	PerHour units.PricePerHour `json:"per_hour"`
}

// Notice announces that a VM will be reclaimed at Deadline. The same notice may be
// delivered more than once.
type Notice struct {
	Seq int64 `json:"seq"`
	units.Instance
	Deadline time.Time `json:"deadline"`
}

// API is the part of the cloud API that the system uses.
type API interface {
	// VMs returns the VM list, which may be out of date.
	VMs(ctx context.Context) ([]VM, error)
	// Prices returns the current price of each VM class in each zone.
	Prices(ctx context.Context) ([]Price, error)
	// Notices returns the notices with a sequence number greater than after. If there is
	// none, it waits up to wait for the first.
	Notices(ctx context.Context, after int64, wait time.Duration) ([]Notice, error)
}

// Client is an API over HTTP.
type Client struct{ http *httpc.Client }

// New returns a client of the cloud API at the URL base, such as "http://10.0.0.1:9000".
func New(base string) *Client { return &Client{http: httpc.New(base)} }

// longPollMargin bounds a call beyond the time for which the service may wait for a notice.
const longPollMargin = 2 * time.Second

// VMs implements API.
func (cl *Client) VMs(ctx context.Context) ([]VM, error) {
	var out []VM
	err := cl.http.Do(ctx, "GET", "/vms", nil, &out)
	return out, err
}

// Prices implements API.
func (cl *Client) Prices(ctx context.Context) ([]Price, error) {
	var out []Price
	err := cl.http.Do(ctx, "GET", "/prices", nil, &out)
	return out, err
}

// Notices implements API.
func (cl *Client) Notices(ctx context.Context, after int64, wait time.Duration) ([]Notice, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+longPollMargin)
	defer cancel()
	var out []Notice
	err := cl.http.Do(ctx, "GET", fmt.Sprintf("/notices?after=%d&wait=%s", after, wait), nil, &out)
	return out, err
}
