package replica

import (
	"context"
	"sync/atomic"
)

// toggle switches a goroutine on and off. One goroutine waits for it, which
// sleeps while it is off.
type toggle struct {
	on   *atomic.Bool
	wake chan struct{}
}

// newToggle returns a toggle that is off.
func newToggle() toggle { return toggle{on: new(atomic.Bool), wake: make(chan struct{}, 1)} }

func (t toggle) set(on bool) {
	t.on.Store(on)
	if !on {
		return
	}
	select {
	case t.wake <- struct{}{}:
	default: // a wake-up is pending
	}
}

// wait returns true once the toggle is on, or false once the context has ended.
func (t toggle) wait(ctx context.Context) bool {
	for ctx.Err() == nil {
		if t.on.Load() {
			return true
		}
		select {
		case <-t.wake:
		case <-ctx.Done():
		}
	}
	return false
}
