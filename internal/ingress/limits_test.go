package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/inbound"
	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/upstream"
)

const requestStart = "GET /safe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n"

// headOf returns a request whose header has the given number of lines beside Host.
func headOf(lines int) string {
	return requestStart + strings.Repeat("a:\r\n", lines-1) + "\r\n"
}

// exchangeRaw sends bytes and returns the statuses of up to n responses.
func exchangeRaw(t *testing.T, f *fixture, n int, pieces ...string) (statuses []int) {
	is := is.New(t)
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	go func() {
		for _, p := range pieces {
			if _, err := io.WriteString(c, p); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond) // the pieces arrive one by one
		}
	}()
	r := bufio.NewReader(c)
	for range n {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, res.Body)
		statuses = append(statuses, res.StatusCode)
	}
	return statuses
}

// waitUntilReleased waits until nothing is held of the account.
func (f *fixture) waitUntilReleased(t *testing.T) {
	for end := time.Now().Add(10 * time.Second); f.Memory.Used() != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still held", f.Memory.Used())
		}
	}
}

// headOfBytes returns a request with a head of the given size in lines of the given text,
// as many as fit.
func headOfBytes(size int, line string) string {
	lines := (size - len(requestStart) - 2) / len(line)
	rest := strings.Repeat(" ", (size-len(requestStart)-2)%len(line))
	return strings.Replace(requestStart, "Id:", "Id:"+rest, 1) + strings.Repeat(line, lines) + "\r\n"
}

// Guards against a bound on heads that rejects one of the size that the configuration
// allows, whatever its lines are, counts other bytes, or doesn't hold.
func TestBytesOfAHeadAreBounded(t *testing.T) {
	const limit = inbound.DefaultHeadBytes
	long := headOfBytes(limit, "a:\r\n")
	over := headOfBytes(limit+inbound.HeadSlack+2*readChunkSize, "a:\r\n")
	post := "POST /safe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 200000\r\n\r\n"
	body, text := post+strings.Repeat("\n", 200_000), post+strings.Repeat("x", 200_000)
	for name, c := range map[string]struct {
		pieces   []string
		statuses []int
	}{
		"short lines":         {[]string{long}, []int{200}},
		"bare line feeds":     {[]string{headOfBytes(limit, "a:\n")}, []int{200}},
		"one long line":       {[]string{headOfBytes(limit, "a: "+strings.Repeat("x", limit-200)+"\r\n")}, []int{200}},
		"too large":           {[]string{over}, []int{400}},
		"far too large":       {[]string{headOf(100_000)}, []int{400}},
		"one by one":          {[]string{long, long, long}, []int{200, 200, 200}},
		"pipelined":           {[]string{long + long + long}, []int{200, 200, 200}},
		"pipelined, too much": {[]string{long + headOfBytes(limit+inbound.HeadSlack+4*readChunkSize, "a:\r\n") + long}, []int{200, 400}},
		"lines of a body":     {[]string{body + body + long}, []int{200, 200, 200}},
		"body behind a head":  {[]string{headOf(2) + text + long}, []int{200, 200, 200}},
		"end of the head in another piece": {
			[]string{headOf(10) + strings.TrimSuffix(long, "\r\n"), "\r\n" + long},
			[]int{200, 200, 200},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, nil)
			n := len(c.statuses)
			if c.statuses[n-1] != 200 {
				n++ // the connection is closed, and nothing else is answered
			}
			is.Equal(exchangeRaw(t, f, n, c.pieces...), c.statuses)
			f.waitUntilReleased(t)
		})
	}
}

// Guards against a limit of the configuration on heads that isn't used.
func TestHeadLimitOfTheConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	is.Equal(f.maxHeadBytes(), int64(inbound.DefaultHeadBytes+inbound.HeadSlack))
	f.Routes.Apply(routing.Config{Version: 2, Limits: routing.Limits{HeaderBytes: 16 << 10}})
	is.Equal(f.maxHeadBytes(), int64(16<<10+inbound.HeadSlack))
	is.Equal(exchangeRaw(t, f, 1, headOfBytes(16<<10, "a:\r\n")), []int{404})
	is.Equal(exchangeRaw(t, f, 1, headOfBytes(32<<10, "a:\r\n")), []int{400})
}

