package control

import "sync"

// bell wakes all waiting long polls.
type bell struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next ring.
func (b *bell) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

func (b *bell) ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}
