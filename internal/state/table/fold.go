package table

import (
	"encoding/json"
	"time"

	"lycheepick/internal/rule/units"
)

// Record is one record of the log stream of tables: a publish or a restatement.
type Record struct {
	// PublishID is unique to a publish; a publisher whose append got no answer finds its
	// own record by it.
	PublishID string `json:"publish_id"`
	// Author is the operator who published, or the node that wrote the restatement.
	Author string `json:"author"`
	// Comment is the operator's reason for the change.
	Comment string `json:"comment,omitempty"`
	// Replaces is the version that must be in force for the record to be accepted; 0 for
	// the first table.
	Replaces units.Version `json:"replaces"`
	// Version is the version that the table gets, Replaces + 1.
	Version units.Version `json:"version"`
	// Hash is Table.Hash of the table.
	Hash string `json:"hash"`
	// Restated marks a record that repeats the version in force, so that it outlives the
	// log's retention.
	Restated bool `json:"restated,omitempty"`
	// FoldedTo is, for a restatement, the last offset that its writer had folded when
	// Version was in force.
	FoldedTo units.Offset `json:"folded_to,omitempty"`
	// Table is the JSON of the whole table.
	Table json.RawMessage `json:"table"`
}

// InForce is the version of the table in force, with the log record that carried it.
type InForce struct {
	Version   units.Version
	Hash      string
	PublishID string
	Author    string
	Offset    units.Offset
	Index     *Index
	// Raw is the canonical JSON of the table.
	Raw []byte
}

// FoldResult tells how the fold handled a record.
type FoldResult string

// The results of folding a record.
const (
	// Accepted marks a publish that came into force.
	Accepted FoldResult = "accepted"
	// Lost marks a publish that lost to another one: the version that it replaces is not in
	// force.
	Lost FoldResult = "lost"
	// Invalid marks a record that can't be decoded, or whose table fails validation or
	// doesn't match its hash.
	Invalid FoldResult = "invalid"
	// Restated marks a restatement, which never changes the version.
	Restated FoldResult = "restated"
	// Based marks the restatement that a fold without a base starts from.
	Based FoldResult = "based"
	// Early marks a record that was read before the fold had a base, or that was folded
	// already.
	Early FoldResult = "early"
)

// Fold computes the version in force from the records of the log, in order of offset. It
// is deterministic: every reader that folds the same records gets the same result. It is
// not safe for concurrent use.
type Fold struct {
	inForce *InForce
	// nextOffset is the offset of the next record to read.
	nextOffset units.Offset
	// firstOffset is the offset from which this fold has read the log without gaps.
	firstOffset units.Offset
	// hasBase is set once the version in force is known at an offset from which all
	// later records were read.
	hasBase bool
	// pending holds the records read before a base was known.
	pending []pendingRecord
}

type pendingRecord struct {
	off units.Offset
	rec Record
}

// NewFold returns a fold without a version that reads from offset 0.
func NewFold() *Fold { return &Fold{} }

// InForce returns the version in force, or nil if none is known.
func (fo *Fold) InForce() *InForce { return fo.inForce }

// NextOffset returns the offset of the next record to read.
func (fo *Fold) NextOffset() units.Offset { return fo.nextOffset }

// SkipTo reports that the log no longer holds the records before off. If some of them were
// not read, the fold needs a new base. It keeps the version in force meanwhile, since
// versions only increase.
func (fo *Fold) SkipTo(off units.Offset) {
	if off <= fo.nextOffset {
		return
	}
	fo.nextOffset = off
	fo.firstOffset = off
	fo.hasBase = false
	fo.pending = nil
}

// FoldedTo returns the last offset at which the version in force is known to be in
// force. A fold that missed records knows that only for the version's own record.
func (fo *Fold) FoldedTo() units.Offset {
	if fo.hasBase || fo.inForce == nil {
		return fo.nextOffset - 1
	}
	return fo.inForce.Offset
}

// Adopt takes over a version from a peer that has folded the log up to offset to. It returns
// false and has no effect if the version is not newer than the one in force.
func (fo *Fold) Adopt(in *InForce, to units.Offset) bool {
	if fo.inForce != nil && in.Version <= fo.inForce.Version {
		return false
	}
	fo.inForce = in
	if to+1 >= fo.nextOffset {
		fo.nextOffset = to + 1
		fo.hasBase = true
		fo.pending = nil
	}
	return true
}

// Read folds the record at off, whose JSON is raw, and returns the decoded record. Records
// before NextOffset are ignored.
func (fo *Fold) Read(off units.Offset, raw []byte) (FoldResult, Record) {
	var rec Record
	if off < fo.nextOffset {
		return Early, rec
	}
	fo.nextOffset = off + 1
	if err := json.Unmarshal(raw, &rec); err != nil {
		return Invalid, rec
	}
	if fo.hasBase || fo.firstOffset == 0 {
		fo.hasBase = true
		return fo.apply(off, rec), rec
	}
	return fo.findBase(off, rec), rec
}

// findBase takes a record as the base if it is a restatement and all records after its
// FoldedTo were read. Other records are kept until a base is found.
func (fo *Fold) findBase(off units.Offset, rec Record) FoldResult {
	if !rec.Restated || rec.FoldedTo+1 < fo.firstOffset {
		fo.pending = append(fo.pending, pendingRecord{off: off, rec: rec})
		return Early
	}
	in := rec.inForce(off)
	if in == nil {
		return Invalid
	}
	if fo.inForce == nil || in.Version > fo.inForce.Version {
		fo.inForce = in
	}
	fo.hasBase = true
	pend := fo.pending
	fo.pending = nil
	for _, pr := range pend {
		if pr.off > rec.FoldedTo {
			fo.apply(pr.off, pr.rec)
		}
	}
	return Based
}

func (fo *Fold) apply(off units.Offset, rec Record) FoldResult {
	if rec.Restated {
		return Restated
	}
	var version units.Version
	if fo.inForce != nil {
		version = fo.inForce.Version
	}
	if rec.Replaces != version || rec.Version != version+1 {
		return Lost
	}
	in := rec.inForce(off)
	if in == nil {
		return Invalid
	}
	fo.inForce = in
	return Accepted
}

// inForce decodes and validates a record's table. It returns nil if the table is invalid.
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

// NewRecord returns the record that publishes tab as the successor of version replaces.
func NewRecord(tab *Table, replaces units.Version, author, comment, publishID string) Record {
	return Record{
		PublishID: publishID, Author: author, Comment: comment,
		Replaces: replaces, Version: replaces + 1, Hash: tab.Hash(), Table: tab.Encode(),
	}
}

// Restate returns a restatement of the version in force. ok is false if the fold has no
// version, or no base.
func (fo *Fold) Restate(author, publishID string) (rec Record, ok bool) {
	if fo.inForce == nil || !fo.hasBase {
		return Record{}, false
	}
	return Record{
		PublishID: publishID, Author: author, Replaces: fo.inForce.Version - 1, Version: fo.inForce.Version,
		Hash: fo.inForce.Hash, Restated: true, FoldedTo: fo.nextOffset - 1, Table: fo.inForce.Raw,
	}, true
}

// RestateDue reports whether a restatement is due at now, if the last record that carries
// the version in force was written at last and the log keeps records for retention. It is
// due after a quarter of the retention.
func RestateDue(now, last time.Time, retention time.Duration) bool {
	const perRetention = 4
	return now.Sub(last) >= retention/perRetention
}
