package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/plat/stream"
	"lycheepick/internal/rule/fault"
)

// storeHealth is the reachability of the store, shared by all readers: when one finds that
// the store is lost or back, the other reads are cancelled. A read that waits on a silent
// connection would notice only seconds later.
type storeHealth struct {
	mu     sync.Mutex
	lost   bool
	reads  map[int]context.CancelFunc
	nextID int
	// transitions counts losses and recoveries. It is reported to peers, which then restart
	// their own reads, since these may hang too.
	transitions int64
}

// restartReads cancels all reads, so that the readers retry on new connections.
func (sh *storeHealth) restartReads() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.cancelReads()
}

func (sh *storeHealth) cancelReads() {
	for id, cancel := range sh.reads {
		cancel()
		delete(sh.reads, id)
	}
}

// transitionCount returns the number of losses and recoveries since the start.
func (sh *storeHealth) transitionCount() int64 {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.transitions
}

// storeHedgeDelay is the time after which a read of a lost store is hedged: the store may be back
// while the read hangs on a connection that was cut off. A node on which no other relies waits
// idleHedgeDelay.
const (
	storeHedgeDelay = 300 * time.Millisecond
	idleHedgeDelay  = 1200 * time.Millisecond
)

// hedgeRead asks the store once in a while until ctx ends, and restarts all reads at the first
// answer.
func (no *Node) hedgeRead(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	delay := idleHedgeDelay
	no.mu.Lock()
	if no.watch.IsReader() {
		delay = storeHedgeDelay
	}
	no.mu.Unlock()
	for pause.For(ctx, delay) {
		wg.Go(func() {
			no.mu.Lock()
			next := no.servers.NextOffset()
			no.mu.Unlock()
			_, err := no.platform.Store.Read(ctx, no.platform.ServerStream, next, 0)
			if err == nil || fault.Is(err, stream.KindExpired) {
				no.storeHealth.restartReads()
			}
		})
	}
}

// isLost reports whether the store is lost.
func (sh *storeHealth) isLost() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.lost
}

// readStore runs task, which reads the store. The task is cancelled when another reader finds
// the store lost or back; stale is then true and err nil.
func (no *Node) readStore(ctx context.Context, what string, task func(context.Context) error) (stale bool, err error) {
	sh := &no.storeHealth
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sh.mu.Lock()
	id := sh.nextID
	sh.nextID++
	sh.reads[id] = cancel
	sh.mu.Unlock()
	var wg conc.WaitGroup
	if sh.isLost() {
		wg.Go(func() { no.hedgeRead(ctx) })
	}
	err = task(ctx)
	stale = ctx.Err() != nil
	cancel()
	wg.Wait()
	sh.mu.Lock()
	delete(sh.reads, id)
	sh.mu.Unlock()
	if stale {
		return true, nil
	}
	no.updateStoreHealth(what, err)
	return false, err
}

// updateStoreHealth takes the result of a read and logs each loss and recovery of the store.
func (no *Node) updateStoreHealth(what string, err error) {
	sh := &no.storeHealth
	sh.mu.Lock()
	if sh.lost == (err != nil) {
		sh.mu.Unlock()
		return
	}
	sh.lost = err != nil
	sh.transitions++
	sh.cancelReads()
	sh.mu.Unlock()
	no.mu.Lock()
	defer no.mu.Unlock()
	if err != nil {
		no.servers.StoreDown(time.Now())
		no.log.Warn("store_lost", zap.String("reader", what), zap.Error(err))
		return
	}
	no.servers.StoreUp(time.Now())
	no.log.Info("store_back", zap.String("reader", what), zap.Bool("outage", no.servers.SinceRecovery(time.Now()) > 0))
}
