package rest_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/rest"
	"lycheepick/internal/rule/units"
)

var (
	epoch = time.Unix(1_000_000, 0)
	first = notice.Server{ID: "i-1", StartUnixMS: 7}
	next  = notice.Server{ID: "i-1", StartUnixMS: 8}
	// unknown doesn't state its start.
	unknown = notice.Server{ID: "i-1"}
)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestStates checks whether a server gets a request, after what it has answered.
func TestStates(t *testing.T) {
	const second = time.Second
	for _, tt := range []struct {
		name string
		hear func(bo *rest.Book)
		at   int
		want rest.State
	}{
		{"nothing heard", func(*rest.Book) {}, 0, rest.Free},
		{"a rest", func(bo *rest.Book) { bo.Refused(at(10), at(0), first, 3*second) }, 3000, rest.Resting},
		{"a rest is over", func(bo *rest.Book) { bo.Refused(at(10), at(0), first, 3*second) }, 3400, rest.Due},
		{"a shorter one later", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, 3*second)
			bo.Refused(at(500), at(400), first, second)
		}, 2900, rest.Resting},
		{"a longer one later, to a request from before", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, second)
			bo.Refused(at(20), at(0), first, 3*second)
		}, 2900, rest.Resting},
		{"a success of a request from before", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, 3*second)
			bo.Answered(at(20), at(0), first)
		}, 100, rest.Resting},
		{"a success in the rest", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, 3*second)
			bo.Answered(at(30), at(20), first)
		}, 100, rest.Resting},
		{"a rest of an hour", func(bo *rest.Book) { bo.Refused(at(10), at(0), first, time.Hour) }, 3_599_000, rest.Resting},
		{"the longest rest", func(bo *rest.Book) { bo.Refused(at(10), at(0), first, 100*time.Hour) }, int(rest.MaxRest.Milliseconds()) - 1000, rest.Resting},
		{"the longest rest is over", func(bo *rest.Book) { bo.Refused(at(10), at(0), first, 100*time.Hour) }, int(rest.MaxRest.Milliseconds()) + 1000, rest.Due},
		{"the longest rest, unknown start", func(bo *rest.Book) { bo.Refused(at(10), at(0), unknown, time.Hour) }, 119_000, rest.Resting},
		{"the longest rest is over, unknown start", func(bo *rest.Book) { bo.Refused(at(10), at(0), unknown, time.Hour) }, 121_000, rest.Due},
		{"another incarnation", func(bo *rest.Book) { bo.Refused(at(10), at(0), next, 3*second) }, 100, rest.Free},
		{"refused without a time", func(bo *rest.Book) { bo.Refused(at(10), at(0), first, 0) }, 100, rest.Doubted},
		{"some time ago", func(bo *rest.Book) { bo.Refused(at(10), at(0), first, 0) }, 120, rest.Due},
		{"many at once count as one", func(bo *rest.Book) {
			for num := range 20 {
				bo.Refused(at(10+num), at(num/2), first, 0)
			}
		}, 130, rest.Due},
		{"again and again", func(bo *rest.Book) {
			for num := range 20 {
				bo.Refused(at(10+num), at(9+num), first, 0)
			}
		}, 1020, rest.Doubted},
		{"again and again, the longest backoff is over", func(bo *rest.Book) {
			for num := range 20 {
				bo.Refused(at(10+num), at(9+num), first, 0)
			}
		}, 1040, rest.Due},
		{"served since", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, 0)
			bo.Answered(at(30), at(20), first)
		}, 40, rest.Free},
		{"a trial", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, second)
			bo.Sent(at(1200), first)
		}, 1210, rest.Resting},
		{"a trial without a named time", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, 0)
			bo.Sent(at(200), first)
		}, 210, rest.Doubted},
		{"a trial that isn't refused", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, second)
			bo.Sent(at(1200), first)
		}, 1500, rest.Free},
		{"a trial that wasn't sent", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, second)
			bo.Sent(at(1200), first)
			bo.NotSent(first)
		}, 1210, rest.Due},
		{"a trial that is given up on", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, second)
			bo.Sent(at(1200), first)
			bo.GaveUp(at(1250), at(1200), first)
		}, 1260, rest.Resting},
		{"given up on some time ago", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, second)
			bo.Sent(at(1200), first)
			bo.GaveUp(at(1250), at(1200), first)
		}, 1510, rest.Due},
		{"trials given up on, many requests beside", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, 0)
			bo.Sent(at(200), first)
			bo.GaveUp(at(250), at(200), first)
			bo.GaveUp(at(260), at(190), first)
		}, 270, rest.Doubted},
		{"a trial that is answered late", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, second)
			bo.Sent(at(1200), first)
			bo.GaveUp(at(1250), at(1200), first)
			bo.Answered(at(1300), at(1200), first)
		}, 1310, rest.Free},
		{"a trial that is refused late", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, second)
			bo.Sent(at(1200), first)
			bo.GaveUp(at(1250), at(1200), first)
			bo.Refused(at(1300), at(1200), first, second)
		}, 2290, rest.Resting},
		{"a trial of a server that takes 0.4 s to refuse", func(bo *rest.Book) {
			bo.Refused(at(400), at(0), first, second)
			bo.Sent(at(1800), first)
		}, 2590, rest.Resting},
		{"it isn't refused in twice that time", func(bo *rest.Book) {
			bo.Refused(at(400), at(0), first, second)
			bo.Sent(at(1800), first)
		}, 2610, rest.Free},
		{"named a time, then none", func(bo *rest.Book) {
			bo.Refused(at(10), at(0), first, second)
			bo.Sent(at(1200), first)
			bo.Refused(at(1210), at(1200), first, 0)
		}, 1300, rest.Doubted},
		{"given up on for a moment", func(bo *rest.Book) { bo.GaveUp(at(100), at(0), first) }, 800, rest.Free},
		{"given up on for a while", func(bo *rest.Book) { bo.GaveUp(at(100), at(0), first) }, 1000, rest.Due},
		{"answered since", func(bo *rest.Book) {
			bo.GaveUp(at(100), at(0), first)
			bo.Answered(at(200), at(10), first)
		}, 1000, rest.Free},
		{"the path was cut", func(bo *rest.Book) {
			bo.GaveUp(at(100), at(0), first)
			bo.Forgive()
		}, 1000, rest.Free},
		{"another node heard of a rest", func(bo *rest.Book) {
			bo.Merge(at(10), at(10), []notice.Heard[notice.Rest]{{Server: first, Value: notice.Rest{For: 2 * second, Named: true}}})
		}, 1900, rest.Warned},
		{"another node was refused again and again", func(bo *rest.Book) {
			bo.Merge(at(10), at(10), []notice.Heard[notice.Rest]{{Server: first, Value: notice.Rest{For: second}}})
		}, 900, rest.Doubted},
		{"another node heard of a long one", func(bo *rest.Book) {
			bo.Merge(at(10), at(10), []notice.Heard[notice.Rest]{{Server: first, Value: notice.Rest{For: time.Hour, Named: true}}})
		}, 3100, rest.Free},
	} {
		bo := rest.NewBook(1)
		tt.hear(bo)
		sv := first
		if strings.HasSuffix(tt.name, "unknown start") {
			sv = unknown
		}
		if have, _ := bo.State(at(tt.at), sv); have != tt.want {
			t.Errorf("%s: have %d, want %d", tt.name, have, tt.want)
		}
	}
}

