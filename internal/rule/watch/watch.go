// Package watch decides which nodes read the platform's streams for the whole fleet, when
// a node that learns of them from its peers reads for itself, and how long a peer may be
// silent in a fleet in which each node talks to a few others at a time.
//
// The load that it answers: every backend server renews its account each second or so, and
// every renewal ends the waiting read of every reader. If all nodes read, the calls to the
// store grow with nodes times servers.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package watch

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/units"
)

const (
	// leastReaders is the number of readers of a small fleet. Two may be cut off or
	// restarted at once, and the others are still told at once.
	leastReaders = 4
	// nodesPerReader bounds the nodes that ask one reader, so that a reader's work does not
	// grow with the fleet.
	nodesPerReader = 16
	// patience is the age of what a node knows from which on it reads for itself: three
	// exchanges that failed, and well under the seconds in which news has to be in force.
	patience = 1200 * time.Millisecond
	// spread is added to the patience by the node's id, so that the nodes that miss a
	// reader don't all read at once.
	spread = 500 * time.Millisecond
)

// Watch is one node's view of who reads. The zero time counts as never.
type Watch struct {
	own   units.VMID
	reads bool
	// readers are the other nodes that read, in the order in which this node asks them.
	readers []units.VMID
	failed  int
	agreed  time.Time
}

// New returns the watch of a node that knows of no others, and therefore reads.
func New(own units.VMID) *Watch { return &Watch{own: own, reads: true} }

// Plan chooses the readers among this node and its peers. All nodes that know the same
// peers choose the same ones.
func (wa *Watch) Plan(peers []units.VMID) {
	nodes := append([]units.VMID{wa.own}, peers...)
	sort.Slice(nodes, func(one, two int) bool { return rank(nodes[one]) < rank(nodes[two]) })
	count := min(len(nodes), max(leastReaders, (len(nodes)+nodesPerReader-1)/nodesPerReader))
	wa.reads = false
	wa.readers = wa.readers[:0]
	for _, no := range nodes[:count] {
		if no == wa.own {
			wa.reads = true
		} else {
			wa.readers = append(wa.readers, no)
		}
	}
}

// Reads tells whether this node reads for others.
func (wa *Watch) Reads() bool { return wa.reads }

// Reader returns the reader that this node asks, empty if there is none.
func (wa *Watch) Reader() units.VMID {
	if len(wa.readers) == 0 {
		return ""
	}
	return wa.readers[(rank(wa.own)+uint64(wa.failed))%uint64(len(wa.readers))]
}

// Failed notes that a reader gave no answer; the next one is asked.
func (wa *Watch) Failed(reader units.VMID) {
	if reader == wa.Reader() {
		wa.failed++
	}
}

// Agreed notes that what this node knows agreed with the store at a time.
func (wa *Watch) Agreed(at time.Time) {
	if at.After(wa.agreed) {
		wa.agreed = at
	}
}

// Age is the time since what this node knows agreed with the store.
func (wa *Watch) Age(now time.Time) time.Duration { return now.Sub(wa.agreed) }

// Due tells whether this node has to read now.
func (wa *Watch) Due(now time.Time) bool {
	return wa.reads || wa.Age(now) > patience+time.Duration(rank(wa.own)%uint64(spread))
}

func rank(id units.VMID) uint64 { return xxhash.Sum64String(string(id)) }

const (
	// RoundPeers bounds the peers asked in a round, so that the cost of a node does not grow
	// with the fleet.
	RoundPeers = 8
	// RoundEvery is the time between two rounds. Both sides learn from one exchange, so
	// that a node of a small fleet hears of each peer twice in this time.
	RoundEvery = 300 * time.Millisecond
	// missed is the number of usual gaps after which a peer counts as silent: random
	// choices leave one gap in 50 longer than that.
	missed = 4
)

// Gap returns the mean time between two exchanges of a pair of nodes.
func Gap(peers int) time.Duration {
	return RoundEvery * time.Duration(max(peers, RoundPeers)) / (2 * RoundPeers)
}

// Silence returns how long a peer may be silent in a fleet of so many peers: the bound for
// a small fleet, and the time by which the gaps between two exchanges of a pair are longer.
func Silence(small time.Duration, peers int) time.Duration {
	return small + missed*(Gap(peers)-Gap(0))
}

// shuffle orders nodes by chance, from a seed.
func shuffle(ids []units.VMID, seed uint64) {
	key := func(id units.VMID) uint64 {
		var buf [8]byte
		binary.LittleEndian.PutUint64(buf[:], seed)
		di := xxhash.New()
		_, _ = di.Write(buf[:])
		_, _ = di.WriteString(string(id))
		return di.Sum64()
	}
	sort.Slice(ids, func(one, two int) bool { return key(ids[one]) < key(ids[two]) })
}

// fixedNodes is the number of nodes up to which each asks its reader and the holder of the
// duties in every round; in a larger fleet they are asked less often, since their work would
// grow with the fleet.
const fixedNodes = 96

// Round returns the peers to ask in the round with a number: its reader and the holder of
// the duties, and others by chance.
func (wa *Watch) Round(number uint64, holder units.VMID, peers []units.VMID) []units.VMID {
	ids := append([]units.VMID(nil), peers...)
	sort.Slice(ids, func(one, two int) bool { return ids[one] < ids[two] })
	shuffle(ids, number^rank(wa.own))
	if (number+rank(wa.own))%(1+uint64(len(peers))/fixedNodes) == 0 {
		front(ids, holder)
		front(ids, wa.Reader())
	}
	return ids[:min(len(ids), RoundPeers)]
}

// front moves id to the front if it is among ids.
func front(ids []units.VMID, id units.VMID) {
	for idx, have := range ids {
		if have == id {
			copy(ids[1:idx+1], ids[:idx])
			ids[0] = id
			return
		}
	}
}
