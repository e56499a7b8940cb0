package entry

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"lycheepick/internal/edge/door"
	"lycheepick/internal/edge/pause"
	"lycheepick/internal/node/config"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
)

const (
	// reachCallTimeout is the time-out of exchanges, and reachStoreTimeout that of calls to the store until the answer
	// begins, without the time that a read may wait, as in packages pulse and platform.
	reachCallTimeout  = time.Second
	reachStoreTimeout = 1500 * time.Millisecond
	// reachLatency is one way between two nodes or to the store.
	reachLatency = 2 * time.Millisecond
	// reachReportBytes is the size of a report in a loaded fleet.
	reachReportBytes = 8 << 10
	// reachLink is the bytes per second of a node's link, 10 Mbit/s.
	reachLink = 10e6 / 8
)

const (
	reachOperators stream.Name = "operators"
	reachServers   stream.Name = "servers"
)

// reachStore is a store with an operators' and a servers' stream.
type reachStore struct {
	mu      sync.Mutex
	change  chan struct{}
	streams map[stream.Name][]stream.Keyed
	// acked is when each version of the configuration was acknowledged.
	acked map[units.Version]time.Time
	// downTo is the end of a time in which the store answers nobody.
	downTo time.Time
}

func (st *reachStore) isDown() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return time.Now().Before(st.downTo)
}

func (st *reachStore) put(na stream.Name, key string, value []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.streams[na] = append(st.streams[na], stream.Keyed{Offset: units.Offset(len(st.streams[na])), Key: key, Value: value})
	close(st.change)
	st.change = make(chan struct{})
}

// appendLease appends records of the lease if the stream ends at an offset.
func (st *reachStore) appendLease(at units.Offset, records [][]byte) (units.Offset, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	end := units.Offset(len(st.streams[leaseStream]))
	if time.Now().Before(st.downTo) {
		return 0, fault.New("entry.appendLease", stream.KindUnavailable, "down")
	}
	if at != end {
		return 0, fault.New("entry.appendLease", stream.KindConflict, "the stream ends at %d", end)
	}
	for idx, rec := range records {
		it, _ := splitRecord(end+units.Offset(idx), rec)
		st.streams[leaseStream] = append(st.streams[leaseStream], it)
	}
	return end, nil
}

// putConfig writes a version of the configuration with about so many bytes once it is packed.
func (st *reachStore) putConfig(version units.Version, size int) {
	raw := make([]byte, 8+size)
	_, _ = rand.NewChaCha8([32]byte{byte(version)}).Read(raw) // It doesn't get smaller by packing.
	binary.BigEndian.PutUint64(raw, uint64(version))
	st.put(reachOperators, "config", raw)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.acked[version] = time.Now()
}

// reachNode is a node of a fleet that runs in memory, with its own path to the store.
type reachNode struct {
	id       units.VMID
	fl       *reachFleet
	up, down *link

	mu   sync.Mutex // Guards all but configReads.
	proc *Node
	stop context.CancelFunc
	dead bool
	// since is when the node started or was last disturbed, and startedAt when it started within
	// the case, zero before.
	since     time.Time
	startedAt time.Time
	frozenTo  time.Time
	// lostBefore drops the answers to reads of a stream that began before that time.
	lostBefore map[stream.Name]time.Time
	// silentTo is the end of a time in which the store doesn't answer this node.
	silentTo time.Time
	// lateBy delays the answers of the store to this node.
	lateBy time.Duration
	// deafTo is the end of a time in which the node's listener for peers takes no connection.
	deafTo time.Time
	// busy is the number of its next calls to the store that are answered as unavailable.
	busy int
	// old is set for a node of a build that reports no age of its configuration.
	old bool
	// handledBy is the newest version by which the node's process has handled a request, regressed
	// an older one that came later.
	handledBy, regressed units.Version
	// appliedAt is when each version came in force.
	appliedAt map[units.Version]time.Time
	// configReads counts the reads of the operators' stream.
	configReads atomic.Int64
}

// node returns the node's process.
func (no *reachNode) node() *Node {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.proc
}

func (no *reachNode) isDead() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.dead
}

// canBeCalled reports whether peers reach the node's process.
func (no *reachNode) canBeCalled() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	now := time.Now()
	return !no.dead && !now.Before(no.frozenTo) && !now.Before(no.deafTo)
}

