package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/protocol"
)

var words = &protocol.Headers{
	RequestID: "Id", Deadline: "Wait", Stamp: "Stamp", NotRun: "Not-Run", ExpectTarget: "Expect", Target: "Target",
	FormatDeadline: func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) },
}

// script answers the n-th request of a connection with raw bytes.
type script func(n int, id string, c net.Conn)

// serve runs a target that follows a script and counts its connections.
func serve(t *testing.T, s script) (string, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	var conns atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					s(n, req.Header.Get("Id"), c)
				}
			}()
		}
	}()
	return l.Addr().String(), &conns
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func client() *Client { return NewClient(NewPool(func() {}), words) }

func do(c *Client, address, id string) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return c.Do(ctx, &Request{
		Address: address, Target: "t", ID: id, Method: http.MethodGet, URI: "/x?y=%2f", Host: "h",
		Header: http.Header{"Id": {id}}, Wait: time.Second, MaxIdle: 2,
	})
}

// Guards against a caller that gets the answer to another request: an extra one
// that arrives late is skipped by its id.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, func(_ int, id string, c net.Conn) {
		_, _ = io.WriteString(c, answer("foreign", "not mine")+answer(id, "mine"))
	})
	a, err := do(client(), address, "r1")
	is.NoErr(err)
	is.Equal(string(a.Body), "mine")
}

// Guards against bytes after a complete answer that are taken for the next one.
func TestConnectionWithExtraBytesIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	address, conns := serve(t, func(_ int, id string, c net.Conn) {
		_, _ = io.WriteString(c, answer(id, "mine")+answer(id, "again"))
	})
	c := client()
	for range 3 {
		a, err := do(c, address, "r1")
		is.NoErr(err)
		is.Equal(string(a.Body), "mine")
		time.Sleep(20 * time.Millisecond) // let late bytes arrive
	}
	is.Equal(conns.Load(), int32(3))
}

// Guards against a good connection that is not kept.
func TestConnectionIsKept(t *testing.T) {
	is := is.New(t)
	address, conns := serve(t, func(_ int, id string, c net.Conn) { _, _ = io.WriteString(c, answer(id, "mine")) })
	c := client()
	for range 5 {
		_, err := do(c, address, "r1")
		is.NoErr(err)
	}
	is.Equal(conns.Load(), int32(1))
}

// Guards against a cut answer that looks complete, in each framing.
func TestCutAnswerIsIncomplete(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nId: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"head":    "HTTP/1.1 200 OK\r\nId: r1\r\nSta",
		"garbage": "4\x00\x01 not an answer\r\n\r\n",
		"no id":   "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := serve(t, func(_ int, _ string, c net.Conn) {
				_, _ = io.WriteString(c, raw)
				_ = c.Close()
			})
			_, err := do(client(), address, "r1")
			is.True(errors.Is(err, ErrIncomplete))
		})
	}
}

// Guards against an answer without a length: one that ends with its connection
// is whole, one whose connection is reset is not.
func TestAnswerWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		is := is.New(t)
		address, conns := serve(t, func(_ int, id string, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nStamp: s\r\nConnection: close\r\n\r\nbody")
			time.Sleep(20 * time.Millisecond)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		})
		c := client()
		a, err := do(c, address, "r1")
		if reset {
			is.True(errors.Is(err, ErrIncomplete))
			continue
		}
		is.NoErr(err)
		is.Equal(string(a.Body), "body")
		_, err = do(c, address, "r1")
		is.NoErr(err)
		is.Equal(conns.Load(), int32(2))
	}
}

// Guards against a request that may have run and is reported as not sent, and
// the reverse: only the latter may be repeated.
func TestNotSentIsProven(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	nobody := l.Addr().String()
	_ = l.Close()
	_, err = do(client(), nobody, "r1")
	is.True(errors.Is(err, ErrNotSent))
	is.True(errors.Is(err, ErrRefused))
	address, _ := serve(t, func(_ int, _ string, c net.Conn) { _ = c.Close() })
	_, err = do(client(), address, "r1")
	is.True(!errors.Is(err, ErrNotSent))
	is.True(errors.Is(err, ErrBroken))
}

// Guards against a request on an idle connection that the target has closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, func(n int, id string, c net.Conn) {
		_, _ = io.WriteString(c, answer(id, "mine"))
		_ = c.Close()
	})
	c := client()
	for range 4 {
		_, err := do(c, address, "r1")
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a target that goes on after its caller has left: the
// connection must close at once.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address, _ := serve(t, func(_ int, _ string, c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := client().Do(ctx, &Request{Address: address, Target: "t", ID: "r1", Method: http.MethodGet, URI: "/", Host: "h", Wait: time.Second})
	is.True(errors.Is(err, context.Canceled))
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection stays open")
	}
}

// Guards against request bytes that differ from what the caller sent.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	is := is.New(t)
	b := client().encode(&Request{
		Target: "t", ID: "r1", Method: http.MethodPost, URI: "/a%2fb?c=%20d", Host: "h.example",
		Header: http.Header{"Id": {"r1"}, "X-Other": {"1", "2"}}, Body: []byte("body"), Wait: 1500 * time.Millisecond,
	})
	req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(b))))
	is.NoErr(err)
	body, err := io.ReadAll(req.Body)
	is.NoErr(err)
	is.Equal(req.RequestURI, "/a%2fb?c=%20d")
	is.Equal(req.Host, "h.example")
	is.Equal(req.Header["X-Other"], []string{"1", "2"})
	is.Equal(req.Header.Get("Wait"), "1500")
	is.Equal(req.Header.Get("Expect"), "t")
	is.Equal(string(body), "body")
}
