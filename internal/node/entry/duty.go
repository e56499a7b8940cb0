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
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/lease"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/usage"
)

const (
	// dutyStream holds the records of the lease, one key only, so that the newest is
	// kept however long nobody writes.
	dutyStream stream.Name = "keyed.duty"
	dutyKey    string      = "holder"
	// dutyEvery is the time between two looks at the duties.
	dutyEvery = 500 * time.Millisecond
	// renewEvery is the time between two records of the holder.
	renewEvery = time.Second
	// heardTime is how long a peer's word that it holds the duty saves a look at the store.
	heardTime = 1200 * time.Millisecond
	// leaseMargin covers the time that a record takes to be read.
	leaseMargin = 700 * time.Millisecond
	// usageSettle is the time after the end of a window in which all nodes' counts
	// arrive.
	usageSettle = 2500 * time.Millisecond
	// startWait is how long a new node waits for its peers' counts before it closes
	// windows that it did not see.
	startWait = 1500 * time.Millisecond
)

// dutyRecord is what the holder writes: it keeps the duty and makes last what a successor
// has to know.
type dutyRecord struct {
	lease.Holder
	Began  map[string]usage.Windows `json:"began,omitempty"`
	Ledger usage.Ledger             `json:"ledger,omitempty"`
	// Demand is the demand for each service that orders were based on.
	Demand map[units.TargetID]units.TokensPerSecond `json:"demand,omitempty"`
}

type duty struct {
	lease *lease.Lease
	// mu guards the ledger, which status pages read.
	mu      sync.Mutex
	ledger  usage.Ledger
	loaded  bool
	held    bool
	renewed time.Duration
	// heard is when a peer, the holder, last said that it holds the duty; the node's lock
	// guards them.
	heard  time.Time
	holder units.VMID
	orders orders
}

// bootTime is a clock that goes on while the VM is suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // No such clock: the time of day is nearest.
	}
	return time.Duration(ts.Nano())
}

// serveDuties follows the lease, and does what is due while this node holds it.
func (no *Node) serveDuties(ctx context.Context) {
	for pause.For(ctx, dutyEvery) {
		if no.pf.OrdersServers {
			no.followDemand()
		}
		if no.leaving.Load() {
			no.holding.Store(false)
			continue
		}
		if no.isDutySafe() {
			continue
		}
		if _, held := no.duty.lease.Active(bootTime()); !held {
			if stale, err := no.read(ctx, "duty", no.followDuty); stale || err != nil {
				continue
			}
		}
		if no.steady() < startWait {
			continue
		}
		no.renewDuty(ctx)
		if no.pf.ReportsUsage {
			no.reportUsage(ctx)
		}
		if no.pf.OrdersServers {
			no.orderServers(ctx)
		}
	}
}

// isDutySafe tells whether a peer has lately said that it holds the duty, so that the
// store need not be asked.
func (no *Node) isDutySafe() bool {
	du := &no.duty
	no.mu.Lock()
	defer no.mu.Unlock()
	return du.loaded && !du.lease.IsHolder() && time.Since(du.heard) < heardTime
}

// followDuty reads the records of the lease.
func (no *Node) followDuty(ctx context.Context) error {
	du := &no.duty
	if !du.loaded {
		items, end, err := no.pf.Store.Newest(ctx, dutyStream)
		if err != nil {
			return err
		}
		for _, it := range items {
			no.takeDuty(it)
		}
		du.lease.SkipTo(bootTime(), end)
		du.loaded = true
		return nil
	}
	page, err := no.pf.Store.Read(ctx, dutyStream, du.lease.Next(), 0)
	if fault.Is(err, stream.KindExpired) {
		du.loaded = false
		return nil
	}
	if err != nil {
		return err
	}
	for idx, rec := range page.Records {
		if it, ok := no.pf.Split(page.From+units.Offset(idx), rec); ok {
			no.takeDuty(it)
		}
	}
	return nil
}

func (no *Node) takeDuty(it stream.Keyed) {
	var rec dutyRecord
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		no.log.Warn("duty_record_unreadable", zap.Int64("offset", int64(it.Offset)), zap.Error(err))
		return
	}
	no.duty.lease.Read(bootTime(), it.Offset, rec.Holder)
	no.duty.orders.take(rec.Demand)
	no.duty.mu.Lock()
	no.duty.ledger.Merge(rec.Ledger)
	no.duty.mu.Unlock()
	no.mu.Lock()
	defer no.mu.Unlock()
	for so, ws := range rec.Began {
		no.book.Merge(so, ws)
	}
}

