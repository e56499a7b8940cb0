// Package entry runs an entry node on the users' platform. The node tails the
// configuration and the list of backend servers in the platform's store, exchanges
// reports with its peers, serves callers, and performs the duties of the leader while
// it holds the lease.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"lycheepick/internal/edge/door"
	"lycheepick/internal/edge/memory"
	"lycheepick/internal/edge/pause"
	"lycheepick/internal/edge/relay"
	"lycheepick/internal/node/config"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/clock"
	"lycheepick/internal/rule/detour"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/lease"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/roll"
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
	// KindConfig marks a configuration of a peer that can't be unpacked.
	KindConfig Kind = "config"
	// KindDeclined marks a request that a peer has not taken, KindForward one that a peer has taken
	// or that is malformed.
	KindDeclined Kind = "declined"
	KindForward  Kind = "forward"
	// KindOfferCut marks a request whose offer to a peer ended with its connection, so that the peer has not
	// taken it.
	KindOfferCut Kind = "offer_cut"
	// KindWithheld marks a request that a peer has taken, and that was not committed.
	KindWithheld Kind = "withheld"
	// KindIssuer marks a node that gave no permits, since it can't be reached or takes another
	// node for their issuer.
	KindIssuer Kind = "issuer"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Cloud is the platform's cloud API.
type Cloud interface {
	// Usage reports the number of requests of each customer that began in one usage
	// window, with the fencing token of the lease.
	Usage(ctx context.Context, fence units.Offset, window int64, counts map[units.CustomerID]int64) error
	// Scale sets the number of spot or on-demand servers of a service in a zone, with the
	// fencing token of the lease.
	Scale(ctx context.Context, fence units.Offset, service units.TargetID, zone units.ZoneID, spot bool, count int) error
}

// Platform holds the platform's services and the codecs of its records.
type Platform struct {
	Store stream.Store
	Cloud Cloud
	// OperatorStream holds the operators' records, among them the configuration under
	// ConfigKey. ServerStream holds the records of backend servers.
	OperatorStream stream.Name
	ConfigKey      string
	ServerStream   stream.Name
	DecodeRecord   func(off units.Offset, rec []byte) (stream.Keyed, bool)
	EncodeRecord   func(key string, value []byte) []byte
	DecodeConfig   func(raw []byte) (*routes.Config, error)
	DecodeServer   func(raw []byte) (server.Status, error)
	// OrderedService returns the service of an operator's record that orders a rollout, and DecodeOrder the order.
	OrderedService func(key string) (units.TargetID, bool)
	DecodeOrder    func(it stream.Keyed) (roll.Order, error)
	// StatusStream holds the statuses of rollouts.
	StatusStream  stream.Name
	EncodeRollout func(id units.TargetID, st roll.State) (key string, value []byte, err error)
	// ReportsUsage and OrdersServers enable the duties of the leader.
	ReportsUsage  bool
	OrdersServers bool
	// Handler returns the handlers of callers' requests, and of those that peers forward.
	Handler func(vi View) (door.Handler, ForwardHandler)
}

// View is what handlers see of a node.
type View struct {
	Relay *relay.Relay
	// Config returns the configuration in force, nil before the first one.
	Config func() *routes.Config
	// Behind reports whether the node knows that there is a newer configuration.
	Behind func() bool
}

// Node is one entry node.
type Node struct {
	settings    *config.EntrySettings
	platform    Platform
	log         *zap.Logger
	start       time.Time
	incarnation int64

	relay     *relay.Relay
	door      *door.Server
	registry  metrics.Registry
	firstByte metrics.Histogram

	// lists bounds the time until the answer to a listing of the store begins.
	lists         stream.Patience
	config        atomic.Pointer[activeConfig]
	serversLoaded atomic.Bool // The list of servers has been loaded.
	leaving       atomic.Bool
	rotation      *rotation
	// runningAt is the uptime at which the node last knew that it had not been told to stop.
	runningAt atomic.Int64
	isLeader  atomic.Bool // This node holds the lease.
	// draining is the number of servers known to be draining.
	draining atomic.Int64

	mu      sync.Mutex // Guards the fields up to orders.
	servers *server.Registry
	records records
	watch   *watch.Selector
	// maxPeerOffset is the highest offset up to which a peer has read the list of servers,
	// and behindSince is the time since which this node has read less.
	maxPeerOffset units.Offset
	behindSince   time.Time
	// steadySince is when the list of servers last matched the store after a gap.
	steadySince time.Time
	// serversEra is the era of the store to which the offsets of servers and records belong,
	// and maxPeerEra the one to which maxPeerOffset belongs.
	serversEra, maxPeerEra units.Era
	// restored has an item once the store has come back from an older copy.
	restored chan struct{}
	// eraSeenAt is when this node first knew of serversEra.
	eraSeenAt time.Time
	peers     map[units.VMID]*peer
	members   *permit.Members
	usageBook *usage.Counter
	clock     *clock.Clock
	offered   map[units.TargetID]pulse.Demand
	peerWork  map[units.VMID]*peerWork
	// orders are the orders of rollouts by service, the removed ones included.
	orders map[units.TargetID]rolloutOrder

	storeHealth  storeHealth
	exchanges    exchangeStats
	peerClient   peerCaller
	origins      *origins
	configBudget configBudget
	fetch        configFetch
	forwards     *forwards
	leader       leaderState
	unreadable   unreadable
	acceptErrors acceptErrors
	rollouts     rollouts
}

