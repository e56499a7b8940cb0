package door

import (
	"bufio"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/rule/fault"
)

// Answer writes the one answer to a request.
type Answer struct {
	li *link
	wr *bufio.Writer
	// close is set if the connection ends with this answer.
	close bool
	// plain is set for callers that know no chunks, and head for requests that want no
	// body.
	plain, head bool
	started     bool
	ended       bool
	status      int
}

const writerBytes = 4 << 10

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writerBytes) }}

// Started tells whether a byte of the answer may have reached the caller.
func (an *Answer) Started() bool { return an.started }

// Status returns the status that the caller was told, 0 if none.
func (an *Answer) Status() int { return an.status }

// Whole sends an answer with its whole body.
func (an *Answer) Whole(hd *fasthttp.ResponseHeader, body []byte) error {
	hd.SetContentLength(len(body))
	if err := an.begin(hd); err != nil {
		return err
	}
	if !an.head {
		if _, err := an.wr.Write(body); err != nil {
			return an.broken(err)
		}
	}
	return an.finish()
}

// Start sends the head of an answer whose body follows in parts.
func (an *Answer) Start(hd *fasthttp.ResponseHeader) error {
	hd.SetContentLength(-1)
	if an.plain {
		hd.SetContentLength(-2)
	}
	if err := an.begin(hd); err != nil {
		return err
	}
	return an.flush()
}

// Part sends the next part of the body at once.
func (an *Answer) Part(part []byte) error {
	if len(part) == 0 || an.head {
		return nil
	}
	if an.wr == nil {
		return fault.New("door.Part", KindGone, "the connection is broken")
	}
	_ = an.li.SetWriteDeadline(time.Now().Add(writeTime))
	if !an.plain {
		_, _ = an.wr.WriteString(strconv.FormatInt(int64(len(part)), 16))
		_, _ = an.wr.WriteString("\r\n")
	}
	_, _ = an.wr.Write(part)
	if !an.plain {
		_, _ = an.wr.WriteString("\r\n")
	}
	return an.flush()
}

// End completes an answer that was sent in parts.
func (an *Answer) End() error {
	if !an.plain && !an.head {
		_, _ = an.wr.WriteString("0\r\n\r\n")
	}
	return an.finish()
}

// Refuse sends an answer of this node's own, with when to come back if after is above 0.
// It does nothing once an answer has begun.
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
		body = nil // Strings always encode.
	}
	_ = an.Whole(&hd, body)
}

func (an *Answer) begin(hd *fasthttp.ResponseHeader) error {
	an.started, an.status = true, hd.StatusCode()
	_ = an.li.SetWriteDeadline(time.Now().Add(writeTime))
	if an.close {
		hd.SetConnectionClose()
	}
	an.wr = writers.Get().(*bufio.Writer)
	an.wr.Reset(an.li.Conn)
	if err := hd.Write(an.wr); err != nil {
		return an.broken(err)
	}
	return nil
}

func (an *Answer) flush() error {
	if err := an.wr.Flush(); err != nil {
		return an.broken(err)
	}
	return nil
}

func (an *Answer) finish() error {
	if err := an.flush(); err != nil {
		return err
	}
	an.ended = true
	an.release()
	return nil
}

func (an *Answer) broken(err error) error {
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
