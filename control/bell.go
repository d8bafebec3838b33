package control

import "sync"

// bell wakes all goroutines that wait for an event.
type bell struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that the next call of ring closes.
func (b *bell) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

// ring wakes all goroutines that wait on the channel.
func (b *bell) ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}
