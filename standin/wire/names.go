package wire

import (
	"net/http"
	"strconv"
	"time"
)

// Names of the protocol. Tests use the exported ones.
const (
	// Host is the Host header that all routes match.
	Host = "h"
	// ReadyPath responds with status 200 while a VM is ready.
	ReadyPath = "/api/ready"

	topicOperators = "keyed.op"
	topicServers   = "keyed.servers"
	keyConfig      = "config"
	keyEvacuate    = "evacuate/"

	headerRequestID = "Celeryhook-Request-Id"
	headerDeadline  = "Celeryhook-Deadline-Ms"
	headerKey       = "Celeryhook-Shard-Key"
	headerStamp     = "Celeryhook-Server-Stamp"
	headerNotRun    = "Celeryhook-Not-Executed"
	headerExpect    = "Celeryhook-Expect-Instance"
	headerInstance  = "Celeryhook-Instance-Id"
	headerLoad      = "Celeryhook-Server-Load"
	headerCold      = "Celeryhook-Cold-Ms"
	headerEra       = "Store-Era"
	headerTenant    = "Celeryhook-Tenant"

	headerCredential = "Authorization"

	headerLimit      = "Server-Limit"
	headerLeaving    = "Server-Leaving"
	headerRetryAfter = "Retry-After"
)

// ExternalTopics are the topics that operators and servers write.
var ExternalTopics = []string{topicOperators, topicServers}

// RequestHeader returns the headers of a caller's request. The key has no effect
// on services that aren't sharded.
func RequestHeader(id string, deadline time.Duration, key int) http.Header {
	h := http.Header{}
	h.Set(headerRequestID, id)
	h.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	h.Set(headerKey, strconv.Itoa(key))
	return h
}

// SetKey sets the header that carries a team's key.
func SetKey(h http.Header, key string) { h.Set(headerCredential, "Token "+key) }

// Stamp returns the server stamp of a response. It is empty if a VM made the
// response itself.
func Stamp(h http.Header) string { return h.Get(headerStamp) }
