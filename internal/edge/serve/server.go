// Package serve answers callers over HTTP: the OpenAI endpoints, plain services, and
// the endpoints for the balancer and for metrics.
package serve

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"

	"lycheepick/internal/edge/door"
	"lycheepick/internal/edge/flow"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/intent"
	"lycheepick/internal/state/table"
)

// Kind tells why a request was refused before admission. Callers see it in the error
// body, as they do the kinds of package flow.
type Kind string

// The kinds of error of this package.
const (
	// KindUnauthorized marks a request without a known API key.
	KindUnauthorized Kind = "unauthorized"
	// KindNoRow marks a request that the table has no row for.
	KindNoRow Kind = "no_row"
	// KindBadRequest marks a request that can't be read.
	KindBadRequest Kind = "bad_request"
	// KindListen marks an address that can't be listened on.
	KindListen Kind = "listen"
	// KindNotReady marks a request to a node that has no table or is leaving.
	KindNotReady Kind = "not_ready"
	// KindSessionLost marks a reconnection to a request that no node holds.
	KindSessionLost Kind = "session_lost"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Session is a request to a model that one node hands to another.
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

// Node is what the server needs of the rest of the node.
type Node interface {
	// Table returns the table in force, or nil.
	Table() *table.InForce
	// Ready returns nil if the balancer should send work here.
	Ready() error
	// Keep hands a session to peers.
	Keep(ctx context.Context, se *Session) error
	// Find takes a session over from the peers that keep it. It looks further if the
	// caller named the session than if it only may exist.
	Find(ctx context.Context, cu units.CustomerID, rq units.RequestID, named bool) (*Session, bool)
	// Claim claims an idempotency key.
	Claim(ctx context.Context, ke intent.Key, id intent.ID, fingerprint string) (intent.ClaimResult, *intent.Answer, error)
	// Record records the end of a claimed request, now or as soon as the log is back.
	Record(en intent.Entry)
	// Metrics returns the metrics in the text format of ordinary scrapers.
	Metrics() ([]byte, string)
}

// Limits bound what a caller can send.
type Limits struct {
	Body        units.Bytes
	Header      units.Bytes
	Connections int
}

const (
	readTimeout = 30 * time.Second
	idleTimeout = 75 * time.Second
)

// Server answers callers.
type Server struct {
	app  *fiber.App
	node Node
	flow *flow.Flow
	ctx  context.Context
}

// New returns a server that runs requests on fl until ctx ends.
func New(ctx context.Context, nd Node, fl *flow.Flow, li Limits) *Server {
	sv := &Server{node: nd, flow: fl, ctx: ctx}
	sv.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		Immutable:             true, // Requests outlive their handlers while they stream.
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
	sv.app.Get("/v1/models", sv.models)
	sv.app.Post("/v1/chat/completions", sv.model)
	sv.app.Post("/v1/completions", sv.model)
	sv.app.All("/svc/:service/*", sv.service)
	return sv
}

// checkFraming refuses requests whose body two parsers could see end at different places,
// and ends their connections.
func checkFraming(ct *fiber.Ctx) error {
	if err := door.CheckFraming(&ct.Request().Header); err != nil {
		ct.Context().SetConnectionClose()
		return reject(ct, fault.Wrap("serve.checkFraming", KindBadRequest, err))
	}
	return ct.Next()
}

// Listen answers callers at addr until Shutdown.
func (sv *Server) Listen(addr string) error {
	ls, err := net.Listen("tcp", addr)
	if err != nil {
		return fault.Wrap("serve.Listen", KindListen, err)
	}
	return sv.app.Listener(door.Linger(ls))
}

// Shutdown stops listening and waits for the requests in progress.
func (sv *Server) Shutdown(within time.Duration) error { return sv.app.ShutdownWithTimeout(within) }

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
