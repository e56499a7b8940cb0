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

// EngineConfig describes a stand-in of a model engine.
type EngineConfig struct {
	Model       units.TargetID
	Slots       int
	Step        time.Duration
	PrefillRate units.TokensPerSecond
	// KVRate is the rate at which KV caches are imported.
	KVRate units.BytesPerSecond
	// KVPerToken is the size of one token's KV cache.
	KVPerToken units.Bytes
}

// Engine is a stand-in of a model engine. Its answers are a function of the prompt, so
// that a caller can check that an answer is whole and its own.
type Engine struct {
	cfg    EngineConfig
	faults faults

	mu       sync.Mutex
	draining bool
	running  map[units.RequestID]*generation
	queued   int
	queue    units.Tokens
	held     map[units.PrefixKey]bool
	events   []engine.CacheEvent
	eventSeq int64
	imported map[string]units.Tokens
	starts   map[units.RequestID]int
	slots    chan struct{}
	prefill  sync.Mutex
	fencing  int64
	cancels  int
	// continued counts the requests that brought tokens along.
	continued int
}

// generation is one request in the batch.
type generation struct {
	cancel  context.CancelFunc
	context units.Tokens
}

// NewEngine returns an idle engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg: cfg, running: map[units.RequestID]*generation{}, held: map[units.PrefixKey]bool{},
		imported: map[string]units.Tokens{}, starts: map[units.RequestID]int{}, slots: make(chan struct{}, cfg.Slots),
	}
}

// App returns the engine's HTTP server.
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
	app.Use(en.faults.guard)
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

// EngineStats is what a test can ask an engine.
type EngineStats struct {
	Running  int `json:"running"`
	Canceled int `json:"canceled"`
	// Continued counts the requests that went on from tokens generated before.
	Continued int                     `json:"continued"`
	Starts    map[units.RequestID]int `json:"starts"`
}

func (en *Engine) stats(ct *fiber.Ctx) error {
	en.mu.Lock()
	defer en.mu.Unlock()
	return ct.JSON(EngineStats{Running: len(en.running), Canceled: en.cancels, Continued: en.continued, Starts: en.starts})
}

// prompt is the part of a request that the stand-in reads.
type prompt struct {
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	MaxNew    int    `json:"max_completion_tokens"`
	engine.Extras
}

func (pr *prompt) text() string {
	var sb strings.Builder
	for _, me := range pr.Messages {
		sb.WriteString(me.Content)
		sb.WriteByte('\n')
	}
	sb.WriteString(pr.Prompt)
	return sb.String()
}

// DefaultTokens is the length of an answer whose request bounds it nowhere.
const DefaultTokens = 32

func (pr *prompt) count() int {
	if most := max(pr.MaxTokens, pr.MaxNew); most > 0 {
		return most
	}
	return DefaultTokens
}

// Word returns the token at index of the answer to a prompt.
func Word(text string, index int) string {
	return fmt.Sprintf("%x ", xxhash.Sum64String(fmt.Sprintf("%d %s", index, text))&0xffffff)
}

// Answer returns the whole answer to a prompt of one chat message.
func Answer(message string, count int) string {
	var sb strings.Builder
	for idx := range count {
		sb.WriteString(Word(message+"\n", idx))
	}
	return sb.String()
}

