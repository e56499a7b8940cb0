// Package permit keeps the request rates that backend servers allow all nodes together.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package permit

import (
	"time"

	"lycheepick/internal/rule/units"
)

// Server identifies one incarnation of a backend server, whose limit does not apply to the
// next one.
type Server struct {
	ID          units.VMID `json:"server"`
	StartUnixMS int64      `json:"start,omitempty"`
}

// Limit is the number of requests a second that a server takes from all nodes together. The
// zero value is no limit; a limit of 0 requests a second has Named set.
type Limit struct {
	Rate  units.RequestsPerSecond `json:"rate"`
	Named bool                    `json:"named"`
}

// Book holds what one node knows of the servers' limits.
type Book struct {
	servers map[Server]*state
}

type state struct {
	limit Limit
	// observedAt is when a server gave the answer that the limit was read from.
	observedAt time.Time
}

// NewBook returns a book without limits.
func NewBook() *Book { return &Book{servers: map[Server]*state{}} }

// Observe records the limit that an answer of a server named, or that it named none. It
// returns true if that is a change.
func (bo *Book) Observe(now time.Time, sv Server, li Limit) bool {
	st := bo.servers[sv]
	if st == nil {
		if !li.Named {
			return false
		}
		st = &state{}
		bo.servers[sv] = st
	}
	if now.Before(st.observedAt) {
		return false
	}
	changed := st.limit != li
	st.limit, st.observedAt = li, now
	return changed
}

// Limit returns the limit that a server names.
func (bo *Book) Limit(sv Server) Limit {
	if st := bo.servers[sv]; st != nil {
		return st.limit
	}
	return Limit{}
}
