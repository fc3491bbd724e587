package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the handshake within a region, where a round trip
	// takes a few milliseconds.
	connectTimeout = 250 * time.Millisecond
	// defaultSettleTime is how long after the handshake a target that has no room
	// resets a new connection at the latest: the processing time of its accept.
	defaultSettleTime = 1500 * time.Microsecond
	// defaultIdleTimeout applies to connections of targets that send no Keep-Alive
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much earlier than the target this VM closes an idle
	// connection, so that it sends no request on one that the target is closing.
	idleMargin = 1500 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT: it ends connections whose peer
	// acknowledges nothing.
	userTimeout    = 3 * time.Second
	readBufferSize = 8 << 10
	// A connection that is lost within quickLoss of a request after it was idle
	// for at least minSuspectIdle was probably closed by its target before. For
	// distrustTime the connections to the same service are then used only if they
	// were idle for less than a fraction of that time.
	quickLoss       = 20 * time.Millisecond
	minSuspectIdle  = 100 * time.Millisecond
	distrustTime    = 3 * time.Second
	distrustDivisor = 2
)

// Pool holds idle connections to targets. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	onOpen func()
	closed bool
	// settleTime is how long a new connection is watched before use.
	settleTime time.Duration
	// distrusted bounds the idle time of the connections to services whose
	// targets close idle connections without notice.
	distrusted map[string]idleBound
}

// idleBound is a bound on idle times that applies for some time.
type idleBound struct {
	bound time.Duration
	until time.Time
}

// NewPool returns an empty pool. It calls onOpen for each new connection.
func NewPool(onOpen func()) *Pool {
	p := &Pool{idle: make(map[string][]*conn), onOpen: onOpen, settleTime: defaultSettleTime, distrusted: make(map[string]idleBound)}
	p.dialer = net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return p
}

// conn is a connection to a target.
type conn struct {
	net.Conn
	reader *bufio.Reader
	limit  *limitedConn
	key    string
	// reused is set once the connection was taken from the pool, after it was idle
	// for idleFor.
	reused      bool
	idleFor     time.Duration
	idleSince   time.Time
	idleTimeout time.Duration
	// refused holds the ids of the requests that the target refused on the
	// connection.
	refused []string
}

// maxRefused bounds the refusals on a connection, which is then closed.
const maxRefused = 64

func poolKey(address, target string) string { return address + " " + target }

// get returns the most recently used idle connection to a target that is still
// usable for a request, or nil. A connection on which the target has refused the
// request isn't: a second copy of the refusal would be taken for the answer.
func (p *Pool) get(key, service, id string) *conn {
	for {
		p.mu.Lock()
		list := p.idle[key]
		i := len(list) - 1
		for i >= 0 && slices.Contains(list[i].refused, id) {
			i--
		}
		if i < 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[i]
		p.idle[key] = slices.Delete(list, i, i+1)
		timeout := c.idleTimeout
		if b, ok := p.distrusted[service]; ok && time.Now().Before(b.until) {
			timeout = min(timeout, b.bound)
		}
		p.mu.Unlock()
		if idleFor := time.Since(c.idleSince); idleFor < timeout && noPendingInput(c.Conn) {
			c.reused, c.idleFor = true, idleFor
			return c
		}
		_ = c.Close()
	}
}

// lost records that a connection was lost before any response, elapsed after the
// request was sent.
func (p *Pool) lost(c *conn, service string, elapsed time.Duration) {
	if !c.reused || elapsed > quickLoss || c.idleFor < minSuspectIdle {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now, bound := time.Now(), c.idleFor/distrustDivisor
	if b, ok := p.distrusted[service]; ok && now.Before(b.until) {
		bound = min(bound, b.bound)
	}
	p.distrusted[service] = idleBound{bound: bound, until: now.Add(distrustTime)}
}

// noPendingInput reports whether nothing has arrived on an idle connection:
// neither its end nor unexpected data.
func noPendingInput(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	if err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
	}); err != nil {
		return false
	}
	return empty
}

func (p *Pool) dial(ctx context.Context, address, key string) (*conn, error) {
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("upstream: connect to %s: %w", address, err)
	}
	p.onOpen()
	if t, ok := c.(*net.TCPConn); ok {
		setUserTimeout(t)
	}
	limit := &limitedConn{Conn: c}
	return &conn{Conn: c, reader: bufio.NewReaderSize(limit, readBufferSize), limit: limit, key: key, idleTimeout: defaultIdleTimeout}, nil
}

// settle waits whether the target closes a new connection at once. A request
// that is written to such a connection is lost, and nobody can prove that it did
// not run.
func (c *conn) settle(d time.Duration) error {
	c.limit.remaining = maxHeadBytes
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return fmt.Errorf("upstream: read deadline: %w", err)
	}
	if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return fmt.Errorf("upstream: connection closed at once: %w", err)
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return fmt.Errorf("upstream: read deadline: %w", err)
	}
	return nil
}

// setUserTimeout makes the kernel end a connection whose peer acknowledges
// nothing. If the option can't be set, the deadlines of requests still apply.
func setUserTimeout(t *net.TCPConn) {
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}

// put adds an idle connection, or closes it if its target already has limit
// idle connections.
func (p *Pool) put(c *conn, limit int) {
	c.idleSince = time.Now()
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	if p.closed || len(p.idle[c.key]) >= limit {
		p.mu.Unlock()
		_ = c.Close()
		return
	}
	p.idle[c.key] = append(p.idle[c.key], c)
	p.mu.Unlock()
}

// CloseIdle closes the idle connections to a target.
func (p *Pool) CloseIdle(address, target string) {
	p.mu.Lock()
	list := p.idle[poolKey(address, target)]
	delete(p.idle, poolKey(address, target))
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// CloseExpired closes the connections whose idle timeout has passed.
func (p *Pool) CloseExpired() {
	var expired []*conn
	p.mu.Lock()
	for key, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) >= c.idleTimeout {
				expired = append(expired, c)
			} else {
				remaining = append(remaining, c)
			}
		}
		if len(remaining) == 0 {
			delete(p.idle, key)
		} else {
			p.idle[key] = remaining
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	lists := p.idle
	p.idle, p.closed = make(map[string][]*conn), true
	p.mu.Unlock()
	for _, list := range lists {
		for _, c := range list {
			_ = c.Close()
		}
	}
}