// Guards against empty lines without end before a request, and against a rejection of
// the few that old clients send.
func TestEmptyLinesAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		start    string
		statuses []int
	}{
		"most":        {strings.Repeat("\r\n", inbound.MaxEmptyLines), []int{200}},
		"one more":    {strings.Repeat("\r\n", inbound.MaxEmptyLines+1), []int{400}},
		"line feeds":  {strings.Repeat("\n", inbound.MaxEmptyLines), []int{200}},
		"without end": {strings.Repeat("\r\n", 1<<20), []int{400}},
	} {
		for _, split := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", in pieces ", split), func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, nil)
				pieces := []string{c.start + headOf(3)}
				if split {
					pieces = []string{c.start, headOf(3)}
				}
				is.Equal(exchangeRaw(t, f, 1, pieces...), c.statuses)
				f.waitUntilReleased(t)
			})
		}
	}
}

// Guards against bodies that together exceed the memory of a VM: a body without room
// is rejected before it is read, and the largest one is served while nothing else is
// held.
func TestBodiesShareMemory(t *testing.T) {
	const largest = 1 << 20 // of the fixture's configuration
	for name, contentLength := range map[string]bool{"known length": true, "unknown length": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wait := make(chan struct{})
			f := newFixtureWith(t, func(ctx context.Context, _ int, r *upstream.Request) (*upstream.Response, error) {
				if r.ID == "waits" {
					<-wait
				}
				return success(r), nil
			}, func(s *Server) { s.Memory = memory.NewAccount(largest*5/4 + 4*connBytes) })
			post := func(id string, size int) *http.Response {
				var body io.Reader = bytes.NewReader(make([]byte, size))
				if !contentLength {
					body = io.MultiReader(body)
				}
				req, err := http.NewRequest(http.MethodPost, "http://"+f.address+"/long/x", body)
				is.NoErr(err)
				req.Host = "h"
				req.Header.Set("Id", id)
				res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
				if err != nil {
					t.Errorf("%s: %v", id, err)
					return &http.Response{}
				}
				_ = res.Body.Close()
				return res
			}
			for i := range 3 {
				is.Equal(post(fmt.Sprint(i), largest).StatusCode, 200)
			}
			ended := make(chan int)
			go func() { ended <- post("waits", largest).StatusCode }()
			for f.exchanger.count() < 4 {
				time.Sleep(time.Millisecond)
			}
			res := post("second", largest)
			is.Equal(res.StatusCode, 503)
			is.True(res.Header.Get("Retry-After") != "")
			is.Equal(res.Header.Get("Id"), "second")
			is.Equal(f.exchanger.count(), 4) // nothing of it was sent
			is.Equal(post("small", 100).StatusCode, 200)
			close(wait)
			is.Equal(<-ended, 200)
			f.waitUntilReleased(t)
		})
	}
}

// Guards against a body of unknown length that is changed as its buffer grows, or that
// takes over 5/4 of the largest body, whatever its size and wherever its reads end.
func TestBodyOfUnknownLength(t *testing.T) {
	const limit = 1 << 20
	all := bytes.Repeat([]byte("0123456789abcdef"), limit/16+1)
	for _, size := range []int{0, 1, 4096, 4097, limit / 4, limit/4 + 1, limit - 1, limit, limit + 1} {
		for name, wrap := range map[string]func(io.Reader) io.Reader{
			"end by itself": func(r io.Reader) io.Reader { return r }, "end with data": iotest.DataErrReader, "halves": iotest.HalfReader,
		} {
			t.Run(fmt.Sprint(size, " ", name), func(t *testing.T) {
				is := is.New(t)
				account := memory.NewAccount(limit * 4 / 3)
				held := account.NewCharge()
				body := http.MaxBytesReader(nil, io.NopCloser(wrap(bytes.NewReader(all[:size]))), limit)
				b, err := readAll(body, -1, limit, held)
				is.Equal(err == nil, size <= limit)
				if err == nil {
					is.True(bytes.Equal(b, all[:size]))
					is.True(account.Used() >= int64(cap(b)))
				}
				held.Release()
				is.Equal(account.Used(), int64(0))
			})
		}
	}
}

