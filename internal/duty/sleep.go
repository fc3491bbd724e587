package duty

import (
	"context"
	"time"
)

// Sleep waits and reports whether the context is still alive. It is for edges
// and pools; a duty itself sleeps only on its ring.
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
