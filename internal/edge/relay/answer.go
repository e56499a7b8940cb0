package relay

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"lycheepick/internal/edge/memory"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/place"
	"lycheepick/internal/state/routes"
)

const (
	// maxBodyBytes bounds the body of a response that is not streamed. A longer one counts as broken off.
	maxBodyBytes = 16 << 20
	// passBytes is the size of the buffer for the rest of a body that is not collected.
	passBytes = 16 << 10
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
	pi.failed = rp.Status >= fasthttp.StatusBadRequest
	ru.recordStart(pi, sentAt)
	bf := ru.rl.Bodies.NewBuffer()
	defer func() {
		if bf != nil {
			bf.Free()
		}
	}()
	hasRest, err := collect(bf, rp.Body)
	if err != nil {
		return err
	}
	if hasRest {
		return ru.passOn(pi, rp, bf)
	}
	if rp.Status >= fasthttp.StatusInternalServerError && ru.canRetry() {
		ru.keepFailure(rp.Head, bf)
		bf = nil
		return fault.New(op, KindErrored, "server %s answered with status %d", pi.Server.ID, rp.Status)
	}
	if ru.sink.Started() {
		return fault.New(op, KindErrored, "server %s refused to resume with status %d", pi.Server.ID, rp.Status)
	}
	ru.rl.ObserveFirstByte(time.Since(ru.rq.Arrived))
	if err := ru.sink.Respond(rp.Head, bf.Bytes()); err != nil {
		return fault.Wrap(op, KindCallerGone, err)
	}
	if rp.Status >= fasthttp.StatusInternalServerError {
		ru.result = place.Errored
	}
	return nil
}

// keepFailure keeps the error response of a server, in place of an earlier one.
func (ru *run) keepFailure(head *fasthttp.ResponseHeader, body *memory.Buffer) {
	ru.dropFailure()
	ru.failure = &failure{head: head, body: body}
}

func (ru *run) dropFailure() {
	if ru.failure != nil {
		ru.failure.body.Free()
		ru.failure = nil
	}
}

// collect reads a body of up to maxBodyBytes into bf. hasRest is set if it stops before the end, since the
// requests in progress may hold no more.
func collect(bf *memory.Buffer, rd io.Reader) (hasRest bool, err error) {
	const op = "relay.collect"
	for {
		if len(bf.Bytes()) == maxBodyBytes {
			return false, expectEnd(rd)
		}
		room := bf.Room()
		if room == nil {
			return true, nil
		}
		num, err := rd.Read(room[:min(len(room), maxBodyBytes-len(bf.Bytes()))])
		bf.Extend(num)
		if errors.Is(err, io.EOF) {
			return false, nil
		}
		if err != nil {
			return false, fault.Wrap(op, KindBroken, err)
		}
	}
}

// expectEnd reads the end of a body of maxBodyBytes.
func expectEnd(rd io.Reader) error {
	const op = "relay.expectEnd"
	var one [1]byte
	switch num, err := io.ReadFull(rd, one[:]); {
	case num > 0:
		return fault.New(op, KindBroken, "body is longer than %d bytes", maxBodyBytes)
	case errors.Is(err, io.EOF):
		return nil
	default:
		return fault.Wrap(op, KindBroken, err)
	}
}

// passOn sends a response to the caller whose body is collected in part, and the rest as it comes. An answer
// that breaks off can't be replaced then.
func (ru *run) passOn(pi *picked, rp *Reply, bf *memory.Buffer) error {
	const op = "relay.passOn"
	switch {
	case rp.Status >= fasthttp.StatusInternalServerError && ru.canRetry():
		return fault.New(op, KindErrored, "server %s answered with status %d", pi.Server.ID, rp.Status)
	case ru.sink.Started():
		return fault.New(op, KindErrored, "server %s refused to resume with status %d", pi.Server.ID, rp.Status)
	}
	ru.rl.Counts.PassedOn.Add(1)
	ru.passed = true
	ru.rl.ObserveFirstByte(time.Since(ru.rq.Arrived))
	if err := ru.sink.Start(rp.Head); err != nil {
		return fault.Wrap(op, KindCallerGone, err)
	}
	size := len(bf.Bytes())
	if err := ru.sink.Part(bf.Bytes()); err != nil {
		return fault.Wrap(op, KindCallerGone, err)
	}
	bf.Free()
	buf := make([]byte, passBytes)
	for {
		num, err := rp.Body.Read(buf)
		size += num
		if size > maxBodyBytes {
			return fault.New(op, KindBroken, "body is longer than %d bytes", maxBodyBytes)
		}
		if werr := ru.sink.Part(buf[:num]); werr != nil {
			return fault.Wrap(op, KindCallerGone, werr)
		}
		switch {
		case errors.Is(err, io.EOF):
			return ru.endPassed(rp)
		case err != nil:
			return fault.Wrap(op, KindBroken, err)
		}
	}
}

func (ru *run) endPassed(rp *Reply) error {
	if err := ru.sink.End(); err != nil {
		return fault.Wrap("relay.endPassed", KindCallerGone, err)
	}
	if rp.Status >= fasthttp.StatusInternalServerError {
		ru.result = place.Errored
	}
	return nil
}

// canRetry reports whether the route, the attempts left and the deadline allow a retry.
func (ru *run) canRetry() bool {
	return ru.rq.Route.RetryPolicy != routes.AtMostOnce && ru.sends < ru.rq.Route.MaxAttempts && time.Until(ru.rq.Deadline) > minRetryTime
}

// forwardBody forwards the response of a server, which is a stream if its route and its type say so.
func (ru *run) forwardBody(pi *picked, rp *Reply, sentAt time.Time) error {
	rp.Body = &countedBody{Reader: rp.Body, count: &ru.received}
	if ru.rq.Route.Stream && rp.Status == fasthttp.StatusOK && isEventStream(rp.Head) {
		return ru.stream(pi, rp)
	}
	return ru.whole(pi, rp, sentAt)
}

// stream forwards server-sent events as they arrive, never a part of an event. Only an answer that
// has brought an event ends the stream.
func (ru *run) stream(pi *picked, rp *Reply) error {
	const op = "relay.stream"
	pending := ru.rl.Events.NewBuffer()
	defer pending.Free()
	began := ru.events
	for first := true; ; {
		room := pending.Room()
		if room == nil {
			return fault.New(op, KindBroken, "server %s sent an event of over %d bytes, and other requests hold what there is for such", pi.Server.ID, len(pending.Bytes()))
		}
		num, err := rp.Body.Read(room)
		pending.Extend(num)
		if at := bytes.LastIndex(pending.Bytes(), eventEnd); at >= 0 {
			if first {
				if !ru.firstByte.stop() {
					return fault.New(op, KindFirstByteTimeout, "server %s answered as the attempt timed out", pi.Server.ID)
				}
				first = false
				ru.recordStart(pi, time.Now())
				ru.keepVersion(pi)
			}
			if err := ru.forwardEvents(rp, pending.Bytes()[:at+len(eventEnd)]); err != nil {
				return err
			}
			pending.Discard(at + len(eventEnd))
		}
		left := len(pending.Bytes())
		switch {
		case left > maxEventBytes:
			return fault.New(op, KindBroken, "server %s sent an event of over %d bytes", pi.Server.ID, maxEventBytes)
		case errors.Is(err, io.EOF) && left == 0 && ru.events > began:
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
		ru.delivered = latest
	}
	return fault.Wrap(op, KindBroken, bad)
}
