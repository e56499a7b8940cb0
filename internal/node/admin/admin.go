// Package admin does what the operators' command line asks for: it reads and publishes
// versions of the table through the log service, and asks nodes what they know.
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
	// KindLost marks a publish that another one came before.
	KindLost Kind = "lost"
	// KindUnreachable marks a platform or node that can't be reached.
	KindUnreachable Kind = "unreachable"
	// KindUndecided marks a publish of which it is not known whether it stands in the log.
	KindUndecided Kind = "undecided"
	// KindNotInForce marks a version that some live node does not have yet.
	KindNotInForce Kind = "not_in_force"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Event is one record of the stream of tables and what the fold made of it.
type Event struct {
	At      time.Time
	Offset  units.Offset
	Verdict table.FoldResult
	Record  table.Record
}

// History is the stream of tables as far as the log still has it.
type History struct {
	Fold   *table.Fold
	Events []Event
}

// ReadTables reads the stream of tables to its end.
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

// find returns what became of a publish.
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
	// Winner is who came first, for a publish that lost.
	Winner *table.InForce
}

const (
	searchTime  = 10 * time.Second
	searchPause = 300 * time.Millisecond
)

// Publish appends a version that replaces version replaces, and finds out whether it
// was accepted, also if the append was not answered.
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
	ctx, cancel := context.WithTimeout(ctx, searchTime)
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
		case <-time.After(searchPause):
		}
	}
}

func judge(hi *History, ev Event) (*Publication, error) {
	const op = "admin.judge"
	pu := &Publication{Version: ev.Record.Version, At: ev.At, Winner: hi.Fold.InForce()}
	if ev.Verdict == table.Accepted {
		return pu, nil
	}
	if pu.Winner == nil {
		return pu, fault.New(op, KindLost, "no version is in force; publish with --replaces 0")
	}
	return pu, fault.New(op, KindLost, "version %d of %s is in force, not version %d", pu.Winner.Version, pu.Winner.Author, ev.Record.Replaces)
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
