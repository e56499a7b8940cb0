package table

import (
	"encoding/json"
	"time"

	"lycheepick/internal/rule/units"
)

// Record is one entry of the log stream of tables.
type Record struct {
	// PublishID is unique to a publish; a publisher whose append went
	// unanswered finds its own record by it.
	PublishID string `json:"publish_id"`
	// Author is the operator who published, or the node that restated.
	Author string `json:"author"`
	// Comment is the operator's reason.
	Comment string `json:"comment,omitempty"`
	// Replaces is the version that must be in force for the record to be accepted.
	Replaces units.Version `json:"replaces"`
	// Version is the record's own version.
	Version units.Version `json:"version"`
	// Hash is the table's hash.
	Hash string `json:"hash"`
	// Restated marks a record that repeats the version in force, so that it
	// outlives the log's retention.
	Restated bool `json:"restated,omitempty"`
	// FoldedTo is, for a restatement, the last offset that its writer had
	// folded when Version was in force.
	FoldedTo units.Offset `json:"folded_to,omitempty"`
	// Table is the whole table.
	Table json.RawMessage `json:"table"`
}

// InForce is a version of the table and where the log accepted it.
type InForce struct {
	Version   units.Version
	Hash      string
	PublishID string
	Author    string
	Offset    units.Offset
	Index     *Index
	// Raw is the table's canonical JSON.
	Raw []byte
}

// Verdict tells what the fold made of a record.
type Verdict string

// The verdicts.
const (
	// Accepted marks a publish that is now in force.
	Accepted Verdict = "accepted"
	// Lost marks a publish that replaces a version no longer in force.
	Lost Verdict = "lost"
	// Invalid marks a record whose table fails its checks or hash.
	Invalid Verdict = "invalid"
	// Restated marks a restatement, which never changes the version.
	Restated Verdict = "restated"
	// Based marks the restatement from which a fresh fold starts.
	Based Verdict = "based"
	// Early marks a record before a fresh fold has a base.
	Early Verdict = "early"
)

// Fold computes the version in force from the records of the log, in order of
// offset. Every reader that folds the same records gets the same result.
type Fold struct {
	cur *InForce
	// next is the offset after the last record folded.
	next units.Offset
	// first is the offset at which this fold began to read.
	first units.Offset
	began bool
	// pending holds records read before a base was known.
	pending []pendingRecord
}

type pendingRecord struct {
	off units.Offset
	rec Record
}

// NewFold returns a fold that has read nothing.
func NewFold() *Fold { return &Fold{} }

// InForce returns the version in force, or nil.
func (fo *Fold) InForce() *InForce { return fo.cur }

// Next returns the offset to read from.
func (fo *Fold) Next() units.Offset { return fo.next }

// Skipped tells the fold that the log no longer holds the records before off.
// If records were lost unread, the fold needs a new base, but it keeps the
// version in force, since versions never go down.
func (fo *Fold) Skipped(off units.Offset) {
	if off <= fo.next {
		return
	}
	fo.next = off
	fo.first = off
	fo.began = false
	fo.pending = nil
}

// FoldedTo returns the last offset at which the version in force is known to be in
// force. A fold that missed records knows that only for the version's own record.
func (fo *Fold) FoldedTo() units.Offset {
	if fo.began || fo.cur == nil {
		return fo.next - 1
	}
	return fo.cur.Offset
}

// Adopt takes over a version that a peer has folded up to offset to. It is
// ignored if it is not newer.
func (fo *Fold) Adopt(in *InForce, to units.Offset) bool {
	if fo.cur != nil && in.Version <= fo.cur.Version {
		return false
	}
	fo.cur = in
	if to+1 >= fo.next {
		fo.next = to + 1
		fo.began = true
		fo.pending = nil
	}
	return true
}

// Read folds the record at off. raw is the record's body.
func (fo *Fold) Read(off units.Offset, raw []byte) (Verdict, Record) {
	var rec Record
	if off < fo.next {
		return Early, rec
	}
	fo.next = off + 1
	if err := json.Unmarshal(raw, &rec); err != nil {
		return Invalid, rec
	}
	if fo.began || fo.first == 0 {
		fo.began = true
		return fo.apply(off, rec), rec
	}
	return fo.findBase(off, rec), rec
}

// findBase looks for a restatement from which all later records are at hand.
func (fo *Fold) findBase(off units.Offset, rec Record) Verdict {
	if !rec.Restated || rec.FoldedTo+1 < fo.first {
		fo.pending = append(fo.pending, pendingRecord{off: off, rec: rec})
		return Early
	}
	in := rec.inForce(off)
	if in == nil {
		return Invalid
	}
	if fo.cur == nil || in.Version > fo.cur.Version {
		fo.cur = in
	}
	fo.began = true
	pend := fo.pending
	fo.pending = nil
	for _, pr := range pend {
		if pr.off > rec.FoldedTo {
			fo.apply(pr.off, pr.rec)
		}
	}
	return Based
}

func (fo *Fold) apply(off units.Offset, rec Record) Verdict {
	if rec.Restated {
		return Restated
	}
	var version units.Version
	if fo.cur != nil {
		version = fo.cur.Version
	}
	if rec.Replaces != version || rec.Version != version+1 {
		return Lost
	}
	in := rec.inForce(off)
	if in == nil {
		return Invalid
	}
	fo.cur = in
	return Accepted
}

// inForce decodes and checks a record's table; nil if it is not valid.
func (rec *Record) inForce(off units.Offset) *InForce {
	tab, err := Decode(rec.Table)
	if err != nil || tab.Hash() != rec.Hash {
		return nil
	}
	return &InForce{
		Version: rec.Version, Hash: rec.Hash, PublishID: rec.PublishID, Author: rec.Author,
		Offset: off, Index: NewIndex(tab), Raw: tab.Encode(),
	}
}

// NewRecord returns the record that publishes tab in place of version replaces.
func NewRecord(tab *Table, replaces units.Version, author, comment, publishID string) Record {
	return Record{
		PublishID: publishID, Author: author, Comment: comment,
		Replaces: replaces, Version: replaces + 1, Hash: tab.Hash(), Table: tab.Encode(),
	}
}

// Restate returns the record that repeats the version in force of fo. ok is
// false while the fold has no version, or no base from which it read the log.
func (fo *Fold) Restate(author, publishID string) (rec Record, ok bool) {
	if fo.cur == nil || !fo.began {
		return Record{}, false
	}
	return Record{
		PublishID: publishID, Author: author, Replaces: fo.cur.Version - 1, Version: fo.cur.Version,
		Hash: fo.cur.Hash, Restated: true, FoldedTo: fo.next - 1, Table: fo.cur.Raw,
	}, true
}

// RestateDue tells whether a restatement is due at now, if the last record
// that carries the version in force was written at last and the log keeps
// records for retention.
func RestateDue(now, last time.Time, retention time.Duration) bool {
	const perRetention = 4
	return now.Sub(last) >= retention/perRetention
}
