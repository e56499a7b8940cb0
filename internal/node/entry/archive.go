package entry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
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
	// archiveBacklog bounds the origins that wait to be handed over or written.
	archiveBacklog = 32 << 10
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
	collected, received *backlog

	// reading is held by the request that reads the store. It guards the fields below.
	reading chan struct{}
	next    units.Offset
	era     units.Era // The era of the store to which next belongs.
	readAt  time.Time

	mu   sync.Mutex // Guards book.
	book *origin.Archive
}

func newArchive(no *Node) *archive {
	return &archive{
		no: no, collected: newBacklog(), received: newBacklog(),
		reading: make(chan struct{}, 1), book: origin.NewArchive(),
	}
}

// backlog holds origins until they are sent. It takes memory only while there are any.
type backlog struct {
	mu   sync.Mutex
	list []origin.Record
	// news has an item while there are origins.
	news chan struct{}
}

func newBacklog() *backlog { return &backlog{news: make(chan struct{}, 1)} }

// put adds origins, and returns the number of those that don't fit.
func (bl *backlog) put(list ...origin.Record) (left int) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	fit := min(len(list), archiveBacklog-len(bl.list))
	bl.list = append(bl.list, list[:fit]...)
	select {
	case bl.news <- struct{}{}:
	default:
	}
	return len(list) - fit
}

// take returns all origins and removes them.
func (bl *backlog) take() []origin.Record {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	out := bl.list
	bl.list = nil
	return out
}

// put adds origins to a backlog. Those that don't fit are known to nodes alone.
func (ar *archive) put(bl *backlog, list ...origin.Record) {
	if left := bl.put(list...); left > 0 {
		ar.no.log.Warn("origins_not_archived", zap.Int("count", left), zap.String("reason", "backlog is full"))
	}
}

// each calls do with what has come in a batch time, whenever there are origins, until ctx ends.
func (bl *backlog) each(ctx context.Context, batch time.Duration, do func(context.Context, []origin.Record)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-bl.news:
		}
		pause.For(ctx, batch)
		if list := bl.take(); len(list) > 0 {
			do(ctx, list)
		}
	}
}

// run hands this node's origins to the nodes that write them, and writes those of others, until ctx ends.
func (ar *archive) run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { ar.collected.each(ctx, archiveBatchTime, ar.send) })
	wg.Go(func() { ar.received.each(ctx, archiveWriteTime, ar.append) })
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
		if page.Era != ar.era { // Offsets start anew.
			ar.era, ar.next = page.Era, 0
			if from > 0 {
				continue
			}
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
