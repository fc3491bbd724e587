package accept

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
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
	atStop  func() (contentType string, body []byte)
	closed  atomic.Bool
}

// Listen opens a TCP listener that can be quiesced. Multipath TCP, Go's default
// for listeners, doesn't support the socket filter that this needs.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return l, nil
}

// NewListener wraps a listener for callers.
func NewListener(l net.Listener, m *observe.Metrics) *Listener {
	return NewListenerFor(l, m, func() (string, []byte) {
		return problemType, encode(problemOf(core.OutcomeNotRun, "the VM is stopping", ""))
	})
}

// NewListenerFor wraps a listener whose requests that cross the stop get
// another answer, with status 503.
func NewListenerFor(l net.Listener, m *observe.Metrics, atStop func() (contentType string, body []byte)) *Listener {
	return &Listener{Listener: l, metrics: m, atStop: atStop}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, listener: l}, nil
}

// quiesceTime lets handshakes that have begun end and their connections be
// accepted; it is many times the latency between failure domains.
const quiesceTime = 50 * time.Millisecond

// Quiesce stops new connections before the listener closes. Closing alone
// would reset the connections that the kernel has set up but that have not
// been accepted, after their callers may have sent a request. Callers that
// connect meanwhile find the listener closed when they repeat the handshake.
func (l *Listener) Quiesce(ctx context.Context) {
	if err := dropHandshakes(l.Listener); err != nil {
		l.metrics.Count("quiesce_failed")
		return
	}
	duty.Sleep(ctx, quiesceTime)
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// Linger waits until no connection is read any more after Shutdown.
func Linger(ctx context.Context) { duty.Sleep(ctx, linger) }

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

// HeadArrived notes that a handler has the request's head. Handlers of a
// server that Bind was called for call it first.
func HeadArrived(ctx context.Context) {
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
		contentType, body := c.listener.atStop()
		_ = c.answer(http.StatusServiceUnavailable, contentType, body)
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
	return c.answer(f.status, problemType, encode(f.problem("")))
}

func encode(p Problem) []byte {
	body, err := json.Marshal(p)
	if err != nil {
		return nil // a Problem has only strings and numbers
	}
	return body
}

// drainLimit bounds how long the rest of a request is read before the close.
const drainLimit = 100 * time.Millisecond

// answer writes a response outside of net/http. It reads what is left of the
// request, since a close with unread bytes resets the connection, which may
// take the response with it.
func (c *conn) answer(status int, contentType string, body []byte) error {
	_ = c.SetDeadline(time.Now().Add(writeLimit))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), contentType, len(body), body)
	if err != nil {
		return fmt.Errorf("accept: answer: %w", err)
	}
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(drainLimit))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, 4<<20))
	return nil
}
