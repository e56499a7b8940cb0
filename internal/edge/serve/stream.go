package serve

import (
	"bufio"
	"context"
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v2"

	"lycheepick/internal/edge/flow"
	"lycheepick/internal/rule/fault"
)

// firstWait is how long the status of a streamed answer is held back, so that an early
// failure still gets a status of its own. After it the stream begins with a comment,
// which is what tells that the caller has gone.
const firstWait = 300 * time.Millisecond

// piece is one thing to write to a stream.
type piece struct {
	index   int
	text    string
	comment bool
}

// pipe is the sink of a streamed answer: it passes pieces from the goroutine of the
// run to the one that writes to the caller.
type pipe struct {
	ctx    context.Context
	pieces chan piece
}

// Token implements flow.Sink.
func (pi *pipe) Token(index int, text string) error { return pi.send(piece{index: index, text: text}) }

// KeepAlive implements flow.Sink. A comment is dropped if the writer is busy.
func (pi *pipe) KeepAlive() error {
	select {
	case pi.pieces <- piece{comment: true}:
	default:
	}
	return pi.ctx.Err()
}

func (pi *pipe) send(pc piece) error {
	select {
	case pi.pieces <- pc:
		return nil
	case <-pi.ctx.Done():
		return pi.ctx.Err()
	}
}

// live is a streamed answer in progress.
type live struct {
	sv     *Server
	ex     *exchange
	pipe   *pipe
	cancel context.CancelFunc
	// end carries the outcome once the run has ended.
	end chan flow.Outcome
}

// streamBuffer lets the engine run a little ahead of a slow caller.
const streamBuffer = 32

func (sv *Server) stream(ct *fiber.Ctx, ex *exchange, place *flow.Admission) error {
	ctx, cancel := context.WithCancel(sv.ctx)
	li := &live{
		sv: sv, ex: ex, cancel: cancel,
		pipe: &pipe{ctx: ctx, pieces: make(chan piece, streamBuffer)},
		end:  make(chan flow.Outcome, 1),
	}
	go li.run(ctx, place)
	first, out := li.await()
	if out != nil && out.Failure != nil && first == nil {
		cancel()
		sv.handOver(ex, out)
		return fail(ct, out.Failure)
	}
	ct.Set(fiber.HeaderContentType, "text/event-stream")
	ct.Set(fiber.HeaderCacheControl, "no-store")
	ct.Context().SetBodyStreamWriter(func(wr *bufio.Writer) { li.write(wr, first, out) })
	return nil
}

func (li *live) run(ctx context.Context, place *flow.Admission) {
	out := li.sv.flow.Model(ctx, li.ex.job, li.pipe)
	place.Release(used(li.ex.job, &out))
	li.end <- out
}

// await returns the first token, or the outcome if that comes first, or neither after
// firstWait.
func (li *live) await() (*piece, *flow.Outcome) {
	if len(li.ex.job.Tokens) > li.ex.have {
		return nil, nil // There are tokens to send at once.
	}
	tm := time.NewTimer(firstWait)
	defer tm.Stop()
	for {
		select {
		case pc := <-li.pipe.pieces:
			if !pc.comment {
				return &pc, nil
			}
		case out := <-li.end:
			return li.leftover(), &out
		case <-tm.C:
			return nil, nil
		}
	}
}

// leftover returns a token that was sent before the run ended.
func (li *live) leftover() *piece {
	for {
		select {
		case pc := <-li.pipe.pieces:
			if !pc.comment {
				return &pc
			}
		default:
			return nil
		}
	}
}

// write sends the stream to the caller until it ends or the caller has gone.
func (li *live) write(wr *bufio.Writer, first *piece, out *flow.Outcome) {
	defer li.cancel()
	ew := &eventWriter{wr: wr, ex: li.ex, created: time.Now().Unix()}
	ew.comment()
	for idx := li.ex.have; idx < len(li.ex.job.Tokens); idx++ {
		ew.token(piece{index: idx, text: li.ex.job.Tokens[idx]})
	}
	if first != nil {
		ew.token(*first)
	}
	for out == nil && ew.flush() {
		out = li.next(ew)
	}
	if out == nil { // The caller has gone.
		li.cancel()
		end := <-li.end
		if end.Failure != nil {
			li.sv.handOver(li.ex, &end)
		}
		return
	}
	for pc := li.leftover(); pc != nil; pc = li.leftover() {
		ew.token(*pc)
	}
	li.finish(ew, out)
}

func (li *live) next(ew *eventWriter) *flow.Outcome {
	select {
	case pc := <-li.pipe.pieces:
		if pc.comment {
			ew.comment()
		} else {
			ew.token(pc)
		}
		return nil
	case out := <-li.end:
		return &out
	}
}

func (li *live) finish(ew *eventWriter, out *flow.Outcome) {
	if out.Failure == nil {
		ew.finish(out.Finish)
		ew.flush()
		return
	}
	li.sv.handOver(li.ex, out)
	if fault.Is(out.Failure.Err, flow.KindHandedOver) {
		ew.handedOver()
	}
	ew.failure(out.Failure)
	ew.flush()
}

// eventWriter writes server-sent events. The first error sticks.
type eventWriter struct {
	wr      *bufio.Writer
	ex      *exchange
	created int64
	err     error
}

func (ew *eventWriter) raw(text string) {
	if ew.err == nil {
		_, ew.err = ew.wr.WriteString(text)
	}
}

// comment writes a line that clients skip. An empty line after it would be an event
// without data to some client libraries.
func (ew *eventWriter) comment() { ew.raw(":\n") }

func (ew *eventWriter) data(val any) {
	raw, err := json.Marshal(val)
	if err != nil {
		ew.err = err
		return
	}
	ew.raw("data: ")
	ew.raw(string(raw))
	ew.raw("\n\n")
}

func (ew *eventWriter) token(pc piece) {
	ew.raw("id: " + eventID(ew.ex.job.ID, pc.index) + "\n")
	ew.data(chunkBody(ew.ex, ew.created, pc.text, ""))
}

func (ew *eventWriter) finish(reason string) {
	ew.data(chunkBody(ew.ex, ew.created, "", reason))
	ew.raw("data: [DONE]\n\n")
}

// handedOver tells a reconnecting client to come back at once.
func (ew *eventWriter) handedOver() { ew.raw("retry: 1\n") }

func (ew *eventWriter) failure(fa *flow.Failure) {
	ew.data(errorBody{Error: detail(fa)})
}

func (ew *eventWriter) flush() bool {
	if ew.err == nil {
		ew.err = ew.wr.Flush()
	}
	return ew.err == nil
}
