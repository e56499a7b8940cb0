// Package engine is the client for model engines. It uses the OpenAI API with the engines'
// extensions: resuming at a token, priorities, cancellation, load reports, KV cache export
// and import, cache events, and orders with fencing tokens.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/rest"
	"lycheepick/internal/rule/units"
)

// Kind classifies failed requests by whether they may have been executed.
type Kind string

// The kinds of error of this package.
const (
	// KindNotSent marks a request of which no byte reached the engine.
	KindNotSent Kind = "not_sent"
	// KindRefused marks a request that the engine rejected without executing it.
	KindRefused Kind = "refused"
	// KindDraining marks a request rejected, without executing it, by a draining engine.
	KindDraining Kind = "draining"
	// KindBroken marks a truncated or malformed response, or a server error.
	KindBroken Kind = "broken"
	// KindInvalid marks a request that the engine rejected as invalid. Other engines would
	// reject it too.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Headers of the engine API.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderAttempt  = "X-Attempt"
	HeaderPriority = "X-Priority"
	// HeaderRefused on a response means that the request was not executed. Its value is the
	// reason.
	HeaderRefused = "X-Refused"
	// RefusedDraining is the value of HeaderRefused sent by a draining server.
	RefusedDraining = "draining"
)

const (
	maxErrorBytes = 64 << 10
	// maxExchangeBytes bounds the answer to a call that is not a completion.
	maxExchangeBytes = 16 << 20
)

// Extras are the extension fields added to an OpenAI request.
type Extras struct {
	// ContinueTokens are the tokens already generated; the engine continues after them.
	ContinueTokens []string `json:"continue_tokens,omitempty"`
	// KVHandle names an imported KV cache to continue from.
	KVHandle string `json:"kv_handle,omitempty"`
}

// Prompt is one attempt of a request, as sent to an engine.
type Prompt struct {
	Request units.RequestID
	Attempt units.AttemptID
	// Path is the path of the OpenAI endpoint.
	Path string
	// Body is the caller's JSON object.
	Body []byte
	// Priority is the row's weight.
	Priority int
	Extras   Extras
}

// Token is one event of a response: a token, or the end if Finish is set.
type Token struct {
	// Index is the position in the response, from 0. If Finish is set, it is the total
	// number of tokens.
	Index int
	Text  string
	// Finish is the finish reason, on the last event.
	Finish string
	// PromptTokens is the engine's count of the prompt, on the last event.
	PromptTokens units.Tokens
	// Recomputed is the number of tokens that the engine had to compute because they were
	// not in its cache, on the last event.
	Recomputed units.Tokens
}

// Client sends requests to engines. It is safe for concurrent use.
type Client struct{ caller *call.Caller }

// NewClient returns a client that uses the connections of ca.
func NewClient(ca *call.Caller) *Client { return &Client{caller: ca} }

// Stream is a streamed response. It must be closed after use.
type Stream struct {
	answer *call.Answer
	rd     *bufio.Reader
}

// Start sends a prompt and waits for the response header.
func (cl *Client) Start(ctx context.Context, addr string, pr *Prompt) (*Stream, error) {
	const op = "engine.Start"
	body, err := withExtras(pr.Body, pr.Extras)
	if err != nil {
		return nil, fault.Wrap(op, KindInvalid, err)
	}
	req := newRequest(addr, fasthttp.MethodPost, pr.Path, body)
	defer fasthttp.ReleaseRequest(req)
	req.Header.Set(HeaderRequest, string(pr.Request))
	req.Header.SetBytesV(HeaderAttempt, fasthttp.AppendUint(nil, int(pr.Attempt)))
	req.Header.SetBytesV(HeaderPriority, fasthttp.AppendUint(nil, pr.Priority))
	an, err := cl.caller.Do(ctx, addr, req, false)
	if err != nil {
		return nil, fault.Wrap(op, kindOfCall(err), err)
	}
	if echo := an.Header.Peek(HeaderRequest); len(echo) > 0 && string(echo) != string(pr.Request) {
		an.Close()
		return nil, fault.New(op, KindBroken, "an answer to request %.40s", echo)
	}
	if err := checkHead(an); err != nil {
		an.Close()
		if isRefusal(err) && !IsOwn(an, pr.Request, pr.Attempt) {
			err = fault.Wrap(op, KindBroken, err)
		}
		return nil, err
	}
	rd := readers.Get().(*bufio.Reader)
	rd.Reset(an.Body)
	return &Stream{answer: an, rd: rd}, nil
}

