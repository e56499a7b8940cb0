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

	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/units"
)

// Limit is the number of requests a second that a server takes from all nodes together. The
// zero value is no limit; a limit of 0 requests a second has Named set.
type Limit struct {
	Rate  units.RequestsPerSecond `json:"rate,omitempty"`
	Named bool                    `json:"named,omitempty"`
}

// Observation is a server's limit as one of its answers showed it some time ago.
type Observation struct {
	notice.Server
	Limit
	Age time.Duration `json:"age"`
}

const (
	// permitTTL is how long a permit can be used. It is short, since what expires is lost to
	// other nodes.
	permitTTL = 500 * time.Millisecond
	// failedAskDelay is the time after which an issuer that can't be reached is asked again.
	failedAskDelay = 300 * time.Millisecond
)

// Book holds what one node knows of the servers' limits, and its permits.
type Book struct {
	limits *notice.Table[Limit]
	// servers holds the permits of servers that name a limit, or have named one.
	servers map[notice.Server]*state
}

type state struct {
	permits   int
	expiresAt time.Time
	// want is the number of permits to ask for: more once all of the last grant were used.
	want     int
	askAfter time.Time
	issuer   issuer
}

// NewBook returns a book without limits.
func NewBook() *Book {
	return &Book{limits: notice.NewTable[Limit](notice.Latest[Limit]{}), servers: map[notice.Server]*state{}}
}

// Observe records the limit of an answer to a request that was sent at sentAt. It returns true
// if that is a change. An answer without a limit may be as old as its request, so it does not
// end a limit that was named since.
func (bo *Book) Observe(now, sentAt time.Time, sv notice.Server, li Limit) bool {
	if !li.Named {
		return bo.apply(now, sentAt, sv, li)
	}
	return bo.apply(now, now, sv, li)
}

// Merge records what a peer had observed as of a time and returns the changes.
func (bo *Book) Merge(now, asOf time.Time, list []Observation) []Observation {
	var changes []Observation
	for _, ob := range list {
		if bo.apply(now, asOf.Add(-ob.Age), ob.Server, ob.Limit) {
			changes = append(changes, ob)
		}
	}
	return changes
}

func (bo *Book) apply(now, at time.Time, sv notice.Server, li Limit) bool {
	before := bo.Limit(sv)
	if !bo.limits.Observe(now, at, sv, li) {
		return false
	}
	if before.Named != li.Named {
		bo.servers[sv] = &state{want: 1}
	}
	return true
}

// Limit returns the limit that a server names.
func (bo *Book) Limit(sv notice.Server) Limit { return bo.limits.Get(sv) }

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
func (bo *Book) Gate(now time.Time, sv notice.Server) Gate {
	st := bo.named(sv)
	switch {
	case st == nil || st.valid(now) > 0:
		return Open
	case now.Before(st.askAfter):
		return Closed
	}
	return Ask
}

// named returns the permits of a server, nil if it names no limit.
func (bo *Book) named(sv notice.Server) *state {
	if !bo.Limit(sv).Named {
		return nil
	}
	return bo.servers[sv]
}

// valid returns the number of permits that have not expired.
func (st *state) valid(now time.Time) int {
	if now.After(st.expiresAt) {
		return 0
	}
	return st.permits
}

// Use takes a permit for a request, if the server has a limit.
func (bo *Book) Use(now time.Time, sv notice.Server) {
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
func (bo *Book) Request(now time.Time, sv notice.Server) Request {
	ob := bo.observation(now, sv)
	want := 1
	if st := bo.servers[sv]; st != nil {
		want = max(1, st.want)
	}
	return Request{Observation: ob, Want: want}
}

func (bo *Book) observation(now time.Time, sv notice.Server) Observation {
	return Observation{Server: sv, Limit: bo.Limit(sv), Age: bo.limits.Age(now, sv)}
}

// Receive records a grant.
func (bo *Book) Receive(now time.Time, gr Grant) {
	bo.apply(now, now.Add(-gr.Age), gr.Server, gr.Limit)
	st := bo.named(gr.Server)
	if st == nil {
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
func (bo *Book) Failed(now time.Time, sv notice.Server) {
	if st := bo.servers[sv]; st != nil {
		st.askAfter, st.want = now.Add(failedAskDelay), 1
	}
}

// Observations returns the limits to report to a peer: all that changed lately and some others.
func (bo *Book) Observations(now time.Time) []Observation {
	var out []Observation
	for _, he := range bo.limits.Heard(now) {
		out = append(out, Observation{Server: he.Server, Limit: he.Value, Age: he.Age})
	}
	return out
}

// Retain forgets the limits of servers that are not listed and have not answered for a while.
func (bo *Book) Retain(now time.Time, listed func(notice.Server) bool) {
	bo.limits.Retain(now, listed)
	for sv := range bo.servers {
		if !bo.limits.Has(sv) {
			delete(bo.servers, sv)
		}
	}
}
