package crowd

import (
	"time"

	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/place"
)

// Leavers are callers that leave if they have no answer After their request. Share is theirs of all
// attempts of callers.
type Leavers struct {
	Share float64
	After time.Duration
}

const (
	// lateTime is the time for which a node of the relay waits for an answer after the end of its attempt.
	lateTime = 250 * time.Millisecond
	// goneBound is the platform's bound from the time at which a caller has left to the last request that
	// reaches a server for it.
	goneBound = 500 * time.Millisecond
)

// LeaverResult summarises the attempts whose callers left.
type LeaverResult struct {
	// Left counts them, and Late those that reached a server later than goneBound after that.
	Left, Late int
}

// scheduleLeave lets the caller of an attempt leave.
func (rq *request) scheduleLeave() {
	ru, le, tries := rq.ru, rq.ru.Load.Leavers, rq.callerTries
	if le.Share == 0 || ru.rnd.Float64() >= le.Share {
		return
	}
	ru.scheduleAfter(le.After, func() {
		if rq.counted || rq.started || rq.callerTries != tries {
			return
		}
		rq.leave()
	})
}

// leave ends a request whose caller has left. The attempt in progress is cancelled.
func (rq *request) leave() {
	ru := rq.ru
	ru.result.Leavers.Left++
	rq.record(func(co *Counts) *int { return &co.Left })
	rq.leftAt = ru.now
	if rq.engine == nil {
		return
	}
	if _, ok := rq.engine.running[rq]; !ok {
		return
	}
	rq.node.gaveUp(rq)
	rq.attemptEnded(place.Canceled)
}

// gaveUp records that an attempt ends without an answer.
func (no *node) gaveUp(rq *request) {
	if !no.old {
		no.rests.GaveUp(no.ru.now, rq.pickedAt, rq.server())
	}
}

// server returns the server of the current attempt.
func (rq *request) server() notice.Server {
	return notice.Server{ID: rq.engine.id, StartUnixMS: rq.engine.incarnation}
}

// hasLeft reports whether the caller is gone.
func (rq *request) hasLeft() bool { return !rq.leftAt.IsZero() }

// judgeLate judges a request that reaches a server.
func (rq *request) judgeLate() {
	if rq.hasLeft() && rq.ru.now.Sub(rq.leftAt) > goneBound {
		rq.ru.result.Leavers.Late++
	}
}
