// Package place chooses the backend server of each request among the servers of one
// service, from what this node has sent, what its peers report and what has failed.
//
// The load that it answers: prompts of thousands of tokens with shared leading parts, a
// hot part that most requests share, bursts, and servers that vanish by the zone. A
// prompt goes where its shared parts were read before, unless that server has so much to
// read first that reading them again elsewhere is sooner. Rendezvous hashing makes nodes
// agree on that server without a message.
//
// Nothing here does I/O or reads a clock, and nothing is safe for concurrent use.
package place

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"lycheepick/internal/rule/retry"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/state/server"
)

// PartID names a part of a prompt that requests may share. It is a hash, short because
// nodes tell each other which parts they have sent where.
type PartID uint32

// Part is a leading part of a prompt.
type Part struct {
	ID     PartID
	Tokens units.Tokens
}

// Ask is what a choice needs to know of a request.
type Ask struct {
	// Parts are the prompt's parts in order; the last one is the request's own.
	Parts  []Part
	Prompt units.Tokens
	Zone   units.ZoneID
	// Avoid lists servers that this request has already failed at.
	Avoid []units.VMID
}

// Load is the work that one node has at a server.
type Load struct {
	// Running counts requests that were sent and have not ended.
	Running int
	// Unread is the number of prompt tokens of requests without a first token.
	Unread units.Tokens
}

// Choice is a server with what is predicted there.
type Choice struct {
	Server server.Server
	// First is the predicted time to the first token.
	First time.Duration
	// Fresh is the number of prompt tokens that the server has to read.
	Fresh units.Tokens
	// Idle is set if under half of the places of all servers are taken.
	Idle bool
}

const (
	// startRate is the assumed rate of reading prompts until answers show it, in tokens
	// per second; the users' sheets name 92 to 110 tokens per millisecond.
	startRate units.TokensPerSecond = 80_000
	// rateWeight is the weight of one observation in the smoothed rate.
	rateWeight = 0.1
	// leastSample is the shortest prompt that says something of the rate.
	leastSample units.Tokens = 1500
	// baseTime is added to each prediction: one decode step and the way there and back.
	baseTime = 12 * time.Millisecond
	// slotTime is the prediction's surcharge for a full batch.
	slotTime = 40 * time.Millisecond
	// missWeight charges tokens that are read again beyond the time that they take,
	// since they delay the requests after this one.
	missWeight = 0.7
	// zoneTime is the surcharge for a server in another zone, whose bytes are priced.
	zoneTime = 3 * time.Millisecond
	// nextHomeTime is the surcharge for each home of a prompt after the first, awayTime that
	// for all other servers.
	nextHomeTime = 40 * time.Millisecond
	awayTime     = 80 * time.Millisecond
	// errorTime is the surcharge for a server all of whose answers are failures.
	errorTime = 2 * time.Second
	// errorWeight is the weight of one answer in the smoothed share of failures.
	errorWeight = 0.12
	// muteTime is how long a server may leave requests without any sign before new ones
	// avoid it.
	muteTime = 900 * time.Millisecond
	// muteFor is how long a mute server is avoided before one request tries it again.
	muteFor = 2 * time.Second
	// peerTime is how long a report counts in a small fleet of nodes.
	peerTime = 2 * time.Second
	// knownParts bounds the parts remembered for a server.
	knownParts = 2048
	// tellTime is how long peers are told of a part that was sent to a server. It covers
	// two exchanges.
	tellTime = 700 * time.Millisecond
)

type replica struct {
	server.Server
	own     Load
	peers   map[units.VMID]peerLoad
	parts   map[PartID]time.Time
	health  retry.Health
	errors  float64
	heard   time.Time
	waiting map[Ticket]sent
	avoided time.Time
}

type peerLoad struct {
	Load
	at time.Time
}

type sent struct {
	at    time.Time
	fresh units.Tokens
	alone bool
}

// Ticket names one dispatch.
type Ticket uint64

// Fleet is what is known of the servers of one service.
type Fleet struct {
	rate     units.TokensPerSecond
	replicas []*replica
	byID     map[units.VMID]*replica
	last     Ticket
	// nodes is the number of peers that report.
	nodes  int
	recent []sending
}

// sending is a part that this node has sent to a server.
type sending struct {
	at     time.Time
	server units.VMID
	part   PartID
}

// NewFleet returns a fleet without servers.
func NewFleet() *Fleet {
	return &Fleet{rate: startRate, byID: map[units.VMID]*replica{}}
}

