// Package stand holds small stand-ins for what lycheepick runs beside: model engines,
// plain services, the log service, the cloud API and the balancer. They serve tests, the
// demo and measurements, and take faults over an admin endpoint.
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

// Kind tells why a stand-in ended.
type Kind string

// KindListen marks an address that can't be listened on.
const KindListen Kind = "listen"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Fault is what a stand-in does wrong at present.
type Fault struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Slow delays every call.
	Slow units.Duration `json:"slow"`
	// LoseAnswers does what a call asks and closes the connection without an answer.
	LoseAnswers bool `json:"lose_answers"`
	// LoseNext is the number of calls that lose their answers, after which it stops.
	LoseNext int `json:"lose_next"`
	// Refuse answers work with a refusal that names this reason.
	Refuse string `json:"refuse"`
	// Speed divides an engine's speed; 0 counts as 1.
	Speed float64 `json:"speed"`
}

// faults holds the current fault. It is safe for concurrent use.
type faults struct {
	mu  sync.Mutex
	cur Fault
}

func (fa *faults) get() Fault {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return fa.cur
}

func (fa *faults) set(ft Fault) {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.cur = ft
}

// loses tells whether this call's answer is lost.
func (fa *faults) loses() bool {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	if fa.cur.LoseNext > 0 {
		fa.cur.LoseNext--
		return true
	}
	return fa.cur.LoseAnswers
}

// newApp returns a server with the admin endpoint for faults.
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

// guard applies the faults that hold for every call.
func (fa *faults) guard(ct *fiber.Ctx) error {
	ft := fa.get()
	if ft.Slow > 0 {
		time.Sleep(ft.Slow.Std())
	}
	if ft.Down {
		return ct.Status(fiber.StatusServiceUnavailable).SendString("down")
	}
	return ct.Next()
}

// hangUp closes the connection in place of an answer.
func hangUp(ct *fiber.Ctx) error {
	_ = ct.Context().Conn().Close()
	return nil
}

// Serve runs an app at addr until ctx ends. ready, if not nil, gets the address.
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
