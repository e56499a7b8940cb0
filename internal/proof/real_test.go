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
//	retention DURATION                      how long the log keeps records; stands before up
//	expired STREAM                          wait until the log has dropped records of a stream
//	revive NODE                             start a node again after it ended
//	gone NAME                               wait until a process has ended
//	fault NAME JSON                         give a stand-in a fault
//	post NAME PATH JSON                     call a stand-in's admin endpoint
//	cut|heal NODE log|cloud                 cut a node from the platform
//	ask [-a] ID NODE TARGET [KEY=VALUE...]  send a request; -a does not wait for the end
//	expect ID FIELD VALUE                   check status, outcome, code, whole or a body
//	hangup ID                               break the connection of a request off
//	tokens ID NUM                           wait until a stream has so many tokens
//	openai NODE                             run the official OpenAI client library
//	until NODE METRIC OP VALUE              wait for a metric
//	ended ID...                             wait until requests have ended
//	settled NODE BODY KEY                   ask again until a key's answer is replayed
//	runs BODY NUM [MORE]                    check how often the plain services ran a body
//	load ID NODE [KEY=VALUE...]             send a load in the background
//	loaded ID                               wait for its end; no answer may be wrong
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
		return pr.publishFirst()
	}),
	"crash":       withProcs(func(pr *procs, args []string) error { return pr.signal(args[0], syscall.SIGKILL) }),
	"crash-busy":  withProcs(func(pr *procs, _ []string) error { return pr.signalBusy(syscall.SIGKILL) }),
	"freeze-busy": withProcs(func(pr *procs, _ []string) error { return pr.signalBusy(syscall.SIGSTOP) }),
	"retention": withProcs(func(pr *procs, args []string) error {
		pr.retention = args[0]
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
	"ready": withProcs(func(pr *procs, args []string) error { return pr.awaitHTTP(args[0], "/readyz") }),
	"gone": withProcs(func(pr *procs, args []string) error {
		select {
		case <-pr.procs[args[0]].done:
			return nil
		case <-time.After(waitFor):
			return fmt.Errorf("%s still runs", args[0])
		}
	}),
	"fault": withProcs(func(pr *procs, args []string) error {
		return pr.post(args[0], "/admin/fault", json.RawMessage(args[1]))
	}),
	"post": withProcs(func(pr *procs, args []string) error {
		return pr.post(args[0], args[1], json.RawMessage(args[2]))
	}),
	"cut":  withProcs(func(pr *procs, args []string) error { return pr.setLink(args, true) }),
	"heal": withProcs(func(pr *procs, args []string) error { return pr.setLink(args, false) }),
	"until": withProcs(func(pr *procs, args []string) error {
		want, err := strconv.ParseFloat(args[3], 64)
		if err != nil {
			return err
		}
		return pr.awaitMetric(args[0], args[1], args[2], want)
	}),
	"ask": withProcs((*procs).ask),
	"hangup": withProcs(func(pr *procs, args []string) error {
		pr.results[args[0]].hangUp()
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
	"settled": withProcs((*procs).settled),
	"load":    withProcs((*procs).load),
	"loaded":  withProcs((*procs).loaded),
}

func withProcs(do func(*procs, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		err := do(ts.Value(fleetKey{}).(*procs), args)
		switch {
		case neg && err == nil:
			ts.Fatalf("succeeded, want a failure")
		case !neg:
			ts.Check(err)
		}
	}
}

func (pr *procs) setLink(args []string, down bool) error {
	li := pr.links[args[0]+"."+args[1]]
	if li == nil {
		return fmt.Errorf("no link %s.%s", args[0], args[1])
	}
	li.set(down)
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

func (op options) num(key string, def int) int {
	if val, err := strconv.Atoi(op[key]); err == nil {
		return val
	}
	return def
}

// result is one request of a script as far as its answer has come.
type result struct {
	done    chan struct{}
	hangUp  context.CancelFunc
	seen    chan int // Carries the number of tokens.
	status  int
	outcome string
	code    string
	replay  string
	retry   string
	body    string
	text    string
	lastID  string
	whole   bool
	want    string
}

// ask sends a request. Options: stream, tokens, body, key, kind, apikey, after (the ID of
// an earlier stream to go on from).
func (pr *procs) ask(args []string) error {
	async := args[0] == "-a"
	if async {
		args = args[1:]
	}
	id, node, target, op := args[0], args[1], args[2], readOptions(args[3:])
	ctx, cancel := context.WithCancel(context.Background())
	re := &result{done: make(chan struct{}), seen: make(chan int, 100000), hangUp: cancel}
	prev := pr.results[op["after"]]
	pr.results[id] = re
	req := pr.request(node, target, op, re)
	if prev != nil {
		req.Header.Set("Last-Event-ID", prev.lastID)
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
	count := op.num("tokens", 20)
	raw, _ := json.Marshal(map[string]any{
		"model": target, "stream": stream, "max_tokens": count,
		"messages": []map[string]string{{"role": "user", "content": op["body"]}},
	})
	re.want = stand.Answer(op["body"], count)
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
	re.replay = string(an.Header.Peek("Lycheepick-Replayed"))
	re.retry = string(an.Header.Peek("Retry-After"))
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
	re.readWhole(raw)
}

// event is what the scripts read of a body or a streamed event.
type event struct {
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

func (re *result) readWhole(raw []byte) {
	var ev event
	_ = json.Unmarshal(raw, &ev)
	re.code = ev.Error.Code
	if len(ev.Choices) == 1 {
		re.text = ev.Choices[0].Message.Content
		re.whole = re.text == re.want
	}
	if ev.Echo != "" {
		re.text = ev.Echo
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
			re.lastID = strings.TrimSpace(id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if strings.HasPrefix(data, "[DONE]") {
			re.whole = re.text == re.want
			continue
		}
		var ev event
		_ = json.Unmarshal([]byte(data), &ev)
		if ev.Error.Code != "" {
			re.code, re.outcome = ev.Error.Code, ev.Error.Outcome
			continue
		}
		if len(ev.Choices) == 1 && ev.Choices[0].Delta.Content != "" {
			re.text += ev.Choices[0].Delta.Content
			count++
			re.seen <- count
		}
	}
}

func (pr *procs) tokens(args []string) error {
	re := pr.results[args[0]]
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	timeout := time.After(waitFor)
	for {
		select {
		case have := <-re.seen:
			if have >= want {
				return nil
			}
		case <-re.done:
			return fmt.Errorf("the stream ended early: %+v", re.code)
		case <-timeout:
			return fmt.Errorf("no token for %s", waitFor)
		}
	}
}

func (pr *procs) expect(args []string) error {
	re := pr.results[args[0]]
	select {
	case <-re.done:
	case <-time.After(waitFor):
		return fmt.Errorf("request %s has not ended", args[0])
	}
	have := map[string]string{
		"status": strconv.Itoa(re.status), "outcome": re.outcome, "code": re.code, "body": re.text,
		"whole": strconv.FormatBool(re.whole), "replayed": strconv.FormatBool(re.replay != ""), "retry": strconv.FormatBool(re.retry != ""),
	}[args[1]]
	if want := strings.Join(args[2:], " "); have != want {
		return fmt.Errorf("%s of %s: have %q, want %q (%+v)", args[1], args[0], have, want, re)
	}
	return nil
}

// settled asks with a key until the answer comes from the log, since the outcome of a
// request is recorded after it was answered.
func (pr *procs) settled(args []string) error {
	return await("the answer of "+args[2], func() error {
		if err := pr.ask([]string{"settled", args[0], "notify", "body=" + args[1], "key=" + args[2]}); err != nil {
			return err
		}
		if re := pr.results["settled"]; re.replay == "" || re.text != args[1] {
			return fmt.Errorf("%+v", re)
		}
		return nil
	})
}

// runs wants a body to have run as often as one of the numbers says.
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

type loadEnd struct{ re *stand.LoadResult }

func (pr *procs) load(args []string) error {
	op := readOptions(args[2:])
	cfg := stand.LoadConfig{
		Address: pr.addr(args[1]), APIKey: "key", Model: "small", Service: "notify",
		Rate: float64(op.num("rate", 20)), Duration: time.Duration(op.num("seconds", 5)) * time.Second,
		StreamedShare: 0.6, PlainShare: float64(op.num("plain", 20)) / 100, AnswerTokens: op.num("tokens", 50), PromptBytes: 1024, Prefixes: 4,
		Seed: uint64(op.num("seed", 1)),
	}
	end := make(chan *loadEnd, 1)
	pr.loads[args[0]] = end
	go func() { end <- &loadEnd{re: stand.Load(context.Background(), cfg)} }()
	return nil
}

// loaded checks that no answer was wrong, and, unless "unknown" is allowed, that each
// accepted request ended whole.
func (pr *procs) loaded(args []string) error {
	end := <-pr.loads[args[0]]
	allowed := len(args) > 1 && args[1] == "unknown"
	if end.re.Wrong > 0 || end.re.Correct == 0 || (end.re.Unknown > 0 && !allowed) {
		return fmt.Errorf("load %s: %s", args[0], end.re.Summary())
	}
	return nil
}
