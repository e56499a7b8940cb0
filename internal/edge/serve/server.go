// Package serve is the HTTP server for callers: OpenAI-compatible endpoints, plain
// services, health checks and metrics.
package serve

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"

	"lycheepick/internal/edge/door"
	"lycheepick/internal/edge/flow"
	"lycheepick/internal/edge/intake"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/intent"
	"lycheepick/internal/state/table"
)

// Kind classifies why a request was rejected before admission. Callers see it in the error
// body, like the kinds of package flow.
type Kind string

// The kinds of error of this package.
const (
	// KindUnauthorized marks a request without a valid API key.
	KindUnauthorized Kind = "unauthorized"
	// KindNoRow marks a request that the table has no row for.
	KindNoRow Kind = "no_row"
	// KindBadRequest marks a malformed request.
	KindBadRequest Kind = "bad_request"
	// KindListen marks an address that can't be listened on.
	KindListen Kind = "listen"
	// KindNotReady marks a request to a node that has no table yet or is leaving.
	KindNotReady Kind = "not_ready"
	// KindSessionLost marks a reconnection to a request whose session no node stores.
	KindSessionLost Kind = "session_lost"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Session is the state of a model request that is handed over to another node. Tokens are
// those generated so far.
type Session struct {
	Request      units.RequestID
	Customer     units.CustomerID
	Row          table.RowKey
	Path         string
	Body         []byte
	Tokens       []string
	PromptTokens units.Tokens
	Deadline     time.Time
}

// Node provides the parts of the node that the server depends on.
type Node interface {
	// Table returns the table in force, or nil before there is one.
	Table() *table.InForce
	// Ready returns nil if the load balancer should send requests to this node.
	Ready() error
	// StoreSession stores a session at peers.
	StoreSession(ctx context.Context, se *Session) error
	// FetchSession fetches a session from the peers that store it. It asks more peers if
	// named is set, which means that the caller gave the request ID of the session.
	FetchSession(ctx context.Context, cu units.CustomerID, rq units.RequestID, named bool) (*Session, bool)
	// Claim claims an idempotency key for the request with the fingerprint.
	Claim(ctx context.Context, ke intent.Key, id intent.ID, fingerprint string) (intent.ClaimResult, *intent.Answer, error)
	// Record writes the outcome of a claimed request to the log, and retries while the log
	// is unavailable.
	Record(en intent.Entry)
	// Metrics returns the metrics in the Prometheus text format and its content type.
	Metrics() ([]byte, string)
}

// Limits bound the requests and connections of callers.
type Limits struct {
	Body        units.Bytes
	Header      units.Bytes
	Connections int
}

const (
	readTimeout = 30 * time.Second
	idleTimeout = 75 * time.Second
)

// Server is the HTTP server of a node.
type Server struct {
	app  *fiber.App
	node Node
	flow *flow.Flow
	ctx  context.Context
	// streams holds the streamed responses in progress: units.RequestID to *streamedResponse.
	streams sync.Map
	// requests are those to models and services until their answers are ready to be written, streamed ones
	// until they have been written.
	requests intake.Intake
	// stopsAt is when the node stops, nil while it isn't leaving.
	stopsAt atomic.Pointer[time.Time]

	mu       sync.Mutex
	listener net.Listener
	stopped  bool
}

// New returns a server that serves requests with fl. Requests are cancelled when ctx ends.
func New(ctx context.Context, nd Node, fl *flow.Flow, li Limits) *Server {
	sv := &Server{node: nd, flow: fl, ctx: ctx}
	sv.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		Immutable:             true, // Streamed requests outlive their handlers.
		BodyLimit:             int(li.Body),
		ReadBufferSize:        int(li.Header),
		Concurrency:           li.Connections,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		ErrorHandler:          handleError,
	})
	sv.app.Use(checkFraming)
	sv.app.Get("/healthz", func(ct *fiber.Ctx) error { return ct.SendString("ok\n") })
	sv.app.Get("/readyz", sv.ready)
	sv.app.Get("/metrics", sv.metrics)
	sv.app.Use(sv.enter)
	sv.app.Get("/v1/models", sv.models)
	sv.app.Post("/v1/chat/completions", sv.model)
	sv.app.Post("/v1/completions", sv.model)
	sv.app.All("/svc/:service/*", sv.service)
	return sv
}

// checkFraming rejects requests with ambiguous framing and closes their connections.
func checkFraming(ct *fiber.Ctx) error {
	if err := door.CheckFraming(&ct.Request().Header); err != nil {
		ct.Context().SetConnectionClose()
		return reject(ct, fault.Wrap("serve.checkFraming", KindBadRequest, err))
	}
	return ct.Next()
}

// Listen serves callers at addr until Shutdown.
func (sv *Server) Listen(addr string) error {
	ls, err := net.Listen("tcp", addr)
	if err != nil {
		return fault.Wrap("serve.Listen", KindListen, err)
	}
	ls = door.Linger(ls)
	sv.mu.Lock()
	sv.listener = ls
	stopped := sv.stopped
	sv.mu.Unlock()
	if stopped {
		return ls.Close()
	}
	return sv.app.Listener(ls)
}

// Shutdown stops listening and waits until the answers have been written, at most for within.
func (sv *Server) Shutdown(within time.Duration) error {
	sv.mu.Lock()
	sv.stopped = true
	ls := sv.listener
	sv.mu.Unlock()
	err := sv.app.ShutdownWithTimeout(within)
	if ls != nil {
		_ = ls.Close() // The app doesn't know it if it is only about to serve it.
	}
	return err
}

func (sv *Server) ready(ct *fiber.Ctx) error {
	if err := sv.node.Ready(); err != nil {
		return ct.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return ct.SendString("ready\n")
}

func (sv *Server) metrics(ct *fiber.Ctx) error {
	body, contentType := sv.node.Metrics()
	ct.Set(fiber.HeaderContentType, contentType)
	return ct.Send(body)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      units.TargetID `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	OwnedBy string         `json:"owned_by"`
}

func (sv *Server) models(ct *fiber.Ctx) error {
	who, err := sv.identify(ct)
	if err != nil {
		return reject(ct, err)
	}
	out := modelList{Object: "list", Data: []modelItem{}}
	for _, id := range who.index.Models(who.customer) {
		out.Data = append(out.Data, modelItem{ID: id, Object: "model", OwnedBy: "lycheepick"})
	}
	return ct.JSON(out)
}
