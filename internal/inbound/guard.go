package inbound

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/observe"
)

// Limits bound what the clients of a server may hold.
type Limits struct {
	// Conns is the number of connections.
	Conns int
	// HeadBytes is the size of a head.
	HeadBytes int
	// Heads is the account of the heads: until they are complete, and of those that take
	// over SmallHead until their request has been answered.
	Heads *memory.Account
}

// Guard keeps the clients of one HTTP server within limits. A connection that there is
// no room for displaces another one, see Select.
type Guard struct {
	name    string
	limits  Limits
	metrics *observe.Metrics
	room    *Room

	mu sync.Mutex
	// conns are the connections that haven't ended, and leaving is the last one that has
	// given way.
	conns   map[*Conn]struct{}
	leaving *Conn
}

// NewGuard returns a guard that counts rejected and evicted connections under the name.
func NewGuard(name string, l Limits, m *observe.Metrics) *Guard {
	return &Guard{name: name, limits: l, metrics: m, room: NewRoom(), conns: make(map[*Conn]struct{})}
}

// Protect makes a server that accepts from Listener report the states of its
// connections.
func (g *Guard) Protect(s *http.Server) {
	// The guard's limit comes first: after its own, net/http keeps the connection open for
	// half a second.
	s.MaxHeaderBytes = g.limits.HeadBytes + 3*HeadSlack
	s.ConnState = SetState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && !BeginRequest(c) {
			return
		}
		handler.ServeHTTP(w, r)
	})
}

type connKey struct{}

// Listener wraps a listener.
func (g *Guard) Listener(l net.Listener) net.Listener { return guardedListener{l, g} }

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l guardedListener) Accept() (net.Conn, error) { return l.guard.Accept(l.Listener) }

// Accept returns the next connection of a listener that there is room for, and closes
// others.
func (g *Guard) Accept(l net.Listener) (net.Conn, error) {
	for {
		c, err := l.Accept()
		if err != nil {
			return nil, err
		}
		if n := g.admit(c); n != nil {
			return n, nil
		}
		_ = c.Close()
	}
}

// admit returns the guarded connection, or nil if there is no room for it.
func (g *Guard) admit(c net.Conn) (n *Conn) {
	if !g.room.Await(func() (room, mayWait bool) {
		n, mayWait = g.tryAdmit(c)
		return n != nil, mayWait
	}) {
		g.metrics.Count("connections_rejected", g.name)
	}
	return n
}

// tryAdmit returns the guarded connection, or nil if there is no room for it, and whether
// there may soon be.
func (g *Guard) tryAdmit(c net.Conn) (n *Conn, mayWait bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.limits.Conns {
		if g.isLeaving() || g.evict(Connection, nil) {
			return nil, true
		}
		for c := range g.conns {
			mayWait = mayWait || c.view().Phase == Fresh
		}
		return nil, mayWait
	}
	n = &Conn{Conn: c, guard: g, held: g.limits.Heads.NewCharge(), gone: make(chan struct{}), since: time.Now()}
	n.head.Begin()
	g.conns[n] = struct{}{}
	return n, false
}

// makeRoom waits until a connection with a larger head than that of c has ended. It
// reports false if there is none, or if c itself has given way.
func (g *Guard) makeRoom(c *Conn) bool {
	g.mu.Lock()
	if c.isClosing() || !g.isLeaving() && !g.evict(Memory, c) {
		g.mu.Unlock()
		return false
	}
	leaving := g.leaving
	g.mu.Unlock()
	return AwaitEnd(leaving.gone)
}

// isLeaving reports whether a connection that has given way hasn't ended. Until then its
// goroutine keeps what it has read. It must be called with the lock held.
func (g *Guard) isLeaving() bool {
	_, leaving := g.conns[g.leaving]
	return leaving
}

// evict closes the connection that gives way unless it is keep, and reports whether it
// did. It must be called with the lock held.
func (g *Guard) evict(need Need, keep *Conn) bool {
	c, _, ok := Select(func(yield func(*Conn, View) bool) {
		for c := range g.conns {
			if !yield(c, c.view()) {
				return
			}
		}
	}, need, time.Now())
	if !ok || c == keep || !c.giveWay() {
		return false
	}
	g.leaving = c
	g.metrics.Count("connections_evicted", g.name)
	return true
}

