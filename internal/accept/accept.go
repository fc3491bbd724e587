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
	Serve(ctx context.Context, call forward.Call) forward.Result
}

// Handler is the HTTP handler for callers.
type Handler struct {
	clock   duty.Clock
	server  Server
	metrics *observe.Metrics
	log     logr.Logger
	router  atomic.Pointer[gin.Engine]
	// policyApplied is set once a policy is in force; before that, a request
	// that matches no route may still have one.
	policyApplied atomic.Bool
	// inFlight counts requests from the receipt of the header until the response
	// is written.
	inFlight atomic.Int64
	// keepAlivesDisabled is set once responses carry "Connection: close".
	keepAlivesDisabled atomic.Bool
}

// New returns a handler that rejects all requests until a policy is applied.
func New(clock duty.Clock, server Server, metrics *observe.Metrics, log logr.Logger) *Handler {
	h := &Handler{clock: clock, server: server, metrics: metrics, log: log}
	h.router.Store(h.newRouter())
	metrics.Gauge(h.inFlight.Load, "requests_in_flight")
	return h
}

// InFlight returns how many requests are being served.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// DisableKeepAlives makes every later response close its connection.
func (h *Handler) DisableKeepAlives() { h.keepAlivesDisabled.Store(true) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if !HeaderReceived(r.Context()) {
		return
	}
	if h.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	defer h.recoverPanic(w, r)
	h.router.Load().ServeHTTP(w, r)
}

// recoverPanic responds to a request whose handler panicked. The outcome is
// unknown, as the panic may have occurred after the request was sent.
func (h *Handler) recoverPanic(w http.ResponseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	h.metrics.Count("panics", "accept")
	h.log.Error(fmt.Errorf("accept: panic: %v", v), "handler panicked", "method", r.Method, "stack", string(debug.Stack()))
	var id core.RequestID
	if checked, reqErr := checkID(r.Header.Get(HeaderIdempotencyKey)); reqErr == nil {
		id = checked
	}
	writeProblem(w, newProblem(core.OutcomeUnknown, "an internal error occurred", id), 0)
}

func (h *Handler) routeHandler(p *policy.Policy, r policy.Route, param string) gin.HandlerFunc {
	return func(c *gin.Context) {
		if _, ok := p.Services[r.Service]; !ok {
			h.reject(c, badRequest("unknown-service", fmt.Sprintf("route %q leads to service %q, which doesn't exist", r.Name, r.Service)), "")
			return
		}
		startedAt := h.clock()
		call, reqErr := h.parseCall(c, p, r, param)
		if reqErr != nil {
			h.reject(c, reqErr, call.Request.ID)
			h.count(r, core.OutcomeBadRequest)
			return
		}
		if call.Request.Branch != "" && p.Branches[call.Request.Branch].Name == "" {
			h.metrics.Count("unknown_branch", string(r.Service))
		}
		ctx := propagation.TraceContext{}.Extract(c.Request.Context(), propagation.HeaderCarrier(c.Request.Header))
		result := h.server.Serve(ctx, call)
		h.count(r, result.Outcome)
		h.metrics.Latency(h.clock().Sub(startedAt), "request", string(r.Service), r.Class.String())
		if result.Outcome != core.OutcomeAnswered {
			writeProblem(c.Writer, newProblem(result.Outcome, result.Detail, call.Request.ID), result.RetryAfter)
			return
		}
		writeResponse(c.Writer, call, result)
	}
}

func (h *Handler) count(r policy.Route, outcome core.Outcome) {
	h.metrics.Count("requests", string(r.Service), r.Class.String(), string(outcome))
}

// reject responds to an invalid request.
func (h *Handler) reject(c *gin.Context, reqErr *requestError, id core.RequestID) {
	h.metrics.Count("bad_input", reqErr.reason)
	writeProblem(c.Writer, reqErr.problem(id), 0)
}

func writeResponse(w http.ResponseWriter, call forward.Call, result forward.Result) {
	for name, values := range result.Response.Header {
		if isHopByHop(name) {
			continue
		}
		for _, v := range values {
			w.Header().Add(name, v)
		}
	}
	w.Header().Set(target.HeaderRequestID, string(call.Request.ID))
	w.Header().Set("Content-Length", fmt.Sprint(len(result.Response.Body)))
	w.WriteHeader(result.Response.Status)
	_, _ = w.Write(result.Response.Body)
}
