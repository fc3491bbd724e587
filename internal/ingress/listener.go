package ingress

import (
	"net"
	"sync/atomic"

	"celeryhook.example/celeryhook/internal/inbound"
	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/observe"
)

const (
	// connBytes is the memory in bytes of a connection: two goroutines, their buffers
	// of 4 KiB for reading, reading ahead and writing, and its context, about 32 KiB;
	// and as much of the kernel's receive buffer as crowdedReadBuffer allows.
	connBytes = 48 << 10
	// crowdedReadBuffer is the size in bytes of the receive buffer of a connection that
	// is accepted while connections hold over a part of the account.
	crowdedReadBuffer = 16 << 10
	crowdedDivisor    = 8
	// connShare is the divisor for the part of the account that connections may hold.
	connShare = 2
	// defaultMaxConns applies if the number of descriptors isn't known.
	defaultMaxConns = 16384
	// fdShare and requestShare are the divisors for the parts of the descriptors that
	// connections of callers and requests in progress may take. Each request in progress
	// takes a connection to a target; the rest is for idle connections to targets,
	// hedges, other VMs and the store.
	fdShare, requestShare = 2, 4
)

// limits bound what callers may hold.
type limits struct {
	// conns and requests are the connections and the requests in progress at a time.
	conns, requests int64
	// crowded is the number of connections from which receive buffers are small.
	crowded int64
}

func newLimits(account, maxFDs int64) limits {
	l := limits{conns: defaultMaxConns, requests: defaultMaxConns}
	if maxFDs > 0 {
		l.conns, l.requests = max(1, maxFDs/fdShare), max(1, maxFDs/requestShare)
	}
	l.conns = max(1, min(l.conns, account/connShare/connBytes))
	l.crowded = account / crowdedDivisor / connBytes
	return l
}

// listener wraps accepted connections as *conn. If there is no room for another, an
// older one gives way, or else the new one is closed.
type listener struct {
	net.Listener
	memory  *memory.Account
	metrics *observe.Metrics
	limits  limits
	open    *atomic.Int64
	// makeRoom closes the connection that gives way and reports whether there will be
	// room.
	makeRoom func(inbound.Need) bool
	// mayGiveWaySoon reports whether a connection may soon give way.
	mayGiveWaySoon func() bool
	room           *inbound.Room
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		held := l.memory.NewCharge()
		open := l.open.Add(1)
		if !l.room.Await(func() (room, mayWait bool) { return l.admit(held) }) {
			l.open.Add(-1)
			held.Release()
			l.metrics.Count("connections_rejected")
			_ = c.Close()
			continue
		}
		if t, ok := c.(*net.TCPConn); ok && open > l.limits.crowded {
			_ = t.SetReadBuffer(crowdedReadBuffer) // without it, the kernel's default applies
		}
		return newConn(c, held, func() {
			l.open.Add(-1)
			l.room.Changed()
		}), nil
	}
}

// admit holds the memory of a new connection. If there is no room, it reports whether
// there may soon be.
func (l listener) admit(held *memory.Charge) (room, mayWait bool) {
	switch {
	case l.open.Load() > l.limits.conns:
		mayWait = l.makeRoom(inbound.Connection)
	case !held.Add(connBytes):
		mayWait = l.makeRoom(inbound.Memory) || l.makeRoom(inbound.Connection)
	default:
		return true, false
	}
	return false, mayWait || l.mayGiveWaySoon()
}
