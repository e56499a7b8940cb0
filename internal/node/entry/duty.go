package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/bound"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/lease"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/usage"
	"lycheepick/internal/state/origin"
)

const (
	// leaseStream holds the records of the lease under a single key, so that the store keeps
	// the newest one even if no node writes for a long time.
	leaseStream stream.Name = "keyed.duty"
	leaseKey    string      = "holder"
	// leaderPeriod is the interval at which a node checks the lease and runs the duties that
	// are due.
	leaderPeriod = 500 * time.Millisecond
	// renewPeriod is the interval at which the leader renews the lease.
	renewPeriod = time.Second
	// leaderReportTTL is how long a peer's report that it holds the lease replaces a read of
	// the store.
	leaderReportTTL = 1200 * time.Millisecond
	// maxLeaseBacklog is the time since the last read of the lease up to which the records since
	// then are read, and otherwise the newest one alone. Each record repeats what lasts of the
	// previous one, and a page of them takes half a second on a link of 10 Mbit/s.
	maxLeaseBacklog = 2 * renewPeriod
	// leaseMargin covers the time until other nodes have read a record.
	leaseMargin = 700 * time.Millisecond
	// usageSettleTime is the time after the end of a usage window by which the counts of all
	// nodes have arrived.
	usageSettleTime = 2500 * time.Millisecond
	// startupWait is how long a new node waits for its peers' counts before it closes usage
	// windows that began before its start.
	startupWait = 1500 * time.Millisecond
)

// leaseRecord is what the leader appends to renew the lease. It also carries the state that
// the next leader continues from.
type leaseRecord struct {
	lease.Holder
	// Era is the era of the store in which the record was written.
	Era    units.Era                `json:"era,omitempty"`
	Began  map[string]usage.Windows `json:"began,omitempty"`
	Ledger usage.Ledger             `json:"ledger,omitempty"`
	// Unsure is the last usage window that a holder may have reported with counts that are not in the
	// ledger, since the store has lost records.
	Unsure usage.Window `json:"unsure,omitempty"`
	// Demand is the demand for each service, where the leader knows it.
	Demand map[units.TargetID]units.TokensPerSecond `json:"demand,omitempty"`
	// Ordered are the numbers of servers that are ordered.
	Ordered []groupOrder `json:"ordered,omitempty"`
	// Versions are the software versions that servers have had lately. A node that starts takes
	// no stream up at the only version that serves if others may have begun it.
	Versions map[units.TargetID]origin.Ages `json:"versions,omitempty"`
}

// leaderState is the state of the lease and of the duties. Only leaderLoop uses it, apart from
// reportedAt and reportedBy.
type leaderState struct {
	lease *lease.Lease
	// now returns the time since boot; see bootTime.
	now func() time.Duration
	// readAt is when this node last knew all records of the lease.
	readAt time.Time
	// mu guards ledger. It is locked for every access, although all are made by leaderLoop.
	mu     sync.Mutex
	ledger usage.Ledger
	loaded bool
	// unsure is that of the records and of this node. lostBefore is a time before which the store has
	// lost records, until unsure covers it, and zero otherwise.
	unsure     usage.Window
	lostBefore time.Time
	wasLeader  bool
	renewedAt  time.Duration
	// reportedAt is when a peer last reported that it holds the lease, and reportedBy is that
	// peer. Node.mu guards both.
	reportedAt time.Time
	reportedBy units.VMID
	orders     orders
}

// bootTime returns the time since boot, which also advances while the VM is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // CLOCK_BOOTTIME is not supported: fall back to the time of day.
	}
	return time.Duration(ts.Nano())
}

// leaderLoop tracks the lease and runs the duties that are due while this node holds it.
func (no *Node) leaderLoop(ctx context.Context) {
	for pause.For(ctx, leaderPeriod) {
		if no.platform.OrdersServers {
			no.updateDemand()
		}
		if no.leaving.Load() {
			no.isLeader.Store(false)
			continue
		}
		if no.yieldsLease() { // Also if the store refuses this node: peers wait as long as it reports the lease.
			no.logLeaderChange(no.leader.now())
		}
		if no.isPeerLeader() {
			continue
		}
		if _, held := no.leader.lease.Active(no.leader.now()); !held {
			if stale, err := no.readStore(ctx, "duty", no.readLease); stale || err != nil {
				continue
			}
		}
		if no.uptime() < startupWait {
			continue
		}
		no.renewLease(ctx)
		no.moveRollouts(ctx)
		if no.platform.ReportsUsage {
			no.reportUsage(ctx)
		}
		if no.platform.OrdersServers {
			no.orderServers(ctx)
		}
	}
}

// yieldsLease reports whether this node stops reporting the lease as soon as it has ended, also while it can't read the store. It does so
// in contended configurations. In others the orders of the node that then took the lease served callers worse than none on one day.
func (no *Node) yieldsLease() bool {
	fo := no.config.Load()
	return fo == nil || no.relay.Contention.Applies(fo.Contended)
}

