package app

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/transport"
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

// Guards against a target, VM or platform whose message counts as a response although
// its status isn't one, or whose body does.
func TestMessageWithoutAStatusIsNoResponse(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, raw := range map[string]string{
		"000":               "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"099":               "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n",
		"+20":               "HTTP/1.1 +20 X\r\nContent-Length: 0\r\n\r\n",
		"600":               "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
		"101":               "HTTP/1.1 101 X\r\n\r\n" + inner,
		"103 with a length": "HTTP/1.1 103 X\r\nContent-Length: 38\r\n\r\n" + inner,
		"100 with a coding": "HTTP/1.1 100 X\r\nTransfer-Encoding: chunked\r\n\r\n" + inner,
	} {
		t.Run(name, func(t *testing.T) {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, raw)
				}
			}()
			client := &http.Client{Transport: newTransport(&countingDialer{}), Timeout: 20 * time.Second}
			res, err := client.Get("http://" + l.Addr().String())
			if err == nil {
				_ = res.Body.Close()
			}
			is.True(errors.Is(err, transport.ErrNoResponse))
		})
	}
}
