package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/edge/door"
	"lycheepick/internal/edge/pause"
	"lycheepick/internal/node/config"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/clock"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

const (
	dutyWindow = 5 * time.Second
	dutyLease  = 3 * time.Second
	// dutyCopyPeriod is the interval between two copies of the store.
	dutyCopyPeriod = 200 * time.Millisecond
	// dutyMaxSkew bounds the error of a VM's clock.
	dutyMaxSkew = 800 * time.Millisecond
)

// dutyCopy is a copy of the lease's stream.
type dutyCopy struct {
	at      time.Time
	records [][]byte
}

// dutyStore holds the lease's stream and comes back from copies.
type dutyStore struct {
	mu      sync.Mutex
	era     units.Era
	records [][]byte
	copies  []dutyCopy
	downTo  time.Time
}

func (st *dutyStore) copyRecords() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.copies = append(st.copies, dutyCopy{time.Now(), slices.Clone(st.records)})
}

// restore brings the store back from the latest copy that is at least so old.
func (st *dutyStore) restore(age time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.era++
	for idx := len(st.copies) - 1; idx >= 0; idx-- {
		if time.Since(st.copies[idx].at) >= age || idx == 0 {
			st.records = slices.Clone(st.copies[idx].records)
			break
		}
	}
}

func (st *dutyStore) setDown(du time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.downTo = time.Now().Add(du)
}

// dutyReport is a usage report that the platform has accepted.
type dutyReport struct {
	window int64
	counts string
	fence  units.Offset
	node   units.VMID
	at     time.Time
}

// dutyFleet is a fleet of nodes that run the duties in memory, on one store.
type dutyFleet struct {
	store   *dutyStore
	nodes   []*dutyNode
	mu      sync.Mutex // Guards the fields below.
	rnd     *rand.Rand
	reports []dutyReport
	events  []string
}

func (fl *dutyFleet) intN(num int) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.rnd.IntN(num)
}

// upTo returns a random time up to most.
func (fl *dutyFleet) upTo(most time.Duration) time.Duration {
	return time.Duration(fl.intN(int(most/time.Millisecond)+1)) * time.Millisecond
}

func (fl *dutyFleet) note(format string, args ...any) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.events = append(fl.events, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

// dutyNode is a VM of the fleet. Its processes come and go.
type dutyNode struct {
	fl   *dutyFleet
	id   units.VMID
	skew time.Duration

	mu       sync.Mutex // Guards the fields below.
	proc     *dutyProcess
	frozenTo time.Time
	cutTo    time.Time
	// refusedTo is the time until which the store refuses the node.
	refusedTo time.Time
}

func (no *dutyNode) process() *dutyProcess {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.proc
}

// isCalm reports whether the node runs and reaches the others.
func (no *dutyNode) isCalm() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	return no.proc != nil && !now.Before(no.frozenTo) && !now.Before(no.cutTo)
}

