package door

import (
	"math/bits"

	"lycheepick/internal/edge/memory"
	"lycheepick/internal/rule/fault"
	"lycheepick/internal/rule/units"
)

// meter counts the bytes of one body towards Server.Bodies.
type meter struct {
	budget     *memory.Budget
	read, held units.Bytes
	// refused is set once the budget had no room for the body.
	refused error
}

// add counts more bytes of the body. It fails with KindBusy if there is no room for them.
func (me *meter) add(num int) error {
	me.read += units.Bytes(num)
	more := bodyCapacity(me.read) - me.held
	if more <= 0 || me.budget == nil {
		return nil
	}
	if !me.budget.TryTake(more) {
		me.refused = fault.New("door.read", KindBusy, "the requests in progress leave no memory for a body of %d bytes or more", me.read)
		return me.refused
	}
	me.held += more
	return nil
}

// settle returns what the body doesn't take to the budget. While it came, the framing of its chunks counted too.
func (me *meter) settle(taken units.Bytes) {
	if rest := me.held - taken; rest > 0 {
		me.budget.Give(rest)
		me.held -= rest
	}
}

// bodyCapacity returns the capacity of a body of size bytes that counts. fasthttp rounds it up to a
// power of two.
func bodyCapacity(size units.Bytes) units.Bytes {
	if size <= memory.FreeBytes {
		return 0
	}
	return 1 << bits.Len64(uint64(size-1))
}
