package stand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
	"lycheepick/internal/edge/pause"
	"lycheepick/internal/rule/units"
)

// LoadConfig configures an open-loop load: requests arrive as a Poisson process, whether or
// not earlier ones have ended.
type LoadConfig struct {
	// Address is the host:port of a node, a load balancer or, if Direct, an engine.
	Address  string
	APIKey   string
	Model    units.TargetID
	Service  units.TargetID
	Rate     float64 // Requests per second, on average.
	Duration time.Duration
	// StreamedShare and PlainShare are the shares, 0 to 1, of streamed model requests and
	// of requests to the plain service. The rest are model requests without streaming.
	StreamedShare float64
	PlainShare    float64
	AnswerTokens  int
	// PromptBytes is the length of each prompt. Prefixes is the number of distinct prompt
	// prefixes, each of half that length.
	PromptBytes int
	Prefixes    int
	Seed        uint64
	// Deadline, if positive, is sent with each request as X-Deadline.
	Deadline time.Duration
	// Direct sends model requests in the form in which a node sends them to an engine.
	Direct bool
}

// LoadResult counts the outcomes of a load and holds its latencies.
type LoadResult struct {
	mu sync.Mutex
	// Sent is the number of requests. Each ends in exactly one of the four counts after it.
	Sent, Correct, Wrong, NotRun, Unknown int
	// Reconnects is the number of times that a request was sent again to continue a stream
	// or after a node handed it over.
	Reconnects int
	ErrorCodes map[string]int
	Mismatches []string
	// Latencies in microseconds: from the request to the first token and from token to
	// token, of streamed requests, and of each request in total.
	FirstToken, BetweenTokens, Total *hdrhistogram.Histogram
}

const (
	maxHistogramMicros = 600_000_000
	histogramDigits    = 3
	maxMismatches      = 10
)

// NewLoadResult returns a result without requests, with empty histograms.
func NewLoadResult() *LoadResult {
	mk := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxHistogramMicros, histogramDigits) }
	return &LoadResult{ErrorCodes: map[string]int{}, FirstToken: mk(), BetweenTokens: mk(), Total: mk()}
}

// Load sends requests as cfg says and returns the result after the last one has ended.
func Load(ctx context.Context, cfg LoadConfig) *LoadResult {
	re := NewLoadResult()
	ca := call.NewCaller()
	rnd := rand.New(rand.NewPCG(cfg.Seed, 1))
	var wg sync.WaitGroup
	began := time.Now()
	at := time.Duration(0)
	for num := 0; ctx.Err() == nil; num++ {
		at += time.Duration(rnd.ExpFloat64() / cfg.Rate * float64(time.Second))
		if at >= cfg.Duration {
			break
		}
		lr := newLoadRequest(&cfg, re, ca, rnd, num)
		if !pause.For(ctx, time.Until(began.Add(at))) {
			break
		}
		wg.Go(func() { lr.send(ctx) })
	}
	wg.Wait()
	return re
}

// loadRequest is one request of a load.
type loadRequest struct {
	cfg    *LoadConfig
	re     *LoadResult
	ca     *call.Caller
	num    int
	plain  bool
	stream bool
	prompt string
	id     string
}

func newLoadRequest(cfg *LoadConfig, re *LoadResult, ca *call.Caller, rnd *rand.Rand, num int) *loadRequest {
	lr := &loadRequest{cfg: cfg, re: re, ca: ca, num: num}
	pick := rnd.Float64()
	lr.plain = pick < cfg.PlainShare
	lr.stream = !lr.plain && pick < cfg.PlainShare+cfg.StreamedShare
	prefix := fmt.Sprintf("prefix %d ", rnd.IntN(max(1, cfg.Prefixes)))
	own := fmt.Sprintf("request %d of seed %d ", num, cfg.Seed)
	lr.prompt = repeatTo(prefix, cfg.PromptBytes/2) + repeatTo(own, cfg.PromptBytes/2)
	lr.id = fmt.Sprintf("load-%d-%d", cfg.Seed, num)
	return lr
}

// repeatTo repeats text to a length of size bytes. It does not cut text if that is longer.
func repeatTo(text string, size int) string {
	if size <= len(text) {
		return text
	}
	return strings.Repeat(text, size/len(text)+1)[:size]
}

func (lr *loadRequest) send(ctx context.Context) {
	lr.re.mu.Lock()
	lr.re.Sent++
	lr.re.mu.Unlock()
	began := time.Now()
	switch {
	case lr.plain:
		lr.sendPlain(ctx)
	case lr.stream:
		lr.sendStreamed(ctx)
	default:
		lr.sendNonStreamed(ctx)
	}
	recordDuration(lr.re, lr.re.Total, time.Since(began))
}

