package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/edge/pause"
)

const (
	// acceptCheckPeriod is the time without a new connection of a caller after which the node opens one itself.
	acceptCheckPeriod = 500 * time.Millisecond
	// listenerTimeout is the time without a new connection after which a node is not ready: its listener takes none.
	listenerTimeout = 4 * acceptCheckPeriod
	// acceptLogPeriod is the shortest interval between two lines about connections of callers that can't be accepted.
	acceptLogPeriod = time.Second
)

// watchAccepts keeps opening connections to the callers' listener until ctx ends or the node leaves, unless callers do.
func (no *Node) watchAccepts(ctx context.Context) {
	di := net.Dialer{Timeout: listenerTimeout}
	for wasAccepting := true; ; {
		if time.Since(no.door.AcceptedAt()) >= acceptCheckPeriod {
			if cn, err := di.DialContext(ctx, "tcp", no.settings.Listen.Callers); err == nil {
				_ = cn.Close()
			}
		}
		if !pause.For(ctx, acceptCheckPeriod) || no.leaving.Load() {
			return
		}
		if is := no.isAccepting(); is != wasAccepting {
			wasAccepting = is
			no.log.Warn("accepting_changed", zap.Bool("accepting", is), zap.Duration("last_accept", time.Since(no.door.AcceptedAt())))
		}
	}
}

// isAccepting reports whether the callers' listener takes connections.
func (no *Node) isAccepting() bool { return time.Since(no.door.AcceptedAt()) < listenerTimeout }

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
