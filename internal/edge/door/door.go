// Package door is an HTTP server for callers. It uses fasthttp's parsers but manages the
// connections itself: unlike a fasthttp server, it cancels a request as soon as the caller
// disconnects, and idle connections hold no buffers.
package door

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"lycheepick/internal/edge/intake"
	"lycheepick/internal/edge/memory"
	"lycheepick/internal/edge/pause"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Kind classifies why a connection or request failed.
type Kind string

// The kinds of error of this package.
const (
	// KindListen marks an address that can't be listened on.
	KindListen Kind = "listen"
	// KindRequest marks a malformed or oversized request.
	KindRequest Kind = "request"
	// KindBusy marks a request for whose body there is no memory at the moment.
	KindBusy Kind = "busy"
	// KindCallerGone marks a caller that disconnected or timed out.
	KindCallerGone Kind = "gone"
	// KindStopping marks a request that had not been read as a whole when the server ended.
	KindStopping Kind = "stopping"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Limits bound what a caller may send. They are read for each request, so that changes of
// the configuration apply to open connections.
type Limits struct {
	Header, Body units.Bytes
	// HeaderTimeout bounds reading a request header, IdleTimeout waiting for the next
	// request.
	HeaderTimeout, IdleTimeout time.Duration
}

// Handler serves one request and writes the response to an. ctx is cancelled when the
// caller disconnects.
type Handler func(ctx context.Context, rq *Request, an *Answer)

// Request is a completely read request. It is valid until its handler returns.
type Request struct {
	Header *fasthttp.RequestHeader
	Body   []byte
	// Arrived is the time at which the last byte was read.
	Arrived time.Time
}

const (
	// headerSlack is added to the read buffer, since a header may have exactly the maximum
	// size.
	headerSlack = 2 << 10
	// bodyTimeout bounds reading one request body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 5 * time.Second
	// busyRetryAfter is when the caller of a request may come back for whose body there is no memory.
	busyRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is when the caller of a request may come back that a server has read in part at its end. The
	// retry reaches another one.
	stoppingRetryAfter = 10 * time.Millisecond
	// idleCloseDelay is how long a draining server keeps idle connections open, for requests that are on
	// their way.
	idleCloseDelay = 100 * time.Millisecond
)

// Server is the HTTP server. Set its fields before Serve.
type Server struct {
	Handler Handler
	Limits  func() Limits
	// Bodies is what the bodies of the requests in progress may take, nil for no bound. Bodies of up to
	// memory.FreeBytes don't count.
	Bodies *memory.Budget
	// AcceptFailed is told of each connection that could not be accepted, unless it is nil.
	AcceptFailed func(error)

	readers  sync.Pool
	draining atomic.Bool
	requests intake.Intake
	mu       sync.Mutex
	idle     map[*conn]struct{}
	stopped  bool
	// listeners are those of Serve.
	listeners []net.Listener
	// acceptedAt is when a connection was last accepted.
	acceptedAt time.Time
}

// Serve accepts connections on ls until ctx ends or Close is called, and then closes the idle ones and waits for the
// others to be closed.
func (sv *Server) Serve(ctx context.Context, ls net.Listener) error {
	const op = "door.Serve"
	sv.mu.Lock()
	sv.listeners = append(sv.listeners, ls)
	sv.mu.Unlock()
	stop := context.AfterFunc(ctx, sv.stopListening)
	defer stop()
	var wg conc.WaitGroup
	defer wg.Wait()
	for {
		cn, err := ls.Accept()
		if sv.isStopped() || ctx.Err() != nil {
			if err == nil {
				_ = cn.Close()
			}
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fault.Wrap(op, KindListen, err)
		}
		if err != nil { // Out of file descriptors, or the caller disconnected before the accept.
			if sv.AcceptFailed != nil {
				sv.AcceptFailed(err)
			}
			if isExhausted(err) {
				sv.closeSomeIdle()
			}
			time.Sleep(time.Millisecond)
			continue
		}
		sv.noteAccept()
		wg.Go(func() { sv.serveConn(ctx, &conn{Conn: cn}) })
	}
}

// AcceptedAt returns when a connection was last accepted, zero before the first one.
func (sv *Server) AcceptedAt() time.Time {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.acceptedAt
}

func (sv *Server) noteAccept() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.acceptedAt = time.Now()
}

// isExhausted reports whether an accept failed for want of file descriptors or memory.
func isExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// closedIdle is the number of idle connections that are closed to accept others.
const closedIdle = 16