// The parts of the memory, as divisors: requestShare for the bodies of requests in progress, answerShare for
// answers in progress, and for events of streams.
const (
	requestShare = 2
	answerShare  = 16
)

// New returns a node; Run starts it.
func New(set *config.EntrySettings, pf Platform, log *zap.Logger) *Node {
	now := time.Now()
	no := &Node{
		settings: set, platform: pf, log: log, start: now, incarnation: now.UnixNano(),
		registry: metrics.NewRegistry(), firstByte: metrics.NewHistogram(metrics.NewExpDecaySample(256, 0.015)),
		servers: server.NewRegistry(set.Timing.Heartbeat()), records: newRecords(), lists: stream.Patience{Least: listTimeout, Most: maxListTimeout}, watch: watch.New(set.VM.ID, set.Timing.ChangeBound()), peers: map[units.VMID]*peer{},
		usageBook: usage.NewCounter(set.Timing.UsageWindow()), clock: clock.New(),
		offered: map[units.TargetID]pulse.Demand{}, peerWork: map[units.VMID]*peerWork{}, orders: map[units.TargetID]rolloutOrder{},
	}
	no.members, no.rotation = permit.NewMembers(set.VM.ID), newRotation()
	no.peerClient = pulse.NewClient(&no.exchanges.traffic)
	no.fetch.news, no.restored = make(chan struct{}, 1), make(chan struct{}, 1)
	no.storeHealth.reads = map[int]context.CancelFunc{}
	no.relay = relay.New(log, set.VM.Zone, no, pool.Tolerance{
		Window: set.Limits.Window(), Share: set.Limits.QuotaShare, Fixed: set.Limits.QuotaFixed,
	})
	if total := set.Limits.Memory(); total > 0 {
		no.relay.Bodies, no.relay.Events = memory.NewBudget(total/answerShare), memory.NewBudget(total/answerShare)
	}
	no.relay.Contention, no.relay.Spillover = set.Admission.Contention, set.Admission.Spillover
	ro := set.Rollout.OrDefault()
	no.relay.ControlRollouts(roll.Policy{Share: ro.ExposureShare, Slack: ro.ExposureSlack, RollbackBound: ro.RollbackBound()}, set.VM.ID)
	no.relay.SpreadKey = xxhash.Sum64String(string(set.VM.ID))
	no.origins = newOrigins(no)
	no.relay.AskPermits, no.relay.Origins, no.relay.OwnsTrials = no.askPermits, no.origins, no.ownsTrials
	no.relay.ObserveFirstByte = func(du time.Duration) { no.firstByte.Update(du.Microseconds()) }
	no.forwards = &forwards{no: no, nodes: detour.NewNodes(rand.Uint64())}
	no.relay.Detours = no.forwards
	handler, forwarded := pf.Handler(View{Relay: no.relay, Config: no.inForce, Behind: no.isConfigBehind})
	no.forwards.handler = forwarded
	no.door = &door.Server{Handler: handler, Limits: no.limits, AcceptFailed: no.acceptFailed}
	if total := set.Limits.Memory(); total > 0 {
		no.door.Bodies = memory.NewBudget(total / requestShare)
	}
	no.leader = leaderState{
		lease: lease.New(lease.Holder{Node: set.VM.ID, Incarnation: no.incarnation}, lease.Timing{Lease: set.Timing.Lease(), Margin: leaseMargin}),
		now:   bootTime, ledger: usage.Ledger{}, orders: newOrders(),
	}
	no.clock.SetOwn(no.uptime(), now)
	no.registerMetrics()
	return no
}

// inForce returns the configuration in force, nil before the first one.
func (no *Node) inForce() *routes.Config {
	if fo := no.config.Load(); fo != nil {
		return fo.Config
	}
	return nil
}

// uptime returns the monotonic time since the start of the node. It does not advance while
// the VM is suspended.
func (no *Node) uptime() time.Duration { return time.Since(no.start) }

// Limits on callers' connections until a configuration is in force.
const (
	defaultHeader        units.Bytes = 16 << 10
	defaultBody          units.Bytes = 4 << 20
	defaultHeaderTimeout             = 3 * time.Second
	defaultIdleTimeout               = 15 * time.Second
	// idleMargin is added to the configured idle time: callers reuse connections up to that
	// time, so the server has to close them later.
	idleMargin = time.Second
)

