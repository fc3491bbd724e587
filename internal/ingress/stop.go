package ingress

import (
	"context"
	"time"

	"celeryhook.example/celeryhook/internal/duty"
)

const (
	// drainDelay is how long the VM keeps accepting requests after it has become
	// unready: the load balancer probes once a second and needs two failures, and
	// callers see "Connection: close" in their next response.
	drainDelay = 2600 * time.Millisecond
	// minIdleTime is how long a connection must be idle before the VM closes it.
	minIdleTime      = 300 * time.Millisecond
	idlePollInterval = 50 * time.Millisecond
)

// Stop stops the server gracefully: from now on each response closes its
// connection; after drainDelay it closes the listener and the idle connections
// and waits for the requests in progress until the context ends.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	duty.Sleep(ctx, drainDelay)
	_ = s.listener.Close()
	// A connection may have been accepted just before the listener closed, and its
	// request may still be unread while the VM's CPU is throttled.
	for idleFor := time.Duration(0); idleFor < minIdleTime && ctx.Err() == nil; idleFor += idlePollInterval {
		if s.closeIdleConns() > 0 {
			idleFor = 0
		}
		duty.Sleep(ctx, idlePollInterval)
	}
	return s.server.Close()
}

// closeIdleConns closes the idle connections and returns how many stay open.
func (s *Server) closeIdleConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for c := range s.conns {
		if !c.closeIfIdle(minIdleTime) {
			open++
		}
	}
	return open
}
