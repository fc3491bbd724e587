package ingress

import (
	"net/http"
	"strings"

	"celeryhook.example/celeryhook/internal/dialect"
)

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// passed returns the headers that are passed on in either direction.
func passed(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = strings.TrimSpace(name); name != "" {
				out.Del(name)
			}
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// forwarded returns the headers that go to a target, without those that the
// VM sets itself.
func forwarded(h http.Header, d *dialect.Dialect) http.Header {
	out := passed(h)
	out.Del(d.Deadline)
	out.Del(d.ExpectTarget)
	return out
}
