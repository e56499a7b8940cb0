package entry

import (
	"strconv"
	"time"

	"lycheepick/internal/rule/crash"
)

// ownsTrials reports whether this node tries again what is blocked under a key: one node of those
// that answer does.
func (no *Node) ownsTrials(ke crash.Key) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.members.Nearest(time.Now(), "trial "+strconv.FormatUint(uint64(ke), 10), 1)[0] == no.settings.VM.ID
}
