package duty

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether the context is still active. It is for
// I/O goroutines and pools; a duty waits only on its ring.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
