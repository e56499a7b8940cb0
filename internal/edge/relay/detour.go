package relay

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/rule/crash"
	"lycheepick/internal/rule/detour"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/answer"
	"lycheepick/internal/state/server"
)

// Detours sends requests through other nodes.
type Detours interface {
	// Forward sends a request through another node and reads the response header. The error is
	// of KindNoDetour if no node could take it, of KindPathBack if none had when the path was back,
	// otherwise of KindBroken.
	Forward(ctx context.Context, fw *Forward) (*Reply, error)
}

// Forward is a request that goes through another node.
type Forward struct {
	ID units.RequestID
	// Config is the version of the configuration by which the service was chosen.
	Config  units.Version
	Service units.TargetID
	// Header and Body are the client's request as it was read.
	Header, Body      []byte
	Arrived, Deadline time.Time
	// Attempts is the number of servers that may run the request.
	Attempts int
	// LastEvent is the last event that the caller has of a stream, and Version the software
	// version that the server must have, nil for any.
	LastEvent string
	Version   *units.SoftwareVersion
	// AvoidsTarget is set once an attempt at the target version of a rollout has failed.
	AvoidsTarget bool
	// Counted is set if the request is in the demand of the node that forwards it.
	Counted bool
	// Withheld reports whether the request must not be sent any more, since this node is leaving. It has to be
	// checked right before the other node may run it, where it is nil.
	Withheld func() bool
	// Back reports whether this node reaches the servers again, nil if that is not known.
	Back func() bool
}

// Refusal is the end of a forwarded request without a response.
type Refusal struct {
	Status     int
	Reason     string
	RetryAfter time.Duration
	NotRun     bool
}

// Forwardable is an Exchange whose request can go through another node.
type Forwardable interface {
	// Raw returns the client's request header and body as they were read.
	Raw() (header, body []byte)
	// Notices returns what a response says of its server.
	Notices(hd *fasthttp.ResponseHeader) (permit.Limit, notice.Leaving)
}

// ServedSink is a Sink that is told which server responds.
type ServedSink interface {
	Sink
	Served(sv *server.Server)
}

const (
	// pathCheckPeriod is the interval at which the paths to the servers are checked.
	pathCheckPeriod = 50 * time.Millisecond
	// lossHoldTime is how long losses at several servers are held back, in which a cut path
	// would be noticed.
	lossHoldTime = 600 * time.Millisecond
	maxHeldLoss  = 64
	// forwardFirstByteTimeout is how long a retryable request waits for the response to come
	// through another node.
	forwardFirstByteTimeout = 1500 * time.Millisecond
)

// servicePath is the network path to the servers of a service.
type servicePath struct {
	path *detour.Path
	// dial ends when the path is found to be cut. abort ends it.
	dial  context.Context
	abort context.CancelFunc
	// returnedAt is when the path last worked again.
	returnedAt time.Time
	// held are losses that may be due to the path.
	held []heldLoss
}

// heldLoss is an attempt that may have been lost to the path and not to its server.
type heldLoss struct {
	server notice.Server
	loss   crash.Loss
}

func newServicePath() servicePath {
	sp := servicePath{path: detour.NewPath()}
	sp.dial, sp.abort = context.WithCancel(context.Background())
	return sp
}

// blamesPath reports whether the failure of an attempt sent at a time tells nothing of its
// server, since the path was cut meanwhile.
func (sp *servicePath) blamesPath(sent time.Time) bool {
	return sp.path.State() == detour.Cut || !sp.returnedAt.IsZero() && sent.Before(sp.returnedAt)
}

// IsCut reports whether this node's path to the servers of a service is cut.
func (rl *Relay) IsCut(id units.TargetID) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se := rl.fleets[id]
	return se != nil && se.path.State() == detour.Cut
}

// Unreached returns the services whose servers this node can't reach.
func (rl *Relay) Unreached() (out []units.TargetID) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for id, se := range rl.fleets {
		if se.path.State() == detour.Cut {
			out = append(out, id)
		}
	}
	return out
}

// WatchPaths checks the paths to the servers until ctx ends.
func (rl *Relay) WatchPaths(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	for rl.Probe != nil && pause.For(ctx, pathCheckPeriod) {
		for _, pr := range rl.checkPaths(time.Now()) {
			wg.Go(func() { rl.probe(ctx, pr.Service, pr) })
		}
	}
}

