package stand

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"

	"lycheepick/internal/plat/logsvc"
	"lycheepick/internal/rule/units"
)

// Log is an in-memory fake of the log service.
type Log struct {
	retention time.Duration
	// wallClock gives the times that records carry.
	wallClock func() time.Time
	faults    faults

	mu      sync.Mutex
	streams map[string]*stream
	appends int
}

type stream struct {
	firstOffset units.Offset
	records     []logsvc.Record
	// addedAt holds when each record was appended. It decides when one expires: a time that a
	// record carries would remove all of them when the wall clock is set.
	addedAt  []time.Time
	appended chan struct{}
}

// NewLog returns an empty log service that removes records older than retention.
func NewLog(retention time.Duration) *Log {
	return &Log{retention: retention, wallClock: time.Now, streams: map[string]*stream{}}
}

// App returns the HTTP server of the log service. GET /admin/appends returns the number of
// appends.
func (lo *Log) App() *fiber.App {
	app := lo.faults.newApp()
	app.Get("/admin/appends", func(ct *fiber.Ctx) error {
		lo.mu.Lock()
		defer lo.mu.Unlock()
		return ct.JSON(lo.appends)
	})
	app.Use(lo.faults.applyFaults)
	app.Post("/streams/:stream/records", lo.append)
	app.Get("/streams/:stream/records", lo.read)
	return app
}

// stream returns the named stream, which it creates if missing. The caller holds the lock.
func (lo *Log) stream(name string) *stream {
	st := lo.streams[name]
	if st == nil {
		st = &stream{appended: make(chan struct{})}
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
	off := st.firstOffset + units.Offset(len(st.records))
	st.records = append(st.records, logsvc.Record{Offset: off, At: lo.wallClock().UTC(), Body: append([]byte(nil), ct.Body()...)})
	st.addedAt = append(st.addedAt, time.Now())
	close(st.appended)
	st.appended = make(chan struct{})
	lo.appends++
	lo.mu.Unlock()
	if lo.faults.dropAnswer() {
		return closeConn(ct)
	}
	return ct.JSON(fiber.Map{"offset": off})
}

func (lo *Log) read(ct *fiber.Ctx) error {
	from := units.Offset(ct.QueryInt("from"))
	limit := ct.QueryInt("max", 1000)
	wait, _ := time.ParseDuration(ct.Query("wait", "0s"))
	until := time.Now().Add(wait)
	for {
		page, appended := lo.page(ct.Params("stream"), from, limit)
		left := time.Until(until)
		if len(page.Records) > 0 || left <= 0 || lo.faults.get().Down {
			return ct.JSON(page)
		}
		select {
		case <-appended:
		case <-time.After(left):
		}
	}
}

// page returns the records from offset from on, up to limit, and a channel that is closed
// at the next append.
func (lo *Log) page(name string, from units.Offset, limit int) (logsvc.Page, chan struct{}) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	st := lo.stream(name)
	oldest := time.Now().Add(-lo.retention)
	for len(st.records) > 0 && st.addedAt[0].Before(oldest) {
		st.records, st.addedAt = st.records[1:], st.addedAt[1:]
		st.firstOffset++
	}
	page := logsvc.Page{
		First: st.firstOffset, Next: st.firstOffset + units.Offset(len(st.records)),
		Retention: units.Duration(lo.retention), Records: []logsvc.Record{},
	}
	start := max(0, int(from-st.firstOffset))
	if start < len(st.records) {
		end := min(len(st.records), start+limit)
		page.Records = append(page.Records, st.records[start:end]...)
	}
	return page, st.appended
}
