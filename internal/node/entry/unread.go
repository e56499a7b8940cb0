package entry

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// unreadablePeriod is the shortest interval between two lines of one kind about the same record's key.
	unreadablePeriod = 10 * time.Second
	// maxUnreadableLines bounds the lines about all such records in unreadablePeriod. A writer may renew thousands of them each second.
	maxUnreadableLines = 50
)

// unreadable bounds the log lines about records that can't be read. The zero value is ready for use.
type unreadable struct {
	mu sync.Mutex
	// since is the start of the current period, logged what has been logged in it.
	since  time.Time
	logged map[string]bool
	// omitted counts the lines left out since the last one.
	omitted int
}

// admit reports whether a line may be logged, and the number of lines left out before it.
func (un *unreadable) admit(now time.Time, line string) (ok bool, omitted int) {
	un.mu.Lock()
	defer un.mu.Unlock()
	if un.logged == nil || now.Sub(un.since) >= unreadablePeriod {
		un.since, un.logged = now, map[string]bool{}
	}
	if un.logged[line] || len(un.logged) >= maxUnreadableLines {
		un.omitted++
		return false, 0
	}
	un.logged[line] = true
	omitted, un.omitted = un.omitted, 0
	return true, omitted
}

// logUnreadable logs a record that can't be read and is used for nothing.
func (no *Node) logUnreadable(event, key string, err error, fields ...zap.Field) {
	ok, omitted := no.unreadable.admit(time.Now(), event+" "+key)
	if !ok {
		return
	}
	no.log.Warn(event, append(fields, zap.Int("omitted", omitted), zap.Error(err))...)
}
