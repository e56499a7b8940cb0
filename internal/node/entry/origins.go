package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/origin"
)

const (
	// originCopies is the number of nodes that keep the origin of a stream, beside the node at
	// which it began: one of them may end together with that one.
	originCopies = 2
	// originLookups is the number of nodes that are asked for an origin. It is higher, since nodes
	// that know different peers choose different ones.
	originLookups = 6
	// originBatchTime is the time for which origins are collected to be sent together, and
	// originRetryDelay that after which an origin is looked up again, which may be on its way.
	originBatchTime  = 10 * time.Millisecond
	originRetryDelay = 40 * time.Millisecond
	// originAskTimeout is how long the nodes that are asked have to answer.
	originAskTimeout = 300 * time.Millisecond
	// originQueue bounds the origins that wait to be sent.
	originQueue = 4096
)

// origins keeps the origins of streams together with the other nodes: each origin is kept by the
// node at which the stream began and, from the time at which its service has servers of several
// software versions, by the nodes nearest to its id and in the archive. It implements relay.Origins.
type origins struct {
	no      *Node
	archive *archive
	queue   chan origin.Record

	mu   sync.Mutex
	book *origin.Book
	// shared holds the services whose origins other nodes keep too.
	shared map[units.TargetID]bool
}

func newOrigins(no *Node) *origins {
	return &origins{no: no, archive: newArchive(no), queue: make(chan origin.Record, originQueue), book: origin.NewBook(), shared: map[units.TargetID]bool{}}
}

// Record implements relay.Origins.
func (og *origins) Record(re origin.Record, several bool) {
	og.mu.Lock()
	shared := og.shared[re.Service]
	og.mu.Unlock()
	og.add(re)
	switch {
	case shared:
		og.enqueue(re)
	case several:
		og.share([]units.TargetID{re.Service})
	}
}

func (og *origins) enqueue(list ...origin.Record) {
	og.archive.put(og.archive.collected, list...)
	for _, re := range list {
		select {
		case og.queue <- re:
		default:
			og.no.log.Warn("origin_not_sent", zap.String("request", string(re.ID)))
		}
	}
}

// share starts to share the origins of these services, also those of the streams that began
// before.
func (og *origins) share(services []units.TargetID) {
	og.mu.Lock()
	defer og.mu.Unlock()
	for _, id := range services {
		if !og.shared[id] {
			og.shared[id] = true
			og.enqueue(og.book.Of(id)...)
		}
	}
}

func (og *origins) add(list ...origin.Record) {
	now := time.Now()
	og.mu.Lock()
	defer og.mu.Unlock()
	for _, re := range list {
		og.book.Add(now, re)
	}
}

func (og *origins) find(id units.RequestID) (origin.Origin, bool) {
	og.mu.Lock()
	defer og.mu.Unlock()
	return og.book.Find(time.Now(), id)
}

// Find implements relay.Origins.
func (og *origins) Find(ctx context.Context, id units.RequestID) (out origin.Origin, found, answered bool) {
	if out, found = og.find(id); found {
		return out, true, true
	}
	if out, found, _ = og.ask(ctx, id); found {
		return out, true, true
	}
	if !pause.For(ctx, originRetryDelay) {
		return origin.Origin{}, false, false
	}
	return og.ask(ctx, id)
}

// Recall implements relay.Origins.
func (og *origins) Recall(ctx context.Context, id units.RequestID) (origin.Origin, bool) {
	return og.archive.recall(ctx, id)
}

// ask asks the nodes nearest to an id for its origin and returns the first answer that has it. answered
// is set if at most one of them gave no answer, and as many did as keep an origin.
func (og *origins) ask(ctx context.Context, id units.RequestID) (out origin.Origin, found, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, originAskTimeout)
	defer cancel()
	peers := og.no.nearestPeers(id, originLookups)
	replies := make(chan *pulse.OriginsReply, len(peers))
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, pe := range peers {
		wg.Go(func() {
			re, err := og.no.peerClient.Origins(ctx, pe.Address, &pulse.OriginsRequest{Find: id})
			if err != nil {
				re = nil
			}
			replies <- re
		})
	}
	count := 0
	for range peers {
		re := <-replies
		if re == nil {
			continue
		}
		if re.Origin != nil {
			og.add(origin.Record{ID: id, Origin: *re.Origin})
			cancel()
			return *re.Origin, true, true
		}
		count++
	}
	return origin.Origin{}, false, count >= max(1, min(originCopies, og.no.knownPeers()), len(peers)-1)
}

// knownPeers returns the number of nodes that this one knows, also those that it doesn't reach.
func (no *Node) knownPeers() int {
	no.mu.Lock()
	defer no.mu.Unlock()
	return len(no.peers)
}

// nearestPeers returns those of the count nodes nearest to an id that are not this one.
func (no *Node) nearestPeers(id units.RequestID, count int) []pulse.Peer {
	no.mu.Lock()
	defer no.mu.Unlock()
	var out []pulse.Peer
	for _, node := range no.members.Nearest(time.Now(), string(id), count) {
		if pe := no.peers[node]; pe != nil {
			out = append(out, pulse.Peer{Node: node, Address: pe.address})
		}
	}
	return out
}

// run sends origins to the nodes that keep them until ctx ends.
func (og *origins) run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { og.archive.run(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case re := <-og.queue:
			batches := map[pulse.Peer][]origin.Record{}
			og.assign(batches, re)
			pause.For(ctx, originBatchTime)
			for len(og.queue) > 0 {
				og.assign(batches, <-og.queue)
			}
			for pe, list := range batches {
				wg.Go(func() { og.send(ctx, pe, list) })
			}
		}
	}
}

func (og *origins) assign(batches map[pulse.Peer][]origin.Record, re origin.Record) {
	for _, pe := range og.no.nearestPeers(re.ID, originCopies) {
		batches[pe] = append(batches[pe], re)
	}
}

func (og *origins) send(ctx context.Context, pe pulse.Peer, list []origin.Record) {
	if _, err := og.no.peerClient.Origins(ctx, pe.Address, &pulse.OriginsRequest{Records: list}); err != nil {
		og.no.log.Debug("origins_not_sent", zap.String("peer", string(pe.Node)), zap.Int("count", len(list)), zap.Error(err))
	}
}

// Origins implements pulse.Handler.
func (no *Node) Origins(rq *pulse.OriginsRequest) *pulse.OriginsReply {
	no.origins.add(rq.Records...)
	re := &pulse.OriginsReply{Archived: rq.Archive}
	if rq.Archive {
		no.origins.archive.put(no.origins.archive.received, rq.Records...)
	}
	if rq.Find != "" {
		if found, ok := no.origins.find(rq.Find); ok {
			re.Origin = &found
		}
	}
	return re
}
