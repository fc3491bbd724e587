package accept

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/propagation"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/forward"
	"celeryhook.example/celeryhook/internal/policy"
	"celeryhook.example/celeryhook/internal/target"
)

// Headers of callers' requests.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderBranch         = "Celeryhook-Branch"
	HeaderCaller         = "Celeryhook-Caller"
)

const (
	// maxKeyBytes bounds a key.
	maxKeyBytes = 4096
	// maxIDBytes bounds a request id.
	maxIDBytes = 256
)

// Server serves a call.
type Server interface {
	Serve(ctx context.Context, call forward.Call) forward.Answer
}

// Acceptor is the HTTP handler for callers.
type Acceptor struct {
	clock  duty.Clock
	server Server
	engine atomic.Pointer[gin.Engine]
}

// New returns an acceptor that serves nothing until a policy is applied.
func New(clock duty.Clock, server Server) *Acceptor {
	a := &Acceptor{clock: clock, server: server}
	a.engine.Store(a.newEngine())
	return a
}

func (a *Acceptor) newEngine() *gin.Engine {
	e := gin.New()
	e.HandleMethodNotAllowed = true
	e.NoRoute(func(c *gin.Context) {
		writeProblem(c.Writer, core.OutcomeBadRequest, "no route of the policy matches "+c.Request.Method+" "+c.Request.URL.Path, "", 0)
	})
	e.NoMethod(func(c *gin.Context) {
		writeProblem(c.Writer, core.OutcomeBadRequest, "no route of the policy matches "+c.Request.Method+" "+c.Request.URL.Path, "", 0)
	})
	return e
}

// Apply serves the routes of a policy from now on.
func (a *Acceptor) Apply(p *policy.Policy) {
	e := a.newEngine()
	for _, r := range p.Routes {
		e.Handle(r.Method, ginPath(r.Path), a.handler(p, r))
	}
	a.engine.Store(e)
}

// ginPath turns {name} into :name.
func ginPath(path string) string {
	return strings.NewReplacer("{", ":", "}", "").Replace(path)
}

// ServeHTTP implements http.Handler.
func (a *Acceptor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.engine.Load().ServeHTTP(w, r)
}

func (a *Acceptor) handler(p *policy.Policy, r policy.Route) gin.HandlerFunc {
	return func(c *gin.Context) {
		call, err := a.callOf(c, p, r)
		if err != nil {
			writeProblem(c.Writer, core.OutcomeBadRequest, err.Error(), call.Request.ID, 0)
			return
		}
		ctx := propagation.TraceContext{}.Extract(c.Request.Context(), propagation.HeaderCarrier(c.Request.Header))
		answer := a.server.Serve(ctx, call)
		if answer.Outcome != core.OutcomeAnswered {
			writeProblem(c.Writer, answer.Outcome, answer.Detail, call.Request.ID, answer.RetryAfter)
			return
		}
		writeResponse(c.Writer, call, answer)
	}
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

// hopHeader reports whether a header belongs to one hop only.
func hopHeader(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return strings.HasPrefix(http.CanonicalHeaderKey(name), "Celeryhook-")
}

var errKey = errors.New("the key is at fault")

func keyOf(c *gin.Context, s policy.KeySource) (string, error) {
	var key string
	switch s.Kind {
	case "path":
		key = c.Param(s.Name)
	case "query":
		key = c.Query(s.Name)
	case "header":
		key = c.GetHeader(s.Name)
	default:
		return "", nil
	}
	switch {
	case key == "":
		return "", fmt.Errorf("%w: %s %q is empty", errKey, s.Kind, s.Name)
	case len(key) > maxKeyBytes:
		return "", fmt.Errorf("%w: it has %d bytes, at most %d are allowed", errKey, len(key), maxKeyBytes)
	case !utf8.ValidString(key):
		return "", fmt.Errorf("%w: it isn't UTF-8", errKey)
	}
	return key, nil
}

func (a *Acceptor) callOf(c *gin.Context, p *policy.Policy, r policy.Route) (forward.Call, error) {
	var call forward.Call
	branch := core.Branch(c.GetHeader(HeaderBranch))
	limits := p.LimitsFor(r.Service, branch)
	id, err := idOf(c, r)
	if err != nil {
		return call, err
	}
	call.Request.ID = id
	key, err := keyOf(c, r.Key)
	if err != nil {
		return call, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limits.BodyBytes))
	if err != nil {
		return call, fmt.Errorf("the body can't be read: %w", err)
	}
	call.Request = core.Request{
		ID:         id,
		Service:    r.Service,
		Branch:     branch,
		Class:      r.Class,
		Idempotent: r.Idempotent,
		Caller:     callerOf(c.Request),
		Deadline:   a.clock().Add(limits.Timeout),
		Digest:     digestOf(c.Request, body),
	}
	if key != "" {
		call.Request.KeyHash = core.HashKey(key)
	}
	call.HTTP = target.Call{
		Method: c.Request.Method,
		Path:   c.Request.URL.RequestURI(),
		Header: forwardedHeader(c.Request.Header),
		Body:   body,
	}
	return call, nil
}

func idOf(c *gin.Context, r policy.Route) (core.RequestID, error) {
	id := c.GetHeader(HeaderIdempotencyKey)
	switch {
	case len(id) > maxIDBytes:
		return "", fmt.Errorf("%s has %d bytes, at most %d are allowed", HeaderIdempotencyKey, len(id), maxIDBytes)
	case id != "":
		return core.RequestID(id), nil
	case !r.Idempotent && r.MissingID == policy.MissingIDRefuse:
		return "", fmt.Errorf("%s is missing, which route %q requires", HeaderIdempotencyKey, r.Name)
	}
	fresh, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("no request id can be assigned: %w", err)
	}
	return core.RequestID(fresh.String()), nil
}

// callerOf names the caller for fair queueing: by header if the platform's
// balancer sets one, else by address.
func callerOf(r *http.Request) string {
	if caller := r.Header.Get(HeaderCaller); caller != "" {
		return caller
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func digestOf(r *http.Request, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(r.URL.RequestURI())
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return h.Sum64()
}

func forwardedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopHeader(name) {
			out[name] = values
		}
	}
	return out
}
