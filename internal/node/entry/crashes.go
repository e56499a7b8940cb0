package entry

import (
	"strconv"
	"time"

	"lycheepick/internal/rule/place"
)

// ownsTrials reports whether this node tries a blocked part of prompts again: one node of those
// that answer does.
func (no *Node) ownsTrials(part place.BlockID) bool {
	no.mu.Lock()
	defer no.mu.Unlock()
	return no.members.Nearest(time.Now(), "part "+strconv.FormatUint(uint64(part), 10), 1)[0] == no.settings.VM.ID
}
