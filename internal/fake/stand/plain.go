package stand

import (
	"sync"

	"github.com/gofiber/fiber/v2"

	"lycheepick/internal/edge/engine"
)

// Plain is a fake plain service. It counts the requests that it executes.
type Plain struct {
	name   string
	faults faults

	mu       sync.Mutex
	draining bool
	runs     map[string]int
}

// NewPlain returns a service that is not draining. name appears in its answers.
func NewPlain(name string) *Plain { return &Plain{name: name, runs: map[string]int{}} }

// PlainAnswer is the body of the service's answers, as JSON. Echo is the request body.
type PlainAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Echo    string `json:"echo"`
}

// App returns the HTTP server of the service. GET /admin/runs returns the number of
// executions for each request body.
func (pl *Plain) App() *fiber.App {
	app := pl.faults.newApp()
	app.Post("/admin/drain", func(ct *fiber.Ctx) error {
		pl.mu.Lock()
		defer pl.mu.Unlock()
		pl.draining = true
		return ct.SendStatus(fiber.StatusOK)
	})
	app.Get("/admin/runs", func(ct *fiber.Ctx) error {
		pl.mu.Lock()
		defer pl.mu.Unlock()
		return ct.JSON(pl.runs)
	})
	app.Use(pl.faults.applyFaults)
	app.All("/*", pl.answer)
	return app
}

func (pl *Plain) answer(ct *fiber.Ctx) error {
	echoAttempt(ct)
	if reason := pl.refusalReason(); reason != "" {
		ct.Set(engine.HeaderRefused, reason)
		return ct.Status(fiber.StatusServiceUnavailable).SendString(reason)
	}
	if ct.Path() == "/healthz" {
		return ct.SendString("ok")
	}
	pl.mu.Lock()
	pl.runs[string(ct.Body())]++
	pl.mu.Unlock()
	if pl.faults.dropAnswer() {
		return closeConn(ct)
	}
	return ct.JSON(PlainAnswer{Service: pl.name, Path: ct.Path(), Echo: string(ct.Body())})
}

// refusalReason returns why requests are refused at present, or "" if they are accepted.
func (pl *Plain) refusalReason() string {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.draining {
		return engine.RefusedDraining
	}
	return pl.faults.get().Refuse
}
