package stand

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"

	"lycheepick/internal/edge/engine"
	"lycheepick/internal/edge/pause"
	"lycheepick/internal/plat/httpc"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
)

// EngineConfig configures a fake model engine.
type EngineConfig struct {
	Model       units.TargetID
	Slots       int
	Step        time.Duration
	PrefillRate units.TokensPerSecond
	// KVRate is the transfer rate of KV cache imports.
	KVRate units.BytesPerSecond
	// KVPerToken is the size of the KV cache of one token.
	KVPerToken units.Bytes
}

// Engine is a fake model engine. Its answers are a function of the prompt, so that a caller
// can check that an answer is complete and belongs to its request.
type Engine struct {
	cfg    EngineConfig
	faults faults

	mu             sync.Mutex
	draining       bool
	running        map[units.RequestID]*generation
	queuedRequests int
	queuedTokens   units.Tokens
	cachedPrefixes map[units.PrefixKey]bool
	events         []engine.CacheEvent
	eventSeq       int64
	importedKV     map[string]units.Tokens
	starts         map[units.RequestID]int
	slots          chan struct{}
	prefillMu      sync.Mutex
	fencingToken   int64
	cancels        int
	// continued counts the requests that carried tokens generated before.
	continued int
}

// generation is a request that is queued or running.
type generation struct {
	cancel        context.CancelFunc
	contextTokens units.Tokens
}

// NewEngine returns an engine without requests and with an empty cache.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg: cfg, running: map[units.RequestID]*generation{}, cachedPrefixes: map[units.PrefixKey]bool{},
		importedKV: map[string]units.Tokens{}, starts: map[units.RequestID]int{}, slots: make(chan struct{}, cfg.Slots),
	}
}

// App returns the HTTP server of the engine, with admin endpoints that drain it, end its
// process and return its statistics.
func (en *Engine) App() *fiber.App {
	app := en.faults.newApp()
	app.Post("/admin/drain", func(ct *fiber.Ctx) error {
		en.mu.Lock()
		defer en.mu.Unlock()
		en.draining = true
		return ct.SendStatus(fiber.StatusOK)
	})
	app.Post("/admin/exit", func(*fiber.Ctx) error {
		os.Exit(0)
		return nil
	})
	app.Get("/admin/stats", en.stats)
	app.Use(en.faults.applyFaults)
	app.Post("/v1/chat/completions", en.generate)
	app.Post("/v1/completions", en.generate)
	app.Get("/engine/load", en.load)
	app.Get("/engine/cache", en.cacheEvents)
	app.Post("/engine/cancel", en.cancel)
	app.Get("/engine/kv/export/:request", en.export)
	app.Post("/engine/kv/import", en.importKV)
	app.Post("/engine/orders", en.order)
	return app
}

// EngineStats is the answer of GET /admin/stats. Starts counts the attempts of each request.
type EngineStats struct {
	Running  int `json:"running"`
	Canceled int `json:"canceled"`
	// Continued counts the requests that carried tokens generated before.
	Continued int                     `json:"continued"`
	Starts    map[units.RequestID]int `json:"starts"`
}

func (en *Engine) stats(ct *fiber.Ctx) error {
	en.mu.Lock()
	defer en.mu.Unlock()
	return ct.JSON(EngineStats{Running: len(en.running), Canceled: en.cancels, Continued: en.continued, Starts: en.starts})
}

