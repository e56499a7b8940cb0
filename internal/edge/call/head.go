package call

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// maxInterim bounds the interim (1xx) responses before an answer.
const maxInterim = 32

// readHead reads the response header and skips interim responses.
func (an *Answer) readHead() error {
	for range maxInterim {
		if err := ReadHead(&an.Header, an.cn.rd); err != nil {
			return err
		}
		status := an.Header.StatusCode()
		if status == fasthttp.StatusSwitchingProtocols && !an.upgrades {
			return errors.Errorf("status %d to a request for no upgrade", status)
		}
		if status >= fasthttp.StatusOK {
			return nil
		}
	}
	return errors.Errorf("more than %d interim responses", maxInterim)
}

// ReadHead reads a response header whose status is from 100 to 599, whose fields have valid names, and whose length is one number. fasthttp
// doesn't check the status, and returns 200 for one of 0; it takes any bytes as a name, so that another recipient would read other fields; and
// of several lengths it takes the last, so that a part of a body would count as all of it.
func ReadHead(hd *fasthttp.ResponseHeader, rd *bufio.Reader) error {
	hd.Reset()
	line, err := peekLine(rd)
	if err != nil {
		return err
	}
	if err := checkStatusLine(line); err != nil {
		return err
	}
	head, err := peekHead(rd)
	if err != nil {
		return err
	}
	if err := checkFields(head); err != nil {
		return err
	}
	lengthErr := checkLength(head)
	if err := hd.Read(rd); err != nil {
		return err
	}
	if hd.ContentLength() == chunkedLength { // Chunks override any length.
		return nil
	}
	return lengthErr
}

// chunkedLength is the length that fasthttp gives a body in chunks.
const chunkedLength = -1

// peekLine returns the first line that is not empty, with what ends it, and leaves it unread. Like fasthttp it ignores empty lines
// before a header.
func peekLine(rd *bufio.Reader) ([]byte, error) {
	return peekUntil(rd, func(held []byte) int { return bytes.IndexByte(held, '\n') + 1 })
}

// peekHead returns a header up to its last line, and leaves it unread.
func peekHead(rd *bufio.Reader) ([]byte, error) {
	return peekUntil(rd, func(held []byte) int {
		for at := 0; ; {
			num := bytes.IndexByte(held[at:], '\n') + 1
			if num == 0 {
				return 0
			}
			if at += num; bytes.HasPrefix(held[at:], []byte("\n")) || bytes.HasPrefix(held[at:], []byte("\r\n")) {
				return at
			}
		}
	})
}

// peekUntil returns the bytes of a header up to the position that end finds in those which have come, and leaves them unread. end returns 0
// while it finds none.
func peekUntil(rd *bufio.Reader, end func(held []byte) int) ([]byte, error) {
	for num := 1; ; num = rd.Buffered() + 1 {
		if _, err := rd.Peek(num); err != nil {
			if errors.Is(err, io.EOF) && num > 1 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		held, _ := rd.Peek(rd.Buffered())
		held = bytes.TrimLeft(held, "\r\n")
		if at := end(held); at > 0 {
			return held[:at], nil
		}
	}
}

// checkStatusLine returns an error unless a status line has a status of three digits from 100 to 599.
func checkStatusLine(line []byte) error {
	const digits = 3
	_, rest, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(" "))
	status, _, _ := bytes.Cut(rest, []byte(" "))
	valid := len(status) == digits && status[0] >= '1' && status[0] <= '5'
	for _, ch := range status {
		valid = valid && ch >= '0' && ch <= '9'
	}
	if !valid || !isValidText(trimLineEnd(line)) {
		return errors.Errorf("invalid status line %.40q", line)
	}
	return nil
}

// checkFields returns an error unless all fields of a header are valid.
func checkFields(head []byte) error {
	lines := bytes.SplitAfter(head, []byte("\n"))[1:] // Without the status line.
	for _, line := range lines {
		if len(line) == 0 {
			continue // After the last line.
		}
		if err := checkField(line); err != nil {
			return err
		}
	}
	return nil
}

// checkField returns an error unless a line is a valid field (RFC 9110, 5.1 and 5.5). A value that goes on in the next line (RFC 9112, 5.2) is
// not: fasthttp joins the lines in its buffer, and the body after them is then not the one of the server.
func checkField(line []byte) error {
	name, value, found := bytes.Cut(trimLineEnd(line), []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return errors.Errorf("invalid field name %.40q", line)
	}
	if !isValidText(value) {
		return errors.Errorf("invalid field value %.40q", line)
	}
	return nil
}

// trimLineEnd returns a line without what ends it.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// isValidText reports whether bytes of a header can't be taken for the end of a line.
func isValidText(text []byte) bool { return !bytes.ContainsAny(text, "\r\n\x00") }

// checkLength returns an error if a header states a length that is no number, or lengths that differ.
func checkLength(head []byte) error {
	var length []byte
	for _, line := range bytes.Split(head, []byte("\n"))[1:] {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)) {
			continue
		}
		value = bytes.TrimSpace(value)
		valid := len(value) > 0 && (length == nil || bytes.Equal(value, length))
		for _, ch := range value {
			valid = valid && ch >= '0' && ch <= '9'
		}
		if !valid {
			return errors.Errorf("invalid length %.40q", line)
		}
		length = value
	}
	return nil
}
