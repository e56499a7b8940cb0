package fleet

import (
	"slices"
	"sync"
	"time"

	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/rest"
	"lycheepick/internal/rule/route"
	"lycheepick/internal/rule/units"
)

// rests holds the servers that refuse requests of this node. It is safe for concurrent use.
type rests struct {
	mu   sync.Mutex
	book *rest.Book
}

func restServer(id units.Instance) notice.Server {
	return notice.Server{ID: id.VM, StartUnixMS: int64(id.Incarnation)}
}

// retain forgets servers that are not in the fleet.
func (re *rests) retain(kept map[units.VMID]*server) {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.book.Retain(time.Now(), func(sv notice.Server) bool {
		se := kept[sv.ID]
		return se != nil && restServer(se.Instance) == sv
	})
}

// Takers returns the usable servers of a target that get requests: those that refuse none, or are due for a
// trial, before those that have refused some and named no time. If all rest there are none.
func (fl *Fleet) Takers(now time.Time, ta units.TargetID) []*route.Server {
	list := fl.Snapshot().Servers(ta)
	fl.rests.mu.Lock()
	defer fl.rests.mu.Unlock()
	if fl.rests.book.Empty() {
		return list
	}
	var out, others []*route.Server
	for _, re := range list {
		if !re.Usable {
			continue
		}
		switch state, _ := fl.rests.book.State(now, restServer(re.Instance)); state {
		case rest.Free, rest.Due:
			out = append(out, re)
		case rest.Doubted, rest.Warned:
			others = append(others, re)
		case rest.Resting:
		}
	}
	if len(out) == 0 {
		return others
	}
	return out
}

// RetryAfter returns when a request may come back that no server of a target takes since those that are usable
// rest, 0 if that is not the reason, or if one is being tried, which is soon over.
func (fl *Fleet) RetryAfter(now time.Time, ta units.TargetID) time.Duration {
	if len(fl.Takers(now, ta)) > 0 {
		return 0
	}
	var ids []notice.Server
	for _, re := range fl.Snapshot().Servers(ta) {
		if re.Usable {
			ids = append(ids, restServer(re.Instance))
		}
	}
	fl.rests.mu.Lock()
	defer fl.rests.mu.Unlock()
	if slices.ContainsFunc(ids, func(sv notice.Server) bool { return fl.rests.book.Trying(now, sv) }) {
		return 0
	}
	return fl.rests.book.RetryAfter(now, ids)
}

// RequestSent records that a request is sent to a server.
func (fl *Fleet) RequestSent(id units.Instance, now time.Time) {
	fl.rests.mu.Lock()
	defer fl.rests.mu.Unlock()
	fl.rests.book.Sent(now, restServer(id))
}

// RequestRefused records that a server turned away a request sent at sentAt, and the time for which it wants
// nothing from this node, 0 for none.
func (fl *Fleet) RequestRefused(id units.Instance, now, sentAt time.Time, du time.Duration) {
	fl.rests.mu.Lock()
	news := fl.rests.book.Refused(now, sentAt, restServer(id), du)
	fl.rests.mu.Unlock()
	if news && du > 0 {
		fl.audit.Note("server_rests", string(id.VM), du.String())
	}
}

// RequestAnswered records that a server did not turn away a request sent at sentAt.
func (fl *Fleet) RequestAnswered(id units.Instance, now, sentAt time.Time) {
	fl.rests.mu.Lock()
	defer fl.rests.mu.Unlock()
	fl.rests.book.Answered(now, sentAt, restServer(id))
}

// RequestGivenUp records that a request ended before the server had answered it. sent is set if any byte may
// have reached the server.
func (fl *Fleet) RequestGivenUp(id units.Instance, now, sentAt time.Time, sent bool) {
	fl.rests.mu.Lock()
	defer fl.rests.mu.Unlock()
	if sent {
		fl.rests.book.GaveUp(now, sentAt, restServer(id))
		return
	}
	fl.rests.book.NotSent(restServer(id))
}
