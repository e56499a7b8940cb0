package config

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/scale"
	"lycheepick/internal/rule/units"
)

// EntrySettings are the settings of an entry node on the users' platform. The platform renders
// them from the template deploy/settings.json, which sets all fields.
type EntrySettings struct {
	VM     EntryVM     `json:"vm"`
	Listen EntryListen `json:"listen"`
	// Seeds are the addresses of peers to contact first; some may be stale.
	Seeds    []string      `json:"seeds"`
	Platform EntryPlatform `json:"platform"`
	Limits   EntryLimits   `json:"limits"`
	Timing   EntryTiming   `json:"timing"`
	Log      Log           `json:"log"`
	// Orders are the parameters by which backend servers are ordered.
	Orders scale.Policy `json:"orders"`
	// Admission is how requests are admitted while servers are short.
	Admission EntryAdmission `json:"admission"`
	// Rollout bounds what a new software version of a service gets while it is on trial.
	Rollout EntryRollout `json:"rollout"`
}

// EntryVM identifies the VM on which the node runs.
type EntryVM struct {
	ID   units.VMID   `json:"id"`
	Zone units.ZoneID `json:"zone"`
}

// EntryListen holds the addresses to listen on, as IP address and port. Metrics may be empty, and
// no metrics are served then.
type EntryListen struct {
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"`
}

// EntryPlatform holds the addresses of the platform's services.
type EntryPlatform struct {
	Store string `json:"store"`
	// Cloud is the address of the cloud API, empty if there is none. Duties lists the duties
	// that the leader of the nodes performs there.
	Cloud  string   `json:"cloud"`
	Duties []string `json:"duties"`
}

// EntryLimits holds the node's memory limit and the tolerance of customers' limits.
type EntryLimits struct {
	MemoryMB int `json:"memory_mb"`
	// In each window of QuotaWindowS, all nodes together may exceed a customer's limit by
	// the share QuotaShare of that limit plus the fixed amount QuotaFixed.
	QuotaWindowS float64 `json:"quota_window_s"`
	QuotaShare   float64 `json:"quota_share"`
	QuotaFixed   float64 `json:"quota_fixed"`
}

// EntryAdmission tells whether requests are admitted by priority: auto, which is the default, if routes of different urgency
// compete for servers, on or off.
type EntryAdmission struct {
	Contention admit.Mode `json:"contention"`
	// Spillover tells whether requests leave their zone by how full it is, in place of a constant penalty.
	Spillover admit.Mode `json:"spillover"`
}

func (ea EntryAdmission) check(ch *checker) {
	const want = "have %q, want auto, on or off"
	if !ea.Contention.Valid() {
		ch.addf("admission.contention", want, ea.Contention)
	}
	if !ea.Spillover.Valid() {
		ch.addf("admission.spillover", want, ea.Spillover)
	}
}

// EntryRollout bounds the requests that a software version which may be bad gets in a rollout. A platform
// without these bounds renders null, which leaves the default.
type EntryRollout struct {
	// ExposureShare is the share of a service's requests, and ExposureSlack the number beyond it.
	ExposureShare float64 `json:"exposure_share"`
	ExposureSlack int     `json:"exposure_slack"`
	// RollbackMS is the time from the version's 50th bad response until it gets no more requests.
	RollbackMS float64 `json:"rollback_ms"`
}

// defaultRollout holds the values that the platforms with rollouts have named so far.
var defaultRollout = EntryRollout{ExposureShare: 0.1, ExposureSlack: 50, RollbackMS: 5000}

// OrDefault returns the default if nothing is set.
func (er EntryRollout) OrDefault() EntryRollout {
	if er == (EntryRollout{}) {
		return defaultRollout
	}
	return er
}

// RollbackBound returns the time from the 50th bad response until a version gets no more requests.
func (er EntryRollout) RollbackBound() time.Duration {
	return time.Duration(er.RollbackMS * float64(time.Millisecond))
}

