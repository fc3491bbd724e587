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
	maxKeyBytes = 4096
	maxIDBytes  = 256
	// maxNameBytes bounds the names of a branch and a caller.
	maxNameBytes = 256
)

// parseCall turns a caller's request into a call. If it returns an error after
// the request id was determined, the call still has the id.
func (h *Handler) parseCall(c *gin.Context, p *policy.Policy, r policy.Route, param string) (forward.Call, *requestError) {
	var call forward.Call
	id, reqErr := requestID(c.Request.Header, r)
	if reqErr != nil {
		return call, reqErr
	}
	call.Request.ID = id
	if reqErr := checkHeader(c.Request); reqErr != nil {
		return call, reqErr
	}
	key, reqErr := extractKey(c, r.Key, param)
	if reqErr != nil {
		return call, reqErr
	}
	branch := core.Branch(c.GetHeader(HeaderBranch))
	limits := p.LimitsFor(r.Service, branch)
	body, reqErr := readBody(c, limits.BodyBytes)
	if reqErr != nil {
		return call, reqErr
	}
	call.Request = core.Request{
		ID:         id,
		Service:    r.Service,
		Branch:     branch,
		Class:      r.Class,
		Idempotent: r.Idempotent,
		Caller:     callerName(c.Request),
		Deadline:   h.clock().Add(limits.Timeout),
		Digest:     requestDigest(c.Request, body),
	}
	if key != "" {
		call.Request.KeyHash = core.HashKey(key)
	}
	call.HTTP = target.HTTPRequest{
		Method: c.Request.Method,
		Path:   c.Request.URL.RequestURI(),
		Header: targetHeader(c.Request.Header),
		Body:   body,
	}
	return call, nil
}

// requestID returns the request's id, or a new one if the route allows requests
// without an id. Ids are printable ASCII, as they are copied into headers of
// requests to targets.
func requestID(h http.Header, r policy.Route) (core.RequestID, *requestError) {
	ids := h.Values(HeaderIdempotencyKey)
	if len(ids) > 1 {
		return "", badRequest("id-repeated", HeaderIdempotencyKey+" is given more than once")
	}
	if len(ids) == 1 {
		return checkID(ids[0])
	}
	if !r.Idempotent && r.MissingID == policy.MissingIDReject {
		return "", badRequest("id-missing", fmt.Sprintf("%s is missing, which route %q requires", HeaderIdempotencyKey, r.Name))
	}
	generated, err := uuid.NewV7()
	if err != nil {
		return "", &requestError{reason: "id-unavailable", status: http.StatusInternalServerError, detail: "no request id can be assigned: " + err.Error()}
	}
	return core.RequestID(generated.String()), nil
}

func checkID(id string) (core.RequestID, *requestError) {
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

// checkHeader checks the parts of the request that VMs exchange as protobuf
// strings, which must be UTF-8, and the length of names.
func checkHeader(r *http.Request) *requestError {
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

// extractKey returns the key from the source that the route specifies. param is
// the name of the path parameter in the router.
func extractKey(c *gin.Context, s policy.KeySource, param string) (string, *requestError) {
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
	source := fmt.Sprintf("the key (%s %q)", s.Kind, s.Name)
	switch {
	case err != nil:
		return "", badRequest("key-malformed", source+" can't be decoded: "+err.Error())
	case len(values) == 0:
		return "", badRequest("key-missing", source+" is missing")
	case len(values) > 1:
		return "", badRequest("key-repeated", source+" is given more than once")
	}
	return values[0], checkKey(source, values[0])
}

func checkKey(source, key string) *requestError {
	switch {
	case key == "":
		return badRequest("key-empty", source+" is empty")
	case len(key) > maxKeyBytes:
		return badRequest("key-too-long", fmt.Sprintf("%s has %d bytes, at most %d are allowed", source, len(key), maxKeyBytes))
	case !utf8.ValidString(key):
		return badRequest("key-not-utf8", source+" isn't UTF-8")
	}
	return nil
}

func readBody(c *gin.Context, limit int64) ([]byte, *requestError) {
	tooLarge := &requestError{
		reason: "body-too-large", status: http.StatusRequestEntityTooLarge,
		detail: fmt.Sprintf("the body is larger than the %d bytes that the policy allows", limit),
	}
	if c.Request.ContentLength > limit {
		return nil, tooLarge
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	var maxBytesErr *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &maxBytesErr):
		return nil, tooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &requestError{reason: "body-slow", status: http.StatusRequestTimeout, detail: "the body didn't arrive within the time limit"}
	}
	return nil, badRequest("body-unreadable", "the body can't be read: "+err.Error())
}

// callerName returns the name of the caller for fair queueing: the header if the
// platform's load balancer sets it, else the address.
func callerName(r *http.Request) string {
	if caller := r.Header.Get(HeaderCaller); caller != "" {
		return caller
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func requestDigest(r *http.Request, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(r.URL.RequestURI())
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return h.Sum64()
}

// targetHeader returns the headers to forward to the target.
func targetHeader(h http.Header) http.Header {
	out := EndToEndHeader(h)
	for name := range out {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), "Celeryhook-") {
			delete(out, name)
		}
	}
	return out
}

// EndToEndHeader returns the headers to forward: without the hop-by-hop headers
// and those that the Connection header lists. It shares the slices of values.
func EndToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !isHopByHop(name) {
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

// isHopByHop reports whether a header applies to a single connection only.
func isHopByHop(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect":
		return true
	}
	return false
}
