// Package permit keeps all nodes together within the request rates that backend servers name.
//
// A server in need names in its answers the requests a second that it takes from all nodes
// together. A few requests a second can't be divided among hundreds of nodes, and reports
// between nodes take longer than a burst, so a node sends a request to such a server only with a
// permit. For each server one node issues the permits, at the rate that the server names; all
// nodes find it by rendezvous hashing. Nodes tell each other of the limits, so that most keep one
// before the server has named it to them.
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
	Rate  units.RequestsPerSecond `json:"rate,omitempty"`
	Named bool                    `json:"named,omitempty"`
}

// Observation is a server's limit as one of its answers showed it some time ago.
type Observation struct {
	Server
	Limit
	Age time.Duration `json:"age"`
}

const (
	// permitTTL is how long a permit can be used. It is short, since what expires is lost to
	// other nodes.
	permitTTL = 500 * time.Millisecond
	// failedAskDelay is the time after which an issuer that can't be reached is asked again.
	failedAskDelay = 300 * time.Millisecond
	// announceTime is how long a change is part of each report. Reports also have up to
	// maxRepeated older limits, for nodes that missed the change.
	announceTime = 5 * time.Second
	maxRepeated  = 16
	// forgetTime is how long the limit of a server is kept that is not in the list of servers.
	forgetTime = time.Minute
)

// Book holds what one node knows of the servers' limits, and its permits.
type Book struct {
	servers map[Server]*state
}

type state struct {
	limit Limit
	// observedAt is when a server gave the answer that the limit was read from, changedAt when
	// this node learned of the latest change.
	observedAt, changedAt time.Time
	permits               int
	expiresAt             time.Time
	// want is the number of permits to ask for: more once all of the last grant were used.
	want     int
	askAfter time.Time
	issuer   issuer
}

// NewBook returns a book without limits.
func NewBook() *Book { return &Book{servers: map[Server]*state{}} }

// Observe records the limit of an answer to a request that was sent at sentAt. It returns true
// if that is a change. An answer without a limit may be as old as its request, so it does not
// end a limit that was named since.
func (bo *Book) Observe(now, sentAt time.Time, sv Server, li Limit) bool {
	if !li.Named {
		return bo.apply(now, sentAt, sv, li)
	}
	return bo.apply(now, now, sv, li)
}

// Merge records what a peer has observed and returns the changes.
func (bo *Book) Merge(now time.Time, list []Observation) []Observation {
	var changes []Observation
	for _, ob := range list {
		if bo.apply(now, now.Add(-ob.Age), ob.Server, ob.Limit) {
			changes = append(changes, ob)
		}
	}
	return changes
}

func (bo *Book) apply(now, at time.Time, sv Server, li Limit) bool {
	st := bo.servers[sv]
	if st == nil {
		if !li.Named {
			return false
		}
		st = &state{}
		bo.servers[sv] = st
	}
	if !at.After(st.observedAt) {
		return false
	}
	st.observedAt = at
	if st.limit == li {
		return false
	}
	if st.limit.Named != li.Named {
		st.permits, st.want, st.askAfter, st.issuer = 0, 1, time.Time{}, issuer{}
	}
	st.limit, st.changedAt = li, now
	return true
}

// Limit returns the limit that a server names.
func (bo *Book) Limit(sv Server) Limit {
	if st := bo.servers[sv]; st != nil {
		return st.limit
	}
	return Limit{}
}

// Gate tells whether a server gets a request.
type Gate int

// The gates.
const (
	// Open lets the request go to the server.
	Open Gate = iota
	// Ask lets it go there only with a permit, which can be asked for.
	Ask
	// Closed means that no permit is to be had yet.
	Closed
)

// Gate returns whether a server gets a request now.
func (bo *Book) Gate(now time.Time, sv Server) Gate {
	st := bo.servers[sv]
	switch {
	case st == nil || !st.limit.Named || st.valid(now) > 0:
		return Open
	case now.Before(st.askAfter):
		return Closed
	}
	return Ask
}

// valid returns the number of permits that have not expired.
func (st *state) valid(now time.Time) int {
	if now.After(st.expiresAt) {
		return 0
	}
	return st.permits
}

// Use takes a permit for a request, if the server has a limit.
func (bo *Book) Use(now time.Time, sv Server) {
	st := bo.servers[sv]
	if st == nil || st.valid(now) == 0 {
		return
	}
	st.permits--
	if st.permits == 0 {
		st.want = min(2*st.want, maxWant)
	}
}

// Request asks the issuer of a server's permits for some.
type Request struct {
	Observation
	Want int `json:"want"`
}

// Grant is the answer to a Request: permits, or the time after which to ask again. It has what
// the issuer knows of the limit.
type Grant struct {
	Observation
	Permits int           `json:"permits,omitempty"`
	After   time.Duration `json:"after,omitempty"`
}

// Request returns the request for permits of a server.
func (bo *Book) Request(now time.Time, sv Server) Request {
	ob := bo.observation(now, sv)
	want := 1
	if st := bo.servers[sv]; st != nil {
		want = max(1, st.want)
	}
	return Request{Observation: ob, Want: want}
}

func (bo *Book) observation(now time.Time, sv Server) Observation {
	ob := Observation{Server: sv}
	if st := bo.servers[sv]; st != nil {
		ob.Limit, ob.Age = st.limit, now.Sub(st.observedAt)
	}
	return ob
}

// Receive records a grant.
func (bo *Book) Receive(now time.Time, gr Grant) {
	bo.apply(now, now.Add(-gr.Age), gr.Server, gr.Limit)
	st := bo.servers[gr.Server]
	if st == nil || !st.limit.Named {
		return
	}
	if gr.Permits == 0 {
		st.askAfter, st.want = now.Add(gr.After), 1
		return
	}
	if st.valid(now) == 0 {
		st.permits = 0
	}
	st.permits += gr.Permits
	st.expiresAt = now.Add(permitTTL)
}

// Failed records that the issuer of a server's permits gave no answer.
func (bo *Book) Failed(now time.Time, sv Server) {
	if st := bo.servers[sv]; st != nil {
		st.askAfter, st.want = now.Add(failedAskDelay), 1
	}
}

// Observations returns the limits to report to a peer: all that changed lately and some others.
func (bo *Book) Observations(now time.Time) []Observation {
	var out []Observation
	var others []Server
	for sv, st := range bo.servers {
		switch {
		case now.Sub(st.changedAt) <= announceTime:
			out = append(out, bo.observation(now, sv))
		case st.limit.Named:
			others = append(others, sv)
		}
	}
	// Map order is random, so all limits are repeated in time.
	for _, sv := range others[:min(len(others), maxRepeated)] {
		out = append(out, bo.observation(now, sv))
	}
	return out
}

// Retain forgets the limits of servers that are not listed and have not answered for a while.
func (bo *Book) Retain(now time.Time, listed func(Server) bool) {
	for sv, st := range bo.servers {
		if !listed(sv) && now.Sub(st.observedAt) > forgetTime {
			delete(bo.servers, sv)
		}
	}
}