// closeSomeIdle closes some of the connections that wait for their next request.
func (sv *Server) closeSomeIdle() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	closed := 0
	for cn := range sv.idle {
		if closed == closedIdle {
			return
		}
		if cn.unread() == 0 {
			_ = cn.Close()
			closed++
		}
	}
}

// Drain makes the server close connections after their next response, and idle ones after idleCloseDelay. Their
// callers then open new ones, which the balancer can send elsewhere.
func (sv *Server) Drain(ctx context.Context) {
	sv.draining.Store(true)
	if pause.For(ctx, idleCloseDelay) {
		sv.closeIdle()
	}
}

// Close makes the server take no more connections, and no more requests once none is in progress, when the channel is
// closed.
func (sv *Server) Close() <-chan struct{} {
	sv.draining.Store(true)
	sv.stopListening()
	return sv.requests.CloseAtIdle()
}

func (sv *Server) stopListening() {
	sv.mu.Lock()
	sv.stopped = true
	for _, ls := range sv.listeners {
		_ = ls.Close()
	}
	sv.mu.Unlock()
	sv.closeIdle()
}

// closeIdle closes the connections that wait for their next request. One that has arrived is still read.
func (sv *Server) closeIdle() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for cn := range sv.idle {
		if cn.unread() == 0 {
			_ = cn.Close()
		}
	}
}

func (sv *Server) isStopped() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.stopped
}

// setIdle records whether a connection is waiting for its next request. It returns false if it shouldn't.
func (sv *Server) setIdle(cn *conn, on bool) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if on && sv.stopped {
		return false
	}
	if sv.idle == nil {
		sv.idle = map[*conn]struct{}{}
	}
	if on {
		sv.idle[cn] = struct{}{}
	} else {
		delete(sv.idle, cn)
	}
	return true
}

// serveConn serves the requests of one connection sequentially.
func (sv *Server) serveConn(ctx context.Context, cn *conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer func() { _ = cn.Close() }()
	setUserTimeout(cn.Conn)
	for first := true; ctx.Err() == nil; first = false {
		if !sv.setIdle(cn, true) {
			return
		}
		within := sv.Limits().IdleTimeout
		if !first && sv.draining.Load() {
			within = idleCloseDelay
		}
		ok := cn.awaitRequest(within)
		sv.setIdle(cn, false)
		if !ok || !sv.serveArrived(ctx, cn) {
			return
		}
	}
}

// serveArrived serves a request, and those that have arrived behind it: the server can't stop taking requests
// in between. It returns false if the connection must be closed.
func (sv *Server) serveArrived(ctx context.Context, cn *conn) bool {
	if !sv.requests.Enter() {
		return false
	}
	defer sv.requests.Leave()
	for sv.serveOne(ctx, cn, sv.Limits()) {
		if len(cn.readAhead) == 0 && (!sv.draining.Load() || cn.unread() == 0) {
			return true
		}
	}
	return false
}

// serveOne reads and serves one request. It returns false if the connection must be
// closed.
func (sv *Server) serveOne(ctx context.Context, cn *conn, lim Limits) bool {
	rd := sv.newReader(cn, lim)
	req := &fasthttp.Request{}
	resume := context.AfterFunc(ctx, cn.interrupt)
	held, status, err := sv.read(cn, rd, req, lim)
	resume()
	cn.saveBuffered(rd)
	sv.readers.Put(rd)
	an := &Answer{cn: cn, close: req.Header.ConnectionClose(), isLast: sv.closesAfter, headOnly: req.Header.IsHead()}
	if err != nil {
		sv.giveBack(held)
		sv.endUnread(ctx, an, status, err)
		return false
	}
	if !req.Header.IsHTTP11() {
		an.close, an.unchunked = true, true
	}
	serving := ctx
	ctx, cancel := context.WithCancel(ctx)
	stop := cn.watchDisconnect(cancel)
	sv.Handler(ctx, &Request{Header: &req.Header, Body: req.Body(), Arrived: time.Now()}, an)
	sv.giveBack(held) // Before the rest of the connection is waited for.
	stop()
	cancel()
	if an.started && !an.completed && an.unchunked {
		cn.reset() // The end of the connection would look like that of the answer.
	}
	if an.close && an.completed {
		cn.lingerClose(serving, lingerTimeout)
	}
	return an.completed && !an.close
}

