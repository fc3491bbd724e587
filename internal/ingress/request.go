package ingress

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/cost"
	"celeryhook.example/celeryhook/internal/inbound"
	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/quarantine"
	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/team"
)

const (
	// noConfigRetryAfter is the Retry-After time while the VM has no
	// configuration; after a start it receives one within a few hundred
	// milliseconds.
	noConfigRetryAfter = 300 * time.Millisecond
	// defaultTimeout applies to a request without a deadline on a route without a
	// timeout.
	defaultTimeout = 10 * time.Second
)

// request is a caller's request while it is in progress.
type request struct {
	*Server
	w           http.ResponseWriter
	httpRequest *http.Request
	// ctx ends when the caller closes the connection, the deadline passes or the VM
	// has to stop.
	ctx     context.Context
	id      string
	rule    *routing.Rule
	version int64
	service core.Service
	// loadControl is set if the service is under load control.
	loadControl bool
	keyed       bool
	key         uint16
	body        []byte
	// held is what the request holds of the memory account until it ends.
	held      *memory.Charge
	header    http.Header
	startedAt core.Instant
	// patience is how long the caller said that it waits, or 0.
	patience time.Duration
	deadline core.Instant
	// team is the team that sent the request, or nil.
	team *team.Team
	// teamVersion is the version of the configuration that the team is from, and
	// permit a permit under which nothing was sent.
	teamVersion  int64
	permit       *team.Permit
	quotaCounted bool

	// suspected is set if targets have ended while they had the same request.
	suspected   bool
	fingerprint func() quarantine.Fingerprint
	// features are zero unless the service has load control.
	features cost.Features

	tried        []core.Target
	sends        int
	reason       string
	lastDecision decisionInputs
}

// decisionInputs are the inputs of the last decision, for the log.
type decisionInputs struct {
	target    core.Target
	expected  time.Duration
	occupancy float64
	loadAge   time.Duration
	waited    time.Duration
}

