package place

import (
	"time"

	"lycheepick/internal/rule/retry"
	"lycheepick/internal/rule/units"
	"lycheepick/internal/rule/watch"
	"lycheepick/internal/state/server"
)

// Set replaces the servers. What is known of those that stay is kept, unless they were
// born anew.
func (fl *Fleet) Set(now time.Time, list []server.Server) {
	next := make(map[units.VMID]*replica, len(list))
	fl.replicas = fl.replicas[:0]
	for _, sv := range list {
		re := fl.byID[sv.ID]
		if re == nil || re.Born != sv.Born {
			re = &replica{peers: map[units.VMID]peerLoad{}, parts: map[PartID]time.Time{}, waiting: map[Ticket]sent{}, heard: now}
		}
		re.Server = sv
		next[sv.ID] = re
		fl.replicas = append(fl.replicas, re)
	}
	fl.byID = next
}

// Peer notes what a peer, one of so many, reports of its own work.
func (fl *Fleet) Peer(now time.Time, nodes int, node units.VMID, loads map[units.VMID]Load) {
	fl.nodes = nodes
	for id, re := range fl.byID {
		if lo, ok := loads[id]; ok && lo != (Load{}) {
			re.peers[node] = peerLoad{Load: lo, at: now}
		} else {
			delete(re.peers, node)
		}
	}
}

// Own returns this node's own work at each server that has any.
func (fl *Fleet) Own(out map[units.VMID]Load) {
	for id, re := range fl.byID {
		if re.own != (Load{}) {
			out[id] = re.own
		}
	}
}

// Sent returns the shared parts that this node has lately sent to each server.
func (fl *Fleet) Sent(now time.Time, out map[units.VMID][]PartID) {
	for len(fl.recent) > 0 && now.Sub(fl.recent[0].at) > tellTime {
		fl.recent = fl.recent[1:]
	}
	for _, se := range fl.recent {
		out[se.server] = append(out[se.server], se.part)
	}
}

// Holds notes parts that a peer has sent to servers.
func (fl *Fleet) Holds(now time.Time, sent map[units.VMID][]PartID) {
	for id, parts := range sent {
		if re := fl.byID[id]; re != nil {
			re.hold(now, parts)
		}
	}
}

func (re *replica) hold(now time.Time, parts []PartID) {
	if len(re.parts) > knownParts {
		re.parts = map[PartID]time.Time{}
	}
	for _, pa := range parts {
		re.parts[pa] = now
	}
}

// total adds up the work of all nodes at a server. A peer's unread tokens shrink with the
// age of its report.
func (fl *Fleet) total(now time.Time, re *replica) Load {
	out := re.own
	limit := watch.SilenceTimeout(peerTime, fl.nodes)
	for node, pl := range re.peers {
		age := now.Sub(pl.at)
		if age > limit {
			delete(re.peers, node)
			continue
		}
		out.Running += pl.Running
		read := units.Tokens(age.Seconds() * float64(fl.rate))
		out.Unread += max(0, pl.Unread-read)
	}
	return out
}

// Send notes that a request goes to the chosen server.
func (fl *Fleet) Send(now time.Time, ask *Ask, ch *Choice) Ticket {
	fl.last++
	re := fl.byID[ch.Server.ID]
	if re == nil {
		return fl.last
	}
	re.waiting[fl.last] = sent{at: now, fresh: ch.Fresh, alone: fl.total(now, re).Unread == 0}
	re.own.Running++
	re.own.Unread += ch.Fresh
	for idx, pa := range ask.Parts {
		if _, known := re.parts[pa.ID]; !known && idx < len(ask.Parts)-1 {
			fl.recent = append(fl.recent, sending{at: now, server: re.ID, part: pa.ID})
		}
		re.hold(now, []PartID{pa.ID})
	}
	return fl.last
}

// First notes the first token or byte of an answer.
func (fl *Fleet) First(now time.Time, id units.VMID, ti Ticket) {
	re := fl.byID[id]
	if re == nil {
		return
	}
	re.heard = now
	se, ok := re.waiting[ti]
	if !ok {
		return
	}
	delete(re.waiting, ti)
	re.own.Unread -= se.fresh
	if took := now.Sub(se.at) - baseTime; se.alone && se.fresh >= leastSample && took > 0 {
		sample := float64(se.fresh) / took.Seconds()
		fl.rate = units.TokensPerSecond(float64(fl.rate)*(1-rateWeight) + sample*rateWeight)
	}
}

// Result tells how an attempt ended.
type Result int

// The results.
const (
	// Good is an answer that the server meant to give.
	Good Result = iota
	// Refused is a refusal before the request ran.
	Refused
	// Errored is a failure that the server itself told.
	Errored
	// Broken is an answer that did not come, or not whole.
	Broken
	// Left is an attempt that this node ended, which says nothing of the server.
	Left
)

// End notes the end of an attempt. It returns what that did to the server's health.
func (fl *Fleet) End(now time.Time, id units.VMID, ti Ticket, res Result) retry.Change {
	re := fl.byID[id]
	if re == nil {
		return retry.Unchanged
	}
	if se, ok := re.waiting[ti]; ok {
		delete(re.waiting, ti)
		re.own.Unread -= se.fresh
	}
	re.own.Running = max(0, re.own.Running-1)
	switch res {
	case Good:
		re.heard = now
		re.errors *= 1 - errorWeight
		return re.health.Succeeded()
	case Errored:
		re.heard = now
		re.errors += (1 - re.errors) * errorWeight
	case Broken:
		re.errors += (1 - re.errors) * errorWeight
		return re.health.Failed(now)
	case Refused:
		re.heard = now
	case Left:
	}
	return retry.Unchanged
}

// Usable returns the number of servers that get new requests.
func (fl *Fleet) Usable(now time.Time) int {
	count := 0
	for _, re := range fl.replicas {
		if fl.usable(now, re) {
			count++
		}
	}
	return count
}

// ReadRate returns the rate at which one server reads prompts, as answers have shown it.
func (fl *Fleet) ReadRate() units.TokensPerSecond { return fl.rate }

// Servers returns the servers with the work of all nodes there.
func (fl *Fleet) Servers(now time.Time) []Loaded {
	out := make([]Loaded, 0, len(fl.replicas))
	for _, re := range fl.replicas {
		out = append(out, Loaded{Server: re.Server, Load: fl.total(now, re), Usable: fl.usable(now, re)})
	}
	return out
}

// Loaded is a server with the work of all nodes there.
type Loaded struct {
	server.Server
	Load
	Usable bool
}
