package app

import (
	"context"
	"net"
	"net/http"
	"time"

	"celeryhook.example/celeryhook/internal/accept"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/peer"
)

// stopPollInterval is how often a stop checks a condition that it waits for.
const stopPollInterval = 10 * time.Millisecond

// servers are the HTTP servers of a process.
type servers struct {
	callers, peers, operators *http.Server
	listeners                 []*accept.Listener
}

// startServers serves on the listeners for callers, VMs and operators, in this
// order.
func (p *Process) startServers(listeners []net.Listener) servers {
	c := p.settings.Callers
	s := servers{
		callers:   newServer(p.callerHandler, p.settings.Callers),
		peers:     newServer(p.closeWhenStopping(p.peerHandler()), internalLimits),
		operators: newServer(p.operatorHandler(), operatorLimits),
		listeners: []*accept.Listener{
			accept.NewListener(listeners[0], p.newGuard("callers", c), p.metrics),
			accept.NewListenerWithStopResponse(listeners[1], p.newGuard("peers", internalLimits), p.metrics, peer.StoppingResponse),
		},
	}
	if c.HeaderBytes == 0 {
		s.callers.MaxHeaderBytes = internalLimits.HeaderBytes
	}
	accept.TrackConnStates(s.callers)
	accept.TrackConnStates(s.peers)
	go p.serve(s.callers, s.listeners[0])
	go p.serve(s.peers, s.listeners[1])
	operators := p.newGuard("operators", operatorLimits)
	operators.Protect(s.operators)
	go p.serve(s.operators, operators.Listener(listeners[2]))
	return s
}

// closeWhenStopping makes responses close the connections of other VMs while
// this VM stops.
func (p *Process) closeWhenStopping(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !accept.HeaderReceived(r.Context()) {
			return
		}
		if p.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// stop shuts the process down gracefully: it reports that it is not ready,
// continues to serve while the load balancer and the other VMs stop sending
// requests, waits for requests in flight and then closes the listeners.
func (p *Process) stop(ctx context.Context, s servers) {
	if p.settings.StopTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.settings.StopTimeout)
		defer cancel()
	}
	p.stopping.Store(true)
	p.callerHandler.DisableKeepAlives()
	p.log.Info("entry VM stopping, no longer ready", "vm", p.settings.VM)
	_ = p.members.Put(ctx, membership.Leave{})
	p.awaitHandover(ctx)
	for _, l := range s.listeners {
		l.Quiesce(ctx)
	}
	p.awaitInFlight(ctx)
	p.shutdown(ctx, s.callers, "callers")
	p.shutdown(ctx, s.peers, "peers")
	accept.Linger(ctx)
	p.shutdown(ctx, s.operators, "operators")
	p.stopDuties()
	p.log.Info("entry VM stopped", "vm", p.settings.VM)
}

// awaitHandover continues to serve for StopSettle, then until no map names this
// VM as a front, but at most for another StopSettle.
func (p *Process) awaitHandover(ctx context.Context) {
	if p.settings.StopSettle <= 0 {
		return
	}
	waitUntil(ctx, p.settings.StopSettle, func() bool { return false })
	waitUntil(ctx, p.settings.StopSettle, func() bool { return !p.isFront(ctx) })
}

// awaitInFlight waits for requests in flight, for at most half of the remaining
// time: if new requests keep arriving, the other half is left for closing the
// listeners.
func (p *Process) awaitInFlight(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	waitUntil(ctx, time.Until(deadline)/2, func() bool { return p.callerHandler.InFlight() == 0 })
}

// waitUntil waits until done returns true or the timeout expires.
func waitUntil(ctx context.Context, timeout time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// isFront reports whether the newest maps name this VM as the front of a target.
func (p *Process) isFront(ctx context.Context) bool {
	_, maps, err := p.newerState(ctx, 0, map[core.FailureDomain]core.Token{})
	if err != nil {
		return false
	}
	for _, m := range maps {
		for _, t := range m.Targets {
			if t.Front == p.settings.VM {
				return true
			}
		}
	}
	return false
}

// shutdown stops a server gracefully, or closes its connections if the context
// expires first.
func (p *Process) shutdown(ctx context.Context, s *http.Server, name string) {
	if err := s.Shutdown(ctx); err != nil {
		p.metrics.Count("stops_cut", name)
		p.log.Error(err, "stop timeout exceeded, closing connections with requests in flight", "listener", name)
		_ = s.Close()
	}
}
