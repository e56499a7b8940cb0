package roll

import (
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
	"time"

	"lycheepick/internal/rule/units"
)

const (
	// slowFactor is the ratio to the usual time from which on an answer is slow, and slowExtra the least difference:
	// less is within the jitter of the network.
	slowFactor = 2.5
	slowExtra  = 5 * time.Millisecond
	// minUsual is the number of answers from which on a node relies on its own.
	minUsual = 8
	// usualStep is the least part by which an answer moves the usual time.
	usualStep = 0.03
	// peerWeight is the weight of one report of a peer in the peers' usual time.
	peerWeight = 0.2
	// usualUnit is the unit of times in reports, and maxUsualTime bounds them.
	usualUnit    = 100 * time.Microsecond
	maxUsualTime = 10 * time.Minute
	// maxUsuals bounds the routes and sizes of a service.
	maxUsuals = 512
	// sentUsuals is the number of usual times in one report, others in the next one.
	sentUsuals = 3
)

// usualKey is a route and the number of bits of the prompt's size.
type usualKey struct {
	route routeID
	size  uint8
}

// usual is the usual time to the first event, as the logarithm of its nanoseconds.
type usual struct {
	count     int
	own, peer float64
}

// usuals holds the usual times of a service. All are of the versions that an order doesn't name.
type usuals map[usualKey]*usual

func newUsualKey(rt routeID, size units.Tokens) usualKey {
	return usualKey{rt, uint8(bits.Len64(uint64(max(0, size))))}
}

func (us usuals) at(ke usualKey) *usual {
	it := us[ke]
	if it == nil && len(us) < maxUsuals {
		it = &usual{}
		us[ke] = it
	}
	return it
}

// learn follows the median of the answers, since a few can take many times as long.
func (us usuals) learn(rt routeID, size units.Tokens, first time.Duration) {
	it := us.at(newUsualKey(rt, size))
	if it == nil {
		return
	}
	val := math.Log(float64(max(first, usualUnit)))
	it.count++
	if it.count == 1 {
		it.own = val
		return
	}
	step := max(usualStep, 1/float64(it.count))
	it.own += max(-step, min(step, val-it.own))
}

// time returns the usual time, 0 if it isn't known. Until a node has answers of its own it takes its peers'.
func (it *usual) time() time.Duration {
	switch {
	case it == nil:
		return 0
	case it.count >= minUsual || it.count > 0 && it.peer == 0:
		return time.Duration(math.Exp(it.own))
	case it.peer > 0:
		return time.Duration(math.Exp(it.peer))
	}
	return 0
}

// isSlow reports whether an answer took clearly longer than usual for its route and size.
func (us usuals) isSlow(rt routeID, size units.Tokens, first time.Duration) bool {
	after := us[newUsualKey(rt, size)].time()
	return after > 0 && first > max(time.Duration(float64(after)*slowFactor), after+slowExtra)
}

// pack returns a few of the usual times that this node has learned, others with each number.
func (us usuals) pack(num uint64) (out []byte) {
	keys := make([]usualKey, 0, len(us))
	for ke, it := range us {
		if it.count >= minUsual {
			keys = append(keys, ke)
		}
	}
	slices.SortFunc(keys, func(one, two usualKey) int {
		return int(one.route)<<8 + int(one.size) - int(two.route)<<8 - int(two.size)
	})
	for idx := range min(sentUsuals, len(keys)) {
		ke := keys[(num*sentUsuals+uint64(idx))%uint64(len(keys))]
		out = append(binary.BigEndian.AppendUint16(out, uint16(ke.route)), ke.size)
		out = binary.AppendUvarint(out, uint64(us[ke].time()/usualUnit))
	}
	return out
}

// merge takes over the usual times of a peer.
func (us usuals) merge(raw []byte) {
	for range sentUsuals {
		if len(raw) < 4 {
			return
		}
		ke := usualKey{routeID(binary.BigEndian.Uint16(raw)), raw[2]}
		val, num := binary.Uvarint(raw[3:])
		if num <= 0 {
			return
		}
		raw = raw[3+num:]
		it := us.at(ke)
		if it == nil || val == 0 || val > uint64(maxUsualTime/usualUnit) {
			continue
		}
		log := math.Log(float64(val) * float64(usualUnit))
		if it.peer == 0 {
			it.peer = log
		}
		it.peer += peerWeight * (log - it.peer)
	}
}