// isRefused reports whether the store is too busy for a call, and counts it.
func (no *reachNode) isRefused() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.busy == 0 {
		return false
	}
	no.busy--
	return true
}

func (no *reachNode) thawsAt() time.Time {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.frozenTo
}

// isSilenced reports whether the answer to a read that began at a time never comes.
func (no *reachNode) isSilenced(na stream.Name, began time.Time) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	now, lost := time.Now(), no.lostBefore[na]
	return now.Before(no.silentTo) || began.Before(lost) && !now.Before(lost)
}

// awaitAnswer waits while an answer of the store is on its way.
func (no *reachNode) awaitAnswer(ctx context.Context) {
	no.mu.Lock()
	late := no.lateBy
	no.mu.Unlock()
	pause.For(ctx, late)
}

// hold waits while the node is frozen.
func (no *reachNode) hold(ctx context.Context) {
	for time.Now().Before(no.thawsAt()) && pause.For(ctx, time.Until(no.thawsAt())) {
	}
}

// Append implements stream.Store. Only records of the lease are kept.
func (no *reachNode) Append(ctx context.Context, na stream.Name, at units.Offset, records ...[]byte) (units.Offset, error) {
	if na != leaseStream {
		return 0, nil
	}
	return reachCall(ctx, no, na, reachStoreTimeout, func(context.Context) (units.Offset, int, error) {
		end, err := no.fl.store.appendLease(at, records)
		return end, 0, err
	})
}

// Newest implements stream.Store.
func (no *reachNode) Newest(ctx context.Context, na stream.Name, within time.Duration) (stream.Listing, error) {
	return reachCall(ctx, no, na, cmp.Or(within, reachStoreTimeout), func(context.Context) (stream.Listing, int, error) {
		if na == nodesStream {
			return stream.Listing{Items: no.fl.addresses}, reachReportBytes, nil
		}
		no.fl.store.mu.Lock()
		defer no.fl.store.mu.Unlock()
		list := no.fl.store.streams[na]
		latest := map[string]stream.Keyed{}
		for _, it := range list {
			latest[it.Key] = it
		}
		out, size := stream.Listing{End: units.Offset(len(list))}, 0
		for _, it := range latest {
			out.Items, size = append(out.Items, it), size+len(it.Value)
		}
		return out, size, nil
	})
}

// reachPage is the most bytes of an answer to a read.
const reachPage = 512 << 10

// Read implements stream.Store.
func (no *reachNode) Read(ctx context.Context, na stream.Name, from units.Offset, wait time.Duration) (stream.Page, error) {
	return reachCall(ctx, no, na, reachStoreTimeout+wait, func(ctx context.Context) (stream.Page, int, error) {
		st, until := no.fl.store, time.After(wait)
		for {
			st.mu.Lock()
			list, change := st.streams[na], st.change
			st.mu.Unlock()
			out, size := stream.Page{From: from, End: units.Offset(len(list))}, 0
			for _, it := range list[min(int(from), len(list)):] {
				if size += len(it.Value); size > reachPage && len(out.Records) > 0 {
					break
				}
				out.Records = append(out.Records, append([]byte(it.Key+" "), it.Value...))
			}
			if len(out.Records) > 0 || wait == 0 {
				return out, size, nil
			}
			select {
			case <-change:
			case <-until:
				wait = 0
			case <-ctx.Done():
				return stream.Page{}, 0, ctx.Err()
			}
		}
	})
}

// storeExpansion is by how much a configuration is larger in the store than packed.
const storeExpansion = 5

// reachCall makes one call to the store over the node's link.
func reachCall[A any](ctx context.Context, no *reachNode, na stream.Name, within time.Duration, call func(context.Context) (A, int, error)) (out A, err error) {
	const op = "entry.reachCall"
	begins, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	began := time.Now()
	no.hold(begins)
	time.Sleep(reachLatency)
	out, size, err := call(begins)
	if na == reachOperators {
		size *= storeExpansion
		no.configReads.Add(1)
	}
	no.awaitAnswer(begins)
	if no.fl.store.isDown() || no.isRefused() {
		return out, fault.New(op, stream.KindUnavailable, "down")
	}
	if no.isSilenced(na, began) {
		<-begins.Done()
		return out, fault.New(op, stream.KindUnanswered, "silent")
	}
	no.down.wait(1) // What is on its way before it.
	if begins.Err() != nil {
		return out, fault.Wrap(op, stream.KindUnanswered, begins.Err())
	}
	no.down.wait(size)
	no.hold(ctx)
	if ctx.Err() != nil {
		return out, fault.Wrap(op, stream.KindUnanswered, ctx.Err())
	}
	return out, err
}

