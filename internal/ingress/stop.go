package ingress

import (
	"context"
	"time"

	"celeryhook.example/celeryhook/internal/duty"
)

const (
	// announceTime is how long the VM goes on as before after it has become
	// unready: the load balancer asks once a second and needs two misses, and
	// callers learn by their next answer that the connection closes.
	announceTime = 2600 * time.Millisecond
	// quietTime is how long a connection must be idle before the VM closes it.
	quietTime = 300 * time.Millisecond
	stopPoll  = 50 * time.Millisecond
)

// Stop ends the server without cutting a request: each answer closes its
// connection from now on; after a while the listener and the idle connections
// close, and the requests in progress are waited for until the context ends.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	duty.Sleep(ctx, announceTime)
	_ = s.inner.Close()
	// A connection may have been accepted just before the listener closed, with
	// its request still to be read when the VM's processor share was used up.
	for quiet := time.Duration(0); quiet < quietTime && ctx.Err() == nil; quiet += stopPoll {
		if s.closeIdle() > 0 {
			quiet = 0
		}
		duty.Sleep(ctx, stopPoll)
	}
	return s.server.Close()
}

// closeIdle closes the idle connections and returns how many stay open.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for c := range s.conns {
		if !c.closeIfIdle(quietTime) {
			open++
		}
	}
	return open
}
