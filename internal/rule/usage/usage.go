// Package usage counts the requests that began to run, by customer and time window, over all
// nodes, and closes each window with one set of counts.
//
// Every node counts its own requests since its start. The counts of a node only grow, so
// reports may be lost, duplicated or late. The lease holder records a closed window in the
// platform's store before it reports it, so that a successor reports the same counts. If the store
// loses records, the windows that ended before are reported no more, as an earlier holder may have
// reported them with other counts.
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

// Window numbers a time window, counted from the Unix epoch in steps of the window's length.
type Window int64

// Counts are numbers of requests by customer.
type Counts map[units.CustomerID]int64

// String returns the counts as customer:requests, sorted and separated by commas, for logs.
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

// Source is one incarnation of a node.
type Source struct {
	Node        units.VMID
	Incarnation int64
}

// Key returns the source as node/incarnation, for use as a JSON key.
func (so Source) Key() string { return string(so.Node) + "/" + strconv.FormatInt(so.Incarnation, 10) }

// Counter holds the counts of all sources.
type Counter struct {
	length  time.Duration
	sources map[string]Windows
}

// maxWindows is the number of windows that are kept.
const maxWindows = 12

// NewCounter returns an empty counter with windows of this length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, sources: map[string]Windows{}}
}

// WindowAt returns the window that contains a time.
func (ctr *Counter) WindowAt(at time.Time) Window { return Window(at.UnixNano() / int64(ctr.length)) }

// WindowEnd returns the end of a window, which is the start of the next.
func (ctr *Counter) WindowEnd(wi Window) time.Time {
	return time.Unix(0, (int64(wi)+1)*int64(ctr.length))
}

// Count adds one request of a source to the window that contains at.
func (ctr *Counter) Count(so string, at time.Time, cu units.CustomerID) {
	ctr.counts(so, ctr.WindowAt(at))[cu]++
}

func (ctr *Counter) counts(so string, wi Window) Counts {
	ws := ctr.sources[so]
	if ws == nil {
		ws = Windows{}
		ctr.sources[so] = ws
	}
	co := ws[wi]
	if co == nil {
		co = Counts{}
		ws[wi] = co
	}
	return co
}

// Merge merges the counts that a source reports. Counts never decrease.
func (ctr *Counter) Merge(so string, ws Windows) {
	for wi, counts := range ws {
		have := ctr.counts(so, wi)
		for cu, num := range counts {
			have[cu] = max(have[cu], num)
		}
	}
}

// SourceCounts returns a copy of the counts of one source.
func (ctr *Counter) SourceCounts(so string) Windows { return ctr.sources[so].copy() }

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

// OpenCounts returns a copy of the counts of all sources in the windows that le doesn't close.
func (ctr *Counter) OpenCounts(le Ledger) map[string]Windows {
	out := make(map[string]Windows, len(ctr.sources))
	for so := range ctr.sources {
		open := ctr.SourceCounts(so)
		for wi := range le {
			delete(open, wi)
		}
		if len(open) > 0 {
			out[so] = open
		}
	}
	return out
}

// Total sums a window over all sources.
func (ctr *Counter) Total(wi Window) Counts {
	out := Counts{}
	for _, ws := range ctr.sources {
		for cu, num := range ws[wi] {
			out[cu] += num
		}
	}
	return out
}

// FirstWindow returns the earliest window with counts. ok is false if there is none.
func (ctr *Counter) FirstWindow() (first Window, ok bool) {
	for _, ws := range ctr.sources {
		for wi := range ws {
			if !ok || wi < first {
				first, ok = wi, true
			}
		}
	}
	return first, ok
}

// Prune removes windows older than the last maxWindows.
func (ctr *Counter) Prune(now time.Time) {
	oldest := ctr.WindowAt(now) - maxWindows
	for so, ws := range ctr.sources {
		for wi := range ws {
			if wi < oldest {
				delete(ws, wi)
			}
		}
		if len(ws) == 0 {
			delete(ctr.sources, so)
		}
	}
}

// ClosedWindow is a window whose counts are final.
type ClosedWindow struct {
	Counts Counts `json:"counts"`
	// Sent is set once the platform has accepted them.
	Sent bool `json:"sent,omitempty"`
}

// Ledger holds the closed windows, whichever lease holder closed them.
type Ledger map[Window]ClosedWindow

// Merge merges a record of the store. The first counts of a window stay.
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

// Due returns the windows to close now, from the first one with counts on: those after unsure
// that are not closed yet and ended at least settle and less than late ago.
func (le Ledger) Due(ctr *Counter, unsure Window, now time.Time, settle, late time.Duration) []Window {
	first, ok := ctr.FirstWindow()
	if !ok {
		return nil
	}
	var out []Window
	for wi := max(first, unsure+1, ctr.WindowAt(now)-maxWindows); !ctr.WindowEnd(wi).Add(settle).After(now); wi++ {
		if _, closed := le[wi]; !closed && now.Sub(ctr.WindowEnd(wi)) < late {
			out = append(out, wi)
		}
	}
	return out
}

// Unsent returns the closed windows after unsure that the platform has not accepted, oldest first.
func (le Ledger) Unsent(unsure Window) []Window {
	var out []Window
	for wi, cl := range le {
		if !cl.Sent && wi > unsure {
			out = append(out, wi)
		}
	}
	sort.Slice(out, func(one, two int) bool { return out[one] < out[two] })
	return out
}

// Unsure returns the last window that ended before the store lost records, as of a time at which a
// node knows of that. A holder of the lease may have reported it and those before with counts that only the lost
// records had.
func (ctr *Counter) Unsure(lost time.Time) Window { return ctr.WindowAt(lost) - 1 }

// Prune removes the windows before oldest.
func (le Ledger) Prune(oldest Window) {
	for wi := range le {
		if wi < oldest {
			delete(le, wi)
		}
	}
}
