package transport

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

// Guards against a peer whose response never ends before its body: the transport
// kept up to 10 MB of each, and the calls that run at once together took the VM over
// its memory.
func TestEndlessHeadIsCutOff(t *testing.T) {
	filler := strings.Repeat("x", 16<<10)
	for name, r := range map[string]struct{ start, repeat string }{
		"status line":  {"HTTP/1.1 200 ", filler},
		"no response":  {"", filler},
		"header line":  {"HTTP/1.1 200 OK\r\nA: ", filler},
		"header lines": {"HTTP/1.1 200 OK\r\n", "A: " + filler[:1000] + "\r\n"},
		"early hints":  {"", "HTTP/1.1 103 Early Hints\r\nA: " + filler[:1000] + "\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_, err = io.WriteString(c, r.start)
				for err == nil {
					_, err = io.WriteString(c, r.repeat)
				}
			}()
			tr := New(Options{DialTimeout: time.Second, IdleTimeout: time.Second, MaxIdlePerHost: 1})
			var received atomic.Int64
			dial := tr.DialContext
			tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dial(ctx, network, address)
				return &countingConn{Conn: c, received: &received}, err
			}
			client := &http.Client{Transport: tr, Timeout: 20 * time.Second}
			res, err := client.Get("http://" + l.Addr().String())
			if err == nil {
				_ = res.Body.Close()
			}
			is.True(err != nil)
			is.True(received.Load() < 2*maxHeadBytes) // the limit and a read buffer
			select {
			case <-closed:
			case <-time.After(20 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	received *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}
