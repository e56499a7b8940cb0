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

// LoadConfig describes an open-loop load: requests begin at their times whether or not
// earlier ones have ended.
type LoadConfig struct {
	// Address is the host:port to send to.
	Address string
	APIKey  string
	Model   units.TargetID
	Service units.TargetID
	Rate    float64 // Requests a second.
	For     time.Duration
	// Streamed and Plain are the shares of streamed model requests and of requests
	// to the plain service; the rest are whole model requests.
	Streamed float64
	Plain    float64
	Tokens   int
	// PromptBytes is the length of a prompt; Prefixes is the number of different
	// beginnings, each half a prompt long.
	PromptBytes int
	Prefixes    int
	Seed        uint64
	// Deadline is sent with each request.
	Deadline time.Duration
	// Direct sends model requests as a node would, straight to an engine.
	Direct bool
}

// LoadResult is what a load met.
type LoadResult struct {
	mu sync.Mutex
	// Sent counts requests; each ends in exactly one of the next four.
	Sent, Right, Wrong, NotRun, Unknown int
	// Reconnects counts streams that went on after a reconnection.
	Reconnects int
	Codes      map[string]int
	Notes      []string
	// First and Total are in microseconds, as is Between.
	First, Between, Total *hdrhistogram.Histogram
}

const (
	highestMicros = 600_000_000
	digits        = 3
	mostNotes     = 10
)

// NewLoadResult returns an empty result.
func NewLoadResult() *LoadResult {
	mk := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, digits) }
	return &LoadResult{Codes: map[string]int{}, First: mk(), Between: mk(), Total: mk()}
}

// Load runs a load and returns what it met.
func Load(ctx context.Context, cfg LoadConfig) *LoadResult {
	re := NewLoadResult()
	ca := call.NewCaller()
	rnd := rand.New(rand.NewPCG(cfg.Seed, 1))
	var wg sync.WaitGroup
	began := time.Now()
	at := time.Duration(0)
	for num := 0; ctx.Err() == nil; num++ {
		at += time.Duration(rnd.ExpFloat64() / cfg.Rate * float64(time.Second))
		if at >= cfg.For {
			break
		}
		sh := newShot(&cfg, re, ca, rnd, num)
		if !pause.For(ctx, time.Until(began.Add(at))) {
			break
		}
		wg.Go(func() { sh.fire(ctx) })
	}
	wg.Wait()
	return re
}

// shot is one request of a load.
type shot struct {
	cfg    *LoadConfig
	re     *LoadResult
	ca     *call.Caller
	num    int
	plain  bool
	stream bool
	text   string
	key    string
}

func newShot(cfg *LoadConfig, re *LoadResult, ca *call.Caller, rnd *rand.Rand, num int) *shot {
	sh := &shot{cfg: cfg, re: re, ca: ca, num: num}
	pick := rnd.Float64()
	sh.plain = pick < cfg.Plain
	sh.stream = !sh.plain && pick < cfg.Plain+cfg.Streamed
	prefix := fmt.Sprintf("prefix %d ", rnd.IntN(max(1, cfg.Prefixes)))
	own := fmt.Sprintf("request %d of seed %d ", num, cfg.Seed)
	sh.text = fill(prefix, cfg.PromptBytes/2) + fill(own, cfg.PromptBytes/2)
	sh.key = fmt.Sprintf("load-%d-%d", cfg.Seed, num)
	return sh
}

func fill(text string, size int) string {
	if size <= len(text) {
		return text
	}
	return strings.Repeat(text, size/len(text)+1)[:size]
}

func (sh *shot) fire(ctx context.Context) {
	sh.re.mu.Lock()
	sh.re.Sent++
	sh.re.mu.Unlock()
	began := time.Now()
	switch {
	case sh.plain:
		sh.firePlain(ctx)
	case sh.stream:
		sh.fireStream(ctx)
	default:
		sh.fireWhole(ctx)
	}
	record(sh.re, sh.re.Total, time.Since(began))
}