// Guards against a body that is read although it doesn't fit.
func TestBodyWithoutRoomIsNotRead(t *testing.T) {
	is := is.New(t)
	f := newFixtureWith(t, nil, func(s *Server) { s.Memory = memory.NewAccount(3 * connBytes) })
	is.Equal(exchangeRaw(t, f, 1, "POST /safe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 1000000\r\n\r\n"), []int{503})
	is.Equal(exchangeRaw(t, f, 1, headOf(2)), []int{200})
	f.waitUntilReleased(t)
}

// Guards against a body that breaks off and is taken for a complete one.
func TestBodyThatBreaksOffIsNotSent(t *testing.T) {
	const start = "POST /safe/x HTTP/1.1\r\nHost: h\r\nId: 1\r\n"
	for _, framing := range []string{"Content-Length: 10\r\n\r\nfirst", "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n", "Transfer-Encoding: chunked\r\n\r\n9\r\nfirst"} {
		is := is.New(t)
		f := newFixture(t, nil)
		c, err := net.Dial("tcp", f.address)
		is.NoErr(err)
		_, err = io.WriteString(c, start+framing)
		is.NoErr(err)
		is.NoErr(c.(*net.TCPConn).CloseWrite())
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		is.Equal(f.exchanger.count(), 0)
		f.waitUntilReleased(t)
	}
}

// Guards against connections that together exceed the descriptors: beyond the limit,
// idle ones are closed, and others keep what they have.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	wait := make(chan struct{})
	const maxConns = 4
	f := newFixtureWith(t, func(_ context.Context, _ int, r *upstream.Request) (*upstream.Response, error) {
		if !strings.HasSuffix(r.URI, "idle") {
			<-wait
		}
		return success(r), nil
	}, func(s *Server) { s.limits = limits{conns: maxConns, requests: maxConns, crowded: 2} })
	dial := func() net.Conn {
		c, err := net.Dial("tcp", f.address)
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	closed := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err := c.Read(make([]byte, 1))
		netErr, ok := err.(net.Error)
		return err != nil && (!ok || !netErr.Timeout())
	}
	var busy []net.Conn
	dialBusy := func() {
		c := dial()
		_, err := io.WriteString(c, headOf(2))
		is.NoErr(err)
		busy = append(busy, c)
	}
	for range maxConns - 1 {
		dialBusy()
	}
	for f.exchanger.count() < maxConns-1 {
		time.Sleep(time.Millisecond)
	}
	idle := dial()
	_, err := io.WriteString(idle, strings.Replace(headOf(2), "/safe/x", "/safe/idle", 1))
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(idle), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, 200)
	is.True(closed(dial())) // none is idle for long enough
	time.Sleep(2 * minIdleTime)
	fresh := dial()
	is.True(closed(idle))
	dialBusy() // waits until the fresh one has been idle for long enough
	is.True(closed(fresh))
	is.True(closed(dial()))
	close(wait)
	for _, c := range busy {
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.Equal(res.StatusCode, 200)
	}
	is.Equal(f.openConns.Load(), int64(maxConns))
}

// Guards against data read ahead for many connections that together exceeds the memory
// of a VM, and against a connection that isn't read on once there is room.
func TestReadAheadDependsOnTheAccount(t *testing.T) {
	is := is.New(t)
	wait := make(chan struct{})
	const requests = 2000
	f := newFixtureWith(t, func(_ context.Context, _ int, r *upstream.Request) (*upstream.Response, error) {
		<-wait
		return success(r), nil
	}, func(s *Server) { s.Memory = memory.NewAccount(4 * connBytes) })
	held := f.Memory.NewCharge()
	is.True(held.Add(2 * connBytes))
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	go func() { _, _ = io.WriteString(c, strings.Repeat(headOf(2), requests)) }()
	for f.exchanger.count() < 1 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // the connection is read ahead meanwhile
	is.True(f.Memory.Used() < 3*connBytes+2*readChunkSize)
	held.Release()
	close(wait)
	is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Second)))
	r := bufio.NewReader(c)
	for range requests {
		res, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, res.Body)
	}
	_ = c.Close()
	f.waitUntilReleased(t)
}

