package relay

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Drain makes the relay refuse requests that could still be in progress when the node stops.
func (rl *Relay) Drain(de admit.Departure) { rl.departure.Store(&de) }

// CloseAtIdle makes the relay refuse all requests as soon as none is in progress, when the channel is closed.
func (rl *Relay) CloseAtIdle() <-chan struct{} { return rl.requests.CloseAtIdle() }

// Stop refuses all requests and ends those in progress. Those without an answer yet get one that says whether they
// may have run. The channel is closed once none is in progress.
func (rl *Relay) Stop() <-chan struct{} {
	ended := rl.requests.Close()
	rl.stop()
	return ended
}

// outlastsNode reports whether the node leaves and may stop before the request has ended.
func (rl *Relay) outlastsNode(rq *Request) bool { return rl.departure.Load().Outlasts(rq.Deadline) }

// belongsElsewhere reports whether another node has to serve the request: this one may stop before it has ended, and it
// has not run.
func (ru *run) belongsElsewhere() bool { return ru.machine.HasNotRun() && ru.rl.outlastsNode(ru.rq) }

// leave ends a request that belongs elsewhere.
func (ru *run) leave() {
	ru.machine.Abort()
	ru.rl.refuseLeaving(ru.rq, ru.sink)
}

// withheld returns a function that reports, while an attempt is in progress, whether the request belonged elsewhere
// without it.
func (ru *run) withheld() func() bool {
	hasNotRun := ru.machine.HasNotRun()
	return func() bool { return hasNotRun && ru.rl.outlastsNode(ru.rq) }
}

// enter takes a request, for which requests.Leave has to be called at its end. If another node has to serve it,
// enter refuses it and returns false.
func (rl *Relay) enter(rq *Request, sink Sink) bool {
	taken := rl.requests.Enter()
	if taken && !rl.outlastsNode(rq) {
		return true
	}
	if taken {
		rl.requests.Leave()
	}
	rl.refuseLeaving(rq, sink)
	return false
}

func (rl *Relay) refuseLeaving(rq *Request, sink Sink) {
	rl.refuse(rq, sink, fasthttp.StatusServiceUnavailable, "this node is leaving", drainRetryAfter)
}

// recordDuration records how long a request took that has got its whole answer, or none in time.
func (rl *Relay) recordDuration(rq *Request) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	du := rl.durations[rq.Route.Name]
	if du == nil {
		du = &admit.Durations{}
		rl.durations[rq.Route.Name] = du
	}
	du.Observe(time.Since(rq.Arrived))
}

// deliverer is a Sink that knows how much of the response its caller has received.
type deliverer interface {
	// Delivered returns the bytes of the response, header and framing included, that have arrived at
	// the caller's machine.
	Delivered() units.Bytes
}

// progress is how far a response has come, from its server and to its caller.
type progress struct {
	// received is what the servers have sent of bodies, and delivered the last event that was written to the
	// caller.
	received  units.Bytes
	delivered string
}

// countedBody counts what is read of the body of a response.
type countedBody struct {
	io.Reader
	count *units.Bytes
}

// Read implements io.Reader.
func (cb *countedBody) Read(buf []byte) (int, error) {
	num, err := cb.Reader.Read(buf)
	*cb.count += units.Bytes(num)
	return num, err
}

// logCut logs a request that a server was at work on as the node stopped. Times are since the signal,
// negative before it.
func (ru *run) logCut(err error) {
	de := ru.rl.departure.Load()
	if de == nil || !fault.Is(err, KindStopping) {
		return
	}
	ru.rl.Counts.Cut.Add(1)
	rq := ru.rq
	ru.rl.mu.Lock()
	expected := ru.rl.durations[rq.Route.Name].Expected(rq.Route.Stream)
	ru.rl.mu.Unlock()
	delivered := units.Bytes(0)
	if dl, ok := ru.sink.(deliverer); ok {
		delivered = dl.Delivered()
	}
	ru.rl.Log.Warn("request_cut", zap.String("request", string(rq.ID)), zap.String("route", rq.Route.Name),
		zap.Duration("arrived", rq.Arrived.Sub(de.SignalAt)), zap.Duration("cut", time.Since(de.SignalAt)),
		zap.Duration("deadline", rq.Deadline.Sub(de.SignalAt)), zap.Duration("expected", expected),
		zap.Bool("began", !ru.beganAt.IsZero()), zap.String("server", string(ru.last.Server.ID)),
		zap.Int64("server_bytes", int64(ru.received)), zap.String("server_event", ru.lastEvent),
		zap.Int64("caller_bytes", int64(delivered)), zap.String("caller_event", ru.delivered))
}
