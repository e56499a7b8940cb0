// Package entry wires a node that serves on the users' platform: it follows the
// configuration and the list of backend servers in the platform's store, exchanges
// reports with its peers, serves callers, and takes its turn at the duties.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"lycheepick/internal/edge/door"
	"lycheepick/internal/edge/pause"
	"lycheepick/internal/edge/relay"
	"lycheepick/internal/node/config"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/clock"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/lease"
	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/usage"
	"lycheepick/internal/rule/watch"
	"lycheepick/internal/state/routes"
	"lycheepick/internal/state/server"
)

// Kind tells why a node could not run.
type Kind string

// The kinds of error of this package.
const (
	// KindListen marks an address that can't be listened on.
	KindListen Kind = "listen"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Cloud is the platform's cloud API.
type Cloud interface {
	// Usage reports the requests that began in one window, under a fencing number.
	Usage(ctx context.Context, fence units.Offset, window int64, counts map[units.CustomerID]int64) error
	// Scale orders the number of servers of a service in a zone.
	Scale(ctx context.Context, fence units.Offset, service units.TargetID, zone units.ZoneID, spot bool, count int) error
}

// Platform is what the node needs of the platform, translated.
type Platform struct {
	Store stream.Store
	Cloud Cloud
	// Operator is the stream of the operators' records, ConfigKey the key of the
	// configuration there, and Servers the stream of backend servers' accounts.
	Operator  stream.Name
	ConfigKey string
	Servers   stream.Name
	Split     func(off units.Offset, rec []byte) (stream.Keyed, bool)
	Join      func(key string, value []byte) []byte
	Config    func(raw []byte) (*routes.Config, error)
	Server    func(raw []byte) (server.Account, error)
	// ReportsUsage and OrdersServers tell which duties there are.
	ReportsUsage  bool
	OrdersServers bool
	// Handler makes the handler of callers' requests.
	Handler func(config func() *routes.Config, rl *relay.Relay) door.Handler
}

// Node is one entry node.
type Node struct {
	set   *config.Entry
	pf    Platform
	log   *zap.Logger
	start time.Time
	life  int64

	relay    *relay.Relay
	door     *door.Server
	registry metrics.Registry
	first    metrics.Histogram

	config  atomic.Pointer[inForce]
	listed  atomic.Bool // The list of servers was read.
	leaving atomic.Bool
	holding atomic.Bool // This node holds the duties.
	// draining is the number of servers that are known to leave.
	draining atomic.Int64

	mu      sync.Mutex // Guards what follows.
	servers *server.Book
	records records
	watch   *watch.Selector
	// ahead is the offset up to which some peer has read the list of servers, and behind
	// since when this node has read less.
	ahead   units.Offset
	behind  time.Time
	peers   map[units.VMID]*peer
	book    *usage.Counter
	clock   *clock.Clock
	offered map[units.TargetID]pulse.Work
	heard   map[units.VMID]*heardWork

	contact contact
	duty    duty
}

type inForce struct {
	*routes.Config
	raw []byte
}

// New returns a node that does not run yet.
func New(set *config.Entry, pf Platform, log *zap.Logger) *Node {
	now := time.Now()
	no := &Node{
		set: set, pf: pf, log: log, start: now, life: now.UnixNano(),
		registry: metrics.NewRegistry(), first: metrics.NewHistogram(metrics.NewExpDecaySample(256, 0.015)),
		servers: server.NewBook(), records: newRecords(), watch: watch.New(set.VM.ID), peers: map[units.VMID]*peer{},
		book: usage.NewCounter(set.Timing.UsageWindow()), clock: clock.New(),
		offered: map[units.TargetID]pulse.Work{}, heard: map[units.VMID]*heardWork{},
	}
	no.contact.reads = map[int]context.CancelFunc{}
	no.relay = relay.New(log, set.VM.Zone, no, pool.Tolerance{
		Window: set.Limits.Window(), Share: set.Limits.QuotaShare, Fixed: set.Limits.QuotaFixed,
	})
	no.relay.FirstEvent = func(du time.Duration) { no.first.Update(du.Microseconds()) }
	handler := pf.Handler(func() *routes.Config {
		if fo := no.config.Load(); fo != nil {
			return fo.Config
		}
		return nil
	}, no.relay)
	no.door = &door.Server{Handler: handler, Limits: no.limits}
	no.duty = duty{
		lease:  lease.New(lease.Holder{Node: set.VM.ID, Incarnation: no.life}, lease.Timing{Lease: set.Timing.Lease(), Margin: leaseMargin}),
		ledger: usage.Ledger{}, orders: newOrders(),
	}
	no.clock.SetOwn(no.steady(), now)
	no.registerMetrics()
	return no
}

// steady is the time since the start of the node that is not moved by jumps of the time
// of day. It stands still while the VM is suspended.
func (no *Node) steady() time.Duration { return time.Since(no.start) }

// Bounds on callers before there is a configuration.
const (
	firstHeader     units.Bytes = 16 << 10
	firstBody       units.Bytes = 4 << 20
	firstHeaderTime             = 3 * time.Second
	firstIdle                   = 15 * time.Second
	// idleMargin is added to the idle time, up to which callers reuse connections.
	idleMargin = time.Second
)

func (no *Node) limits() door.Limits {
	fo := no.config.Load()
	if fo == nil || fo.Limits.Header <= 0 || fo.Limits.Idle <= 0 {
		return door.Limits{Header: firstHeader, Body: firstBody, HeaderTime: firstHeaderTime, Idle: firstIdle}
	}
	li := fo.Limits
	return door.Limits{Header: li.Header, Body: li.Body, HeaderTime: li.HeaderTime, Idle: li.Idle + idleMargin}
}

// Run serves until ctx ends, and then leaves in order.
func (no *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, err := listen(no.set.Listen.Callers)
	if err != nil {
		return err
	}
	ready, err := listen(no.set.Listen.Ready)
	if err != nil {
		return err
	}
	peers, err := listen(no.set.Listen.Peers)
	if err != nil {
		return err
	}
	no.log.Info("node_started", zap.String("callers", no.set.Listen.Callers), zap.String("peers", no.set.Listen.Peers))
	var wg conc.WaitGroup
	wg.Go(func() { no.ended("callers", no.door.Serve(work, callers)) })
	wg.Go(func() { no.ended("ready", no.readyServer().Serve(work, ready)) })
	wg.Go(func() { no.ended("peers", pulse.Serve(work, peers, no.answer)) })
	if no.set.Listen.Metrics != "" {
		wg.Go(func() { no.serveMetrics(work) })
	}
	wg.Go(func() { no.followConfig(work) })
	wg.Go(func() { no.followServers(work) })
	wg.Go(func() { no.exchange(work) })
	wg.Go(func() { no.tick(work) })
	if no.pf.ReportsUsage || no.pf.OrdersServers {
		wg.Go(func() { no.serveDuties(work) })
	}
	<-ctx.Done()
	no.leave(work)
	stop()
	wg.Wait()
	no.log.Info("node_stopped")
	return nil
}

func listen(addr string) (net.Listener, error) {
	ls, err := net.Listen("tcp", addr)
	return ls, fault.Wrap("entry.listen", KindListen, err)
}

func (no *Node) ended(what string, err error) {
	if err != nil {
		no.log.Error("listener_ended", zap.String("listener", what), zap.Error(err))
	}
}

const (
	// killMargin is the time before the platform's kill at which a leaving node exits.
	killMargin = 500 * time.Millisecond
	// lateStreams and lateOther are the times after the signal to stop from which on new
	// streams, and other requests, could not end before the exit: they are refused, so that
	// their callers go to another node at once.
	lateStreams = 3 * time.Second
	lateOther   = 6 * time.Second
	// settleTime is how long new connections still arrive after the balancer was told.
	settleTime = 3 * time.Second
)

// leave lets the balancer know and requests in progress end.
func (no *Node) leave(ctx context.Context) {
	no.leaving.Store(true)
	no.relay.Leave(time.Now(), lateStreams, lateOther)
	no.log.Info("node_leaving")
	ctx, cancel := context.WithTimeout(ctx, no.set.Timing.Grace()-killMargin)
	defer cancel()
	began := time.Now()
	no.door.Leave(ctx)
	pause.For(ctx, settleTime-time.Since(began))
	no.door.Wait(ctx)
}

// tickEvery is the time between two looks at what only time changes.
const tickEvery = 200 * time.Millisecond

func (no *Node) tick(ctx context.Context) {
	for pause.For(ctx, tickEvery) {
		now := time.Now()
		no.mu.Lock()
		no.clock.SetOwn(no.steady(), now)
		changed := no.servers.Tick(now)
		no.book.Prune(no.clock.Now(no.steady()))
		no.mu.Unlock()
		if changed {
			no.publishServers("held_back_removal")
		}
	}
}

// Began implements relay.Meter.
func (no *Node) Began(cu units.CustomerID, at time.Time) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.book.Count(no.source(), no.clock.Now(at.Sub(no.start)), cu)
}

// Offered implements relay.Meter.
func (no *Node) Offered(service units.TargetID, prompt units.Tokens) {
	no.mu.Lock()
	defer no.mu.Unlock()
	wo := no.offered[service]
	wo.Requests++
	wo.Prompt += prompt
	no.offered[service] = wo
}

// Late implements relay.Meter.
func (no *Node) Late(service units.TargetID) {
	no.mu.Lock()
	defer no.mu.Unlock()
	wo := no.offered[service]
	wo.Late++
	no.offered[service] = wo
}

func (no *Node) source() string { return sourceOf(no.set.VM.ID, no.life) }

func sourceOf(node units.VMID, life int64) string {
	return usage.Source{Node: node, Incarnation: life}.Key()
}
