package accept

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/observe"
)

// writeLimit bounds the answer to a connection that is about to be closed.
const writeLimit = time.Second

// linger is how long an idle connection is still read after the listener has
// closed: a request that crosses the close is answered instead of reset.
const linger = 250 * time.Millisecond

// Listener turns what net/http answers by itself, in plain text or not at all,
// into problems: heads that are malformed, too large or too slow, and requests
// that arrive while the server stops.
type Listener struct {
	net.Listener
	metrics *observe.Metrics
	closed  atomic.Bool
}

// NewListener wraps a listener for callers.
func NewListener(l net.Listener, m *observe.Metrics) *Listener {
	return &Listener{Listener: l, metrics: m}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, listener: l}, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// Linger waits until no connection is read any more after Shutdown.
func (l *Listener) Linger() { time.Sleep(linger) }

// Bind lets the server tell connections of this listener in which state they
// are.
func Bind(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok {
			c.headPending.Store(state == http.StateActive)
			c.idle.Store(state == http.StateIdle)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

type connKey struct{}

// headArrived notes that a handler has the request's head.
func headArrived(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.headPending.Store(false)
	}
}

type conn struct {
	net.Conn
	listener *Listener
	// headPending is true from the first bytes of a request until a handler
	// has its head or a response is written.
	headPending atomic.Bool
	idle        atomic.Bool
	lingering   atomic.Bool
	// timedOut is true if the last read ended by its deadline.
	timedOut atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.timedOut.Store(errors.Is(err, os.ErrDeadlineExceeded))
	return n, err
}

// refusal follows the status line of what net/http answers by itself.
var refusal = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// Write replaces the answers that net/http writes by itself.
func (c *conn) Write(b []byte) (int, error) {
	c.headPending.Store(false)
	line, text, found := bytes.Cut(b, refusal)
	if !found || bytes.ContainsAny(line, "\r\n") || !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(b)
	}
	f := refusalOf(line, text)
	if c.timedOut.Load() {
		// net/http takes the part of a header line that has arrived for a whole one.
		f = incompleteHead()
	}
	if err := c.writeFault(f); err != nil {
		return 0, err
	}
	return len(b), nil
}

func refusalOf(line, text []byte) *fault {
	f := badRequest("malformed", "the request's head is at fault: "+string(text))
	if fields := bytes.Fields(line); len(fields) > 1 {
		if n, err := strconv.Atoi(string(fields[1])); err == nil {
			f.status = n
		}
	}
	if f.status == http.StatusRequestHeaderFieldsTooLarge {
		f.reason = "head-too-large"
	}
	return f
}

func incompleteHead() *fault {
	return &fault{
		reason: "head-incomplete", status: http.StatusRequestTimeout,
		detail: "the request's head didn't arrive whole within the time limit",
	}
}

// Close answers a request that no handler has got before it closes.
func (c *conn) Close() error {
	pending := c.headPending.Swap(false)
	switch {
	case pending && c.listener.closed.Load():
		c.listener.metrics.Count("requests_at_stop")
		_ = c.writeProblem(problemOf(core.OutcomeNotRun, "the VM is stopping", ""))
	case pending:
		_ = c.writeFault(incompleteHead())
	case c.idle.Load() && c.listener.closed.Load() && !c.lingering.Swap(true):
		// This is http.Server.Shutdown. The goroutine that reads the connection
		// closes it once the time is over or a request has arrived.
		return c.SetReadDeadline(time.Now().Add(linger))
	}
	return c.Conn.Close()
}

// CloseWrite lets net/http close its side first, so that the answer isn't lost
// in a reset.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *conn) writeFault(f *fault) error {
	c.listener.metrics.Count("bad_input", f.reason)
	return c.writeProblem(f.problem(""))
}

func (c *conn) writeProblem(p Problem) error {
	body, err := json.Marshal(p)
	if err != nil {
		return fmt.Errorf("accept: encode problem: %w", err)
	}
	_ = c.SetWriteDeadline(time.Now().Add(writeLimit))
	_, err = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: application/problem+json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		p.Status, http.StatusText(p.Status), len(body), body)
	return err
}
