package daemon

import (
	"runtime"

	metrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"lycheepick/internal/node/meter"
	"lycheepick/internal/state/member"
)

// meters holds the node's metrics. The values are read from their sources at each scrape.
type meters struct{ registry metrics.Registry }

func newMeters(da *Daemon) *meters {
	me := &meters{registry: metrics.NewRegistry()}
	co := &da.flow.Counts
	for name, read := range map[string]func() int64{
		"requests_accepted": co.Accepted.Load, "requests_done": co.Done.Load,
		"requests_not_run": co.NotRun.Load, "requests_unknown": co.Unknown.Load,
		"requests_in_flight": co.InFlight.Load, "retries": co.Retries.Load,
		"kv_moves": co.Moves.Load, "resumes": co.Resumes.Load,
		"prompt_tokens": co.Prompt.Load, "recomputed_tokens": co.Recomputed.Load, "generated_tokens": co.Generated.Load,
		"table_version": da.tableVersion, "members": da.memberCount, "nodes_alive": da.aliveCount, "servers_usable": da.usableCount,
		"heap_bytes": func() int64 { return int64(memStats().HeapAlloc) }, "allocations": func() int64 { return int64(memStats().Mallocs) }, "goroutines": func() int64 { return int64(runtime.NumGoroutine()) },
	} {
		_ = me.registry.Register(name, metrics.NewFunctionalGauge(read))
	}
	return me
}

// Metrics implements serve.Node.
func (da *Daemon) Metrics() (text []byte, contentType string) {
	text, contentType, err := meter.Text(da.meters.registry)
	if err != nil {
		da.log.Warn("metrics_failed", zap.Error(err))
	}
	return text, contentType
}

func (da *Daemon) tableVersion() int64 {
	if in := da.table.Load(); in != nil {
		return int64(in.Version)
	}
	return 0
}

func (da *Daemon) memberCount() int64 { return int64(len(da.members())) }

func (da *Daemon) aliveCount() int64 {
	count := int64(0)
	for _, me := range da.members() {
		if isLiveNode(&me) {
			count++
		}
	}
	return count
}

func (da *Daemon) usableCount() int64 {
	sn := da.fleet.Snapshot()
	count := int64(0)
	for _, me := range sn.Members() {
		if me.Role == member.RoleNode {
			continue
		}
		if re := sn.Server(me.VM); re != nil && re.Usable {
			count++
		}
	}
	return count
}

func memStats() *runtime.MemStats {
	ms := &runtime.MemStats{}
	runtime.ReadMemStats(ms)
	return ms
}