func record(re *LoadResult, hi *hdrhistogram.Histogram, du time.Duration) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_ = hi.RecordValue(max(1, du.Microseconds()))
}

func (sh *shot) request(path string, body []byte) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + sh.cfg.Address + path)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+sh.cfg.APIKey)
	req.Header.Set("X-Request-Id", sh.key)
	if sh.cfg.Deadline > 0 {
		req.Header.Set("X-Deadline", sh.cfg.Deadline.String())
	}
	req.SetBody(body)
	return req
}

func (sh *shot) modelBody() []byte {
	raw, _ := json.Marshal(map[string]any{
		"model": sh.cfg.Model, "stream": sh.stream || sh.cfg.Direct, "max_tokens": sh.cfg.Tokens,
		"messages": []map[string]string{{"role": "user", "content": sh.text}},
	})
	return raw
}

func (sh *shot) want() string { return Answer(sh.text, sh.cfg.Tokens) }

// end counts a request under the outcome that its answer states, or under right or
// wrong by its text.
func (sh *shot) end(have, want string, outcome, code string) {
	re := sh.re
	re.mu.Lock()
	defer re.mu.Unlock()
	switch {
	case outcome == "not_run":
		re.NotRun++
		re.Codes[code]++
	case outcome == "unknown":
		re.Unknown++
		re.Codes[code]++
	case have == want:
		re.Right++
	default:
		re.Wrong++
		if len(re.Notes) < mostNotes {
			re.Notes = append(re.Notes, fmt.Sprintf("request %d: have %.60q (%d bytes), want %.60q (%d bytes) %s", sh.num, have, len(have), want, len(want), code))
		}
	}
}

