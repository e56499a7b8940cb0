package door

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// CheckFraming rejects headers that allow request smuggling: those whose body length is
// ambiguous between HTTP parsers, and malformed lines that a server behind this one may
// parse differently.
func CheckFraming(hd *fasthttp.RequestHeader) error {
	var length []byte
	lengths, codings := 0, 0
	rest := hd.RawHeaders()
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, val, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || bytes.ContainsAny(val, "\r\x00") {
			return errors.Errorf("header line %.40q is malformed", line)
		}
		val = bytes.TrimSpace(val)
		switch {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			lengths++
			if !isNumber(val) || (lengths > 1 && !bytes.Equal(val, length)) {
				return errors.Errorf("content length %.40q is not one number", val)
			}
			length = val
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			codings++
			if codings > 1 || !bytes.EqualFold(val, []byte("chunked")) {
				return errors.Errorf("transfer encoding %.40q is not supported", val)
			}
		}
	}
	if lengths > 0 && codings > 0 {
		return errors.New("the body has both a length and a transfer encoding")
	}
	if codings > 0 && !hd.IsHTTP11() {
		return errors.New("HTTP/1.0 has no transfer encoding")
	}
	return nil
}

func isNumber(val []byte) bool {
	for _, ch := range val {
		if ch < '0' || ch > '9' {
			return false
		}
	}
	return len(val) > 0 && len(val) < 19
}

// isToken reports whether a header name is a token as defined by RFC 9110.
func isToken(name []byte) bool {
	for _, ch := range name {
		letter := ch|0x20 >= 'a' && ch|0x20 <= 'z'
		if !letter && (ch < '0' || ch > '9') && !bytes.ContainsRune([]byte("!#$%&'*+-.^_`|~"), rune(ch)) {
			return false
		}
	}
	return len(name) > 0
}
