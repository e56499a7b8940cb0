// Package config reads and checks the settings of a daemon.
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

// Kind tells why settings were refused.
type Kind string

// The kinds of error of this package.
const (
	// KindUnreadable marks settings that can't be read or are not JSON.
	KindUnreadable Kind = "unreadable"
	// KindInvalid marks settings with unknown fields or bad values.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Settings are the settings of one lycheepickd.
type Settings struct {
	VM       VM       `json:"vm"`
	Listen   Listen   `json:"listen"`
	Platform Platform `json:"platform"`
	// Seeds are peer addresses to join by; the VM list gives more.
	Seeds  []string `json:"seeds"`
	Secret Secret   `json:"secret"`
	Limits Limits   `json:"limits"`
	Timing Timing   `json:"timing"`
	Export Export   `json:"export"`
	Log    Log      `json:"log"`
}

// VM says where the daemon runs.
type VM struct {
	ID          units.VMID        `json:"id"`
	Incarnation units.Incarnation `json:"incarnation"`
	Zone        units.ZoneID      `json:"zone"`
}

// Listen holds the addresses to listen on, as host:port by IP number.
type Listen struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	// Advertise is the peer address that others use; Peers if empty.
	Advertise string `json:"advertise"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log   string `json:"log"`
	Cloud string `json:"cloud"`
}

// Secret says where the secret shared by all nodes comes from. One of the two is set.
type Secret struct {
	File string `json:"file"`
	Env  string `json:"env"`
}

// Limits bound what the daemon uses.
type Limits struct {
	MemoryBytes units.Bytes `json:"memory_bytes"`
	BodyBytes   units.Bytes `json:"body_bytes"`
	HeaderBytes units.Bytes `json:"header_bytes"`
	Connections int         `json:"connections"`
	// Sessions bounds the requests kept for peers.
	Sessions int `json:"sessions"`
	// ProbesPerSecond bounds the load reports asked for.
	ProbesPerSecond int `json:"probes_per_second"`
}

// Timing holds the times that a daemon works by.
type Timing struct {
	// Grace is how long a leaving daemon lets requests end before it hands them over.
	Grace units.Duration `json:"grace"`
	// VMList and Prices are the times between two looks at the cloud API.
	VMList units.Duration `json:"vm_list"`
	Prices units.Duration `json:"prices"`
	// Load is the least time between two load reports of one server.
	Load units.Duration `json:"load"`
	// Gossip is the time between two exchanges with peers.
	Gossip units.Duration `json:"gossip"`
	// Suspect is how long a silent node has before it counts as gone.
	Suspect units.Duration `json:"suspect"`
}

// Export is what the engines' KV export can do.
type Export struct {
	BytesPerSecond units.BytesPerSecond `json:"bytes_per_second"`
	BytesPerToken  units.Bytes          `json:"bytes_per_token"`
}

// Log holds the logging settings.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `json:"level"`
}

// Default returns the settings that hold for fields which a file leaves out.
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

// Load reads and checks the settings in a file.
func Load(path string) (*Settings, error) {
	const op = "config.Load"
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(op, KindUnreadable, err)
	}
	return Decode(raw)
}

// Decode reads and checks settings. The error lists all problems, each with its path.
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

// unknownFields lists the fields of tree that the type does not have.
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

type checker struct{ probs []string }

func (ch *checker) addf(path, format string, args ...any) {
	ch.probs = append(ch.probs, path+": "+fmt.Sprintf(format, args...))
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

func (ch *checker) span(path string, val, low units.Duration) {
	const high = units.Duration(10 * time.Minute)
	if val < low || val > high {
		ch.addf(path, "have %s, want %s to %s", val, low, high)
	}
}

func (ch *checker) count(path string, val, low, high int64) {
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
	return ch.probs
}

func (se *Settings) checkLimits(ch *checker) {
	li := se.Limits
	ch.count("limits.memory_bytes", int64(li.MemoryBytes), 32<<20, 1<<40)
	ch.count("limits.body_bytes", int64(li.BodyBytes), 1<<10, 64<<20)
	ch.count("limits.header_bytes", int64(li.HeaderBytes), 4<<10, 1<<20)
	ch.count("limits.connections", int64(li.Connections), 1, 1<<20)
	ch.count("limits.sessions", int64(li.Sessions), 1, 1<<20)
	ch.count("limits.probes_per_second", int64(li.ProbesPerSecond), 1, 10000)
	ch.count("export.bytes_per_second", int64(se.Export.BytesPerSecond), 1, 1<<50)
	ch.count("export.bytes_per_token", int64(se.Export.BytesPerToken), 1, 1<<30)
	switch se.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		ch.addf("log.level", "have %q, want debug, info, warn or error", se.Log.Level)
	}
}

func (se *Settings) checkTiming(ch *checker) {
	const least = units.Duration(10 * time.Millisecond)
	ti := se.Timing
	ch.span("timing.grace", ti.Grace, 0)
	ch.span("timing.vm_list", ti.VMList, least)
	ch.span("timing.prices", ti.Prices, least)
	ch.span("timing.load", ti.Load, least)
	ch.span("timing.gossip", ti.Gossip, least)
	ch.span("timing.suspect", ti.Suspect, ti.Gossip)
}

const leastSecret = 16

// Read returns the secret.
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
	if len(raw) < leastSecret {
		return nil, fault.New(op, KindInvalid, "secret: have %d bytes, want at least %d", len(raw), leastSecret)
	}
	return raw, nil
}