// handle handles one request.
func (s *Server) handle(w http.ResponseWriter, httpRequest *http.Request) {
	r := &request{
		Server: s, w: w, httpRequest: httpRequest, startedAt: s.Clock(), held: s.Memory.NewCharge(), id: httpRequest.Header.Get(s.Headers.RequestID),
	}
	defer r.held.Release()
	inProgress := s.inProgress.Add(1)
	defer s.inProgress.Add(-1)
	ctx, span := s.Tracer.Start(httpRequest.Context(), "request")
	defer span.End()
	rejection := r.checkRoom(inProgress)
	if rejection == nil {
		rejection = r.prepare()
	}
	if rejection != nil {
		r.reject(rejection)
		if rejection.unread && httpRequest.Close {
			r.discardBody()
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.deadline.Sub(s.Clock()))
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	cancelEnd := context.AfterFunc(s.requests, func() { end(errStopping) })
	defer cancelEnd()
	r.ctx = ctx
	r.fingerprint = sync.OnceValue(r.computeFingerprint)
	if !s.Quarantine.Empty() {
		a := s.Quarantine.Admit(r.fingerprint())
		r.suspected = a.Suspected
		if a.Held {
			r.reject(quarantineRejection(a.Until.Sub(s.Clock())))
			return
		}
		if a.Done != nil {
			defer a.Done()
		}
	}
	r.forward()
}

// computeFingerprint returns the fingerprint of what the request is to a target.
func (r *request) computeFingerprint() quarantine.Fingerprint {
	parts := [][]byte{[]byte(r.httpRequest.Method), []byte(r.httpRequest.Host), []byte(r.httpRequest.RequestURI), r.body}
	for _, name := range callerHeaders {
		parts = append(parts, []byte(strings.Join(r.header.Values(name), "\x00")))
	}
	if r.team != nil {
		parts = append(parts, []byte(r.team.Name))
	}
	return quarantine.NewFingerprint(parts...)
}

// callerHeaders are the headers that say who sends a request. Other headers
// describe the client program or the attempt.
var callerHeaders = []string{"Authorization", "Cookie"}

// rejection is a response of the VM itself.
type rejection struct {
	status int
	reason string
	// retryAfter is sent to the caller if it is positive.
	retryAfter time.Duration
	// unread is set if the body was not read.
	unread bool
}

// discardTime bounds how long the body of a rejected request is discarded. It is that
// of net/http.
const discardTime = 500 * time.Millisecond

// discardBody discards what still arrives of a rejected request. For callers that have
// asked for the close of the connection, net/http closes it at once, and the reset
// discards the response.
func (r *request) discardBody() {
	c, ok := r.httpRequest.Context().Value(connKey{}).(*conn)
	if !ok || http.NewResponseController(r.w).Flush() != nil || c.CloseWrite() != nil {
		return
	}
	timer := time.NewTimer(discardTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.httpRequest.Context().Done():
	case <-r.requests.Done():
	}
}

// quarantineRejection refuses a request that may end targets.
func quarantineRejection(retryAfter time.Duration) *rejection {
	return &rejection{status: http.StatusServiceUnavailable, reason: "quarantined", retryAfter: retryAfter}
}

// memoryRejection refuses a request for which there is no memory.
func memoryRejection() *rejection {
	return &rejection{status: http.StatusServiceUnavailable, reason: "memory", retryAfter: overloadRetryAfter, unread: true}
}

// checkRoom rejects a request for which there is no room. Its argument is the number of
// requests in progress, this one included.
func (r *request) checkRoom(inProgress int64) *rejection {
	switch {
	case inProgress > r.limits.requests:
		r.w.Header().Set("Connection", "close")
		return &rejection{status: http.StatusServiceUnavailable, reason: "too-many-requests", retryAfter: overloadRetryAfter, unread: true}
	case !r.holdHead(inbound.HeadCost(r.httpRequest)):
		r.w.Header().Set("Connection", "close")
		return memoryRejection()
	}
	return nil
}

// holdHead holds memory for the head of the request. Incomplete heads give way to it.
func (r *request) holdHead(n int64) bool {
	add := r.held.Add
	if n > inbound.SmallHead {
		add = r.held.AddBody
	}
	for !add(n) {
		if !r.awaitMemory() {
			return false
		}
	}
	return true
}

// holdBody is holdHead for a body of known length. Heads don't give way to a large one.
func (r *request) holdBody(n int64) bool {
	const largeBody = 256 << 10
	for !r.held.AddBody(n) {
		if n > largeBody || !r.awaitMemory() {
			return false
		}
	}
	return true
}

// prepare finds the route, determines the deadline and reads the complete
// request.
func (r *request) prepare() *rejection {
	table := r.Routes.Table()
	if table == nil {
		return &rejection{status: http.StatusServiceUnavailable, reason: "no-configuration", retryAfter: noConfigRetryAfter}
	}
	r.version = table.Version()
	if r.id == "" {
		return &rejection{status: http.StatusBadRequest, reason: "no-request-id"}
	}
	path, _, _ := strings.Cut(r.httpRequest.RequestURI, "?")
	if r.rule = table.Find(r.httpRequest.Host, path); r.rule == nil {
		return &rejection{status: http.StatusNotFound, reason: "no-route"}
	}
	if rejection := r.identify(table); rejection != nil {
		return rejection
	}
	r.service = r.rule.Pick()
	service, _ := table.Service(r.service)
	r.loadControl = service.LoadControl
	if service.Sharded {
		if r.key, r.keyed = r.Headers.ParseKey(r.httpRequest.Header.Get(r.Headers.Key)); !r.keyed {
			return &rejection{status: http.StatusBadRequest, reason: "no-key"}
		}
	}
	timeout := r.rule.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if d, ok := r.Headers.ParseDeadline(r.httpRequest.Header.Get(r.Headers.Deadline)); ok {
		timeout, r.patience = min(timeout, d), d
	}
	r.deadline = r.startedAt.Add(timeout)
	r.header = forwardedHeader(r.httpRequest.Header, r.Headers)
	r.setIdentityHeaders(table)
	if _, ok := r.admit(r.deadline); !ok {
		return stopRejection()
	}
	if rejection := r.readBody(table.Limits().BodyBytes); rejection != nil {
		return rejection
	}
	// A stop may have begun, or gone on, while the body was read.
	var ok bool
	if r.deadline, ok = r.admit(r.deadline); !ok {
		return stopRejection()
	}
	return r.identifyAgain()
}

// readBody reads the complete body, so that a target never receives part of a
// request from a caller that stops sending.
func (r *request) readBody(limit int64) *rejection {
	if r.httpRequest.Body == nil || r.httpRequest.ContentLength == 0 {
		return nil
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.httpRequest.ContentLength > limit {
		r.w.Header().Set("Connection", "close")
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	}
	if n := r.httpRequest.ContentLength; n > 0 && !r.holdBody(n) {
		r.w.Header().Set("Connection", "close")
		return memoryRejection()
	}
	// A stopped timer may be kept until its time has come. It must not keep the body.
	w := r.w
	endRead := func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) }
	timer := time.AfterFunc(r.deadline.Sub(r.Clock()), endRead)
	cancelEndRead := context.AfterFunc(r.requests, endRead)
	body, err := readAll(http.MaxBytesReader(r.w, r.httpRequest.Body, limit), r.httpRequest.ContentLength, limit, r.held)
	inTime, running := timer.Stop(), cancelEndRead()
	if !inTime || !running || err != nil {
		r.w.Header().Set("Connection", "close")
		var large *http.MaxBytesError
		switch {
		case !running:
			return stopRejection()
		case !inTime:
			return &rejection{status: http.StatusRequestTimeout, reason: "body-incomplete"}
		case errors.Is(err, errBodyMemory):
			return memoryRejection()
		case errors.As(err, &large):
			return &rejection{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
		}
		return &rejection{status: http.StatusBadRequest, reason: "body-broken-off"}
	}
	r.body = body
	return nil
}
