package permit

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/notice"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
)

const (
	// silenceTimeout is the time without a report after which a peer issues no permits in a
	// small fleet; watch.SilenceTimeout extends it for larger ones.
	silenceTimeout = 2500 * time.Millisecond
	// failureTimeout is the time for which all calls to a peer have to fail until it issues none.
	failureTimeout = 1500 * time.Millisecond
)

// Members is one node's view of the nodes that may issue permits, or keep other state that is
// spread over the nodes by rendezvous hashing.
type Members struct {
	own   units.VMID
	peers map[units.VMID]*member
}

type member struct {
	// heardAt is when the peer last reported, or when it became known, and reported whether it
	// has reported at all.
	heardAt  time.Time
	reported bool
	// issues is unset for peers of an older release, which do neither.
	issues bool
	// failingSince is when calls to the peer began to fail, zero if the last one didn't.
	failingSince time.Time
	// check is set if another node couldn't reach the peer.
	check bool
}

// NewMembers returns the view of a node without peers.
func NewMembers(own units.VMID) *Members {
	return &Members{own: own, peers: map[units.VMID]*member{}}
}

// Add adds a peer that has not reported yet.
func (me *Members) Add(now time.Time, node units.VMID) {
	if me.peers[node] == nil {
		me.peers[node] = &member{heardAt: now, issues: true}
	}
}

// Heard records a report of a peer, and whether it issues permits.
func (me *Members) Heard(now time.Time, node units.VMID, issues bool) {
	me.Add(now, node)
	pe := me.peers[node]
	pe.heardAt, pe.failingSince, pe.reported, pe.issues = now, time.Time{}, true, issues
}

// CallFailed records that a call to a peer failed.
func (me *Members) CallFailed(now time.Time, node units.VMID) {
	if pe := me.peers[node]; pe != nil && pe.failingSince.IsZero() {
		pe.failingSince = now
	}
}

// Forget removes a peer.
func (me *Members) Forget(node units.VMID) { delete(me.peers, node) }

// Issuer returns the node that issues the permits of a server.
func (me *Members) Issuer(now time.Time, sv notice.Server) units.VMID {
	best, bestRank := me.own, rank(sv, me.own)
	for id, pe := range me.peers {
		if rk := rank(sv, id); rk > bestRank && pe.issues && me.reachable(now, pe) {
			best, bestRank = id, rk
		}
	}
	return best
}

func (me *Members) reachable(now time.Time, pe *member) bool {
	if !pe.failingSince.IsZero() && now.Sub(pe.failingSince) >= failureTimeout {
		return false
	}
	return now.Sub(pe.heardAt) <= watch.SilenceTimeout(silenceTimeout, len(me.peers))
}

// Nearest returns the count nodes that rank highest for a key, this one among them if it does.
func (me *Members) Nearest(now time.Time, key string, count int) []units.VMID {
	type ranked struct {
		id   units.VMID
		rank uint64
	}
	best := make([]ranked, 0, count+1)
	add := func(id units.VMID) {
		best = append(best, ranked{id, xxhash.Sum64String(key + string(id))})
		for at := len(best) - 1; at > 0 && best[at].rank > best[at-1].rank; at-- {
			best[at], best[at-1] = best[at-1], best[at]
		}
		best = best[:min(len(best), count)]
	}
	add(me.own)
	for id, pe := range me.peers {
		if pe.issues && me.reachable(now, pe) {
			add(id)
		}
	}
	out := make([]units.VMID, len(best))
	for idx, ra := range best {
		out[idx] = ra.id
	}
	return out
}

// Share returns the part of a limit that this node may issue: that of the nodes it hears from
// among those it knows. The parts that a partition has cut a fleet into then issue no more
// together than the whole, and so does a new node that the others don't know yet.
func (me *Members) Share(now time.Time) float64 {
	alive := 1
	for _, pe := range me.peers {
		if pe.reported && me.reachable(now, pe) {
			alive++
		}
	}
	return float64(alive) / float64(len(me.peers)+1)
}

// Suspect records that another node can't reach a peer that this one takes for the issuer.
func (me *Members) Suspect(node units.VMID) {
	if pe := me.peers[node]; pe != nil {
		pe.check = true
	}
}

// Suspects returns the peers to call in the next round, to learn whether they answer.
func (me *Members) Suspects() []units.VMID {
	var out []units.VMID
	for id, pe := range me.peers {
		if pe.check {
			pe.check = false
			out = append(out, id)
		}
	}
	return out
}

func rank(sv notice.Server, node units.VMID) uint64 {
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], uint64(sv.StartUnixMS))
	di := xxhash.New()
	_, _ = di.Write(buf[:])
	_, _ = di.WriteString(string(sv.ID))
	_, _ = di.WriteString(string(node))
	return di.Sum64()
}
