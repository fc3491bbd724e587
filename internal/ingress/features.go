package ingress

import (
	"net"
	"strings"

	"celeryhook.example/celeryhook/internal/cost"
)

// costFeatures returns what the work of the request may depend on, or none if the
// service has no load control.
func (r *request) costFeatures() cost.Features {
	table := r.Routes.Table()
	if s, ok := table.Service(r.service); !ok || !s.LoadControl {
		return cost.Features{}
	}
	path, _, _ := strings.Cut(r.httpRequest.RequestURI, "?")
	return cost.NewFeatures(cost.Attributes{
		Method: r.httpRequest.Method, Path: strings.TrimPrefix(path, r.rule.Prefix),
		Key: r.key, Keyed: r.keyed, BodyBytes: len(r.body), Caller: r.caller(),
	})
}

// caller returns what identifies the caller: its credentials or, without any, its
// address.
func (r *request) caller() []string {
	var out []string
	for _, name := range callerHeaders {
		out = append(out, r.httpRequest.Header.Values(name)...)
	}
	if len(out) > 0 {
		return out
	}
	host, _, err := net.SplitHostPort(r.httpRequest.RemoteAddr)
	if err != nil {
		host = r.httpRequest.RemoteAddr
	}
	return []string{host}
}
