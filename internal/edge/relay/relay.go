// Package relay takes one request from its arrival to its single outcome, whatever
// protocol it came by: it admits it, chooses a backend server, passes the answer on as it
// arrives, and decides after a failure whether the request may be sent once more.
package relay

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/pool"
	"lycheepick/internal/rule/retry"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/routes"
	"lycheepick/internal/state/server"
)

// Kind tells why a request has no whole answer.
type Kind string

// The kinds of error of this package.
const (
	// KindRefused marks an attempt that the server refused before it ran.
	KindRefused Kind = "refused"
	// KindNotSent marks an attempt of which no byte reached the server.
	KindNotSent Kind = "not_sent"
	// KindErrored marks an attempt that the server itself told to have failed.
	KindErrored Kind = "errored"
	// KindBroken marks an attempt whose answer broke off or made no sense.
	KindBroken Kind = "broken"
	// KindSilent marks an attempt given up because nothing was heard of it.
	KindSilent Kind = "silent"
	// KindGone marks an attempt that ended because the caller left.
	KindGone Kind = "gone"
	// KindTimeout marks an attempt that ended at the request's own limit.
	KindTimeout Kind = "timeout"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Request is one request without the protocol that it came by.
type Request struct {
	ID       units.RequestID
	Config   units.Version
	Route    *routes.Route
	Customer *routes.Customer
	Service  units.TargetID
	Rank     int
	Parts    []place.Block
	Prompt   units.Tokens
	Output   units.Tokens
	// Size is what the request counts for in its customer's limit.
	Size    float64
	Arrived time.Time
	// Until is when the caller stops waiting or the route's timeout ends, if that is
	// sooner.
	Until time.Time
	// LastEvent is the last event that the caller has of a stream that it resumes.
	LastEvent string
}

// Attempt is one dispatch to a backend server.
type Attempt struct {
	Server    server.Server
	Until     time.Time
	Rank      int
	LastEvent string
}

// Reply is the head of a server's answer and its body as it arrives.
type Reply struct {
	Status int
	// Refused is set if the server says that the request did not run there.
	Refused bool
	// Misdirected is set if another server has the address.
	Misdirected bool
	// Proper is set if the answer is marked as the server's own.
	Proper bool
	Head   *fasthttp.ResponseHeader
	Body   io.Reader
	// Close ends the exchange.
	Close func()
}

// Exchange sends one request to backend servers.
type Exchange interface {
	// Send sends the request and reads the head of the answer. Its errors are of the
	// kinds KindNotSent and KindBroken.
	Send(ctx context.Context, at *Attempt) (*Reply, error)
}

// Sink takes the answer for the caller.
type Sink interface {
	Whole(hd *fasthttp.ResponseHeader, body []byte) error
	Start(hd *fasthttp.ResponseHeader) error
	Part(part []byte) error
	End() error
	Refuse(status int, reason string, after time.Duration)
	Started() bool
	Status() int
}

// Meter is told what requests do, for usage reports and orders.
type Meter interface {
	// Began notes that a backend server began to run a request of a customer.
	Began(cu units.CustomerID, at time.Time)
	// Offered notes a request for a service with the prompt tokens that have to be read.
	Offered(service units.TargetID, fresh units.Tokens)
	// Late notes a request whose answer began later than its target, or that no server
	// could begin in time.
	Late(service units.TargetID)
}

// Counts are the totals that the metrics show.
type Counts struct {
	Received, Done, NotRun, Unknown, Gone atomic.Int64
	Limited, Overload, NoServer           atomic.Int64
	Retries, Resumes                      atomic.Int64
	Sent, Refused                         atomic.Int64
}

// Relay runs requests. It is safe for concurrent use; set its fields before.
type Relay struct {
	Log    *zap.Logger
	Meter  Meter
	Zone   units.ZoneID
	Counts Counts
	// FirstEvent is told the time to the first byte of each answer.
	FirstEvent func(time.Duration)

	leaving atomic.Pointer[leave]

	mu     sync.Mutex
	fleets map[units.TargetID]*service
	pool   *pool.Pool
	// waits are the longest times that callers of each route were willing to wait.
	waits map[string]time.Duration
}

// leave tells until when a leaving node takes new requests.
type leave struct{ streams, other time.Time }

// Leave makes the relay refuse new streams, and other requests, from some time after now
// on.
func (rl *Relay) Leave(now time.Time, streams, other time.Duration) {
	rl.leaving.Store(&leave{streams: now.Add(streams), other: now.Add(other)})
}

// isTooLate tells whether the node leaves before a request could end.
func (rl *Relay) isTooLate(rq *Request) bool {
	le := rl.leaving.Load()
	if le == nil {
		return false
	}
	if rq.Route.Stream {
		return rq.Arrived.After(le.streams)
	}
	return rq.Arrived.After(le.other)
}

type service struct {
	fleet  *place.Fleet
	budget *retry.Budget
	read   time.Time
}

const (
	// retryShare and retryReserve bound the repeats that one node sends: half of the
	// fleet's budget of a fifth, and a few for quiet times.
	retryShare   = 0.1
	retryReserve = 4
)

// New returns a relay without servers and limits.
func New(log *zap.Logger, zone units.ZoneID, me Meter, to pool.Tolerance) *Relay {
	return &Relay{
		Log: log, Zone: zone, Meter: me, fleets: map[units.TargetID]*service{}, pool: pool.New(to), waits: map[string]time.Duration{},
		FirstEvent: func(time.Duration) {},
	}
}

func (rl *Relay) service(id units.TargetID) *service {
	se := rl.fleets[id]
	if se == nil {
		se = &service{fleet: place.NewFleet(), budget: retry.NewBudget(retryShare, retryReserve)}
		rl.fleets[id] = se
	}
	return se
}

// SetServers replaces the backend servers.
func (rl *Relay) SetServers(now time.Time, list []server.Server) {
	by := map[units.TargetID][]server.Server{}
	for _, sv := range list {
		by[sv.Service] = append(by[sv.Service], sv)
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for id := range by {
		rl.service(id)
	}
	for id, se := range rl.fleets {
		se.fleet.SetServers(now, by[id])
		se.read = now
	}
}

// SetLimits replaces the customers' limits.
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
	rl.waits = map[string]time.Duration{} // Routes and their timeouts may have changed.
}

// Work is what a node tells its peers of its own requests, and of limits that are near.
type Work struct {
	Loads    map[units.VMID]place.Load
	Sent     map[units.VMID][]place.BlockID
	Admitted pool.Totals
	Heard    map[units.CustomerID][]pool.RelayedUsage
}

// Peer takes in what a peer reports of its work.
func (rl *Relay) Peer(now time.Time, node units.VMID, life int64, wo Work) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	for _, se := range rl.fleets {
		se.fleet.SetPeerLoads(now, rl.pool.Peers(), node, wo.Loads)
		se.fleet.AddPeerBlocks(now, wo.Sent)
	}
	rl.pool.MergeReport(now, node, life, wo.Admitted)
	rl.pool.MergeRelayed(now, wo.Heard)
}

