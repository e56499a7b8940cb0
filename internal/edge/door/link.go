package door

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// link is a caller's connection. Bytes that were read ahead are read first.
type link struct {
	net.Conn
	early []byte
}

// Read implements net.Conn.
func (li *link) Read(buf []byte) (int, error) {
	if len(li.early) > 0 {
		num := copy(buf, li.early)
		li.early = li.early[num:]
		return num, nil
	}
	return li.Conn.Read(buf)
}

// awaitFirst waits for the first byte of the next request.
func (li *link) awaitFirst(within time.Duration) bool {
	if len(li.early) > 0 {
		return true
	}
	_ = li.SetReadDeadline(time.Now().Add(within))
	var one [1]byte
	num, err := li.Conn.Read(one[:])
	if num == 0 || err != nil {
		return false
	}
	li.early = append([]byte(nil), one[0])
	return true
}

// keep takes the bytes over that a reader has read ahead.
func (li *link) keep(rd *bufio.Reader) {
	if num := rd.Buffered(); num > 0 {
		ahead, _ := rd.Peek(num)
		li.early = append(append([]byte(nil), ahead...), li.early...)
	}
}

// watch calls gone when the caller closes the connection. The returned function ends the
// watch. A caller that sends its next request early is no longer watched.
func (li *link) watch(gone context.CancelFunc) (stop func()) {
	if len(li.early) > 0 {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		var one [1]byte
		num, err := li.Conn.Read(one[:])
		if num > 0 {
			li.early = append(li.early, one[0])
			return
		}
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return
		}
		gone()
	}()
	return func() {
		_ = li.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = li.SetReadDeadline(time.Time{})
	}
}

const (
	hangUpTime = 200 * time.Millisecond
	// refusedTime is the same after a request that could not be read, of which more comes.
	refusedTime = 2 * time.Second
	hangUpBytes = 8 << 20
)

// hangUp ends the writing side and reads what the caller still sends, since closing a
// connection with unread bytes resets it and may take the answer with it.
func (li *link) hangUp(within time.Duration) {
	tc, ok := li.Conn.(*net.TCPConn)
	if !ok || tc.CloseWrite() != nil {
		return
	}
	_ = li.SetReadDeadline(time.Now().Add(within))
	buf := make([]byte, 4<<10)
	for total := 0; total < hangUpBytes; {
		num, err := li.Conn.Read(buf)
		total += num
		if err != nil {
			return
		}
	}
}

// userTimeout is how long sent bytes may stay unacknowledged before a connection counts
// as dead, which a peer that lost its power or path never tells.
const userTimeout = 4 * time.Second

// keepAlive makes a silent peer show as a broken connection.
func keepAlive(cn net.Conn) {
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
