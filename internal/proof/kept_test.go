package proof_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// keptCallers use their connections to a node as long as it keeps them open, and new ones until it takes no more.
type keptCallers struct {
	wg       sync.WaitGroup
	mu       sync.Mutex
	statuses map[int]int
	// broken are the bodies of the requests that got no whole answer.
	broken []string
	// wrong are the answers that are neither a success nor say whether the request may have run.
	wrong []string
}

const keptConnections = 16

func (pr *procs) keep(args []string) error {
	kc := &keptCallers{statuses: map[int]int{}}
	pr.kept = kc
	addr := pr.addr(args[0])
	for num := range keptConnections {
		kc.wg.Go(func() {
			for idx := 0; ; {
				cn, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				for open := true; open; idx++ {
					open = kc.exchange(cn, fmt.Sprintf("kept-%d-%d", num, idx))
				}
				_ = cn.Close()
			}
		})
	}
	return nil
}

// exchange sends a request and reports whether the connection takes another one.
func (kc *keptCallers) exchange(cn net.Conn, body string) bool {
	_ = cn.SetDeadline(time.Now().Add(waitTimeout))
	_, err := fmt.Fprintf(cn, "POST /svc/notify/send HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\nX-Deadline: 500ms\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	var resp *http.Response
	var raw []byte
	if err == nil {
		resp, err = http.ReadResponse(bufio.NewReader(cn), nil)
	}
	if err == nil {
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	kc.mu.Lock()
	defer kc.mu.Unlock()
	if err != nil {
		kc.broken = append(kc.broken, body)
		return false
	}
	kc.statuses[resp.StatusCode]++
	outcome := resp.Header.Get("Lycheepick-Outcome")
	if resp.StatusCode != http.StatusOK && outcome != "not_run" {
		kc.wrong = append(kc.wrong, fmt.Sprintf("%s: %d %s", body, resp.StatusCode, raw))
	}
	return !resp.Close
}

// keptEnded waits for the callers and checks that each request either got an answer or never ran.
func (pr *procs) keptEnded([]string) error {
	pr.kept.wg.Wait()
	runs := map[string]int{}
	for name := range pr.procs {
		if !strings.HasPrefix(name, "plain-") {
			continue
		}
		_, raw, err := pr.get(name, "/admin/runs")
		if err != nil {
			return err
		}
		if err := json.Unmarshal(raw, &runs); err != nil {
			return err
		}
	}
	pr.env.T().Log(fmt.Sprintf("statuses %v, without an answer %d", pr.kept.statuses, len(pr.kept.broken)))
	for _, body := range pr.kept.broken {
		if runs[body] > 0 {
			return fmt.Errorf("request %s ran and got no answer", body)
		}
	}
	if len(pr.kept.wrong) > 0 {
		return fmt.Errorf("answers %v", pr.kept.wrong)
	}
	return nil
}