// readers pools the read buffers of streams.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

func newRequest(addr, method, path string, body []byte) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetContentType("application/json")
	req.SetBody(body)
	return req
}

func kindOfCall(err error) Kind {
	if fault.Is(err, call.KindNotSent) {
		return KindNotSent
	}
	return KindBroken
}

// IsOwn reports whether an answer belongs to an attempt: it names the attempt, or nothing was sent on
// its connection before. A faulty server may repeat an earlier refusal where the next answer is
// expected, and a refusal proves that the request did not run.
func IsOwn(an *call.Answer, rq units.RequestID, att units.AttemptID) bool {
	return an.First || string(an.Header.Peek(HeaderRequest)) == string(rq) &&
		string(an.Header.Peek(HeaderAttempt)) == strconv.Itoa(int(att))
}

// Refusal adds to the error of an answer the time for which the server wants nothing from this node.
func Refusal(an *call.Answer, err error) error {
	return fault.WithRetryAfter(err, rest.Parse(an.Header.PeekAll(fasthttp.HeaderRetryAfter)))
}

func isRefusal(err error) bool { return fault.Is(err, KindRefused) || fault.Is(err, KindDraining) }

func checkHead(an *call.Answer) error {
	const op = "engine.checkHead"
	code := an.Header.StatusCode()
	if code == fasthttp.StatusOK {
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(an.Body, maxErrorBytes))
	refused := string(an.Header.Peek(HeaderRefused))
	switch {
	case refused == RefusedDraining:
		return fault.New(op, KindDraining, "status %d", code)
	case refused != "":
		return Refusal(an, fault.New(op, KindRefused, "status %d: %s", code, refused))
	case code >= fasthttp.StatusBadRequest && code < fasthttp.StatusInternalServerError:
		return fault.New(op, KindInvalid, "status %d: %s", code, bytes.TrimSpace(text))
	}
	return fault.New(op, KindBroken, "status %d", code)
}

// withExtras returns body with streaming enabled and the extension fields set.
func withExtras(body []byte, ex Extras) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	if fields == nil {
		return nil, fault.New("engine.withExtras", KindInvalid, "the body is null, want an object")
	}
	fields["stream"] = json.RawMessage("true")
	raw, err := json.Marshal(ex)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

// chunk is the part of a stream event that the client parses.
type chunk struct {
	TokenIndex int `json:"token_index"`
	Choices    []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		PromptTokens units.Tokens `json:"prompt_tokens"`
		Recomputed   units.Tokens `json:"recomputed_tokens"`
	} `json:"usage"`
}

