package quorum

import (
	"sync"
	"time"
)

// queue is an unbounded queue: put never blocks, and one consumer waits for values.
type queue[T any] struct {
	mu    sync.Mutex
	items []T
	// ready holds one token while items is not empty.
	ready chan struct{}
}

func newQueue[T any]() *queue[T] { return &queue[T]{ready: make(chan struct{}, 1)} }

func (q *queue[T]) put(v T) {
	q.mu.Lock()
	q.items = append(q.items, v)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// wait blocks until the queue has values and returns all of them, or nil when done is closed. It
// also returns, with no values but ok, when wake receives.
func (q *queue[T]) wait(done <-chan struct{}, wake <-chan time.Time) (items []T, ok bool) {
	for {
		select {
		case <-done:
			return nil, false
		case <-wake:
			return q.take(), true
		case <-q.ready:
		}
		if items := q.take(); len(items) > 0 {
			return items, true
		}
	}
}

// take returns all values that are in the queue.
func (q *queue[T]) take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}
