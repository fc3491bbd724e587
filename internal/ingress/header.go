package ingress

import (
	"net/http"

	"celeryhook.example/celeryhook/internal/accept"
	"celeryhook.example/celeryhook/internal/protocol"
)

// forwarded returns the headers that go to a target, without those that the
// VM sets itself.
func forwarded(h http.Header, d *protocol.Headers) http.Header {
	out := accept.EndToEndHeader(h)
	out.Del(d.Deadline)
	out.Del(d.ExpectTarget)
	return out
}
