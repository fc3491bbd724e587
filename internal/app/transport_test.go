package app

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// countingDialer counts the bytes that are read from its connections.
type countingDialer struct{ received atomic.Int64 }

func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, network, address)
	return &countingConn{Conn: c, received: &d.received}, err
}

type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// Guards against a target, VM or platform whose response never ends before its
// body: up to 10 MB of each were kept, times the calls that run at once.
func TestEndlessHeadIsCutOff(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nA: ")
		for filler := strings.Repeat("x", 16<<10); err == nil; {
			_, err = io.WriteString(c, filler)
		}
	}()
	var d countingDialer
	client := &http.Client{Transport: newTransport(&d), Timeout: 20 * time.Second}
	res, err := client.Get("http://" + l.Addr().String())
	if err == nil {
		_ = res.Body.Close()
	}
	is.True(err != nil)
	is.True(d.received.Load() < 2*int64(internalLimits.HeaderBytes)) // the limit and a read buffer
}
