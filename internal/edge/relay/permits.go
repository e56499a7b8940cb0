package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/server"
)

// maxAsks is the number of servers whose permits are asked for until a request is refused. A
// request that can go to a server without a limit asks once.
const maxAsks = 3

func (rl *Relay) logServerLimit(id units.VMID, li permit.Limit, source string) {
	rl.Log.Info("server_limit", zap.String("server", string(id)), zap.Bool("named", li.Named),
		zap.Float64("rate", float64(li.Rate)), zap.String("source", source))
}

// ServerLimits returns the limits of a service's servers that name one.
func (rl *Relay) ServerLimits(id units.TargetID) []units.RequestsPerSecond {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se := rl.fleets[id]
	if se == nil {
		return nil
	}
	var out []units.RequestsPerSecond
	for _, sv := range se.fleet.List() {
		if li := rl.permits.Limit(noticeServer(sv)); li.Named && !sv.Draining {
			out = append(out, li.Rate)
		}
	}
	return out
}

// isLimited reports whether a server names a limit.
func (rl *Relay) isLimited(sv *server.Server) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.permits.Limit(noticeServer(sv)).Named
}

// IssuePermits answers a request for permits that this node issues.
func (rl *Relay) IssuePermits(now time.Time, rq permit.Request, share float64) permit.Grant {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	gr := rl.permits.Issue(now, rq, share)
	rl.Counts.PermitsIssued.Add(int64(gr.Permits))
	return gr
}

// askPermits asks for permits of a server, unless that is in progress, in which case it waits for
// the answer if wait is set.
func (rl *Relay) askPermits(ctx context.Context, sv notice.Server, wait bool) {
	rl.mu.Lock()
	pending := rl.asks[sv]
	if pending == nil {
		done := make(chan struct{})
		rl.asks[sv] = done
		rq := rl.permits.Request(time.Now(), sv)
		rl.mu.Unlock()
		rl.receivePermits(ctx, rq)
		rl.mu.Lock()
		delete(rl.asks, sv)
		rl.mu.Unlock()
		close(done)
		return
	}
	rl.mu.Unlock()
	if !wait {
		return
	}
	select {
	case <-pending:
	case <-ctx.Done():
	}
}

func (rl *Relay) receivePermits(ctx context.Context, rq permit.Request) {
	rl.Counts.PermitsAsked.Add(1)
	gr, err := rl.AskPermits(ctx, rq)
	now := time.Now()
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if err != nil {
		rl.Counts.PermitsFailed.Add(1)
		rl.Log.Debug("permits_not_received", zap.String("server", string(rq.ID)), zap.Error(err))
		rl.permits.Failed(now, rq.Server)
		return
	}
	rl.permits.Receive(now, gr)
}

// permitRetryAfter returns when a request may come back that was refused since all servers of its
// service name limits. It returns 0 if no server names one.
func (rl *Relay) permitRetryAfter(now time.Time, id units.TargetID) time.Duration {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se := rl.service(id)
	rate := units.RequestsPerSecond(0)
	limited := false
	for _, sv := range se.fleet.List() {
		if li := rl.permits.Limit(noticeServer(sv)); li.Named && !sv.Draining {
			limited, rate = true, rate+li.Rate
		}
	}
	if !limited {
		return 0
	}
	return se.permitRetry.Next(now, float64(rate)/float64(rl.pool.Peers()+1))
}

// acquire asks for permits of the server that a request would go to with one. It returns true if
// a server should be chosen again.
func (ru *run) acquire(ctx context.Context, ch *place.Choice, found bool) bool {
	if ch.Held == nil || ru.asks >= maxAsks || (found && ru.asks > 0) {
		return false
	}
	ru.asks++
	ru.rl.askPermits(ctx, noticeServer(ch.Held), !found)
	return true
}
