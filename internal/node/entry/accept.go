package entry

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// acceptLogPeriod is the shortest interval between two lines about connections of callers that can't be accepted.
const acceptLogPeriod = time.Second

// acceptErrors counts the connections of callers that could not be accepted. The zero value is ready for use.
type acceptErrors struct {
	mu       sync.Mutex
	total    int64
	loggedAt time.Time
	// sinceLog counts those since the last line.
	sinceLog int64
}

// count returns the number of connections that could not be accepted since the start.
func (ae *acceptErrors) count() int64 {
	ae.mu.Lock()
	defer ae.mu.Unlock()
	return ae.total
}

// add counts one at now. If a line is due, it returns the number since the last one.
func (ae *acceptErrors) add(now time.Time) (sinceLog int64, due bool) {
	ae.mu.Lock()
	defer ae.mu.Unlock()
	ae.total++
	ae.sinceLog++
	if now.Sub(ae.loggedAt) < acceptLogPeriod {
		return 0, false
	}
	sinceLog, ae.sinceLog, ae.loggedAt = ae.sinceLog, 0, now
	return sinceLog, true
}

// acceptFailed counts a connection of a caller that could not be accepted.
func (no *Node) acceptFailed(err error) {
	if since, due := no.acceptErrors.add(time.Now()); due {
		no.log.Warn("accept_failed", zap.Int64("since_last_line", since), zap.Error(err))
	}
}
