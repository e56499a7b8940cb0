package daemon

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"lycheepick/internal/peer/wire"
	"lycheepick/internal/plat/logsvc"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/member"
	"lycheepick/internal/state/table"
)

// logState is what is known of the stream of tables besides its records.
type logState struct {
	retention time.Duration
	// carried is the log's time of the last record with the version in force, on
	// this node's clock.
	carried time.Time
}

const (
	logWait    = 5 * time.Second
	logBackoff = 300 * time.Millisecond
	peerTime   = 2 * time.Second
)

// tableLoop follows the stream of tables.
func (da *Daemon) tableLoop(ctx context.Context) {
	for ctx.Err() == nil {
		da.foldMu.Lock()
		next := da.fold.NextOffset()
		da.foldMu.Unlock()
		page, err := da.logs.Read(ctx, logsvc.StreamTable, next, logWait)
		if err != nil {
			da.log.Debug("log_unreadable", zap.Error(err))
			wait(ctx, jitter(logBackoff))
			continue
		}
		da.foldPage(&page)
		da.restate(ctx)
	}
}

func (da *Daemon) foldPage(page *logsvc.Page) {
	da.foldMu.Lock()
	defer da.foldMu.Unlock()
	da.folded.retention = page.Retention.Std()
	da.fold.SkipTo(page.First)
	for _, rec := range page.Records {
		verdict, tr := da.fold.Read(rec.Offset, rec.Body)
		in := da.fold.InForce()
		if in != nil && tr.Version == in.Version && tr.Hash == in.Hash {
			da.folded.carried = rec.At
		}
		if verdict == table.Lost || verdict == table.Invalid {
			da.log.Info("table_refused", zap.String("verdict", string(verdict)),
				zap.Uint64("version", uint64(tr.Version)), zap.String("author", tr.Author))
		}
	}
	da.install()
}

// install puts the fold's version in force, if it is newer. The caller holds foldMu.
func (da *Daemon) install() {
	in := da.fold.InForce()
	cur := da.table.Load()
	if in == nil || (cur != nil && in.Version <= cur.Version) {
		return
	}
	da.tableAt.CompareAndSwap(0, time.Now().UnixNano())
	da.table.Store(in)
	da.quota.SetTable(in.Index, time.Now())
	da.announce(func(me *member.Member) { me.TableVersion = in.Version })
	da.log.Info("table_in_force", zap.Uint64("version", uint64(in.Version)), zap.String("author", in.Author))
}

// restate repeats the version in force in the log before its record expires. One node
// does it; if two do, no harm is done.
func (da *Daemon) restate(ctx context.Context) {
	if !da.isFirst("restate") {
		return
	}
	da.foldMu.Lock()
	due := da.folded.retention > 0 && table.RestateDue(time.Now(), da.folded.carried, da.folded.retention)
	rec, ok := da.fold.Restate(string(da.set.VM.ID), uuid.NewString())
	da.foldMu.Unlock()
	if !due || !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	if _, err := da.logs.Append(ctx, logsvc.StreamTable, rec); err != nil {
		da.log.Debug("restate_failed", zap.Error(err))
	}
}

// fetchTable asks a peer that has a newer version for it.
func (da *Daemon) fetchTable(ctx context.Context, peer *member.Member) {
	ctx, cancel := context.WithTimeout(ctx, peerTime)
	defer cancel()
	var have units.Version
	if in := da.table.Load(); in != nil {
		have = in.Version
	}
	if peer.TableVersion <= have {
		return
	}
	re, err := da.pool.Peer(ctx, peer.Address).Table(ctx, &wire.TableRequest{NewerThan: uint64(have)})
	if err != nil || units.Version(re.GetVersion()) <= have {
		return
	}
	da.adopt(re)
}

// adopt takes over a version from a peer after the same checks that the fold makes.
func (da *Daemon) adopt(re *wire.TableReply) {
	tab, err := table.Decode(re.GetTable())
	if err != nil || tab.Hash() != re.GetHash() {
		da.log.Warn("table_from_peer_refused", zap.Uint64("version", re.GetVersion()), zap.Error(err))
		return
	}
	in := &table.InForce{
		Version: units.Version(re.GetVersion()), Hash: re.GetHash(), PublishID: re.GetPublishId(), Author: re.GetAuthor(),
		Offset: units.Offset(re.GetOffset()), Index: table.NewIndex(tab), Raw: tab.Encode(),
	}
	da.foldMu.Lock()
	defer da.foldMu.Unlock()
	if da.fold.Adopt(in, units.Offset(re.GetFoldedTo())) {
		da.install()
	}
}

// tableReply returns the version in force for a peer.
func (da *Daemon) tableReply(newerThan units.Version) *wire.TableReply {
	da.foldMu.Lock()
	defer da.foldMu.Unlock()
	in := da.fold.InForce()
	if in == nil || in.Version <= newerThan {
		return &wire.TableReply{}
	}
	return &wire.TableReply{
		Version: uint64(in.Version), Hash: in.Hash, PublishId: in.PublishID, Author: in.Author,
		Offset: int64(in.Offset), FoldedTo: int64(da.fold.FoldedTo()), Table: in.Raw,
	}
}
