package place

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/units"
)

// maxPreferred is the number of preferred servers of a prefix.
const maxPreferred = 3

// preferredServers are the servers that all nodes prefer for a prefix, best first.
type preferredServers [maxPreferred]*serverState

// preferred returns the usable servers with the highest rendezvous ranks for the last shared
// block of the prompt.
func (fl *Fleet) preferred(now time.Time, rq *Request) (out preferredServers) {
	if len(rq.Blocks) < 2 {
		return out
	}
	key := rq.Blocks[len(rq.Blocks)-2].ID
	var ranks [maxPreferred]uint64
	ownOnly := fl.keepsToOwn(rq)
	for _, st := range fl.servers {
		if !fl.usable(now, st) || !rq.allows(st) || ownOnly && st.Zone != rq.Zone {
			continue
		}
		rank := rendezvous(key, st.ID)
		for pos := range out {
			if out[pos] != nil && rank <= ranks[pos] {
				continue
			}
			copy(out[pos+1:], out[pos:maxPreferred-1])
			copy(ranks[pos+1:], ranks[pos:maxPreferred-1])
			out[pos], ranks[pos] = st, rank
			break
		}
	}
	return out
}

// penalty returns the penalty for a server by its position among the preferred ones.
func (ps *preferredServers) penalty(st *serverState) time.Duration {
	for pos := range ps {
		if ps[pos] == st {
			return time.Duration(pos) * preferenceStepPenalty
		}
	}
	return notPreferredPenalty
}

// spreadPenalty returns a small penalty for a server that differs from node to node. Without it nodes that know the same
// would all choose the first of the servers that look idle. A node keeps to its own order, so that the prompts which it
// gets find their shared parts again.
func (rq *Request) spreadPenalty(id units.VMID) time.Duration {
	if rq.Key == 0 {
		return 0
	}
	return time.Duration(rendezvous(BlockID(uint32(rq.Key)), id) % uint64(maxSpreadPenalty))
}

func rendezvous(key BlockID, id units.VMID) uint64 {
	var buf [4]byte
	binary.LittleEndian.PutUint32(buf[:], uint32(key))
	di := xxhash.New()
	_, _ = di.Write(buf[:])
	_, _ = di.WriteString(string(id))
	return di.Sum64()
}
