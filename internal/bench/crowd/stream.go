package crowd

import (
	"fmt"
	"time"

	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/origin"
)

// Streams describes streams that break off and are taken up again by their callers.
type Streams struct {
	// CutShare is the share of the streams whose connection to the caller breaks.
	CutShare float64
	// FewOf makes only this many servers run the second software version; otherwise every
	// second server does. Replacements of reclaimed servers run the second one.
	FewOf int
	// NoticeAfter is the time from a node's restart until the callers of its streams take them up: a node
	// that has lost power resets no connection, so that they notice by the events that don't come.
	NoticeAfter time.Duration
}

const (
	firstVersion  units.SoftwareVersion = "v1"
	secondVersion units.SoftwareVersion = "v1.1"
	// maxResumeDelay is the longest time after which a caller takes a stream up again.
	maxResumeDelay = 200 * time.Millisecond
	// lostStreams and lostRatio are the bounds of the platform's rule LOST: of so many streams that
	// callers take up again while two servers of their version serve, the share that goes on is
	// not under this part of the share of new streams that begin.
	lostStreams = 12
	lostRatio   = 0.5
	// orderStreams is the bound of the platform's rule ORDER: no more streams than that hold
	// events of two versions.
	orderStreams = 2
)

// StreamResult summarises the streams that callers took up again.
type StreamResult struct {
	// Mixed counts the streams that hold events of two software versions.
	Mixed int
	// Resumed counts the attempts to take a stream up at a node in touch while two servers of its
	// version served, WentOn those of them that did.
	Resumed, WentOn int
	// New and Begun are the same for new streams.
	New, Begun int
}

// Broken returns the rules that are broken.
func (sr *StreamResult) Broken() []string {
	var out []string
	if sr.Mixed > orderStreams {
		out = append(out, "ORDER")
	}
	if sr.Resumed >= lostStreams && sr.New > 0 {
		if share := float64(sr.WentOn) / float64(sr.Resumed); share < lostRatio*float64(sr.Begun)/float64(sr.New) {
			out = append(out, "LOST")
		}
	}
	return out
}

// stream is a stream over all attempts of its caller.
type stream struct {
	// first is the attempt that brought the first event, version that of its server.
	first   units.RequestID
	version units.SoftwareVersion
	mixed   bool
}

// softwareVersion returns the software version of a server.
func (ru *run) softwareVersion(en *engine) units.SoftwareVersion {
	second := en.num%2 == 1
	if ru.Load.Streams.FewOf > 0 {
		second = en.num < ru.Load.Streams.FewOf
	}
	if second || en.incarnation > 1 {
		return secondVersion
	}
	return firstVersion
}

// servesVersion reports whether two servers of a software version serve.
func (ru *run) servesVersion(version units.SoftwareVersion) bool {
	count := 0
	for _, en := range ru.engines {
		if !en.dead && !en.leaving && ru.softwareVersion(en) == version {
			count++
		}
	}
	return count >= 2
}

// beginStream records that events of the request's server reach the caller.
func (rq *request) beginStream() {
	ru := rq.ru
	if rq.node.down() { // Its callers get nothing until it has restarted, and the request ends then.
		return
	}
	version := ru.softwareVersion(rq.engine)
	switch {
	case rq.stream == nil:
		rq.stream = &stream{first: rq.id, version: version}
		if ru.rnd.Float64() < ru.Load.Streams.CutShare {
			ru.scheduleAfter(time.Duration(ru.rnd.Float64()*float64(tokenTime*outputTokens)), rq.cut)
		}
	case rq.stream.version != version && !rq.stream.mixed:
		rq.stream.mixed = true
		ru.result.Streams.Mixed++
	}
	rq.keepVersion(version)
	if rq.counts {
		*rq.streamCount(&ru.result.Streams.WentOn, &ru.result.Streams.Begun)++
		rq.counts = false
	}
}

// streamCount returns the count for a stream that is taken up again or for a new one.
func (rq *request) streamCount(resumed, fresh *int) *int {
	if rq.resumes != "" {
		return resumed
	}
	return fresh
}

// cut breaks the caller's connection. The caller takes the stream up again at another node.
func (rq *request) cut() {
	if _, ok := rq.engine.running[rq]; !ok {
		return
	}
	rq.attemptEnded(place.Canceled)
	rq.resume()
}

// resume sends a new attempt of the caller, which names the one that brought the first event.
func (rq *request) resume() { rq.resumeAfter(0) }

// resumeAfter does so some time from now.
func (rq *request) resumeAfter(after time.Duration) {
	ru := rq.ru
	again := &request{ru: ru, customer: rq.customer, ask: rq.ask, stream: rq.stream, resumes: rq.stream.first, counted: true, callerTries: 1}
	again.ask.Avoid, again.ask.Version = nil, nil
	ru.scheduleAfter(after+time.Duration(ru.rnd.Float64()*float64(maxResumeDelay)), func() {
		again.at = ru.now
		again.setID()
		no := ru.nodes[ru.rnd.IntN(len(ru.nodes))]
		if no.down() {
			no = ru.arrivalNode()
		}
		no.serve(again)
	})
}

