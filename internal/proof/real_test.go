package proof_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
	"lycheepick/internal/fake/stand"
)

// The commands of the scripts with real processes:
//
//	up NODES ENGINES PLAINS [ENGINE FLAGS]  start a fleet with a table in force
//	crash|freeze|thaw|term NAME             SIGKILL, SIGSTOP, SIGCONT, SIGTERM
//	crash-busy|freeze-busy                  SIGKILL or SIGSTOP an engine with requests in progress
//	retention DURATION                      retention of the log; must come before up
//	grace DURATION                          grace of the nodes; must come before up
//	expired STREAM                          wait until the first record of a stream has expired
//	revive NODE                             restart a node after it has ended
//	listening NODE                          wait until a node answers its callers, ready or not
//	ready|unready NODE                      wait until a node is ready, or is not
//	gone NAME                               wait until a process has ended
//	fault NAME JSON                         set the faults of a fake
//	post NAME PATH JSON                     call a fake's admin endpoint
//	cut|heal NODE log|cloud                 disconnect a node from the platform, or reconnect it
//	ask [-a] ID NODE TARGET [KEY=VALUE...]  send a request; with -a, in the background
//	expect ID FIELD VALUE                   check status, outcome, code, body, whole, replayed or retry
//	hangup ID                               close the connection of a request
//	tokens ID NUM                           wait until a stream has NUM tokens
//	openai NODE                             run the official OpenAI client library
//	until NODE METRIC OP VALUE              wait for a metric
//	keep NODE                               send requests on open connections until a node is gone
//	keptended                               wait for their end; what ran must have an answer
//	slow NODE                               send a request and read only the header of its answer, which is large
//	slowend DURATION                        read the rest of that answer after a time
//	ended ID...                             wait until requests have ended
//	settled NODE BODY KEY                   repeat a request until the recorded response is replayed
//	runs BODY NUM...                        check how often the plain services ran a body
//	load ID NODE [KEY=VALUE...]             generate load in the background
//	loaded ID [unknown]                     wait for its end and check that no response was wrong
var realCommands = map[string]func(*testscript.TestScript, bool, []string){
	"up": withProcs(func(pr *procs, args []string) error {
		var num [3]int
		for idx := range num {
			val, err := strconv.Atoi(args[idx])
			if err != nil {
				return err
			}
			num[idx] = val
		}
		if err := pr.up(num[0], num[1], num[2], strings.Join(args[3:], " ")); err != nil {
			return err
		}
		return pr.publishInitialTable()
	}),
	"crash":       withProcs(func(pr *procs, args []string) error { return pr.signal(args[0], syscall.SIGKILL) }),
	"crash-busy":  withProcs(func(pr *procs, _ []string) error { return pr.signalBusy(syscall.SIGKILL) }),
	"freeze-busy": withProcs(func(pr *procs, _ []string) error { return pr.signalBusy(syscall.SIGSTOP) }),
	"retention": withProcs(func(pr *procs, args []string) error {
		pr.retention = args[0]
		return nil
	}),
	"grace": withProcs(func(pr *procs, args []string) error {
		pr.grace = args[0]
		return nil
	}),
	"expired": withProcs(func(pr *procs, args []string) error { return pr.awaitExpiry(args[0]) }),
	"freeze":  withProcs(func(pr *procs, args []string) error { return pr.signal(args[0], syscall.SIGSTOP) }),
	"thaw":    withProcs(func(pr *procs, args []string) error { return pr.signal(args[0], syscall.SIGCONT) }),
	"term":    withProcs(func(pr *procs, args []string) error { return pr.signal(args[0], syscall.SIGTERM) }),
	"revive": withProcs(func(pr *procs, args []string) error {
		<-pr.procs[args[0]].done
		return pr.startNode(args[0])
	}),
	"listening": withProcs(func(pr *procs, args []string) error { return pr.awaitHTTP(args[0], "/healthz") }),
	"ready":     withProcs(func(pr *procs, args []string) error { return pr.awaitHTTP(args[0], "/readyz") }),
	"unready": withProcs(func(pr *procs, args []string) error {
		return await(args[0]+" not ready", func() error {
			if code, _, err := pr.get(args[0], "/readyz"); err != nil || code == fasthttp.StatusOK {
				return fmt.Errorf("status %d: %w", code, err)
			}
			return nil
		})
	}),
	"gone": withProcs(func(pr *procs, args []string) error {
		select {
		case <-pr.procs[args[0]].done:
			return nil
		case <-time.After(waitTimeout):
			return fmt.Errorf("%s is still running", args[0])
		}
	}),
	"fault": withProcs(func(pr *procs, args []string) error {
		return pr.post(args[0], "/admin/fault", json.RawMessage(args[1]))
	}),
	"post": withProcs(func(pr *procs, args []string) error {
		return pr.post(args[0], args[1], json.RawMessage(args[2]))
	}),
	"cut":  withProcs(func(pr *procs, args []string) error { return pr.setProxy(args, true) }),
	"heal": withProcs(func(pr *procs, args []string) error { return pr.setProxy(args, false) }),
	"until": withProcs(func(pr *procs, args []string) error {
		want, err := strconv.ParseFloat(args[3], 64)
		if err != nil {
			return err
		}
		return pr.awaitMetric(args[0], args[1], args[2], want)
	}),
	"ask": withProcs((*procs).ask),
	"hangup": withProcs(func(pr *procs, args []string) error {
		pr.results[args[0]].cancel()
		<-pr.results[args[0]].done
		return nil
	}),
	"expect": withProcs((*procs).expect),
	"openai": withProcs((*procs).openai),
	"tokens": withProcs((*procs).tokens),
	"runs":   withProcs((*procs).runs),
	"ended": withProcs(func(pr *procs, args []string) error {
		for _, id := range args {
			<-pr.results[id].done
		}
		return nil
	}),
	"settled":   withProcs((*procs).settled),
	"keep":      withProcs((*procs).keep),
	"keptended": withProcs((*procs).keptEnded),
	"slow":      withProcs((*procs).slow),
	"slowend":   withProcs((*procs).slowEnd),
	"load":      withProcs((*procs).load),
	"loaded":    withProcs((*procs).loaded),
}

