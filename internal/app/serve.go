package app

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"celeryhook.example/celeryhook/internal/accept"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/inbound"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/peer"
	"celeryhook.example/celeryhook/internal/peer/peerpb"
	"celeryhook.example/celeryhook/internal/route"
	"celeryhook.example/celeryhook/internal/settings"
)

// internalLimits apply to the connections of other VMs. HeaderBytes also applies to the
// responses that this VM gets.
var internalLimits = settings.Callers{
	HeaderTimeout: 5 * time.Second,
	ReadTimeout:   30 * time.Second,
	IdleTimeout:   60 * time.Second,
	HeaderBytes:   64 << 10,
	Connections:   settings.DefaultConnections,
	HeadMemory:    settings.DefaultHeadMemory,
}

// operatorLimits apply to the connections of operators and of the load balancer's
// probes. The longest head asks to explain a key of 4 KiB in escaped form.
var operatorLimits = settings.Callers{
	HeaderTimeout: internalLimits.HeaderTimeout,
	ReadTimeout:   internalLimits.ReadTimeout,
	IdleTimeout:   internalLimits.IdleTimeout,
	HeaderBytes:   16 << 10,
	Connections:   256,
	HeadMemory:    4 << 20,
}

func listen(addresses ...*string) ([]net.Listener, error) {
	var out []net.Listener
	for _, a := range addresses {
		l, err := accept.Listen(*a)
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, fmt.Errorf("app: listen on %s: %w", *a, err)
		}
		// The kernel assigns the port if the settings specify port 0.
		*a = l.Addr().String()
		out = append(out, l)
	}
	return out, nil
}

func newServer(h http.Handler, l settings.Callers) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.HeaderTimeout,
		ReadTimeout:       l.ReadTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
	}
}

// newGuard returns the guard of a listener, which has room for one head at least,
// whatever its lines are.
func (p *Process) newGuard(listener string, l settings.Callers) *inbound.Guard {
	headBytes := cmp.Or(l.HeaderBytes, internalLimits.HeaderBytes)
	limits := inbound.Limits{
		Conns: cmp.Or(l.Connections, settings.DefaultConnections), HeadBytes: headBytes,
		Heads: memory.NewAccount(max(cmp.Or(l.HeadMemory, settings.DefaultHeadMemory), 2*inbound.LargestCost(headBytes))),
	}
	return inbound.NewGuard(listener, limits, p.metrics)
}

func (p *Process) peerHandler() http.Handler {
	server := peer.NewServer(peer.Handlers{
		Exchange: p.exchangeHeartbeat,
		Publish:  p.receiveMap,
		Fetch:    p.newerState,
		Remember: p.rememberForPeer,
		Recall:   p.recallForPeer,
		Promise:  p.decidePromise,
		Report:   p.receiveReport,
	}, p.local, p.clock, p.tracer)
	return peerpb.NewPeerServer(server)
}

func (p *Process) exchangeHeartbeat(ctx context.Context, info membership.Info) (membership.Info, error) {
	reply := make(chan membership.Info, 1)
	if err := p.members.Put(ctx, membership.HeartbeatReceived{Info: info, Reply: reply}); err != nil {
		return membership.Info{}, err
	}
	select {
	case own := <-reply:
		return own, nil
	case <-ctx.Done():
		return membership.Info{}, fmt.Errorf("app: heartbeat: %w", ctx.Err())
	}
}

func (p *Process) newerState(ctx context.Context, offset uint64, maps map[core.FailureDomain]core.Token) ([]byte, []*core.RangeMap, error) {
	reply := make(chan route.NewerState, 1)
	if err := p.routes.Put(ctx, route.NewerStateRequested{LogOffset: offset, Maps: maps, Reply: reply}); err != nil {
		return nil, nil, err
	}
	select {
	case newer := <-reply:
		if newer.LogState == nil {
			return nil, newer.Maps, nil
		}
		logState, err := json.Marshal(newer.LogState)
		if err != nil {
			return nil, nil, fmt.Errorf("app: encode log state: %w", err)
		}
		return logState, newer.Maps, nil
	case <-ctx.Done():
		return nil, nil, fmt.Errorf("app: newer state: %w", ctx.Err())
	}
}

func (p *Process) operatorHandler() http.Handler {
	e := gin.New()
	e.Use(gin.CustomRecoveryWithWriter(nil, func(c *gin.Context, v any) {
		p.metrics.Count("panics", "operators")
		p.log.Error(fmt.Errorf("app: panic: %v", v), "operators' handler panicked", "path", c.Request.URL.Path)
		c.String(http.StatusInternalServerError, "an internal error occurred\n")
	}))
	e.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", p.serveReady)
	e.GET("/metrics", gin.WrapH(p.metrics))
	e.GET("/explain", p.serveExplain)
	e.GET("/status", p.serveStatus)
	return e
}

// serveReady tells the load balancer whether to send requests to this VM.
func (p *Process) serveReady(c *gin.Context) {
	if p.stopping.Load() {
		c.String(http.StatusServiceUnavailable, "stopping\n")
		return
	}
	_, maps, err := p.newerState(c.Request.Context(), 0, nil)
	if err != nil || len(maps) == 0 {
		c.String(http.StatusServiceUnavailable, "no range map is known yet\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

func (p *Process) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		p.log.Error(err, "listener failed", "address", l.Addr().String())
	}
}
