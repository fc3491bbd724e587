package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"

	"celeryhook.example/celeryhook/internal/accept"
	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/observe"
	"celeryhook.example/celeryhook/internal/protocol"
	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/upstream"
)

const (
	// maxHeader bounds a request's head before a configuration is known.
	maxHeader = 64 << 10
	// headerTimeout bounds the arrival of a head. Configured limits are shorter.
	headerTimeout = 10 * time.Second
	// idleTimeout is above every configured one: callers, not the VM, end idle
	// connections, so that no request crosses a close.
	idleTimeout = 2 * time.Minute
)

// Balancer asks for targets and learns how attempts ended.
type Balancer interface {
	// Ask returns a decision. The error is the context's or says that the
	// balancer has too much to do.
	Ask(ctx context.Context, a balance.SelectTarget) (balance.Decision, error)
	// Done never waits.
	Done(balance.AttemptDone)
	// NotOwner tells that a target doesn't hold a key that it should own.
	NotOwner(service core.Service, key uint16, target core.Target)
}

// Exchanger sends one attempt to a target.
type Exchanger interface {
	Do(ctx context.Context, r *upstream.Request) (*upstream.Answer, error)
}

// Options are what a Server works with.
type Options struct {
	Routes   *routing.ActiveTable
	Balancer Balancer
	Upstream Exchanger
	Headers  *protocol.Headers
	Clock    duty.Clock
	Log      logr.Logger
	Metrics  *observe.Metrics
	Tracer   trace.Tracer
}

// Server serves callers.
type Server struct {
	Options
	server   *http.Server
	inner    net.Listener
	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{}
}

// NewServer returns a server that doesn't listen yet.
func NewServer(o Options) *Server {
	s := &Server{Options: o, conns: make(map[*conn]struct{})}
	engine := gin.New()
	engine.RedirectTrailingSlash = false
	engine.NoRoute(func(c *gin.Context) {
		// The status that the router sets by default must not show.
		c.Status(http.StatusOK)
		s.serve(c.Writer, c.Request)
	})
	s.server = &http.Server{
		Handler:           engine,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnContext:       connContext,
		ConnState:         s.track,
	}
	return s
}

// track lists the open connections.
func (s *Server) track(c net.Conn, state http.ConnState) {
	n, ok := c.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[n] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, n)
	case http.StateActive:
		n.busy.Store(true)
	case http.StateIdle:
		n.busy.Store(false)
		n.touch()
	}
}

// Listen opens the callers' address.
func (s *Server) Listen(address string) error {
	l, err := accept.Listen(address)
	if err != nil {
		return fmt.Errorf("ingress: %w", err)
	}
	s.inner = l
	return nil
}

// Serve serves until Stop.
func (s *Server) Serve() error {
	err := s.server.Serve(listener{s.inner})
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("ingress: %w", err)
	}
	return nil
}