func (no *Node) limits() door.Limits {
	fo := no.config.Load()
	if fo == nil || fo.Limits.MaxHeader <= 0 || fo.Limits.IdleTimeout <= 0 {
		return door.Limits{Header: defaultHeader, Body: defaultBody, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	}
	li := fo.Limits
	return door.Limits{Header: li.MaxHeader, Body: li.MaxBody, HeaderTimeout: li.HeaderTimeout, IdleTimeout: li.IdleTimeout + idleMargin}
}

// Run serves until ctx ends and then shuts down gracefully, within the grace period of the
// settings. It returns an error if an address can't be listened on.
func (no *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	list, err := listenAll(no.settings.Listen.Callers, no.settings.Listen.Ready, no.settings.Listen.Peers)
	if err != nil {
		return err
	}
	callers, ready, peers := list[0], list[1], list[2]
	no.log.Info("node_started", zap.String("callers", no.settings.Listen.Callers), zap.String("peers", no.settings.Listen.Peers))
	var wg conc.WaitGroup
	wg.Go(func() { no.logListenerError("callers", no.door.Serve(work, callers)) })
	wg.Go(func() { no.logListenerError("ready", no.readyServer().Serve(work, ready)) })
	wg.Go(func() {
		no.logListenerError("peers", pulse.Serve(work, peers, no, &no.exchanges.traffic))
	})
	if no.settings.Listen.Metrics != "" {
		wg.Go(func() { no.serveMetrics(work) })
	}
	wg.Go(func() { no.followConfig(work) })
	wg.Go(func() { no.followServers(work) })
	wg.Go(func() { no.exchangeLoop(work) })
	wg.Go(func() { no.fetchConfigs(work) })
	wg.Go(func() { no.origins.run(work) })
	wg.Go(func() { no.tick(work) })
	wg.Go(func() { no.watchSignal(ctx) })
	wg.Go(func() { no.watchAccepts(work) })
	wg.Go(func() { no.relay.WatchPaths(work) })
	// Also without duties, as the record of the lease keeps the software versions for nodes that start.
	no.relay.AwaitVersions()
	wg.Go(func() { no.leaderLoop(work) })
	<-ctx.Done()
	no.leave(work)
	stop()
	wg.Wait()
	no.log.Info("node_stopped")
	return nil
}

// listenAll opens a listener at each address, all of them or none.
func listenAll(addrs ...string) ([]net.Listener, error) {
	var list []net.Listener
	for _, addr := range addrs {
		ls, err := listen(addr)
		if err != nil {
			for _, open := range list {
				_ = open.Close()
			}
			return nil, err
		}
		list = append(list, ls)
	}
	return list, nil
}

func listen(addr string) (net.Listener, error) {
	ls, err := net.Listen("tcp", addr)
	return ls, fault.Wrap("entry.listen", KindListen, err)
}

func (no *Node) logListenerError(what string, err error) {
	if err != nil {
		no.log.Error("listener_ended", zap.String("listener", what), zap.Error(err))
	}
}

// tickPeriod is the interval at which state that depends on time alone is updated.
const tickPeriod = 200 * time.Millisecond

func (no *Node) tick(ctx context.Context) {
	for pause.For(ctx, tickPeriod) {
		now := time.Now()
		no.mu.Lock()
		no.clock.SetOwn(no.uptime(), now)
		changed := no.servers.Tick(now)
		no.usageBook.Prune(no.clock.Now(no.uptime()))
		no.mu.Unlock()
		no.relay.UpdateCrashes(now)
		no.relay.LogContention(now)
		if changed {
			no.publishServers("held_back_removal")
		}
	}
}

// RecordStart implements relay.Meter.
func (no *Node) RecordStart(cu units.CustomerID, at time.Time) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.usageBook.Count(no.ownSource(), no.clock.Now(at.Sub(no.start)), cu)
}

// RecordDemand implements relay.Meter.
func (no *Node) RecordDemand(service units.TargetID, prompt units.Tokens) {
	no.mu.Lock()
	defer no.mu.Unlock()
	de := no.offered[service]
	de.Requests++
	de.PromptTokens += prompt
	no.offered[service] = de
}

// RecordLate implements relay.Meter.
func (no *Node) RecordLate(service units.TargetID) {
	no.mu.Lock()
	defer no.mu.Unlock()
	de := no.offered[service]
	de.Late++
	no.offered[service] = de
}

func (no *Node) ownSource() string { return sourceKey(no.settings.VM.ID, no.incarnation) }

func sourceKey(node units.VMID, inc int64) string {
	return usage.Source{Node: node, Incarnation: inc}.Key()
}