// Guards against requests in progress, each with a connection to a target, that exceed
// the descriptors.
func TestRequestsInProgressAreBounded(t *testing.T) {
	is := is.New(t)
	wait := make(chan struct{})
	f := newFixtureWith(t, func(_ context.Context, _ int, r *upstream.Request) (*upstream.Response, error) {
		<-wait
		return success(r), nil
	}, func(s *Server) { s.limits.requests = 1 })
	first := make(chan []int)
	go func() { first <- exchangeRaw(t, f, 1, headOf(2)) }()
	for f.exchanger.count() < 1 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(exchangeRaw(t, f, 1, headOf(2)), []int{503})
	close(wait)
	is.Equal(<-first, []int{200})
	is.Equal(exchangeRaw(t, f, 1, headOf(2)), []int{200})
	is.Equal(f.exchanger.count(), 2)
}

// Guards against limits that leave no room for connections to targets, or that a small
// deployment reaches in ordinary use.
func TestLimitsFollowTheSettings(t *testing.T) {
	is := is.New(t)
	smallest := newLimits(memory.Limit(144_000_000), 3075)
	is.True(smallest.conns+2*smallest.requests <= 3075)
	is.True(smallest.conns > 500)
	is.True(smallest.requests > 500)
	is.True(smallest.conns*connBytes <= memory.Limit(144_000_000)/2)
	unknown := newLimits(memory.DefaultLimit, 0)
	is.True(unknown.conns > 10000)
}

// Guards against callers that don't read their responses and hold memory for ever, and
// against a deadline that cuts off a later response on the connection.
func TestUnreadResponsesAreReleased(t *testing.T) {
	is := is.New(t)
	const timeout = 500 * time.Millisecond
	f := newFixtureWith(t, func(_ context.Context, _ int, r *upstream.Request) (*upstream.Response, error) {
		resp := success(r)
		if strings.HasSuffix(r.URI, "large") {
			resp.Body = make([]byte, 16<<20)
		}
		r.Held.AddAlways(int64(len(resp.Body)))
		return resp, nil
	}, func(s *Server) { s.responseTimeout = timeout })
	unread, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	defer func() { _ = unread.Close() }()
	_, err = io.WriteString(unread, strings.Replace(headOf(2), "/safe/x", "/safe/large", 1))
	is.NoErr(err)
	for f.exchanger.count() < 1 {
		time.Sleep(time.Millisecond)
	}
	kept, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	reader := bufio.NewReader(kept)
	for range 3 {
		_, err = io.WriteString(kept, headOf(2))
		is.NoErr(err)
		res, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, res.Body)
		is.NoErr(err)
		time.Sleep(timeout + 100*time.Millisecond)
	}
	// A malformed request is answered by the HTTP server itself.
	_, err = io.WriteString(kept, "GET\r\n\r\n")
	is.NoErr(err)
	res, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, 400)
	_ = kept.Close()
	f.waitUntilReleased(t)
}

// Guards against requests in progress whose heads have very many lines, and which
// together leave no memory for an ordinary request.
func TestLargeHeadsLeaveRoom(t *testing.T) {
	is := is.New(t)
	const requests = 20
	large := strings.Replace(headOf(400), "/safe/", "/long/", 1)
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(large)))
	is.NoErr(err)
	largeCost := inbound.HeadCost(r)
	wait := make(chan struct{})
	f := newFixtureWith(t, func(_ context.Context, _ int, r *upstream.Request) (*upstream.Response, error) {
		if len(r.Header["A"]) > 10 {
			<-wait
		}
		return success(r), nil
	}, func(s *Server) {
		// What remains is less than a connection takes.
		s.Memory = memory.NewAccount(requests*(connBytes+largeCost) + connBytes/2)
	})
	rejected := make(chan []int)
	for n, full := 1, false; !full; n++ {
		go func() {
			if got := exchangeRaw(t, f, 1, large); !slices.Equal(got, []int{200}) {
				rejected <- got
			}
		}()
		for !full && f.exchanger.count() < n {
			select {
			case <-rejected:
				full = true
			case <-time.After(time.Millisecond):
			}
		}
	}
	is.Equal(exchangeRaw(t, f, 1, headOf(2)), []int{200})
	close(wait)
	f.waitUntilReleased(t)
}
