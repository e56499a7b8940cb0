package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

const (
	// configWait is how long a read of the configuration's stream waits for a record, and
	// serversWait that of the list of servers. They bound the time until a
	// store that has fallen silent is noticed where no peer tells. What a reader knows is as
	// old as its last answer, so serversWait is under the patience of those that it tells.
	configWait  = 4 * time.Second
	serversWait = 800 * time.Millisecond
	// lookEvery is the time between two looks of a node that need not read at whether it has
	// to.
	lookEvery = 100 * time.Millisecond
	// serversPause gathers the records of several servers in one read.
	serversPause = 100 * time.Millisecond
	// retryPause is the pause after a call to the store that failed.
	retryPause = 250 * time.Millisecond
)

// mustRead tells whether this node has to read the store's streams itself.
func (no *Node) mustRead() bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.watch.ShouldRead(time.Now())
}

// followConfig keeps the configuration in force up to date.
func (no *Node) followConfig(ctx context.Context) {
	next := units.Offset(-1)
	for ctx.Err() == nil {
		if next >= 0 && !no.mustRead() {
			if !pause.For(ctx, lookEvery) {
				return
			}
			continue
		}
		stale, err := no.read(ctx, "config", func(ctx context.Context) (err error) {
			if next < 0 {
				next, err = no.loadConfig(ctx)
			} else {
				next, err = no.readConfig(ctx, next)
			}
			return err
		})
		if (stale || err != nil) && !pause.For(ctx, retryPause) {
			return
		}
	}
}

func (no *Node) loadConfig(ctx context.Context) (units.Offset, error) {
	items, end, err := no.pf.Store.Newest(ctx, no.pf.Operator)
	if err != nil {
		return -1, err
	}
	for _, it := range items {
		no.takeRecord(it, "store")
	}
	return end, nil
}

func (no *Node) readConfig(ctx context.Context, next units.Offset) (units.Offset, error) {
	wait := no.contact.wait(configWait)
	page, err := no.pf.Store.Read(ctx, no.pf.Operator, next, wait)
	if fault.Is(err, stream.KindExpired) {
		return -1, nil // Records were dropped: the newest of each key are still there.
	}
	if err != nil {
		return next, err
	}
	for idx, rec := range page.Records {
		off := page.From + units.Offset(idx)
		if it, ok := no.pf.Split(off, rec); ok {
			no.takeRecord(it, "store")
		}
	}
	return page.From + units.Offset(len(page.Records)), nil
}

func (no *Node) takeRecord(it stream.Keyed, source string) {
	if it.Key == no.pf.ConfigKey && len(it.Value) > 0 {
		no.takeConfig(it.Value, source)
	}
}

// takeConfig puts a configuration in force unless a later one is.
func (no *Node) takeConfig(raw []byte, source string) {
	co, err := no.pf.Config(raw)
	if err != nil {
		no.log.Warn("config_unreadable", zap.String("source", source), zap.Error(err))
		return
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	before := no.config.Load()
	if before != nil && before.Version >= co.Version {
		return
	}
	no.relay.SetLimits(time.Now(), co)
	no.config.Store(&inForce{Config: co, raw: raw})
	var was units.Version
	if before != nil {
		was = before.Version
	}
	no.log.Info("config_in_force", zap.Uint64("config", uint64(co.Version)), zap.Uint64("before", uint64(was)),
		zap.String("source", source), zap.Int("routes", len(co.Routes)))
}

// followServers keeps the list of backend servers up to date.
func (no *Node) followServers(ctx context.Context) {
	loaded := false
	for ctx.Err() == nil {
		if loaded && !no.mustRead() {
			if !pause.For(ctx, lookEvery) {
				return
			}
			continue
		}
		stale, err := no.read(ctx, "servers", func(ctx context.Context) (err error) {
			if loaded {
				loaded, err = no.readServers(ctx)
			} else {
				loaded, err = no.loadServers(ctx)
			}
			return err
		})
		rest := serversPause
		if stale || err != nil {
			rest = retryPause
		}
		if !pause.For(ctx, rest) {
			return
		}
	}
}

func (no *Node) loadServers(ctx context.Context) (bool, error) {
	asked := time.Now()
	items, end, err := no.pf.Store.Newest(ctx, no.pf.Servers)
	if err != nil {
		return false, err
	}
	no.mu.Lock()
	now := time.Now()
	no.watch.Synced(asked)
	listed := map[units.VMID]bool{}
	for _, it := range items {
		listed[units.VMID(it.Key)] = true
		no.foldServer(now, it)
	}
	no.servers.Missing(now, listed)
	no.servers.Skip(end)
	no.mu.Unlock()
	no.listed.Store(true)
	no.publishServers("store_list")
	return true, nil
}

func (no *Node) readServers(ctx context.Context) (bool, error) {
	no.mu.Lock()
	next := no.servers.Next()
	no.mu.Unlock()
	wait := no.contact.wait(serversWait)
	page, err := no.pf.Store.Read(ctx, no.pf.Servers, next, wait)
	if fault.Is(err, stream.KindExpired) {
		return false, nil
	}
	if err != nil {
		return true, err
	}
	no.mu.Lock()
	now := time.Now()
	changed := false
	for idx, rec := range page.Records {
		off := page.From + units.Offset(idx)
		it, ok := no.pf.Split(off, rec)
		if ok {
			changed = no.foldServer(now, it) || changed
		}
	}
	end := page.From + units.Offset(len(page.Records))
	no.servers.Skip(end)
	if end >= page.End { // A page may end before the stream does.
		no.watch.Synced(now)
	}
	no.mu.Unlock()
	if changed {
		no.publishServers("store")
	}
	return true, nil
}

// foldServer folds one record; the caller holds the lock.
func (no *Node) foldServer(now time.Time, it stream.Keyed) bool {
	id := units.VMID(it.Key)
	if no.records.has(it) {
		return false
	}
	if len(it.Value) == 0 {
		no.records.put(it, true)
		if no.servers.Remove(now, it.Offset, id) {
			no.log.Info("server_removed", zap.String("server", it.Key), zap.Int64("offset", int64(it.Offset)))
			return true
		}
		return false
	}
	ac, err := no.pf.Server(it.Value)
	if err != nil {
		no.log.Warn("server_entry_unreadable", zap.String("server", it.Key), zap.Int64("offset", int64(it.Offset)), zap.Error(err))
		return false
	}
	changed := no.servers.Put(now, it.Offset, id, ac)
	no.records.put(it, changed)
	return changed
}

// publishServers makes the list of servers known to the request path.
func (no *Node) publishServers(source string) {
	no.mu.Lock()
	list := no.servers.List()
	next := no.servers.Next()
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
