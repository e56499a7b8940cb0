package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/edge/door"
	"lycheepick/internal/node/config"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
	"lycheepick/internal/state/server"
)

// largestFleet is the largest number of nodes that is simulated.
var largestFleet = 360

const (
	// drainBound is the time in which a node in touch stops sending to a server that leaves, and
	// contactTime is how long a node and the store have to run undisturbed until it is in touch.
	drainBound  = 2 * time.Second
	contactTime = 3 * time.Second
	// fleetStep is the time between two steps of a simulated fleet.
	fleetStep = 100 * time.Millisecond
)

// fleetStore is a store with one stream of server records.
type fleetStore struct {
	stream.Store
	records []stream.Keyed
	// first is the offset from which on records can be read one by one.
	first units.Offset
	era   units.Era
	// restoredAt is when the store last came back from a copy.
	restoredAt time.Time
	// removedAt is when a server's removal was acknowledged, and startedAt when the first record
	// of its latest incarnation was.
	removedAt, startedAt map[string]time.Time
}

func (st *fleetStore) end() units.Offset { return units.Offset(len(st.records)) }

func (st *fleetStore) put(key, value string) {
	st.records = append(st.records, stream.Keyed{Offset: st.end(), Key: key, Value: []byte(value)})
	_, isLive := st.startedAt[key]
	if value == "" {
		st.removedAt[key] = time.Now()
		delete(st.startedAt, key)
	} else if !isLive {
		st.startedAt[key] = time.Now()
		delete(st.removedAt, key)
	}
}

// listing returns the newest record of each server that is not removed.
func (st *fleetStore) listing() map[string]stream.Keyed {
	out := map[string]stream.Keyed{}
	for _, it := range st.records {
		if out[it.Key] = it; len(it.Value) == 0 {
			delete(out, it.Key)
		}
	}
	return out
}

// restore brings the store back from a copy that holds count records.
func (st *fleetStore) restore(count units.Offset) {
	st.records, st.era, st.restoredAt = st.records[:count], st.era+1, time.Now()
}

// fleetNode is a node of a simulated fleet.
type fleetNode struct {
	*Node
	path  storePath
	round uint64
	// since is when the node started or was last back in touch.
	since time.Time
	// downTo, frozenTo and silentTo are the ends of the node's outages; the store is silent.
	downTo, frozenTo, silentTo time.Time
	// late are replies that arrive in the next step.
	late []func()
	// knownGone are the removed servers that the node had removed when the store came back
	// from a copy.
	knownGone map[string]bool
}

// storePath is the path of one node to the store.
type storePath struct {
	*fleetStore
	silentTo time.Time
	// listedIn is the era in which the node has listed the records.
	listedIn units.Era
}

func (st *storePath) check() error {
	if time.Now().Before(st.silentTo) {
		return fault.New("entry.storePath", stream.KindUnanswered, "silent")
	}
	return nil
}

func (st *storePath) Newest(context.Context, stream.Name, time.Duration) (stream.Listing, error) {
	out := stream.Listing{End: st.end(), Era: st.era}
	for _, it := range st.listing() {
		out.Items = append(out.Items, it)
	}
	st.listedIn = st.era
	return out, st.check()
}

func (st *storePath) Read(_ context.Context, _ stream.Name, from units.Offset, _ time.Duration) (stream.Page, error) {
	if err := st.check(); err != nil {
		return stream.Page{}, err
	}
	if from < st.first || from > st.end() || st.listedIn != st.era {
		return stream.Page{}, fault.New("entry.storePath", stream.KindExpired, "from %d, first %d, end %d", from, st.first, st.end())
	}
	out := stream.Page{From: from, End: st.end()}
	for _, it := range st.records[from:] {
		out.Records = append(out.Records, append([]byte(it.Key+" "), it.Value...))
	}
	return out, nil
}

// fleet is a simulated fleet of nodes that read one store and pass server records on.
type fleet struct {
	store *fleetStore
	nodes []*fleetNode
	rnd   *rand.Rand
	// lateShare is the share of the replies that arrive a step later.
	lateShare float64
	// copied is the end of the copy from which the store comes back.
	copied units.Offset
	bad    []string
}

// decodeStatus decodes the value of a server record, "START SEQUENCE STATE".
func decodeStatus(raw []byte) (server.Status, error) {
	st, state := server.Status{Service: "app", Zone: "z1", Slots: 8}, ""
	_, err := fmt.Sscanf(string(raw), "%d %d %s", &st.StartUnixMS, &st.Sequence, &state)
	st.Draining = state == "draining"
	return st, err
}

