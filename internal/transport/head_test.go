package transport

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
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

// Guards against heads that take many times their bytes when they are decoded: of
// 64 KiB of short header lines became about 1 MB for each call that was in progress.
func TestDecodedHeadsAreBounded(t *testing.T) {
	const (
		calls     = 96       // orders that a VM sends at once
		maxMemory = 32 << 20 // what control may take on a node (docs/CAPACITY.md)
	)
	for name, line := range map[string]func(i int) string{
		"different names": func(i int) string { return fmt.Sprintf("%x:\r\n", i) },
		"one name":        func(int) string { return "a:\r\n" },
		"long line":       func(int) string { return "a: " + strings.Repeat("x", 1000) + "\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var head bytes.Buffer
			head.WriteString("HTTP/1.1 200 OK\r\n")
			for i := 0; head.Len() < maxHeadBytes-1200; i++ {
				head.WriteString(line(i))
			}
			head.WriteString("\r\n")
			address := serveHeads(t, head.Bytes())
			client := NewClient(Options{DialTimeout: 5 * time.Second, IdleTimeout: time.Second, MaxIdlePerHost: 1})
			before := heapInUse()
			var responses []*http.Response
			for range calls {
				res, err := client.Get("http://" + address)
				is.NoErr(err)
				defer func() { _ = res.Body.Close() }()
				responses = append(responses, res)
			}
			used := heapInUse() - before
			runtime.KeepAlive(responses)
			t.Logf("%d responses take %d KB", calls, used>>10)
			is.True(used < maxMemory)
		})
	}
}

// serveHeads answers each request with the head and a body that doesn't end before
// the test. It returns its address.
func serveHeads(t *testing.T, head []byte) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	end := make(chan struct{})
	t.Cleanup(func() { close(end); _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = c.Write(head)
				<-end
			}()
		}
	}()
	return l.Addr().String()
}

// heapInUse returns the bytes of reachable objects.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
