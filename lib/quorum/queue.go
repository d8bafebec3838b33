package quorum

import "sync"

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

// wait blocks until the queue has values and returns all of them, or nil when done is closed.
func (q *queue[T]) wait(done <-chan struct{}) []T {
	for {
		select {
		case <-done:
			return nil
		case <-q.ready:
		}
		q.mu.Lock()
		items := q.items
		q.items = nil
		q.mu.Unlock()
		if len(items) > 0 {
			return items
		}
	}
}