// hold waits while the VM is frozen.
func (no *dutyNode) hold() {
	for {
		no.mu.Lock()
		left := time.Until(no.frozenTo)
		no.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// start starts a process on the VM if none runs.
func (no *dutyNode) start(wg *sync.WaitGroup) {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.proc != nil {
		return
	}
	pr := &dutyProcess{VM: no, eras: map[stream.Name]units.Era{}}
	ctx, stop := context.WithCancel(context.Background())
	pr.ctx, pr.stop = ctx, stop
	timing := config.EntryTiming{GraceS: 8, LeaseMS: dutyLease.Seconds() * 1000, UsageWindowS: dutyWindow.Seconds(), UsageLateS: 10}
	pr.Node = New(&config.EntrySettings{VM: config.EntryVM{ID: no.id, Zone: "z1"}, Listen: config.EntryListen{Peers: string(no.id) + ":1"}, Timing: timing}, Platform{
		Store: pr, Cloud: pr, DecodeRecord: splitRecord, ReportsUsage: true,
		EncodeRecord: func(key string, value []byte) []byte { return append([]byte(key+" "), value...) },
		Handler:      func(View) (door.Handler, ForwardHandler) { return nil, nil },
	}, zap.NewNop())
	pr.clock = clock.New()
	pr.clock.SetOwn(pr.uptime(), time.Now().Add(no.skew))
	pr.leader.now = func() time.Duration {
		no.hold()
		return time.Duration(time.Now().UnixNano())
	}
	no.proc = pr
	no.fl.note("%s starts", no.id)
	wg.Go(func() { pr.leaderLoop(ctx) })
}

// refuse makes the store refuse the node for a while, which still reaches its peers.
func (no *dutyNode) refuse(du time.Duration) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.fl.note("the store refuses %s", no.id)
	no.refusedTo = time.Now().Add(du)
}

// kill ends the process. Its calls that are under way may still take effect.
func (no *dutyNode) kill() {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.proc != nil {
		no.fl.note("%s is killed", no.id)
		no.proc.stop()
		no.proc = nil
	}
}

// dutyProcess is a process of a node, with its view of the store's era.
type dutyProcess struct {
	*Node
	VM   *dutyNode
	ctx  context.Context
	stop context.CancelFunc

	eraMu sync.Mutex // Guards the fields below.
	era   units.Era
	eras  map[stream.Name]units.Era
}

// call makes one call to the platform, which may be slow, fail, or take effect without an answer.
func (pr *dutyProcess) call(do func() error) error {
	const op = "entry.dutyProcess"
	fl := pr.VM.fl
	pr.VM.hold()
	if pr.ctx.Err() != nil {
		return fault.New(op, stream.KindUnavailable, "the process has ended")
	}
	delay := fl.upTo(20 * time.Millisecond)
	if fl.intN(50) == 0 {
		delay = fl.upTo(1400 * time.Millisecond)
	}
	time.Sleep(delay)
	pr.VM.mu.Lock()
	cut := time.Now().Before(pr.VM.cutTo)
	pr.VM.mu.Unlock()
	if cut {
		time.Sleep(time.Second)
		return fault.New(op, stream.KindUnanswered, "no answer")
	}
	err := do()
	time.Sleep(fl.upTo(20 * time.Millisecond))
	pr.VM.hold()
	if fl.intN(40) == 0 {
		return fault.New(op, stream.KindUnanswered, "the answer is lost")
	}
	return err
}

// storeCall makes one call to the store. do returns the error of the call; the era of its answer becomes known.
func (pr *dutyProcess) storeCall(do func(st *dutyStore) error) error {
	return pr.call(func() error {
		st := pr.VM.fl.store
		st.mu.Lock()
		defer st.mu.Unlock()
		pr.VM.mu.Lock()
		refused := time.Now().Before(pr.VM.refusedTo)
		pr.VM.mu.Unlock()
		if refused || time.Now().Before(st.downTo) {
			return fault.New("entry.storeCall", stream.KindUnavailable, "the store is down")
		}
		pr.eraMu.Lock()
		pr.era = max(pr.era, st.era)
		pr.eraMu.Unlock()
		return do(st)
	})
}

// checkEra fails unless the stream was listed in an era, as platform.Store does.
func (pr *dutyProcess) checkEra(na stream.Name, era units.Era) error {
	pr.eraMu.Lock()
	defer pr.eraMu.Unlock()
	if listed, ok := pr.eras[na]; ok && listed != era {
		return fault.New("entry.checkEra", stream.KindExpired, "listed in era %d, now %d", listed, era)
	}
	return nil
}

// Append implements stream.Store.
func (pr *dutyProcess) Append(_ context.Context, na stream.Name, at units.Offset, records ...[]byte) (off units.Offset, err error) {
	pr.eraMu.Lock()
	known := pr.era
	pr.eraMu.Unlock()
	if err := pr.checkEra(na, known); err != nil {
		return 0, err
	}
	err = pr.storeCall(func(st *dutyStore) error {
		off = units.Offset(len(st.records))
		if at != off {
			return fault.New("entry.Append", stream.KindConflict, "the stream ends at %d", off)
		}
		st.records = append(st.records, records...)
		return pr.checkEra(na, st.era)
	})
	return off, err
}

// Newest implements stream.Store.
func (pr *dutyProcess) Newest(_ context.Context, na stream.Name, _ time.Duration) (out stream.Listing, err error) {
	err = pr.storeCall(func(st *dutyStore) error {
		out.End, out.Era = units.Offset(len(st.records)), st.era
		if len(st.records) > 0 {
			it, _ := splitRecord(out.End-1, st.records[out.End-1])
			out.Items = append(out.Items, it)
		}
		return nil
	})
	if err == nil {
		pr.eraMu.Lock()
		pr.eras[na] = out.Era
		pr.eraMu.Unlock()
	}
	return out, err
}

// Read implements stream.Store.
func (pr *dutyProcess) Read(_ context.Context, na stream.Name, from units.Offset, _ time.Duration) (out stream.Page, err error) {
	err = pr.storeCall(func(st *dutyStore) error {
		if err := pr.checkEra(na, st.era); err != nil {
			return err
		}
		out = stream.Page{From: from, End: units.Offset(len(st.records))}
		if from > out.End {
			return fault.New("entry.Read", stream.KindExpired, "the stream ends at %d", out.End)
		}
		out.Records = slices.Clone(st.records[from:])
		return nil
	})
	return out, err
}

// Usage implements Cloud.
func (pr *dutyProcess) Usage(_ context.Context, fence units.Offset, window int64, counts map[units.CustomerID]int64) error {
	text := fmt.Sprint(counts)
	return pr.call(func() error {
		fl := pr.VM.fl
		fl.note("%s reports window %d: %s, token %d.%d", pr.VM.id, window, text, fence>>32, fence&(1<<32-1))
		fl.mu.Lock()
		defer fl.mu.Unlock()
		fl.reports = append(fl.reports, dutyReport{window, text, fence, pr.VM.id, time.Now()})
		return nil
	})
}

// Scale implements Cloud.
func (pr *dutyProcess) Scale(context.Context, units.Offset, units.TargetID, units.ZoneID, bool, int) error {
	return nil
}

// run lets the fleet serve requests and exchange reports until ctx ends.
func (fl *dutyFleet) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		for pause.For(ctx, 50*time.Millisecond) {
			if no := fl.nodes[fl.intN(len(fl.nodes))]; no.isCalm() {
				if pr := no.process(); pr != nil {
					pr.RecordStart(units.CustomerID(fmt.Sprint("c-", fl.intN(2))), time.Now())
				}
			}
		}
	})
	wg.Go(func() {
		for pause.For(ctx, dutyCopyPeriod) {
			fl.store.copyRecords()
		}
	})
	wg.Go(func() {
		for pause.For(ctx, 300*time.Millisecond) {
			fl.exchange()
		}
	})
}

