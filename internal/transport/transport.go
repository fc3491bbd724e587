// Package transport creates the HTTP transport for short calls within a region:
// to the store, to targets that hold keys and to other VMs.
package transport

import (
	"net"
	"net/http"
	"time"
)

// Options configures connection reuse. DialTimeout bounds connection
// establishment; an idle connection is closed after IdleTimeout, and at most
// MaxIdlePerHost are kept for each address.
type Options struct {
	DialTimeout, IdleTimeout time.Duration
	MaxIdlePerHost           int
}

// New returns a transport. TCP keep-alives are disabled because idle
// connections are closed before the first probe would be sent.
func New(o Options) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.DialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: o.MaxIdlePerHost, IdleConnTimeout: o.IdleTimeout, DisableCompression: true,
	}
}