func recordDuration(re *LoadResult, hi *hdrhistogram.Histogram, du time.Duration) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_ = hi.RecordValue(max(1, du.Microseconds()))
}

func (lr *loadRequest) newRequest(path string, body []byte) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + lr.cfg.Address + path)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+lr.cfg.APIKey)
	req.Header.Set("X-Request-Id", lr.id)
	if lr.cfg.Deadline > 0 {
		req.Header.Set("X-Deadline", lr.cfg.Deadline.String())
	}
	req.SetBody(body)
	return req
}

func (lr *loadRequest) modelBody() []byte {
	raw, _ := json.Marshal(map[string]any{
		"model": lr.cfg.Model, "stream": lr.stream || lr.cfg.Direct, "max_tokens": lr.cfg.AnswerTokens,
		"messages": []map[string]string{{"role": "user", "content": lr.prompt}},
	})
	return raw
}

func (lr *loadRequest) wantAnswer() string { return Answer(lr.prompt, lr.cfg.AnswerTokens) }

// countOutcome counts a request by the outcome in its error body, or, without one, as
// correct or wrong by comparing have with want.
func (lr *loadRequest) countOutcome(have, want string, outcome, code string) {
	re := lr.re
	re.mu.Lock()
	defer re.mu.Unlock()
	switch {
	case outcome == "not_run":
		re.NotRun++
		re.ErrorCodes[code]++
	case outcome == "unknown":
		re.Unknown++
		re.ErrorCodes[code]++
	case have == want:
		re.Correct++
	default:
		re.Wrong++
		if len(re.Mismatches) < maxMismatches {
			re.Mismatches = append(re.Mismatches, fmt.Sprintf("request %d: have %.60q (%d bytes), want %.60q (%d bytes) %s", lr.num, have, len(have), want, len(want), code))
		}
	}
}

// errorBody has the fields of an error answer that the load generator reads.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func decodeError(body []byte) (outcome, code string) {
	var eb errorBody
	_ = json.Unmarshal(body, &eb)
	return eb.Error.Outcome, eb.Error.Code
}

func (lr *loadRequest) sendPlain(ctx context.Context) {
	body := []byte(lr.id)
	req := lr.newRequest("/svc/"+string(lr.cfg.Service)+"/notify", body)
	req.Header.Set("Idempotency-Key", lr.id)
	defer fasthttp.ReleaseRequest(req)
	raw, code, err := lr.roundTrip(ctx, req)
	if err != nil {
		lr.countOutcome("", "", "unknown", "connection")
		return
	}
	if code != fasthttp.StatusOK {
		outcome, kind := decodeError(raw)
		lr.countOutcome("", "answer", outcome, kind)
		return
	}
	var an PlainAnswer
	_ = json.Unmarshal(raw, &an)
	lr.countOutcome(an.Echo, lr.id, "", "")
}

func (lr *loadRequest) roundTrip(ctx context.Context, req *fasthttp.Request) ([]byte, int, error) {
	an, err := lr.ca.Do(ctx, lr.cfg.Address, req, false)
	if err != nil {
		return nil, 0, err
	}
	defer an.Close()
	raw, err := io.ReadAll(an.Body)
	return raw, an.Header.StatusCode(), err
}

func (lr *loadRequest) sendNonStreamed(ctx context.Context) {
	req := lr.newRequest("/v1/chat/completions", lr.modelBody())
	req.Header.Set("Idempotency-Key", lr.id)
	defer fasthttp.ReleaseRequest(req)
	const maxTries = 3 // A node that leaves answers handed_over: the caller retries.
	for try := 1; ; try++ {
		raw, code, err := lr.roundTrip(ctx, req)
		if err != nil {
			lr.countOutcome("", "", "unknown", "connection")
			return
		}
		outcome, kind := decodeError(raw)
		if kind == "handed_over" && try < maxTries {
			lr.countReconnect()
			continue
		}
		if code != fasthttp.StatusOK {
			lr.countOutcome("", "answer", outcome, kind)
			return
		}
		var body struct {
			Choices []struct {
				Message struct {
					Content string `json:"content"`
				} `json:"message"`
			} `json:"choices"`
		}
		_ = json.Unmarshal(raw, &body)
		if len(body.Choices) != 1 {
			lr.countOutcome(string(raw), lr.wantAnswer(), "", "")
			return
		}
		lr.countOutcome(body.Choices[0].Message.Content, lr.wantAnswer(), "", "")
		return
	}
}

