package accept

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"celeryhook.example/celeryhook/internal/core"
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
	// maxNameBytes bounds the names of a branch and a caller.
	maxNameBytes = 256
)

// callOf reads a caller's request. The call has the request id as soon as the
// id is known, also if a fault is found later.
func (a *Acceptor) callOf(c *gin.Context, p *policy.Policy, r policy.Route, param string) (forward.Call, *fault) {
	var call forward.Call
	id, f := idOf(c.Request.Header, r)
	if f != nil {
		return call, f
	}
	call.Request.ID = id
	if f := headFault(c.Request); f != nil {
		return call, f
	}
	key, f := keyOf(c, r.Key, param)
	if f != nil {
		return call, f
	}
	branch := core.Branch(c.GetHeader(HeaderBranch))
	limits := p.LimitsFor(r.Service, branch)
	body, f := bodyOf(c, limits.BodyBytes)
	if f != nil {
		return call, f
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
	call.HTTP = target.HTTPRequest{
		Method: c.Request.Method,
		Path:   c.Request.URL.RequestURI(),
		Header: forwardedHeader(c.Request.Header),
		Body:   body,
	}
	return call, nil
}

// idOf returns the request id: printable ASCII, as it is copied into headers
// of requests to targets.
func idOf(h http.Header, r policy.Route) (core.RequestID, *fault) {
	ids := h.Values(HeaderIdempotencyKey)
	if len(ids) > 1 {
		return "", badRequest("id-repeated", HeaderIdempotencyKey+" is given more than once")
	}
	if len(ids) == 1 {
		return checkID(ids[0])
	}
	if !r.Idempotent && r.MissingID == policy.MissingIDRefuse {
		return "", badRequest("id-missing", fmt.Sprintf("%s is missing, which route %q requires", HeaderIdempotencyKey, r.Name))
	}
	fresh, err := uuid.NewV7()
	if err != nil {
		return "", &fault{reason: "id-unavailable", status: http.StatusInternalServerError, detail: "no request id can be assigned: " + err.Error()}
	}
	return core.RequestID(fresh.String()), nil
}

func checkID(id string) (core.RequestID, *fault) {
	switch {
	case id == "":
		return "", badRequest("id-empty", HeaderIdempotencyKey+" is empty")
	case len(id) > maxIDBytes:
		return "", badRequest("id-too-long", fmt.Sprintf("%s has %d bytes, at most %d are allowed", HeaderIdempotencyKey, len(id), maxIDBytes))
	case strings.IndexFunc(id, func(c rune) bool { return c < ' ' || c > '~' }) >= 0:
		return "", badRequest("id-not-ascii", HeaderIdempotencyKey+" contains characters other than printable ASCII")
	}
	return core.RequestID(id), nil
}

// headFault checks what is passed on between VMs as protobuf strings, which
// must be UTF-8.
func headFault(r *http.Request) *fault {
	if !utf8.ValidString(r.URL.RequestURI()) {
		return badRequest("path-not-utf8", "the path or query isn't UTF-8")
	}
	for name, values := range r.Header {
		for _, v := range values {
			if !utf8.ValidString(v) {
				return badRequest("header-not-utf8", fmt.Sprintf("header %s isn't UTF-8", name))
			}
		}
	}
	for _, name := range []string{HeaderBranch, HeaderCaller} {
		if n := len(r.Header.Get(name)); n > maxNameBytes {
			return badRequest("name-too-long", fmt.Sprintf("%s has %d bytes, at most %d are allowed", name, n, maxNameBytes))
		}
	}
	return nil
}

// keyOf takes the key from where the route says. Param is the name of the
// path's parameter in the router.
func keyOf(c *gin.Context, s policy.KeySource, param string) (string, *fault) {
	var values []string
	var err error
	switch s.Kind {
	case "path":
		values = make([]string, 1)
		values[0], err = url.PathUnescape(c.Param(param))
	case "query":
		var query url.Values
		query, err = url.ParseQuery(c.Request.URL.RawQuery)
		values = query[s.Name]
	case "header":
		values = c.Request.Header.Values(s.Name)
	default:
		return "", nil
	}
	where := fmt.Sprintf("the key (%s %q)", s.Kind, s.Name)
	switch {
	case err != nil:
		return "", badRequest("key-malformed", where+" can't be decoded: "+err.Error())
	case len(values) == 0:
		return "", badRequest("key-missing", where+" is missing")
	case len(values) > 1:
		return "", badRequest("key-repeated", where+" is given more than once")
	}
	return values[0], keyFault(where, values[0])
}

func keyFault(where, key string) *fault {
	switch {
	case key == "":
		return badRequest("key-empty", where+" is empty")
	case len(key) > maxKeyBytes:
		return badRequest("key-too-long", fmt.Sprintf("%s has %d bytes, at most %d are allowed", where, len(key), maxKeyBytes))
	case !utf8.ValidString(key):
		return badRequest("key-not-utf8", where+" isn't UTF-8")
	}
	return nil
}

func bodyOf(c *gin.Context, limit int64) ([]byte, *fault) {
	tooLarge := &fault{
		reason: "body-too-large", status: http.StatusRequestEntityTooLarge,
		detail: fmt.Sprintf("the body is larger than the %d bytes that the policy allows", limit),
	}
	if c.Request.ContentLength > limit {
		return nil, tooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	var overrun *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &overrun):
		return nil, tooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &fault{reason: "body-slow", status: http.StatusRequestTimeout, detail: "the body didn't arrive within the time limit"}
	}
	return nil, badRequest("body-unreadable", "the body can't be read: "+err.Error())
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

// forwardedHeader returns the headers that go on to the target.
func forwardedHeader(h http.Header) http.Header {
	out := EndToEnd(h)
	for name := range out {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), "Celeryhook-") {
			delete(out, name)
		}
	}
	return out
}

// EndToEnd returns the headers that are passed on: none that belong to one hop,
// nor those that the Connection header names. The values are shared.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopHeader(name) {
			out[name] = values
		}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}

// hopHeader reports whether a header belongs to one hop only.
func hopHeader(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return false
}
