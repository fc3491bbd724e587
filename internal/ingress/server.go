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
	"celeryhook.example/celeryhook/internal/inbound"
	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/observe"
	"celeryhook.example/celeryhook/internal/protocol"
	"celeryhook.example/celeryhook/internal/quarantine"
	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/team"
	"celeryhook.example/celeryhook/internal/upstream"
)

const (
	// maxHeaderBytes bounds a request's header whatever the configuration allows.
	maxHeaderBytes = 1 << 20
	// headerTimeout bounds the time until a header is complete: from the start of its
	// connection, and from its first byte if the configuration sets no limit.
	headerTimeout = 10 * time.Second
	// headerSlack is added to the configured limit for delays of the network.
	headerSlack = time.Second
	// idleTimeout is longer than every configured one: callers, not the VM, close
	// idle connections, so that no request arrives on a connection that the VM is
	// closing.
	idleTimeout = 2 * time.Minute
)

// Balancer selects targets and records the results of attempts.
type Balancer interface {
	// SelectTarget returns a decision. The error is the context's, or the
	// balancer is overloaded.
	SelectTarget(ctx context.Context, req balance.SelectTarget) (balance.Decision, error)
	// Done reports the result of an attempt.
	Done(balance.AttemptDone)
	// NotOwner reports that a target doesn't hold a key that it should own.
	NotOwner(service core.Service, key uint16, target core.Target)
}

// Quarantine keeps requests that crash targets away from them.
type Quarantine interface {
	// Empty reports whether no request is suspected.
	Empty() bool
	// Admit decides whether a request may be sent.
	Admit(f quarantine.Fingerprint) quarantine.Admission
	// Lost reports that a process closed the connection with a request.
	Lost(f quarantine.Fingerprint, p quarantine.Process)
	// Answered reports that a target responded to a request.
	Answered(f quarantine.Fingerprint)
}

// Quota limits the requests of teams.
type Quota interface {
	// Take returns a permit for a request, for which it may wait until the given time.
	// The error is the context's, or the quota can't be decided at present.
	Take(ctx context.Context, t *team.Team, version int64, until core.Instant) (team.Verdict, error)
	// GiveBack returns a permit under which nothing can have run.
	GiveBack(p team.Permit)
	// Count counts a request of a team.
	Count(t *team.Team, o team.Outcome)
}

// Exchanger sends one attempt to a target.
type Exchanger interface {
	Do(ctx context.Context, r *upstream.Request) (*upstream.Response, error)
}

// Options are the dependencies of a Server.
type Options struct {
	Routes     *routing.ActiveTable
	Balancer   Balancer
	Quarantine Quarantine
	Upstream   Exchanger
	Headers    *protocol.Headers
	Clock      duty.Clock
	Log        logr.Logger
	Metrics    *observe.Metrics
	Tracer     trace.Tracer
	// ConfigAge returns the time since the configuration in force was known to be the
	// newest. Nil means that it always is.
	ConfigAge func() time.Duration
	// Identity bounds that time. Zero values mean no bound.
	Identity IdentityLimits
	// Quota is used only for requests of teams.
	Quota Quota
	// Memory is the account of the process; nil means one with the default limit.
	Memory *memory.Account
	// MaxFDs is the number of descriptors that the process may open; 0 means that it
	// isn't known.
	MaxFDs int64
}

// Server is the HTTP server for callers.
type Server struct {
	Options
	server   *http.Server
	listener net.Listener
	// plan is set when the server stops.
	plan atomic.Pointer[stopPlan]
	// requests ends, with the cause errStopping, when the requests in progress must
	// end.
	requests    context.Context
	endRequests context.CancelCauseFunc
	inProgress  atomic.Int64
	limits      limits
	openConns   atomic.Int64
	room        *inbound.Room
	// responseMargin and responseTimeout are fields for the tests.
	responseMargin, responseTimeout time.Duration
	mu                              sync.Mutex
	conns                           map[*conn]struct{}
	// leaving is the last connection that has given way.
	leaving *conn
}

