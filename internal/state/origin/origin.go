// Package origin keeps the software version at which each stream began. What two versions write
// does not fit together, so a stream that breaks off may go on only at a server of the version
// that began it, whichever node its caller takes it up at.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package origin

import (
	"time"

	"lycheepick/internal/rule/units"
)

// Origin is where a stream began.
type Origin struct {
	Service units.TargetID        `json:"service"`
	Version units.SoftwareVersion `json:"version"`
}

// Record is the origin of the stream whose first event a request brought.
type Record struct {
	ID units.RequestID `json:"id"`
	Origin
}

// generationTime is half of the longest time for which a record is kept. Streams last seconds,
// and callers take them up again at once.
const generationTime = 90 * time.Second

// Book holds records for generationTime at least.
type Book struct{ generations[units.RequestID] }

// NewBook returns an empty book.
func NewBook() *Book { return &Book{newGenerations[units.RequestID]()} }

// Add adds a record. The first one for an id is kept, as only one request has it.
func (bo *Book) Add(now time.Time, re Record) { bo.add(now, re.ID, re.Origin) }

// Find returns the origin of the stream whose first event a request brought.
func (bo *Book) Find(now time.Time, id units.RequestID) (Origin, bool) { return bo.find(now, id) }

// Of returns the records of one service.
func (bo *Book) Of(service units.TargetID) []Record {
	var out []Record
	for _, gen := range []map[units.RequestID]Origin{bo.previous, bo.current} {
		for id, og := range gen {
			if og.Service == service {
				out = append(out, Record{ID: id, Origin: og})
			}
		}
	}
	return out
}

// generations holds origins by a key, each for generationTime at least.
type generations[K comparable] struct {
	current, previous map[K]Origin
	rotatedAt         time.Time
}

func newGenerations[K comparable]() generations[K] { return generations[K]{current: map[K]Origin{}} }

// add adds an origin unless the key has one.
func (ge *generations[K]) add(now time.Time, key K, og Origin) {
	if _, ok := ge.find(now, key); !ok {
		ge.current[key] = og
	}
}

func (ge *generations[K]) find(now time.Time, key K) (Origin, bool) {
	ge.rotate(now)
	if og, ok := ge.current[key]; ok {
		return og, true
	}
	og, ok := ge.previous[key]
	return og, ok
}

func (ge *generations[K]) rotate(now time.Time) {
	if now.Sub(ge.rotatedAt) < generationTime {
		return
	}
	ge.previous, ge.current, ge.rotatedAt = ge.current, map[K]Origin{}, now
}

// versionMemory is how long a software version counts that no server has any more. It is longer
// than any stream.
const versionMemory = 10 * time.Minute

// Versions holds which software versions the servers of each service have had lately.
type Versions struct {
	seen map[units.TargetID]map[units.SoftwareVersion]time.Time
}

// NewVersions returns an empty list.
func NewVersions() *Versions {
	return &Versions{seen: map[units.TargetID]map[units.SoftwareVersion]time.Time{}}
}

// Ages holds, for software versions, the time since a server last had them.
type Ages map[units.SoftwareVersion]time.Duration

// See records that a server had a software version at a time.
func (ve *Versions) See(at time.Time, service units.TargetID, version units.SoftwareVersion) {
	if ve.seen[service] == nil {
		ve.seen[service] = map[units.SoftwareVersion]time.Time{}
	}
	if at.After(ve.seen[service][version]) {
		ve.seen[service][version] = at
	}
}

// Merge records the versions that a peer reports.
func (ve *Versions) Merge(now time.Time, reported map[units.TargetID]Ages) {
	for service, ages := range reported {
		for version, age := range ages {
			ve.See(now.Add(-age), service, version)
		}
	}
}

// Only returns the version of a service if all its servers have had the same one.
func (ve *Versions) Only(now time.Time, service units.TargetID) (units.SoftwareVersion, bool) {
	list := ve.of(now, service)
	if len(list) != 1 {
		return "", false
	}
	return list[0], true
}

// Several returns the versions of the services that have had more than one, to report to peers.
func (ve *Versions) Several(now time.Time) map[units.TargetID]Ages { return ve.atLeast(now, 2) }

// All returns the versions of all services.
func (ve *Versions) All(now time.Time) map[units.TargetID]Ages { return ve.atLeast(now, 1) }

func (ve *Versions) atLeast(now time.Time, count int) map[units.TargetID]Ages {
	out := map[units.TargetID]Ages{}
	for id := range ve.seen {
		list := ve.of(now, id)
		if len(list) < count {
			continue
		}
		out[id] = Ages{}
		for _, version := range list {
			out[id][version] = now.Sub(ve.seen[id][version])
		}
	}
	return out
}

func (ve *Versions) of(now time.Time, service units.TargetID) []units.SoftwareVersion {
	var out []units.SoftwareVersion
	for version, at := range ve.seen[service] {
		if now.Sub(at) > versionMemory {
			delete(ve.seen[service], version)
			continue
		}
		out = append(out, version)
	}
	return out
}