// checkPaths returns the servers to probe now.
func (rl *Relay) checkPaths(now time.Time) (probes []server.Server) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	isCut := false
	for _, se := range rl.fleets {
		isCut = isCut || se.path.State() == detour.Cut
	}
	for _, se := range rl.fleets {
		rl.releaseLosses(now, se)
		if isCut {
			se.path.Doubt(now)
		}
		for _, sv := range se.path.Next(now, se.fleet.Open(), func(du time.Duration) int { return se.fleet.Waiting(now, du) }) {
			if target := se.fleet.Server(sv); target != nil {
				probes = append(probes, *target)
			}
		}
	}
	return probes
}

func (rl *Relay) probe(ctx context.Context, id units.TargetID, sv server.Server) {
	ctx, cancel := context.WithTimeout(ctx, detour.ProbeTimeout)
	defer cancel()
	err := rl.Probe(ctx, &sv)
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := time.Now()
	se := rl.service(id)
	st, changed := se.path.Probed(now, err == nil)
	switch {
	case !changed:
	case st == detour.Cut:
		se.held = nil
		se.fleet.Forgive(now)
		rl.rests.Forgive()
		se.abort()
		rl.Log.Warn("path_cut", zap.String("service", string(id)), zap.Bool("open_connections", se.path.UsesOpenConnections()), zap.Error(err))
	case se.dial.Err() != nil: // The path was cut, and works again.
		rl.Log.Info("path_back", zap.String("service", string(id)), zap.Duration("cut", now.Sub(se.path.CutAt())))
		se.returnedAt = now
		se.fleet.Forgive(now)
		rl.rests.Forgive()
		se.dial, se.abort = context.WithCancel(context.Background())
	}
}

// pathAnswered records that a server of the service answered.
func (rl *Relay) pathAnswered(id units.TargetID) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.service(id).path.Answered(time.Now())
}

// pathFailed records an attempt that got no answer, or no connection.
func (rl *Relay) pathFailed(id units.TargetID, pi *picked, err error) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se, now := rl.service(id), time.Now()
	switch {
	case fault.Is(err, KindNotSent):
		se.path.Refused(now, pi.Server.ID)
	case fault.Is(err, KindBroken), fault.Is(err, KindFirstByteTimeout):
		se.path.Failed(now, pi.Server.ID)
	}
}

// lost records an attempt that its server broke off, unless that may be due to the path: then
// it is held back until that is known.
func (rl *Relay) lost(id units.TargetID, pi *picked, lo crash.Loss) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se, sv := rl.service(id), noticeServer(&pi.Server)
	if se.blamesPath(pi.sent) {
		return
	}
	if rl.Probe == nil || se.path.State() == detour.Open && !se.path.FailedElsewhere(sv.ID) {
		rl.crashes.Lost(lo.At, sv, lo)
		return
	}
	if len(se.held) < maxHeldLoss {
		se.held = append(se.held, heldLoss{server: sv, loss: lo})
	}
}

// releaseLosses records the losses that have been held back long enough. The caller holds mu.
func (rl *Relay) releaseLosses(now time.Time, se *service) {
	for len(se.held) > 0 && se.path.State() == detour.Open && now.Sub(se.held[0].loss.At) > lossHoldTime {
		rl.crashes.Lost(now, se.held[0].server, se.held[0].loss)
		se.held = se.held[1:]
	}
}

// maxPathWait bounds the time for which a retry waits until it is known whether the path is cut.
const maxPathWait = 450 * time.Millisecond

// awaitPath waits while it is being found out whether the path to the servers is cut. A retry
// would most likely fail like the attempt before it.
func (ru *run) awaitPath(ctx context.Context) {
	const step = 10 * time.Millisecond
	if !ru.awaitsPath() {
		return
	}
	for end := time.Now().Add(maxPathWait); time.Now().Before(end) && ru.rl.doubtsPath(ru.rq.Service) && pause.For(ctx, step); {
	}
}

// awaitsPath reports whether the request may go through another node once the path is cut.
func (ru *run) awaitsPath() bool {
	return ru.rl.Probe != nil && ru.rl.Detours != nil && !ru.forwarded
}

func (rl *Relay) doubtsPath(id units.TargetID) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se := rl.service(id)
	return se.path.Doubtful(time.Now(), len(se.fleet.Open()))
}

