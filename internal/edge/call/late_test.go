package call_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/call"
)

// lateServer reads one request and answers it after a time. It goes on although its caller has stopped
// sending. ended is the error by which its connection ended, and when.
func lateServer(t *testing.T, after time.Duration, answer string) (addr string, asked <-chan time.Time, ended <-chan connEnd) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ls.Close() })
	got, ends := make(chan time.Time, 1), make(chan connEnd, 1)
	go func() {
		cn, err := ls.Accept()
		if err != nil {
			return
		}
		defer func() { _ = cn.Close() }()
		var req fasthttp.Request
		if req.Read(bufio.NewReader(cn)) != nil {
			return
		}
		got <- time.Now()
		time.Sleep(after)
		_, err = io.WriteString(cn, answer)
		for err == nil { // Until the connection is reset.
			time.Sleep(5 * time.Millisecond)
			_, err = io.WriteString(cn, "x")
		}
		ends <- connEnd{err, time.Now()}
	}()
	return ls.Addr().String(), got, ends
}

type connEnd struct {
	err error
	at  time.Time
}

// TestAnswerAfterEndOfCallIsHeard guards against refusals that are lost since nobody waits for them any more,
// and against servers that go on with requests whose callers have left.
func TestAnswerAfterEndOfCallIsHeard(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 4\r\nContent-Length: 100000\r\n\r\n"
	for _, tt := range []struct {
		name  string
		after time.Duration
		stops bool
		want  bool
	}{
		{"50 ms later", 50 * time.Millisecond, false, true},
		{"after an interim head", 50 * time.Millisecond, false, true},
		{"half a second later", 500 * time.Millisecond, false, false},
		{"the node stops", 50 * time.Millisecond, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			answer := refusal
			if strings.Contains(tt.name, "interim") {
				answer = "HTTP/1.1 103 Early Hints\r\n\r\n" + answer
			}
			addr, asked, ended := lateServer(t, tt.after, answer)
			ctx, cancel := context.WithCancel(context.Background())
			until, stop := context.WithCancel(context.Background())
			defer stop()
			heard := make(chan string, 1)
			var left time.Time
			go func() {
				<-asked
				if tt.stops {
					stop()
				}
				left = time.Now()
				cancel()
			}()
			var req fasthttp.Request
			req.SetRequestURI("/")
			req.Header.SetHost("a")
			_, err := call.NewCaller().DoIf(ctx, addr, &req, call.Conditions{Late: &call.Late{Until: until, Heard: func(an *call.Answer) {
				heard <- fmt.Sprint(an.Header.StatusCode(), " ", string(an.Header.Peek("Retry-After")))
			}}})
			if took := time.Since(left); err == nil || took > 100*time.Millisecond {
				t.Errorf("have %v after %s, want an error at once", err, took)
			}
			end := <-ended
			if took := end.at.Sub(left); !errors.Is(end.err, syscall.ECONNRESET) && !errors.Is(end.err, syscall.EPIPE) || took > max(tt.after, 250*time.Millisecond)+200*time.Millisecond {
				t.Errorf("the server's connection ended with %v after %s, want a reset within half a second", end.err, took)
			}
			select {
			case have := <-heard:
				if !tt.want || have != "503 4" {
					t.Errorf("have heard %q, want it: %t", have, tt.want)
				}
			case <-time.After(50 * time.Millisecond):
				if tt.want {
					t.Error("the answer was not heard")
				}
			}
		})
	}
}

// TestServerLearnsThatCallerLeft guards against a server that goes on with a request until its answer isn't
// waited for any more: it sees the end of the connection at once.
func TestServerLearnsThatCallerLeft(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ls.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	took := make(chan time.Duration, 1)
	go func() {
		cn, err := ls.Accept()
		if err != nil {
			return
		}
		defer func() { _ = cn.Close() }()
		rd := bufio.NewReader(cn)
		var req fasthttp.Request
		_ = req.Read(rd)
		left := time.Now()
		cancel()
		_, _ = rd.ReadByte()
		took <- time.Since(left)
	}()
	var req fasthttp.Request
	req.SetRequestURI("/")
	req.Header.SetHost("a")
	_, err = call.NewCaller().DoIf(ctx, ls.Addr().String(), &req, call.Conditions{Late: &call.Late{Until: context.Background(), Heard: func(*call.Answer) {}}})
	if have := <-took; err == nil || have > 100*time.Millisecond {
		t.Errorf("have %v, and the server learned of it after %s, want an error and 100 ms at most", err, have)
	}
}
