package relay

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"lycheepick/internal/rule/fault"
)

const eventStreamType = "text/event-stream"

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id")
)

// isEventStream reports whether a response is a stream of events, by its type; one that states none
// may be.
func isEventStream(hd *fasthttp.ResponseHeader) bool {
	kind, _, _ := strings.Cut(string(hd.Peek(fasthttp.HeaderContentType)), ";")
	kind = strings.TrimSpace(kind)
	return kind == "" || strings.EqualFold(kind, eventStreamType)
}

// nextEvents returns the complete events at the beginning of raw that go on after the event with the
// id last, the number of these events, and the id of the latest. It fails at bytes that are no event, such as
// another answer within the stream, and at an event that comes again or out of order.
func nextEvents(raw []byte, last string) (good []byte, count int, latest string, err error) {
	const op = "relay.nextEvents"
	latest = last
	for rest := raw; len(rest) > 0; {
		ev, after, _ := bytes.Cut(rest, eventEnd)
		id, err := parseEvent(ev)
		if err == nil && id != "" && !follows(id, latest) {
			err = fault.New(op, KindBroken, "event %.40q after event %.40q", id, latest)
		}
		if err != nil {
			return raw[:len(raw)-len(rest)], count, latest, err
		}
		if id != "" {
			latest = id
			count++
		}
		rest = after
	}
	return raw, count, latest, nil
}

// parseEvent returns the id of an event, empty for one that consists of comments.
func parseEvent(ev []byte) (id string, err error) {
	const op = "relay.parseEvent"
	hasFields := false
	for _, line := range bytes.Split(ev, []byte("\n")) {
		name, val, _ := bytes.Cut(line, []byte(":"))
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		if !isFieldName(name) {
			return "", fault.New(op, KindBroken, "no event of a stream: %.60q", line)
		}
		hasFields = true
		if !bytes.Equal(name, idField) {
			continue
		}
		if id != "" {
			return "", fault.New(op, KindBroken, "an event with two ids: %.60q", ev)
		}
		id = string(bytes.TrimSpace(val))
	}
	if hasFields && id == "" {
		return "", fault.New(op, KindBroken, "an event without an id: %.60q", ev)
	}
	return id, nil
}

// isFieldName reports whether a line can begin with this name in an event: lower-case letters, digits
// and hyphens.
func isFieldName(name []byte) bool {
	for _, ch := range name {
		if (ch < 'a' || ch > 'z') && (ch < '0' || ch > '9') && ch != '-' {
			return false
		}
	}
	return len(name) > 0
}

// follows reports whether an event may come after another one. Ids increase; those that are no numbers
// differ.
func follows(id, last string) bool {
	num, err := strconv.ParseUint(id, 10, 64)
	before, berr := strconv.ParseUint(last, 10, 64)
	if err == nil && berr == nil {
		return num > before
	}
	return id != last
}
