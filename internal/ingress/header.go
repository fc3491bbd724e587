package ingress

import (
	"net/http"

	"celeryhook.example/celeryhook/internal/accept"
	"celeryhook.example/celeryhook/internal/protocol"
)

// forwardedHeader returns the headers that are sent to a target, without those
// that the VM sets itself.
func forwardedHeader(h http.Header, names *protocol.Headers) http.Header {
	out := accept.EndToEndHeader(h)
	out.Del(names.Deadline)
	out.Del(names.ExpectTarget)
	return out
}
