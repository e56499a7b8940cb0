package door

import (
	"bufio"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// Answer writes the response to one request.
type Answer struct {
	cn *conn
	wr *bufio.Writer
	// close is set if the connection is closed after this response. isLast tells as a response begins whether
	// it is.
	close  bool
	isLast func(*conn) bool
	// unchunked is set for HTTP/1.0 callers, which don't support chunked encoding, and
	// headOnly for HEAD requests.
	unchunked, headOnly bool
	started             bool
	completed           bool
	status              int
	// writtenBefore is what had been written to the connection before this response.
	writtenBefore units.Bytes
}

const writerBytes = 4 << 10

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writerBytes) }}

// Started reports whether any byte of the response may have been sent.
func (an *Answer) Started() bool { return an.started }

// Status returns the HTTP status of the response, 0 before it is started.
func (an *Answer) Status() int { return an.status }

// Delivered returns the bytes of the response that the caller's machine has acknowledged.
func (an *Answer) Delivered() units.Bytes {
	if !an.started {
		return 0
	}
	return max(0, an.cn.written-an.writtenBefore-an.cn.unacknowledged())
}

// Respond sends a complete response with its content length. The one to a HEAD request keeps the length that
// its header states.
func (an *Answer) Respond(hd *fasthttp.ResponseHeader, body []byte) error {
	switch {
	case !an.headOnly || len(body) > 0:
		hd.SetContentLength(len(body))
	case hd.ContentLength() <= 0: // The length of the body that a GET would get is not known.
		hd.SetContentLength(an.unknownLength())
	}
	if err := an.begin(hd); err != nil {
		return err
	}
	if !an.headOnly {
		if _, err := an.wr.Write(body); err != nil {
			return an.fail(err)
		}
	}
	return an.finish()
}

// Start sends the header of a response whose body is streamed with Part.
func (an *Answer) Start(hd *fasthttp.ResponseHeader) error {
	hd.SetContentLength(an.unknownLength())
	if err := an.begin(hd); err != nil {
		return err
	}
	return an.flush()
}

// unknownLength returns fasthttp's content length of a chunked body, or of one that ends with its connection.
func (an *Answer) unknownLength() int {
	if an.unchunked {
		return -2
	}
	return -1
}

// Part sends the next part of a streamed body without buffering.
func (an *Answer) Part(part []byte) error {
	if len(part) == 0 || an.headOnly {
		return nil
	}
	if an.wr == nil {
		return fault.New("door.Part", KindCallerGone, "the connection is broken")
	}
	_ = an.cn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if !an.unchunked {
		_, _ = an.wr.WriteString(strconv.FormatInt(int64(len(part)), 16))
		_, _ = an.wr.WriteString("\r\n")
	}
	_, _ = an.wr.Write(part)
	if !an.unchunked {
		_, _ = an.wr.WriteString("\r\n")
	}
	return an.flush()
}

// End completes a streamed response.
func (an *Answer) End() error {
	if !an.unchunked && !an.headOnly {
		_, _ = an.wr.WriteString("0\r\n\r\n")
	}
	return an.finish()
}

// Refuse sends an error response of this node, with a Retry-After header in seconds if
// after is positive. It does nothing once a response is started.
func (an *Answer) Refuse(status int, reason string, after time.Duration) {
	if an.started {
		return
	}
	var hd fasthttp.ResponseHeader
	hd.SetNoDefaultContentType(true)
	hd.SetStatusCode(status)
	hd.SetContentType("application/json")
	if after > 0 {
		hd.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(map[string]string{"error": reason})
	if err != nil {
		body = nil // Can't happen: strings are always encodable.
	}
	_ = an.Respond(&hd, body)
}

func (an *Answer) begin(hd *fasthttp.ResponseHeader) error {
	an.started, an.status = true, hd.StatusCode()
	_ = an.cn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if an.close = an.close || an.isLast(an.cn); an.close {
		hd.SetConnectionClose()
	}
	an.wr = writers.Get().(*bufio.Writer)
	an.wr.Reset(an.cn)
	an.writtenBefore = an.cn.written
	if err := hd.Write(an.wr); err != nil {
		return an.fail(err)
	}
	return nil
}

func (an *Answer) flush() error {
	if err := an.wr.Flush(); err != nil {
		return an.fail(err)
	}
	return nil
}

func (an *Answer) finish() error {
	if err := an.flush(); err != nil {
		return err
	}
	an.completed = true
	an.release()
	return nil
}

func (an *Answer) fail(err error) error {
	an.close = true
	an.release()
	return err
}

func (an *Answer) release() {
	if an.wr != nil {
		an.wr.Reset(nil)
		writers.Put(an.wr)
		an.wr = nil
	}
}
