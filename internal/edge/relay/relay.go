// Package relay proxies requests to backend servers, independently of the client protocol:
// it enforces customer limits, selects a server, streams the response back, and retries
// failed requests where the route allows it. Each request ends with exactly one outcome.
package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lycheepick/internal/edge/intake"
	"lycheepick/internal/edge/memory"
	"lycheepick/internal/rule/admit"
	"lycheepick/internal/rule/crash"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/pace"
	"lycheepick/internal/rule/permit"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/rest"
	"lycheepick/internal/rule/retry"
	"lycheepick/internal/rule/roll"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/origin"
	"lycheepick/internal/state/routes"
	"lycheepick/internal/state/server"
)

// Kind classifies why a request has no complete response.
type Kind string

// The kinds of error of this package.
const (
	// KindRefused marks an attempt that the server rejected without executing it.
	KindRefused Kind = "refused"
	// KindNotSent marks an attempt of which no byte reached the server.
	KindNotSent Kind = "not_sent"
	// KindLeaving marks an attempt that was not sent since its server began to leave.
	KindLeaving Kind = "leaving"
	// KindLimited marks an attempt that was not sent since its server named a limit after it was
	// chosen.
	KindLimited Kind = "limited"
	// KindResting marks an attempt that was not sent since its server asked this node for a rest after
	// it was chosen.
	KindResting Kind = "resting"
	// KindBlocked marks an attempt that was not sent since the request, or others with a part of its
	// prompt, crash servers, as this node has learned since the server was chosen.
	KindBlocked Kind = "blocked"
	// KindCut marks an attempt that was not sent since this node's network path to the servers
	// is cut.
	KindCut Kind = "cut"
	// KindNoDetour marks an attempt that was not sent since no other node could take it.
	KindNoDetour Kind = "no_detour"
	// KindPathBack marks an attempt that was not sent since this node reaches the servers again, while no
	// other node had taken it yet.
	KindPathBack Kind = "path_back"
	// KindErrored marks an attempt for which the server returned an error response.
	KindErrored Kind = "errored"
	// KindBroken marks an attempt whose response was truncated or malformed.
	KindBroken Kind = "broken"
	// KindFirstByteTimeout marks an attempt cancelled because no response began in time.
	KindFirstByteTimeout Kind = "silent"
	// KindCallerGone marks an attempt cancelled because the caller disconnected.
	KindCallerGone Kind = "gone"
	// KindStopping marks an attempt cancelled since the node stops.
	KindStopping Kind = "stopping"
	// KindDeadline marks an attempt cancelled at the request's deadline.
	KindDeadline Kind = "timeout"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Request is one request, independent of the client protocol.
type Request struct {
	ID units.RequestID
	// Content is a hash of the caller, the path and the body, by which a request that comes again
	// is known.
	Content uint64
	// Config is the version of the configuration that the request is served under.
	Config units.Version
	Route  *routes.Route
	// Customer is nil for anonymous requests, which have no limit.
	Customer     *routes.Customer
	Service      units.TargetID
	Priority     int
	PrefixBlocks []place.Block
	PromptTokens units.Tokens
	// OutputTokens is the expected length of the response.
	OutputTokens units.Tokens
	// Size is the amount charged to the customer's limit.
	Size    float64
	Arrived time.Time
	// Deadline is the earlier of the caller's deadline and the route's timeout.
	Deadline time.Time
	// LastEvent is the ID of the last event that the caller received of the stream to
	// resume, empty for a new stream.
	LastEvent string
	// Resumes is the request that brought the first event of the stream to resume.
	Resumes units.RequestID
}

// Attempt is one dispatch to a backend server.
type Attempt struct {
	Server    server.Server
	Deadline  time.Time
	Priority  int
	LastEvent string
	// Leaving reports whether the server has been removed or replaced, has begun to drain, or is of a version to which the
	// request may not go any more, since it was chosen. It has to be checked right before the request is sent.
	Leaving func() bool
	// Limited reports whether the server has named a limit since it was chosen, so that the
	// request needs a permit that it doesn't have. It has to be checked right before the request
	// is sent.
	Limited func() bool
	// Resting reports whether the server has asked this node for a rest since it was chosen. It has
	// to be checked right before the request is sent.
	Resting func() bool
	// Dial ends once a new connection isn't waited for any more, since the path to the servers is
	// cut. With OpenOnly the request goes out on an open connection or not at all.
	Dial     context.Context
	OpenOnly bool
	// Blocked reports whether the request has come to be one that is refused, or that another node has to serve. It
	// has to be checked right before the request is sent.
	Blocked func() bool
	// Late is called with a response whose head comes shortly after the attempt has been cancelled, unless
	// LateUntil has ended. Its body is not read.
	Late      func(*Reply)
	LateUntil context.Context
}

// Reply is the response of a backend server, with the body unread.
type Reply struct {
	Status int
	// Refused is set if the server reports that it did not execute the request.
	Refused bool
	// Misdirected is set if a different server now has the address.
	Misdirected bool
	// Authentic is set if the response carries the mark of the backend server, so that it
	// doesn't come from an intermediary.
	Authentic bool
	// Limit is the limit that the response names for its server, and Leaving is set if the server
	// says that it leaves.
	Limit   permit.Limit
	Leaving notice.Leaving
	// Rest is the time for which a server that refuses wants nothing from this node, 0 if it names
	// none.
	Rest time.Duration
	// Load is what the server reports of its load and its pace, and BadLoad such a report that is malformed or out of range.
	Load    pace.Load
	BadLoad string
	// SentAt is when the request had been handed to the kernel.
	SentAt time.Time
	// Server is the server that another node chose, and Refusal what that node answered if there
	// is no response.
	Server  server.Server
	Refusal *Refusal
	Head    *fasthttp.ResponseHeader
	Body    io.Reader
	// Close releases the connection.
	Close func()
}

// Exchange sends one request to backend servers.
type Exchange interface {
	// Send sends the request and reads the response header. Its errors are of the kinds
	// KindNotSent, KindLeaving, KindLimited, KindResting, KindBlocked and KindBroken.
	Send(ctx context.Context, at *Attempt) (*Reply, error)
}

// Sink writes the response to the caller: either by one Respond, or by Start, any number
// of Part and End. Refuse sends a response of this node.
type Sink interface {
	Respond(hd *fasthttp.ResponseHeader, body []byte) error
	Start(hd *fasthttp.ResponseHeader) error
	Part(part []byte) error
	End() error
	Refuse(status int, reason string, after time.Duration)
	Started() bool
	Status() int
}

// Meter records what usage reports and scaling decisions are based on.
type Meter interface {
	// RecordStart counts a customer's request that a backend server started to execute.
	RecordStart(cu units.CustomerID, at time.Time)
	// RecordDemand counts a request for a service and its prompt tokens that are not cached.
	RecordDemand(service units.TargetID, fresh units.Tokens)
	// RecordLate counts a request whose response started after the route's latency target,
	// or that was rejected because no server could start it in time.
	RecordLate(service units.TargetID)
}

// Counts are the totals exported as metrics.
type Counts struct {
	Received, Done, NotRun, Unknown, Gone atomic.Int64
	// Cut counts requests that a server was at work on as the node stopped.
	Cut                         atomic.Int64
	Limited, Overload, NoServer atomic.Int64
	// NoOrigin counts streams that were not taken up again since the software version that began
	// them is not known.
	NoOrigin atomic.Int64
	// Blocked counts requests refused since they, or others with a part of their prompts, crash
	// servers.
	Blocked atomic.Int64
	// NoPermit counts requests refused under the limits that servers name, PermitsAsked,
	// PermitsFailed and PermitsIssued the requests for permits, those without an answer, and the
	// permits that this node issued.
	NoPermit, PermitsAsked, PermitsFailed, PermitsIssued atomic.Int64
	Retries, Resumes                                     atomic.Int64
	// RetryWaits counts requests that waited for the retry budget.
	RetryWaits atomic.Int64
	// Rests counts the answers by which servers asked for a rest, AllResting the requests refused
	// since all servers had, and Late the answers that came after their attempt had been cancelled.
	Rests, AllResting, Late atomic.Int64
	// Detoured counts requests sent through other nodes, ForPeers those that other nodes sent
	// through this one.
	Detoured, ForPeers atomic.Int64
	Sent, Refused      atomic.Int64
	// LeftZone counts requests sent to servers in other zones while spilling between zones is on.
	LeftZone atomic.Int64
	// BadLoads counts malformed figures that servers reported of their load.
	BadLoads atomic.Int64
	// PassedOn counts answers that were passed on as they came, since the requests in progress held as much
	// as they may.
	PassedOn atomic.Int64
	// Admissions are the requests by priority, while they are admitted by it.
	Admissions [CountedPriorities]Admissions
}

// defaultMemory is the default of Relay.Bodies and Relay.Events.
const defaultMemory units.Bytes = 64 << 20

// Relay serves requests. Set its fields before first use; it is then safe for concurrent
// use.
type Relay struct {
	Log   *zap.Logger
	Meter Meter
	Zone  units.ZoneID
	// SpreadKey is this node's place.Request.Key for prompts, 0 to choose the first of equal servers.
	SpreadKey uint64
	Counts    Counts
	// ObserveFirstByte is called with the time from arrival to the first byte of each
	// response.
	ObserveFirstByte func(time.Duration)
	// AskPermits asks the issuer of a server's permits. Without it this node issues them.
	AskPermits func(context.Context, permit.Request) (permit.Grant, error)
	// Origins keeps where streams began.
	Origins Origins
	// Detours sends requests through other nodes, and Probe opens a connection to a server. Nil
	// if the deployment has neither.
	Detours Detours
	Probe   func(context.Context, *server.Server) error
	// Bodies and Events are what the requests in progress may hold of answers that are not streamed, and of
	// events of streams that have not come whole.
	Bodies, Events *memory.Budget
	// Contention tells whether requests are admitted by priority, and Spillover whether they leave their zone by how full it is.
	Contention, Spillover admit.Mode
	// OwnsTrials reports whether this node, and no other, may try a blocked key again.
	OwnsTrials func(crash.Key) bool

	// requests are those in progress.
	requests intake.Intake
	// departure is nil while the node isn't leaving. stopping ends as it stops, by stop.
	departure atomic.Pointer[admit.Departure]
	stopping  context.Context
	stop      context.CancelFunc
	// syncedAt is when the list of servers last matched the store, in Unix nanoseconds.
	syncedAt atomic.Int64
	// spills is set while spilling between zones is on.
	spills atomic.Bool
	// awaitsVersions is set until the versions before this node's start are known.
	awaitsVersions atomic.Bool
	// open holds the start times of the servers that get requests, for checks without a lock.
	open atomic.Pointer[map[units.VMID]int64]

	mu     sync.Mutex
	fleets map[units.TargetID]*service
	// listed are the servers as they were set. leaving holds those that have said in an answer that
	// they leave, which their records may say later or never.
	listed  []server.Server
	leaving *notice.Table[notice.Leaving]
	pool    *pool.Pool
	// permits holds the limits that servers name.
	permits *permit.Book
	// rests holds the servers that refuse requests of this node.
	rests *rest.Book
	// versions holds the software versions that servers have had.
	versions *origin.Versions
	// crashes holds the requests that were lost with their servers.
	crashes *crash.Book
	// rollouts holds the orders that move services to another software version, nil if none are followed.
	rollouts *roll.Book
	// asks holds the requests for permits in progress; each channel is closed at the end.
	asks map[notice.Server]chan struct{}
	// uneven is the state of services whose servers differ in speed.
	uneven uneven
	// durations holds how long requests take, by route name.
	durations map[string]*admit.Durations
	// maxWaits holds, by route name, the longest time between a request's arrival and its
	// deadline.
	maxWaits   map[string]time.Duration
	contention contention
}

type service struct {
	fleet      *place.Fleet
	budget     *retry.Budget
	retryWaits retryWaits
	listReadAt time.Time
	// permitRetry spreads the retries of requests refused for want of permits.
	permitRetry permit.RetryAfter
	spilling    spilling
	servicePath
}

// New returns a relay without servers and limits; SetServers and SetLimits add them.
func New(log *zap.Logger, zone units.ZoneID, me Meter, to pool.Tolerance) *Relay {
	rl := &Relay{
		Log: log, Zone: zone, Meter: me, fleets: map[units.TargetID]*service{}, pool: pool.New(to), permits: permit.NewBook(), leaving: notice.NewLeaving(), rests: rest.NewBook(rand.Uint64()), versions: origin.NewVersions(), Origins: newLocalOrigins(), OwnsTrials: ownsTrials, crashes: crash.NewBook(rand.Uint32()), asks: map[notice.Server]chan struct{}{}, maxWaits: map[string]time.Duration{}, contention: contention{start: admit.NewStart(time.Now())},
		Bodies: memory.NewBudget(defaultMemory), Events: memory.NewBudget(defaultMemory),
		ObserveFirstByte: func(time.Duration) {}, durations: map[string]*admit.Durations{},
	}
	rl.stopping, rl.stop = context.WithCancel(context.Background())
	rl.AskPermits = func(_ context.Context, rq permit.Request) (permit.Grant, error) {
		return rl.IssuePermits(time.Now(), rq, 1), nil
	}
	return rl
}

func (rl *Relay) service(id units.TargetID) *service {
	se := rl.fleets[id]
	if se == nil {
		se = &service{fleet: place.NewFleet(), budget: retry.NewBudget(retryShare, retryReserve), servicePath: newServicePath()}
		se.fleet.SetContended(rl.uneven.contended)
		rl.fleets[id] = se
	}
	return se
}

// SetServers replaces the backend servers.
func (rl *Relay) SetServers(now time.Time, list []server.Server) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.listed = list
	for _, se := range rl.fleets {
		se.listReadAt = now
	}
	listed := make(map[notice.Server]bool, len(list))
	for idx := range list {
		listed[noticeServer(&list[idx])] = true
	}
	rl.permits.Retain(now, func(sv notice.Server) bool { return listed[sv] })
	rl.leaving.Retain(now, func(sv notice.Server) bool { return listed[sv] })
	rl.rests.Retain(now, func(sv notice.Server) bool { return listed[sv] })
	rl.applyServers(now)
	rl.seeVersions(now)
}