func withProcs(do func(*procs, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := do(ts.Value(procsKey{}).(*procs), args)
		switch {
		case neg && err == nil:
			ts.Fatalf("command succeeded, want a failure")
		case !neg:
			ts.Check(err)
		}
	}
}

func (pr *procs) setProxy(args []string, down bool) error {
	px := pr.proxies[args[0]+"."+args[1]]
	if px == nil {
		return fmt.Errorf("no proxy %s.%s", args[0], args[1])
	}
	px.setDown(down)
	return nil
}

// options are the KEY=VALUE arguments of a command.
type options map[string]string

func readOptions(args []string) options {
	out := options{}
	for _, ar := range args {
		key, val, _ := strings.Cut(ar, "=")
		out[key] = val
	}
	return out
}

func (op options) intOr(key string, fallback int) int {
	if val, err := strconv.Atoi(op[key]); err == nil {
		return val
	}
	return fallback
}

// result is a request of a script and what was received of its response so far.
type result struct {
	done        chan struct{}
	cancel      context.CancelFunc
	tokenCounts chan int // Receives the number of tokens so far.
	status      int
	outcome     string
	code        string
	replayed    string
	retryAfter  string
	body        string
	text        string
	lastEventID string
	complete    bool
	wantText    string
}

// ask sends a request. Options: stream, tokens, body, key, apikey, after (the ID of an
// earlier stream to resume).
func (pr *procs) ask(args []string) error {
	async := args[0] == "-a"
	if async {
		args = args[1:]
	}
	id, node, target, op := args[0], args[1], args[2], readOptions(args[3:])
	ctx, cancel := context.WithCancel(context.Background())
	re := &result{done: make(chan struct{}), tokenCounts: make(chan int, 100000), cancel: cancel}
	prev := pr.results[op["after"]]
	pr.results[id] = re
	req := pr.request(node, target, op, re)
	if prev != nil {
		req.Header.Set("Last-Event-ID", prev.lastEventID)
		re.text = prev.text
	}
	addr := pr.addr(node)
	go func() {
		defer close(re.done)
		defer fasthttp.ReleaseRequest(req)
		re.run(ctx, addr, req)
	}()
	if !async {
		<-re.done
	}
	return nil
}

