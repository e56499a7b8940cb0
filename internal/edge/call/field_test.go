package call_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// invalidFields are lines that no header of an answer may have.
var invalidFields = []string{
	"X Note: 1", "X-Note : 1", "X-Note\t: 1", ": 1", "X(Note): 1", "X-\u00e9: 1", "X-Note",
	"X-\x00Note: 1", "\x01X-Note: 1", "X-Note\x08: 1", "X-\x0bNote: 1", "X-Note\r: 1", "X-Note\x7f: 1",
	"Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked", "Transfer Encoding: chunked", "Transfer-Encoding\x00: chunked",
	"Content-Length : 2", "Content Length: 2", "Content-Length\x01: 2", "Connection : close", "X-Response-Signature : s",
	"X-Note: 1\rX-Other: 2", "X-Note: 1\x002", " X-Note: 1", "\tX-Note: 1", "X-Note: a\r\n b",
}

// fieldAnswers are answers with an invalid line, by the place of it.
func fieldAnswers(line string) map[string]string {
	const status, chunks = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n"
	line += "\r\n"
	return map[string]string{
		"first, with a length":       status + line + "Content-Length: 2\r\n\r\nok",
		"last, with a length":        status + "Content-Length: 2\r\n" + line + "\r\nok",
		"first, in chunks":           status + line + chunks + "\r\n2\r\nok\r\n0\r\n\r\n",
		"last, in chunks":            status + chunks + line + "\r\n2\r\nok\r\n0\r\n\r\n",
		"until the connection ends":  status + line + "\r\nok",
		"lines end with a line feed": strings.ReplaceAll(status+"Content-Length: 2\r\n"+line+"\r\nok", "\r\n", "\n"),
		"in an interim response":     "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + status + "Content-Length: 2\r\n\r\nok",
		"in a trailer":               status + chunks + "\r\n2\r\nok\r\n0\r\n" + line + "\r\n",
	}
}

// TestInvalidFieldIsFailure guards against an answer that is passed on though the name of one of its fields is no token, or a value could be
// taken for two lines.
func TestInvalidFieldIsFailure(t *testing.T) {
	closeConn := func(cn *net.TCPConn) { _ = cn.Close() }
	for _, line := range invalidFields {
		for place, text := range fieldAnswers(line) {
			t.Run(fmt.Sprintf("%q %s", line, place), func(t *testing.T) {
				t.Parallel()
				if body, status, err := uploads(t, early(t, true, text, closeConn), 10, 0); err == nil {
					t.Errorf("have status %d with %q, want a failure of the server", status, body)
				}
			})
		}
	}
	for _, text := range []string{"HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nok"} {
		if body, status, err := uploads(t, early(t, true, text, closeConn), 10, 0); err == nil {
			t.Errorf("%.20q: have status %d with %q, want a failure of the server", text, status, body)
		}
	}
	for _, line := range []string{"X-Note: a b", "x!#$%&'*+-.^_`|~9: ", "X-Note: \u00e9", "X-Note:1"} {
		for place, text := range fieldAnswers(line) {
			if body, _, err := uploads(t, early(t, true, text, closeConn), 10, 0); err != nil || body != "ok" {
				t.Errorf("valid field %q %s: have %q and error %v", line, place, body, err)
			}
		}
	}
}
