package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lycheepick/platform"
	"lycheepick/platform/fakes"
)

const (
	topicOp      = "keyed.op"
	topicServers = "keyed.servers"
	host         = "svc.example"
	apiKey       = "key-a"
	// heartbeat is how often a replica renews its record.
	heartbeat = 1200 * time.Millisecond
)

// world is a small deployment: the platform's store and cloud API, replicas, and nodes as processes of their own.
type world struct {
	store *fakes.Store
	cloud *fakes.Cloud
	// command is that of the deploy file, run in the root of the repository.
	root    string
	command []string
	dir     string
	nodes   []*node
	record  *os.File
	began   time.Time

	mu       sync.Mutex
	sequence int
	servers  map[string]map[string]any
}

type node struct {
	name                           string
	callers, ready, peers, metrics string
	seeds                          []string
	settings, log                  string
	cmd                            *exec.Cmd
	ended                          chan struct{}
	exit                           error
}

func newWorld(root, out string) (*world, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindStringSubmatch(string(raw))
	if run == nil {
		return nil, fmt.Errorf("the deploy file names no program")
	}
	command := strings.Fields(run[1])
	if _, err := os.Stat(filepath.Join(root, command[0])); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(out)
	if err != nil {
		return nil, err
	}
	return &world{
		store: fakes.NewStore(), cloud: fakes.NewCloud(), root: root, command: command, dir: dir, record: record, began: time.Now(),
		servers: map[string]map[string]any{},
	}, nil
}

// note writes one line of the record.
func (wo *world) note(format string, args ...any) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	fmt.Fprintf(wo.record, "%8.3f ", time.Since(wo.began).Seconds())
	fmt.Fprintf(wo.record, format+"\n", args...)
}

// close ends all processes that the case started and removes its folder.
func (wo *world) close() {
	for _, no := range wo.nodes {
		no.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(wo.dir)
	}
	_ = wo.record.Close()
}

// putServer writes or renews the record of a replica.
func (wo *world) putServer(id, service, addr, state string, slots int, more map[string]any) {
	wo.mu.Lock()
	wo.sequence++
	rec := map[string]any{
		"service": service, "address": addr, "zone": "hall-a", "slots": slots, "state": state, "sequence": wo.sequence,
		"version": "v1", "warmup_left_ms": 0,
	}
	for key, val := range more {
		rec[key] = val
	}
	wo.servers[id] = rec
	wo.mu.Unlock()
	wo.store.Put(topicServers, id, rec)
}

// removeServer removes the record of a replica.
func (wo *world) removeServer(id string) {
	wo.mu.Lock()
	delete(wo.servers, id)
	wo.mu.Unlock()
	wo.store.Remove(topicServers, id)
}

// renew renews the records of all replicas once a heartbeat until ctx ends.
func (wo *world) renew(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
		wo.renewNow()
	}
}

func (wo *world) renewNow() {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	for id, rec := range wo.servers {
		wo.sequence++
		rec["sequence"] = wo.sequence
		wo.store.Put(topicServers, id, rec)
	}
}

// freeAddress returns a loopback address with a free port below those that the kernel gives to connections.
func freeAddress() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000))
		ls, err := net.Listen("tcp", addr)
		if err == nil {
			_ = ls.Close()
			return addr
		}
	}
}

