package relay

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/state/routes"
)

const (
	// mostBody bounds a whole answer of a plain service.
	mostBody = 16 << 20
	// partBytes is the size of one read of a stream.
	partBytes = 4 << 10
)

// start notes the first byte of an answer that ran.
func (ru *run) start(pi *picked, began time.Time) {
	if ru.patience != nil {
		ru.patience.Stop()
	}
	ru.rl.heard(ru.rq.Service, pi)
	if time.Since(pi.sent) > ru.rq.Route.Target {
		ru.rl.Meter.Late(ru.rq.Service)
	}
	ru.rl.Log.Debug("answer_began", zap.String("request", string(ru.rq.ID)), zap.String("server", string(pi.Server.ID)),
		zap.Duration("predicted", pi.FirstToken), zap.Duration("took", time.Since(pi.sent)), zap.Int64("fresh_tokens", int64(pi.Uncached)))
	if ru.rq.Customer != nil {
		ru.rl.Meter.Began(ru.rq.Customer.ID, began)
	}
}

// whole passes on an answer once all of it is there.
func (ru *run) whole(pi *picked, rp *Reply, sentAt time.Time) error {
	const op = "relay.whole"
	ru.start(pi, sentAt)
	body, err := io.ReadAll(io.LimitReader(rp.Body, mostBody))
	if err != nil {
		return fault.Wrap(op, KindBroken, err)
	}
	if rp.Status >= fasthttp.StatusInternalServerError && ru.mayRepeat() {
		ru.failure = &failure{head: rp.Head, body: body}
		return fault.New(op, KindErrored, "server %s answered with status %d", pi.Server.ID, rp.Status)
	}
	if ru.sink.Started() {
		return fault.New(op, KindErrored, "server %s refused to resume with status %d", pi.Server.ID, rp.Status)
	}
	ru.rl.FirstEvent(time.Since(ru.rq.Arrived))
	if err := ru.sink.Whole(rp.Head, body); err != nil {
		return fault.Wrap(op, KindGone, err)
	}
	if rp.Status >= fasthttp.StatusInternalServerError {
		ru.result = place.Errored
	}
	return nil
}

// mayRepeat tells whether an answer that tells a failure can be replaced by another.
func (ru *run) mayRepeat() bool {
	return ru.rq.Route.Repeat != routes.Once && ru.sends < ru.rq.Route.Attempts && time.Until(ru.rq.Until) > leastLeft
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// stream passes on events as they arrive, each whole.
func (ru *run) stream(pi *picked, rp *Reply) error {
	const op = "relay.stream"
	var held []byte
	buf := make([]byte, partBytes)
	for first := true; ; {
		num, err := rp.Body.Read(buf)
		held = append(held, buf[:num]...)
		if at := bytes.LastIndex(held, eventEnd); at >= 0 {
			if first {
				first = false
				ru.start(pi, time.Now())
			}
			if err := ru.pass(rp, held[:at+len(eventEnd)]); err != nil {
				return fault.Wrap(op, KindGone, err)
			}
			held = append(held[:0], held[at+len(eventEnd):]...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(held) == 0 && ru.sink.Started():
			if err := ru.sink.End(); err != nil {
				return fault.Wrap(op, KindGone, err)
			}
			return nil
		case errors.Is(err, io.EOF):
			return fault.New(op, KindBroken, "server %s ended a stream within an event", pi.Server.ID)
		case err != nil:
			return fault.Wrap(op, KindBroken, err)
		}
	}
}

// pass sends whole events to the caller.
func (ru *run) pass(rp *Reply, events []byte) error {
	if !ru.sink.Started() {
		ru.rl.FirstEvent(time.Since(ru.rq.Arrived))
		if err := ru.sink.Start(rp.Head); err != nil {
			return err
		}
	}
	for _, ev := range bytes.Split(events, eventEnd) {
		if len(ev) == 0 {
			continue
		}
		ru.events++
		for _, line := range bytes.Split(ev, []byte("\n")) {
			if id, ok := bytes.CutPrefix(line, idField); ok {
				ru.lastEvent = string(bytes.TrimSpace(id))
			}
		}
	}
	return ru.sink.Part(events)
}
