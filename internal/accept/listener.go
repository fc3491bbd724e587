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
	"celeryhook.example/celeryhook/internal/inbound"
	"celeryhook.example/celeryhook/internal/observe"
)

// writeTimeout bounds the write of a response to a connection that is about to
// be closed.
const writeTimeout = time.Second

// lingerTime is how long an idle connection is still read after the listener
// has closed. A request that arrives in this time gets a response; without the
// delay its connection would be reset.
const lingerTime = 250 * time.Millisecond

// Listener replaces the responses that net/http writes without calling a
// handler, and connections that it closes without a response, by problems:
// headers that are malformed, too large or too slow, and requests that arrive
// while the server stops.
type Listener struct {
	net.Listener
	guard   *inbound.Guard
	metrics *observe.Metrics
	// stopResponse returns the response, sent with status 503, to requests that
	// arrive while the server stops.
	stopResponse func() (contentType string, body []byte)
	closed       atomic.Bool
}

// Listen opens a TCP listener that Quiesce can be used on. Multipath TCP, Go's
// default for listeners, doesn't support the socket filter that it needs.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return l, nil
}

// NewListener wraps a listener for callers, whose connections the guard admits.
func NewListener(l net.Listener, g *inbound.Guard, m *observe.Metrics) *Listener {
	return NewListenerWithStopResponse(l, g, m, func() (string, []byte) {
		return problemType, encode(newProblem(core.OutcomeNotRun, "the VM is stopping", ""))
	})
}

// NewListenerWithStopResponse wraps a listener for clients other than callers:
// requests that arrive while the server stops get the given response with
// status 503 in place of a problem.
func NewListenerWithStopResponse(l net.Listener, g *inbound.Guard, m *observe.Metrics, stopResponse func() (contentType string, body []byte)) *Listener {
	return &Listener{Listener: l, guard: g, metrics: m, stopResponse: stopResponse}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.guard.Accept(l.Listener)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, listener: l}, nil
}

// quiesceDelay is the time for handshakes under way to complete and for their
// connections to be accepted; it is many times the latency between failure
// domains.
const quiesceDelay = 50 * time.Millisecond

// Quiesce stops new connections before the listener closes. Closing alone
// would reset the connections that the kernel has established but the server
// has not accepted, and on which callers may already have sent a request.
// Callers that connect in the meantime are refused when they retransmit the
// SYN after the listener has closed.
func (l *Listener) Quiesce(ctx context.Context) {
	if err := dropHandshakes(l.Listener); err != nil {
		l.metrics.Count("quiesce_failed")
		return
	}
	duty.Sleep(ctx, quiesceDelay)
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// Linger waits until the connections that were idle at Shutdown are closed.
func Linger(ctx context.Context) { duty.Sleep(ctx, lingerTime) }

// TrackConnStates makes a server report the state of each connection to the
// connection, and put the connection into the context of its requests.
func TrackConnStates(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok {
			c.headerPending.Store(state == http.StateActive)
			c.idle.Store(state == http.StateIdle)
			inbound.SetState(c.Conn, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

type connKey struct{}

// HeaderReceived records that a handler has received the header of a request.
// Handlers of a server with TrackConnStates must call it first. It reports false if the
// connection has been closed for another one, so that the request must not be handled.
func HeaderReceived(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return true
	}
	c.headerPending.Store(false)
	return inbound.BeginRequest(c.Conn)
}

type conn struct {
	net.Conn
	listener *Listener
	// headerPending is true from the first bytes of a request until a handler
	// has received its header or a response is written.
	headerPending atomic.Bool
	idle          atomic.Bool
	// lingering is set once Close has postponed the close by lingerTime.
	lingering atomic.Bool
	// timedOut is true if the last read exceeded its deadline.
	timedOut atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.timedOut.Store(errors.Is(err, os.ErrDeadlineExceeded))
	return n, err
}

// errorResponseHeader follows the status line of the error responses that
// net/http writes without calling a handler.
var errorResponseHeader = []byte("\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n")

// Write implements net.Conn. It replaces the error responses that net/http
// writes without calling a handler by problems.
func (c *conn) Write(b []byte) (int, error) {
	c.headerPending.Store(false)
	line, text, found := bytes.Cut(b, errorResponseHeader)
	if !found || bytes.ContainsAny(line, "\r\n") || !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) {
		return c.Conn.Write(b)
	}
	reqErr := parseErrorResponse(line, text)
	if c.timedOut.Load() {
		// net/http takes a partial header line for a complete one and reports it
		// as malformed.
		reqErr = incompleteHeader()
	}
	if err := c.writeError(reqErr); err != nil {
		return 0, err
	}
	return len(b), nil
}

func parseErrorResponse(line, text []byte) *requestError {
	reqErr := badRequest("malformed", "the request's head is at fault: "+string(text))
	if fields := bytes.Fields(line); len(fields) > 1 {
		if n, err := strconv.Atoi(string(fields[1])); err == nil {
			reqErr.status = n
		}
	}
	if reqErr.status == http.StatusRequestHeaderFieldsTooLarge {
		reqErr.reason = "head-too-large"
	}
	return reqErr
}

func incompleteHeader() *requestError {
	return &requestError{
		reason: "head-incomplete", status: http.StatusRequestTimeout,
		detail: "the request's head didn't arrive whole within the time limit",
	}
}

// Close implements net.Conn. It responds to a request that has not reached a
// handler before it closes the connection.
func (c *conn) Close() error {
	pending := c.headerPending.Swap(false)
	switch {
	case pending && c.listener.closed.Load():
		c.listener.metrics.Count("requests_at_stop")
		contentType, body := c.listener.stopResponse()
		_ = c.writeRaw(http.StatusServiceUnavailable, contentType, body)
	case pending:
		_ = c.writeError(incompleteHeader())
	case c.idle.Load() && c.listener.closed.Load() && !c.lingering.Swap(true):
		// The caller is http.Server.Shutdown. The goroutine that reads the
		// connection closes it after the deadline or once a request has arrived.
		return c.SetReadDeadline(time.Now().Add(lingerTime))
	}
	return c.Conn.Close()
}

// CloseWrite lets net/http half-close the connection, so that a reset doesn't
// discard the response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *conn) writeError(reqErr *requestError) error {
	c.listener.metrics.Count("bad_input", reqErr.reason)
	return c.writeRaw(reqErr.status, problemType, encode(reqErr.problem("")))
}

func encode(p Problem) []byte {
	body, err := json.Marshal(p)
	if err != nil {
		return nil // a Problem has only strings and numbers
	}
	return body
}

// drainTimeout bounds how long the rest of a request is read before the
// connection is closed.
const drainTimeout = 100 * time.Millisecond

// writeRaw writes a response without net/http. It then reads the rest of the
// request, since closing a connection with unread bytes resets it, and the
// reset may discard the response.
func (c *conn) writeRaw(status int, contentType string, body []byte) error {
	_ = c.SetDeadline(time.Now().Add(writeTimeout))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), contentType, len(body), body)
	if err != nil {
		return fmt.Errorf("accept: write response: %w", err)
	}
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, 4<<20))
	return nil
}
