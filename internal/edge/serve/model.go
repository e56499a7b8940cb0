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

// modelRequest is the part of an OpenAI request that the server reads; the engine
// reads the rest.
type modelRequest struct {
	Model     units.TargetID  `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens units.Tokens    `json:"max_tokens"`
	MaxNew    units.Tokens    `json:"max_completion_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	Choices   int             `json:"n"`
}

// defaultOutput is the estimate for a request that bounds its answer nowhere.
const defaultOutput units.Tokens = 256

func (mr *modelRequest) output() units.Tokens {
	if most := max(mr.MaxTokens, mr.MaxNew); most > 0 {
		return most
	}
	return defaultOutput
}

// exchange is one request to a model on its way through the server.
type exchange struct {
	job    *flow.ModelRequest
	stream bool
	// have is the number of tokens that a reconnecting caller has already.
	have int
	chat bool
}

func (sv *Server) model(ct *fiber.Ctx) error {
	ex, err := sv.readModel(ct)
	if err != nil {
		return reject(ct, err)
	}
	ct.Set(HeaderRequest, string(ex.job.ID))
	place, fa := sv.flow.Admit(sv.ctx, ex.job.Row, ex.job.PromptTokens+ex.job.OutputTokens, ex.job.Deadline)
	if fa != nil {
		return fail(ct, fa)
	}
	if ex.stream {
		return sv.stream(ct, ex, place)
	}
	return sv.whole(ct, ex, place)
}

// readModel reads and checks a request, or takes up the session that it reconnects to.
func (sv *Server) readModel(ct *fiber.Ctx) (*exchange, error) {
	const op = "serve.readModel"
	who, err := sv.identify(ct)
	if err != nil {
		return nil, err
	}
	var mr modelRequest
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
	ex := &exchange{stream: mr.Stream, chat: strings.HasSuffix(ct.Path(), "/chat/completions")}
	ex.job = newJob(ct, ro, &mr, until, key)
	return ex, sv.resume(ct, who.customer, ex)
}

func newJob(ct *fiber.Ctx, ro *table.Row, mr *modelRequest, until time.Time, key string) *flow.ModelRequest {
	prompt := []byte(mr.Messages)
	if len(prompt) == 0 {
		prompt = []byte(mr.Prompt)
	}
	return &flow.ModelRequest{
		ID: requestID(ro, key), Row: ro, Path: ct.Path(), Body: append([]byte(nil), ct.Body()...),
		Deadline: until, Key: key, Prefix: route.Keys(prompt),
		PromptTokens: units.Tokens(len(prompt)/route.BytesPerToken + 1), OutputTokens: mr.output(),
	}
}

// requestID returns a new id, or for a request with a key always the same, so that a
// caller that asks again finds what was handed over.
func requestID(ro *table.Row, key string) units.RequestID {
	if key == "" {
		return units.RequestID(uuid.NewString())
	}
	sum := uuid.NewSHA1(uuid.NameSpaceOID, []byte(ro.Key().String()+"\x00"+key))
	return units.RequestID(sum.String())
}

// resume takes up the session that the caller reconnects to, if it names one.
func (sv *Server) resume(ct *fiber.Ctx, cu units.CustomerID, ex *exchange) error {
	const op = "serve.resume"
	rq, have, named, err := lastEvent(ct)
	if err != nil {
		return err
	}
	if !named && ex.job.Key == "" {
		return nil
	}
	if !named {
		rq = ex.job.ID
	}
	se, found := sv.node.Find(sv.ctx, cu, rq, named)
	switch {
	case !found && named:
		return fault.New(op, KindSessionLost, "no node holds request %s any more; send it anew without %s", rq, HeaderLastEvent)
	case !found:
		return nil
	case have > len(se.Tokens):
		return fault.New(op, KindBadRequest, "%s is beyond the last event", HeaderLastEvent)
	}
	ex.job.ID = se.Request
	ex.job.Body = se.Body
	ex.job.Path = se.Path
	ex.job.Tokens = se.Tokens
	ex.job.Deadline = se.Deadline
	ex.have = have
	return nil
}

// collect is the sink of a whole answer, which the run gathers itself.
type collect struct{}

// Token implements flow.Sink.
func (collect) Token(int, string) error { return nil }

// KeepAlive implements flow.Sink.
func (collect) KeepAlive() error { return nil }

func (sv *Server) whole(ct *fiber.Ctx, ex *exchange, place *flow.Admission) error {
	out := sv.flow.Model(sv.ctx, ex.job, collect{})
	place.Release(used(ex.job, &out))
	if out.Failure == nil {
		return ct.JSON(wholeBody(ex, &out))
	}
	sv.handOver(ex, &out)
	return fail(ct, out.Failure)
}

// handOver gives a request that this node could not finish to its peers, if it stopped
// because the node is leaving, or because the connection of a streaming caller broke off.
func (sv *Server) handOver(ex *exchange, out *flow.Outcome) {
	const within = 2 * time.Second
	left := fault.Is(out.Failure.Err, flow.KindCanceled) && ex.stream
	if !left && !fault.Is(out.Failure.Err, flow.KindHandedOver) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	row := ex.job.Row
	err := sv.node.Keep(ctx, &Session{
		Request: ex.job.ID, Customer: row.Customer, Row: row.Key(), Path: ex.job.Path, Body: ex.job.Body,
		Tokens: out.Tokens, PromptTokens: ex.job.PromptTokens, Deadline: ex.job.Deadline,
	})
	if err != nil {
		out.Failure.Err = fault.Wrap("serve.handOver", flow.KindBroken, err)
		return
	}
	out.Failure.RetryAfter = time.Millisecond
	out.Failure.Outcome = answer.Unknown
}

func used(job *flow.ModelRequest, out *flow.Outcome) units.Tokens {
	return job.PromptTokens + units.Tokens(len(out.Tokens))
}
