// Package stand provides fakes of the services around lycheepick: model engines, plain
// services, the log service, the cloud API and the load balancer, and a load generator.
// Tests, the demo and measurements use them. Faults are injected with POST /admin/fault.
package stand

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Kind classifies the errors with which a fake ends.
type Kind string

// KindListen means that a fake could not listen on its address or serve connections there.
const KindListen Kind = "listen"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Fault is the set of faults injected into a fake, and the body of POST /admin/fault. The
// zero value injects none.
type Fault struct {
	// Down answers every request except admin requests with status 503.
	Down bool `json:"down"`
	// Slow delays every request except admin requests by this time.
	Slow units.Duration `json:"slow"`
	// LoseAnswers executes each request, then closes the connection without an answer.
	LoseAnswers bool `json:"lose_answers"`
	// LoseNext is the number of next requests to execute without an answer.
	LoseNext int `json:"lose_next"`
	// Refuse, if not empty, is the reason with which every request for work is refused.
	Refuse string `json:"refuse"`
	// Speed is a factor on an engine's speed, such as 0.1 for a tenth of it; 0 means 1.
	Speed float64 `json:"speed"`
}

// faults holds the faults injected at present. It is safe for concurrent use.
type faults struct {
	mu      sync.Mutex
	current Fault
}

func (fa *faults) get() Fault {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return fa.current
}

func (fa *faults) set(ft Fault) {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.current = ft
}

// dropAnswer reports whether to drop the answer to this request, and counts LoseNext down.
func (fa *faults) dropAnswer() bool {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	if fa.current.LoseNext > 0 {
		fa.current.LoseNext--
		return true
	}
	return fa.current.LoseAnswers
}

// newApp returns an HTTP server with the endpoint for fault injection.
func (fa *faults) newApp() *fiber.App {
	const bodyLimit = 64 << 20
	app := fiber.New(fiber.Config{DisableStartupMessage: true, Immutable: true, BodyLimit: bodyLimit, ReadBufferSize: 32 << 10})
	app.Post("/admin/fault", func(ct *fiber.Ctx) error {
		var ft Fault
		if err := ct.BodyParser(&ft); err != nil {
			return err
		}
		fa.set(ft)
		return ct.JSON(ft)
	})
	return app
}

// applyFaults is middleware that applies Slow and Down.
func (fa *faults) applyFaults(ct *fiber.Ctx) error {
	ft := fa.get()
	if ft.Slow > 0 {
		time.Sleep(ft.Slow.Std())
	}
	if ft.Down {
		return ct.Status(fiber.StatusServiceUnavailable).SendString("down")
	}
	return ct.Next()
}

// closeConn closes the connection instead of answering.
func closeConn(ct *fiber.Ctx) error {
	_ = ct.Context().Conn().Close()
	return nil
}

// Serve serves app on addr, which is host:port, until ctx ends. ready, if not nil, is called
// with the address in use, which tells the port if addr has port 0.
func Serve(ctx context.Context, app *fiber.App, addr string, ready func(addr string)) error {
	const op = "stand.Serve"
	ls, err := net.Listen("tcp", addr)
	if err != nil {
		return fault.Wrap(op, KindListen, err)
	}
	if ready != nil {
		ready(ls.Addr().String())
	}
	stop := context.AfterFunc(ctx, func() { _ = app.ShutdownWithTimeout(100 * time.Millisecond) })
	defer stop()
	return fault.Wrap(op, KindListen, app.Listener(ls))
}
