package transport

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// ValidateStatus returns a RoundTripper that uses the transport, which it changes,
// and accepts only heads that HeadCheck accepts. Other errors than ErrNoResponse are
// those of the transport. Of a response over TLS only the status is validated.
func ValidateStatus(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c}, nil
	}
	return statusCheck{next: t}
}

type statusCheck struct{ next *http.Transport }

// CloseIdleConnections closes the idle connections of the transport, for
// http.Client.
func (s statusCheck) CloseIdleConnections() { s.next.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (s statusCheck) RoundTrip(r *http.Request) (*http.Response, error) {
	// The transport calls GotConn before it writes the request, for each attempt.
	var used atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if c, ok := i.Conn.(*checkedConn); ok {
			c.beginHead()
		}
		used.Store(&i.Conn)
	}}
	res, err := s.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	conn := used.Load()
	if err != nil {
		return nil, cause(err, conn)
	}
	if err = validateStatus(res, conn); err != nil {
		_ = res.Body.Close()
		if conn != nil {
			_ = (*conn).Close()
		}
		return nil, err
	}
	return res, nil
}

// cause returns the invalid line that an attempt on the connection failed at, of which
// the transport may have returned only a consequence, or else the given error.
func cause(err error, conn *net.Conn) error {
	if conn == nil {
		return err
	}
	if c, ok := (*conn).(*checkedConn); ok {
		if invalid := c.invalidLine(); invalid != nil {
			return invalid
		}
	}
	return err
}

// validateStatus validates the status of a response. It must be the one that was read
// on the connection since the request began: the transport may take bytes that
// arrived before for the response.
func validateStatus(res *http.Response, conn *net.Conn) error {
	if _, err := parseStatus(fmt.Sprint(res.StatusCode)); err != nil {
		return err
	}
	if conn == nil {
		return nil
	}
	c, ok := (*conn).(*checkedConn)
	if ok && c.status() != res.StatusCode {
		return fmt.Errorf("%w: status %d arrived before the request was sent", ErrNoResponse, res.StatusCode)
	}
	return nil
}

// checkedConn is a connection on which the heads of responses are checked as they
// are read.
type checkedConn struct {
	net.Conn
	mu   sync.Mutex
	head HeadCheck
	// invalid is set after an invalid line.
	invalid error
}

func (c *checkedConn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Begin()
}

func (c *checkedConn) status() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Status()
}

func (c *checkedConn) invalidLine() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalid
}

// Read implements net.Conn. After an invalid line it returns an error. What precedes
// the end of the line is returned without one, since the transport sends a request
// again if not even one byte of the response could be read.
func (c *checkedConn) Read(b []byte) (int, error) {
	if err := c.invalidLine(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	valid, invalid := c.head.Check(b[:n])
	if invalid == nil {
		return n, err
	}
	if c.invalid = invalid; valid == 0 {
		return 0, invalid
	}
	return valid, nil
}