// Exchange implements peerCaller. The messages are copied as on the wire.
func (no *reachNode) Exchange(ctx context.Context, addr string, rq *pulse.Request) (*pulse.Reply, error) {
	const op = "entry.Exchange"
	ctx, cancel := context.WithTimeout(ctx, reachCallTimeout)
	defer cancel()
	no.hold(ctx)
	other := no.fl.byAddress[addr]
	if rm := no.fl.meter; rm != nil {
		rm.admit(&rq.Report)
	}
	asked, askedBytes, err := reachCopy[pulse.Request](rq)
	if err != nil {
		return nil, err
	}
	no.up.wait(reachReportBytes)
	time.Sleep(reachLatency)
	if !other.canBeCalled() {
		<-ctx.Done()
		return nil, fault.Wrap(op, pulse.KindFailed, ctx.Err())
	}
	no.trim(&asked.Report)
	answer := other.node().Exchange(asked)
	other.trim(&answer.Report)
	if rm := no.fl.meter; rm != nil {
		rm.admit(&answer.Report)
	}
	out, answerBytes, err := reachCopy[pulse.Reply](answer)
	if rm := no.fl.meter; rm != nil {
		rm.count(no.id, other.id, askedBytes)
		rm.count(other.id, no.id, answerBytes)
	}
	size := reachReportBytes + (len(out.PackedConfig)+len(out.RawConfig))*4/3
	other.up.wait(size)
	no.down.wait(size)
	no.hold(ctx)
	if ctx.Err() != nil {
		return nil, fault.Wrap(op, pulse.KindFailed, ctx.Err())
	}
	return out, err
}

// trim removes from a report what an older build doesn't send.
func (no *reachNode) trim(re *pulse.Report) {
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.old {
		re.ConfigAge = 0
	}
}

// AskPermits implements peerCaller.
func (no *reachNode) AskPermits(context.Context, string, *permit.Request) (*pulse.PermitReply, error) {
	return &pulse.PermitReply{}, nil
}

// Origins implements peerCaller.
func (no *reachNode) Origins(context.Context, string, *pulse.OriginsRequest) (*pulse.OriginsReply, error) {
	return &pulse.OriginsReply{}, nil
}

// Forward implements peerCaller.
func (no *reachNode) Forward(context.Context, string) (*pulse.FrameStream, error) {
	return nil, fault.New("entry.Forward", pulse.KindUnreachable, "the model forwards no requests")
}

// Close implements peerCaller.
func (no *reachNode) Close() {}

// reachCopy returns a copy of a message, and its size in bytes as nodes send it.
func reachCopy[M any](msg any) (out *M, size int, err error) {
	raw, err := cbor.Marshal(msg)
	if err != nil {
		return nil, 0, err
	}
	out = new(M)
	return out, len(raw), cbor.Unmarshal(raw, out)
}

// reachFleet is a fleet of nodes whose loops run as in a process, on a network in memory.
type reachFleet struct {
	store     *reachStore
	nodes     []*reachNode
	byAddress map[string]*reachNode
	addresses []stream.Keyed
	rnd       *rand.Rand
	decode    time.Duration
	servers   []*reachServer
	// prepare changes a node before it starts, and returns further loops of it. It may be nil.
	prepare func(*reachNode, *Node) []func(context.Context)
	// meter counts the bytes of exchanges. It may be nil.
	meter *reportMeter
	wg    conc.WaitGroup
}

func newReachFleet(ctx context.Context, count int, seed uint64) *reachFleet {
	fl := newReachModel(count, seed)
	for num := range count {
		fl.start(ctx, num)
	}
	fl.startServers(ctx)
	return fl
}