// Expect notes that there is a peer of which nothing was heard yet.
func (rl *Relay) Expect(now time.Time, node units.VMID) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.pool.AddPeer(now, node)
}

// Own returns this node's work.
func (rl *Relay) Own(now time.Time) Work {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	wo := Work{Loads: map[units.VMID]place.Load{}, Sent: map[units.VMID][]place.BlockID{}}
	for _, se := range rl.fleets {
		se.fleet.OwnLoads(wo.Loads)
		se.fleet.RecentBlocks(now, wo.Sent)
	}
	wo.Admitted, wo.Heard = rl.pool.Admitted(), rl.pool.Relay(now)
	return wo
}

// Servers returns the servers of a service with the work of all nodes there.
func (rl *Relay) Servers(now time.Time, id units.TargetID) []place.ServerLoad {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se := rl.fleets[id]
	if se == nil {
		return nil
	}
	return se.fleet.Servers(now)
}

// ReadRate returns the rate at which one server of a service reads prompts.
func (rl *Relay) ReadRate(id units.TargetID) units.TokensPerSecond {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.service(id).fleet.PrefillRate()
}

// admit applies the customer's limit.
func (rl *Relay) admit(now time.Time, rq *Request) (ok bool, after time.Duration) {
	if rq.Customer == nil {
		return true, 0
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.pool.Take(now, rq.Customer.ID, rq.Size, rl.isLate(rq))
}

// isLate tells whether a request comes too late for its target: its caller has less time
// left than callers of the route have at first, since it was refused or failed before. The
// caller of isLate holds the lock.
func (rl *Relay) isLate(rq *Request) bool {
	left := rq.Until.Sub(rq.Arrived)
	usual := rl.waits[rq.Route.Name]
	if left > usual {
		rl.waits[rq.Route.Name] = left
		return false
	}
	return usual-left > rq.Route.Target
}

func (rl *Relay) refund(rq *Request) {
	if rq.Customer == nil {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.pool.Refund(rq.Customer.ID, rq.Size)
}

// first notes a new request for the retry budget.
func (rl *Relay) first(id units.TargetID) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.service(id).budget.RecordFirst()
}

func (rl *Relay) spend(id units.TargetID) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.service(id).budget.Spend()
}

// picked is a chosen server and the dispatch noted there.
type picked struct {
	place.Choice
	ticket place.Ticket
	// age is that of the list of servers, sent when the request was dispatched.
	age  time.Duration
	sent time.Time
}

// choose picks a server; send tells from the prediction whether to go there.
func (rl *Relay) choose(now time.Time, id units.TargetID, ask *place.Request, send func(*place.Choice) bool) (pi picked, found, sent bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	se := rl.service(id)
	pi.age = now.Sub(se.read)
	pi.Choice, found = se.fleet.Choose(now, ask)
	if !found || !send(&pi.Choice) {
		return pi, found, false
	}
	pi.ticket, pi.sent = se.fleet.Dispatch(now, ask, &pi.Choice), now
	return pi, true, true
}

func (rl *Relay) heard(id units.TargetID, pi *picked) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.service(id).fleet.FirstToken(time.Now(), pi.Server.ID, pi.ticket)
}

func (rl *Relay) ended(id units.TargetID, pi *picked, res place.Result) {
	rl.mu.Lock()
	change := rl.service(id).fleet.End(time.Now(), pi.Server.ID, pi.ticket, res)
	rl.mu.Unlock()
	if change == retry.Ejected {
		rl.Log.Info("server_ejected", zap.String("server", string(pi.Server.ID)), zap.String("service", string(id)))
	}
}
