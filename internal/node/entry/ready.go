package entry

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/door"
	"lycheepick/internal/node/meter"
	"lycheepick/internal/rule/watch"
)

// readyServer returns the server for the balancer's readiness checks: 200 if the node is
// ready, otherwise 503.
func (no *Node) readyServer() *door.Server {
	return &door.Server{Limits: no.limits, Handler: func(_ context.Context, _ *door.Request, an *door.Answer) {
		status := fasthttp.StatusOK
		if !no.isReady() {
			status = fasthttp.StatusServiceUnavailable
		}
		an.Refuse(status, "", 0)
		if status != fasthttp.StatusOK && no.leaving.Load() {
			no.rotation.checked(time.Now())
		}
	}}
}

// isReady reports whether the node can serve requests and accepts connections of callers.
func (no *Node) isReady() bool { return no.canServe() && no.isAccepting() }

// canServe reports whether the node is not leaving and has both a configuration and the list
// of servers.
func (no *Node) canServe() bool {
	return !no.leaving.Load() && no.config.Load() != nil && no.serversLoaded.Load()
}

// serveMetrics serves the metrics in Prometheus text format until ctx ends.
func (no *Node) serveMetrics(ctx context.Context) {
	ls, err := listen(no.settings.Listen.Metrics)
	if err != nil {
		no.logListenerError("metrics", err)
		return
	}
	sv := &door.Server{Limits: no.limits, Handler: func(_ context.Context, _ *door.Request, an *door.Answer) {
		text, contentType, err := meter.Text(no.registry)
		if err != nil {
			an.Refuse(fasthttp.StatusInternalServerError, err.Error(), 0)
			return
		}
		var hd fasthttp.ResponseHeader
		hd.SetContentType(contentType)
		// The error is ignored: a scraper that disconnected scrapes again.
		_ = an.Respond(&hd, text)
	}}
	no.logListenerError("metrics", sv.Serve(ctx, ls))
}

func (no *Node) registerMetrics() {
	co := &no.relay.Counts
	for name, load := range map[string]func() int64{
		"requests_received_total": co.Received.Load, "requests_done_total": co.Done.Load,
		"requests_not_run_total": co.NotRun.Load, "requests_unknown_total": co.Unknown.Load,
		"requests_gone_total": co.Gone.Load, "requests_cut_total": co.Cut.Load, "requests_limited_total": co.Limited.Load,
		"requests_overload_total": co.Overload.Load, "requests_no_server_total": co.NoServer.Load,
		"requests_repeated_total": co.Retries.Load, "streams_resumed_total": co.Resumes.Load,
		"attempts_total": co.Sent.Load, "attempts_refused_total": co.Refused.Load,
		"requests_no_permit_total": co.NoPermit.Load, "requests_blocked_total": co.Blocked.Load, "requests_no_origin_total": co.NoOrigin.Load, "requests_all_resting_total": co.AllResting.Load, "retry_waits_total": co.RetryWaits.Load, "rests_total": co.Rests.Load, "late_answers_total": co.Late.Load, "answers_passed_on_total": co.PassedOn.Load,
		"requests_left_zone_total": co.LeftZone.Load, "zone_spill_permille": func() int64 { return int64(1000 * no.relay.Spilled()) },
		"servers_resting":            func() int64 { return no.relay.Resting(time.Now()) },
		"server_loads_invalid_total": co.BadLoads.Load, "services_paced": no.relay.PacedServices,
		"prediction_error_ms":  func() int64 { return no.relay.PredictionError().Milliseconds() },
		"permits_issued_total": co.PermitsIssued.Load,
		"permits_asked_total":  co.PermitsAsked.Load, "permits_failed_total": co.PermitsFailed.Load,
		"requests_detoured_total": co.Detoured.Load, "requests_for_peers_total": co.ForPeers.Load,
		"config_version": func() int64 {
			if fo := no.config.Load(); fo != nil {
				return int64(fo.Version)
			}
			return 0
		},
		"servers_age_ms": func() int64 {
			no.mu.Lock()
			defer no.mu.Unlock()
			return no.watch.Age(watch.Servers, time.Now()).Milliseconds()
		},
		"config_age_ms": func() int64 {
			no.mu.Lock()
			defer no.mu.Unlock()
			return no.watch.Age(watch.Config, time.Now()).Milliseconds()
		},
		"servers_draining": no.draining.Load, "accepts_failed_total": no.acceptErrors.count,
		"rollouts_running":   no.rolloutsRunning,
		"rollouts_known":     func() int64 { return int64(len(no.orderedServices())) },
		"services_unreached": func() int64 { return int64(len(no.relay.Unreached())) },
		"reads_store": func() int64 {
			no.mu.Lock()
			defer no.mu.Unlock()
			if no.watch.IsReader() {
				return 1
			}
			return 0
		},
	} {
		// Registration fails only for duplicate names, and there are none.
		_ = no.registry.Register(name, metrics.NewFunctionalGauge(load))
	}
	_ = no.registry.Register("first_byte_us", no.firstByte)
	no.registerAdmissions()
}