// NewServer returns a server that doesn't listen yet.
func NewServer(o Options) *Server {
	s := &Server{Options: o, conns: make(map[*conn]struct{}), room: inbound.NewRoom(), responseMargin: responseMargin, responseTimeout: responseTimeout}
	if s.Memory == nil {
		s.Memory = memory.NewAccount(memory.DefaultLimit)
	}
	s.limits = newLimits(s.Memory.Limit(), s.MaxFDs)
	s.requests, s.endRequests = context.WithCancelCause(context.Background())
	router := gin.New()
	router.RedirectTrailingSlash = false
	router.NoRoute(func(c *gin.Context) {
		// Replaces the status 404 that gin sets for requests without a route.
		c.Status(http.StatusOK)
		s.serveInOrder(c.Writer, c.Request)
	})
	s.server = &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       s.connContext,
		ConnState:         s.trackConnState,
	}
	return s
}

// trackConnState maintains the set of open connections and their busy state.
func (s *Server) trackConnState(c net.Conn, state http.ConnState) {
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
		n.endHead()
		_ = n.SetWriteDeadline(time.Time{}) // fails only if the connection is closed
	case http.StateIdle:
		n.beginHead()
	}
}

// makeRoom closes the connection that gives way, unless one that has given way hasn't
// ended yet. It reports whether there will be more room soon.
func (s *Server) makeRoom(need inbound.Need) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLeaving() || s.evict(need, nil)
}

// mayGiveWaySoon reports whether there is a connection whose first request hasn't begun.
func (s *Server) mayGiveWaySoon() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.isFresh() {
			return true
		}
	}
	return false
}

// awaitMemory waits until a connection with an incomplete head has ended. It reports
// false if none gives way.
func (s *Server) awaitMemory() bool { return s.makeRoomForHead(nil) }

// makeRoomForHead is awaitMemory for the incomplete head of a connection. It reports
// false also if that connection itself has to give way, or has.
func (s *Server) makeRoomForHead(c *conn) bool {
	s.mu.Lock()
	if c != nil && c.isClosed() || !s.isLeaving() && !s.evict(inbound.Memory, c) {
		s.mu.Unlock()
		return false
	}
	leaving := s.leaving
	s.mu.Unlock()
	return inbound.AwaitEnd(leaving.done)
}

// isLeaving reports whether a connection that has given way hasn't ended. It must be
// called with the lock held.
func (s *Server) isLeaving() bool {
	if s.leaving == nil {
		return false
	}
	select {
	case <-s.leaving.done:
		return false
	default:
		return true
	}
}

// evict closes the connection that gives way unless it is keep. It must be called with
// the lock held.
func (s *Server) evict(need inbound.Need, keep *conn) bool {
	// What was selected may have been used meanwhile.
	const maxSelections = 4
	for range maxSelections {
		c, seen, ok := inbound.Select(func(yield func(*conn, inbound.View) bool) {
			for c := range s.conns {
				if !yield(c, c.view()) {
					return
				}
			}
		}, need, time.Now())
		if !ok || c == keep {
			return false
		}
		if c.evict(seen) {
			s.leaving = c
			s.Metrics.Count("connections_evicted")
			return true
		}
	}
	return false
}

// headTimeout returns how long the head of a request may take from its first byte.
func (s *Server) headTimeout() time.Duration {
	if table := s.Routes.Table(); table != nil && table.Limits().HeaderTimeout > 0 {
		return table.Limits().HeaderTimeout + headerSlack
	}
	return headerTimeout
}

// maxHeadBytes returns how large the head of a request may be.
func (s *Server) maxHeadBytes() int64 {
	limit := inbound.DefaultHeadBytes
	if table := s.Routes.Table(); table != nil && table.Limits().HeaderBytes > 0 {
		limit = table.Limits().HeaderBytes
	}
	return int64(limit) + inbound.HeadSlack
}

// Listen opens the listener for callers.
func (s *Server) Listen(address string) error {
	l, err := accept.Listen(address)
	if err != nil {
		return fmt.Errorf("ingress: %w", err)
	}
	s.listener = l
	return nil
}

// Serve accepts connections until Stop.
func (s *Server) Serve() error {
	err := s.server.Serve(listener{
		Listener: s.listener, memory: s.Memory, metrics: s.Metrics, limits: s.limits, open: &s.openConns, makeRoom: s.makeRoom,
		mayGiveWaySoon: s.mayGiveWaySoon, room: s.room,
	})
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("ingress: %w", err)
	}
	return nil
}