// exchange lets each node report to all others, and some see the era of the store.
func (fl *dutyFleet) exchange() {
	for _, from := range fl.nodes {
		pr := from.process()
		if pr == nil || !from.isCalm() {
			continue
		}
		rep := pr.report(false)
		rep.Wall = time.Now().Add(from.skew).UnixNano()
		for _, to := range fl.nodes {
			if other := to.process(); to != from && other != nil && to.isCalm() {
				other.applyReport(&rep, time.Now())
			}
		}
		fl.store.mu.Lock()
		era, down := fl.store.era, time.Now().Before(fl.store.downTo)
		fl.store.mu.Unlock()
		if !down && fl.intN(2) == 0 {
			pr.mu.Lock()
			pr.enterEra(time.Now(), era, "store")
			pr.mu.Unlock()
		}
	}
}

// newDutyFleet starts a fleet. wg has its processes.
func newDutyFleet(seed uint64, count int, wg *sync.WaitGroup) *dutyFleet {
	fl := &dutyFleet{store: &dutyStore{}, rnd: rand.New(rand.NewPCG(seed, 0))}
	for num := range count {
		no := &dutyNode{fl: fl, id: units.VMID(fmt.Sprint("node-", num)), skew: fl.upTo(2*dutyMaxSkew) - dutyMaxSkew}
		fl.nodes = append(fl.nodes, no)
		no.start(wg)
	}
	return fl
}

// stop kills all nodes.
func (fl *dutyFleet) stop() {
	for _, no := range fl.nodes {
		no.kill()
	}
}

// holder returns the node that reported last, nil if none has.
func (fl *dutyFleet) holder() *dutyNode {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if len(fl.reports) == 0 {
		return nil
	}
	last := fl.reports[len(fl.reports)-1].node
	return fl.nodes[slices.IndexFunc(fl.nodes, func(no *dutyNode) bool { return no.id == last })]
}

// conflict describes two reports that break a rule of duties, "" if there are none: a window with
// two sets of counts, a fencing token that goes back, two holders with one token, or a holder that acts again within
// the lease of another.
func (fl *dutyFleet) conflict() string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	counts := map[int64]dutyReport{}
	holders := map[units.Offset]units.VMID{}
	lastBy := map[units.VMID]time.Time{}
	for idx, re := range fl.reports {
		if have, ok := counts[re.window]; ok && have.counts != re.counts {
			return fmt.Sprintf("window %d: %s by %s and %s by %s", re.window, have.counts, have.node, re.counts, re.node)
		}
		counts[re.window] = re
		if have, ok := holders[re.fence]; ok && have != re.node {
			return fmt.Sprintf("token %d of %s and of %s", re.fence, have, re.node)
		}
		holders[re.fence] = re.node
		if idx > 0 {
			prev := fl.reports[idx-1]
			if re.fence < prev.fence {
				return fmt.Sprintf("token %d of %s after %d of %s", re.fence, re.node, prev.fence, prev.node)
			}
			if last, ok := lastBy[re.node]; ok && prev.node != re.node && re.at.Sub(last) < dutyLease {
				return fmt.Sprintf("%s acts %s after it did, and %s in between", re.node, re.at.Sub(last), prev.node)
			}
		}
		lastBy[re.node] = re.at
	}
	return ""
}

// windows returns the number of windows that were reported.
func (fl *dutyFleet) windows() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	seen := map[int64]bool{}
	for _, re := range fl.reports {
		seen[re.window] = true
	}
	return len(seen)
}
