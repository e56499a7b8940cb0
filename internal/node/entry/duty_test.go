package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/units"
)

// leaseStore is a store with lease records of another holder. It counts the records it returns.
type leaseStore struct {
	stream.Store
	end      units.Offset
	returned int
}

func (st *leaseStore) record(off units.Offset) stream.Keyed {
	return stream.Keyed{Offset: off, Key: leaseKey, Value: []byte(`{"node":"leader","life":1}`)}
}

func (st *leaseStore) Append(context.Context, stream.Name, units.Offset, ...[]byte) (units.Offset, error) {
	st.end++
	return st.end - 1, nil
}

func (st *leaseStore) Newest(context.Context, stream.Name, time.Duration) (stream.Listing, error) {
	st.returned++
	return stream.Listing{Items: []stream.Keyed{st.record(st.end - 1)}, End: st.end}, nil
}

func (st *leaseStore) Read(_ context.Context, _ stream.Name, from units.Offset, _ time.Duration) (stream.Page, error) {
	out := stream.Page{From: from, End: st.end}
	for off := from; off < st.end; off++ {
		st.returned++
		out.Records = append(out.Records, []byte(leaseKey+" "+string(st.record(off).Value)))
	}
	return out, nil
}

// TestLeaseBacklogFillsLink guards against nodes that read all lease records since their start,
// hundreds of kilobytes each, once they don't hear from the leader.
func TestLeaseBacklogFillsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		no := newFollowTest(t).Node
		st := &leaseStore{end: 1}
		no.platform.Store = st
		read := func(want int) {
			t.Helper()
			st.returned = 0
			if err := no.readLease(t.Context()); err != nil {
				t.Fatal(err)
			}
			if have := no.leader.lease.NextOffset(); st.returned > want || have != st.end {
				t.Errorf("have %d records up to offset %d, want at most %d up to %d", st.returned, have, want, st.end)
			}
		}
		read(1)
		time.Sleep(renewPeriod)
		st.end++
		read(1)
		time.Sleep(time.Minute) // The leader's reports come by gossip, so the store isn't read.
		st.end += 60
		read(1)
		time.Sleep(time.Minute)
		if !no.appendLease(t.Context(), nil) {
			t.Fatal("the lease was not appended")
		}
		time.Sleep(renewPeriod)
		read(0) // The holder knows its own records.
	})
}
