package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"lycheepick/internal/plat/stream"
)

// lockedSource is a source of random numbers for disruptions that run beside each other.
type lockedSource struct {
	mu  sync.Mutex
	src rand.Source
}

// Uint64 implements rand.Source.
func (ls *lockedSource) Uint64() uint64 {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	return ls.src.Uint64()
}

// each calls do for the readers if they are wanted, and for a share of the others.
func (fl *reachFleet) each(readers bool, share float64, do func(*reachNode)) {
	for _, no := range fl.nodes {
		nd := no.node()
		nd.mu.Lock()
		isReader := nd.watch.IsReader()
		nd.mu.Unlock()
		if isReader && readers || !isReader && fl.rnd.Float64() < share {
			do(no)
		}
	}
}

// disturb changes a node's state. It is in touch again some time after until.
func (no *reachNode) disturb(until time.Time, change func()) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.since = until
	change()
}

func freeze(du time.Duration) func(*reachNode) {
	return func(no *reachNode) {
		until := time.Now().Add(du)
		no.disturb(until, func() { no.frozenTo = until })
	}
}

func kill(no *reachNode) {
	no.disturb(time.Now().Add(time.Hour), func() {
		no.dead = true
		no.stop()
	})
}

// loseAnswers makes the answers to reads of a stream that wait now get lost on their connections.
func loseAnswers(na stream.Name) func(*reachNode) {
	return func(no *reachNode) { no.disturb(time.Now(), func() { no.lostBefore[na] = time.Now() }) }
}

// delay makes the answers of the store late for a node.
func delay(by, du time.Duration) func(*reachNode) {
	return func(no *reachNode) {
		no.disturb(time.Now().Add(du), func() { no.lateBy = by })
		time.AfterFunc(du, func() { no.disturb(time.Now(), func() { no.lateBy = 0 }) })
	}
}

// silence makes the store silent for a node.
func silence(du time.Duration) func(*reachNode) {
	return func(no *reachNode) {
		until := time.Now().Add(du)
		no.disturb(until, func() { no.silentTo = until })
	}
}

// deafen makes a node's listener for peers take no connection. The node itself reaches the others.
func deafen(du time.Duration) func(*reachNode) {
	return func(no *reachNode) {
		no.mu.Lock()
		defer no.mu.Unlock()
		no.deafTo = time.Now().Add(du)
	}
}
