package wire

import (
	"net/http"
	"strconv"
	"time"
)

// Names of the protocol that tests need as well as the stand-ins.
const (
	// Host is the host of all routes.
	Host = "h"
	// ReadyPath answers 200 while a VM is ready.
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
)

// RequestHeader returns the headers of a caller's request. The key has no effect
// on services that aren't divided by key.
func RequestHeader(id string, deadline time.Duration, key int) http.Header {
	h := http.Header{}
	h.Set(headerRequestID, id)
	h.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	h.Set(headerKey, strconv.Itoa(key))
	return h
}

// Stamp returns a server's signature under an answer, empty for an answer of a
// VM's own.
func Stamp(h http.Header) string { return h.Get(headerStamp) }
