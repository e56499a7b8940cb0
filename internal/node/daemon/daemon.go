// Package daemon runs one lycheepickd node: it passes events from the network and the platform
// to the packages that decide, and carries out their decisions.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"lycheepick/internal/edge/call"
	"lycheepick/internal/edge/engine"
	"lycheepick/internal/edge/fleet"
	"lycheepick/internal/edge/flow"
	"lycheepick/internal/edge/gate"
	"lycheepick/internal/edge/keys"
	"lycheepick/internal/edge/plain"
	"lycheepick/internal/edge/quota"
	"lycheepick/internal/edge/serve"
	"lycheepick/internal/node/audit"
	"lycheepick/internal/node/config"
	"lycheepick/internal/peer/mesh"
	"lycheepick/internal/plat/cloud"
	"lycheepick/internal/plat/logsvc"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/limit"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
	"lycheepick/internal/state/table"
)

// Kind classifies the errors of a daemon.
type Kind string

// The kinds of error of this package.
const (
	// KindListen marks an address that can't be listened on.
	KindListen Kind = "listen"
	// KindSession marks a session that no peer accepted.
	KindSession Kind = "session"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Version is the version of the program. A node includes it in its status.
const Version = "0.2.0"

// Daemon is one node.
type Daemon struct {
	settings *config.Settings
	secret   []byte
	log      *zap.Logger
	trail    *audit.Trail
	start    time.Time

	logService logsvc.Log
	cloud      cloud.API
	peerPool   *mesh.Pool

	gossipMu sync.Mutex
	gossip   *member.Gossip
	// publishMu keeps memberships from being published out of order; publishedDigest is the
	// digest of the last one.
	publishMu       sync.Mutex
	publishedDigest uint64

	foldMu      sync.Mutex
	fold        *table.Fold
	tableStream tableStream
	table       atomic.Pointer[table.InForce]

	seatMu        sync.Mutex
	seats         *limit.Seats
	seatClaimedAt time.Time // When this node's last accepted claim was sent.
	// seatHeldSince is when this node first saw that it holds a seat.
	seatHeldSince time.Time

	fleet    *fleet.Fleet
	flow     *flow.Flow
	quota    *quota.Limiter
	ledger   *keys.Ledger
	outbox   chan recordJob
	sessions *sessions
	server   *serve.Server
	meters   *meters

	seatUsable   atomic.Bool
	firstTableAt atomic.Int64 // When the first table was installed, in Unix nanoseconds.
	// workCtx is cancelled when the node stops; tasks tracks the goroutines of spawn.
	workCtx context.Context
	tasks   conc.WaitGroup

	leaving   atomic.Bool
	leaveBy   chan time.Time // Receives the deadline at which this node's own VM is reclaimed.
	reclaimMu sync.Mutex
	reclaimed map[units.Instance]bool
}

// outboxSize bounds the outcomes of keyed requests that wait to be written to the log.
const outboxSize = 10000

// New returns a daemon; Run starts it.
func New(set *config.Settings, secret []byte, log *zap.Logger) *Daemon {
	start := time.Now()
	self := member.Member{
		Instance: units.Instance{VM: set.VM.ID, Incarnation: member.NodeIncarnation(set.VM.Incarnation, start)},
		Role:     member.RoleNode, Address: set.Listen.Advertise, Zone: set.VM.Zone,
	}
	cfg := member.DefaultConfig()
	cfg.Period = set.Timing.Gossip.Std()
	cfg.SuspectTimeout = set.Timing.Suspect.Std()
	trail := audit.New(set.VM.ID, log)
	ca := call.NewCaller()
	da := &Daemon{
		settings: set, secret: secret, log: log, trail: trail, start: start,
		logService: logsvc.New(set.Platform.Log), cloud: cloud.New(set.Platform.Cloud), peerPool: mesh.NewPool(secret),
		gossip: member.NewGossip(cfg, self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		fold:   table.NewFold(), seats: limit.NewSeats(), fleet: fleet.New(trail), quota: quota.New(),
		outbox: make(chan recordJob, outboxSize), sessions: newSessions(set.Limits.Sessions),
		leaveBy: make(chan time.Time, 1), reclaimed: map[units.Instance]bool{},
	}
	da.flow = &flow.Flow{
		Fleet: da.fleet, Gates: gate.New(), Quota: da.quota,
		Engine: engine.NewClient(ca), Plain: plain.NewClient(ca), Policy: route.NewCostPolicy(),
		Owners: da, OnDraining: da.serverDraining,
	}
	da.meters = newMeters(da)
	return da
}

// Run serves until ctx ends or the VM is reclaimed and then shuts down gracefully. It returns
// an error if an address can't be listened on or a listener fails.
func (da *Daemon) Run(ctx context.Context) error {
	const op = "daemon.Run"
	ls, err := net.Listen("tcp", da.settings.Listen.Peers)
	if err != nil {
		return fault.Wrap(op, KindListen, err)
	}
	// Requests and loops continue during the shutdown, so their context outlives ctx.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	da.workCtx = work
	var wg conc.WaitGroup
	defer da.tasks.Wait()
	defer wg.Wait()
	defer stop() // Runs before the two waits above.
	da.ledger = keys.NewLedger(work, da.logService, wg.Go)
	da.server = serve.New(work, da, da.flow, serve.Limits{
		Body: da.settings.Limits.BodyBytes, Header: da.settings.Limits.HeaderBytes, Connections: da.settings.Limits.Connections,
	})
	failed := make(chan error, 2)
	wg.Go(func() { failed <- mesh.Serve(work, ls, da.secret, &peerServer{da: da}) })
	wg.Go(func() { failed <- fault.Wrap(op, KindListen, da.server.Listen(da.settings.Listen.Callers)) })
	for _, loop := range []func(context.Context){
		da.gossipLoop, da.tableLoop, da.seatLoop, da.vmLoop, da.noticeLoop, da.priceLoop,
		da.loadLoop, da.otherLoadLoop, da.refreshLoop, da.borrowLoop, da.outboxLoop, da.auditLoop,
	} {
		wg.Go(func() { loop(work) })
	}
	da.log.Info("started", zap.String("callers", da.settings.Listen.Callers), zap.String("peers", da.settings.Listen.Peers))
	grace := da.settings.Timing.Grace.Std()
	select {
	case err := <-failed:
		_ = da.server.Shutdown(0)
		return err
	case deadline := <-da.leaveBy:
		grace = max(0, time.Until(deadline)-leaveMargin)
	case <-ctx.Done():
	}
	da.shutDown(grace)
	return nil
}

func (da *Daemon) auditLoop(ctx context.Context) { da.trail.Run(ctx, da.logService) }

const (
	// leaveMargin is the time before the reclaim that is reserved for handing over requests
	// and releasing the seat.
	leaveMargin = 3 * time.Second
	// handOverTimeout bounds the hand-over of requests to peers.
	handOverTimeout = 2 * time.Second
)

// shutDown takes only requests that end or can be handed over, waits up to grace for those in progress, hands over
// or ends the rest and refuses what comes after them.
func (da *Daemon) shutDown(grace time.Duration) {
	stopsAt := time.Now().Add(grace)
	da.leaving.Store(true)
	da.server.Leave(stopsAt)
	da.announce(func(me *member.Member) { me.State = member.Leaving })
	da.trail.Note("node_leaving", string(da.settings.VM.ID), "")
	if !closedWithin(da.server.CloseAtIdle(), time.Until(stopsAt)) {
		da.trail.Note("node_hands_over", string(da.settings.VM.ID), "")
		idle := da.server.Close()
		da.flow.HandOver()
		closedWithin(idle, handOverTimeout)
	}
	da.releaseSeat()
	// Callers who read their answers slowly have what is left of the grace.
	_ = da.server.Shutdown(max(handOverTimeout, time.Until(stopsAt)))
	da.peerPool.Close()
	da.log.Info("stopped")
}

// closedWithin waits up to du for a channel to be closed and reports whether it was.
func closedWithin(done <-chan struct{}, du time.Duration) bool {
	tm := time.NewTimer(du)
	defer tm.Stop()
	select {
	case <-done:
		return true
	case <-tm.C:
		return false
	}
}

// Table implements serve.Node.
func (da *Daemon) Table() *table.InForce { return da.table.Load() }

// Ready implements serve.Node.
func (da *Daemon) Ready() error {
	const op = "daemon.Ready"
	if da.leaving.Load() {
		return fault.New(op, serve.KindNotReady, "this node is leaving")
	}
	if da.table.Load() == nil {
		return fault.New(op, serve.KindNotReady, "this node has no table yet")
	}
	if !da.seatUsable.Load() && time.Since(time.Unix(0, da.firstTableAt.Load())) < seatTimeout {
		return fault.New(op, serve.KindNotReady, "this node has no seat yet")
	}
	return nil
}

// spawn runs a task in a goroutine; its context ends when the node stops.
func (da *Daemon) spawn(task func(ctx context.Context)) {
	da.tasks.Go(func() { task(da.workCtx) })
}

// runEvery calls do each period until ctx ends. The jitter keeps nodes that started together
// from staying in step.
func runEvery(ctx context.Context, period time.Duration, do func(context.Context)) {
	for ctx.Err() == nil {
		do(ctx)
		sleep(ctx, jitter(period))
	}
}

func jitter(du time.Duration) time.Duration {
	const spread = 5 // The jitter is up to 1/spread of du, to either side.
	return du - du/spread + time.Duration(rand.Int64N(int64(2*du/spread)+1))
}

func sleep(ctx context.Context, du time.Duration) {
	tm := time.NewTimer(du)
	defer tm.Stop()
	select {
	case <-ctx.Done():
	case <-tm.C:
	}
}