// loseStreams ends the streams of a node that loses power. Their callers take them up again after a
// time.
func (no *node) loseStreams(noticeAfter time.Duration) {
	for _, en := range no.ru.engines {
		for _, rq := range en.inOrder() {
			if rq.node == no && rq.stream != nil {
				delete(en.running, rq)
				rq.resumeAfter(noticeAfter)
			}
		}
	}
}

// setID gives the attempt its id.
func (rq *request) setID() {
	rq.ru.lastRequest++
	rq.id = units.RequestID(fmt.Sprintf("%08x", rq.ru.lastRequest*0x9e3779b1%(1<<32)))
}

// countArrival counts an attempt that reaches a node in touch.
func (rq *request) countArrival(no *node) {
	if no.excused(rq.ru.now) || (rq.resumes != "" && !rq.ru.servesVersion(rq.stream.version)) {
		return
	}
	rq.counts = true
	*rq.streamCount(&rq.ru.result.Streams.Resumed, &rq.ru.result.Streams.New)++
}

// The relay's handling of origins, in the virtual time of the model.
const (
	originCopies, originLookups       = 2, 6
	originBatchTime, originRetryDelay = 10 * time.Millisecond, 40 * time.Millisecond
)

// keepVersion makes the rest of a stream come from servers of one software version, and hands
// its origin to the nodes that keep it.
func (rq *request) keepVersion(version units.SoftwareVersion) {
	ru, no := rq.ru, rq.node
	if ru.Load.Streams.CutShare == 0 {
		return
	}
	if rq.ask.Version == nil {
		rq.ask.Version = &version
	}
	re := origin.Record{ID: rq.id, Origin: origin.Origin{Version: *rq.ask.Version}}
	if rq.resumes != "" {
		re.ID = rq.resumes
	}
	no.origins.Add(ru.now, re)
	incarnation := no.incarnation
	ru.scheduleAfter(originBatchTime, func() {
		if no.incarnation != incarnation || no.down() {
			return
		}
		for _, id := range no.members.Nearest(ru.now, string(re.ID), originCopies) {
			if to := ru.byID[id]; !no.isolated() && !to.isolated() {
				ru.scheduleAfter(roundTrip/2, func() { to.origins.Add(ru.now, re) })
			}
		}
	})
	no.archive(re)
}

// The times of the archive: from the first event of a stream until its origin is in the store, and
// of a read of the store.
const (
	archiveTime     = 150 * time.Millisecond
	archiveReadTime = 10 * time.Millisecond
)

// archive writes an origin to the store, unless the node ends before that.
func (no *node) archive(re origin.Record) {
	ru, incarnation := no.ru, no.incarnation
	ru.scheduleAfter(archiveTime, func() {
		if no.incarnation != incarnation || no.down() {
			return
		}
		raw, err := origin.EncodeBatch([]origin.Record{re})
		if err == nil {
			err = ru.archive.AddBatch(ru.now, raw)
		}
		if err != nil {
			panic(err) // A batch of this program is always readable.
		}
	})
}

// recall looks an origin up in the store.
func (no *node) recall(rq *request, done func(found bool)) {
	no.ru.scheduleAfter(archiveReadTime, func() {
		og, found := no.ru.archive.Find(no.ru.now, rq.resumes)
		if found {
			rq.ask.Version = &og.Version
		}
		done(found)
	})
}

// locate finds the software version at which a stream began and passes on whether it is known.
func (no *node) locate(rq *request, done func(found bool)) {
	no.lookUp(rq, func(found bool) {
		if found {
			done(true)
			return
		}
		no.ru.scheduleAfter(originRetryDelay, func() {
			no.lookUp(rq, func(found bool) {
				if version, only := no.versions.Only(no.ru.now, ""); only && !found {
					rq.ask.Version, found = &version, true
				}
				if !found {
					no.recall(rq, done)
					return
				}
				done(true)
			})
		})
	})
}

// lookUp looks a stream's origin up at this node and at those nearest to its id.
func (no *node) lookUp(rq *request, done func(found bool)) {
	ru := no.ru
	if og, ok := no.origins.Find(ru.now, rq.resumes); ok {
		rq.ask.Version = &og.Version
		done(true)
		return
	}
	ru.scheduleAfter(roundTrip, func() {
		for _, id := range no.members.Nearest(ru.now, string(rq.resumes), originLookups) {
			to := ru.byID[id]
			if no.isolated() || to.isolated() {
				continue
			}
			if og, ok := to.origins.Find(ru.now, rq.resumes); ok {
				rq.ask.Version = &og.Version
				done(true)
				return
			}
		}
		done(false)
	})
}
