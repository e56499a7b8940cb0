// Package door answers callers over HTTP on connections that it reads itself, with
// fasthttp's parsers: it notices at once when a caller leaves, which a handler of a
// fasthttp server does not, and it holds no buffer while a connection is idle.
package door

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Kind tells why a connection ended.
type Kind string

// The kinds of error of this package.
const (
	// KindListen marks an address that can't be listened on.
	KindListen Kind = "listen"
	// KindRequest marks bytes that are no proper request.
	KindRequest Kind = "request"
	// KindGone marks a caller that has left.
	KindGone Kind = "gone"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Limits bound what a caller may send. The configuration in force gives them.
type Limits struct {
	Header, Body units.Bytes
	// HeaderTime bounds the reading of a header, Idle the time between requests.
	HeaderTime, Idle time.Duration
}

// Handler answers one request. ctx ends when the caller leaves.
type Handler func(ctx context.Context, rq *Request, an *Answer)

// Request is a whole request. It is valid until its handler returns.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
	// Arrived is when its last byte was read.
	Arrived time.Time
}

const (
	// headerRoom is added to the limit on headers, since the limit may be met exactly.
	headerRoom = 2 << 10
	// bodyTime bounds the reading of one body.
	bodyTime = 10 * time.Second
	// writeTime bounds one write to a caller that does not read.
	writeTime = 5 * time.Second
	// lingerTime is how long idle connections are left open once the node leaves: the
	// balancer needs two checks, a second apart, to stop sending new ones.
	lingerTime = 2500 * time.Millisecond
)

// Server answers callers. Set its fields before Serve.
type Server struct {
	Handler Handler
	Limits  func() Limits

	readers sync.Pool
	leaving atomic.Bool
	mu      sync.Mutex
	idle    map[*link]struct{}
	busy    sync.WaitGroup
}

// Serve answers connections on ls until ctx ends, and then waits for those in progress.
func (sv *Server) Serve(ctx context.Context, ls net.Listener) error {
	const op = "door.Serve"
	stop := context.AfterFunc(ctx, func() { _ = ls.Close() })
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		cn, err := ls.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fault.Wrap(op, KindListen, err)
		}
		if err != nil { // Out of descriptors, or a caller that left while queued.
			time.Sleep(time.Millisecond)
			continue
		}
		wg.Go(func() { sv.converse(ctx, &link{Conn: cn}) })
	}
}

// Leave makes answers close their connections, and closes idle ones after a while.
func (sv *Server) Leave(ctx context.Context) {
	sv.leaving.Store(true)
	tm := time.NewTimer(lingerTime)
	defer tm.Stop()
	select {
	case <-ctx.Done():
	case <-tm.C:
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for li := range sv.idle {
		_ = li.Close()
	}
}

// Wait returns when no request is in progress, or when ctx ends.
func (sv *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		sv.busy.Wait()
		close(done)
	}()
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// rest notes whether a connection waits for its next request.
func (sv *Server) rest(li *link, on bool) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.idle == nil {
		sv.idle = map[*link]struct{}{}
	}
	if on {
		sv.idle[li] = struct{}{}
	} else {
		delete(sv.idle, li)
	}
}

// converse answers the requests of one connection in turn.
func (sv *Server) converse(ctx context.Context, li *link) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = li.Close() }()
	keepAlive(li.Conn)
	for ctx.Err() == nil {
		lim := sv.Limits()
		sv.rest(li, true)
		ok := li.awaitFirst(lim.Idle)
		sv.rest(li, false)
		if !ok {
			return
		}
		if !sv.one(ctx, li, lim) {
			return
		}
	}
}

// one reads and answers one request. It returns false if the connection has to end.
func (sv *Server) one(ctx context.Context, li *link, lim Limits) bool {
	sv.busy.Add(1)
	defer sv.busy.Done()
	rd := sv.reader(li, lim)
	req := &fasthttp.Request{}
	status, err := read(li, rd, req, lim)
	li.keep(rd)
	sv.readers.Put(rd)
	an := &Answer{li: li, close: sv.leaving.Load() || req.Header.ConnectionClose(), head: req.Header.IsHead()}
	if err != nil {
		if status != 0 {
			an.close = true
			an.Refuse(status, "bad request: "+errors.Cause(err).Error(), 0)
			li.hangUp(refusedTime)
		}
		return false
	}
	if !req.Header.IsHTTP11() {
		an.close, an.plain = true, true
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := li.watch(cancel)
	sv.Handler(ctx, &Request{Header: &req.Header, Body: req.Body(), Arrived: time.Now()}, an)
	stop()
	cancel()
	if an.close && an.ended {
		li.hangUp(hangUpTime)
	}
	return an.ended && !an.close
}

func (sv *Server) reader(li *link, lim Limits) *bufio.Reader {
	size := int(lim.Header) + headerRoom
	if rd, ok := sv.readers.Get().(*bufio.Reader); ok && rd.Size() == size {
		rd.Reset(li)
		return rd
	}
	return bufio.NewReaderSize(li, size)
}

// read reads one request. On an error, status is what the caller is told, or 0 if
// nothing can be told.
func read(li *link, rd *bufio.Reader, req *fasthttp.Request, lim Limits) (status int, err error) {
	const op = "door.read"
	_ = li.SetReadDeadline(time.Now().Add(lim.HeaderTime))
	if err := req.Header.Read(rd); err != nil {
		var small *fasthttp.ErrSmallBuffer
		var ne net.Error
		switch {
		case errors.As(err, &small):
			return fasthttp.StatusRequestHeaderFieldsTooLarge, fault.Wrap(op, KindRequest, err)
		case errors.As(err, &ne), rd.Buffered() == 0:
			return 0, fault.Wrap(op, KindGone, err)
		}
		return fasthttp.StatusBadRequest, fault.Wrap(op, KindRequest, err)
	}
	if err := CheckFraming(&req.Header); err != nil {
		return fasthttp.StatusBadRequest, fault.Wrap(op, KindRequest, err)
	}
	_ = li.SetReadDeadline(time.Now().Add(bodyTime))
	if req.MayContinue() {
		if _, err := li.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, fault.Wrap(op, KindGone, err)
		}
	}
	if err := req.ContinueReadBody(rd, int(lim.Body), false); err != nil {
		var ne net.Error
		switch {
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			return fasthttp.StatusRequestEntityTooLarge, fault.Wrap(op, KindRequest, err)
		case errors.As(err, &ne):
			return 0, fault.Wrap(op, KindGone, err)
		}
		return fasthttp.StatusBadRequest, fault.Wrap(op, KindRequest, err)
	}
	_ = li.SetReadDeadline(time.Time{})
	return 0, nil
}