func newFleet(nodes int, seed uint64) *fleet {
	fl := &fleet{store: &fleetStore{removedAt: map[string]time.Time{}, startedAt: map[string]time.Time{}}, rnd: rand.New(rand.NewPCG(seed, 0))}
	for num := range 100 {
		fl.store.put(fmt.Sprintf("s-%d", num), "1 1 ready")
	}
	for num := range nodes {
		no := &fleetNode{path: storePath{fleetStore: fl.store}}
		fl.nodes = append(fl.nodes, no)
		fl.start(no, num)
	}
	fl.run(contactTime, func(time.Duration) {})
	return fl
}

// start gives a node a new process, which knows its peers and nothing else.
func (fl *fleet) start(no *fleetNode, num int) {
	id := units.VMID(fmt.Sprintf("node-%d", num))
	no.Node = New(&config.EntrySettings{
		VM: config.EntryVM{ID: id, Zone: "z1"}, Listen: config.EntryListen{Peers: string(id)},
	}, Platform{
		Store: &no.path, DecodeRecord: splitRecord, EncodeRecord: func(string, []byte) []byte { return nil },
		DecodeServer: decodeStatus,
		Handler:      func(View) (door.Handler, ForwardHandler) { return nil, nil },
	}, zap.NewNop())
	no.since, no.late, no.knownGone, no.round = time.Now(), nil, nil, uint64(fl.rnd.IntN(100))
	no.mu.Lock()
	defer no.mu.Unlock()
	for idx := range fl.nodes {
		peer := units.VMID(fmt.Sprintf("node-%d", idx))
		no.addPeer(pulse.Peer{Node: peer, Address: string(peer)})
	}
}

func (fl *fleet) run(du time.Duration, play func(at time.Duration)) {
	start := time.Now()
	for step := 0; time.Since(start) < du; step++ {
		play(time.Since(start))
		for num, no := range fl.nodes {
			fl.step(num, no, step)
		}
		time.Sleep(fleetStep)
		if step%5 == 0 {
			fl.judge()
		}
	}
}

func (no *fleetNode) isUp(now time.Time) bool {
	return !now.Before(no.downTo) && !now.Before(no.frozenTo)
}

func (fl *fleet) step(num int, no *fleetNode, step int) {
	now := time.Now()
	if !no.isUp(now) {
		return
	}
	if !no.downTo.IsZero() {
		no.downTo = time.Time{}
		fl.start(no, num)
	}
	late := no.late
	no.late = nil
	for _, apply := range late {
		apply()
	}
	fl.readServers(no)
	no.mu.Lock()
	changed := no.servers.Tick(now)
	no.mu.Unlock()
	if changed {
		no.publishServers("held_back_removal")
	}
	if (step+num)%3 == 0 {
		for _, addr := range no.roundAddrs(no.round) {
			fl.exchange(no, addr)
		}
		no.round++
	}
}

func (fl *fleet) readServers(no *fleetNode) {
	no.path.silentTo = no.silentTo
	loaded := no.serversLoaded.Load()
	if loaded && !no.mustRead(watch.Servers) {
		return
	}
	_, _ = no.readStore(context.Background(), "servers", func(ctx context.Context) (err error) {
		if loaded {
			loaded, err = no.readServers(ctx)
		} else {
			loaded, err = no.loadServers(ctx)
		}
		return err
	})
	no.serversLoaded.Store(loaded)
}

// exchange makes one exchange as exchangeOnce does, without a network.
func (fl *fleet) exchange(no *fleetNode, addr string) {
	var num int
	if _, err := fmt.Sscanf(addr, "node-%d", &num); err != nil {
		panic(err)
	}
	other, id, asked := fl.nodes[num], units.VMID(addr), time.Now()
	no.markAsked(asked, addr)
	if !other.isUp(asked) || !other.downTo.IsZero() {
		no.mu.Lock()
		no.watch.ReaderFailed(id)
		no.mu.Unlock()
		return
	}
	re := other.Exchange(&pulse.Request{Report: no.report(false), WantServers: no.wantsServers(id), WantConfig: pulse.ConfigNone})
	apply := func() {
		no.applyReport(&re.Report, asked)
		no.applyServers(re, asked)
	}
	if fl.rnd.Float64() < fl.lateShare {
		no.late = append(no.late, apply)
		return
	}
	apply()
}

