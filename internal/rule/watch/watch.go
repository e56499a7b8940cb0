// Package watch selects the nodes that read the platform's streams on behalf of all nodes, and
// the peers that a node exchanges state with in each gossip round. It also gives the time after
// which a peer counts as silent.
//
// Every backend server renews its record about once a second, and each renewal completes the
// pending long poll of every reader. If all nodes read, the calls to the store grow with nodes
// times servers. So a few nodes read, the others learn the state from them by gossip, and a
// node reads for itself only while its state is stale.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package watch

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/units"
)

const (
	// minReaders is the number of readers in a small fleet. Two may be unreachable or
	// restarting at once, and the others still receive every change at once.
	minReaders = 4
	// nodesPerReader bounds the nodes that query one reader, so that a reader's work doesn't
	// grow with the fleet.
	nodesPerReader = 16
	// staleTimeout is the age of its state from which on a node reads for itself: three failed
	// exchanges, and well under the seconds in which a change has to be in force.
	staleTimeout = 1200 * time.Millisecond
	// staleJitter is added to the timeout by the node's id, so that the nodes that miss a
	// reader don't all read at once.
	staleJitter = 500 * time.Millisecond
)

// Selector is one node's choice of readers and gossip peers. The zero time counts as never.
type Selector struct {
	own      units.VMID
	isReader bool
	// readers are the other nodes that read, in the order in which this node queries them.
	readers  []units.VMID
	failures int
	// syncedAt is when the state of each stream last matched the store. One stream tells nothing
	// of another: its poll may hang alone.
	syncedAt [streamCount]time.Time
}

// Stream is a stream of the store that nodes follow.
type Stream int

// The streams.
const (
	// Servers is the stream of the backend servers' records, Config that of the configuration.
	Servers Stream = iota
	Config
	streamCount
)

// New returns the selector of a node that knows no peers and therefore reads itself.
func New(own units.VMID) *Selector { return &Selector{own: own, isReader: true} }

// SetPeers chooses the readers among this node and its peers. All nodes that know the same
// peers choose the same readers.
func (se *Selector) SetPeers(peers []units.VMID) {
	nodes := append([]units.VMID{se.own}, peers...)
	sort.Slice(nodes, func(one, two int) bool { return rank(nodes[one]) < rank(nodes[two]) })
	count := min(len(nodes), max(minReaders, (len(nodes)+nodesPerReader-1)/nodesPerReader))
	se.isReader = false
	se.readers = se.readers[:0]
	for _, no := range nodes[:count] {
		if no == se.own {
			se.isReader = true
		} else {
			se.readers = append(se.readers, no)
		}
	}
}

// IsReader tells whether this node reads for others.
func (se *Selector) IsReader() bool { return se.isReader }

// Reader returns the reader that this node queries, empty if there is none.
func (se *Selector) Reader() units.VMID {
	if len(se.readers) == 0 {
		return ""
	}
	return se.readers[(rank(se.own)+uint64(se.failures))%uint64(len(se.readers))]
}

// ReaderFailed records that a reader did not answer, so that the next one is queried. Failures
// of a reader that is no longer queried are ignored.
func (se *Selector) ReaderFailed(reader units.VMID) {
	if reader == se.Reader() {
		se.failures++
	}
}

// Synced records that this node's state of a stream matched the store at a time.
func (se *Selector) Synced(st Stream, at time.Time) {
	if at.After(se.syncedAt[st]) {
		se.syncedAt[st] = at
	}
}

// SyncedAt returns when this node's state of a stream last matched the store.
func (se *Selector) SyncedAt(st Stream) time.Time { return se.syncedAt[st] }

// Age returns the time since this node's state of a stream last matched the store.
func (se *Selector) Age(st Stream, now time.Time) time.Duration { return now.Sub(se.syncedAt[st]) }

// ShouldRead tells whether this node has to read a stream from the store now, as a reader or
// because its state is stale.
func (se *Selector) ShouldRead(st Stream, now time.Time) bool {
	return se.isReader || se.Age(st, now) > staleTimeout+time.Duration(rank(se.own)%uint64(staleJitter))
}

func rank(id units.VMID) uint64 { return xxhash.Sum64String(string(id)) }

const (
	// MaxRoundPeers bounds the peers queried in one round, so that the cost for a node doesn't
	// grow with the fleet.
	MaxRoundPeers = 8
	// RoundInterval is the time between two rounds. Both sides learn from one exchange, so a
	// node of a small fleet exchanges with each peer twice in this time.
	RoundInterval = 300 * time.Millisecond
	// silentGaps is the number of mean gaps after which a peer counts as silent: with random
	// selection one gap in 50 is longer than that.
	silentGaps = 4
)

// MeanGap returns the mean time between two exchanges of a pair of nodes.
func MeanGap(peers int) time.Duration {
	return RoundInterval * time.Duration(max(peers, MaxRoundPeers)) / (2 * MaxRoundPeers)
}

// SilenceTimeout returns the time without an exchange after which a peer counts as silent:
// small, the timeout in a small fleet, plus an allowance for the longer gaps between two
// exchanges of a pair in a fleet with this many peers.
func SilenceTimeout(small time.Duration, peers int) time.Duration {
	return small + silentGaps*(MeanGap(peers)-MeanGap(0))
}

// shuffle puts ids into a pseudo-random order given by the seed.
func shuffle(ids []units.VMID, seed uint64) {
	type keyed struct {
		key uint64
		id  units.VMID
	}
	list := make([]keyed, len(ids))
	var buf []byte
	for idx, id := range ids {
		buf = append(binary.LittleEndian.AppendUint64(buf[:0], seed), id...)
		list[idx] = keyed{xxhash.Sum64(buf), id}
	}
	slices.SortFunc(list, func(one, two keyed) int { return cmp.Compare(one.key, two.key) })
	for idx, it := range list {
		ids[idx] = it.id
	}
}

// everyRoundNodes is the number of nodes up to which each queries its reader and the lease
// holder in every round. In a larger fleet they are queried less often, since their work would
// otherwise grow with the fleet.
const everyRoundNodes = 96

// SelectPeers returns the peers to query in the round with this number: this node's reader,
// the lease holder, and others at random.
func (se *Selector) SelectPeers(number uint64, holder units.VMID, peers []units.VMID) []units.VMID {
	ids := append([]units.VMID(nil), peers...)
	sort.Slice(ids, func(one, two int) bool { return ids[one] < ids[two] })
	shuffle(ids, number^rank(se.own))
	if (number+rank(se.own))%(1+uint64(len(peers))/everyRoundNodes) == 0 {
		moveToFront(ids, holder)
		moveToFront(ids, se.Reader())
	}
	return ids[:min(len(ids), MaxRoundPeers)]
}

// moveToFront moves id to the front if it is among ids.
func moveToFront(ids []units.VMID, id units.VMID) {
	for idx, have := range ids {
		if have == id {
			copy(ids[1:idx+1], ids[:idx])
			ids[0] = id
			return
		}
	}
}
