// Package memory bounds the bytes that all requests in progress hold together.
package memory

import (
	"golang.org/x/sync/semaphore"

	"lycheepick/internal/rule/units"
)

// Budget is a number of bytes that buffers share. It is safe for concurrent use.
type Budget struct{ left *semaphore.Weighted }

// NewBudget returns a budget of total bytes.
func NewBudget(total units.Bytes) *Budget {
	return &Budget{left: semaphore.NewWeighted(int64(total))}
}

// TryTake takes bytes of the budget. It returns false, and takes nothing, if it has less.
func (bu *Budget) TryTake(size units.Bytes) bool { return bu.left.TryAcquire(int64(size)) }

// Give returns bytes to the budget that were taken.
func (bu *Budget) Give(size units.Bytes) { bu.left.Release(int64(size)) }

const (
	// FreeBytes of each buffer don't count, so that short answers don't depend on the budget.
	FreeBytes = 16 << 10
	// minBytes is the least capacity of a buffer.
	minBytes = 2 << 10
)

// Buffer is a growing buffer whose capacity above FreeBytes counts towards a budget. It must be freed
// after use, and is not safe for concurrent use.
type Buffer struct {
	budget *Budget
	data   []byte
	taken  int64
}

// NewBuffer returns an empty buffer.
func (bu *Budget) NewBuffer() *Buffer { return &Buffer{budget: bu} }

// Bytes returns the content, which is valid until the next change.
func (bf *Buffer) Bytes() []byte { return bf.data }

// Room returns the part of the buffer behind the content, of at least one byte. It returns nil if
// the budget doesn't allow the buffer to grow.
func (bf *Buffer) Room() []byte {
	if len(bf.data) == cap(bf.data) && !bf.grow() {
		return nil
	}
	return bf.data[len(bf.data):cap(bf.data)]
}

// grow doubles the capacity.
func (bf *Buffer) grow() bool {
	size := max(minBytes, 2*cap(bf.data))
	if more := int64(size-FreeBytes) - bf.taken; more > 0 {
		if !bf.budget.TryTake(units.Bytes(more)) {
			return false
		}
		bf.taken += more
	}
	grown := make([]byte, len(bf.data), size) // Not slices.Grow, which may round the size up.
	copy(grown, bf.data)
	bf.data = grown
	return true
}

// Extend adds the first size bytes of the room to the content.
func (bf *Buffer) Extend(size int) { bf.data = bf.data[:len(bf.data)+size] }

// Discard removes the first size bytes of the content. An empty buffer holds nothing of the budget.
func (bf *Buffer) Discard(size int) {
	bf.data = bf.data[:copy(bf.data, bf.data[size:])]
	if len(bf.data) == 0 && bf.taken > 0 {
		bf.Free()
	}
}

// Free drops the content and returns its bytes to the budget.
func (bf *Buffer) Free() {
	bf.budget.Give(units.Bytes(bf.taken))
	bf.data, bf.taken = nil, 0
}
