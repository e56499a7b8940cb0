package serve

import (
	"bufio"
	"context"
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v2"

	"lycheepick/internal/edge/flow"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// firstTokenWait is how long the status line of a streamed response is delayed, so that an
// early failure can still be sent as an HTTP error. After it the stream starts with a
// comment, since only writing shows whether the caller has disconnected.
const firstTokenWait = 300 * time.Millisecond

// streamItem is a token or a comment to write to a stream.
type streamItem struct {
	index   int
	text    string
	comment bool
}

// streamSink is the sink of a streamed response. It passes items from the goroutine that
// runs the request to the one that writes to the caller.
type streamSink struct {
	ctx   context.Context
	items chan streamItem
}

// Token implements flow.Sink.
func (ss *streamSink) Token(index int, text string) error {
	return ss.send(streamItem{index: index, text: text})
}

// KeepAlive implements flow.Sink. The comment is dropped if the buffer is full.
func (ss *streamSink) KeepAlive() error {
	select {
	case ss.items <- streamItem{comment: true}:
	default:
	}
	return ss.ctx.Err()
}

func (ss *streamSink) send(it streamItem) error {
	select {
	case ss.items <- it:
		return nil
	case <-ss.ctx.Done():
		return ss.ctx.Err()
	}
}

// streamedResponse is a streamed response in progress.
type streamedResponse struct {
	sv     *Server
	ex     *modelExchange
	sink   *streamSink
	cancel context.CancelFunc
	// end receives the outcome once the run has ended.
	end chan flow.Outcome
}

// streamBuffer is the number of items buffered for a slow caller.
const streamBuffer = 32

func (sv *Server) stream(ct *fiber.Ctx, ex *modelExchange, admission *flow.Admission) error {
	ctx, cancel := context.WithCancel(sv.ctx)
	sr := &streamedResponse{
		sv: sv, ex: ex, cancel: cancel,
		sink: &streamSink{ctx: ctx, items: make(chan streamItem, streamBuffer)},
		end:  make(chan flow.Outcome, 1),
	}
	sv.streams.Store(ex.request.ID, sr)
	go sr.run(ctx, admission)
	first, out := sr.awaitFirst()
	if out != nil && out.Failure != nil && first == nil {
		defer sr.forget()
		cancel()
		sv.handOver(ex, out)
		return fail(ct, out.Failure)
	}
	ct.Set(fiber.HeaderContentType, "text/event-stream")
	ct.Set(fiber.HeaderCacheControl, "no-store")
	sv.requests.Extend() // The handler returns before the stream is written.
	ct.Context().SetBodyStreamWriter(func(wr *bufio.Writer) { sr.write(wr, first, out) })
	return nil
}

// IsStreaming reports whether a streamed response of a customer is in progress. One whose
// caller has disconnected is in progress until its session is stored at peers.
func (sv *Server) IsStreaming(cu units.CustomerID, rq units.RequestID) bool {
	val, ok := sv.streams.Load(rq)
	return ok && val.(*streamedResponse).ex.request.Row.Customer == cu
}

// forget removes a response that has ended, unless its request has been resumed here.
func (sr *streamedResponse) forget() {
	sr.sv.streams.CompareAndDelete(sr.ex.request.ID, sr)
}

func (sr *streamedResponse) run(ctx context.Context, admission *flow.Admission) {
	out := sr.sv.flow.Model(ctx, sr.ex.request, sr.sink)
	admission.Release(tokensUsed(sr.ex.request, &out))
	sr.end <- out
}

// awaitFirst returns the first token, or the outcome if that comes first, or neither after
// firstTokenWait.
func (sr *streamedResponse) awaitFirst() (*streamItem, *flow.Outcome) {
	if len(sr.ex.request.Tokens) > sr.ex.received {
		return nil, nil // Tokens of the session can be sent at once.
	}
	tm := time.NewTimer(firstTokenWait)
	defer tm.Stop()
	for {
		select {
		case it := <-sr.sink.items:
			if !it.comment {
				return &it, nil
			}
		case out := <-sr.end:
			return sr.pendingToken(), &out
		case <-tm.C:
			return nil, nil
		}
	}
}

// pendingToken returns the next token still buffered after the run has ended, or nil.
func (sr *streamedResponse) pendingToken() *streamItem {
	for {
		select {
		case it := <-sr.sink.items:
			if !it.comment {
				return &it
			}
		default:
			return nil
		}
	}
}

// write sends the stream to the caller until it ends or the caller has disconnected.
func (sr *streamedResponse) write(wr *bufio.Writer, first *streamItem, out *flow.Outcome) {
	defer sr.sv.requests.Leave()
	defer sr.forget()
	defer sr.cancel()
	ew := &eventWriter{wr: wr, ex: sr.ex, created: time.Now().Unix()}
	ew.comment()
	for idx := sr.ex.received; idx < len(sr.ex.request.Tokens); idx++ {
		ew.token(streamItem{index: idx, text: sr.ex.request.Tokens[idx]})
	}
	if first != nil {
		ew.token(*first)
	}
	for out == nil && ew.flush() {
		out = sr.next(ew)
	}
	if out == nil { // The caller has disconnected.
		sr.cancel()
		end := <-sr.end
		if end.Failure != nil {
			sr.sv.handOver(sr.ex, &end)
		}
		return
	}
	for it := sr.pendingToken(); it != nil; it = sr.pendingToken() {
		ew.token(*it)
	}
	sr.finish(ew, out)
}

func (sr *streamedResponse) next(ew *eventWriter) *flow.Outcome {
	select {
	case it := <-sr.sink.items:
		if it.comment {
			ew.comment()
		} else {
			ew.token(it)
		}
		return nil
	case out := <-sr.end:
		return &out
	}
}

func (sr *streamedResponse) finish(ew *eventWriter, out *flow.Outcome) {
	if out.Failure == nil {
		ew.finish(out.Finish)
		ew.flush()
		return
	}
	sr.sv.handOver(sr.ex, out)
	if fault.Is(out.Failure.Err, flow.KindHandedOver) {
		ew.handedOver()
	}
	ew.failure(out.Failure)
	ew.flush()
}

// eventWriter writes server-sent events. After the first error it writes nothing more.
type eventWriter struct {
	wr      *bufio.Writer
	ex      *modelExchange
	created int64
	err     error
}

func (ew *eventWriter) raw(text string) {
	if ew.err == nil {
		_, ew.err = ew.wr.WriteString(text)
	}
}

// comment writes a comment line, which clients ignore. It is not followed by an empty
// line, since some client libraries would treat that as an event without data.
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

func (ew *eventWriter) token(it streamItem) {
	ew.raw("id: " + eventID(ew.ex.request.ID, it.index) + "\n")
	ew.data(chunkBody(ew.ex, ew.created, it.text, ""))
}

func (ew *eventWriter) finish(reason string) {
	ew.data(chunkBody(ew.ex, ew.created, "", reason))
	ew.raw("data: [DONE]\n\n")
}

// handedOver sets the client's reconnection time to 1 ms, so that it reconnects at once.
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
