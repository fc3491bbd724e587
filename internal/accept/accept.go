package accept

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync/atomic"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/propagation"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/forward"
	"celeryhook.example/celeryhook/internal/observe"
	"celeryhook.example/celeryhook/internal/policy"
	"celeryhook.example/celeryhook/internal/target"
)

// Server serves a call.
type Server interface {
	Serve(ctx context.Context, call forward.Call) forward.Answer
}

// Acceptor is the HTTP handler for callers.
type Acceptor struct {
	clock   duty.Clock
	server  Server
	metrics *observe.Metrics
	log     logr.Logger
	engine  atomic.Pointer[gin.Engine]
	// applied is set once a policy was applied; before that any route may exist.
	applied atomic.Bool
	// inFlight counts requests from their head to their response.
	inFlight atomic.Int64
	// closing is set once responses ask callers to leave the connection.
	closing atomic.Bool
}

// New returns an acceptor that serves nothing until a policy is applied.
func New(clock duty.Clock, server Server, metrics *observe.Metrics, log logr.Logger) *Acceptor {
	a := &Acceptor{clock: clock, server: server, metrics: metrics, log: log}
	a.engine.Store(a.newEngine())
	metrics.Gauge(a.inFlight.Load, "requests_in_flight")
	return a
}

// InFlight returns how many requests are being served.
func (a *Acceptor) InFlight() int64 { return a.inFlight.Load() }

// CloseConnections makes every response from now on the last one of its
// connection.
func (a *Acceptor) CloseConnections() { a.closing.Store(true) }

// ServeHTTP implements http.Handler.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	HeadArrived(r.Context())
	if a.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	defer a.recoverPanic(w, r)
	a.engine.Load().ServeHTTP(w, r)
}

// recoverPanic answers a request whose handler panicked. Whether it was run
// isn't known, as the panic may have come after it was sent.
func (a *Acceptor) recoverPanic(w http.ResponseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	a.metrics.Count("panics", "accept")
	a.log.Error(fmt.Errorf("accept: panic: %v", v), "handler panicked", "method", r.Method, "stack", string(debug.Stack()))
	var id core.RequestID
	if checked, f := checkID(r.Header.Get(HeaderIdempotencyKey)); f == nil {
		id = checked
	}
	writeProblem(w, problemOf(core.OutcomeUnknown, "an internal error occurred", id), 0)
}

func (a *Acceptor) handler(p *policy.Policy, r policy.Route, param string) gin.HandlerFunc {
	return func(c *gin.Context) {
		if _, ok := p.Services[r.Service]; !ok {
			a.refuse(c, badRequest("unknown-service", fmt.Sprintf("route %q leads to service %q, which doesn't exist", r.Name, r.Service)), "")
			return
		}
		began := a.clock()
		call, f := a.callOf(c, p, r, param)
		if f != nil {
			a.refuse(c, f, call.Request.ID)
			a.count(r, core.OutcomeBadRequest)
			return
		}
		if call.Request.Branch != "" && p.Branches[call.Request.Branch].Name == "" {
			a.metrics.Count("unknown_branch", string(r.Service))
		}
		ctx := propagation.TraceContext{}.Extract(c.Request.Context(), propagation.HeaderCarrier(c.Request.Header))
		answer := a.server.Serve(ctx, call)
		a.count(r, answer.Outcome)
		a.metrics.Latency(a.clock().Sub(began), "request", string(r.Service), r.Class.String())
		if answer.Outcome != core.OutcomeAnswered {
			writeProblem(c.Writer, problemOf(answer.Outcome, answer.Detail, call.Request.ID), answer.RetryAfter)
			return
		}
		writeResponse(c.Writer, call, answer)
	}
}

func (a *Acceptor) count(r policy.Route, outcome core.Outcome) {
	a.metrics.Count("requests", string(r.Service), r.Class.String(), string(outcome))
}

// refuse answers a request that is at fault.
func (a *Acceptor) refuse(c *gin.Context, f *fault, id core.RequestID) {
	a.metrics.Count("bad_input", f.reason)
	writeProblem(c.Writer, f.problem(id), 0)
}

func writeResponse(w http.ResponseWriter, call forward.Call, answer forward.Answer) {
	for name, values := range answer.Response.Header {
		if hopHeader(name) {
			continue
		}
		for _, v := range values {
			w.Header().Add(name, v)
		}
	}
	w.Header().Set(target.HeaderRequestID, string(call.Request.ID))
	w.Header().Set("Content-Length", fmt.Sprint(len(answer.Response.Body)))
	w.WriteHeader(answer.Response.Status)
	_, _ = w.Write(answer.Response.Body)
}
