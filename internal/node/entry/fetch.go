package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"lycheepick/internal/edge/pause"
	"lycheepick/internal/peer/pulse"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

const (
	// maxConfigFetches bounds the exchanges in progress that ask for the configuration. The
	// second one is for a peer that doesn't answer.
	maxConfigFetches = 2
	// fetchHedgeDelay is the time after which a second peer is asked.
	fetchHedgeDelay = 300 * time.Millisecond
	// fetchTimeout is the time after which a fetch is given up for one from another peer.
	fetchTimeout = 700 * time.Millisecond
	// fetchRetryDelay is the pause once all peers with a newer configuration have been asked.
	fetchRetryDelay = 100 * time.Millisecond
	// behindLogDelay is how long a node may know of a newer configuration until it logs that.
	behindLogDelay = time.Second
)

// configFetch is the state of fetching the configuration from peers.
type configFetch struct {
	// news gets an item when a peer reports a newer version.
	news chan struct{}

	mu sync.Mutex
	// heard is the newest version that a peer has reported, and heardAt when one first reported
	// it.
	heard   units.Version
	heardAt time.Time
}

// hear records that a peer reports a version newer than the one in force.
func (cf *configFetch) hear(now time.Time, version units.Version) {
	cf.mu.Lock()
	if version > cf.heard {
		cf.heard, cf.heardAt = version, now
	}
	cf.mu.Unlock()
	select {
	case cf.news <- struct{}{}:
	default:
	}
}

// hearConfig records that a peer has a version of the configuration.
func (no *Node) hearConfig(version units.Version) {
	if version > no.config.Load().version() {
		no.fetch.hear(time.Now(), version)
	}
}

// caughtUp returns the time since a peer first reported a version that comes in force now, 0 if
// none has.
func (cf *configFetch) caughtUp(now time.Time, version units.Version) time.Duration {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	if cf.heard != version {
		return 0
	}
	return now.Sub(cf.heardAt)
}

// behindFor returns the newest version that a peer has reported, and for how long.
func (cf *configFetch) behindFor(now time.Time) (units.Version, time.Duration) {
	cf.mu.Lock()
	defer cf.mu.Unlock()
	return cf.heard, now.Sub(cf.heardAt)
}

// maxBehind is the time after which a version that no peer sends no longer counts.
const maxBehind = 10 * time.Second

// isConfigBehind reports whether a peer has a newer configuration than this node.
func (no *Node) isConfigBehind() bool {
	newest, since := no.fetch.behindFor(time.Now())
	return newest > no.config.Load().version() && since < maxBehind
}

// fetchConfigs fetches each newer configuration that peers report until ctx ends.
func (no *Node) fetchConfigs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-no.fetch.news:
		}
		no.fetchNewest(ctx)
	}
}

// fetchNewest asks peers for the newest configuration, one after the other, until this node has
// it or no peer that is in contact does.
func (no *Node) fetchNewest(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	asked := map[units.VMID]bool{}
	done := make(chan struct{}, maxConfigFetches)
	var active int
	logged := false
	for ctx.Err() == nil {
		if behind, du := no.fetch.behindFor(time.Now()); du > behindLogDelay && !logged && behind > no.config.Load().version() {
			logged = true
			no.log.Warn("config_behind", zap.Uint64("config", uint64(no.config.Load().version())), zap.Uint64("newest", uint64(behind)),
				zap.Duration("since", du), zap.Int("asked", len(asked)), zap.Int("active", active))
		}
		addr, id, left := no.configSource(asked)
		switch {
		case left == 0:
			return
		case id == "" && active == 0:
			clear(asked)
			pause.For(ctx, fetchRetryDelay)
			continue
		case id != "" && active < maxConfigFetches:
			asked[id] = true
			active++
			wg.Go(func() {
				no.fetchFrom(ctx, addr)
				done <- struct{}{}
			})
		}
		hedge := time.NewTimer(fetchHedgeDelay)
		select {
		case <-done:
			active--
		case <-hedge.C:
		case <-ctx.Done():
		}
		hedge.Stop()
	}
}

func (no *Node) fetchFrom(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	no.exchangeWith(ctx, no.peerClient, addr, pulse.ConfigDeflate)
}

// configSource returns a peer that has the newest configuration and has not been asked, and the
// number of peers that have a newer one than this node. Of two at random it takes the one that
// was heard from last, since the other may have stopped.
func (no *Node) configSource(asked map[units.VMID]bool) (addr string, id units.VMID, newer int) {
	no.mu.Lock()
	defer no.mu.Unlock()
	newest := no.config.Load().version() + 1
	var list []units.VMID
	for other, pe := range no.peers {
		if pe.lost || pe.config < newest {
			continue
		}
		if pe.config > newest {
			newest, list, newer = pe.config, list[:0], 0
		}
		newer++
		if !asked[other] {
			list = append(list, other)
		}
	}
	if len(list) == 0 {
		return "", "", newer
	}
	one, two := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	if no.peers[two].lastSeen.After(no.peers[one].lastSeen) {
		one = two
	}
	return no.peers[one].address, one, newer
}

// notePeerConfig takes note of the age of a peer's configuration if it is the one in force here.
// asked is when the peer was asked.
func (no *Node) notePeerConfig(re *pulse.Report, asked time.Time) {
	if re.ConfigAge <= 0 || re.Config != no.config.Load().version() {
		return
	}
	no.mu.Lock()
	defer no.mu.Unlock()
	no.watch.Synced(watch.Config, asked.Add(-re.ConfigAge))
}