// judge checks that nodes in touch send to no server that left longer ago than the bound, and
// to all others.
func (fl *fleet) judge() {
	now := time.Now()
	for num, no := range fl.nodes {
		if !no.isUp(now) || now.Sub(later(no.since, no.frozenTo)) < contactTime || len(fl.bad) > 5 {
			continue
		}
		have := map[string]bool{}
		for _, sv := range no.relay.Servers(now, "app") {
			have[string(sv.ID)] = sv.Usable
			left, isGone := fl.store.removedAt[string(sv.ID)]
			if isGone && sv.Usable && (no.knownGone[string(sv.ID)] || now.Sub(later(left, fl.store.restoredAt.Add(contactTime))) > drainBound) {
				fl.bad = append(fl.bad, fmt.Sprintf("node-%d sends to %s %s after it left", num, sv.ID, now.Sub(left)))
			}
		}
		for key, started := range fl.store.startedAt {
			if !have[key] && now.Sub(started) > contactTime {
				fl.bad = append(fl.bad, fmt.Sprintf("node-%d doesn't send to %s, which serves", num, key))
			}
		}
	}
}

func later(times ...time.Time) time.Time {
	sort.Slice(times, func(one, two int) bool { return times[one].After(times[two]) })
	return times[0]
}

// leave removes count servers from number first on.
func (fl *fleet) leave(first, count int) {
	for num := first; num < first+count; num++ {
		fl.store.put(fmt.Sprintf("s-%d", num), "")
	}
}

// each calls do for a random share of the nodes, which includes the readers.
func (fl *fleet) each(share float64, do func(*fleetNode)) {
	var ids []units.VMID
	for num := range fl.nodes {
		ids = append(ids, units.VMID(fmt.Sprintf("node-%d", num)))
	}
	for num, no := range fl.nodes {
		wa := watch.New(ids[num], 0)
		wa.SetPeers(append(append([]units.VMID(nil), ids[:num]...), ids[num+1:]...))
		if wa.IsReader() || fl.rnd.Float64() < share {
			do(no)
		}
	}
}

// restore brings the store back from the copy.
func (fl *fleet) restore() {
	for _, no := range fl.nodes {
		no.knownGone = map[string]bool{}
		for key := range fl.store.removedAt {
			no.knownGone[key] = true
		}
		for _, sv := range no.relay.Servers(time.Now(), "app") {
			delete(no.knownGone, string(sv.ID))
		}
	}
	fl.store.restore(fl.copied)
}

// kill stops the readers and a share of the other nodes for a time.
func (fl *fleet) kill(share float64, du time.Duration) {
	fl.each(share, func(no *fleetNode) { no.downTo = time.Now().Add(du) })
}

// freeze stops the readers and a share of the other nodes, which keep their state.
func (fl *fleet) freeze(share float64, du time.Duration) {
	fl.each(share, func(no *fleetNode) { no.frozenTo = time.Now().Add(du) })
}

// silence cuts the readers and a share of the other nodes off the store.
func (fl *fleet) silence(share float64, du time.Duration) {
	fl.each(share, func(no *fleetNode) { no.silentTo = time.Now().Add(du) })
}

// churn starts and removes count servers, so that their removals replace older ones.
func (fl *fleet) churn(count int) {
	for num := 1000; num < 1000+count; num++ {
		fl.store.put(fmt.Sprintf("s-%d", num), "1 1 ready")
		fl.leave(num, 1)
	}
}

// gapPlay is what happens to a fleet at some milliseconds.
type gapPlay map[int]func(fl *fleet)

// gapCase is a gap in what nodes have read in which servers leave.
type gapCase struct {
	name string
	// large is set for cases that are also played at 360 nodes.
	large bool
	play  gapPlay
}

