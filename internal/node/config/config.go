// Package config reads and validates the settings files of lycheepickd, for a daemon and for an
// entry node.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"os"
	"reflect"
	"sort"
	"strings"
	"time"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Kind tells why settings were rejected.
type Kind string

// The kinds of error of this package.
const (
	// KindUnreadable marks settings that can't be read or are not JSON.
	KindUnreadable Kind = "unreadable"
	// KindInvalid marks settings with unknown fields or invalid values.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Settings are the settings of a daemon.
type Settings struct {
	VM       VM       `json:"vm"`
	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	// Seeds are the addresses of peers to contact first; the VM list adds more.
	Seeds  []string `json:"seeds"`
	Secret Secret   `json:"secret"`
	Limits Limits   `json:"limits"`
	Timing Timing   `json:"timing"`
	Export Export   `json:"export"`
	Log    Log      `json:"log"`
}

// VM identifies the VM on which the daemon runs.
type VM struct {
	ID          units.VMID        `json:"id"`
	Incarnation units.Incarnation `json:"incarnation"`
	Zone        units.ZoneID      `json:"zone"`
}

// Listen holds the addresses to listen on, as IP address and port.
type Listen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	// Advertise is the address at which peers reach this node; Peers if empty.
	Advertise string `json:"advertise"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log   string `json:"log"`
	Cloud string `json:"cloud"`
}

// Secret is the source of the secret shared by all nodes, a file or an environment variable.
// Exactly one of the two is set.
type Secret struct {
	File string `json:"file"`
	Env  string `json:"env"`
}

// Limits bounds the daemon's use of resources.
type Limits struct {
	MemoryBytes units.Bytes `json:"memory_bytes"`
	BodyBytes   units.Bytes `json:"body_bytes"`
	HeaderBytes units.Bytes `json:"header_bytes"`
	Connections int         `json:"connections"`
	// Sessions bounds the unfinished requests stored for peers.
	Sessions int `json:"sessions"`
	// ProbesPerSecond bounds the load probes of backend servers.
	ProbesPerSecond int `json:"probes_per_second"`
}

// Timing holds the daemon's intervals and timeouts.
type Timing struct {
	// Grace is how long a leaving daemon waits for requests to end before it hands them over.
	Grace units.Duration `json:"grace"`
	// VMList and Prices are the intervals at which the cloud API is polled.
	VMList units.Duration `json:"vm_list"`
	Prices units.Duration `json:"prices"`
	// Load is the minimum time between two load probes of one server.
	Load units.Duration `json:"load"`
	// Gossip is the interval between two exchanges with peers.
	Gossip units.Duration `json:"gossip"`
	// Suspect is how long a node may be silent before it counts as gone.
	Suspect units.Duration `json:"suspect"`
}

// Export describes the KV cache export of the engines: its bandwidth and the size of a token.
type Export struct {
	BytesPerSecond units.BytesPerSecond `json:"bytes_per_second"`
	BytesPerToken  units.Bytes          `json:"bytes_per_token"`
}

// Log holds the logging settings.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// Default returns the values of the fields that a settings file omits.
func Default() Settings {
	return Settings{
		Limits: Limits{
			MemoryBytes: 128 << 20, BodyBytes: 4 << 20, HeaderBytes: 16 << 10, Connections: 4096,
			Sessions: 1000, ProbesPerSecond: 25,
		},
		Timing: Timing{
			Grace:  units.Duration(20 * time.Second),
			VMList: units.Duration(time.Second), Prices: units.Duration(30 * time.Second),
			Load: units.Duration(250 * time.Millisecond), Gossip: units.Duration(time.Second),
			Suspect: units.Duration(6 * time.Second),
		},
		Export: Export{BytesPerSecond: 1 << 30, BytesPerToken: 128 << 10},
		Log:    Log{Level: "info"},
	}
}

// Load reads and validates a settings file. Its errors are those of Decode, and KindUnreadable if
// the file can't be read.
func Load(path string) (*Settings, error) {
	const op = "config.Load"
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(op, KindUnreadable, err)
	}
	return Decode(raw)
}

// Decode parses and validates settings. A KindInvalid error lists all problems, each with the path
// of its field.
func Decode(raw []byte) (*Settings, error) {
	const op = "config.Decode"
	var tree any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, fault.Wrap(op, KindUnreadable, err)
	}
	probs := unknownFields("", tree, reflect.TypeFor[Settings]())
	se := Default()
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&se); err != nil {
		probs = append(probs, err.Error())
	} else {
		probs = append(probs, se.check()...)
	}
	if len(probs) > 0 {
		return nil, fault.New(op, KindInvalid, "%s", strings.Join(probs, "; "))
	}
	if se.Listen.Advertise == "" {
		se.Listen.Advertise = se.Listen.Peers
	}
	return &se, nil
}

// unknownFields returns a problem for each field of tree that typ does not have.
func unknownFields(path string, tree any, typ reflect.Type) []string {
	fields, isObject := tree.(map[string]any)
	if !isObject || typ.Kind() != reflect.Struct {
		return nil
	}
	known := map[string]reflect.Type{}
	for idx := range typ.NumField() {
		known[typ.Field(idx).Tag.Get("json")] = typ.Field(idx).Type
	}
	var out []string
	for name, val := range fields {
		ft, ok := known[name]
		if !ok {
			out = append(out, path+name+": no such field")
			continue
		}
		out = append(out, unknownFields(path+name+".", val, ft)...)
	}
	sort.Strings(out)
	return out
}

type checker struct{ problems []string }

func (ch *checker) addf(path, format string, args ...any) {
	ch.problems = append(ch.problems, path+": "+fmt.Sprintf(format, args...))
}

func (ch *checker) address(path, val string) {
	host, _, err := net.SplitHostPort(val)
	if err != nil || net.ParseIP(host) == nil {
		ch.addf(path, "have %q, want host:port by IP number", val)
	}
}

func (ch *checker) baseURL(path, val string) {
	ur, err := url.Parse(val)
	if err != nil || ur.Scheme != "http" || net.ParseIP(ur.Hostname()) == nil {
		ch.addf(path, "have %q, want http://host:port by IP number", val)
	}
}

func (ch *checker) durationRange(path string, val, low units.Duration) {
	const high = units.Duration(10 * time.Minute)
	if val < low || val > high {
		ch.addf(path, "have %s, want %s to %s", val, low, high)
	}
}

func (ch *checker) intRange(path string, val, low, high int64) {
	if val < low || val > high {
		ch.addf(path, "have %d, want %d to %d", val, low, high)
	}
}

func (se *Settings) check() []string {
	ch := &checker{}
	if se.VM.ID == "" {
		ch.addf("vm.id", "is empty, want the VM's id in the VM list")
	}
	if se.VM.Zone == "" {
		ch.addf("vm.zone", "is empty, want the VM's zone")
	}
	ch.address("listen.callers", se.Listen.Callers)
	ch.address("listen.peers", se.Listen.Peers)
	if se.Listen.Advertise != "" {
		ch.address("listen.advertise", se.Listen.Advertise)
	}
	ch.baseURL("platform.log", se.Platform.Log)
	ch.baseURL("platform.cloud", se.Platform.Cloud)
	for idx, seed := range se.Seeds {
		ch.address(fmt.Sprintf("seeds[%d]", idx), seed)
	}
	if (se.Secret.File == "") == (se.Secret.Env == "") {
		ch.addf("secret", "set one of file and env")
	}
	se.checkLimits(ch)
	se.checkTiming(ch)
	return ch.problems
}

func (se *Settings) checkLimits(ch *checker) {
	li := se.Limits
	ch.intRange("limits.memory_bytes", int64(li.MemoryBytes), 32<<20, 1<<40)
	ch.intRange("limits.body_bytes", int64(li.BodyBytes), 1<<10, 64<<20)
	ch.intRange("limits.header_bytes", int64(li.HeaderBytes), 4<<10, 1<<20)
	ch.intRange("limits.connections", int64(li.Connections), 1, 1<<20)
	ch.intRange("limits.sessions", int64(li.Sessions), 1, 1<<20)
	ch.intRange("limits.probes_per_second", int64(li.ProbesPerSecond), 1, 10000)
	ch.intRange("export.bytes_per_second", int64(se.Export.BytesPerSecond), 1, 1<<50)
	ch.intRange("export.bytes_per_token", int64(se.Export.BytesPerToken), 1, 1<<30)
	switch se.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		ch.addf("log.level", "have %q, want debug, info, warn or error", se.Log.Level)
	}
}

func (se *Settings) checkTiming(ch *checker) {
	const minPeriod = units.Duration(10 * time.Millisecond)
	ti := se.Timing
	ch.durationRange("timing.grace", ti.Grace, 0)
	ch.durationRange("timing.vm_list", ti.VMList, minPeriod)
	ch.durationRange("timing.prices", ti.Prices, minPeriod)
	ch.durationRange("timing.load", ti.Load, minPeriod)
	ch.durationRange("timing.gossip", ti.Gossip, minPeriod)
	ch.durationRange("timing.suspect", ti.Suspect, ti.Gossip)
}

const minSecretBytes = 16

// Read returns the secret without surrounding white space. It is an error if it is shorter than
// minSecretBytes.
func (sc *Secret) Read() ([]byte, error) {
	const op = "config.Read"
	raw := []byte(os.Getenv(sc.Env))
	if sc.File != "" {
		var err error
		if raw, err = os.ReadFile(sc.File); err != nil {
			return nil, fault.Wrap(op, KindUnreadable, err)
		}
	}
	raw = bytes.TrimSpace(raw)
	if len(raw) < minSecretBytes {
		return nil, fault.New(op, KindInvalid, "secret: have %d bytes, want at least %d", len(raw), minSecretBytes)
	}
	return raw, nil
}
