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

// stopPoll is the pause between looks at what a stop waits for.
const stopPoll = 10 * time.Millisecond

// servers are the HTTP servers of a process.
type servers struct {
	callers, peers, operators *http.Server
	listeners                 []*accept.Listener
}

// startServers serves the three listeners, in the order of listen.
func (p *Process) startServers(open []net.Listener) servers {
	c := p.settings.Callers
	s := servers{
		callers:   newServer(p.callerHandler, p.settings.Callers),
		peers:     newServer(p.closing(p.peerHandler()), internalLimits),
		operators: newServer(p.operatorHandler(), internalLimits),
		listeners: []*accept.Listener{
			accept.NewListener(open[0], p.metrics),
			accept.NewListenerWithStopResponse(open[1], p.metrics, peer.StoppingResponse),
		},
	}
	if c.HeaderBytes == 0 {
		s.callers.MaxHeaderBytes = internalLimits.HeaderBytes
	}
	accept.TrackConnStates(s.callers)
	accept.TrackConnStates(s.peers)
	go p.serve(s.callers, s.listeners[0])
	go p.serve(s.peers, s.listeners[1])
	go p.serve(s.operators, open[2])
	return s
}

// closing makes other VMs leave their connections while this VM stops.
func (p *Process) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		accept.HeaderReceived(r.Context())
		if p.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// stop ends the process without cutting a request: it is no longer ready,
// then serves on while the balancer and the other VMs turn away, then lets
// requests in flight finish and closes the listeners.
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
	p.settle(ctx)
	for _, l := range s.listeners {
		l.Quiesce(ctx)
	}
	p.finish(ctx)
	p.shutdown(ctx, s.callers, "callers")
	p.shutdown(ctx, s.peers, "peers")
	accept.Linger(ctx)
	p.shutdown(ctx, s.operators, "operators")
	p.stopDuties()
	p.log.Info("entry VM stopped", "vm", p.settings.VM)
}

// settle serves on for the settle time and, for as long again at most, until
// no map names this VM as a front.
func (p *Process) settle(ctx context.Context) {
	if p.settings.StopSettle <= 0 {
		return
	}
	waitUntil(ctx, p.settings.StopSettle, func() bool { return false })
	waitUntil(ctx, p.settings.StopSettle, func() bool { return !p.isFront(ctx) })
}

// finish waits for requests in flight, for at most half of the time left: under
// new requests without end, the rest is for closing the listeners.
func (p *Process) finish(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	waitUntil(ctx, time.Until(deadline)/2, func() bool { return p.callerHandler.InFlight() == 0 })
}

// waitUntil waits for a condition, at most for a time.
func waitUntil(ctx context.Context, most time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	ticker := time.NewTicker(stopPoll)
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
	_, maps, err := p.newer(ctx, 0, map[core.FailureDomain]core.Token{})
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

// shutdown closes a listener once its requests have finished, or cuts them
// when the time is over.
func (p *Process) shutdown(ctx context.Context, s *http.Server, name string) {
	if err := s.Shutdown(ctx); err != nil {
		p.metrics.Count("stops_cut", name)
		p.log.Error(err, "requests were cut as the stop's time is over", "listener", name)
		_ = s.Close()
	}
}