func (lr *loadRequest) countReconnect() {
	lr.re.mu.Lock()
	defer lr.re.mu.Unlock()
	lr.re.Reconnects++
}

// streamState is what was read of a stream, over all its connections.
type streamState struct {
	text    strings.Builder
	lastID  string
	done    bool
	failure errorBody
	code    int
}

func (lr *loadRequest) sendStreamed(ctx context.Context) {
	ss := &streamState{}
	const maxTries = 5
	for try := 1; try <= maxTries; try++ {
		if try > 1 {
			lr.countReconnect()
		}
		if err := lr.readStream(ctx, ss); err != nil && ss.lastID == "" {
			lr.countOutcome("", "", "unknown", "connection")
			return
		}
		resume := !ss.done && ss.lastID != "" && (ss.failure.Error.Code == "" || ss.failure.Error.Code == "handed_over")
		if !resume {
			break
		}
	}
	if ss.failure.Error.Code != "" {
		lr.countOutcome("", "answer", ss.failure.Error.Outcome, ss.failure.Error.Code)
		return
	}
	lr.countOutcome(ss.text.String(), lr.wantAnswer(), "", fmt.Sprintf("done=%t", ss.done))
}

func (lr *loadRequest) readStream(ctx context.Context, ss *streamState) error {
	req := lr.newRequest("/v1/chat/completions", lr.modelBody())
	defer fasthttp.ReleaseRequest(req)
	if ss.lastID != "" {
		req.Header.Set("Last-Event-ID", ss.lastID)
	}
	ss.failure = errorBody{}
	began := time.Now()
	an, err := lr.ca.Do(ctx, lr.cfg.Address, req, false)
	if err != nil {
		return err
	}
	defer an.Close()
	if ss.code = an.Header.StatusCode(); ss.code != fasthttp.StatusOK {
		raw, _ := io.ReadAll(an.Body)
		_ = json.Unmarshal(raw, &ss.failure)
		return nil
	}
	return lr.readEvents(bufio.NewReader(an.Body), ss, began)
}

func (lr *loadRequest) readEvents(src *bufio.Reader, ss *streamState, last time.Time) error {
	first := true
	for {
		line, err := src.ReadBytes('\n')
		if err != nil {
			if ss.done {
				return nil
			}
			return err
		}
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			ss.lastID = string(bytes.TrimSpace(id))
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if bytes.HasPrefix(data, []byte("[DONE]")) {
			ss.done = true
			continue
		}
		now := time.Now()
		if lr.appendDelta(ss, data) {
			hist := lr.re.BetweenTokens
			if first {
				hist = lr.re.FirstToken
			}
			recordDuration(lr.re, hist, now.Sub(last))
			first, last = false, now
		}
	}
}

// appendDelta appends the text of one event and reports whether there was any.
func (lr *loadRequest) appendDelta(ss *streamState, data []byte) bool {
	var body struct {
		errorBody
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	_ = json.Unmarshal(data, &body)
	if body.Error.Code != "" {
		ss.failure = body.errorBody
		return false
	}
	if len(body.Choices) == 0 || body.Choices[0].Delta.Content == "" {
		return false
	}
	ss.text.WriteString(body.Choices[0].Delta.Content)
	return true
}

// Summary returns the counts, the latency percentiles in ms, and the wrong answers as text.
func (re *LoadResult) Summary() string {
	re.mu.Lock()
	defer re.mu.Unlock()
	var sb strings.Builder
	fmt.Fprintf(&sb, "sent %d  correct %d  wrong %d  not_run %d  unknown %d  reconnects %d\n",
		re.Sent, re.Correct, re.Wrong, re.NotRun, re.Unknown, re.Reconnects)
	for _, row := range []struct {
		name string
		hist *hdrhistogram.Histogram
	}{{"first token", re.FirstToken}, {"between tokens", re.BetweenTokens}, {"whole request", re.Total}} {
		fmt.Fprintf(&sb, "%-15s p50 %8.2f ms  p95 %8.2f ms  p99 %8.2f ms  n %d\n", row.name,
			millis(row.hist, 50), millis(row.hist, 95), millis(row.hist, 99), row.hist.TotalCount())
	}
	for code, count := range re.ErrorCodes {
		fmt.Fprintf(&sb, "code %s: %d\n", code, count)
	}
	for _, mismatch := range re.Mismatches {
		fmt.Fprintf(&sb, "%s\n", mismatch)
	}
	return sb.String()
}

func millis(hi *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(hi.ValueAtQuantile(percentile)) / 1000
}
