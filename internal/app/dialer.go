package app

import (
	"context"
	"net"
	"time"
)

// Dialer opens the connections of a process to VMs, targets and the platform.
// Scenario tests wrap it to simulate network partitions; it can't be configured.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	dialTimeout   = 2 * time.Second
	dialKeepAlive = 15 * time.Second
)

func newDialer() Dialer { return &net.Dialer{Timeout: dialTimeout, KeepAlive: dialKeepAlive} }
