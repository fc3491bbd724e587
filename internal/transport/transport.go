// Package transport builds the HTTP transport of short calls inside a region: to
// the store, to targets that hold keys and to other VMs.
package transport

import (
	"net"
	"net/http"
	"time"
)

// Options say how long connections live. DialTimeout bounds the handshake; Idle
// is how long an unused connection is kept, at most PerHost to an address.
type Options struct {
	DialTimeout, Idle time.Duration
	PerHost           int
}

// New returns a transport. TCP keep-alives are off, as idle connections end
// before they would be sent.
func New(o Options) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.DialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: o.PerHost, IdleConnTimeout: o.Idle, DisableCompression: true,
	}
}
