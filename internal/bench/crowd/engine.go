package crowd

import (
	"fmt"
	"time"

	"lycheepick/internal/rule/place"
	"lycheepick/internal/rule/units"
)

// engine is one backend server: it reads prompts one after the other, makes tokens for as
// many requests as it has slots, and holds the parts that it has read last.
type engine struct {
	id      units.VMID
	num     int
	born    int64
	spot    bool
	leaving bool
	dead    bool
	busy    time.Time
	running map[*request]struct{}
	held    map[place.BlockID]held
	// memory is what held takes, uses the number of uses so far.
	memory units.Tokens
	uses   int
}

// held is a part in a server's memory, and when it was used last.
type held struct {
	tokens units.Tokens
	used   int
}

// spotShare is the share of servers that may be reclaimed.
const spotShare = 0.52

func newEngine(num int) *engine {
	en := &engine{num: num, spot: num%100 < int(spotShare*100)}
	en.restart()
	return en
}

// restart begins a new life, which holds nothing.
func (en *engine) restart() {
	en.born++
	en.id = units.VMID(fmt.Sprintf("server-%d-%d", en.num, en.born))
	en.leaving, en.dead = false, false
	en.running, en.held = map[*request]struct{}{}, map[place.BlockID]held{}
	en.memory = 0
}

func (ru *run) engineOf(id units.VMID) *engine {
	var num int
	var born int64
	if _, err := fmt.Sscanf(string(id), "server-%d-%d", &num, &born); err != nil {
		panic(err) // All ids are made by restart.
	}
	return ru.engines[num]
}

// read returns the tokens of a prompt that have to be read, and holds its parts.
func (en *engine) read(ask *place.Request) units.Tokens {
	fresh, known := ask.Prompt, true
	for _, pa := range ask.Blocks {
		if _, ok := en.held[pa.ID]; known && ok {
			fresh -= pa.Tokens
		} else {
			known = false
		}
		en.uses++
		if _, ok := en.held[pa.ID]; !ok {
			en.memory += pa.Tokens
		}
		en.held[pa.ID] = held{tokens: pa.Tokens, used: en.uses}
	}
	for en.memory > heldTokens {
		en.evict()
	}
	return fresh
}

// evict drops the part that was not used for the longest time.
func (en *engine) evict() {
	oldest, at := place.BlockID(0), en.uses+1
	for id, he := range en.held {
		if he.used < at {
			oldest, at = id, he.used
		}
	}
	en.memory -= en.held[oldest].tokens
	delete(en.held, oldest)
}

// take runs a request.
func (en *engine) take(rq *request) {
	ru := rq.ru
	en.running[rq] = struct{}{}
	fresh := en.read(&rq.ask)
	ru.re.Read += fresh
	if en.busy.Before(ru.now) {
		en.busy = ru.now
	}
	en.busy = en.busy.Add(time.Duration(float64(fresh) / readRate * float64(time.Second)))
	// A batch over its slots makes each request wait for a place.
	over := max(0, len(en.running)-slots)
	first := en.busy.Sub(ru.now) + step*time.Duration(1+over*outputTokens/slots) + roundTrip
	born := en.born
	ru.in(first, func() {
		if _, ok := en.running[rq]; ok && en.born == born {
			rq.first()
		}
	})
	ru.in(first+step*outputTokens, func() {
		if _, ok := en.running[rq]; ok && en.born == born {
			rq.ended(place.Succeeded)
		}
	})
}

// first notes the first token.
func (rq *request) first() {
	rq.node.fleet.FirstToken(rq.ru.now, rq.engine.id, rq.ticket)
	rq.began = true
	took := rq.ru.now.Sub(rq.at)
	switch {
	case rq.settled:
	case took <= target:
		rq.count(func(se *Second) *int { return &se.InTime })
	default:
		rq.count(func(se *Second) *int { return &se.Late })
	}
}
