package control

import "sync"

// notifier wakes all goroutines that wait for an event.
type notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that the next call of notify closes.
func (n *notifier) wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// notify wakes all goroutines that wait on a channel returned by wait.
func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}
