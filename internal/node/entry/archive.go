package entry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/origin"
)

const (
	// originsStream holds batches of origins of the services that have had several software versions,
	// for streams whose callers take them up after all nodes have restarted.
	originsStream stream.Name = "origins"
	// archiveBatchTime is the time for which a node collects origins for the node that writes them, and
	// archiveWriteTime that for which the writer collects those of all nodes. What begins in the
	// sum of both before all nodes lose power is not archived.
	archiveBatchTime = 50 * time.Millisecond
	archiveWriteTime = 100 * time.Millisecond
	// nodesPerWriter bounds the nodes that hand origins to one writer.
	nodesPerWriter = 64
	// writerTries is the number of nodes that are asked to write until a node writes itself.
	writerTries = 2
	// archiveQueue bounds the origins that wait to be handed over or written.
	archiveQueue = 8192
	// archiveWriteTries bounds the attempts to write a batch. They cover an outage of the store for as
	// long as a stream may last.
	archiveWriteTries = 60
	// archiveReadPeriod is the shortest time between two reads, and archiveReadTimeout bounds the time for
	// which a request waits for one.
	archiveReadPeriod  = 100 * time.Millisecond
	archiveReadTimeout = 1500 * time.Millisecond
	// archiveTail is the number of batches at the end of the stream that are read by a node that has read
	// none: those of nodes in the time that a stream may last.
	archiveTail units.Offset = 1024
)

// archive writes the origins of streams to the platform's store, a few nodes for all, and reads them
// when a caller takes up a stream of which no node knows the beginning.
type archive struct {
	no *Node
	// collected holds the origins of this node, received those that it has to write for others.
	collected, received chan origin.Record

	// reading is held by the request that reads the store. It guards the fields below.
	reading chan struct{}
	next    units.Offset
	readAt  time.Time

	mu   sync.Mutex // Guards book.
	book *origin.Archive
}

func newArchive(no *Node) *archive {
	return &archive{
		no: no, collected: make(chan origin.Record, archiveQueue), received: make(chan origin.Record, archiveQueue),
		reading: make(chan struct{}, 1), book: origin.NewArchive(),
	}
}

// put queues origins. Those that don't fit are known to nodes alone.
func (ar *archive) put(queue chan origin.Record, list ...origin.Record) {
	for idx, re := range list {
		select {
		case queue <- re:
		default:
			ar.no.log.Warn("origins_not_archived", zap.Int("count", len(list)-idx), zap.String("reason", "queue is full"))
			return
		}
	}
}

// drain returns the origins in a queue.
func drain(queue chan origin.Record) (out []origin.Record) {
	for len(queue) > 0 {
		out = append(out, <-queue)
	}
	return out
}

// handOver hands this node's origins to the node that writes them until ctx ends.
func (ar *archive) handOver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case re := <-ar.collected:
			pause.For(ctx, archiveBatchTime)
			ar.send(ctx, append(drain(ar.collected), re))
		}
	}
}

// send hands origins to the nodes that may write them, one after the other, until one takes them.
func (ar *archive) send(ctx context.Context, list []origin.Record) {
	for _, pe := range ar.writers() {
		re, err := ar.no.peerClient.Origins(ctx, pe.Address, &pulse.OriginsRequest{Records: list, Archive: true})
		if err == nil && re.Archived {
			return
		}
	}
	ar.put(ar.received, list...)
}

// writers returns the nodes to ask to write this node's origins. There are none if it ranks first.
func (ar *archive) writers() (out []pulse.Peer) {
	no := ar.no
	no.mu.Lock()
	defer no.mu.Unlock()
	groups := 1 + uint64(len(no.peers))/nodesPerWriter
	key := "origins " + strconv.FormatUint(origin.Spread(no.settings.VM.ID, groups), 10)
	for _, id := range no.members.Nearest(time.Now(), key, writerTries) {
		pe := no.peers[id]
		if pe == nil {
			break
		}
		out = append(out, pulse.Peer{Node: id, Address: pe.address})
	}
	return out
}

// write writes the origins that this node has received to the store until ctx ends.
func (ar *archive) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case re := <-ar.received:
			pause.For(ctx, archiveWriteTime)
			ar.append(ctx, append(drain(ar.received), re))
		}
	}
}

// append writes a batch. A second write of it does no harm, so that a lost answer is one more reason to
// try again.
func (ar *archive) append(ctx context.Context, list []origin.Record) {
	raw, err := origin.EncodeBatch(list)
	if err != nil {
		ar.no.log.Error("origins_not_encoded", zap.Error(err))
		return
	}
	for try := 0; try < archiveWriteTries; try++ {
		if _, err = ar.no.platform.Store.Append(ctx, originsStream, stream.Unconditional, raw); err == nil {
			return
		}
		if !pause.For(ctx, storeRetryDelay) {
			return
		}
	}
	ar.no.log.Warn("origins_not_archived", zap.Int("count", len(list)), zap.Error(err))
}

// recall returns an origin that was archived. It reads what was written since the last read if it
// doesn't know the origin.
func (ar *archive) recall(ctx context.Context, id units.RequestID) (origin.Origin, bool) {
	asked := time.Now()
	if og, ok := ar.find(id); ok {
		return og, true
	}
	if ar.no.storeHealth.isLost() {
		return origin.Origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, archiveReadTimeout)
	defer cancel()
	select {
	case ar.reading <- struct{}{}:
		defer func() { <-ar.reading }()
	case <-ctx.Done():
		return origin.Origin{}, false
	}
	if og, ok := ar.find(id); ok || ar.readAt.After(asked) {
		return og, ok
	}
	if !pause.For(ctx, archiveReadPeriod-time.Since(ar.readAt)) {
		return origin.Origin{}, false
	}
	ar.readAt = time.Now()
	if err := ar.readAll(ctx); err != nil {
		ar.readAt = time.Time{} // The requests that wait read for themselves.
		ar.no.log.Info("origins_not_read", zap.Int64("offset", int64(ar.next)), zap.Error(err))
		return origin.Origin{}, false
	}
	return ar.find(id)
}

func (ar *archive) find(id units.RequestID) (origin.Origin, bool) {
	ar.mu.Lock()
	defer ar.mu.Unlock()
	return ar.book.Find(time.Now(), id)
}

// readAll reads the batches that were written since the last read.
func (ar *archive) readAll(ctx context.Context) error {
	for {
		from := ar.next
		page, err := ar.no.platform.Store.Read(ctx, originsStream, from, 0)
		if fault.Is(err, stream.KindExpired) && page.First != from {
			ar.next = page.First // Older batches were deleted, or the store came back from an older copy.
			continue
		}
		if err != nil {
			return err
		}
		if tail := page.End - archiveTail; from == 0 && tail > 0 {
			ar.next = max(page.First, tail)
			continue
		}
		ar.add(page.Records)
		ar.next = page.From + units.Offset(len(page.Records))
		if ar.next >= page.End || len(page.Records) == 0 {
			return nil
		}
	}
}

func (ar *archive) add(batches [][]byte) {
	now := time.Now()
	ar.mu.Lock()
	defer ar.mu.Unlock()
	for _, raw := range batches {
		if err := ar.book.AddBatch(now, raw); err != nil {
			ar.no.log.Warn("origins_unreadable", zap.Error(err))
		}
	}
}
