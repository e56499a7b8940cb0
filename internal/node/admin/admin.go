// Package admin implements the operations of the operators' command line: it reads and publishes
// versions of the table through the log service, and queries the status of nodes.
package admin

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"lycheepick/internal/node/audit"
	"lycheepick/internal/plat/httpc"
	"lycheepick/internal/plat/logsvc"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/table"
)

// Kind tells why an operation failed.
type Kind string

// The kinds of error of this package.
const (
	// KindLost marks a publish that lost against an earlier one.
	KindLost Kind = "lost"
	// KindUnreachable marks a platform or node that can't be reached.
	KindUnreachable Kind = "unreachable"
	// KindUndecided marks a publish of which it is not known whether the log has it.
	KindUndecided Kind = "undecided"
	// KindNotInForce marks a version that some live node does not have yet.
	KindNotInForce Kind = "not_in_force"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Event is one record of the table stream with the verdict of the fold.
type Event struct {
	At      time.Time
	Offset  units.Offset
	Verdict table.FoldResult
	Record  table.Record
}

// History is the part of the table stream that the log still has.
type History struct {
	Fold   *table.Fold
	Events []Event
}

// ReadTables reads the table stream to its end.
func ReadTables(ctx context.Context, log logsvc.Log) (*History, error) {
	hi := &History{Fold: table.NewFold()}
	return hi, hi.read(ctx, log)
}

func (hi *History) read(ctx context.Context, log logsvc.Log) error {
	const op = "admin.read"
	for {
		page, err := log.Read(ctx, logsvc.StreamTable, hi.Fold.NextOffset(), 0)
		if err != nil {
			return fault.Wrap(op, KindUnreachable, err)
		}
		hi.Fold.SkipTo(page.First)
		for _, rec := range page.Records {
			verdict, tr := hi.Fold.Read(rec.Offset, rec.Body)
			hi.Events = append(hi.Events, Event{At: rec.At, Offset: rec.Offset, Verdict: verdict, Record: tr})
		}
		if hi.Fold.NextOffset() >= page.Next {
			return nil
		}
	}
}

// find returns the event of a publish. Restatements are ignored.
func (hi *History) find(publishID string) (Event, bool) {
	for _, ev := range hi.Events {
		if ev.Record.PublishID == publishID && !ev.Record.Restated {
			return ev, true
		}
	}
	return Event{}, false
}

// Publication is the result of a publish.
type Publication struct {
	Version units.Version
	At      time.Time
	// InForce is the version in force after the publish, nil if there is none. If the publish
	// lost, it is the version that won.
	InForce *table.InForce
}

const (
	searchTimeout    = 10 * time.Second
	searchRetryDelay = 300 * time.Millisecond
)

// Publish appends a table that replaces the given version, and reads the stream until it finds
// whether the table was accepted, also if the append got no answer. The error is KindLost if the
// table was not accepted and KindUndecided if that is still unknown after searchTimeout.
func Publish(ctx context.Context, log logsvc.Log, tab *table.Table, replaces units.Version, author, comment string) (*Publication, error) {
	const op = "admin.Publish"
	hi, err := ReadTables(ctx, log)
	if err != nil {
		return nil, err
	}
	rec := table.NewRecord(tab, replaces, author, comment, uuid.NewString())
	_, err = log.Append(ctx, logsvc.StreamTable, rec)
	if err != nil && !fault.Is(err, httpc.KindUnanswered) {
		return nil, fault.Wrap(op, KindUnreachable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	for {
		if readErr := hi.read(ctx, log); readErr == nil {
			if ev, ok := hi.find(rec.PublishID); ok {
				return judge(hi, ev)
			}
		}
		select {
		case <-ctx.Done():
			return nil, fault.New(op, KindUndecided, "the log did not answer; run \"table log\" and look for publish id %s", rec.PublishID)
		case <-time.After(searchRetryDelay):
		}
	}
}

func judge(hi *History, ev Event) (*Publication, error) {
	const op = "admin.judge"
	pu := &Publication{Version: ev.Record.Version, At: ev.At, InForce: hi.Fold.InForce()}
	if ev.Verdict == table.Accepted {
		return pu, nil
	}
	if pu.InForce == nil {
		return pu, fault.New(op, KindLost, "no version is in force; publish with --replaces 0")
	}
	return pu, fault.New(op, KindLost, "version %d of %s is in force, not version %d", pu.InForce.Version, pu.InForce.Author, ev.Record.Replaces)
}

// ReadAudit returns the audit entries that the log still has, oldest first.
func ReadAudit(ctx context.Context, log logsvc.Log) ([]audit.Entry, error) {
	const op = "admin.ReadAudit"
	var out []audit.Entry
	var next units.Offset
	for {
		page, err := log.Read(ctx, logsvc.StreamAudit, next, 0)
		if err != nil {
			return nil, fault.Wrap(op, KindUnreachable, err)
		}
		for _, rec := range page.Records {
			var ba audit.Batch
			if json.Unmarshal(rec.Body, &ba) == nil {
				out = append(out, ba.Entries...)
			}
			next = rec.Offset + 1
		}
		if next = max(next, page.First); next >= page.Next {
			return out, nil
		}
	}
}
