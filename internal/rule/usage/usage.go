// Package usage counts the requests that began to run, by customer and window of time,
// over all nodes, and closes each window with one set of counts.
//
// Every node counts its own requests since its start; the counts of a node only grow, so
// reports may be lost, doubled or late. The holder of the duty closes a window in the
// platform's store before it reports it, so that a successor sends the same counts.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package usage

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"lycheepick/internal/rule/units"
)

// Window numbers a window of time from the start of 1970.
type Window int64

// Counts are requests by customer.
type Counts map[units.CustomerID]int64

// String returns the counts as customer:requests, in order, for logs.
func (co Counts) String() string {
	names := make([]string, 0, len(co))
	for cu, num := range co {
		names = append(names, string(cu)+":"+strconv.FormatInt(num, 10))
	}
	sort.Strings(names)
	return strings.Join(names, ",")
}

// Windows are counts by window.
type Windows map[Window]Counts

// Source is one start of a node.
type Source struct {
	Node units.VMID
	Life int64
}

// Key returns the source as a text for JSON.
func (so Source) Key() string { return string(so.Node) + "/" + strconv.FormatInt(so.Life, 10) }

// Book holds the counts of all sources.
type Book struct {
	length  time.Duration
	sources map[string]Windows
}

// keptWindows is the number of windows that are remembered.
const keptWindows = 12

// NewBook returns a book of windows of so much time.
func NewBook(length time.Duration) *Book {
	return &Book{length: length, sources: map[string]Windows{}}
}

// At returns the window of a time.
func (bo *Book) At(at time.Time) Window { return Window(at.UnixNano() / int64(bo.length)) }

// End returns the end of a window.
func (bo *Book) End(wi Window) time.Time {
	return time.Unix(0, (int64(wi)+1)*int64(bo.length))
}

// Count adds one request.
func (bo *Book) Count(so string, at time.Time, cu units.CustomerID) {
	bo.counts(so, bo.At(at))[cu]++
}

func (bo *Book) counts(so string, wi Window) Counts {
	ws := bo.sources[so]
	if ws == nil {
		ws = Windows{}
		bo.sources[so] = ws
	}
	co := ws[wi]
	if co == nil {
		co = Counts{}
		ws[wi] = co
	}
	return co
}

// Merge takes in the counts that a source reports.
func (bo *Book) Merge(so string, ws Windows) {
	for wi, counts := range ws {
		have := bo.counts(so, wi)
		for cu, num := range counts {
			have[cu] = max(have[cu], num)
		}
	}
}

// Source returns the counts of one source.
func (bo *Book) Source(so string) Windows { return bo.sources[so].copy() }

func (ws Windows) copy() Windows {
	out := make(Windows, len(ws))
	for wi, counts := range ws {
		dup := make(Counts, len(counts))
		for cu, num := range counts {
			dup[cu] = num
		}
		out[wi] = dup
	}
	return out
}

// Sources returns the counts of all sources.
func (bo *Book) Sources() map[string]Windows {
	out := make(map[string]Windows, len(bo.sources))
	for so := range bo.sources {
		out[so] = bo.Source(so)
	}
	return out
}

// Total adds up a window over all sources.
func (bo *Book) Total(wi Window) Counts {
	out := Counts{}
	for _, ws := range bo.sources {
		for cu, num := range ws[wi] {
			out[cu] += num
		}
	}
	return out
}

// First returns the earliest window with counts. ok is false if there is none.
func (bo *Book) First() (first Window, ok bool) {
	for _, ws := range bo.sources {
		for wi := range ws {
			if !ok || wi < first {
				first, ok = wi, true
			}
		}
	}
	return first, ok
}

// Forget drops windows that are long past.
func (bo *Book) Forget(now time.Time) {
	least := bo.At(now) - keptWindows
	for so, ws := range bo.sources {
		for wi := range ws {
			if wi < least {
				delete(ws, wi)
			}
		}
		if len(ws) == 0 {
			delete(bo.sources, so)
		}
	}
}

// Closed is a window whose counts are settled.
type Closed struct {
	Counts Counts `json:"counts"`
	// Sent is set once the platform has accepted them.
	Sent bool `json:"sent,omitempty"`
}

// Ledger holds the windows that were closed, by any holder.
type Ledger map[Window]Closed

// Merge takes in what a record of the store says. The first counts of a window stay.
func (le Ledger) Merge(other Ledger) {
	for wi, cl := range other {
		have, ok := le[wi]
		if !ok {
			le[wi] = cl
			continue
		}
		have.Sent = have.Sent || cl.Sent
		le[wi] = have
	}
}

// Due returns the windows to close now: those that ended settle ago and are not closed,
// from the first one with counts on, and not older than late.
func (le Ledger) Due(bo *Book, now time.Time, settle, late time.Duration) []Window {
	first, ok := bo.First()
	if !ok {
		return nil
	}
	var out []Window
	for wi := max(first, bo.At(now)-keptWindows); !bo.End(wi).Add(settle).After(now); wi++ {
		if _, closed := le[wi]; !closed && now.Sub(bo.End(wi)) < late {
			out = append(out, wi)
		}
	}
	return out
}

// Unsent returns the closed windows that the platform has not accepted, oldest first.
func (le Ledger) Unsent() []Window {
	var out []Window
	for wi, cl := range le {
		if !cl.Sent {
			out = append(out, wi)
		}
	}
	sort.Slice(out, func(one, two int) bool { return out[one] < out[two] })
	return out
}

// Forget drops windows that are long past.
func (le Ledger) Forget(least Window) {
	for wi := range le {
		if wi < least {
			delete(le, wi)
		}
	}
}
