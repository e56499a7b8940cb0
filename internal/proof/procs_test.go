package proof_test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"lycheepick/internal/fake/stand"
	"lycheepick/internal/plat/cloud"
	"lycheepick/internal/plat/logsvc"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/table"
)

type procsKey struct{}

// waitTimeout bounds every wait for an event; no test depends on how long an event takes.
// PROOF_WAIT shortens it in runs that are expected to time out.
var waitTimeout = envDuration("PROOF_WAIT", 60*time.Second)

func envDuration(name string, fallback time.Duration) time.Duration {
	if val, err := time.ParseDuration(os.Getenv(name)); err == nil {
		return val
	}
	return fallback
}

// procs holds the processes of one script and the clients' requests to them.
type procs struct {
	env     *testscript.Env
	dir     string
	procs   map[string]*proc
	addrs   map[string]string
	proxies map[string]*proxy
	vms     []cloud.VM
	nodes   int
	// starts counts how often each node was started.
	starts map[string]int

	// retention is the time for which the log keeps records, or "" for its default.
	retention string

	// grace is what the nodes have to end in when they are stopped.
	grace string

	results    map[string]*result
	loads      map[string]chan *finishedLoad
	kept       *keptCallers
	slowCaller *slowCaller
}

type proc struct {
	cmd  *exec.Cmd
	args []string
	done chan struct{}
}

func newProcs(env *testscript.Env) *procs {
	pr := &procs{
		env: env, dir: env.WorkDir, procs: map[string]*proc{}, addrs: map[string]string{}, proxies: map[string]*proxy{},
		starts: map[string]int{}, grace: "2s", results: map[string]*result{}, loads: map[string]chan *finishedLoad{},
	}
	env.Defer(pr.stopAll)
	env.Setenv("LYCHEEPICK_LOG", "http://"+pr.addr("log"))
	env.Setenv("LYCHEEPICK_NODE", pr.addr("node-1.peers"))
	env.Setenv("NODE2", pr.addr("node-2.peers"))
	env.Setenv("ENGINE2", pr.addr("engine-2"))
	env.Setenv("LYCHEEPICK_SECRET_FILE", filepath.Join(pr.dir, "secret"))
	return pr
}

