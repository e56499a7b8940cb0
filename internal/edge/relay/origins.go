package relay

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/origin"
	"lycheepick/internal/state/routes"
)

// Origins keeps where streams began, also for the other nodes.
type Origins interface {
	// Record keeps the origin of a stream. several is set if its service has had several software
	// versions, so that other nodes have to keep it too.
	Record(re origin.Record, several bool)
	// Find returns the origin of the stream whose first event a request brought, to this node
	// or to another one. answered is set if the nodes that would have it were asked and answered.
	Find(context.Context, units.RequestID) (og origin.Origin, found, answered bool)
	// Recall returns the origin of a stream that no node knows any more, if it was archived.
	Recall(context.Context, units.RequestID) (og origin.Origin, found bool)
}

// localOrigins keeps what this node has seen.
type localOrigins struct {
	mu   sync.Mutex
	book *origin.Book
}

func newLocalOrigins() *localOrigins { return &localOrigins{book: origin.NewBook()} }

// Record implements Origins.
func (lo *localOrigins) Record(re origin.Record, _ bool) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.book.Add(time.Now(), re)
}

// Find implements Origins.
func (lo *localOrigins) Find(_ context.Context, id units.RequestID) (og origin.Origin, found, answered bool) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	og, found = lo.book.Find(time.Now(), id)
	return og, found, true
}

// Recall implements Origins.
func (lo *localOrigins) Recall(context.Context, units.RequestID) (og origin.Origin, found bool) {
	return origin.Origin{}, false
}

// locate finds the software version at which a stream began that the caller takes up again, and
// sets the service. It returns false if the version is not known.
func (ru *run) locate(ctx context.Context) bool {
	rq := ru.rq
	if rq.Resumes == "" {
		return ru.takeOnlyVersion()
	}
	og, found, answered := ru.rl.Origins.Find(ctx, rq.Resumes)
	if !found && !ru.rl.hadSeveralVersions(rq.Service) && (answered || ru.awaitList(ctx)) && ru.takeOnlyVersion() {
		return true
	}
	if !found {
		og, found = ru.rl.Origins.Recall(ctx, rq.Resumes)
	}
	if !found || !sendsTo(rq.Route, og.Service) {
		return false
	}
	ru.ask.Version, rq.Service = &og.Version, og.Service
	return true
}

// takeOnlyVersion makes the request go on at the only software version that can have begun its
// stream. It returns false if there may have been several.
func (ru *run) takeOnlyVersion() bool {
	version, only := ru.rl.onlyVersion(time.Now(), ru.rq)
	if only {
		ru.ask.Version = &version
	}
	return only
}

// hadSeveralVersions reports whether the servers of a service are known to have had several software
// versions.
func (rl *Relay) hadSeveralVersions(service units.TargetID) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := time.Now()
	rl.seeVersions(now)
	return len(rl.versions.Several(now)[service]) > 0
}

// maxListWait bounds the time for which a request waits for a list of servers that is newer than itself.
const maxListWait = 1500 * time.Millisecond

// awaitList waits until the list of servers has matched the store since the request came. A server of
// another software version may have joined, and begun the stream, up to then; an older list doesn't show
// it. It returns false if that takes too long.
func (ru *run) awaitList(ctx context.Context) bool {
	const step = 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, min(maxListWait, time.Until(ru.rq.Deadline)/3))
	defer cancel()
	for !time.Unix(0, ru.rl.syncedAt.Load()).After(ru.rq.Arrived) {
		if !pause.For(ctx, step) {
			return false
		}
	}
	return true
}

// maxVersionAge is the age of the list of servers from which on this node may have missed a new
// software version.
const maxVersionAge = 3 * time.Second

// onlyVersion returns the software version of a service if all its servers have had the same one.
// Callers that don't name the request to resume are of deployments that have one.
func (rl *Relay) onlyVersion(now time.Time, rq *Request) (units.SoftwareVersion, bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.seeVersions(now)
	version, only := rl.versions.Only(now, rq.Service)
	if rq.Resumes != "" && rl.awaitsVersions.Load() {
		only = false
	}
	if rq.Resumes != "" && now.Sub(time.Unix(0, rl.syncedAt.Load())) > maxVersionAge {
		only = false
	}
	return version, only
}

// AwaitVersions makes the relay take no stream up at the only version that it knows until
// RestoreVersions tells it of those before its start.
func (rl *Relay) AwaitVersions() { rl.awaitsVersions.Store(true) }

// RestoreVersions merges the software versions that servers had before this node's start.
func (rl *Relay) RestoreVersions(now time.Time, ages map[units.TargetID]origin.Ages) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.versions.Merge(now, ages)
	rl.awaitsVersions.Store(false)
}

// Versions returns the software versions that servers have had lately.
func (rl *Relay) Versions(now time.Time) map[units.TargetID]origin.Ages {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.seeVersions(now)
	return rl.versions.All(now)
}

// seeVersions records the software versions of the servers in the list. The caller holds rl.mu.
func (rl *Relay) seeVersions(now time.Time) {
	for id, se := range rl.fleets {
		for _, version := range se.fleet.Versions() {
			rl.versions.See(now, id, version)
		}
	}
}

// ServicesWithVersions returns the services whose servers have had several software versions.
func (rl *Relay) ServicesWithVersions(now time.Time) []units.TargetID {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.seeVersions(now)
	return slices.Collect(maps.Keys(rl.versions.Several(now)))
}

// sendsTo reports whether a route sends requests to a service.
func sendsTo(ro *routes.Route, service units.TargetID) bool {
	for _, sp := range ro.TrafficSplit {
		if sp.Service == service {
			return true
		}
	}
	return false
}

// keepVersion makes the rest of a stream come from servers of the software version that sent its
// first event, and records it for nodes at which the caller may take the stream up again.
func (ru *run) keepVersion(pi *picked) {
	rq := ru.rq
	if rq.Route.RetryPolicy != routes.Resumable {
		return
	}
	if ru.ask.Version == nil {
		ru.ask.Version = &pi.Server.Version
	}
	id := rq.ID
	if rq.LastEvent != "" {
		id = rq.Resumes
	}
	if id != "" {
		_, only := ru.rl.onlyVersion(time.Now(), &Request{Service: rq.Service})
		ru.rl.Origins.Record(origin.Record{ID: id, Origin: origin.Origin{Service: rq.Service, Version: *ru.ask.Version}}, !only)
	}
}