// The figures of the site bbsw-austin that the settings name.
var figures = map[string]string{
	"cloud.duties": `["usage_report","autoscale"]`, "limits.memory_mb": "284", "bounds.quota_window_s": "8", "bounds.quota_overshoot": "0.1",
	"bounds.quota_slack": "72000", "bounds.grace_s": "8", "bounds.lease_ms": "3000", "bounds.usage_window_s": "5", "bounds.usage_late_s": "10",
	"heartbeat_ms": "1200", "bounds.drain_ms": "2000", "bounds.config_ms": "2000",
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// render fills in the template of the deploy file.
func (wo *world) render(no *node) error {
	raw, err := os.ReadFile(filepath.Join(wo.root, "deploy/settings.json"))
	if err != nil {
		return err
	}
	quoted := func(val any) string { out, _ := json.Marshal(val); return string(out) }
	own := map[string]string{
		"node": quoted(no.name), "zone": quoted("hall-a"), "listen.front": quoted(no.callers), "listen.ready": quoted(no.ready),
		"listen.control": quoted(no.peers), "seeds": quoted(no.seeds), "platform.address": quoted(wo.store.Address()),
		"cloud.address": quoted(wo.cloud.Address()),
	}
	text := strings.ReplaceAll(string(raw), `"{{ip}}:7610"`, quoted(no.metrics))
	missing := ""
	text = placeholder.ReplaceAllStringFunc(text, func(word string) string {
		name := placeholder.FindStringSubmatch(word)[1]
		if val, ok := own[name]; ok {
			return val
		}
		val, ok := figures[name]
		if !ok {
			missing = name
		}
		return val
	})
	if missing != "" {
		return fmt.Errorf("no value for %s", missing)
	}
	return os.WriteFile(no.settings, []byte(text), 0o600)
}

// addNode prepares a node. The first three nodes are seeds.
func (wo *world) addNode(name string) *node {
	no := &node{
		name: name, callers: freeAddress(), ready: freeAddress(), peers: freeAddress(), metrics: freeAddress(),
		settings: filepath.Join(wo.dir, name+".json"), log: filepath.Join(wo.dir, name+".log"),
	}
	for _, other := range wo.nodes {
		if len(no.seeds) < 3 {
			no.seeds = append(no.seeds, other.peers)
		}
	}
	if len(no.seeds) == 0 {
		no.seeds = []string{no.peers}
	}
	wo.nodes = append(wo.nodes, no)
	return no
}

// start starts the process of a node and waits until it reports itself ready.
func (wo *world) start(no *node, files uint64) error {
	if err := wo.render(no); err != nil {
		return err
	}
	log, err := os.OpenFile(no.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(wo.root, wo.command[0]), wo.command[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = wo.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + wo.dir, platform.SettingsVariable + "=" + no.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	if files > 0 {
		if err := limitFiles(cmd.Process.Pid, files); err != nil {
			return err
		}
	}
	ended := make(chan struct{})
	no.cmd, no.ended = cmd, ended
	go func() {
		no.exit = cmd.Wait()
		close(ended)
	}()
	wo.note("%s started", no.name)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if no.readiness() == http.StatusOK {
			wo.note("%s is ready", no.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", no.name)
}

var quick = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (no *node) readiness() int {
	resp, err := quick.Get("http://" + no.ready + "/readiness")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (no *node) isUp() bool {
	select {
	case <-no.ended:
		return false
	default:
		return no.cmd != nil
	}
}

func (no *node) signal(sig syscall.Signal) { _ = no.cmd.Process.Signal(sig) }

func (no *node) kill() {
	if no.cmd == nil || !no.isUp() {
		return
	}
	_ = no.cmd.Process.Signal(syscall.SIGCONT)
	_ = no.cmd.Process.Kill()
	<-no.ended
}

// memory returns the resident memory of the node's process in MiB.
func (no *node) memory() float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", no.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var kb float64
	if at := strings.Index(string(raw), "VmRSS:"); at >= 0 {
		_, _ = fmt.Sscan(string(raw[at+6:]), &kb)
	}
	return kb / 1024
}

// watchMemory records the most memory of a node's process, and kills it if that exceeds the MB of its machine, as the
// platform does.
func (wo *world) watchMemory(ctx context.Context, no *node, limit float64, peak *atomic.Int64) {
	for ; ctx.Err() == nil && no.isUp(); time.Sleep(5 * time.Millisecond) {
		mem := no.memory()
		peak.Store(max(peak.Load(), int64(mem)))
		if mem > limit {
			wo.note("the process has %.0f MiB resident, over the %.0f MB of its machine, and is killed", mem, limit)
			no.signal(syscall.SIGKILL)
			return
		}
	}
}

// files returns the number of descriptors that the node's process has open.
func (no *node) files() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", no.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// putConfig publishes a configuration with these routes.
func (wo *world) putConfig(version int, routes []map[string]any) {
	list := []map[string]any{}
	for _, ro := range routes {
		full := map[string]any{"host": host, "timeout_ms": 6000, "target_latency_ms": 400, "max_attempts": 1, "priority": 1}
		for key, val := range ro {
			full[key] = val
		}
		list = append(list, full)
	}
	wo.store.Put(topicOp, "config", map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{
			{"name": "status-app", "health_path": "/health", "max_connections": 110},
			{"name": "lm-pool", "health_path": "/health", "max_connections": 300, "engine": map[string]any{"slots": 48, "kv_capacity_tokens": 584039, "stride": 3}},
		},
		"limits":  map[string]any{"max_header_bytes": 8192, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "alpha", "api_keys": []string{apiKey}, "unit": "tokens", "plain_tokens": 200}},
	})
}

var requests atomic.Int64

func newID() string { return fmt.Sprintf("r%07d", requests.Add(1)) }