// generateRequest has the fields of a completion request that the fake reads.
type generateRequest struct {
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	Prompt              string `json:"prompt"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	engine.Extras
}

func (gr *generateRequest) text() string {
	var sb strings.Builder
	for _, me := range gr.Messages {
		sb.WriteString(me.Content)
		sb.WriteByte('\n')
	}
	sb.WriteString(gr.Prompt)
	return sb.String()
}

// DefaultTokens is the length of the answer to a request that sets no maximum.
const DefaultTokens = 32

func (gr *generateRequest) answerTokens() int {
	if limit := max(gr.MaxTokens, gr.MaxCompletionTokens); limit > 0 {
		return limit
	}
	return DefaultTokens
}

// Word returns the token at index, from 0, of the answer to the prompt text.
func Word(text string, index int) string {
	return fmt.Sprintf("%x ", xxhash.Sum64String(fmt.Sprintf("%d %s", index, text))&0xffffff)
}

// Answer returns the complete answer, of count tokens, to a prompt of one chat message.
func Answer(message string, count int) string {
	var sb strings.Builder
	for idx := range count {
		sb.WriteString(Word(message+"\n", idx))
	}
	return sb.String()
}

// echoAttempt names the attempt in the answer, which proves that a refusal belongs to it.
func echoAttempt(ct *fiber.Ctx) {
	for _, name := range []string{engine.HeaderRequest, engine.HeaderAttempt} {
		if val := ct.Get(name); val != "" {
			ct.Set(name, val)
		}
	}
}

func (en *Engine) generate(ct *fiber.Ctx) error {
	echoAttempt(ct)
	var gr generateRequest
	if err := json.Unmarshal(ct.Body(), &gr); err != nil {
		return ct.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	if reason := en.refusalReason(); reason != "" {
		ct.Set(engine.HeaderRefused, reason)
		return ct.Status(fiber.StatusServiceUnavailable).SendString(reason)
	}
	ctx, cancel := context.WithCancel(context.Background())
	job := &genJob{
		en: en, gr: gr, chat: strings.HasSuffix(ct.Path(), "/chat/completions"),
		id: units.RequestID(ct.Get(engine.HeaderRequest)), retried: ct.Get(engine.HeaderAttempt, "1") != "1" || len(gr.ContinueTokens) > 0,
	}
	job.register(cancel)
	ct.Set(fiber.HeaderContentType, "text/event-stream")
	ct.Context().SetBodyStreamWriter(func(wr *bufio.Writer) {
		defer cancel()
		defer job.unregister()
		job.run(ctx, wr)
	})
	return nil
}

func (en *Engine) refusalReason() string {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.draining {
		return engine.RefusedDraining
	}
	return en.faults.get().Refuse
}

// genJob generates the answer to one request.
type genJob struct {
	en      *Engine
	gr      generateRequest
	chat    bool
	id      units.RequestID
	retried bool
	gen     *generation

	promptTokens units.Tokens
	recomputed   units.Tokens
}

func (jo *genJob) register(cancel context.CancelFunc) {
	jo.promptTokens = units.Tokens(len(jo.gr.text())/route.BytesPerToken + 1)
	en := jo.en
	en.mu.Lock()
	defer en.mu.Unlock()
	jo.gen = &generation{cancel: cancel, contextTokens: jo.promptTokens + units.Tokens(len(jo.gr.ContinueTokens))}
	en.running[jo.id] = jo.gen
	en.starts[jo.id]++
	if len(jo.gr.ContinueTokens) > 0 {
		en.continued++
	}
}

func (jo *genJob) unregister() {
	jo.en.mu.Lock()
	defer jo.en.mu.Unlock()
	if jo.en.running[jo.id] == jo.gen {
		delete(jo.en.running, jo.id)
	}
}

func (jo *genJob) run(ctx context.Context, wr *bufio.Writer) {
	en := jo.en
	// Send the response header at once, before the first token.
	if _, err := wr.WriteString(":\n\n"); err != nil || wr.Flush() != nil {
		return
	}
	if !en.runPrefill(ctx, jo) {
		return
	}
	select {
	case en.slots <- struct{}{}:
		defer func() { <-en.slots }()
	case <-ctx.Done():
		return
	}
	text := jo.gr.text()
	count := jo.gr.answerTokens()
	for idx := len(jo.gr.ContinueTokens); idx < count; idx++ {
		if !pause.For(ctx, en.scaled(en.cfg.Step)) || !jo.writeChunk(wr, idx, Word(text, idx), "") {
			return
		}
		jo.countToken()
	}
	_ = jo.writeChunk(wr, count, "", "stop")
	_, _ = wr.WriteString("data: [DONE]\n\n")
	_ = wr.Flush()
}

func (jo *genJob) countToken() {
	jo.en.mu.Lock()
	defer jo.en.mu.Unlock()
	jo.gen.contextTokens++
}

// runPrefill waits for as long as the prefill of the uncached tokens takes, one request at
// a time. It returns false if ctx ended before.
func (en *Engine) runPrefill(ctx context.Context, jo *genJob) bool {
	keys := route.Keys([]byte(jo.gr.text()))
	en.mu.Lock()
	inputTokens := jo.gen.contextTokens
	cachedTokens := en.cachedPrefixTokens(keys)
	if held, ok := en.importedKV[jo.gr.KVHandle]; ok {
		cachedTokens = max(cachedTokens, held)
	}
	uncached := max(0, inputTokens-cachedTokens)
	en.queuedTokens += uncached
	en.queuedRequests++
	en.mu.Unlock()
	en.prefillMu.Lock()
	ok := pause.For(ctx, en.scaled(time.Duration(float64(uncached)/float64(en.cfg.PrefillRate)*float64(time.Second))))
	en.prefillMu.Unlock()
	en.mu.Lock()
	defer en.mu.Unlock()
	en.queuedTokens -= uncached
	en.queuedRequests--
	en.addToCache(keys)
	if jo.retried {
		jo.recomputed = uncached
	}
	return ok
}

// maxCacheEvents is the number of cache events that are kept for readers.
const maxCacheEvents = 1000

// addToCache adds keys to the prefix cache and records an event for each new one. The
// caller holds the lock.
func (en *Engine) addToCache(keys []units.PrefixKey) {
	for _, key := range keys {
		if en.cachedPrefixes[key] {
			continue
		}
		en.cachedPrefixes[key] = true
		en.eventSeq++
		en.events = append(en.events, engine.CacheEvent{Seq: en.eventSeq, Prefix: key, Held: true})
	}
	if over := len(en.events) - maxCacheEvents; over > 0 {
		en.events = en.events[over:]
	}
}

func (en *Engine) cacheEvents(ct *fiber.Ctx) error {
	after := int64(ct.QueryInt("after"))
	en.mu.Lock()
	defer en.mu.Unlock()
	out := []engine.CacheEvent{}
	for _, ev := range en.events {
		if ev.Seq > after {
			out = append(out, ev)
		}
	}
	return ct.JSON(out)
}

// cachedPrefixTokens returns the length of the longest cached prefix. The caller holds the
// lock.
func (en *Engine) cachedPrefixTokens(keys []units.PrefixKey) units.Tokens {
	for num := len(keys); num > 0; num-- {
		if en.cachedPrefixes[keys[num-1]] {
			return units.Tokens(num) * route.BlockTokens
		}
	}
	return 0
}

func (en *Engine) scaled(du time.Duration) time.Duration {
	if speed := en.faults.get().Speed; speed > 0 {
		return time.Duration(float64(du) / speed)
	}
	return du
}

type outChunk struct {
	Object     string      `json:"object"`
	TokenIndex int         `json:"token_index"`
	Choices    []outChoice `json:"choices"`
	Usage      *outUsage   `json:"usage,omitempty"`
}

type outChoice struct {
	Index        int       `json:"index"`
	Text         string    `json:"text,omitempty"`
	Delta        *outDelta `json:"delta,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

type outDelta struct {
	Content string `json:"content,omitempty"`
}

type outUsage struct {
	PromptTokens units.Tokens `json:"prompt_tokens"`
	Recomputed   units.Tokens `json:"recomputed_tokens"`
}

func (jo *genJob) writeChunk(wr *bufio.Writer, idx int, text, finish string) bool {
	co := outChoice{Text: text}
	if jo.chat {
		co = outChoice{Delta: &outDelta{Content: text}}
	}
	ch := outChunk{Object: "chunk", TokenIndex: idx}
	if finish != "" {
		co.FinishReason = &finish
		ch.Usage = &outUsage{PromptTokens: jo.promptTokens, Recomputed: jo.recomputed}
	}
	ch.Choices = []outChoice{co}
	raw, _ := json.Marshal(ch)
	_, err := fmt.Fprintf(wr, "data: %s\n\n", raw)
	return err == nil && wr.Flush() == nil
}

func (en *Engine) load(ct *fiber.Ctx) error {
	en.mu.Lock()
	defer en.mu.Unlock()
	speed := en.faults.get().Speed
	if speed <= 0 {
		speed = 1
	}
	return ct.JSON(engine.Report{
		Target: en.cfg.Model, Running: len(en.running) - en.queuedRequests, Slots: en.cfg.Slots, Queued: en.queuedRequests,
		QueuedTokens: en.queuedTokens, PrefillRate: en.cfg.PrefillRate * units.TokensPerSecond(speed),
		Step: units.Duration(en.scaled(en.cfg.Step)), Draining: en.draining, CacheSeq: en.eventSeq,
	})
}

func (en *Engine) cancel(ct *fiber.Ctx) error {
	var in struct {
		Request units.RequestID `json:"request"`
	}
	if err := ct.BodyParser(&in); err != nil {
		return err
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if gen, ok := en.running[in.Request]; ok {
		gen.cancel()
		en.cancels++
	}
	return ct.SendStatus(fiber.StatusOK)
}

func (en *Engine) export(ct *fiber.Ctx) error {
	en.mu.Lock()
	defer en.mu.Unlock()
	gen, ok := en.running[units.RequestID(ct.Params("request"))]
	if !ok {
		return ct.SendStatus(fiber.StatusNotFound)
	}
	return ct.JSON(engine.KVImportResult{Tokens: gen.contextTokens, Size: units.Bytes(gen.contextTokens) * en.cfg.KVPerToken})
}

func (en *Engine) importKV(ct *fiber.Ctx) error {
	var in engine.KVImport
	if err := ct.BodyParser(&in); err != nil {
		return err
	}
	var got engine.KVImportResult
	if err := httpc.New("http://"+in.From).Do(context.Background(), "GET", "/engine/kv/export/"+string(in.Request), nil, &got); err != nil {
		return ct.Status(fiber.StatusBadGateway).SendString(err.Error())
	}
	time.Sleep(time.Duration(float64(got.Size) / float64(en.cfg.KVRate) * float64(time.Second)))
	got.KVHandle = "kv-" + string(in.Request)
	en.mu.Lock()
	defer en.mu.Unlock()
	en.importedKV[got.KVHandle] = got.Tokens
	return ct.JSON(got)
}

func (en *Engine) order(ct *fiber.Ctx) error {
	var od engine.Order
	if err := ct.BodyParser(&od); err != nil {
		return err
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if od.Fencing < en.fencingToken {
		ct.Set(engine.HeaderRefused, "fencing")
		return ct.Status(fiber.StatusConflict).SendString("an older fencing number")
	}
	en.fencingToken = od.Fencing
	return ct.SendStatus(fiber.StatusOK)
}
