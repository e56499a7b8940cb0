package entry

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/edge/door"
	"lycheepick/internal/node/config"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
	"lycheepick/internal/state/server"
)

var errNoAnswer = errors.New("no answer")

// recordStore is a store whose only stream has the given records, "KEY VALUE" each.
type recordStore struct {
	stream.Store
	records []string
	// late delays the answers to reads.
	late time.Duration
}

func (st *recordStore) Newest(context.Context, stream.Name, time.Duration) (stream.Listing, error) {
	latest := map[string]stream.Keyed{}
	for off, rec := range st.records {
		it, _ := splitRecord(units.Offset(off), []byte(rec))
		latest[it.Key] = it
	}
	var out []stream.Keyed
	for _, it := range latest {
		if len(it.Value) > 0 {
			out = append(out, it)
		}
	}
	return stream.Listing{Items: out, End: units.Offset(len(st.records))}, nil
}

func (st *recordStore) Read(_ context.Context, _ stream.Name, from units.Offset, _ time.Duration) (stream.Page, error) {
	out := stream.Page{From: from, End: units.Offset(len(st.records))}
	for _, rec := range st.records[from:] {
		out.Records = append(out.Records, []byte(rec))
	}
	time.Sleep(st.late)
	return out, nil
}

func splitRecord(off units.Offset, rec []byte) (stream.Keyed, bool) {
	key, val, _ := strings.Cut(string(rec), " ")
	return stream.Keyed{Offset: off, Key: key, Value: []byte(val)}, true
}

// followTest is a node that has loaded the servers "stays" and "leaves", and knows two peers.
type followTest struct {
	*Node
	store *recordStore
}

func newFollowTest(t *testing.T) *followTest {
	ft := &followTest{store: &recordStore{records: []string{"stays ready", "leaves ready"}}}
	ft.Node = New(&config.EntrySettings{VM: config.EntryVM{ID: "node-1", Zone: "z1"}}, Platform{
		Store: ft.store, DecodeRecord: splitRecord, EncodeRecord: func(string, []byte) []byte { return nil },
		DecodeServer: func([]byte) (server.Status, error) {
			return server.Status{Service: "app", Zone: "z1", StartUnixMS: 1, Slots: 8}, nil
		},
		Handler: func(View) (door.Handler, ForwardHandler) { return nil, nil },
	}, zap.NewNop())
	ft.exchange("peer-1", 0, nil)
	ft.exchange("peer-2", 0, nil)
	ft.read(t)
	time.Sleep(2 * time.Second)
	return ft
}

