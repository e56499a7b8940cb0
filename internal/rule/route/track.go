package route

import (
	"sync"
	"time"

	"lycheepick/internal/rule/units"
)

// Track remembers this node's latest dispatches to a replica, which its load report
// does not show yet.
type Track struct {
	mu   sync.Mutex
	ring [trackSize]dispatch
	next int
	last Ticket
}

const trackSize = 64

type dispatch struct {
	at     time.Time
	tokens units.Tokens
	ticket Ticket
	ended  bool
}

// Ticket names one dispatch, so that its end can be noted. The zero value names none.
type Ticket uint64

// Dispatched notes that a request with so many tokens to compute was sent at now.
func (tr *Track) Dispatched(now time.Time, tokens units.Tokens) Ticket {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.last++
	tr.ring[tr.next] = dispatch{at: now, tokens: tokens, ticket: tr.last}
	tr.next = (tr.next + 1) % trackSize
	return tr.last
}

// Ended notes the end of a request, which from then on takes no slot.
func (tr *Track) Ended(ti Ticket) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	back := int(tr.last - ti)
	if ti == 0 || back >= trackSize {
		return
	}
	di := &tr.ring[(tr.next-1-back+2*trackSize)%trackSize]
	di.ended = di.ended || di.ticket == ti
}

// Since returns the number and the tokens of the dispatches after at that have not ended.
func (tr *Track) Since(at time.Time) (count int, tokens units.Tokens) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for back := 1; back <= trackSize; back++ {
		di := &tr.ring[(tr.next-back+trackSize)%trackSize]
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

// Cache is what this node believes of the prefixes that a replica holds, from its
// own dispatches and from cache events. It keeps the newest Limit keys.
type Cache struct {
	mu    sync.Mutex
	limit int
	age   map[units.PrefixKey]uint64
	clock uint64
}

// NewCache returns a cache model of so many keys.
func NewCache(limit int) *Cache {
	return &Cache{limit: limit, age: map[units.PrefixKey]uint64{}}
}

// Match returns the number of leading tokens that the replica is believed to hold.
func (ca *Cache) Match(prefix []units.PrefixKey) units.Tokens {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for num := len(prefix); num > 0; num-- {
		if _, ok := ca.age[prefix[num-1]]; ok {
			return units.Tokens(num) * BlockTokens
		}
	}
	return 0
}

// Hold notes that the replica holds all keys of a prefix.
func (ca *Cache) Hold(prefix []units.PrefixKey) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for _, key := range prefix {
		ca.clock++
		ca.age[key] = ca.clock
	}
	if len(ca.age) > ca.limit {
		ca.trim()
	}
}

// Drop notes that the replica no longer holds a key.
func (ca *Cache) Drop(key units.PrefixKey) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	delete(ca.age, key)
}

// trim drops the older half, so that the cost of a scan is spread over many calls.
func (ca *Cache) trim() {
	floor := ca.clock - uint64(ca.limit)/2
	for key, age := range ca.age {
		if age <= floor {
			delete(ca.age, key)
		}
	}
}
