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

// stream is an in-memory log stream that holds the records from offset first on.
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

// read makes fo read up to limit records.
func (st *stream) read(fo *table.Fold, limit int) {
	fo.SkipTo(st.first)
	for limit > 0 && fo.NextOffset() < st.next() {
		fo.Read(fo.NextOffset(), st.records[fo.NextOffset()-st.first])
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
	tab := validTable()
	tab.Rows[0].Weight = weight
	return tab
}

// Runs random schedules in which operators publish concurrently, nodes lag, restart, restate
// and adopt versions from each other, and records expire. The version of a node must never
// decrease, and nodes with the same version must have the same table.
func TestFoldNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		st := &stream{}
		nodes := []*table.Fold{table.NewFold(), table.NewFold(), table.NewFold()}
		hashes := map[units.Version]string{}
		highest := make([]units.Version, len(nodes))
		reference := table.NewFold()
		pub := 0
		pick := rapid.IntRange(0, len(nodes)-1)
		steps := rapid.IntRange(10, 60).Draw(rt, "steps")
		for range steps {
			num := pick.Draw(rt, "node")
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1: // A publish that replaces the version that some node has in force.
				pub++
				st.append(table.NewRecord(weighted(pub%table.MaxWeight+1), version(nodes[num]), "op", "", "p"))
			case 2, 3:
				st.read(nodes[num], rapid.IntRange(1, 5).Draw(rt, "read"))
			case 4:
				if rec, ok := nodes[num].Restate("node", "r"); ok {
					st.append(rec)
				}
			case 5: // A node adopts a peer's version, as in an outage of the log.
				other := nodes[pick.Draw(rt, "peer")]
				if in := other.InForce(); in != nil {
					nodes[num].Adopt(in, other.FoldedTo())
				}
			case 6: // A node restarts, or records expire after a restatement.
				if rapid.Bool().Draw(rt, "restart") {
					nodes[num], highest[num] = table.NewFold(), 0
				} else if rec, ok := reference.Restate("node", "r"); ok {
					st.read(reference, 1000)
					rec, _ = reference.Restate("node", rec.PublishID)
					st.append(rec)
					st.expire(len(st.records) - 1 - rapid.IntRange(0, 3).Draw(rt, "kept"))
				}
			}
			st.read(reference, 1000)
			for idx, fo := range nodes {
				have := version(fo)
				if have < highest[idx] {
					rt.Fatalf("node %d went from version %d back to %d", idx, highest[idx], have)
				}
				highest[idx] = have
				if have == 0 {
					continue
				}
				if was, ok := hashes[have]; ok && was != fo.InForce().Hash {
					rt.Fatalf("version %d has two tables", have)
				}
				hashes[have] = fo.InForce().Hash
			}
		}
		rec, ok := reference.Restate("node", "last")
		if !ok {
			return
		}
		st.append(rec)
		st.read(reference, 1000)
		for idx, fo := range nodes {
			st.read(fo, 1000)
			if version(fo) != version(reference) {
				rt.Fatalf("node %d has version %d after reading all, want %d", idx, version(fo), version(reference))
			}
		}
	})
}

// lastWriterWins is a naive fold that puts every record in force.
type lastWriterWins struct{ cur units.Version }

func (lw *lastWriterWins) read(rec table.Record) { lw.cur = rec.Version }

// Two operators replace the same version. The later record must not take effect.
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

// A restatement of version 1 is written after version 2 was published, and the records
// before it have expired. A fresh node must not start from it.
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
	gm.Expect(version(fresh)).To(gomega.BeZero(), "a stale restatement is not a base when records after its FoldedTo have expired")

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

// A node that missed records does not know whether its version is still in force. A fresh
// peer that adopts the version from it must not fold later records on top of it.
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
	gm.Expect(version(fresh)).To(gomega.Equal(units.Version(1)), "it needs a restatement first")
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