func (pr *procs) request(node, target string, op options, re *result) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod("POST")
	req.Header.SetContentType("application/json")
	apiKey := "key"
	if op["apikey"] != "" {
		apiKey = op["apikey"]
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if op["key"] != "" {
		req.Header.Set("Idempotency-Key", op["key"])
	}
	if target == "notify" {
		req.SetRequestURI("http://" + pr.addr(node) + "/svc/notify/send")
		req.SetBodyString(op["body"])
		return req
	}
	_, stream := op["stream"]
	count := op.intOr("tokens", 20)
	raw, _ := json.Marshal(map[string]any{
		"model": target, "stream": stream, "max_tokens": count,
		"messages": []map[string]string{{"role": "user", "content": op["body"]}},
	})
	re.wantText = stand.Answer(op["body"], count)
	req.SetRequestURI("http://" + pr.addr(node) + "/v1/chat/completions")
	req.SetBody(raw)
	return req
}

func (re *result) run(ctx context.Context, addr string, req *fasthttp.Request) {
	an, err := call.NewCaller().Do(ctx, addr, req, true)
	if err != nil {
		re.code = "connection"
		return
	}
	defer an.Close()
	re.status = an.Header.StatusCode()
	re.outcome = string(an.Header.Peek("Lycheepick-Outcome"))
	re.replayed = string(an.Header.Peek("Lycheepick-Replayed"))
	re.retryAfter = string(an.Header.Peek("Retry-After"))
	if strings.HasPrefix(string(an.Header.ContentType()), "text/event-stream") {
		re.readStream(bufio.NewReader(an.Body))
		return
	}
	raw, err := io.ReadAll(an.Body)
	if err != nil {
		re.code = "connection"
		return
	}
	re.body = string(raw)
	re.readBody(raw)
}

// response holds the fields that the scripts check of a body or of a streamed event.
type response struct {
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Echo string `json:"echo"`
}

func (re *result) readBody(raw []byte) {
	var rs response
	_ = json.Unmarshal(raw, &rs)
	re.code = rs.Error.Code
	if len(rs.Choices) == 1 {
		re.text = rs.Choices[0].Message.Content
		re.complete = re.text == re.wantText
	}
	if rs.Echo != "" {
		re.text = rs.Echo
	}
}