func (er EntryRollout) check(ch *checker) {
	if er.ExposureShare < 0 || er.ExposureShare > 1 {
		ch.addf("rollout.exposure_share", "have %g, want 0 to 1", er.ExposureShare)
	}
	if er.ExposureSlack < 0 {
		ch.addf("rollout.exposure_slack", "have %d, want 0 or more", er.ExposureSlack)
	}
	if er.RollbackMS < 0 {
		ch.addf("rollout.rollback_ms", "have %g, want 0 or more", er.RollbackMS)
	}
}

// Memory returns the memory that the process may use, 0 if unknown.
func (el EntryLimits) Memory() units.Bytes { return units.Bytes(el.MemoryMB) << 20 }

// Window returns the length of the window over which customers' limits are counted.
func (el EntryLimits) Window() time.Duration {
	return time.Duration(el.QuotaWindowS * float64(time.Second))
}

// EntryTiming holds the times set by the platform, in seconds or milliseconds.
type EntryTiming struct {
	GraceS       float64 `json:"grace_s"`
	LeaseMS      float64 `json:"lease_ms"`
	UsageWindowS float64 `json:"usage_window_s"`
	UsageLateS   float64 `json:"usage_late_s"`
	// HeartbeatMS is the time between two records of a server, 0 if unknown.
	HeartbeatMS float64 `json:"heartbeat_ms"`
	// DrainMS and ConfigMS are the times within which all nodes have to act on a server that leaves and on
	// a new configuration, 0 for usual ones.
	DrainMS  float64 `json:"drain_ms"`
	ConfigMS float64 `json:"config_ms"`
}

// ChangeBound returns the time within which a change in the platform's store has to be in force at all
// nodes, 0 if unknown.
func (et EntryTiming) ChangeBound() time.Duration {
	least := et.DrainMS
	if least <= 0 || et.ConfigMS > 0 && et.ConfigMS < least {
		least = et.ConfigMS
	}
	return time.Duration(least * float64(time.Millisecond))
}

// Heartbeat returns the time between two records of a server, 0 if unknown.
func (et EntryTiming) Heartbeat() time.Duration {
	return time.Duration(et.HeartbeatMS * float64(time.Millisecond))
}

// Grace returns the time from the stop signal until the platform kills the process.
func (et EntryTiming) Grace() time.Duration { return time.Duration(et.GraceS * float64(time.Second)) }

// Lease returns the minimum time between the actions of two successive leaders for one duty.
func (et EntryTiming) Lease() time.Duration {
	return time.Duration(et.LeaseMS * float64(time.Millisecond))
}

// UsageWindow returns the length of a usage window.
func (et EntryTiming) UsageWindow() time.Duration {
	return time.Duration(et.UsageWindowS * float64(time.Second))
}

// UsageLate returns the time after the end of a usage window by which its report is due.
func (et EntryTiming) UsageLate() time.Duration {
	return time.Duration(et.UsageLateS * float64(time.Second))
}

// Defaults for the times that a platform omits if it does not have the duty.
const (
	defaultGraceS       = 8
	defaultLeaseMS      = 3000
	defaultUsageWindowS = 5
	defaultUsageLateS   = 10
)

// LoadEntry reads and validates the settings file of an entry node. A KindInvalid error lists all
// problems, each with the path of its field.
func LoadEntry(path string) (*EntrySettings, error) {
	const op = "config.LoadEntry"
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(op, KindUnreadable, err)
	}
	out := &EntrySettings{
		Log: Log{Level: "info"},
		Timing: EntryTiming{
			GraceS: defaultGraceS, LeaseMS: defaultLeaseMS,
			UsageWindowS: defaultUsageWindowS, UsageLateS: defaultUsageLateS,
		},
		Rollout: defaultRollout,
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
func (en *EntrySettings) check() []string {
	ch := &checker{}
	if en.VM.ID == "" {
		ch.addf("vm.id", "is missing")
	}
	if en.VM.Zone == "" {
		ch.addf("vm.zone", "is missing")
	}
	en.Admission.check(ch)
	ch.address("listen.callers", en.Listen.Callers)
	ch.address("listen.ready", en.Listen.Ready)
	ch.address("listen.peers", en.Listen.Peers)
	ch.address("platform.store", en.Platform.Store)
	if en.Platform.Cloud != "" {
		ch.address("platform.cloud", en.Platform.Cloud)
	}
	en.Rollout.check(ch)
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
	return ch.problems
}
