package config

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/scale"
	"lycheepick/internal/rule/units"
)

// Entry are the settings of a node that serves on the users' platform. The platform
// renders them from deploy/settings.json and sets all fields.
type Entry struct {
	VM     EntryVM     `json:"vm"`
	Listen EntryListen `json:"listen"`
	// Seeds are peer addresses, possibly stale.
	Seeds    []string      `json:"seeds"`
	Platform EntryPlatform `json:"platform"`
	Limits   EntryLimits   `json:"limits"`
	Timing   EntryTiming   `json:"timing"`
	Log      Log           `json:"log"`
	// Orders are the weights of orders of backend servers.
	Orders scale.Policy `json:"orders"`
}

// EntryVM says where the node runs.
type EntryVM struct {
	ID   units.VMID   `json:"id"`
	Zone units.ZoneID `json:"zone"`
}

// EntryListen holds the addresses to listen on, as host:port by IP number.
type EntryListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"`
}

// EntryPlatform holds the addresses of the platform's services.
type EntryPlatform struct {
	Store string `json:"store"`
	// Cloud may be empty, and Duties lists what is to be done there.
	Cloud  string   `json:"cloud"`
	Duties []string `json:"duties"`
}

// EntryLimits bound what the node uses.
type EntryLimits struct {
	MemoryMB int `json:"memory_mb"`
	// All nodes together may admit a share of a customer's limit and a fixed amount
	// beyond it in each window.
	QuotaWindowS float64 `json:"quota_window_s"`
	QuotaShare   float64 `json:"quota_share"`
	QuotaFixed   float64 `json:"quota_fixed"`
}

// Window is the time over which customers' limits are counted.
func (el EntryLimits) Window() time.Duration {
	return time.Duration(el.QuotaWindowS * float64(time.Second))
}

// EntryTiming holds the times that the platform sets, in its own units.
type EntryTiming struct {
	GraceS       float64 `json:"grace_s"`
	LeaseMS      float64 `json:"lease_ms"`
	UsageWindowS float64 `json:"usage_window_s"`
	UsageLateS   float64 `json:"usage_late_s"`
}

// Grace is the time from the signal to stop until the process is killed.
func (et EntryTiming) Grace() time.Duration { return time.Duration(et.GraceS * float64(time.Second)) }

// Lease is the time in which no two nodes may act for one duty in turn.
func (et EntryTiming) Lease() time.Duration {
	return time.Duration(et.LeaseMS * float64(time.Millisecond))
}

// UsageWindow is the length of a window of usage.
func (et EntryTiming) UsageWindow() time.Duration {
	return time.Duration(et.UsageWindowS * float64(time.Second))
}

// UsageLate is the time after the end of a window by which its usage is due.
func (et EntryTiming) UsageLate() time.Duration {
	return time.Duration(et.UsageLateS * float64(time.Second))
}

// Defaults for times that a platform without the duty leaves out.
const (
	defaultGraceS       = 8
	defaultLeaseMS      = 3000
	defaultUsageWindowS = 5
	defaultUsageLateS   = 10
)

// LoadEntry reads and checks the settings in a file.
func LoadEntry(path string) (*Entry, error) {
	const op = "config.LoadEntry"
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(op, KindUnreadable, err)
	}
	out := &Entry{
		Log: Log{Level: "info"},
		Timing: EntryTiming{
			GraceS: defaultGraceS, LeaseMS: defaultLeaseMS,
			UsageWindowS: defaultUsageWindowS, UsageLateS: defaultUsageLateS,
		},
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return nil, fault.Wrap(op, KindUnreadable, errors.Wrap(err, path))
	}
	if probs := out.check(); len(probs) > 0 {
		return nil, fault.New(op, KindInvalid, "%s: %s", path, strings.Join(probs, "; "))
	}
	return out, nil
}

// check returns all problems, each with the path of its field.
func (en *Entry) check() []string {
	ch := &checker{}
	if en.VM.ID == "" {
		ch.addf("vm.id", "is missing")
	}
	if en.VM.Zone == "" {
		ch.addf("vm.zone", "is missing")
	}
	ch.address("listen.callers", en.Listen.Callers)
	ch.address("listen.ready", en.Listen.Ready)
	ch.address("listen.peers", en.Listen.Peers)
	ch.address("platform.store", en.Platform.Store)
	if en.Platform.Cloud != "" {
		ch.address("platform.cloud", en.Platform.Cloud)
	}
	for _, at := range []struct {
		path string
		val  float64
	}{
		{"timing.grace_s", en.Timing.GraceS},
		{"timing.lease_ms", en.Timing.LeaseMS},
		{"timing.usage_window_s", en.Timing.UsageWindowS},
		{"timing.usage_late_s", en.Timing.UsageLateS},
	} {
		if at.val <= 0 {
			ch.addf(at.path, "have %g, want more than 0", at.val)
		}
	}
	return ch.probs
}
