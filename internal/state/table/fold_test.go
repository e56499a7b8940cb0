package table_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "lycheepick/internal/fake/seed"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/table"
)

// stream is a log stream in memory: records from offset first on.
type stream struct {
	first   units.Offset
	records [][]byte
}

func (st *stream) append(rec table.Record) {
	raw, _ := json.Marshal(rec)
	st.records = append(st.records, raw)
}

func (st *stream) next() units.Offset { return st.first + units.Offset(len(st.records)) }

func (st *stream) expire(num int) {
	num = max(0, min(num, len(st.records)))
	st.records = st.records[num:]
	st.first += units.Offset(num)
}

// read folds up to limit records.
func (st *stream) read(fo *table.Fold, limit int) {
	fo.Skipped(st.first)
	for limit > 0 && fo.Next() < st.next() {
		fo.Read(fo.Next(), st.records[fo.Next()-st.first])
		limit--
	}
}

func version(fo *table.Fold) units.Version {
	if in := fo.InForce(); in != nil {
		return in.Version
	}
	return 0
}

func weighted(weight int) *table.Table {
	tab := good()
	tab.Rows[0].Weight = weight
	return tab
}

// Operators race, nodes lag, restart, restate and adopt from each other, and records
// expire. No node ever goes back, and nodes with the same version have the same table.
func TestFoldNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		st := &stream{}
		nodes := []*table.Fold{table.NewFold(), table.NewFold(), table.NewFold()}
		hashes := map[units.Version]string{}
		high := make([]units.Version, len(nodes))
		truth := table.NewFold()
		pub := 0
		pick := rapid.IntRange(0, len(nodes)-1)
		steps := rapid.IntRange(10, 60).Draw(rt, "steps")
		for range steps {
			num := pick.Draw(rt, "node")
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1: // A publish that replaces what some node has in force.
				pub++
				st.append(table.NewRecord(weighted(pub%table.MaxWeight+1), version(nodes[num]), "op", "", "p"))
			case 2, 3:
				st.read(nodes[num], rapid.IntRange(1, 5).Draw(rt, "read"))
			case 4:
				if rec, ok := nodes[num].Restate("node", "r"); ok {
					st.append(rec)
				}
			case 5: // Adopt from a peer, as in a log outage.
				other := nodes[pick.Draw(rt, "peer")]
				if in := other.InForce(); in != nil {
					nodes[num].Adopt(in, other.FoldedTo())
				}
			case 6: // A restart, or records that expire after someone restated.
				if rapid.Bool().Draw(rt, "restart") {
					nodes[num], high[num] = table.NewFold(), 0
				} else if rec, ok := truth.Restate("node", "r"); ok {
					st.read(truth, 1000)
					rec, _ = truth.Restate("node", rec.PublishID)
					st.append(rec)
					st.expire(len(st.records) - 1 - rapid.IntRange(0, 3).Draw(rt, "kept"))
				}
			}
			st.read(truth, 1000)
			for idx, fo := range nodes {
				have := version(fo)
				if have < high[idx] {
					rt.Fatalf("node %d went from version %d back to %d", idx, high[idx], have)
				}
				high[idx] = have
				if have == 0 {
					continue
				}
				if was, ok := hashes[have]; ok && was != fo.InForce().Hash {
					rt.Fatalf("version %d has two tables", have)
				}
				hashes[have] = fo.InForce().Hash
			}
		}
		rec, ok := truth.Restate("node", "last")
		if !ok {
			return
		}
		st.append(rec)
		st.read(truth, 1000)
		for idx, fo := range nodes {
			st.read(fo, 1000)
			if version(fo) != version(truth) {
				rt.Fatalf("node %d has version %d after reading all, want %d", idx, version(fo), version(truth))
			}
		}
	})
}

// lastWriterWins is the naive fold: the newest record is in force.
type lastWriterWins struct{ cur units.Version }

func (lw *lastWriterWins) read(rec table.Record) { lw.cur = rec.Version }

