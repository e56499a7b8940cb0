package serve

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"lycheepick/internal/edge/flow"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/answer"
	"lycheepick/internal/state/table"
)

// openAIRequest is the part of an OpenAI request that the server interprets. The engine
// gets the complete body.
type openAIRequest struct {
	Model               units.TargetID  `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           units.Tokens    `json:"max_tokens"`
	MaxCompletionTokens units.Tokens    `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Choices             int             `json:"n"`
}

// defaultOutput is the estimated response length of a request that sets no maximum.
const defaultOutput units.Tokens = 256

func (mr *openAIRequest) outputTokens() units.Tokens {
	if limit := max(mr.MaxTokens, mr.MaxCompletionTokens); limit > 0 {
		return limit
	}
	return defaultOutput
}

// modelExchange is one request to a model and the format of its response.
type modelExchange struct {
	request *flow.ModelRequest
	stream  bool
	// received is the number of tokens that a reconnecting caller already has.
	received int
	chat     bool
}

func (sv *Server) model(ct *fiber.Ctx) error {
	ex, err := sv.readModel(ct)
	if err != nil {
		return reject(ct, err)
	}
	ct.Set(HeaderRequest, string(ex.request.ID))
	admission, fa := sv.flow.Admit(sv.ctx, ex.request.Row, ex.request.PromptTokens+ex.request.OutputTokens, ex.request.Deadline)
	if fa != nil {
		return fail(ct, fa)
	}
	if ex.stream {
		return sv.stream(ct, ex, admission)
	}
	return sv.sendComplete(ct, ex, admission)
}

// readModel parses and validates a request, and loads the session if it is a reconnection.
func (sv *Server) readModel(ct *fiber.Ctx) (*modelExchange, error) {
	const op = "serve.readModel"
	who, err := sv.identify(ct)
	if err != nil {
		return nil, err
	}
	var mr openAIRequest
	if err := json.Unmarshal(ct.Body(), &mr); err != nil {
		return nil, fault.New(op, KindBadRequest, "the body is not a JSON object of the OpenAI format: %v", err)
	}
	if mr.Choices > 1 {
		return nil, fault.New(op, KindBadRequest, "n: have %d, want 1", mr.Choices)
	}
	ro, err := who.row(ct, mr.Model, table.TargetModel)
	if err != nil {
		return nil, err
	}
	until, err := deadline(ct, ro)
	if err != nil {
		return nil, err
	}
	key, err := idempotencyKey(ct)
	if err != nil {
		return nil, err
	}
	if !mr.Stream && key == "" && ct.Get(HeaderLastEvent) == "" { // No caller could resume it.
		if err := sv.endsBefore(until); err != nil {
			return nil, err
		}
	}
	ex := &modelExchange{stream: mr.Stream, chat: strings.HasSuffix(ct.Path(), "/chat/completions")}
	ex.request = newModelRequest(ct, ro, &mr, until, key)
	return ex, sv.resume(ct, who.customer, ex)
}

func newModelRequest(ct *fiber.Ctx, ro *table.Row, mr *openAIRequest, until time.Time, key string) *flow.ModelRequest {
	prompt := []byte(mr.Messages)
	if len(prompt) == 0 {
		prompt = []byte(mr.Prompt)
	}
	return &flow.ModelRequest{
		ID: requestID(ro, key), Row: ro, Path: ct.Path(), Body: append([]byte(nil), ct.Body()...),
		Deadline: until, Key: key, Prefix: route.Keys(prompt),
		PromptTokens: units.Tokens(len(prompt)/route.BytesPerToken + 1), OutputTokens: mr.outputTokens(),
	}
}

// requestID returns a random ID, or one derived from the idempotency key, so that a caller
// that retries with the key finds a session that was handed over.
func requestID(ro *table.Row, key string) units.RequestID {
	if key == "" {
		return units.RequestID(uuid.NewString())
	}
	sum := uuid.NewSHA1(uuid.NameSpaceOID, []byte(ro.Key().String()+"\x00"+key))
	return units.RequestID(sum.String())
}

// resume looks up a session by HeaderLastEvent or by the idempotency key, and continues it
// if there is one.
func (sv *Server) resume(ct *fiber.Ctx, cu units.CustomerID, ex *modelExchange) error {
	const op = "serve.resume"
	rq, have, named, err := lastEvent(ct)
	if err != nil {
		return err
	}
	if !named && ex.request.Key == "" {
		return nil
	}
	if !named {
		rq = ex.request.ID
	}
	se, found := sv.node.FetchSession(sv.ctx, cu, rq, named)
	switch {
	case !found && named:
		return fault.New(op, KindSessionLost, "no node holds request %s any more; send it anew without %s", rq, HeaderLastEvent)
	case !found:
		return nil
	case have > len(se.Tokens):
		return fault.New(op, KindBadRequest, "%s is beyond the last event", HeaderLastEvent)
	}
	ex.request.ID = se.Request
	ex.request.Body = se.Body
	ex.request.Path = se.Path
	ex.request.Tokens = se.Tokens
	ex.request.Deadline = se.Deadline
	ex.received = have
	return nil
}

// discardSink is the sink for responses that are not streamed: package flow collects the
// tokens in the outcome.
type discardSink struct{}

// Token implements flow.Sink.
func (discardSink) Token(int, string) error { return nil }

// KeepAlive implements flow.Sink.
func (discardSink) KeepAlive() error { return nil }

func (sv *Server) sendComplete(ct *fiber.Ctx, ex *modelExchange, admission *flow.Admission) error {
	out := sv.flow.Model(sv.ctx, ex.request, discardSink{})
	admission.Release(tokensUsed(ex.request, &out))
	if out.Failure == nil {
		return ct.JSON(completeBody(ex, &out))
	}
	sv.handOver(ex, &out)
	return fail(ct, out.Failure)
}

// handOver stores an unfinished request at peers, if it was stopped because the node is
// leaving or because a streaming caller disconnected.
func (sv *Server) handOver(ex *modelExchange, out *flow.Outcome) {
	const within = 2 * time.Second
	left := fault.Is(out.Failure.Err, flow.KindCanceled) && ex.stream
	if !left && !fault.Is(out.Failure.Err, flow.KindHandedOver) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	row := ex.request.Row
	err := sv.node.StoreSession(ctx, &Session{
		Request: ex.request.ID, Customer: row.Customer, Row: row.Key(), Path: ex.request.Path, Body: ex.request.Body,
		Tokens: out.Tokens, PromptTokens: ex.request.PromptTokens, Deadline: ex.request.Deadline,
	})
	if err != nil {
		out.Failure.Err = fault.Wrap("serve.handOver", flow.KindBroken, err)
		return
	}
	out.Failure.RetryAfter = time.Millisecond
	out.Failure.Outcome = answer.Unknown
}

func tokensUsed(rq *flow.ModelRequest, out *flow.Outcome) units.Tokens {
	return rq.PromptTokens + units.Tokens(len(out.Tokens))
}