// failure is the part of an error body that the load reads.
type failure struct {
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func readFailure(body []byte) (outcome, code string) {
	var fa failure
	_ = json.Unmarshal(body, &fa)
	return fa.Error.Outcome, fa.Error.Code
}

func (sh *shot) firePlain(ctx context.Context) {
	body := []byte(sh.key)
	req := sh.request("/svc/"+string(sh.cfg.Service)+"/notify", body)
	req.Header.Set("Idempotency-Key", sh.key)
	defer fasthttp.ReleaseRequest(req)
	raw, code, err := sh.roundTrip(ctx, req)
	if err != nil {
		sh.end("", "", "unknown", "connection")
		return
	}
	if code != fasthttp.StatusOK {
		outcome, kind := readFailure(raw)
		sh.end("", "answer", outcome, kind)
		return
	}
	var an PlainAnswer
	_ = json.Unmarshal(raw, &an)
	sh.end(an.Echo, sh.key, "", "")
}

func (sh *shot) roundTrip(ctx context.Context, req *fasthttp.Request) ([]byte, int, error) {
	an, err := sh.ca.Do(ctx, sh.cfg.Address, req, false)
	if err != nil {
		return nil, 0, err
	}
	defer an.Close()
	raw, err := io.ReadAll(an.Body)
	return raw, an.Header.StatusCode(), err
}

func (sh *shot) fireWhole(ctx context.Context) {
	req := sh.request("/v1/chat/completions", sh.modelBody())
	req.Header.Set("Idempotency-Key", sh.key)
	defer fasthttp.ReleaseRequest(req)
	const tries = 3 // A node that leaves asks its callers to come back.
	for try := 1; ; try++ {
		raw, code, err := sh.roundTrip(ctx, req)
		if err != nil {
			sh.end("", "", "unknown", "connection")
			return
		}
		outcome, kind := readFailure(raw)
		if kind == "handed_over" && try < tries {
			sh.reconnected()
			continue
		}
		if code != fasthttp.StatusOK {
			sh.end("", "answer", outcome, kind)
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
			sh.end(string(raw), sh.want(), "", "")
			return
		}
		sh.end(body.Choices[0].Message.Content, sh.want(), "", "")
		return
	}
}

func (sh *shot) reconnected() {
	sh.re.mu.Lock()
	defer sh.re.mu.Unlock()
	sh.re.Reconnects++
}

// reading is a stream as far as it was read.
type reading struct {
	text   strings.Builder
	lastID string
	done   bool
	fail   failure
	code   int
}

func (sh *shot) fireStream(ctx context.Context) {
	rd := &reading{}
	const tries = 5
	for try := 1; try <= tries; try++ {
		if try > 1 {
			sh.reconnected()
		}
		if err := sh.readStream(ctx, rd); err != nil && rd.lastID == "" {
			sh.end("", "", "unknown", "connection")
			return
		}
		again := !rd.done && rd.lastID != "" && (rd.fail.Error.Code == "" || rd.fail.Error.Code == "handed_over")
		if !again {
			break
		}
	}
	if rd.fail.Error.Code != "" {
		sh.end("", "answer", rd.fail.Error.Outcome, rd.fail.Error.Code)
		return
	}
	sh.end(rd.text.String(), sh.want(), "", fmt.Sprintf("done=%t", rd.done))
}

func (sh *shot) readStream(ctx context.Context, rd *reading) error {
	req := sh.request("/v1/chat/completions", sh.modelBody())
	defer fasthttp.ReleaseRequest(req)
	if rd.lastID != "" {
		req.Header.Set("Last-Event-ID", rd.lastID)
	}
	rd.fail = failure{}
	began := time.Now()
	an, err := sh.ca.Do(ctx, sh.cfg.Address, req, false)
	if err != nil {
		return err
	}
	defer an.Close()
	if rd.code = an.Header.StatusCode(); rd.code != fasthttp.StatusOK {
		raw, _ := io.ReadAll(an.Body)
		_ = json.Unmarshal(raw, &rd.fail)
		return nil
	}
	return sh.readEvents(bufio.NewReader(an.Body), rd, began)
}

func (sh *shot) readEvents(src *bufio.Reader, rd *reading, last time.Time) error {
	first := true
	for {
		line, err := src.ReadBytes('\n')
		if err != nil {
			if rd.done {
				return nil
			}
			return err
		}
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			rd.lastID = string(bytes.TrimSpace(id))
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if bytes.HasPrefix(data, []byte("[DONE]")) {
			rd.done = true
			continue
		}
		now := time.Now()
		if sh.addEvent(rd, data) {
			hist := sh.re.Between
			if first {
				hist = sh.re.First
			}
			record(sh.re, hist, now.Sub(last))
			first, last = false, now
		}
	}
}

// addEvent adds one event's text and tells whether it brought any.
func (sh *shot) addEvent(rd *reading, data []byte) bool {
	var body struct {
		failure
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	_ = json.Unmarshal(data, &body)
	if body.Error.Code != "" {
		rd.fail = body.failure
		return false
	}
	if len(body.Choices) == 0 || body.Choices[0].Delta.Content == "" {
		return false
	}
	rd.text.WriteString(body.Choices[0].Delta.Content)
	return true
}

// Summary returns the result as a short table.
func (re *LoadResult) Summary() string {
	re.mu.Lock()
	defer re.mu.Unlock()
	var sb strings.Builder
	fmt.Fprintf(&sb, "sent %d  right %d  wrong %d  not_run %d  unknown %d  reconnects %d\n",
		re.Sent, re.Right, re.Wrong, re.NotRun, re.Unknown, re.Reconnects)
	for _, row := range []struct {
		name string
		hist *hdrhistogram.Histogram
	}{{"first token", re.First}, {"between tokens", re.Between}, {"whole request", re.Total}} {
		fmt.Fprintf(&sb, "%-15s p50 %8.2f ms  p95 %8.2f ms  p99 %8.2f ms  n %d\n", row.name,
			millis(row.hist, 50), millis(row.hist, 95), millis(row.hist, 99), row.hist.TotalCount())
	}
	for code, count := range re.Codes {
		fmt.Fprintf(&sb, "code %s: %d\n", code, count)
	}
	for _, note := range re.Notes {
		fmt.Fprintf(&sb, "%s\n", note)
	}
	return sb.String()
}

func millis(hi *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(hi.ValueAtQuantile(quantile)) / 1000
}
