package stand

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"lycheepick/internal/plat/logsvc"
	"lycheepick/internal/rule/units"
)

// Log is a stand-in of the log service.
type Log struct {
	retention time.Duration
	faults    faults

	mu      sync.Mutex
	streams map[string]*stream
	appends int
}

type stream struct {
	first   units.Offset
	records []logsvc.Record
	grown   chan struct{}
}

// NewLog returns an empty log service that keeps records for retention.
func NewLog(retention time.Duration) *Log {
	return &Log{retention: retention, streams: map[string]*stream{}}
}

// App returns the log service's HTTP server.
func (lo *Log) App() *fiber.App {
	app := lo.faults.newApp()
	app.Get("/admin/appends", func(ct *fiber.Ctx) error {
		lo.mu.Lock()
		defer lo.mu.Unlock()
		return ct.JSON(lo.appends)
	})
	app.Use(lo.faults.guard)
	app.Post("/streams/:stream/records", lo.append)
	app.Get("/streams/:stream/records", lo.read)
	return app
}

func (lo *Log) stream(name string) *stream {
	st := lo.streams[name]
	if st == nil {
		st = &stream{grown: make(chan struct{})}
		lo.streams[name] = st
	}
	return st
}

func (lo *Log) append(ct *fiber.Ctx) error {
	if !json.Valid(ct.Body()) {
		return ct.Status(fiber.StatusBadRequest).SendString("not JSON")
	}
	lo.mu.Lock()
	st := lo.stream(ct.Params("stream"))
	off := st.first + units.Offset(len(st.records))
	st.records = append(st.records, logsvc.Record{Offset: off, At: time.Now().UTC(), Body: append([]byte(nil), ct.Body()...)})
	close(st.grown)
	st.grown = make(chan struct{})
	lo.appends++
	lo.mu.Unlock()
	if lo.faults.loses() {
		return hangUp(ct)
	}
	return ct.JSON(fiber.Map{"offset": off})
}

func (lo *Log) read(ct *fiber.Ctx) error {
	from := units.Offset(ct.QueryInt("from"))
	limit := ct.QueryInt("max", 1000)
	patience, _ := time.ParseDuration(ct.Query("wait", "0s"))
	until := time.Now().Add(patience)
	for {
		page, grown := lo.page(ct.Params("stream"), from, limit)
		left := time.Until(until)
		if len(page.Records) > 0 || left <= 0 || lo.faults.get().Down {
			return ct.JSON(page)
		}
		select {
		case <-grown:
		case <-time.After(left):
		}
	}
}

func (lo *Log) page(name string, from units.Offset, limit int) (logsvc.Page, chan struct{}) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	st := lo.stream(name)
	oldest := time.Now().Add(-lo.retention)
	for len(st.records) > 0 && st.records[0].At.Before(oldest) {
		st.records = st.records[1:]
		st.first++
	}
	page := logsvc.Page{
		First: st.first, Next: st.first + units.Offset(len(st.records)),
		Retention: units.Duration(lo.retention), Records: []logsvc.Record{},
	}
	start := max(0, int(from-st.first))
	if start < len(st.records) {
		end := min(len(st.records), start+limit)
		page.Records = append(page.Records, st.records[start:end]...)
	}
	return page, st.grown
}