// read reads the servers from the store as the reader of the list does.
func (ft *followTest) read(t *testing.T) {
	t.Helper()
	_, err := ft.readStore(t.Context(), "servers", func(ctx context.Context) (err error) {
		if ft.serversLoaded.Load() {
			_, err = ft.readServers(ctx)
		} else {
			_, err = ft.loadServers(ctx)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// exchange applies a peer's reply. age is the age of the peer's list, and edit changes the reply.
func (ft *followTest) exchange(id units.VMID, age time.Duration, edit func(*pulse.Reply)) {
	re := &pulse.Reply{Report: pulse.Report{
		Peer: pulse.Peer{Node: id, Address: string(id) + ":1"}, Incarnation: 1, Servers: ft.servers.NextOffset(), ServersAge: age,
	}}
	if edit != nil {
		edit(re)
	}
	ft.applyReport(&re.Report, time.Now())
	ft.applyServers(re, time.Now())
}

// passOn makes a reply hold all records of the store that this node lacks.
func (ft *followTest) passOn(re *pulse.Reply) {
	for off := re.Servers; int(off) < len(ft.store.records); off++ {
		it, _ := splitRecord(off, []byte(ft.store.records[off]))
		re.Records = append(re.Records, it)
	}
	re.Servers, re.Complete = units.Offset(len(ft.store.records)), true
}

// removeInLoss makes this node lose the store for a time, in which "leaves" is removed. The first
// page read after it has the removal.
func (ft *followTest) removeInLoss(t *testing.T, loss time.Duration) {
	t.Helper()
	ft.updateStoreHealth("servers", errNoAnswer)
	time.Sleep(loss)
	ft.store.records = append(ft.store.records, "leaves ")
	ft.read(t)
}

func (ft *followTest) usable() string {
	var ids []string
	for _, sv := range ft.relay.Servers(time.Now(), "app") {
		if sv.Usable {
			ids = append(ids, string(sv.ID))
		}
	}
	return strings.Join(ids, " ")
}

// TestFailedCallKeepsRemovedServer guards against a node that takes its own failed call for an
// outage of the store, and then sends requests to servers whose removal it holds back.
func TestFailedCallKeepsRemovedServer(t *testing.T) {
	for _, tt := range []struct {
		name string
		play func(t *testing.T, ft *followTest)
		want string
	}{
		{"a peer passes the removal on after a failed call", func(_ *testing.T, ft *followTest) {
			ft.updateStoreHealth("duty", errNoAnswer)
			time.Sleep(700 * time.Millisecond)
			ft.store.records = append(ft.store.records, "leaves ")
			ft.exchange("peer-1", 900*time.Millisecond, ft.passOn)
			time.Sleep(600 * time.Millisecond)
			ft.updateStoreHealth("duty", nil)
		}, "stays"},
		{"the first page after a short loss has the removal", func(t *testing.T, ft *followTest) {
			ft.removeInLoss(t, 250*time.Millisecond)
		}, "stays"},
		{"peers that lack records were served meanwhile", func(t *testing.T, ft *followTest) {
			ft.updateStoreHealth("servers", errNoAnswer)
			time.Sleep(1500 * time.Millisecond)
			ft.exchange("peer-1", 100*time.Millisecond, func(re *pulse.Reply) { re.Servers++ })
			ft.store.records = append(ft.store.records, "leaves ")
			ft.read(t)
		}, "stays"},
		{"a peer tells only later that it was served meanwhile", func(t *testing.T, ft *followTest) {
			ft.removeInLoss(t, 1500*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			ft.exchange("peer-1", 100*time.Millisecond, nil)
		}, "stays"},
		{"a peer claims an outage in which another one was served", func(_ *testing.T, ft *followTest) {
			ft.store.records = append(ft.store.records, "leaves ")
			ft.exchange("peer-1", 0, func(re *pulse.Reply) {
				ft.passOn(re)
				re.SinceStoreOutage = 100 * time.Millisecond
			})
			ft.exchange("peer-2", 50*time.Millisecond, nil)
		}, "stays"},
		{"the peers see the outage too", func(t *testing.T, ft *followTest) {
			ft.removeInLoss(t, 1500*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			ft.exchange("peer-1", 100*time.Millisecond, func(re *pulse.Reply) { re.SinceStoreOutage = 200 * time.Millisecond })
		}, "leaves stays"},
		{"a peer that started in the outage has seen none", func(t *testing.T, ft *followTest) {
			ft.updateStoreHealth("servers", errNoAnswer)
			time.Sleep(time.Second)
			ft.exchange("peer-3", time.Hour, nil)
			time.Sleep(500 * time.Millisecond)
			ft.store.records = append(ft.store.records, "leaves ")
			ft.read(t)
			time.Sleep(300 * time.Millisecond)
			ft.exchange("peer-3", 100*time.Millisecond, nil)
		}, "leaves stays"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ft := newFollowTest(t)
				tt.play(t, ft)
				if have := ft.usable(); have != tt.want {
					t.Errorf("usable servers: have %q, want %q", have, tt.want)
				}
			})
		})
	}
}

// TestOldRecordsBringNothingBack guards against answers of peers that are older than the listing
// which this node has read: they bring back removed servers, or remove new ones.
func TestOldRecordsBringNothingBack(t *testing.T) {
	older := func(list bool, records ...int) func(ft *followTest) {
		return func(ft *followTest) {
			ft.exchange("peer-1", 0, func(re *pulse.Reply) {
				for _, off := range records {
					it, _ := splitRecord(units.Offset(off), []byte(ft.store.records[off]))
					re.Records = append(re.Records, it)
				}
				re.Servers, re.Complete, re.Snapshot = 2, true, list
			})
		}
	}
	for _, tt := range []struct {
		name   string
		answer func(ft *followTest)
	}{
		{"changes", older(false, 1)},
		{"a whole list", older(true, 0, 1)},
		{"a whole list without the new server", older(true, 0)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ft := newFollowTest(t)
				ft.store.records = append(ft.store.records, "leaves ", "starts ready")
				ft.serversLoaded.Store(false) // The records before have expired.
				ft.read(t)
				tt.answer(ft)
				if have, want := ft.usable(), "starts stays"; have != want {
					t.Errorf("usable servers: have %q, want %q", have, want)
				}
				for _, it := range ft.records.all() {
					if it.Key == "leaves" && len(it.Value) > 0 {
						t.Errorf("have a record of the removed server at offset %d to pass on", it.Offset)
					}
				}
			})
		})
	}
}

// TestLateAnswerCountsAsFresh guards against a node, and all that rely on it, that takes its state for
// as recent as an answer which a connection held back.
func TestLateAnswerCountsAsFresh(t *testing.T) {
	const late = 2 * time.Second
	for _, tt := range []struct {
		stream watch.Stream
		read   func(ft *followTest, ctx context.Context) error
	}{
		{watch.Servers, func(ft *followTest, ctx context.Context) error {
			_, err := ft.readServers(ctx)
			return err
		}},
		{watch.Config, func(ft *followTest, ctx context.Context) error {
			_, err := ft.readConfig(ctx, 0)
			return err
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			ft := newFollowTest(t)
			ft.store.records = append(ft.store.records, "starts ready")
			ft.store.late = late
			if err := tt.read(ft, t.Context()); err != nil {
				t.Fatal(err)
			}
			if have := ft.watch.Age(tt.stream, time.Now()); have < late {
				t.Errorf("stream %d: have an age of %s after an answer that was on its way for %s", tt.stream, have, late)
			}
		})
	}
}
