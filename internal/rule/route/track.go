package route

import (
	"sync"
	"time"

	"lycheepick/internal/rule/units"
)

// DispatchLog holds this node's latest dispatches to a server, which the server's load report
// does not include yet. It is safe for concurrent use.
type DispatchLog struct {
	mu         sync.Mutex
	ring       [dispatchLogSize]dispatch
	next       int
	lastTicket Ticket
}

const dispatchLogSize = 64

type dispatch struct {
	at     time.Time
	tokens units.Tokens
	ticket Ticket
	ended  bool
}

// Ticket identifies one dispatch, so that its end can be recorded. The zero value is none.
type Ticket uint64

// Dispatched records that a request with this many tokens to compute was sent at now.
func (dl *DispatchLog) Dispatched(now time.Time, tokens units.Tokens) Ticket {
	dl.mu.Lock()
	defer dl.mu.Unlock()
	dl.lastTicket++
	dl.ring[dl.next] = dispatch{at: now, tokens: tokens, ticket: dl.lastTicket}
	dl.next = (dl.next + 1) % dispatchLogSize
	return dl.lastTicket
}

// Ended records the end of a request, which takes no slot from then on.
func (dl *DispatchLog) Ended(ti Ticket) {
	dl.mu.Lock()
	defer dl.mu.Unlock()
	back := int(dl.lastTicket - ti)
	if ti == 0 || back >= dispatchLogSize {
		return
	}
	di := &dl.ring[(dl.next-1-back+2*dispatchLogSize)%dispatchLogSize]
	di.ended = di.ended || di.ticket == ti
}

// Since returns the number and the tokens of the dispatches after at that have not ended.
func (dl *DispatchLog) Since(at time.Time) (count int, tokens units.Tokens) {
	dl.mu.Lock()
	defer dl.mu.Unlock()
	for back := 1; back <= dispatchLogSize; back++ {
		di := &dl.ring[(dl.next-back+dispatchLogSize)%dispatchLogSize]
		if di.at.IsZero() || !di.at.After(at) {
			break
		}
		if di.ended {
			continue
		}
		count++
		tokens += di.tokens
	}
	return count, tokens
}

// Cache models the prefix keys in a server's KV cache, from this node's dispatches and the
// server's cache events. It holds up to limit keys and evicts the older half when there are
// more. It is safe for concurrent use.
type Cache struct {
	mu       sync.Mutex
	limit    int
	lastUse  map[units.PrefixKey]uint64
	useCount uint64
}

// NewCache returns a model that holds up to limit keys.
func NewCache(limit int) *Cache {
	return &Cache{limit: limit, lastUse: map[units.PrefixKey]uint64{}}
}

// Match returns the number of leading tokens that the server probably has cached.
func (ca *Cache) Match(prefix []units.PrefixKey) units.Tokens {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for num := len(prefix); num > 0; num-- {
		if _, ok := ca.lastUse[prefix[num-1]]; ok {
			return units.Tokens(num) * BlockTokens
		}
	}
	return 0
}

// Add records that the server has all keys of a prefix.
func (ca *Cache) Add(prefix []units.PrefixKey) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for _, key := range prefix {
		ca.useCount++
		ca.lastUse[key] = ca.useCount
	}
	if len(ca.lastUse) > ca.limit {
		ca.evictOlderHalf()
	}
}

// Remove records that the server has evicted a key.
func (ca *Cache) Remove(key units.PrefixKey) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	delete(ca.lastUse, key)
}

// evictOlderHalf evicts all keys that were not in the last limit/2 uses, so that the cost of a
// scan is spread over many calls.
func (ca *Cache) evictOlderHalf() {
	oldest := ca.useCount - uint64(ca.limit)/2
	for key, use := range ca.lastUse {
		if use <= oldest {
			delete(ca.lastUse, key)
		}
	}
}
