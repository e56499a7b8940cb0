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
	"golang.org/x/sys/unix"

	"lycheepick/internal/rule/units"
)

// conn is a caller's connection. Read returns the bytes of readAhead first.
type conn struct {
	net.Conn
	readAhead []byte
	// meter counts what is read, nil for nothing.
	meter *meter
	// written is what has been handed to the kernel.
	written units.Bytes
	// ahead is set if readAhead may hold bytes of the next request.
	ahead atomic.Bool

	mu sync.Mutex
	// interrupted is set once requests are not read any further.
	interrupted bool
}

// limitRead sets the time within which the next part of a request has to be read.
func (cn *conn) limitRead(within time.Duration) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if !cn.interrupted {
		_ = cn.SetReadDeadline(time.Now().Add(within))
	}
}

// interrupt makes a request that is being read time out.
func (cn *conn) interrupt() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.interrupted = true
	_ = cn.SetReadDeadline(time.Unix(1, 0))
}

// hasNext reports whether bytes of the next request have arrived.
func (cn *conn) hasNext() bool { return cn.ahead.Load() || cn.unread() > 0 }

// Write implements net.Conn.
func (cn *conn) Write(buf []byte) (int, error) {
	num, err := cn.Conn.Write(buf)
	cn.written += units.Bytes(num)
	return num, err
}

// unacknowledged returns what the kernel still has to send, or has sent and may have to send again.
func (cn *conn) unacknowledged() units.Bytes { return cn.queued(unix.TIOCOUTQ) }

// unread returns what has arrived and was not read.
func (cn *conn) unread() units.Bytes { return cn.queued(unix.TIOCINQ) }

// queued returns the length of a queue of the kernel, 0 if it is not known.
func (cn *conn) queued(which uint) (out units.Bytes) {
	tc, ok := cn.Conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if num, err := unix.IoctlGetInt(int(fd), which); err == nil {
			out = units.Bytes(num)
		}
	})
	return out
}

// Read implements net.Conn.
func (cn *conn) Read(buf []byte) (int, error) {
	if len(cn.readAhead) > 0 {
		num := copy(buf, cn.readAhead)
		cn.readAhead = cn.readAhead[num:]
		return num, nil
	}
	num, err := cn.Conn.Read(buf)
	if cn.meter != nil && err == nil {
		err = cn.meter.add(num)
	}
	return num, err
}

// awaitRequest waits for the first byte of the next request. It returns false if the
// connection was closed or the time is up.
func (cn *conn) awaitRequest(within time.Duration) bool {
	if len(cn.readAhead) > 0 {
		return true
	}
	_ = cn.SetReadDeadline(time.Now().Add(within))
	var one [1]byte
	num, err := cn.Conn.Read(one[:])
	if err != nil && cn.unread() > 0 { // It has arrived as the time was up.
		_ = cn.SetReadDeadline(time.Time{})
		num, err = cn.Conn.Read(one[:])
	}
	if num == 0 || err != nil {
		return false
	}
	cn.readAhead = append([]byte(nil), one[0])
	return true
}

// saveBuffered moves the bytes that rd has buffered to readAhead.
func (cn *conn) saveBuffered(rd *bufio.Reader) {
	if num := rd.Buffered(); num > 0 {
		ahead, _ := rd.Peek(num)
		cn.readAhead = append(append([]byte(nil), ahead...), cn.readAhead...)
	}
	cn.ahead.Store(len(cn.readAhead) > 0)
}

// watchDisconnect calls onDisconnect when the caller closes the connection. The returned
// function stops it. With pipelined requests a disconnect is not detected, since the
// next request is read instead.
func (cn *conn) watchDisconnect(onDisconnect context.CancelFunc) (stop func()) {
	if len(cn.readAhead) > 0 {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		var one [1]byte
		num, err := cn.Conn.Read(one[:])
		if num > 0 {
			cn.readAhead = append(cn.readAhead, one[0])
			cn.ahead.Store(true)
			return
		}
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return
		}
		onDisconnect()
	}()
	return func() {
		_ = cn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = cn.SetReadDeadline(time.Time{})
	}
}

// reset makes the connection end with a reset when it is closed.
func (cn *conn) reset() {
	if tc, ok := cn.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
}

const (
	lingerTimeout = 200 * time.Millisecond
	// rejectedLingerTimeout applies after a rejected request, of which more may be arriving.
	rejectedLingerTimeout = 2 * time.Second
	// stoppingLingerTimeout applies once the server has ended: its process has to end soon.
	stoppingLingerTimeout = 100 * time.Millisecond
	// deliveryPollPeriod is how often a lingering connection checks whether the response has arrived.
	deliveryPollPeriod = 50 * time.Millisecond
	maxLingerBytes     = 8 << 20
)

// lingerClose closes the write side and discards what the caller still sends, for a time and until its machine has
// the whole response, or ctx has ended. Closing a connection with unread bytes would reset it, and so would bytes
// that arrive later; the caller could lose the response.
func (cn *conn) lingerClose(ctx context.Context, within time.Duration) {
	tc, ok := cn.Conn.(*net.TCPConn)
	if !ok || tc.CloseWrite() != nil {
		return
	}
	last := time.Now().Add(max(within, writeTimeout))
	_ = cn.SetReadDeadline(time.Now().Add(within))
	defer context.AfterFunc(ctx, func() { _ = cn.SetReadDeadline(time.Now().Add(min(within, stoppingLingerTimeout))) })()
	buf := make([]byte, 4<<10)
	for total := 0; total < maxLingerBytes; {
		num, err := cn.Conn.Read(buf)
		total += num
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() && ctx.Err() == nil && cn.unacknowledged() > 0 && time.Now().Before(last) {
			_ = cn.SetReadDeadline(time.Now().Add(deliveryPollPeriod))
			continue
		}
		if err != nil {
			return
		}
	}
}

// userTimeout is how long sent bytes may stay unacknowledged before the kernel closes the
// connection. It detects peers that lost power or their network path.
const userTimeout = 4 * time.Second

// setUserTimeout sets TCP_USER_TIMEOUT, on connections that support it.
func setUserTimeout(cn net.Conn) {
	tc, ok := cn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