// isPeerLeader reports whether a peer has recently reported that it holds the lease, or may take
// it before this node does, in which case the store need not be read. The nodes on which others rely
// take the lease first.
func (no *Node) isPeerLeader() bool {
	ld := &no.leader
	no.mu.Lock()
	defer no.mu.Unlock()
	ttl, reported := leaderReportTTL, ld.reportedAt
	if reported.IsZero() {
		reported = no.start
	}
	if !no.watch.IsReader() {
		ttl += no.settings.Timing.Lease()
	}
	return ld.loaded && !ld.lease.IsHolder() && time.Since(reported) < ttl
}

// loadLease reads the newest lease record.
func (no *Node) loadLease(ctx context.Context) error {
	ld := &no.leader
	list, err := no.platform.Store.Newest(ctx, leaseStream, 0)
	if err != nil {
		return err
	}
	var written units.Era
	for _, it := range list.Items {
		if rec, ok := no.decodeLease(it); ok {
			written = max(written, rec.Era)
		}
	}
	no.enterLeaseEra(list.Era, written)
	for _, it := range list.Items {
		no.applyLease(it)
	}
	no.relay.RestoreVersions(time.Now(), nil) // Those in the records have been applied.
	ld.lease.SkipTo(ld.now(), list.End)
	ld.loaded, ld.readAt = true, time.Now()
	return nil
}

// enterLeaseEra takes note of the era of the store in which the lease is listed, and of that in which its newest
// record was written.
func (no *Node) enterLeaseEra(era, written units.Era) {
	ld := &no.leader
	now := time.Now()
	no.mu.Lock()
	seen := now
	if no.serversEra >= era && !no.eraSeenAt.IsZero() {
		seen = no.eraSeenAt
	}
	no.mu.Unlock()
	boot := ld.now()
	if ld.lease.EnterEra(boot, boot-now.Sub(seen), era, written) {
		ld.lostBefore = seen
	}
}

// updateUnsure moves unsure past the usage windows that ended before the store lost records. It also removes one from
// a node whose clock was far ahead. It is called before an append, when peers have told their clocks.
func (no *Node) updateUnsure() {
	if !no.platform.ReportsUsage {
		return
	}
	ld := &no.leader
	no.mu.Lock()
	defer no.mu.Unlock()
	if ld.unsure > no.usageBook.WindowAt(no.clock.Now(no.uptime()))+ledgerWindows {
		no.log.Warn("usage_unsure_ignored", zap.Int64("through_window", int64(ld.unsure)))
		ld.unsure = 0
	}
	if ld.lostBefore.IsZero() {
		return
	}
	ld.unsure = max(ld.unsure, no.usageBook.Unsure(no.clock.Now(ld.lostBefore.Sub(no.start))))
	ld.lostBefore = time.Time{}
	no.log.Warn("usage_unsure", zap.Int64("through_window", int64(ld.unsure)), zap.Int64("era", int64(ld.lease.Era())))
}

// readLease reads the lease records that are new since the last call, or the newest one on
// the first call, after maxLeaseBacklog and after records have expired.
func (no *Node) readLease(ctx context.Context) error {
	ld := &no.leader
	if !ld.loaded || time.Since(ld.readAt) > maxLeaseBacklog {
		return no.loadLease(ctx)
	}
	page, err := no.platform.Store.Read(ctx, leaseStream, ld.lease.NextOffset(), 0)
	if fault.Is(err, stream.KindExpired) {
		ld.loaded = false
		return nil
	}
	if err != nil {
		return err
	}
	for idx, rec := range page.Records {
		if it, ok := no.platform.DecodeRecord(page.From+units.Offset(idx), rec); ok {
			no.applyLease(it)
		}
	}
	ld.readAt = time.Now()
	return nil
}

func (no *Node) decodeLease(it stream.Keyed) (rec leaseRecord, ok bool) {
	if err := bound.JSON(it.Value, bound.Lease, &rec); err != nil {
		no.logUnreadable("duty_record_unreadable", "", err, zap.Int64("offset", int64(it.Offset)))
		return rec, false
	}
	return rec, true
}

func (no *Node) applyLease(it stream.Keyed) {
	rec, ok := no.decodeLease(it)
	if !ok {
		return
	}
	no.leader.lease.Read(no.leader.now(), it.Offset, rec.Holder)
	no.leader.unsure = max(no.leader.unsure, rec.Unsure)
	no.leader.orders.restore(time.Now(), &rec)
	no.relay.RestoreVersions(time.Now(), rec.Versions)
	no.leader.mu.Lock()
	no.leader.ledger.Merge(rec.Ledger)
	no.leader.mu.Unlock()
	no.mu.Lock()
	defer no.mu.Unlock()
	for so, ws := range rec.Began {
		no.usageBook.Merge(so, ws)
	}
}