// TestOneTrial checks that one request tries a server after its rest, and that a server which says
// nothing costs no notices.
func TestOneTrial(t *testing.T) {
	bo := rest.NewBook(1)
	bo.Refused(at(10), at(0), first, time.Second)
	if have := len(bo.Heard(at(100))); have != 1 {
		t.Errorf("in the rest: have %d notices, want 1", have)
	}
	if !bo.Sent(at(1200), first) || bo.Sent(at(1210), first) || !bo.Trying(at(1210), first) {
		t.Error("want the first request to be a trial, and no other")
	}
	bo.Answered(at(1300), at(1200), first)
	if have, _ := bo.State(at(1310), first); have != rest.Free || !bo.Empty() && len(bo.Heard(at(1310))) > 0 {
		t.Errorf("after the trial: have state %d, %d notices", have, len(bo.Heard(at(1310))))
	}
	bo.Answered(at(1400), at(1300), next)
	if !bo.Empty() {
		t.Error("want nothing kept once all is over")
	}
}

// TestRetryAfterOfMany guards against callers that all come back when the first of many servers is back.
func TestRetryAfterOfMany(t *testing.T) {
	const second = time.Second
	for _, tt := range []struct {
		step, want time.Duration
	}{
		{100 * time.Millisecond, 1200 * time.Millisecond},
		{second, 2 * second}, // The third rest is over after 3 s.
	} {
		bo := rest.NewBook(1)
		var list []notice.Server
		for num := range 8 {
			sv := notice.Server{ID: units.VMID(fmt.Sprint("i-", num))}
			bo.Refused(at(0), at(0), sv, second+time.Duration(num)*tt.step)
			list = append(list, sv)
		}
		const spread = 600 * time.Millisecond // Of the rests and of the callers.
		if have := bo.RetryAfter(at(0), list); have < tt.want || have > tt.want+spread {
			t.Errorf("rests %s apart: have %s, want %s to %s", tt.step, have, tt.want, tt.want+spread)
		}
	}
}

// TestRetryAfter checks that a caller is told of the shortest rest of a few servers, and of none while a server
// is free.
func TestRetryAfter(t *testing.T) {
	bo, other := rest.NewBook(1), notice.Server{ID: "i-2"}
	bo.Refused(at(0), at(0), first, 2*time.Second)
	if have := bo.RetryAfter(at(500), []notice.Server{first, other}); have != 0 {
		t.Errorf("a server is free: have %s, want 0", have)
	}
	bo.Refused(at(0), at(0), other, time.Second)
	if have := bo.RetryAfter(at(500), []notice.Server{first, other}); have < 500*time.Millisecond || have > time.Second {
		t.Errorf("all rest: have %s, want 0.5 s and the spread", have)
	}
}