func gapCases() []gapCase {
	const second = time.Second
	leave := func(fl *fleet) { fl.leave(10, 5) }
	return []gapCase{
		{"readers restart", true, gapPlay{0: func(fl *fleet) { fl.kill(0, 700*time.Millisecond) }, 500: leave}},
		{"half of the nodes restart", false, gapPlay{0: func(fl *fleet) { fl.kill(0.5, second) }, 800: leave}},
		{"half of the nodes restart while the store is silent for others", true, gapPlay{
			0:   func(fl *fleet) { fl.silence(0.35, 2*second) },
			300: func(fl *fleet) { fl.kill(0.5, second) }, 900: leave, 2500: func(fl *fleet) { fl.leave(20, 5) },
		}},
		{"nodes freeze", false, gapPlay{0: func(fl *fleet) { fl.freeze(0.3, 3*second) }, 1000: leave}},
		{"records expire while nodes are frozen", false, gapPlay{
			0: func(fl *fleet) { fl.freeze(0.3, 3*second) }, 1000: leave,
			2500: func(fl *fleet) { fl.store.first = fl.store.end() },
		}},
		{"more removals than a node keeps", false, gapPlay{
			0: func(fl *fleet) { fl.freeze(0.3, 4*second) }, 1000: leave, 1500: func(fl *fleet) { fl.churn(maxRemovals + 20) },
		}},
		{"answers arrive late", true, gapPlay{
			0: func(fl *fleet) { fl.lateShare = 0.3; fl.kill(0.5, second) }, 800: leave, 1300: func(fl *fleet) { fl.leave(20, 5) },
		}},
		{"servers start anew", false, gapPlay{0: func(fl *fleet) { fl.kill(0.5, second) }, 800: leave, 900: func(fl *fleet) {
			for num := 10; num < 15; num++ {
				fl.store.put(fmt.Sprintf("s-%d", num), "2 1 ready")
			}
		}}},
		{"the store comes back from a copy", true, gapPlay{
			0: func(fl *fleet) { fl.copied = fl.store.end() }, 1000: leave,
			1500: func(fl *fleet) { fl.store.put("s-200", "1 1 ready") },
			2000: func(fl *fleet) { fl.silence(1, 300*time.Millisecond); fl.restore() },
			3000: func(fl *fleet) { fl.store.put("s-200", "1 1 ready"); fl.leave(10, 5) },
			3500: func(fl *fleet) { fl.leave(20, 5) }, 3600: func(fl *fleet) { fl.store.put("s-201", "1 1 ready") },
		}},
		{"the store comes back from a copy while nodes restart", false, gapPlay{
			0: func(fl *fleet) { fl.copied = fl.store.end() }, 1000: leave,
			2000: func(fl *fleet) { fl.kill(0.3, second); fl.restore() },
			2600: func(fl *fleet) { fl.leave(10, 5) }, 3500: func(fl *fleet) { fl.leave(20, 5) },
		}},
		{"the store comes back from a copy and grows beyond its end while nodes are frozen", false, gapPlay{
			0: func(fl *fleet) { fl.copied = fl.store.end() }, 500: func(fl *fleet) { fl.freeze(0.5, 3*second) },
			1000: leave, 1500: func(fl *fleet) { fl.restore(); fl.leave(30, 8); fl.leave(10, 5) },
		}},
		{"nodes restart again and again", false, gapPlay{
			0: func(fl *fleet) { fl.kill(0.4, 500*time.Millisecond) }, 400: leave,
			700: func(fl *fleet) { fl.kill(0.4, 500*time.Millisecond) }, 1100: func(fl *fleet) { fl.leave(20, 5) },
			1400: func(fl *fleet) { fl.kill(0.4, 500*time.Millisecond) }, 1700: func(fl *fleet) { fl.leave(30, 5) },
		}},
	}
}

// TestServerLeavesInGap guards against nodes that go on sending to a server whose leaving fell
// into a gap in what they, or the nodes that tell them, have read.
func TestServerLeavesInGap(t *testing.T) {
	running := make(chan struct{}, 2) // Tests of other packages measure times meanwhile.
	for _, gc := range gapCases() {
		for _, nodes := range []int{8, 87, 360} {
			if nodes > 87 && !gc.large {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d nodes", gc.name, nodes), func(t *testing.T) {
				if nodes > largestFleet {
					t.Skip("the model runs in one goroutine; large fleets show the race detector nothing more")
				}
				t.Parallel()
				running <- struct{}{}
				defer func() { <-running }()
				synctest.Test(t, func(t *testing.T) {
					fl := newFleet(nodes, 1)
					fl.run(8*time.Second, func(at time.Duration) {
						if do := gc.play[int(at.Milliseconds())]; do != nil {
							do(fl)
						}
					})
					if len(fl.bad) > 0 {
						t.Errorf("have %s", strings.Join(fl.bad, "\n"))
					}
				})
			})
		}
	}
}