func TestRaceHasOneWinner(t *testing.T) {
	gm := gomega.NewWithT(t)
	st := &stream{}
	st.append(table.NewRecord(weighted(1), 0, "ann", "", "p1"))
	st.append(table.NewRecord(weighted(2), 1, "ann", "", "p2"))
	late := table.NewRecord(weighted(3), 0, "ben", "", "p3")
	st.append(late)

	naive := &lastWriterWins{}
	for _, raw := range st.records {
		var rec table.Record
		gm.Expect(json.Unmarshal(raw, &rec)).To(gomega.Succeed())
		naive.read(rec)
	}
	gm.Expect(naive.cur).To(gomega.Equal(units.Version(1)), "the naive fold reverts")

	fo := table.NewFold()
	st.read(fo, 1000)
	gm.Expect(version(fo)).To(gomega.Equal(units.Version(2)))
	gm.Expect(fo.InForce().Author).To(gomega.Equal("ann"))
}

// A restatement written after a later publish must not take a fresh node back.
func TestStaleRestatementIsNoBase(t *testing.T) {
	gm := gomega.NewWithT(t)
	st := &stream{}
	old := table.NewFold()
	st.append(table.NewRecord(weighted(1), 0, "ann", "", "p1"))
	st.read(old, 1000)
	stale, ok := old.Restate("node-1", "r1")
	gm.Expect(ok).To(gomega.BeTrue())
	st.append(table.NewRecord(weighted(2), 1, "ann", "", "p2"))
	st.append(stale)
	st.expire(2)

	fresh := table.NewFold()
	st.read(fresh, 1000)
	gm.Expect(version(fresh)).To(gomega.BeZero(), "the records between are gone, so the restatement proves nothing")

	cur := table.NewFold()
	cur.Adopt(old.InForce(), 0)
	full := &stream{records: [][]byte{}}
	full.append(table.NewRecord(weighted(1), 0, "ann", "", "p1"))
	full.append(table.NewRecord(weighted(2), 1, "ann", "", "p2"))
	full.append(stale)
	full.read(cur, 1000)
	rec, ok := cur.Restate("node-2", "r2")
	gm.Expect(ok).To(gomega.BeTrue())
	st.append(rec)
	st.read(fresh, 1000)
	gm.Expect(version(fresh)).To(gomega.Equal(units.Version(2)))
}

// A node that missed records does not know whether its version is still in force, and
// must not make a peer believe so.
func TestNodeThatMissedRecordsDoesNotVouch(t *testing.T) {
	gm := gomega.NewWithT(t)
	st := &stream{}
	st.append(table.NewRecord(weighted(1), 0, "ann", "", "p1"))
	cut, fresh, full := table.NewFold(), table.NewFold(), table.NewFold()
	st.read(cut, 1000)
	st.append(table.NewRecord(weighted(2), 1, "ann", "", "p2"))
	st.read(full, 1000)
	st.expire(2)
	st.read(cut, 1000)
	fresh.Adopt(cut.InForce(), cut.FoldedTo())
	st.append(table.NewRecord(weighted(3), 2, "ann", "", "p3"))
	st.append(table.NewRecord(weighted(4), 1, "ben", "", "p4"))
	st.read(fresh, 1000)
	st.read(full, 1000)
	gm.Expect(version(full)).To(gomega.Equal(units.Version(3)))
	gm.Expect(version(fresh)).To(gomega.Equal(units.Version(1)), "it waits for a restatement")
	rec, ok := full.Restate("node", "r")
	gm.Expect(ok).To(gomega.BeTrue())
	st.append(rec)
	st.read(fresh, 1000)
	gm.Expect(version(fresh)).To(gomega.Equal(units.Version(3)))
}

func TestRestateDue(t *testing.T) {
	gm := gomega.NewWithT(t)
	at := time.Unix(0, 0)
	gm.Expect(table.RestateDue(at.Add(59*time.Minute), at, 4*time.Hour)).To(gomega.BeFalse())
	gm.Expect(table.RestateDue(at.Add(time.Hour), at, 4*time.Hour)).To(gomega.BeTrue())
}