func (en *Engine) generate(ct *fiber.Ctx) error {
	var pr prompt
	if err := json.Unmarshal(ct.Body(), &pr); err != nil {
		return ct.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	if reason := en.refuses(); reason != "" {
		ct.Set(engine.HeaderRefused, reason)
		return ct.Status(fiber.StatusServiceUnavailable).SendString(reason)
	}
	ctx, cancel := context.WithCancel(context.Background())
	job := &genJob{
		en: en, pr: pr, chat: strings.HasSuffix(ct.Path(), "/chat/completions"),
		id: units.RequestID(ct.Get(engine.HeaderRequest)), again: ct.Get(engine.HeaderAttempt, "1") != "1" || len(pr.ContinueTokens) > 0,
	}
	job.enter(cancel)
	ct.Set(fiber.HeaderContentType, "text/event-stream")
	ct.Context().SetBodyStreamWriter(func(wr *bufio.Writer) {
		defer cancel()
		defer job.leave()
		job.run(ctx, wr)
	})
	return nil
}

func (en *Engine) refuses() string {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.draining {
		return engine.RefusedDraining
	}
	return en.faults.get().Refuse
}

// genJob is one request that the engine generates an answer to.
type genJob struct {
	en    *Engine
	pr    prompt
	chat  bool
	id    units.RequestID
	again bool
	gen   *generation

	promptTokens units.Tokens
	recomputed   units.Tokens
}

func (jo *genJob) enter(cancel context.CancelFunc) {
	jo.promptTokens = units.Tokens(len(jo.pr.text())/route.BytesPerToken + 1)
	en := jo.en
	en.mu.Lock()
	defer en.mu.Unlock()
	jo.gen = &generation{cancel: cancel, context: jo.promptTokens + units.Tokens(len(jo.pr.ContinueTokens))}
	en.running[jo.id] = jo.gen
	en.starts[jo.id]++
	if len(jo.pr.ContinueTokens) > 0 {
		en.continued++
	}
}

func (jo *genJob) leave() {
	jo.en.mu.Lock()
	defer jo.en.mu.Unlock()
	if jo.en.running[jo.id] == jo.gen {
		delete(jo.en.running, jo.id)
	}
}

func (jo *genJob) run(ctx context.Context, wr *bufio.Writer) {
	en := jo.en
	// The flush sends the head of the answer at once.
	if _, err := wr.WriteString(":\n\n"); err != nil || wr.Flush() != nil {
		return
	}
	if !en.compute(ctx, jo) {
		return
	}
	select {
	case en.slots <- struct{}{}:
		defer func() { <-en.slots }()
	case <-ctx.Done():
		return
	}
	text := jo.pr.text()
	count := jo.pr.count()
	for idx := len(jo.pr.ContinueTokens); idx < count; idx++ {
		if !pause.For(ctx, en.scaled(en.cfg.Step)) || !jo.emit(wr, idx, Word(text, idx), "") {
			return
		}
		jo.grow()
	}
	_ = jo.emit(wr, count, "", "stop")
	_, _ = wr.WriteString("data: [DONE]\n\n")
	_ = wr.Flush()
}

func (jo *genJob) grow() {
	jo.en.mu.Lock()
	defer jo.en.mu.Unlock()
	jo.gen.context++
}

// compute takes the time that the prompt's uncached tokens need, one request at a time.
func (en *Engine) compute(ctx context.Context, jo *genJob) bool {
	keys := route.Keys([]byte(jo.pr.text()))
	en.mu.Lock()
	total := jo.gen.context
	have := en.cached(keys)
	if held, ok := en.imported[jo.pr.KVHandle]; ok {
		have = max(have, held)
	}
	fresh := max(0, total-have)
	en.queue += fresh
	en.queued++
	en.mu.Unlock()
	en.prefill.Lock()
	ok := pause.For(ctx, en.scaled(time.Duration(float64(fresh)/float64(en.cfg.PrefillRate)*float64(time.Second))))
	en.prefill.Unlock()
	en.mu.Lock()
	defer en.mu.Unlock()
	en.queue -= fresh
	en.queued--
	en.hold(keys)
	if jo.again {
		jo.recomputed = fresh
	}
	return ok
}

// eventsKept bounds the cache events that can still be asked for.
const eventsKept = 1000

// hold adds keys to the cache and notes the events. The caller holds the lock.
func (en *Engine) hold(keys []units.PrefixKey) {
	for _, key := range keys {
		if en.held[key] {
			continue
		}
		en.held[key] = true
		en.eventSeq++
		en.events = append(en.events, engine.CacheEvent{Seq: en.eventSeq, Prefix: key, Held: true})
	}
	if over := len(en.events) - eventsKept; over > 0 {
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

func (en *Engine) cached(keys []units.PrefixKey) units.Tokens {
	for num := len(keys); num > 0; num-- {
		if en.held[keys[num-1]] {
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

func (jo *genJob) emit(wr *bufio.Writer, idx int, text, finish string) bool {
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
		Target: en.cfg.Model, Running: len(en.running) - en.queued, Slots: en.cfg.Slots, Queued: en.queued,
		QueuedTokens: en.queue, PrefillRate: en.cfg.PrefillRate * units.TokensPerSecond(speed),
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
	return ct.JSON(engine.KVImportResult{Tokens: gen.context, Size: units.Bytes(gen.context) * en.cfg.KVPerToken})
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
	en.imported[got.KVHandle] = got.Tokens
	return ct.JSON(got)
}

func (en *Engine) order(ct *fiber.Ctx) error {
	var od engine.Order
	if err := ct.BodyParser(&od); err != nil {
		return err
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if od.Fencing < en.fencing {
		ct.Set(engine.HeaderRefused, "fencing")
		return ct.Status(fiber.StatusConflict).SendString("an older fencing number")
	}
	en.fencing = od.Fencing
	return ct.SendStatus(fiber.StatusOK)
}
