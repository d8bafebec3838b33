package gate

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// freeBufferBytes is how much of a body each request may hold in memory in any case.
	freeBufferBytes = 32 << 10
	// maxAnswerBuffer is how much of an answer is held at most. Longer answers are passed on as
	// they arrive.
	maxAnswerBuffer = 1 << 20
	// answerBudgetBytes and requestBudgetBytes bound what all answers, and all bodies of requests,
	// hold together beyond freeBufferBytes each. They leave most of a machine of 184 MB free, also
	// while the garbage of growing buffers is not collected yet.
	// A configuration that allows longer bodies of requests raises the second one.
	// These values apply if no memory is set.
	answerBudgetBytes  = 16 << 20
	requestBudgetBytes = 24 << 20
	// budgetMemoryMB is the memory of a process to which they belong; with more or less memory they
	// change in proportion.
	budgetMemoryMB = 184
	// minBufferBytes is the initial size of a buffer for a body of unknown length.
	minBufferBytes = 1 << 10
)

// byteBudget is a number of bytes that may be held in memory together.
type byteBudget struct {
	limit, used atomic.Int64
}

// take takes n bytes, or returns false if there are not so many left.
func (b *byteBudget) take(n int) bool {
	if b.used.Add(int64(n)) > b.limit.Load() {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

func (b *byteBudget) release(n int) { b.used.Add(int64(-n)) }

// memoryBudget returns the part of the memory of the process that corresponds to the given bytes of
// a process with budgetMemoryMB, or those bytes if no memory is set.
func memoryBudget(bytes int64, memoryMB uint32) int64 {
	if memoryMB == 0 {
		return bytes
	}
	return bytes * int64(memoryMB) / budgetMemoryMB
}

// setRequestBudget makes room for at least one body of the given size.
func (g *Gateway) setRequestBudget(bodyBytes int) {
	g.requestBudget.limit.Store(max(memoryBudget(requestBudgetBytes, g.memoryMB), int64(bodyBytes)+1))
}

// bodyBuffer holds a body, or the beginning of one.
type bodyBuffer struct {
	data []byte
	// taken is the number of bytes of the budget that the buffer has.
	taken  int
	budget *byteBudget
}

// fill reads from r until its end, and returns false if there is no room for more: the buffer
// has limit bytes, or the budget is used up. length is the expected length, or negative.
func (b *bodyBuffer) fill(r io.Reader, length int64, limit int) (whole bool, err error) {
	if b.data == nil {
		size := minBufferBytes
		if length >= 0 {
			size = int(min(length+1, freeBufferBytes)) // One byte more, to read the end.
		}
		b.data = make([]byte, 0, min(size, limit))
	}
	for {
		if len(b.data) == cap(b.data) && !b.grow(limit) {
			return false, nil
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// grow doubles the capacity, up to limit, and returns false if that is not possible.
func (b *bodyBuffer) grow(limit int) bool {
	size := min(max(2*cap(b.data), minBufferBytes), limit)
	more := size - freeBufferBytes - b.taken
	switch {
	case size <= cap(b.data):
		return false
	case more > 0 && !b.budget.take(more):
		return false
	case more > 0:
		b.taken += more
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}

// release gives back what the buffer has of the budget and drops its data.
func (b *bodyBuffer) release() {
	b.budget.release(b.taken)
	b.taken, b.data = 0, nil
}
