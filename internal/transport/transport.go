// Package transport creates the HTTP clients for short calls within a region: to
// the store, to targets that hold keys and to other VMs.
package transport

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// maxHeadBytes bounds the status line and the header of a response, informational
// responses included. The default of net/http is 10 MB for each call. A header of
// many short lines takes about 15 times its bytes once it is decoded.
const maxHeadBytes = 8 << 10

// Options configures connection reuse. DialTimeout bounds connection
// establishment; an idle connection is closed after IdleTimeout, and at most
// MaxIdlePerHost are kept for each address.
type Options struct {
	DialTimeout, IdleTimeout time.Duration
	MaxIdlePerHost           int
}

// NewClient returns a client that accepts only valid statuses (ValidateStatus) and
// doesn't follow redirects: the response of another address says nothing about a call
// to this one.
func NewClient(o Options) *http.Client {
	return &http.Client{
		Transport:     ValidateStatus(New(o)),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// New returns a transport. TCP keep-alives are disabled because idle
// connections are closed before the first probe would be sent. A connection is
// reset when it is closed: bytes of a call that was given up while the network
// was partitioned must not arrive after the partition, seconds later.
func New(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAlive: -1}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("transport: %w", err)
			}
			ResetOnClose(c)
			return c, nil
		},
		MaxIdleConnsPerHost: o.MaxIdlePerHost, IdleConnTimeout: o.IdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// ResetOnClose makes Close reset a TCP connection and discard the bytes that
// its peer has not acknowledged.
func ResetOnClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection is closed already
	}
}