// Choose picks a server. ok is false if none is usable.
func (fl *Fleet) Choose(now time.Time, ask *Ask) (ch Choice, ok bool) {
	homes := fl.homes(now, ask)
	var best *replica
	var bestScore time.Duration
	taken, places := 0, 0
	for _, re := range fl.replicas {
		if !fl.usable(now, re) {
			continue
		}
		lo := fl.total(now, re)
		taken += lo.Running
		places += max(re.Slots, 1)
		if ask.avoids(re.ID) {
			continue
		}
		first, fresh := fl.predict(now, re, lo, ask)
		score := first + fl.readTime(fresh, missWeight) + time.Duration(re.errors*float64(errorTime))
		if re.Zone != ask.Zone {
			score += zoneTime
		}
		score += homes.away(re)
		if best == nil || score < bestScore {
			best, bestScore = re, score
			ch = Choice{Server: re.Server, First: first, Fresh: fresh}
		}
	}
	ch.Idle = taken*2 < places
	return ch, best != nil
}

// predict estimates the time to the first token at a server, and how much of the prompt
// it has to read.
func (fl *Fleet) predict(now time.Time, re *replica, lo Load, ask *Ask) (first time.Duration, fresh units.Tokens) {
	fresh = max(0, ask.Prompt-re.cached(ask.Parts))
	slots := max(re.Slots, 1)
	first = baseTime + fl.readTime(lo.Unread+fresh, 1) + slotTime*time.Duration(lo.Running)/time.Duration(slots)
	if over := lo.Running + 1 - slots; over > 0 {
		first += slotTime * time.Duration(over)
	}
	if re.WarmupLeft > now.Sub(re.ReadAt) {
		first += slotTime
	}
	return first, fresh
}

func (fl *Fleet) readTime(tokens units.Tokens, weight float64) time.Duration {
	return time.Duration(float64(tokens) / float64(fl.rate) * weight * float64(time.Second))
}

// cached returns the number of leading tokens that a server is believed to hold.
func (re *replica) cached(parts []Part) units.Tokens {
	var total units.Tokens
	for _, pa := range parts {
		if _, known := re.parts[pa.ID]; !known {
			break
		}
		total += pa.Tokens
	}
	return total
}

// mostHomes is the number of servers on which all nodes agree for a prompt.
const mostHomes = 3

// homes are the servers on which all nodes agree for a prompt's shared parts, the first
// one first.
type homes [mostHomes]*replica

// homes returns the homes of a prompt.
func (fl *Fleet) homes(now time.Time, ask *Ask) (out homes) {
	if len(ask.Parts) < 2 {
		return out
	}
	key := ask.Parts[len(ask.Parts)-2].ID
	var ranks [mostHomes]uint64
	for _, re := range fl.replicas {
		if !fl.usable(now, re) {
			continue
		}
		rank := rendezvous(key, re.ID)
		for pos := range out {
			if out[pos] != nil && rank <= ranks[pos] {
				continue
			}
			copy(out[pos+1:], out[pos:mostHomes-1])
			copy(ranks[pos+1:], ranks[pos:mostHomes-1])
			out[pos], ranks[pos] = re, rank
			break
		}
	}
	return out
}

// away is the surcharge for a server that is not the first home of a prompt.
func (ho *homes) away(re *replica) time.Duration {
	for pos := range ho {
		if ho[pos] == re {
			return time.Duration(pos) * nextHomeTime
		}
	}
	return awayTime
}

func rendezvous(key PartID, id units.VMID) uint64 {
	var buf [4]byte
	binary.LittleEndian.PutUint32(buf[:], uint32(key))
	di := xxhash.New()
	_, _ = di.Write(buf[:])
	_, _ = di.WriteString(string(id))
	return di.Sum64()
}

func (ask *Ask) avoids(id units.VMID) bool {
	for _, av := range ask.Avoid {
		if av == id {
			return true
		}
	}
	return false
}

// usable tells whether a server gets new requests.
func (fl *Fleet) usable(now time.Time, re *replica) bool {
	if re.Draining {
		return false
	}
	if !re.health.Usable() && re.health.Probed(now, true) != retry.Returned {
		return false
	}
	return !fl.mute(now, re)
}

// mute tells whether a server has left requests without a sign for too long.
func (fl *Fleet) mute(now time.Time, re *replica) bool {
	if now.Before(re.avoided) {
		return true
	}
	for _, se := range re.waiting {
		patience := muteTime + fl.readTime(se.fresh, 2)
		if now.Sub(se.at) > patience && re.heard.Before(se.at) {
			re.avoided = now.Add(muteFor)
			re.heard = now
			return true
		}
	}
	return false
}
