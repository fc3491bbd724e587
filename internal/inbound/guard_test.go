package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/observe"
)

const getHead = "GET / HTTP/1.1\r\nHost: h\r\n"

type guarded struct {
	*Guard
	address string
	// wait ends the requests to /wait.
	wait chan struct{}
}

func startGuarded(t *testing.T, l Limits) *guarded {
	g := &guarded{Guard: NewGuard("test", l, observe.NewMetrics()), wait: make(chan struct{})}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/wait" {
			<-g.wait
		}
		fmt.Fprint(w, len(body))
	}))
	g.Protect(s.Config)
	s.Listener = g.Listener(s.Listener)
	s.Start()
	t.Cleanup(s.Close)
	g.address = s.Listener.Addr().String()
	return g
}

// open connects and sends bytes.
func (g *guarded) open(t *testing.T, text string) net.Conn {
	c, err := net.Dial("tcp", g.address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.New(t).NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	_, _ = io.WriteString(c, text) // the connection may have been closed
	return c
}

// statuses returns the statuses of up to n responses.
func statuses(c net.Conn, n int) (out []int) {
	r := bufio.NewReader(c)
	for range n {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return out
		}
		_, _ = io.Copy(io.Discard, res.Body)
		out = append(out, res.StatusCode)
	}
	return out
}

// await waits until the condition holds for the views of the connections.
func (g *guarded) await(t *testing.T, condition func(phases map[Phase]int) bool) {
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		phases := make(map[Phase]int)
		g.mu.Lock()
		for c := range g.conns {
			phases[c.view().Phase]++
		}
		g.mu.Unlock()
		if condition(phases) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("phases of the connections: %v", phases)
		}
	}
}

func isClosed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	netErr, ok := err.(net.Error)
	return err != nil && (!ok || !netErr.Timeout())
}

// Guards against connections that exceed their number, or keep others out with heads that
// don't end, and against a request in progress that is broken off for a new connection.
func TestGuardBoundsConnections(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, Limits{Conns: 3, HeadBytes: 8 << 10, Heads: memory.NewAccount(1 << 20)})
	busy := g.open(t, strings.Replace(getHead, "/", "/wait", 1)+"\r\n")
	g.await(t, func(p map[Phase]int) bool { return p[Busy] == 1 })
	first := g.open(t, getHead)
	g.await(t, func(p map[Phase]int) bool { return p[Reading] == 1 })
	second := g.open(t, getHead)
	g.await(t, func(p map[Phase]int) bool { return p[Reading] == 2 })
	is.Equal(statuses(g.open(t, getHead+"\r\n"), 1), []int{200})
	is.True(isClosed(first))
	is.True(!isClosed(second))
	is.Equal(statuses(g.open(t, getHead+"\r\n"), 1), []int{200})
	is.True(isClosed(second))
	close(g.wait)
	is.Equal(statuses(busy, 1), []int{200})
}

// Guards against heads that together exceed their memory, and against memory that isn't
// released.
func TestGuardBoundsMemoryOfHeads(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, Limits{Conns: 100, HeadBytes: 8 << 10, Heads: memory.NewAccount(256 << 10)})
	small := g.open(t, getHead)
	for range 10 {
		g.open(t, getHead+strings.Repeat("a:\r\n", 500))
		is.Equal(statuses(g.open(t, getHead+"Connection: close\r\n\r\n"), 1), []int{200})
		is.True(g.limits.Heads.Used() <= g.limits.Heads.Limit())
	}
	is.True(!isClosed(small))
	g.mu.Lock()
	for c := range g.conns {
		_ = c.Conn.Close()
	}
	g.mu.Unlock()
	g.await(t, func(p map[Phase]int) bool { return len(p) == 0 })
	is.Equal(g.limits.Heads.Used(), int64(0))
}

// Guards against connections whose head was rejected and that keep their places.
func TestRejectedHeadsGiveWay(t *testing.T) {
	is := is.New(t)
	g := startGuarded(t, Limits{Conns: 2, HeadBytes: 8 << 10, Heads: memory.NewAccount(16 << 20)})
	for range 5 {
		for range 2 {
			_ = statuses(g.open(t, getHead+"a: "+strings.Repeat("x", 16<<10)), 1)
		}
		is.Equal(statuses(g.open(t, getHead+"Connection: close\r\n\r\n"), 1), []int{200})
	}
}

// Guards against a guard that changes requests within the limits, or accepts others.
func TestGuardedRequests(t *testing.T) {
	postHead := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n"
	post, text := postHead+strings.Repeat("\n", 50000), postHead+strings.Repeat("x", 50000)
	get := getHead + "\r\n"
	for name, c := range map[string]struct {
		text string
		want []int
		// rejected is set if another response is 400, or is lost as unread bytes reset the
		// connection.
		rejected bool
	}{
		"pipelined":          {get + get + get, []int{200, 200, 200}, false},
		"body behind a head": {get + text + get, []int{200, 200, 200}, false},
		"bodies":             {post + get + post + post, []int{200, 200, 200, 200}, false},
		"empty lines":        {strings.Repeat("\r\n", MaxEmptyLines) + get, []int{200}, false},
		"many empty lines":   {strings.Repeat("\r\n", MaxEmptyLines+1) + get, nil, true},
		"endless lines":      {strings.Repeat("\r\n", 1<<20), nil, true},
		"largest head":       {getHead + "a: " + strings.Repeat("x", 8<<10-len(getHead)-7) + "\r\n\r\n", []int{200}, false},
		"head is too large":  {getHead + "a: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", nil, true},
		"head without end":   {getHead + strings.Repeat("a:\r\n", 1<<18), nil, true},
		"too large a second": {get + getHead + strings.Repeat("a:\r\n", 1<<18), []int{200}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := startGuarded(t, Limits{Conns: 3, HeadBytes: 8 << 10, Heads: memory.NewAccount(16 << 20)})
			conn, err := net.Dial("tcp", g.address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
			go func() { _, _ = io.WriteString(conn, c.text) }()
			if !c.rejected {
				is.Equal(statuses(conn, len(c.want)), c.want)
				return
			}
			got := statuses(conn, len(c.want)+1)
			is.True(slices.Equal(got, c.want) || slices.Equal(got, append(c.want, http.StatusBadRequest)))
		})
	}
}
