package stream

import (
	"sync"
	"time"
)

// Patience is the time within which the answer to a call has to begin: Least, twice the time that the last answer took, or
// twice the time that the last call waited in vain, whichever is longest, and Most at most. A slow store is then not
// asked in vain for ever. Its methods may be called concurrently.
type Patience struct {
	Least, Most time.Duration

	mu    sync.Mutex
	limit time.Duration
}

// Limit returns the time that the next call has.
func (pa *Patience) Limit() time.Duration {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return max(pa.Least, pa.limit)
}

// Answered records a call whose answer took a time.
func (pa *Patience) Answered(took time.Duration) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.limit = min(2*took, pa.Most)
}

// Unanswered records a call whose answer did not begin within limit. Of calls beside each other one counts.
func (pa *Patience) Unanswered(limit time.Duration) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.limit = max(pa.limit, min(2*limit, pa.Most))
}
