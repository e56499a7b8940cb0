package entry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

const (
	// readerCheckPeriod is the interval at which a node checks whether it has to read the store.
	readerCheckPeriod = 100 * time.Millisecond
	// serversReadDelay is the pause between two reads of a list that is behind the stream.
	serversReadDelay = 100 * time.Millisecond
	// storeRetryDelay is the pause after a failed read of the store. For a node on which no other
	// relies it doubles with each failure up to maxStoreRetryDelay: an outage ends for the readers first.
	storeRetryDelay    = 250 * time.Millisecond
	maxStoreRetryDelay = 2 * time.Second
	// listTimeout is the time within which the answer to a listing has to begin, maxListTimeout while the store is
	// slower than that: a node that starts can do nothing without one.
	listTimeout    = 1500 * time.Millisecond
	maxListTimeout = 6 * time.Second
	// restartDelay is the pause before a read that another reader has cancelled is made again.
	restartDelay = 50 * time.Millisecond
)

// mustRead reports whether this node has to read a stream of the store itself now.
func (no *Node) mustRead(st watch.Stream) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.watch.ShouldRead(st, time.Now())
}

// followConfig tails the operators' records and applies each new configuration.
func (no *Node) followConfig(ctx context.Context) {
	next, loaded := units.Offset(-1), false
	var failures int
	for ctx.Err() == nil {
		if loaded && !no.mustRead(watch.Config) {
			next = -1 // Reading on from here later would bring all versions since.
			if !pause.For(ctx, readerCheckPeriod) {
				return
			}
			continue
		}
		stale, err := no.readStore(ctx, "config", func(ctx context.Context) (err error) {
			if next < 0 {
				next, err = no.loadConfig(ctx, !loaded)
			} else {
				next, err = no.readConfig(ctx, next)
			}
			return err
		})
		loaded = loaded || next >= 0
		if !pause.For(ctx, no.retryDelay(stale, err, &failures)) {
			return
		}
	}
}

// retryDelay returns the pause after a read that another reader has cancelled, or that failed for the
// failures-th time in a row; otherwise 0.
func (no *Node) retryDelay(cancelled bool, err error, failures *int) time.Duration {
	switch {
	case cancelled:
		return restartDelay
	case err == nil:
		*failures = 0
		return 0
	}
	*failures++
	no.mu.Lock()
	defer no.mu.Unlock()
	if no.watch.IsReader() {
		return storeRetryDelay
	}
	return min(maxStoreRetryDelay, storeRetryDelay<<min(*failures-1, 8))
}

// listNewest lists a stream for a task of readStore, which hedges it. So it may wait for longer than other calls.
func (no *Node) listNewest(ctx context.Context, na stream.Name) (stream.Listing, error) {
	within, began := no.lists.Limit(), time.Now()
	list, err := no.platform.Store.Newest(ctx, na, within)
	switch took := time.Since(began); {
	case err == nil:
		no.lists.Answered(took)
	case took >= within:
		no.lists.Unanswered(within)
	}
	return list, err
}

// loadConfig reads the newest of the operators' records. isFirst is set until it has succeeded once.
func (no *Node) loadConfig(ctx context.Context, isFirst bool) (units.Offset, error) {
	asked := time.Now()
	list, err := no.listNewest(ctx, no.platform.OperatorStream)
	if err != nil {
		return -1, err
	}
	no.applyRecords(list.Items)
	no.applyOrders(list.Items, list.Era)
	no.dropOrders(&list)
	if isFirst {
		if err := no.readPhases(ctx); err != nil {
			return -1, err
		}
	}
	no.setConfigSynced(asked)
	return list.End, nil
}

func (no *Node) readConfig(ctx context.Context, next units.Offset) (units.Offset, error) {
	wait, asked := no.pollTime(), time.Now()
	page, err := no.platform.Store.Read(ctx, no.platform.OperatorStream, next, wait)
	if fault.Is(err, stream.KindExpired) {
		return -1, nil // Records were dropped; reload the newest of each key, which the store keeps.
	}
	if err != nil {
		return next, err
	}
	var items []stream.Keyed
	for idx, rec := range page.Records {
		if it, ok := no.platform.DecodeRecord(page.From+units.Offset(idx), rec); ok {
			items = append(items, it)
		}
	}
	end := page.From + units.Offset(len(page.Records))
	if end < page.End {
		return -1, nil // The rest may be many versions, of which only the newest matters.
	}
	at := answeredAt(asked, wait, len(page.Records))
	no.applyRecords(items)
	no.applyOrders(items, page.Era)
	no.setConfigSynced(at)
	return end, nil
}

