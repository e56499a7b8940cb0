package call

import (
	"context"
	"time"
)

const (
	// lateTime is how long the head of an answer is waited for after the end of its call. A server
	// that goes on with a request although its connection has been closed in one direction is reset
	// then, which is well within the half second that the platform allows.
	lateTime = 250 * time.Millisecond
	// maxListening bounds the answers that are waited for at a time. Beyond it connections are reset at once.
	maxListening = 256
)

// Late hears answers whose head comes after the end of their call, within lateTime. What a server says
// in them of itself holds although nobody waits for the answer any more.
type Late struct {
	// Until ends the wait for such answers.
	Until context.Context
	// Heard is called with an answer. It may read the body as far as it has come, and must not close it.
	Heard func(*Answer)
}

// phase is the part of a call that a connection is in.
type phase int

const (
	// receives is a call whose connection is reset when its context ends.
	receives phase = iota
	// awaitsHead is a call without an answer, which is given up when its context ends.
	awaitsHead
	// listens is a call whose context has ended and whose answer is still waited for.
	listens
)

// phase returns that of a call which has begun.
func (la *Late) phase() phase {
	if la == nil {
		return receives
	}
	return awaitsHead
}

func (cn *conn) setPhase(ph phase) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.phase = ph
}

// contextEnded handles the end of the call's context.
func (cn *conn) contextEnded() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	switch cn.phase {
	case listens:
	case awaitsHead: // Reads and writes in progress fail, and giveUp follows.
		past := time.Unix(1, 0)
		_, _ = cn.SetReadDeadline(past), cn.SetWriteDeadline(past)
	case receives:
		cn.abort()
	}
}

// giveUp ends a call without an answer. If that is since its context has ended, the answer is waited for
// in the background.
func (an *Answer) giveUp(ctx context.Context, la *Late) {
	if la == nil || ctx.Err() == nil || la.Until.Err() != nil || !an.cn.stopSending() {
		an.discard()
		return
	}
	select {
	case an.cl.listening <- struct{}{}:
		go an.listen(la)
	default:
		an.discard()
	}
}

// stopSending closes the connection in the direction of the server, by which it learns that the caller
// is gone, and makes reads fail after lateTime. It returns false if that can't be.
func (cn *conn) stopSending() bool {
	half, ok := cn.Conn.(interface{ CloseWrite() error })
	if !ok {
		return false
	}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.phase = listens
	return half.CloseWrite() == nil && cn.SetReadDeadline(time.Now().Add(lateTime)) == nil
}

// listen waits for an answer and closes the connection.
func (an *Answer) listen(la *Late) {
	defer func() {
		an.discard()
		<-an.cl.listening
	}()
	defer context.AfterFunc(la.Until, an.cn.abort)()
	if an.readHead() != nil {
		return
	}
	an.Body = an.newBody()
	la.Heard(an)
}
