package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/routing"
)

const (
	// unknownConfigRetry is told while no configuration is known; a VM that
	// starts learns it within a few hundred milliseconds.
	unknownConfigRetry = 300 * time.Millisecond
	// defaultTimeout holds for a request that states no deadline on a route
	// without one.
	defaultTimeout = 10 * time.Second
)

// request is a caller's request while it is in progress.
type request struct {
	*Server
	w  http.ResponseWriter
	in *http.Request
	// ctx ends when the caller leaves or its time is over.
	ctx     context.Context
	id      string
	rule    *routing.Rule
	version int64
	service core.Service
	keyed   bool
	key     uint16
	body    []byte
	header  http.Header
	began   core.Instant
	until   core.Instant

	tried   []core.Target
	sends   int
	reason  string
	decided decided
}

// decided keeps the inputs of the last decision, for the log.
type decided struct {
	target    core.Target
	expected  time.Duration
	occupancy float64
	loadAge   time.Duration
	waited    time.Duration
}

// serve answers one request.
func (s *Server) serve(w http.ResponseWriter, in *http.Request) {
	r := &request{Server: s, w: w, in: in, began: s.Clock()}
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	ctx, span := s.Tracer.Start(in.Context(), "request")
	defer span.End()
	if refusal := r.admit(); refusal != nil {
		r.refuse(refusal)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.until.Sub(s.Clock()))
	defer cancel()
	r.ctx = ctx
	r.forward()
}

// refusal is an answer of the VM's own.
type refusal struct {
	status int
	reason string
	// retryAfter is told if it is positive.
	retryAfter time.Duration
}

// admit finds the route and reads the request whole.
func (r *request) admit() *refusal {
	r.id = r.in.Header.Get(r.Headers.RequestID)
	table := r.Routes.Table()
	if table == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no-configuration", retryAfter: unknownConfigRetry}
	}
	r.version = table.Version()
	if r.id == "" {
		return &refusal{status: http.StatusBadRequest, reason: "no-request-id"}
	}
	path, _, _ := strings.Cut(r.in.RequestURI, "?")
	if r.rule = table.Find(r.in.Host, path); r.rule == nil {
		return &refusal{status: http.StatusNotFound, reason: "no-route"}
	}
	r.service = r.rule.Pick()
	if service, ok := table.Service(r.service); ok && service.Sharded {
		if r.key, r.keyed = r.Headers.ParseKey(r.in.Header.Get(r.Headers.Key)); !r.keyed {
			return &refusal{status: http.StatusBadRequest, reason: "no-key"}
		}
	}
	wait := r.rule.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if d, ok := r.Headers.ParseDeadline(r.in.Header.Get(r.Headers.Deadline)); ok {
		wait = min(wait, d)
	}
	r.until = r.began.Add(wait)
	r.header = forwarded(r.in.Header, r.Headers)
	return r.readBody(table.Limits().BodyBytes)
}

// readBody reads the whole body, so that a caller that stops midway never
// leaves a target with half a request.
func (r *request) readBody(limit int64) *refusal {
	if r.in.Body == nil || r.in.ContentLength == 0 {
		return nil
	}
	if limit <= 0 {
		limit = defaultBody
	}
	if r.in.ContentLength > limit {
		r.w.Header().Set("Connection", "close")
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	}
	ended := time.AfterFunc(r.until.Sub(r.Clock()), func() {
		_ = http.NewResponseController(r.w).SetReadDeadline(time.Unix(1, 0))
	})
	body, err := io.ReadAll(http.MaxBytesReader(r.w, r.in.Body, limit))
	inTime := ended.Stop()
	if !inTime || err != nil {
		r.w.Header().Set("Connection", "close")
		var large *http.MaxBytesError
		switch {
		case !inTime:
			return &refusal{status: http.StatusRequestTimeout, reason: "body-incomplete"}
		case errors.As(err, &large):
			return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
		}
		return &refusal{status: http.StatusBadRequest, reason: "body-broken-off"}
	}
	r.body = body
	return nil
}

// defaultBody bounds a body where the configuration states no limit.
const defaultBody = 64 << 20