// newReachModel returns a fleet of which nothing has started.
func newReachModel(count int, seed uint64) *reachFleet {
	fl := &reachFleet{
		store:     &reachStore{change: make(chan struct{}), streams: map[stream.Name][]stream.Keyed{}, acked: map[units.Version]time.Time{}},
		byAddress: map[string]*reachNode{}, rnd: rand.New(&lockedSource{src: rand.NewPCG(seed, 0)}), decode: 60 * time.Millisecond,
	}
	fl.store.putConfig(1, 1<<10)
	for num := range count {
		id := fmt.Sprintf("node-%d", num)
		own, _ := json.Marshal(pulse.Peer{Node: units.VMID(id), Address: reachAddress(num)})
		fl.addresses = append(fl.addresses, stream.Keyed{Key: id, Value: own})
	}
	for num := range count {
		no := &reachNode{id: units.VMID(fmt.Sprintf("node-%d", num)), fl: fl, up: &link{bytesPerSecond: reachLink}, down: &link{bytesPerSecond: reachLink}}
		fl.nodes = append(fl.nodes, no)
		fl.byAddress[reachAddress(num)] = no
	}
	return fl
}

func reachAddress(num int) string { return fmt.Sprintf("node-%d:1", num) }

// start gives a node a new process.
func (fl *reachFleet) start(ctx context.Context, num int) {
	no := fl.nodes[num]
	nd := New(&config.EntrySettings{
		VM: config.EntryVM{ID: no.id, Zone: "z1"}, Listen: config.EntryListen{Peers: reachAddress(num)},
		Timing: reachTiming(len(fl.nodes)),
	}, Platform{
		Store: no, OperatorStream: reachOperators, ConfigKey: "config", ServerStream: reachServers,
		DecodeRecord: splitRecord, EncodeRecord: func(key string, value []byte) []byte { return append([]byte(key+" "), value...) },
		DecodeServer: decodeStatus, DecodeConfig: no.decodeConfig,
		Handler: func(View) (door.Handler, ForwardHandler) { return nil, nil },
	}, reachLog(no.id))
	nd.peerClient = no
	loops := []func(context.Context){nd.followConfig, nd.followServers, nd.exchangeLoop, nd.fetchConfigs, nd.tick}
	if fl.prepare != nil {
		loops = append(loops, fl.prepare(no, nd)...)
	}
	ctx, stop := context.WithCancel(ctx)
	no.mu.Lock()
	no.lostBefore, no.appliedAt, no.since, no.dead = map[stream.Name]time.Time{}, map[units.Version]time.Time{}, time.Now(), false
	no.startedAt, no.handledBy = no.since, 0
	no.proc, no.stop = nd, stop
	no.mu.Unlock()
	for _, loop := range loops {
		delay := time.Duration(fl.rnd.IntN(300)) * time.Millisecond
		fl.wg.Go(func() {
			pause.For(ctx, delay)
			loop(ctx)
		})
	}
}

// decodeConfig decodes a configuration, which takes as long as on a small share of a processor.
func (no *reachNode) decodeConfig(raw []byte) (*routes.Config, error) {
	if len(raw) > 4<<10 {
		time.Sleep(no.fl.decode)
	}
	return &routes.Config{Version: units.Version(binary.BigEndian.Uint64(raw))}, nil
}

// watchVersions lets each node handle a request every 10 ms until ctx ends, and records by which
// version.
func (fl *reachFleet) watchVersions(ctx context.Context) {
	for pause.For(ctx, 10*time.Millisecond) {
		for _, no := range fl.nodes {
			have := no.node().config.Load().version()
			no.mu.Lock()
			for ver := have; ver > 0 && no.appliedAt[ver].IsZero(); ver-- {
				no.appliedAt[ver] = time.Now()
			}
			if have < no.handledBy {
				no.regressed = have
			}
			no.handledBy = max(no.handledBy, have)
			no.mu.Unlock()
		}
	}
}

// reachLog returns the log of a node: none, unless REACH_LOG names the node, or is "all".
func reachLog(id units.VMID) *zap.Logger {
	if want := os.Getenv("REACH_LOG"); want != string(id) && want != "all" {
		return zap.NewNop()
	}
	return zap.Must(zap.NewDevelopment()).Named(string(id))
}
