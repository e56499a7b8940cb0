package call

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Body reads a response body and detects truncation.
type Body struct {
	src       io.Reader
	rd        *bufio.Reader
	remaining int // Unread bytes of a body with a content length.
	mode      bodyMode
	atEnd     bool
}

type bodyMode int

const (
	modeLength bodyMode = iota
	modeChunked
	modeUntilClose
)

// newBody returns the body that follows a header. An answer to a HEAD request has none, nor has one of
// status 204 or 304, whatever length its header states.
func newBody(hd *fasthttp.ResponseHeader, rd *bufio.Reader, isHead bool) *Body {
	const chunked, untilClose = -1, -2
	bo := &Body{rd: rd}
	if status := hd.StatusCode(); isHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
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
			bo.atEnd = true
		}
	}
	return num, err
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
// leaves unread, so that the connection can be reused. The fields before it are discarded.
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
		left -= len(line)
	}
	return errors.Errorf("a trailer of more than %d bytes", maxTrailer)
}

func (bo *Body) ended() bool { return bo != nil && bo.atEnd && bo.mode != modeUntilClose }
