package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
)

// contact is what the readers of the store know together of whether it is reached. A
// read that waits on a connection that has gone silent would notice seconds later.
type contact struct {
	mu    sync.Mutex
	lost  bool
	reads map[int]context.CancelFunc
	next  int
	// turns counts losses and returns; peers are told, since their reads may hang too.
	turns int64
}

// wait returns how long the next read may wait for records: none while the store is lost,
// so that its return is noticed by the first answer.
func (co *contact) wait(usual time.Duration) time.Duration {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.lost {
		return 0
	}
	return usual
}

// restart ends all reads, so that they begin anew on other connections.
func (co *contact) restart() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.endReads()
}

func (co *contact) endReads() {
	for id, cancel := range co.reads {
		cancel()
		delete(co.reads, id)
	}
}

// count returns the number of losses and returns so far.
func (co *contact) count() int64 {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.turns
}

// read makes one read of the store, which ends early when another reader finds the store
// lost or back. stale is set if it did.
func (no *Node) read(ctx context.Context, what string, task func(context.Context) error) (stale bool, err error) {
	co := &no.contact
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	co.mu.Lock()
	id := co.next
	co.next++
	co.reads[id] = cancel
	co.mu.Unlock()
	err = task(ctx)
	co.mu.Lock()
	delete(co.reads, id)
	co.mu.Unlock()
	if ctx.Err() != nil {
		return true, nil
	}
	no.noteStore(what, err)
	return false, err
}

// noteStore notes whether a reader reached the store, and logs each loss and return.
func (no *Node) noteStore(what string, err error) {
	co := &no.contact
	co.mu.Lock()
	if co.lost == (err != nil) {
		co.mu.Unlock()
		return
	}
	co.lost = err != nil
	co.turns++
	co.endReads()
	co.mu.Unlock()
	no.mu.Lock()
	defer no.mu.Unlock()
	if err != nil {
		no.servers.StoreDown(time.Now())
		no.log.Warn("store_lost", zap.String("reader", what), zap.Error(err))
		return
	}
	no.servers.StoreUp(time.Now())
	no.log.Info("store_back", zap.String("reader", what))
}
