package replica

import (
	"context"
	"testing"
	"time"
)

// Guards against a goroutine that misses being switched on, also while it is
// about to wait, and against one that outlives its context.
func TestToggleWakesItsWaiter(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	x := newToggle()
	steps := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for x.wait(ctx) {
			x.set(false)
			steps <- struct{}{}
		}
	}()
	for range 1000 {
		x.set(true)
		select {
		case <-steps:
		case <-ctx.Done():
			t.Fatal("the waiter was not woken")
		}
	}
	cancel()
	<-stopped
}