func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
	g.room.Changed()
}

// Conn is a connection of a guarded listener.
type Conn struct {
	net.Conn
	guard *Guard
	held  *memory.Charge
	// head is used by the goroutine that reads.
	head Head
	// gone is closed when the connection has ended.
	gone     chan struct{}
	goneOnce sync.Once

	mu sync.Mutex
	// busy is set while a request is in progress, complete from the end of a head until its
	// request begins, failed once a head was rejected, served once one has been answered, and
	// closing once the connection has given way.
	busy, complete, failed, served, closing bool
	// since is when the head began, or when the connection was last used.
	since     time.Time
	headBytes int64
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 1 {
		return c.Conn.Read(b) // net/http detects the end of the connection
	}
	for {
		if err := c.head.Check(); err != nil {
			return 0, c.fail(err)
		}
		n, err := c.Conn.Read(b)
		rest := c.head.SkipEmptyLines(b[:n])
		if err := c.head.CheckEmptyLines(); err != nil {
			return 0, c.fail(err)
		}
		if n > 0 && len(rest) == 0 && err == nil {
			continue // only empty lines
		}
		n = copy(b, rest)
		c.head.Limit(func() int64 { return int64(c.guard.limits.HeadBytes) + HeadSlack })
		if cost := c.head.Read(b[:n]); cost > 0 && !c.hold(cost) {
			return 0, c.fail(ErrMemory)
		}
		return n, err
	}
}

// fail records that a head was rejected. Its connection may give way at once.
func (c *Conn) fail(err error) error {
	c.mu.Lock()
	c.failed = true
	c.mu.Unlock()
	c.guard.room.Changed()
	return err
}

// hold holds memory for a part of a head. It reports false if there is none although
// larger heads have given way.
func (c *Conn) hold(cost int64) bool {
	c.mu.Lock()
	if c.headBytes == 0 {
		c.since = time.Now()
	}
	c.headBytes += cost
	c.complete = c.head.Complete()
	add := c.held.Add
	if c.headBytes > SmallHead {
		add = c.held.AddBody
	}
	c.mu.Unlock()
	c.guard.room.Changed()
	for !add(cost) {
		if !c.guard.makeRoom(c) {
			return false
		}
	}
	return true
}

func (c *Conn) view() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.busy || c.complete || c.closing:
		return View{Phase: Busy}
	case c.failed || c.headBytes > 0:
		return View{Phase: Reading, Since: c.since, HeadBytes: c.headBytes}
	case c.served:
		return View{Phase: Kept, Since: c.since}
	}
	return View{Phase: Fresh, Since: c.since}
}

func (c *Conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// giveWay closes the connection unless a head is complete. What it holds is released once
// the HTTP server has ended it too.
func (c *Conn) giveWay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.complete || c.closing {
		return false
	}
	c.closing = true
	_ = c.Conn.Close()
	return true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.goneOnce.Do(func() {
		c.held.Release()
		c.guard.remove(c)
		close(c.gone)
	})
	return err
}

// CloseWrite lets net/http half-close the connection, so that a reset doesn't discard
// the response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetState records the state that an HTTP server reports of a connection. Other
// connections than guarded ones are ignored.
func SetState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.endHead()
	case http.StateIdle:
		c.finishRequest()
	}
}

// BeginRequest is called before a request is handled. It reports false if its
// connection has given way meanwhile, so that the request must not be handled.
func BeginRequest(conn net.Conn) bool {
	c, ok := conn.(*Conn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.complete = !c.closing, false
	return c.busy
}

// endHead is called when a head was read, or reading it has failed. Only one that takes
// much memory is held until its request has been answered.
func (c *Conn) endHead() {
	c.head.End()
	c.mu.Lock()
	small := c.headBytes <= SmallHead
	c.headBytes, c.since, c.complete = 0, time.Now(), false
	c.mu.Unlock()
	if small {
		c.held.Reset()
	}
}

// finishRequest is called when a request has been answered.
func (c *Conn) finishRequest() {
	c.head.Begin()
	c.held.Reset()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.complete, c.served, c.headBytes, c.since = false, false, true, 0, time.Now()
}
