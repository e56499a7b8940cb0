// Package watch selects the nodes that read the platform's streams on behalf of all nodes, and
// the peers that a node exchanges state with in each gossip round. It also gives the time after
// which a peer counts as silent.
//
// Every backend server renews its record about once a second. If all nodes read, or a read ends at
// each renewal, the calls to the store grow with nodes times servers. So one node, or one in
// nodesPerPrimary, reads at a pace that follows from the bound within which a change has to be in force
// everywhere. A few relays learn from it, the others from the relays. A node reads for itself once its
// state is stale, relays before the others.
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
	// minReaders is the number of readers in a small fleet: the nodes that others query. Two may be
	// unreachable or restarting at once.
	minReaders = 4
	// nodesPerReader bounds the nodes that query one reader, so that a reader's work doesn't
	// grow with the fleet.
	nodesPerReader = 16
	// nodesPerPrimary bounds the nodes for which one primary reader reads.
	nodesPerPrimary = 128
	// defaultBound is the time within which a change has to be in force if the platform names none.
	defaultBound = 2 * time.Second
)

// The paces of reading, as parts of the bound, less exchangeTime for the two. A relay whose primary stops
// reads for itself within relayTimeout, and the others learn from it in the rest of the bound, or read for
// themselves.
const (
	exchangeTime  = 200 * time.Millisecond
	readPeriod    = 0.3
	pollTime      = 0.35
	relayTimeout  = 0.425
	relayStagger  = 0.025
	staleTimeout  = 0.575
	staleJitter   = 0.2
	maxStaggering = 4
)

// Selector is one node's choice of readers and gossip peers. The zero time counts as never.
type Selector struct {
	own units.VMID
	// bound is the time within which a change has to be in force at all nodes.
	bound time.Duration
	// rank is this node's position among the readers, from 0 on, or -1 if it is none. The first
	// primaries read at the pace, the other readers are relays.
	rank, primaries int
	// readers are the other nodes that read, in the order in which this node queries them.
	readers  []units.VMID
	failures int
	// isHurried is set after an outage of the store.
	isHurried bool
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

// New returns the selector of a node that knows no peers and therefore reads itself. bound is the
// time within which a change has to be in force at all nodes, 0 for a usual one.
func New(own units.VMID, bound time.Duration) *Selector {
	if bound <= 0 {
		bound = defaultBound
	}
	return &Selector{own: own, bound: bound, primaries: 1}
}

// SetPeers chooses the readers among this node and its peers. All nodes that know the same
// peers choose the same readers.
func (se *Selector) SetPeers(peers []units.VMID) {
	nodes := append([]units.VMID{se.own}, peers...)
	sort.Slice(nodes, func(one, two int) bool { return rank(nodes[one]) < rank(nodes[two]) })
	count := min(len(nodes), max(minReaders, (len(nodes)+nodesPerReader-1)/nodesPerReader))
	se.primaries = (len(nodes) + nodesPerPrimary - 1) / nodesPerPrimary
	se.rank, se.readers = -1, se.readers[:0]
	for idx, no := range nodes[:count] {
		if no == se.own {
			se.rank = idx
		} else {
			se.readers = append(se.readers, no)
		}
	}
}

// IsReader tells whether other nodes learn the state of the streams from this node.
func (se *Selector) IsReader() bool { return se.rank >= 0 }

// IsPrimary tells whether this node reads the streams at their pace.
func (se *Selector) IsPrimary() bool { return se.rank >= 0 && se.rank < se.primaries }

// Reader returns the node from which this node learns the state of the streams, empty if there is none: a
// relay queries a primary, and another reader if that doesn't answer.
func (se *Selector) Reader() units.VMID {
	switch {
	case len(se.readers) == 0 || se.IsPrimary():
		return ""
	case se.IsReader():
		return se.readers[(se.rank%se.primaries+se.failures)%len(se.readers)]
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

// SetHurried makes all readers read at the pace of a primary, and the others query their readers in each
// round. After an outage of the store the records that expired in it are written again, and nodes
// have to know them before they take their servers for gone.
func (se *Selector) SetHurried(isHurried bool) { se.isHurried = isHurried }

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

// ShouldRead tells whether this node has to read a stream from the store now, as a primary or
// because its state is stale.
func (se *Selector) ShouldRead(st Stream, now time.Time) bool {
	return se.Age(st, now) >= se.maxAge(st)
}

// maxAge returns the age of a stream's state from which on this node reads it.
func (se *Selector) maxAge(st Stream) time.Duration {
	switch {
	case se.IsPrimary() && st == Config:
		return 0 // A poll waits for the next version and is made again at once.
	case se.IsPrimary() || se.IsReader() && se.isHurried:
		return se.part(readPeriod) - exchangeTime
	case se.IsReader():
		return se.part(relayTimeout + relayStagger*float64(min(se.rank, maxStaggering)))
	}
	return se.part(staleTimeout) + time.Duration(rank(se.own)%uint64(se.part(staleJitter)))
}

// PollTime returns how long a poll may wait for a new record, so that a stream that brings none is known
// to be up to date often enough.
func (se *Selector) PollTime() time.Duration { return se.part(pollTime) - exchangeTime }

func (se *Selector) part(of float64) time.Duration { return time.Duration(float64(se.bound) * of) }

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
// the lease holder, and others at random. Relays query their primary in each round.
func (se *Selector) SelectPeers(number uint64, holder units.VMID, peers []units.VMID) []units.VMID {
	ids := append([]units.VMID(nil), peers...)
	sort.Slice(ids, func(one, two int) bool { return ids[one] < ids[two] })
	shuffle(ids, number^rank(se.own))
	if (number+rank(se.own))%(1+uint64(len(peers))/everyRoundNodes) == 0 {
		moveToFront(ids, holder)
		moveToFront(ids, se.Reader())
	}
	if se.IsReader() || se.isHurried {
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