// renewDuty takes or keeps the duty if it is this node's turn.
func (no *Node) renewDuty(ctx context.Context) {
	du := &no.duty
	now := bootTime()
	if !du.lease.ShouldAppend(now) || (du.lease.IsHolder() && now-du.renewed < renewEvery) {
		no.noteDuty(now)
		return
	}
	no.writeDuty(ctx, nil)
	no.noteDuty(bootTime())
}

// writeDuty appends a record with more closed windows, if no one else has appended.
func (no *Node) writeDuty(ctx context.Context, closing usage.Ledger) bool {
	du := &no.duty
	rec := dutyRecord{Holder: lease.Holder{Node: no.set.VM.ID, Incarnation: no.life}, Ledger: usage.Ledger{}, Demand: du.orders.rates()}
	no.mu.Lock()
	rec.Began = no.book.AllCounts()
	no.mu.Unlock()
	du.mu.Lock()
	rec.Ledger.Merge(du.ledger)
	du.mu.Unlock()
	rec.Ledger.Merge(closing)
	raw, err := json.Marshal(&rec)
	if err != nil {
		no.log.Error("duty_record_not_encoded", zap.Error(err))
		return false
	}
	sent := bootTime()
	off, err := no.pf.Store.Append(ctx, dutyStream, du.lease.Next(), no.pf.Join(dutyKey, raw))
	if err != nil {
		no.log.Info("duty_append_failed", zap.Int64("offset", int64(du.lease.Next())), zap.Error(err))
		return false
	}
	du.lease.Appended(sent, bootTime(), off)
	du.renewed = sent
	du.mu.Lock()
	du.ledger.Merge(closing)
	du.mu.Unlock()
	return true
}

// noteDuty logs when this node takes or loses the duty.
func (no *Node) noteDuty(now time.Duration) {
	fence, held := no.duty.lease.Active(now)
	if held == no.duty.held {
		return
	}
	no.duty.held = held
	no.holding.Store(held)
	event := "duty_lost"
	if held {
		event = "duty_taken"
	}
	no.log.Info(event, zap.Int64("fence", int64(fence)))
}

// reportUsage closes the windows that are due and reports those that were not accepted.
func (no *Node) reportUsage(ctx context.Context) {
	du := &no.duty
	if _, held := du.lease.Active(bootTime()); !held {
		return
	}
	no.mu.Lock()
	now := no.clock.Now(no.steady())
	closing := usage.Ledger{}
	du.mu.Lock()
	for _, wi := range du.ledger.Due(no.book, now, usageSettle, no.set.Timing.UsageLate()) {
		closing[wi] = usage.ClosedWindow{Counts: no.book.Total(wi)}
	}
	du.ledger.Prune(no.book.WindowAt(now) - ledgerWindows)
	du.mu.Unlock()
	no.mu.Unlock()
	if len(closing) > 0 && !no.writeDuty(ctx, closing) {
		return
	}
	du.mu.Lock()
	unsent := du.ledger.Unsent()
	du.mu.Unlock()
	for _, wi := range unsent {
		no.sendUsage(ctx, wi)
	}
}

// ledgerWindows is the number of closed windows that are remembered.
const ledgerWindows = 12

func (no *Node) sendUsage(ctx context.Context, wi usage.Window) {
	du := &no.duty
	fence, held := du.lease.Active(bootTime())
	if !held {
		return
	}
	du.mu.Lock()
	cl := du.ledger[wi]
	du.mu.Unlock()
	err := no.pf.Cloud.Usage(ctx, fence, int64(wi), cl.Counts)
	no.log.Info("usage_reported", zap.Int64("window", int64(wi)), zap.Int64("fence", int64(fence)),
		zap.String("counts", cl.Counts.String()), zap.Bool("accepted", err == nil), zap.Error(err))
	if err != nil {
		return
	}
	cl.Sent = true
	du.mu.Lock()
	du.ledger[wi] = cl
	du.mu.Unlock()
}
