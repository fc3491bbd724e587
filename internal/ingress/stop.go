package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/inbound"
)

const (
	// maxAcceptTime is how long the VM keeps accepting connections after it has
	// become unready: the load balancer probes once a second and needs two failures,
	// and callers see "Connection: close" in their next response.
	maxAcceptTime = 2600 * time.Millisecond
	// responseMargin is how long before the end of the stop the last responses are
	// due, so that a VM with little processor time still writes all of them.
	responseMargin = 400 * time.Millisecond
	// closeMargin is how long before the end of the stop the remaining connections
	// are closed.
	closeMargin = 50 * time.Millisecond
	// defaultStopTimeout applies to a stop whose context has no deadline.
	defaultStopTimeout = time.Minute
	// minIdleTime is how long a connection must be idle before the VM closes it.
	minIdleTime      = inbound.MinIdleTime
	idlePollInterval = 50 * time.Millisecond
)

// errStopping is the cancellation cause of requests that are in progress at the end
// of a stop. Its text is part of responses to callers.
var errStopping = errors.New("ingress: VM is stopping")

// stopPlan holds the times of a stop.
type stopPlan struct {
	// acceptUntil is when the listener closes.
	acceptUntil core.Instant
	// respondBy is when every request that was read must have its response.
	respondBy core.Instant
}

func newStopPlan(now core.Instant, timeout, margin time.Duration) stopPlan {
	available := max(0, timeout-margin)
	return stopPlan{acceptUntil: now.Add(min(maxAcceptTime, available/2)), respondBy: now.Add(available)}
}

// admit returns the deadline of a request that has the given one, or false if the
// request must be refused. While the listener is open, a request may use the time
// that is left, and the balancer rejects it if that is too short for its service.
// Later, only a request that ends in time whatever its target does is admitted.
func (p stopPlan) admit(now, deadline core.Instant) (core.Instant, bool) {
	if now.Before(p.acceptUntil) {
		return min(deadline, p.respondBy), true
	}
	return deadline, deadline <= p.respondBy
}

// admit returns the deadline of a request that has the given one, or false if the
// server stops and must refuse the request.
func (s *Server) admit(deadline core.Instant) (core.Instant, bool) {
	if p := s.plan.Load(); p != nil {
		return p.admit(s.Clock(), deadline)
	}
	return deadline, true
}

// stopRejection refuses a request that hasn't been passed on. The caller may return
// at once, as new connections reach other VMs.
func stopRejection() *rejection {
	return &rejection{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: minRetryAfter}
}

// Stop stops the server gracefully until the deadline of the context. From now on
// each response closes its connection. Later the listener and the idle connections
// are closed, and shortly before the deadline the requests that are still in
// progress get a response of the VM.
func (s *Server) Stop(ctx context.Context) error {
	timeout := defaultStopTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	p := newStopPlan(s.Clock(), timeout, s.responseMargin)
	s.plan.Store(&p)
	end := time.AfterFunc(p.respondBy.Sub(s.Clock()), func() { s.endRequests(errStopping) })
	defer end.Stop()
	ctx, cancel := context.WithTimeout(ctx, timeout-closeMargin)
	defer cancel()

	duty.Sleep(ctx, p.acceptUntil.Sub(s.Clock()))
	_ = s.listener.Close()
	// A connection may have been accepted just before the listener closed, and its
	// request may still be unread while the VM's CPU is throttled.
	for idleFor := time.Duration(0); ctx.Err() == nil; idleFor += idlePollInterval {
		if s.closeIdleConns() > 0 {
			idleFor = 0
		} else if idleFor >= minIdleTime || !s.Clock().Before(p.respondBy) {
			break
		}
		duty.Sleep(ctx, idlePollInterval)
	}
	if cut := s.inProgress.Load(); cut > 0 {
		s.Metrics.Counter("stop_cut_requests").Inc(cut)
		s.Log.Info("stop ends with requests in progress", "count", cut)
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