// minReadWait is the shortest time that a read waits for new records.
const minReadWait = 100 * time.Millisecond

// pollTime returns how long the next poll of the configuration may wait for a new version: so long
// that this node's configuration is known to match the store often enough.
func (no *Node) pollTime() time.Duration {
	if no.storeHealth.isLost() {
		return 0 // The first answer shows that the store is back.
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	usual := no.watch.PollTime()
	return max(minReadWait, usual-no.watch.Age(watch.Config, time.Now()))
}

// answeredAt returns a time at which the store had not yet answered a read that was sent at asked,
// whose answer has come now. It may have been on its way for long; only one without records is
// known to have been written after the wait.
func answeredAt(asked time.Time, wait time.Duration, records int) time.Time {
	now, at := time.Now(), asked
	if records == 0 {
		at = at.Add(wait)
	}
	if at.After(now) {
		return now
	}
	return at
}

// applyRecords applies the newest configuration among the operators' records that can be decoded.
func (no *Node) applyRecords(items []stream.Keyed) {
	for _, it := range slices.Backward(items) {
		if it.Key == no.platform.ConfigKey && len(it.Value) > 0 && no.applyConfig(it.Value, "store") {
			return
		}
	}
}

// setConfigSynced records that the configuration matched the store at a time.
func (no *Node) setConfigSynced(at time.Time) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.watch.Synced(watch.Config, at)
}

