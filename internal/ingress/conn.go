package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readChunkSize and maxChunksAhead bound the memory for data that is read
	// ahead of the HTTP server: about 64 KiB for each connection, which is enough
	// for pipelined requests and little enough for thousands of connections.
	readChunkSize  = 4 << 10
	maxChunksAhead = 16
)

// errCallerClosed is the cancellation cause of a request whose caller closed
// the connection. Its text is part of responses to callers.
var errCallerClosed = errors.New("ingress: caller closed the connection")

// conn reads ahead of the HTTP server, so that it detects a closed connection
// while a request is in progress, even with pipelined requests unread.
type conn struct {
	net.Conn
	chunks       chan []byte
	unread       []byte
	err          error
	cancel       context.CancelCauseFunc
	done         chan struct{}
	closeOnce    sync.Once
	readDeadline deadline
	// pipeline follows the requests that arrive.
	pipeline *pipeline
	// busy is set while a request is in progress on the connection.
	busy atomic.Bool
	// mu serialises the arrival of data and the decision to close an idle
	// connection: data that arrives after it is never handled as a request.
	mu      sync.Mutex
	closing bool
	// lastUsed is when data last arrived or a request last ended.
	lastUsed time.Time
}

func newConn(c net.Conn) *conn {
	n := &conn{Conn: c, chunks: make(chan []byte, maxChunksAhead), done: make(chan struct{})}
	n.readDeadline.expired = make(chan struct{})
	n.lastUsed = time.Now()
	return n
}

// markUsed updates lastUsed. It reports false if the connection is being
// closed.
func (c *conn) markUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = time.Now()
	return !c.closing
}

// closeIfIdle closes the connection if it has been idle for the given time, and
// reports whether it did.
func (c *conn) closeIfIdle(idleTime time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy.Load() || len(c.chunks) > 0 || time.Since(c.lastUsed) < idleTime {
		return false
	}
	c.closing = true
	_ = c.Close()
	return true
}

// startReading starts the goroutine that reads ahead. It calls cancel when the
// connection ends.
func (c *conn) startReading(cancel context.CancelCauseFunc) {
	c.cancel = cancel
	go c.readLoop()
}

func (c *conn) readLoop() {
	defer close(c.chunks)
	for {
		b := make([]byte, readChunkSize)
		n, err := c.Conn.Read(b)
		if n > 0 {
			if !c.markUsed() {
				return
			}
			c.pipeline.feed(b[:n])
			select {
			case c.chunks <- b[:n]:
			case <-c.done:
				return
			}
		}
		if err != nil {
			c.err = err
			c.cancel(errCallerClosed)
			return
		}
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if len(c.unread) == 0 {
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// fill waits for the next chunk. A chunk that is available is returned even
// after the read deadline.
func (c *conn) fill() error {
	var ok bool
	select {
	case c.unread, ok = <-c.chunks:
	default:
		select {
		case c.unread, ok = <-c.chunks:
		case <-c.readDeadline.done():
			return os.ErrDeadlineExceeded
		case <-c.done:
			return net.ErrClosed
		}
	}
	if !ok {
		return c.err
	}
	return nil
}

// SetReadDeadline implements net.Conn. The deadline applies to Read, not to the
// goroutine that reads ahead.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// CloseWrite shuts down the sending side. net/http calls it before Close, so
// that a TCP reset doesn't discard the response.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// deadline provides a channel that is closed once the deadline has passed.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

func (d *deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.expired
	}
	d.timer = nil
	closed := false
	select {
	case <-d.expired:
		closed = true
	default:
	}
	if t.IsZero() {
		if closed {
			d.expired = make(chan struct{})
		}
		return
	}
	if remaining := time.Until(t); remaining > 0 {
		if closed {
			d.expired = make(chan struct{})
		}
		expired := d.expired
		d.timer = time.AfterFunc(remaining, func() { close(expired) })
		return
	}
	if !closed {
		close(d.expired)
	}
}

// listener wraps accepted connections as *conn.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

type connKey struct{}

// connContext starts reading ahead and returns a context that is cancelled when
// the connection ends.
func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	n, ok := c.(*conn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(ctx)
	n.pipeline = &pipeline{ctx: ctx, server: s}
	n.startReading(cancel)
	return context.WithValue(ctx, connKey{}, n)
}
