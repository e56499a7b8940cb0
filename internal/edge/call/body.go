package call

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http/httputil"
	"syscall"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// Body reads a response body and detects truncation.
type Body struct {
	src       io.Reader
	rd        *bufio.Reader
	remaining int // Unread bytes of a body with a content length.
	mode      bodyMode
	atEnd     bool
	// cut is set if the request was not sent whole, and conn is the connection.
	cut  bool
	conn net.Conn
}

type bodyMode int

const (
	modeLength bodyMode = iota
	modeChunked
	modeUntilClose
)

// newBody returns the body that follows a header. An answer to a HEAD request has none, nor has one of
// status 204 or 304, whatever length its header states.
func (an *Answer) newBody() *Body {
	const chunked, untilClose = -1, -2
	hd, rd := &an.Header, an.cn.rd
	bo := &Body{rd: rd, cut: an.cut, conn: an.cn.Conn}
	if status := hd.StatusCode(); an.isHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		bo.atEnd = true
		return bo
	}
	switch size := hd.ContentLength(); size {
	case chunked:
		bo.mode = modeChunked
		bo.src = httputil.NewChunkedReader(rd)
	case untilClose:
		bo.mode = modeUntilClose
		bo.src = rd
	default:
		bo.mode = modeLength
		bo.remaining = size
		bo.src = rd
		bo.atEnd = size == 0
	}
	return bo
}

// Read returns io.EOF only at the end of a complete body. If the connection is closed
// early, it returns io.ErrUnexpectedEOF or the error of the connection.
func (bo *Body) Read(buf []byte) (int, error) {
	if bo.atEnd {
		return 0, io.EOF
	}
	if bo.mode == modeLength && len(buf) > bo.remaining {
		buf = buf[:bo.remaining]
	}
	num, err := bo.src.Read(buf)
	switch bo.mode {
	case modeLength:
		return bo.countLength(num, err)
	case modeChunked:
		if err == io.EOF {
			return num, bo.readTrailer()
		}
	case modeUntilClose:
		if err == io.EOF {
			if bo.cut || brokeOff(bo.conn) {
				return num, io.ErrUnexpectedEOF
			}
			bo.atEnd = true
		}
	}
	return num, err
}

// tcpClosed is the state of a connection that was reset. The package unix has the states of TCP only under the names of BPF.
const tcpClosed = unix.BPF_TCP_CLOSE

// brokeOff reports whether a connection at whose end a read has arrived was reset, or has bytes of the request that the server's
// kernel had not received when it ended the connection. A write that fails takes the reset, so that a read returns io.EOF.
func brokeOff(cn net.Conn) bool {
	sc, ok := cn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	broken := true
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil { // Not TCP.
			broken = false
			return
		}
		unsent, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		broken = info.State == tcpClosed || err == nil && unsent > 0
	})
	return err != nil || broken
}

func (bo *Body) countLength(num int, err error) (int, error) {
	bo.remaining -= num
	if bo.remaining == 0 {
		bo.atEnd = true
		return num, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return num, err
}

// maxTrailer bounds the trailer of an answer, in bytes.
const maxTrailer = 8 << 10

// readTrailer reads up to the empty line after the last chunk, which httputil's chunked reader
// leaves unread, so that the connection can be reused. The fields before it have to be valid, and are discarded.
func (bo *Body) readTrailer() error {
	for left := maxTrailer; left > 0; {
		line, err := bo.rd.ReadSlice('\n')
		if err != nil {
			return io.ErrUnexpectedEOF
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			bo.atEnd = true
			return io.EOF
		}
		if err := checkField(line); err != nil {
			return err
		}
		left -= len(line)
	}
	return errors.Errorf("a trailer of more than %d bytes", maxTrailer)
}

func (bo *Body) ended() bool { return bo != nil && bo.atEnd && bo.mode != modeUntilClose }
