// Package intake counts requests in progress and ends their intake, so that none begins once the last one
// has ended.
package intake

import "sync"

// Intake takes requests until it is closed. The zero value is open.
type Intake struct {
	mu    sync.Mutex
	count int
	// closed is set if no request is taken, atIdle if that is to be set with the end of the last one.
	closed, atIdle bool
	idle           chan struct{}
}

// Enter takes a request, for which Leave has to be called at its end. It returns false if the intake is
// closed.
func (in *Intake) Enter() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.closed {
		return false
	}
	in.count++
	return true
}

// Extend counts a part of a request in progress that may outlast it, for which Leave has to be called too.
func (in *Intake) Extend() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.count++
}

// Leave records the end of a request.
func (in *Intake) Leave() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.count--
	in.signal()
}

// Close ends the intake. The channel is closed once no request is in progress; none can begin after that.
func (in *Intake) Close() <-chan struct{} { return in.end(true) }

// CloseAtIdle ends the intake as soon as no request is in progress, when it closes the channel; none can begin
// after that.
func (in *Intake) CloseAtIdle() <-chan struct{} { return in.end(false) }

func (in *Intake) end(now bool) <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.idle == nil {
		in.idle = make(chan struct{})
	}
	was := in.closed && in.count == 0
	in.closed, in.atIdle = in.closed || now, true
	if !was {
		in.signal()
	}
	return in.idle
}

// signal ends the intake at the end of the last request. The caller holds mu.
func (in *Intake) signal() {
	if in.atIdle && in.count == 0 {
		in.closed = true
		close(in.idle)
	}
}
