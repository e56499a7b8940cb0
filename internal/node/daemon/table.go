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

// tableStream is the state of the table stream apart from its folded records.
type tableStream struct {
	retention time.Duration
	// lastRecordAt is the log's time of the latest record with the version in force. It is
	// compared with this node's clock.
	lastRecordAt time.Time
}

const (
	logReadWait   = 5 * time.Second
	logRetryDelay = 300 * time.Millisecond
	peerTimeout   = 2 * time.Second
)

// tableLoop tails the table stream and restates the version in force when that is due.
func (da *Daemon) tableLoop(ctx context.Context) {
	for ctx.Err() == nil {
		da.foldMu.Lock()
		next := da.fold.NextOffset()
		da.foldMu.Unlock()
		page, err := da.logService.Read(ctx, logsvc.StreamTable, next, logReadWait)
		if err != nil {
			da.log.Debug("log_unreadable", zap.Error(err))
			sleep(ctx, jitter(logRetryDelay))
			continue
		}
		da.foldPage(&page)
		da.restate(ctx)
	}
}

func (da *Daemon) foldPage(page *logsvc.Page) {
	da.foldMu.Lock()
	defer da.foldMu.Unlock()
	da.tableStream.retention = page.Retention.Std()
	da.fold.SkipTo(page.First)
	for _, rec := range page.Records {
		verdict, tr := da.fold.Read(rec.Offset, rec.Body)
		in := da.fold.InForce()
		if in != nil && tr.Version == in.Version && tr.Hash == in.Hash {
			da.tableStream.lastRecordAt = rec.At
		}
		if verdict == table.Lost || verdict == table.Invalid {
			da.log.Info("table_refused", zap.String("verdict", string(verdict)),
				zap.Uint64("version", uint64(tr.Version)), zap.String("author", tr.Author))
		}
	}
	da.install()
}

// install puts the fold's version in force if it is newer, and announces it. The caller holds
// foldMu.
func (da *Daemon) install() {
	in := da.fold.InForce()
	cur := da.table.Load()
	if in == nil || (cur != nil && in.Version <= cur.Version) {
		return
	}
	da.firstTableAt.CompareAndSwap(0, time.Now().UnixNano())
	da.table.Store(in)
	da.quota.SetTable(in.Index, time.Now())
	da.announce(func(me *member.Member) { me.TableVersion = in.Version })
	da.log.Info("table_in_force", zap.Uint64("version", uint64(in.Version)), zap.String("author", in.Author))
}

// restate appends the version in force to the log again before its record expires. The first
// ranked node does so; it is harmless if two nodes do.
func (da *Daemon) restate(ctx context.Context) {
	if !da.isFirstRanked("restate") {
		return
	}
	da.foldMu.Lock()
	due := da.tableStream.retention > 0 && table.RestateDue(time.Now(), da.tableStream.lastRecordAt, da.tableStream.retention)
	rec, ok := da.fold.Restate(string(da.settings.VM.ID), uuid.NewString())
	da.foldMu.Unlock()
	if !due || !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if _, err := da.logService.Append(ctx, logsvc.StreamTable, rec); err != nil {
		da.log.Debug("restate_failed", zap.Error(err))
	}
}

// fetchTable fetches the table from a peer with a newer version.
func (da *Daemon) fetchTable(ctx context.Context, peer *member.Member) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var have units.Version
	if in := da.table.Load(); in != nil {
		have = in.Version
	}
	if peer.TableVersion <= have {
		return
	}
	re, err := da.peerPool.Peer(ctx, peer.Address).Table(ctx, &wire.TableRequest{NewerThan: uint64(have)})
	if err != nil || units.Version(re.GetVersion()) <= have {
		return
	}
	da.adopt(re)
}

// adopt installs a version received from a peer, after the same checks as the fold makes.
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

// tableReply returns the version in force if it is newer than newerThan, otherwise an empty reply.
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