// Next returns the next event. The last event has Finish set; a stream that ends without
// it returns an error of kind KindBroken.
func (sm *Stream) Next() (Token, error) {
	const op = "engine.Next"
	for {
		line, err := sm.rd.ReadSlice('\n')
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return Token{}, fault.Wrap(op, KindBroken, err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data:"))
		if !ok {
			continue
		}
		return parseChunk(bytes.TrimSpace(data))
	}
}

func parseChunk(data []byte) (Token, error) {
	const op = "engine.parseChunk"
	var ch chunk
	if err := json.Unmarshal(data, &ch); err != nil {
		return Token{}, fault.Wrap(op, KindBroken, err)
	}
	if len(ch.Choices) != 1 || ch.TokenIndex < 0 {
		return Token{}, fault.New(op, KindBroken, "event with %d choices and index %d", len(ch.Choices), ch.TokenIndex)
	}
	co := ch.Choices[0]
	return Token{
		Index: ch.TokenIndex, Text: co.Text + co.Delta.Content, Finish: co.FinishReason,
		PromptTokens: ch.Usage.PromptTokens, Recomputed: ch.Usage.Recomputed,
	}, nil
}

// Close ends the stream. If finished is set, which means that the last event was received,
// the rest of the body is read so that the connection can be reused.
func (sm *Stream) Close(finished bool) {
	if finished {
		sm.answer.SetReadTimeout(closeTimeout)
		_, _ = io.Copy(io.Discard, io.LimitReader(sm.rd, maxErrorBytes))
	}
	sm.answer.Close()
	sm.rd.Reset(nil)
	readers.Put(sm.rd)
	sm.rd = nil
}

// closeTimeout bounds reading the rest of a body after its last event.
const closeTimeout = 50 * time.Millisecond

// Report is an engine's load report.
type Report struct {
	Target units.TargetID `json:"target"`
	// Running is the number of requests in the batch, Slots the batch size.
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// Queued is the number of requests waiting for a slot.
	Queued int `json:"queued"`
	// QueuedTokens is the number of prompt tokens still to be prefilled.
	QueuedTokens units.Tokens `json:"queued_tokens"`
	// PrefillRate is the speed of prompt processing.
	PrefillRate units.TokensPerSecond `json:"prefill_rate"`
	// Step is the duration of one decode step.
	Step     units.Duration `json:"step"`
	Draining bool           `json:"draining"`
	// CacheSeq is the sequence number of the newest cache event.
	CacheSeq int64 `json:"cache_seq"`
}

// Load requests an engine's load report.
func (cl *Client) Load(ctx context.Context, addr string) (Report, error) {
	var rep Report
	err := cl.exchange(ctx, addr, fasthttp.MethodGet, "/engine/load", nil, &rep)
	return rep, err
}

// Cancel tells the engine to stop executing an attempt.
func (cl *Client) Cancel(ctx context.Context, addr string, rq units.RequestID, att units.AttemptID) error {
	in := cancelOrder{Request: rq, Attempt: att}
	return cl.exchange(ctx, addr, fasthttp.MethodPost, "/engine/cancel", in, nil)
}

type cancelOrder struct {
	Request units.RequestID `json:"request"`
	Attempt units.AttemptID `json:"attempt"`
}

// KVImport is the request to import the KV cache of a request from another engine.
type KVImport struct {
	Request units.RequestID `json:"request"`
	// From is the address of the engine that exports.
	From string `json:"from"`
}

// KVImportResult describes an imported KV cache. KVHandle refers to it in Extras.
type KVImportResult struct {
	KVHandle string       `json:"kv_handle"`
	Tokens   units.Tokens `json:"tokens"`
	Size     units.Bytes  `json:"size_bytes"`
}

// Import makes the engine at addr import a request's KV cache. It returns when the transfer
// is complete; ctx should have a deadline.
func (cl *Client) Import(ctx context.Context, addr string, mv KVImport) (KVImportResult, error) {
	var out KVImportResult
	err := cl.exchange(ctx, addr, fasthttp.MethodPost, "/engine/kv/import", mv, &out)
	return out, err
}

// CacheEvent reports that a prefix was added to an engine's cache, or evicted if Held is
// false.
type CacheEvent struct {
	Seq    int64           `json:"seq"`
	Prefix units.PrefixKey `json:"prefix"`
	Held   bool            `json:"held"`
}

// CacheEvents returns the cache events after a sequence number. Engines keep only recent
// events, so the sequence can have gaps.
func (cl *Client) CacheEvents(ctx context.Context, addr string, after int64) ([]CacheEvent, error) {
	var out []CacheEvent
	err := cl.exchange(ctx, addr, fasthttp.MethodGet, "/engine/cache?after="+strconv.FormatInt(after, 10), nil, &out)
	return out, err
}

// Order tells an engine to load a model or change its role.
type Order struct {
	// Fencing is the fencing token, which grows with each holder of the lease for orders.
	Fencing int64          `json:"fencing"`
	Model   units.TargetID `json:"model"`
}

// SendOrder sends an order. Engines that check the fencing token reject outdated orders.
func (cl *Client) SendOrder(ctx context.Context, addr string, od Order) error {
	return cl.exchange(ctx, addr, fasthttp.MethodPost, "/engine/orders", od, nil)
}

const exchangeTimeout = 5 * time.Second

func (cl *Client) exchange(ctx context.Context, addr, method, path string, in, out any) error {
	const op = "engine.exchange"
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
	}
	var body []byte
	if in != nil {
		body, _ = json.Marshal(in)
	}
	req := newRequest(addr, method, path, body)
	defer fasthttp.ReleaseRequest(req)
	an, err := cl.caller.Do(ctx, addr, req, false)
	if err != nil {
		return fault.Wrap(op, kindOfCall(err), err)
	}
	defer an.Close()
	if err := checkHead(an); err != nil {
		return err
	}
	raw, err := io.ReadAll(io.LimitReader(an.Body, maxExchangeBytes+1))
	if err != nil {
		return fault.Wrap(op, KindBroken, err)
	}
	if len(raw) > maxExchangeBytes {
		return fault.New(op, KindBroken, "answer of over %d bytes", maxExchangeBytes)
	}
	if out == nil {
		return nil
	}
	return fault.Wrap(op, KindBroken, json.Unmarshal(raw, out))
}