// isSilent reports whether the path is cut and open connections don't answer either.
func (rl *Relay) isSilent(id units.TargetID) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	pa := rl.service(id).path
	return pa.State() == detour.Cut && !pa.UsesOpenConnections()
}

// takesDetour reports whether the request goes through another node.
func (ru *run) takesDetour() bool {
	if ru.forwarded || ru.rl.Detours == nil {
		return false
	}
	if _, ok := ru.ex.(Forwardable); !ok {
		return false
	}
	ru.rl.mu.Lock()
	defer ru.rl.mu.Unlock()
	pa := ru.rl.service(ru.rq.Service).path
	return pa.State() == detour.Cut && (ru.noOpen || !pa.UsesOpenConnections())
}

// forward sends the request through another node, unless withheld returns true, and forwards the response.
func (ru *run) forward(ctx context.Context, runs int, withheld func() bool) error {
	const op = "relay.forward"
	rq, callerCtx := ru.rq, ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ru.firstByte, ru.beganAt, ru.unsent = nil, time.Time{}, 0
	attempts := rq.Route.MaxAttempts - runs
	if ru.canRetry() {
		attempts = max(1, attempts-1) // One is left for another node if this one fails.
		ru.firstByte = (&firstByteTimer{}).start(forwardFirstByteTimeout, cancel)
		defer ru.firstByte.stop()
	}
	via := ru.ex.(Forwardable)
	header, body := via.Raw()
	began := time.Now()
	rp, err := ru.rl.Detours.Forward(ctx, &Forward{
		ID: rq.ID, Config: rq.Config, Service: rq.Service, Header: header, Body: body, Arrived: rq.Arrived, Deadline: rq.Deadline,
		Attempts: attempts, LastEvent: ru.lastEvent, Version: ru.ask.Version, Counted: ru.counted, AvoidsTarget: ru.rolling.avoidsTarget,
		Withheld: withheld,
		Back:     func() bool { return !ru.rl.IsCut(rq.Service) },
	})
	if err != nil {
		return ru.why(callerCtx, ctx, err)
	}
	defer rp.Close()
	ru.rl.Counts.Detoured.Add(1)
	if re := rp.Refusal; re != nil {
		if !re.NotRun {
			return fault.New(op, KindBroken, "through another node: status %d, %s", re.Status, re.Reason)
		}
		ru.refusal = re
		return fault.New(op, KindRefused, "through another node: status %d, %s", re.Status, re.Reason)
	}
	ru.observeForwarded(via, rp)
	pi := &picked{Choice: place.Choice{Server: rp.Server}, sent: began, detour: true}
	ru.last = *pi
	return ru.why(callerCtx, ctx, ru.forwardBody(pi, rp, began))
}

// settleForward records the end of a request that went through another node.
func (ru *run) settleForward(att units.AttemptID, err error) {
	ru.rolling.avoidsTarget = ru.rolling.avoidsTarget || err != nil
	switch {
	case err == nil:
		ru.machine.Finish(att, 0)
	case fault.Is(err, KindRefused):
		ru.machine.Fail(att, answer.Refused)
	case isNotSent(err):
		ru.machine.Fail(att, answer.NotSent)
	default:
		ru.machine.Fail(att, answer.MayHaveRun)
	}
}

// ServeForwarded handles a request that another node forwards. That node has charged the
// customer's limit. It returns the final state.
func (rl *Relay) ServeForwarded(ctx context.Context, rq *Request, fw *Forward, ex Exchange, sink Sink) answer.State {
	rl.Counts.ForPeers.Add(1)
	if !rl.enter(rq, sink) {
		return answer.NotRun
	}
	defer rl.requests.Leave()
	ro := *rq.Route
	ro.MaxAttempts = max(1, min(fw.Attempts, ro.MaxAttempts))
	rq.Route, rq.LastEvent = &ro, fw.LastEvent
	ru := rl.newRun(rq, ex, sink)
	defer ru.dropFailure()
	defer ru.endRollout()
	ru.forwarded, ru.counted, ru.ask.Version, ru.rolling.avoidsTarget = true, fw.Counted, fw.Version, fw.AvoidsTarget
	if ru.refuseBlocked() {
		return answer.NotRun
	}
	rl.recordFirstAttempt(rq.Service)
	ctx, cancel := rl.untilStop(ctx, rq.Deadline)
	defer cancel()
	ru.machine.Accept()
	ru.loop(ctx)
	return ru.machine.State()
}
