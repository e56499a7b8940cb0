package stand

import (
	"sync"

	"github.com/gofiber/fiber/v2"

	"lycheepick/internal/edge/engine"
)

// Plain is a stand-in of a plain service. It counts what it runs.
type Plain struct {
	name   string
	faults faults

	mu       sync.Mutex
	draining bool
	runs     map[string]int
}

// NewPlain returns an idle service.
func NewPlain(name string) *Plain { return &Plain{name: name, runs: map[string]int{}} }

// PlainAnswer is the body that the service answers with.
type PlainAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Echo    string `json:"echo"`
}

// App returns the service's HTTP server. A request is known by its body.
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
	app.Use(pl.faults.guard)
	app.All("/*", pl.answer)
	return app
}

func (pl *Plain) answer(ct *fiber.Ctx) error {
	if reason := pl.refuses(); reason != "" {
		ct.Set(engine.HeaderRefused, reason)
		return ct.Status(fiber.StatusServiceUnavailable).SendString(reason)
	}
	if ct.Path() == "/healthz" {
		return ct.SendString("ok")
	}
	pl.mu.Lock()
	pl.runs[string(ct.Body())]++
	pl.mu.Unlock()
	if pl.faults.loses() {
		return hangUp(ct)
	}
	return ct.JSON(PlainAnswer{Service: pl.name, Path: ct.Path(), Echo: string(ct.Body())})
}

func (pl *Plain) refuses() string {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.draining {
		return engine.RefusedDraining
	}
	return pl.faults.get().Refuse
}
