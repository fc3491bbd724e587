package ingress

import (
	"sync"
	"time"
)

// deadline provides a channel that is closed once the deadline has passed.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

func (d *deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.expired
	}
	d.timer = nil
	closed := false
	select {
	case <-d.expired:
		closed = true
	default:
	}
	if t.IsZero() {
		if closed {
			d.expired = make(chan struct{})
		}
		return
	}
	if remaining := time.Until(t); remaining > 0 {
		if closed {
			d.expired = make(chan struct{})
		}
		expired := d.expired
		d.timer = time.AfterFunc(remaining, func() { close(expired) })
		return
	}
	if !closed {
		close(d.expired)
	}
}