// renewLease acquires or renews the lease if this node may do so and a renewal is due.
func (no *Node) renewLease(ctx context.Context) {
	ld := &no.leader
	now := ld.now()
	if !ld.lease.ShouldAppend(now) || (ld.lease.IsHolder() && now-ld.renewedAt < renewPeriod) {
		no.logLeaderChange(now)
		return
	}
	no.appendLease(ctx, nil)
	no.logLeaderChange(ld.now())
}

// appendLease appends a lease record that adds the windows in closing to the ledger. It
// returns false if the append failed, as it does if another node has appended first.
func (no *Node) appendLease(ctx context.Context, closing usage.Ledger) bool {
	ld := &no.leader
	no.updateUnsure()
	rec := leaseRecord{
		Holder: lease.Holder{Node: no.settings.VM.ID, Incarnation: no.incarnation}, Era: ld.lease.Era(), Ledger: usage.Ledger{}, Unsure: ld.unsure,
		Demand: ld.orders.knownDemands(time.Now()), Ordered: ld.orders.groupOrders(), Versions: no.relay.Versions(time.Now()),
	}
	ld.mu.Lock()
	rec.Ledger.Merge(ld.ledger)
	ld.mu.Unlock()
	rec.Ledger.Merge(closing)
	no.mu.Lock()
	rec.Began = no.usageBook.OpenCounts(rec.Ledger)
	no.mu.Unlock()
	raw, err := json.Marshal(&rec)
	if err != nil {
		no.log.Error("duty_record_not_encoded", zap.Error(err))
		return false
	}
	sent := ld.now()
	off, err := no.platform.Store.Append(ctx, leaseStream, ld.lease.NextOffset(), no.platform.EncodeRecord(leaseKey, raw))
	if err != nil {
		if fault.Is(err, stream.KindExpired) {
			ld.loaded = false
			ld.lease.Drop()
		}
		no.log.Info("duty_append_failed", zap.Int64("offset", int64(ld.lease.NextOffset())), zap.Error(err))
		return false
	}
	ld.lease.Appended(sent, ld.now(), off)
	ld.renewedAt, ld.readAt = sent, time.Now() // The append shows that nothing was left to read.
	ld.mu.Lock()
	ld.ledger.Merge(closing)
	ld.mu.Unlock()
	return true
}

// logLeaderChange logs when this node acquires or loses the lease.
func (no *Node) logLeaderChange(now time.Duration) {
	fence, held := no.leader.lease.Active(now)
	if held == no.leader.wasLeader {
		return
	}
	no.leader.wasLeader = held
	no.isLeader.Store(held)
	event := "duty_lost"
	if held {
		event = "duty_taken"
	}
	no.log.Info(event, zap.Int64("fence", int64(fence)), zap.Duration("uptime", no.uptime()), zap.Uint64("config", uint64(no.config.Load().version())))
}

// reportUsage closes the usage windows that are due, and reports all closed windows that the
// platform has not accepted yet.
func (no *Node) reportUsage(ctx context.Context) {
	ld := &no.leader
	if _, held := ld.lease.Active(ld.now()); !held {
		return
	}
	no.mu.Lock()
	now := no.clock.Now(no.uptime())
	closing := usage.Ledger{}
	ld.mu.Lock()
	for _, wi := range ld.ledger.Due(no.usageBook, ld.unsure, now, usageSettleTime, no.settings.Timing.UsageLate()) {
		closing[wi] = usage.ClosedWindow{Counts: no.usageBook.Total(wi)}
	}
	ld.ledger.Prune(no.usageBook.WindowAt(now) - ledgerWindows)
	ld.mu.Unlock()
	no.mu.Unlock()
	if len(closing) > 0 && !no.appendLease(ctx, closing) {
		return
	}
	ld.mu.Lock()
	unsent := ld.ledger.Unsent(ld.unsure)
	ld.mu.Unlock()
	for _, wi := range unsent {
		no.sendUsage(ctx, wi)
	}
}

// ledgerWindows is the number of closed usage windows kept in the ledger.
const ledgerWindows = 12

func (no *Node) sendUsage(ctx context.Context, wi usage.Window) {
	ld := &no.leader
	fence, held := ld.lease.Active(ld.now())
	if !held {
		return
	}
	ld.mu.Lock()
	cl := ld.ledger[wi]
	ld.mu.Unlock()
	err := no.platform.Cloud.Usage(ctx, fence, int64(wi), cl.Counts)
	no.log.Info("usage_reported", zap.Int64("window", int64(wi)), zap.Int64("fence", int64(fence)),
		zap.String("counts", cl.Counts.String()), zap.Bool("accepted", err == nil), zap.Error(err))
	if err != nil {
		return
	}
	cl.Sent = true
	ld.mu.Lock()
	ld.ledger[wi] = cl
	ld.mu.Unlock()
}