func (sv *Server) newReader(cn *conn, lim Limits) *bufio.Reader {
	size := int(lim.Header) + headerSlack
	if rd, ok := sv.readers.Get().(*bufio.Reader); ok && rd.Size() == size {
		rd.Reset(cn)
		return rd
	}
	return bufio.NewReaderSize(cn, size)
}

func (sv *Server) giveBack(held units.Bytes) {
	if held > 0 {
		sv.Bodies.Give(held)
	}
}

// closesAfter reports whether the server drains and closes a connection after the current response, as no other request
// has arrived on it.
func (sv *Server) closesAfter(cn *conn) bool { return sv.draining.Load() && !cn.hasNext() }

// endUnread ends a request that was not read as a whole. status is 0 if no response can be sent.
func (sv *Server) endUnread(ctx context.Context, an *Answer, status int, err error) {
	const op = "door.endUnread"
	linger := rejectedLingerTimeout
	if ctx.Err() != nil && status == 0 {
		status, err, linger = fasthttp.StatusServiceUnavailable, fault.New(op, KindStopping, "this node is leaving"), stoppingLingerTimeout
	}
	if status == 0 {
		return
	}
	an.close = true
	an.refuseUnread(status, err)
	an.cn.lingerClose(ctx, linger)
}

// refuseUnread refuses a request that was not read as a whole.
func (an *Answer) refuseUnread(status int, err error) {
	switch {
	case fault.Is(err, KindBusy):
		an.Refuse(status, err.Error(), busyRetryAfter)
		return
	case fault.Is(err, KindStopping):
		an.Refuse(status, err.Error(), stoppingRetryAfter)
		return
	}
	an.Refuse(status, "bad request: "+errors.Cause(err).Error(), 0)
}

// read reads one request, whose body holds bytes of sv.Bodies. On an error, status is the HTTP status to
// respond with, or 0 if no response can be sent.
func (sv *Server) read(cn *conn, rd *bufio.Reader, req *fasthttp.Request, lim Limits) (held units.Bytes, status int, err error) {
	if status, err := readHeader(cn, rd, req, lim); err != nil {
		return 0, status, err
	}
	me := &meter{budget: sv.Bodies}
	if stated := req.Header.ContentLength(); stated < 0 {
		cn.meter = me
	} else if stated <= int(lim.Body) {
		err = me.add(stated)
	}
	if err == nil {
		status, err = readBody(cn, rd, req, lim)
	}
	cn.meter = nil
	me.settle(units.Bytes(cap(req.Body())))
	if me.refused != nil {
		return me.held, fasthttp.StatusServiceUnavailable, me.refused
	}
	return me.held, status, err
}

func readHeader(cn *conn, rd *bufio.Reader, req *fasthttp.Request, lim Limits) (status int, err error) {
	const op = "door.readHeader"
	cn.limitRead(lim.HeaderTimeout)
	if err := req.Header.Read(rd); err != nil {
		var small *fasthttp.ErrSmallBuffer
		var ne net.Error
		switch {
		case errors.As(err, &small):
			return fasthttp.StatusRequestHeaderFieldsTooLarge, fault.Wrap(op, KindRequest, err)
		case errors.As(err, &ne), rd.Buffered() == 0:
			return 0, fault.Wrap(op, KindCallerGone, err)
		}
		return fasthttp.StatusBadRequest, fault.Wrap(op, KindRequest, err)
	}
	if err := CheckFraming(&req.Header); err != nil {
		return fasthttp.StatusBadRequest, fault.Wrap(op, KindRequest, err)
	}
	return 0, nil
}

func readBody(cn *conn, rd *bufio.Reader, req *fasthttp.Request, lim Limits) (status int, err error) {
	const op = "door.readBody"
	cn.limitRead(bodyTimeout)
	if req.MayContinue() {
		if _, err := cn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, fault.Wrap(op, KindCallerGone, err)
		}
	}
	if err := req.ContinueReadBody(rd, int(lim.Body), false); err != nil {
		var ne net.Error
		switch {
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			return fasthttp.StatusRequestEntityTooLarge, fault.Wrap(op, KindRequest, err)
		case errors.As(err, &ne):
			return 0, fault.Wrap(op, KindCallerGone, err)
		}
		return fasthttp.StatusBadRequest, fault.Wrap(op, KindRequest, err)
	}
	_ = cn.SetReadDeadline(time.Time{})
	return 0, nil
}