// applyConfig puts a configuration in force unless the current version is as new. It returns
// false if the configuration can't be decoded.
func (no *Node) applyConfig(raw []byte, source string) bool {
	co, err := no.platform.DecodeConfig(raw)
	if err != nil {
		no.logUnreadable("config_unreadable", source, err, zap.String("source", source))
		return false
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	before := no.config.Load()
	if before.version() >= co.Version {
		return true
	}
	no.relay.SetLimits(time.Now(), co)
	no.registerCorrections(co)
	no.config.Store(newActiveConfig(co, raw))
	no.log.Info("config_in_force", zap.Uint64("config", uint64(co.Version)), zap.Uint64("before", uint64(before.version())),
		zap.String("source", source), zap.Int("routes", len(co.Routes)), zap.Int("bytes", len(raw)), zap.Duration("behind", no.fetch.caughtUp(time.Now(), co.Version)))
	return true
}

// followServers tails the records of backend servers and updates the list of servers.
func (no *Node) followServers(ctx context.Context) {
	loaded := false
	var failures int
	for ctx.Err() == nil {
		if loaded && !no.mustRead(watch.Servers) {
			if !pause.For(ctx, readerCheckPeriod) {
				return
			}
			continue
		}
		stale, err := no.readStore(ctx, "servers", func(ctx context.Context) (err error) {
			if loaded {
				loaded, err = no.readServers(ctx)
			} else {
				loaded, err = no.loadServers(ctx)
			}
			return err
		})
		if !pause.For(ctx, max(serversReadDelay, no.retryDelay(stale, err, &failures))) {
			return
		}
	}
}

func (no *Node) loadServers(ctx context.Context) (bool, error) {
	asked := time.Now()
	list, err := no.listNewest(ctx, no.platform.ServerStream)
	if err != nil {
		return false, err
	}
	no.mu.Lock()
	now := time.Now()
	if list.Era < no.serversEra {
		no.mu.Unlock()
		return false, nil // A peer has told of a later era meanwhile.
	}
	no.enterEra(now, list.Era, "store")
	since := no.watch.SyncedAt(watch.Servers)
	no.setSynced(asked)
	hold := no.removalHold(now)
	listed := map[units.VMID]bool{}
	for _, it := range list.Items {
		listed[units.VMID(it.Key)] = true
		no.foldServer(now, since, it, "store", hold)
	}
	no.servers.Reconcile(now, listed, list.End, func(units.VMID) time.Duration { return hold })
	no.records.reconcile(listed, list.End)
	no.servers.SkipTo(list.End)
	no.mu.Unlock()
	no.serversLoaded.Store(true)
	no.publishServers("store_list")
	return true, nil
}

func (no *Node) readServers(ctx context.Context) (bool, error) {
	no.mu.Lock()
	next, era := no.servers.NextOffset(), no.serversEra
	no.mu.Unlock()
	asked := time.Now()
	page, err := no.platform.Store.Read(ctx, no.platform.ServerStream, next, 0)
	if fault.Is(err, stream.KindExpired) {
		return false, nil
	}
	if err != nil {
		return true, err
	}
	no.mu.Lock()
	if era != no.serversEra {
		no.mu.Unlock()
		return false, nil
	}
	now, since := time.Now(), no.watch.SyncedAt(watch.Servers)
	hold := no.removalHold(now)
	changed := false
	for idx, rec := range page.Records {
		off := page.From + units.Offset(idx)
		it, ok := no.platform.DecodeRecord(off, rec)
		if ok {
			changed = no.foldServer(now, since, it, "store", hold) || changed
		}
	}
	changed = no.servers.ApplyRenewals(now) || changed
	end := page.From + units.Offset(len(page.Records))
	no.servers.SkipTo(end)
	if end >= page.End { // The list is up to date only if the page reaches the end of the stream.
		no.setSynced(asked)
	}
	no.mu.Unlock()
	if changed {
		no.publishServers("store")
	}
	return true, nil
}

// enterEra starts the offsets of server records anew if the store has come back from an older
// copy since they were read. The caller holds mu.
func (no *Node) enterEra(now time.Time, era units.Era, source string) {
	if era <= no.serversEra {
		return
	}
	if no.servers.NextOffset() > 0 {
		no.servers.Restart(now)
		no.records = newRecords()
		no.log.Warn("store_restored", zap.Int64("era", int64(era)), zap.String("source", source))
		select {
		case no.restored <- struct{}{}:
		default:
		}
	}
	no.serversEra, no.eraSeenAt = era, now
}

// removalHold returns how long the removals among records that were just read from the store
// are held back. The caller holds mu.
func (no *Node) removalHold(now time.Time) time.Duration {
	no.servers.StoreUp(now) // Records that expired in an outage are read in the first page after it.
	return no.servers.GraceLeft(now)
}

// setSynced records that the list of servers matched the store at a time. The caller holds mu.
func (no *Node) setSynced(at time.Time) {
	if at.Sub(no.watch.SyncedAt(watch.Servers)) > no.servers.ShortestExpiry() {
		no.steadySince = at
	}
	no.watch.Synced(watch.Servers, at)
	no.relay.SetSynced(no.watch.SyncedAt(watch.Servers))
}

// foldServer folds one server record, which was written later than since, and reports whether the
// list changed. hold is how long a removal is held back. The caller holds mu.
func (no *Node) foldServer(now, since time.Time, it stream.Keyed, source string, hold time.Duration) bool {
	id := units.VMID(it.Key)
	if no.records.isOld(it) {
		return false
	}
	if len(it.Value) == 0 {
		no.records.put(it, true)
		if no.servers.Remove(now, it.Offset, id, hold) {
			no.log.Info("server_removed", zap.String("server", it.Key), zap.Int64("offset", int64(it.Offset)), zap.String("source", source))
			return true
		}
		if left := no.servers.HeldBack(now, id); left > 0 {
			no.log.Info("removal_held_back", zap.String("server", it.Key), zap.Int64("offset", int64(it.Offset)), zap.String("source", source),
				zap.Duration("left", left), zap.Duration("since_recovery", no.servers.SinceRecovery(now)))
		}
		return false
	}
	st, err := no.platform.DecodeServer(it.Value)
	if err != nil {
		no.logUnreadable("server_entry_unreadable", it.Key, err, zap.String("server", it.Key), zap.Int64("offset", int64(it.Offset)))
		return false
	}
	no.servers.Renewed(it.Offset, id)
	changed := no.servers.Put(now, since, it.Offset, id, st)
	no.records.put(it, changed)
	return changed
}

// publishServers hands the current list of servers to the relay.
func (no *Node) publishServers(source string) {
	no.mu.Lock()
	list := no.servers.List()
	next := no.servers.NextOffset()
	no.relay.SetServers(time.Now(), list)
	no.mu.Unlock()
	draining := 0
	for _, sv := range list {
		if sv.Draining {
			draining++
		}
	}
	no.draining.Store(int64(draining))
	no.log.Info("servers_changed", zap.Int("servers", len(list)), zap.Int("draining", draining),
		zap.Int64("offset", int64(next)), zap.String("source", source))
}