// start starts a process that writes to the file NAME.log.
func (pr *procs) start(name string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(pr.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(pr.buildDir(name), args[0]), args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	po := &proc{cmd: cmd, args: args, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(po.done)
	}()
	pr.procs[name] = po
	return nil
}

func (pr *procs) signal(name string, sig syscall.Signal) error {
	po := pr.procs[name]
	if po == nil {
		return fmt.Errorf("no process named %s", name)
	}
	return po.cmd.Process.Signal(sig)
}

func (pr *procs) stopAll() {
	for _, po := range pr.procs {
		_ = po.cmd.Process.Signal(syscall.SIGKILL)
		<-po.done
	}
	for _, px := range pr.proxies {
		px.close()
	}
	pr.showLogs()
	pr.failOnRaces()
}

// showLogs adds the latest events of each process, without those of level debug, to the output of
// the test, which go test prints if it fails.
func (pr *procs) showLogs() {
	const maxLines = 40
	logs, _ := filepath.Glob(filepath.Join(pr.dir, "*.log"))
	for _, file := range logs {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		var lines []string
		for line := range strings.Lines(string(raw)) {
			if !strings.Contains(line, " level=debug ") {
				lines = append(lines, line)
			}
		}
		lines = lines[max(0, len(lines)-maxLines):]
		pr.env.T().Log(filepath.Base(file) + ":\n" + strings.Join(lines, ""))
	}
}

// failOnRaces fails the script if a process reported a data race.
func (pr *procs) failOnRaces() {
	logs, _ := filepath.Glob(filepath.Join(pr.dir, "*.log"))
	for _, file := range logs {
		raw, err := os.ReadFile(file)
		if at := strings.Index(string(raw), "WARNING: DATA RACE"); err == nil && at >= 0 {
			pr.env.T().Log(string(raw[at:min(len(raw), at+3000)]))
			pr.env.T().FailNow()
		}
	}
}

// up starts the fakes of the platform, engines and plain services, and the nodes. There are as
// many zones as nodes.
func (pr *procs) up(nodes, engines, plains int, engineFlags string) error {
	logArgs := []string{"standin", "log", "--listen", pr.addr("log")}
	if pr.retention != "" {
		logArgs = append(logArgs, "--retention", pr.retention)
	}
	if err := pr.start("log", logArgs...); err != nil {
		return err
	}
	if err := pr.start("cloud", "standin", "cloud", "--listen", pr.addr("cloud")); err != nil {
		return err
	}
	for num := 1; num <= engines; num++ {
		name := fmt.Sprintf("engine-%d", num)
		args := append([]string{"standin", "engine", "--listen", pr.addr(name)}, strings.Fields(engineFlags)...)
		if err := pr.start(name, args...); err != nil {
			return err
		}
		pr.addVM(name, cloud.RoleEngine, "small", num, nodes)
	}
	for num := 1; num <= plains; num++ {
		name := fmt.Sprintf("plain-%d", num)
		if err := pr.start(name, "standin", "plain", "--listen", pr.addr(name)); err != nil {
			return err
		}
		pr.addVM(name, cloud.RolePlain, "notify", num, nodes)
	}
	if err := os.WriteFile(filepath.Join(pr.dir, "secret"), []byte("a-secret-for-tests-only"), 0o600); err != nil {
		return err
	}
	for num := 1; num <= nodes; num++ {
		pr.addVM(fmt.Sprintf("node-%d", num), cloud.RoleNode, "", num, nodes)
	}
	if err := pr.awaitHTTP("cloud", "/vms"); err != nil {
		return err
	}
	if err := pr.post("cloud", "/admin/vms", pr.vms); err != nil {
		return err
	}
	pr.nodes = nodes
	for num := 1; num <= nodes; num++ {
		if err := pr.startNode(fmt.Sprintf("node-%d", num)); err != nil {
			return err
		}
	}
	return nil
}

// addVM adds a process to the VM list, in the zone of index num modulo zones.
func (pr *procs) addVM(name string, role cloud.Role, target units.TargetID, num, zones int) {
	addr := pr.addr(name)
	if role == cloud.RoleNode {
		addr = pr.addr(name + ".peers")
	}
	pr.vms = append(pr.vms, cloud.VM{
		Instance: units.Instance{VM: units.VMID(name), Incarnation: 1}, Zone: units.ZoneID(fmt.Sprintf("zone-%d", (num-1)%zones+1)),
		Role: role, Address: addr, Target: target, Class: "std", State: cloud.StateLive,
	})
}

// startNode starts a node whose calls to the platform go through proxies that can be cut.
func (pr *procs) startNode(name string) error {
	for _, what := range []string{"log", "cloud"} {
		if pr.proxies[name+"."+what] == nil {
			px, err := newProxy(pr.addr(what))
			if err != nil {
				return err
			}
			pr.proxies[name+"."+what] = px
		}
	}
	zone := "zone-" + strings.TrimPrefix(name, "node-")
	settings := fmt.Sprintf(`{"vm":{"id":%q,"incarnation":1,"zone":%q},
"listen":{"callers":%q,"peers":%q},"platform":{"log":"http://%s","cloud":"http://%s"},
"seeds":[%q],"secret":{"file":%q},"timing":{"grace":%q,"vm_list":"200ms","gossip":"200ms","suspect":"3s"},"log":{"level":"debug"}}`,
		name, zone, pr.addr(name), pr.addr(name+".peers"), pr.proxies[name+".log"].addr(), pr.proxies[name+".cloud"].addr(),
		pr.addr("node-1.peers"), filepath.Join(pr.dir, "secret"), pr.grace)
	file := filepath.Join(pr.dir, name+".json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	return pr.start(name, "lycheepickd", "--config", file)
}

func (pr *procs) post(name, path string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + pr.addr(name) + path)
	req.Header.SetMethod("POST")
	req.Header.SetContentType("application/json")
	req.SetBody(raw)
	if err := fasthttp.DoTimeout(req, resp, waitTimeout); err != nil {
		return err
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return fmt.Errorf("%s%s: status %d: %s", name, path, resp.StatusCode(), resp.Body())
	}
	return nil
}

func (pr *procs) get(name, path string) (int, []byte, error) {
	return fasthttp.GetTimeout(nil, "http://"+pr.addr(name)+path, 5*time.Second)
}

// await polls until check returns nil, for waitTimeout at most.
func await(what string, check func() error) error {
	until := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("timed out waiting for %s: %w", what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitExpiry waits until the first record of a stream has expired.
func (pr *procs) awaitExpiry(stream string) error {
	return await("records of "+stream+" to expire", func() error {
		_, body, err := pr.get("log", "/streams/"+stream+"/records?from=0")
		var page logsvc.Page
		if err == nil {
			err = json.Unmarshal(body, &page)
		}
		if err == nil && page.First == 0 {
			err = fmt.Errorf("the first record has not expired")
		}
		return err
	})
}

func (pr *procs) awaitHTTP(name, path string) error {
	return await(name+path, func() error {
		code, _, err := pr.get(name, path)
		if err == nil && code != fasthttp.StatusOK {
			err = fmt.Errorf("status %d", code)
		}
		return err
	})
}

// publishInitialTable publishes a table and waits until all nodes are ready.
func (pr *procs) publishInitialTable() error {
	tab := &table.Table{
		Seats:     4,
		Customers: []table.Customer{{ID: "bluebonnet", KeyHashes: []string{table.HashKey("key")}}, {ID: "dernek", KeyHashes: []string{table.HashKey("other")}}},
	}
	for _, cu := range tab.Customers {
		tab.Rows = append(tab.Rows,
			table.Row{
				Customer: cu.ID, TargetType: table.TargetModel, Target: "small", Kind: "default", Weight: 10, RequestsPerSecond: 4000,
				TokensPerSecond: 1e7, InFlight: 4000, FirstToken: 5e9, BetweenTokens: 32e6, Deadline: 60e9, Idempotent: true, Attempts: 5,
			},
			table.Row{
				Customer: cu.ID, TargetType: table.TargetService, Target: "notify", Kind: "default", Weight: 10, RequestsPerSecond: 4000,
				InFlight: 4000, FirstToken: 5e9, Deadline: 20e9, Attempts: 3,
			})
	}
	file := filepath.Join(pr.dir, "table.json")
	if err := os.WriteFile(file, tab.Encode(), 0o600); err != nil {
		return err
	}
	if err := pr.awaitHTTP("log", "/streams/table/records?from=0"); err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(nodeBuildDir(0), "lycheepick"), "table", "publish", file, "--author", "test", "--log", "http://"+pr.addr("log"))
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	for num := 1; num <= pr.nodes; num++ {
		if err := pr.awaitNode(fmt.Sprintf("node-%d", num)); err != nil {
			return err
		}
	}
	return nil
}

// awaitNode waits until a node is ready and all backend servers are usable there.
func (pr *procs) awaitNode(name string) error {
	servers := 0
	for _, vm := range pr.vms {
		if vm.Role != cloud.RoleNode {
			servers++
		}
	}
	if err := pr.awaitHTTP(name, "/readyz"); err != nil {
		return err
	}
	return pr.awaitMetric(name, "servers_usable", "==", float64(servers))
}

func (pr *procs) engineStats(name string) (stats stand.EngineStats, err error) {
	_, body, err := pr.get(name, "/admin/stats")
	if err == nil {
		err = json.Unmarshal(body, &stats)
	}
	return stats, err
}

// signalBusy sends a signal to any engine that has requests in progress.
func (pr *procs) signalBusy(sig syscall.Signal) error {
	for name := range pr.procs {
		if !strings.HasPrefix(name, "engine-") {
			continue
		}
		if stats, err := pr.engineStats(name); err == nil && stats.Running > 0 {
			return pr.signal(name, sig)
		}
	}
	return fmt.Errorf("no engine has requests in progress")
}

// metric returns a metric of a node or an engine. For the name "engines" it is the number of
// continued requests of all engines.
func (pr *procs) metric(name, metric string) (float64, error) {
	if name == "engines" {
		total := 0.0
		for other := range pr.procs {
			if stats, err := pr.engineStats(other); strings.HasPrefix(other, "engine-") && err == nil {
				total += float64(stats.Continued)
			}
		}
		return total, nil
	}
	if strings.HasPrefix(name, "engine-") {
		stats, err := pr.engineStats(name)
		return map[string]float64{"running": float64(stats.Running), "continued": float64(stats.Continued)}[metric], err
	}
	_, body, err := pr.get(name, "/metrics")
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(body), "\n") {
		if rest, ok := strings.CutPrefix(line, "lycheepick_"+metric+" "); ok {
			var val float64
			_, err := fmt.Sscan(rest, &val)
			return val, err
		}
	}
	return 0, fmt.Errorf("%s has no metric %s", name, metric)
}

func (pr *procs) awaitMetric(name, metric, op string, want float64) error {
	return await(fmt.Sprintf("%s of %s %s %v", metric, name, op, want), func() error {
		have, err := pr.metric(name, metric)
		if err != nil {
			return err
		}
		if (op == "==" && have == want) || (op == ">=" && have >= want) || (op == "<=" && have <= want) {
			return nil
		}
		return fmt.Errorf("have %v", have)
	})
}