// applyServers puts the listed servers in use. Those that have said that they leave count as
// draining. The caller holds mu.
func (rl *Relay) applyServers(now time.Time) {
	by := map[units.TargetID][]server.Server{}
	open := make(map[units.VMID]int64, len(rl.listed))
	for _, sv := range rl.listed {
		sv.Draining = sv.Draining || bool(rl.leaving.Get(noticeServer(&sv)))
		by[sv.Service] = append(by[sv.Service], sv)
		if !sv.Draining {
			open[sv.ID] = sv.StartUnixMS
		}
	}
	rl.open.Store(&open)
	for id := range by {
		rl.service(id)
	}
	for id, se := range rl.fleets {
		se.fleet.SetServers(now, by[id])
		if rl.rollouts != nil {
			rl.rollouts.SetServers(id, by[id])
		}
	}
}

// isLeaving reports whether a server that was chosen gets no more requests.
func (rl *Relay) isLeaving(sv *server.Server) bool {
	start, ok := (*rl.open.Load())[sv.ID]
	return !ok || start != sv.StartUnixMS
}

// SetSynced records that the list of servers matched the store at a time.
func (rl *Relay) SetSynced(at time.Time) { rl.syncedAt.Store(at.UnixNano()) }

// SetLimits replaces the customers' rate limits.
func (rl *Relay) SetLimits(now time.Time, co *routes.Config) {
	limits := map[units.CustomerID]pool.Limit{}
	for _, cu := range co.Customers {
		if cu.Rate > 0 {
			limits[cu.ID] = pool.Limit{Rate: cu.Rate, Burst: cu.Burst}
		}
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.pool.SetLimits(now, limits)
	rl.setRolloutRoutes(co)
	for name := range rl.durations {
		if !slices.ContainsFunc(co.Routes, func(ro routes.Route) bool { return ro.Name == name }) {
			delete(rl.durations, name)
		}
	}
	rl.maxWaits = map[string]time.Duration{} // Routes and their timeouts may have changed.
	rl.setContention(co)
}

// Servers returns the servers of a service with their load from all nodes.
func (rl *Relay) Servers(now time.Time, id units.TargetID) []place.ServerLoad {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se := rl.fleets[id]
	if se == nil {
		return nil
	}
	return se.fleet.Servers(now)
}

// PrefillRate returns the estimated prefill rate of one server of a service.
func (rl *Relay) PrefillRate(id units.TargetID) units.TokensPerSecond {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.service(id).fleet.PrefillRate()
}

// admit applies the customer's limit. If it rejects the request, after is the time to
// retry after.
func (rl *Relay) admit(now time.Time, rq *Request) (ok bool, after time.Duration) {
	if rq.Customer == nil {
		return true, 0
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.pool.Take(now, rq.Customer.ID, rq.Size, rl.isLateRetry(rq))
}

// isLateRetry reports whether a request is a client retry that can't meet the latency
// target any more: its remaining time is shorter than the route's usual one by more than
// the target, so the caller spent it on an earlier, rejected or failed, request.
// The caller must hold rl.mu.
func (rl *Relay) isLateRetry(rq *Request) bool {
	left := rq.Deadline.Sub(rq.Arrived)
	usual := rl.maxWaits[rq.Route.Name]
	if left > usual {
		rl.maxWaits[rq.Route.Name] = left
		return false
	}
	return usual-left > rq.Route.TargetLatency
}

func (rl *Relay) refund(rq *Request) {
	if rq.Customer == nil {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.pool.Refund(rq.Customer.ID, rq.Size)
}
