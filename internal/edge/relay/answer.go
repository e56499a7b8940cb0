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
	// maxBodyBytes bounds the body of a response that is not streamed. A longer one counts as broken off.
	maxBodyBytes = 16 << 20
	// readBytes is the read buffer size for streams.
	readBytes = 4 << 10
)

// recordStart records that a response started. began is the time at which the request counts
// as executed.
func (ru *run) recordStart(pi *picked, began time.Time) {
	ru.beganAt = time.Now()
	if ss, ok := ru.sink.(ServedSink); ok {
		ss.Served(&pi.Server)
	}
	if pi.detour {
		return // The other node records it.
	}
	ru.rl.recordFirstByte(ru.rq.Service, pi)
	if time.Since(pi.sent) > ru.rq.Route.TargetLatency {
		ru.rl.Meter.RecordLate(ru.rq.Service)
	}
	ru.rl.Log.Debug("answer_began", zap.String("request", string(ru.rq.ID)), zap.String("server", string(pi.Server.ID)),
		zap.Duration("predicted", pi.FirstToken), zap.Duration("took", time.Since(pi.sent)), zap.Int64("fresh_tokens", int64(pi.Uncached)))
	if ru.rq.Customer != nil {
		ru.rl.Meter.RecordStart(ru.rq.Customer.ID, began)
	}
}

// whole reads a complete response and sends it to the caller. Server errors of retryable
// requests are kept in ru.failure instead.
func (ru *run) whole(pi *picked, rp *Reply, sentAt time.Time) error {
	const op = "relay.whole"
	ru.firstByte.stop() // If it is too late, a body that has arrived whole is sent all the same.
	ru.recordStart(pi, sentAt)
	body, err := readBody(rp.Body)
	if err != nil {
		return err
	}
	if rp.Status >= fasthttp.StatusInternalServerError && ru.canRetry() {
		ru.failure = &failure{head: rp.Head, body: body}
		return fault.New(op, KindErrored, "server %s answered with status %d", pi.Server.ID, rp.Status)
	}
	if ru.sink.Started() {
		return fault.New(op, KindErrored, "server %s refused to resume with status %d", pi.Server.ID, rp.Status)
	}
	ru.rl.ObserveFirstByte(time.Since(ru.rq.Arrived))
	if err := ru.sink.Respond(rp.Head, body); err != nil {
		return fault.Wrap(op, KindCallerGone, err)
	}
	if rp.Status >= fasthttp.StatusInternalServerError {
		ru.result = place.Errored
	}
	return nil
}

// readBody reads a body of up to maxBodyBytes.
func readBody(rd io.Reader) ([]byte, error) {
	const op = "relay.readBody"
	body, err := io.ReadAll(io.LimitReader(rd, maxBodyBytes+1))
	if err != nil {
		return nil, fault.Wrap(op, KindBroken, err)
	}
	if len(body) > maxBodyBytes {
		return nil, fault.New(op, KindBroken, "body is longer than %d bytes", maxBodyBytes)
	}
	return body, nil
}

// canRetry reports whether the route, the attempts left and the deadline allow a retry.
func (ru *run) canRetry() bool {
	return ru.rq.Route.RetryPolicy != routes.AtMostOnce && ru.sends < ru.rq.Route.MaxAttempts && time.Until(ru.rq.Deadline) > minRetryTime
}

// forwardBody forwards the response of a server, which is a stream if its route and its type say so.
func (ru *run) forwardBody(pi *picked, rp *Reply, sentAt time.Time) error {
	if ru.rq.Route.Stream && rp.Status == fasthttp.StatusOK && isEventStream(rp.Head) {
		return ru.stream(pi, rp)
	}
	return ru.whole(pi, rp, sentAt)
}

// stream forwards server-sent events as they arrive, never a part of an event. Only an answer that
// has brought an event ends the stream.
func (ru *run) stream(pi *picked, rp *Reply) error {
	const op = "relay.stream"
	var pending []byte
	buf := make([]byte, readBytes)
	began := ru.events
	for first := true; ; {
		num, err := rp.Body.Read(buf)
		pending = append(pending, buf[:num]...)
		if at := bytes.LastIndex(pending, eventEnd); at >= 0 {
			if first {
				if !ru.firstByte.stop() {
					return fault.New(op, KindFirstByteTimeout, "server %s answered as the attempt timed out", pi.Server.ID)
				}
				first = false
				ru.recordStart(pi, time.Now())
				ru.keepVersion(pi)
			}
			if err := ru.forwardEvents(rp, pending[:at+len(eventEnd)]); err != nil {
				return err
			}
			pending = append(pending[:0], pending[at+len(eventEnd):]...)
		}
		switch {
		case len(pending) > maxEventBytes:
			return fault.New(op, KindBroken, "server %s sent an event of over %d bytes", pi.Server.ID, maxEventBytes)
		case errors.Is(err, io.EOF) && len(pending) == 0 && ru.events > began:
			if err := ru.sink.End(); err != nil {
				return fault.Wrap(op, KindCallerGone, err)
			}
			return nil
		case errors.Is(err, io.EOF):
			return fault.Wrap(op, KindBroken, errors.Wrapf(io.ErrUnexpectedEOF, "server %s ended a stream within an event", pi.Server.ID))
		case err != nil:
			return fault.Wrap(op, KindBroken, err)
		}
	}
}

// forwardEvents sends complete events to the caller and tracks the last event ID. The error is of
// KindBroken at an event that doesn't go on after the last one, and of KindCallerGone.
func (ru *run) forwardEvents(rp *Reply, events []byte) error {
	const op = "relay.forwardEvents"
	good, count, latest, bad := nextEvents(events, ru.lastEvent)
	if len(good) > 0 {
		if !ru.sink.Started() {
			ru.rl.ObserveFirstByte(time.Since(ru.rq.Arrived))
			if err := ru.sink.Start(rp.Head); err != nil {
				return fault.Wrap(op, KindCallerGone, err)
			}
		}
		ru.events, ru.lastEvent = ru.events+count, latest
		if err := ru.sink.Part(good); err != nil {
			return fault.Wrap(op, KindCallerGone, err)
		}
	}
	return fault.Wrap(op, KindBroken, bad)
}