func (re *result) readStream(rd *bufio.Reader) {
	count := 0
	for {
		line, err := rd.ReadString('\n')
		if err != nil {
			return
		}
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			re.lastEventID = strings.TrimSpace(id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if strings.HasPrefix(data, "[DONE]") {
			re.complete = re.text == re.wantText
			continue
		}
		var rs response
		_ = json.Unmarshal([]byte(data), &rs)
		if rs.Error.Code != "" {
			re.code, re.outcome = rs.Error.Code, rs.Error.Outcome
			continue
		}
		if len(rs.Choices) == 1 && rs.Choices[0].Delta.Content != "" {
			re.text += rs.Choices[0].Delta.Content
			count++
			re.tokenCounts <- count
		}
	}
}

// tokens waits until a stream has a number of tokens.
func (pr *procs) tokens(args []string) error {
	re := pr.results[args[0]]
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	timeout := time.After(waitTimeout)
	for {
		select {
		case have := <-re.tokenCounts:
			if have >= want {
				return nil
			}
		case <-re.done:
			return fmt.Errorf("the stream ended early with code %+v", re.code)
		case <-timeout:
			return fmt.Errorf("no further token within %s", waitTimeout)
		}
	}
}

// expect waits for the end of a request and checks a field of its result.
func (pr *procs) expect(args []string) error {
	re := pr.results[args[0]]
	select {
	case <-re.done:
	case <-time.After(waitTimeout):
		return fmt.Errorf("request %s has not ended", args[0])
	}
	have := map[string]string{
		"status": strconv.Itoa(re.status), "outcome": re.outcome, "code": re.code, "body": re.text,
		"whole": strconv.FormatBool(re.complete), "replayed": strconv.FormatBool(re.replayed != ""), "retry": strconv.FormatBool(re.retryAfter != ""),
	}[args[1]]
	if want := strings.Join(args[2:], " "); have != want {
		return fmt.Errorf("%s of %s: have %q, want %q (%+v)", args[1], args[0], have, want, re)
	}
	return nil
}

// settled repeats a request with a key until the response is replayed from the log, since the
// outcome is recorded only after the first response was sent.
func (pr *procs) settled(args []string) error {
	return await("a replayed response for key "+args[2], func() error {
		if err := pr.ask([]string{"settled", args[0], "notify", "body=" + args[1], "key=" + args[2]}); err != nil {
			return err
		}
		if re := pr.results["settled"]; re.replayed == "" || re.text != args[1] {
			return fmt.Errorf("%+v", re)
		}
		return nil
	})
}

// runs checks that the number of times a body ran is one of the given numbers.
func (pr *procs) runs(args []string) error {
	total, err := pr.countRuns(args[0])
	if err != nil {
		return err
	}
	for _, want := range args[1:] {
		if strconv.Itoa(total) == want {
			return nil
		}
	}
	return fmt.Errorf("%q ran %d times, want %s", args[0], total, args[1:])
}

func (pr *procs) countRuns(body string) (int, error) {
	total := 0
	for name := range pr.procs {
		if !strings.HasPrefix(name, "plain-") {
			continue
		}
		_, raw, err := pr.get(name, "/admin/runs")
		if err != nil {
			return 0, err
		}
		var runs map[string]int
		if err := json.Unmarshal(raw, &runs); err != nil {
			return 0, err
		}
		total += runs[body]
	}
	return total, nil
}

// finishedLoad is the result of a load that has ended.
type finishedLoad struct{ result *stand.LoadResult }

func (pr *procs) load(args []string) error {
	op := readOptions(args[2:])
	cfg := stand.LoadConfig{
		Address: pr.addr(args[1]), APIKey: "key", Model: "small", Service: "notify",
		Rate: float64(op.intOr("rate", 20)), Duration: time.Duration(op.intOr("seconds", 5)) * time.Second,
		StreamedShare: 0.6, PlainShare: float64(op.intOr("plain", 20)) / 100, AnswerTokens: op.intOr("tokens", 50), PromptBytes: 1024, Prefixes: 4,
		Seed: uint64(op.intOr("seed", 1)),
	}
	end := make(chan *finishedLoad, 1)
	pr.loads[args[0]] = end
	go func() { end <- &finishedLoad{result: stand.Load(context.Background(), cfg)} }()
	return nil
}

// loaded checks that some responses were right and none wrong, and, unless "unknown" is
// given, that no request has an unknown outcome.
func (pr *procs) loaded(args []string) error {
	end := <-pr.loads[args[0]]
	allowed := len(args) > 1 && args[1] == "unknown"
	if end.result.Wrong > 0 || end.result.Correct == 0 || (end.result.Unknown > 0 && !allowed) {
		return fmt.Errorf("load %s: %s", args[0], end.result.Summary())
	}
	return nil
}
