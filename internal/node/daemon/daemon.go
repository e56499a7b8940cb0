// Package daemon wires one lycheepickd: it carries events to the decision packages and
// their answers out.
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

// Kind tells why a daemon ended.
type Kind string

// The kinds of error of this package.
const (
	// KindListen marks an address that can't be listened on.
	KindListen Kind = "listen"
	// KindSession marks a session that no peer took.
	KindSession Kind = "session"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Version is the version of the program.
const Version = "0.2.0"

// Daemon is one running node.
type Daemon struct {
	set    *config.Settings
	secret []byte
	log    *zap.Logger
	trail  *audit.Trail
	start  time.Time

	logs  logsvc.Log
	cloud cloud.API
	pool  *mesh.Pool

	gossipMu sync.Mutex
	gossip   *member.Gossip
	// changeMu keeps memberships from being handed on out of order; seenDigest is the
	// digest of the last one.
	changeMu   sync.Mutex
	seenDigest uint64

	foldMu sync.Mutex
	fold   *table.Fold
	folded logState
	table  atomic.Pointer[table.InForce]

	seatMu sync.Mutex
	seats  *limit.Seats
	seatAt time.Time // When this node's last accepted claim was sent.
	// seatedAt is when this node first saw itself hold a seat.
	seatedAt time.Time

	fleet    *fleet.Fleet
	flow     *flow.Flow
	quota    *quota.Book
	ledger   *keys.Ledger
	outbox   chan recordJob
	sessions *sessions
	server   *serve.Server
	meters   *meters

	seated  atomic.Bool
	tableAt atomic.Int64 // When the first table was installed, in Unix nanoseconds.
	// work ends all that the node does; tasks counts what spawn started.
	work  context.Context
	tasks conc.WaitGroup

	leaving   atomic.Bool
	leave     chan time.Time // Receives the deadline of this node's own VM.
	reclaimMu sync.Mutex
	reclaimed map[units.Instance]bool
}

// outboxSize bounds the ends of keyed requests that wait for the log.
const outboxSize = 10000

// New returns a daemon that does nothing yet.
func New(set *config.Settings, secret []byte, log *zap.Logger) *Daemon {
	start := time.Now()
	self := member.Member{
		Instance: units.Instance{VM: set.VM.ID, Incarnation: member.NodeIncarnation(set.VM.Incarnation, start)},
		Role:     member.RoleNode, Address: set.Listen.Advertise, Zone: set.VM.Zone,
	}
	cfg := member.DefaultConfig()
	cfg.Period = set.Timing.Gossip.Std()
	cfg.SuspectFor = set.Timing.Suspect.Std()
	trail := audit.New(set.VM.ID, log)
	ca := call.NewCaller()
	da := &Daemon{
		set: set, secret: secret, log: log, trail: trail, start: start,
		logs: logsvc.New(set.Platform.Log), cloud: cloud.New(set.Platform.Cloud), pool: mesh.NewPool(secret),
		gossip: member.NewGossip(cfg, self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		fold:   table.NewFold(), seats: limit.NewSeats(), fleet: fleet.New(trail), quota: quota.New(),
		outbox: make(chan recordJob, outboxSize), sessions: newSessions(set.Limits.Sessions),
		leave: make(chan time.Time, 1), reclaimed: map[units.Instance]bool{},
	}
	da.flow = &flow.Flow{
		Fleet: da.fleet, Gates: gate.New(), Quota: da.quota,
		Engine: engine.NewClient(ca), Plain: plain.NewClient(ca), Policy: route.NewCostPolicy(),
		Stewards: da, Draining: da.serverDraining,
	}
	da.meters = newMeters(da)
	return da
}

// Run serves until ctx ends or the VM is reclaimed, and then leaves in order.
func (da *Daemon) Run(ctx context.Context) error {
	const op = "daemon.Run"
	ls, err := net.Listen("tcp", da.set.Listen.Peers)
	if err != nil {
		return fault.Wrap(op, KindListen, err)
	}
	// Work goes on while the node leaves, so it does not end with ctx.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	da.work = work
	var wg conc.WaitGroup
	defer da.tasks.Wait()
	defer wg.Wait()
	defer stop() // Runs before the waits.
	da.ledger = keys.NewLedger(work, da.logs, wg.Go)
	da.server = serve.New(work, da, da.flow, serve.Limits{
		Body: da.set.Limits.BodyBytes, Header: da.set.Limits.HeaderBytes, Connections: da.set.Limits.Connections,
	})
	failed := make(chan error, 2)
	wg.Go(func() { failed <- mesh.Serve(work, ls, da.secret, &peerServer{da: da}) })
	wg.Go(func() { failed <- fault.Wrap(op, KindListen, da.server.Listen(da.set.Listen.Callers)) })
	for _, loop := range []func(context.Context){
		da.gossipLoop, da.tableLoop, da.seatLoop, da.vmLoop, da.noticeLoop, da.priceLoop,
		da.loadLoop, da.otherLoadLoop, da.refreshLoop, da.borrowLoop, da.outboxLoop, da.auditLoop,
	} {
		wg.Go(func() { loop(work) })
	}
	da.log.Info("started", zap.String("callers", da.set.Listen.Callers), zap.String("peers", da.set.Listen.Peers))
	grace := da.set.Timing.Grace.Std()
	select {
	case err := <-failed:
		_ = da.server.Shutdown(0)
		return err
	case deadline := <-da.leave:
		grace = max(0, time.Until(deadline)-leaveMargin)
	case <-ctx.Done():
	}
	da.depart(grace)
	return nil
}

func (da *Daemon) auditLoop(ctx context.Context) { da.trail.Run(ctx, da.logs) }

const (
	// leaveMargin is kept free before a reclaim for what a leaving node does last.
	leaveMargin = 3 * time.Second
	// handOverTime is how long the requests have to reach a peer.
	handOverTime = 2 * time.Second
	leavePoll    = 20 * time.Millisecond
)

// depart leaves in order: no new work, then requests end or are handed over.
func (da *Daemon) depart(grace time.Duration) {
	da.leaving.Store(true)
	da.announce(func(me *member.Member) { me.State = member.Leaving })
	da.trail.Note("node_leaving", string(da.set.VM.ID), "")
	if !da.idleWithin(grace) {
		da.trail.Note("node_hands_over", string(da.set.VM.ID), "")
		da.flow.HandOver()
		da.idleWithin(handOverTime)
	}
	da.releaseSeat()
	_ = da.server.Shutdown(handOverTime)
	da.pool.Close()
	da.log.Info("stopped")
}

// idleWithin waits for the requests in progress to end.
func (da *Daemon) idleWithin(du time.Duration) bool {
	until := time.Now().Add(du)
	for da.flow.Counts.InFlight.Load() > 0 {
		if time.Now().After(until) {
			return false
		}
		time.Sleep(leavePoll)
	}
	return true
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
	if !da.seated.Load() && time.Since(time.Unix(0, da.tableAt.Load())) < seatPatience {
		return fault.New(op, serve.KindNotReady, "this node has no seat yet")
	}
	return nil
}

// spawn runs a task that ends with the node.
func (da *Daemon) spawn(task func(ctx context.Context)) {
	da.tasks.Go(func() { task(da.work) })
}

// every calls do now and then until ctx ends, with some jitter, so that nodes that
// started together do not stay in step.
func every(ctx context.Context, period time.Duration, do func(context.Context)) {
	for ctx.Err() == nil {
		do(ctx)
		wait(ctx, jitter(period))
	}
}

func jitter(du time.Duration) time.Duration {
	const spread = 5 // One part in so many, to either side.
	return du - du/spread + time.Duration(rand.Int64N(int64(2*du/spread)+1))
}

func wait(ctx context.Context, du time.Duration) {
	tm := time.NewTimer(du)
	defer tm.Stop()
	select {
	case <-ctx.Done():
	case <-tm.C:
	}
}
