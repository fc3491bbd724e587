package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/upstream"
)

// openHead opens a connection and sends the beginning of a head, and then one byte after
// the other until the test ends. The returned channel is closed with the connection.
func (f *fixture) openHead(t *testing.T, size int) <-chan struct{} {
	c, err := net.Dial("tcp", f.address)
	is.New(t).NoErr(err)
	closed := make(chan struct{})
	var sending sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = c.Close()
		sending.Wait()
	})
	go func() {
		defer close(closed)
		_, _ = io.Copy(io.Discard, c)
	}()
	before := f.heldByHeads()
	sending.Go(func() {
		_, err := io.WriteString(c, requestStart+"a: "+strings.Repeat("x", size))
		for err == nil && ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(c, "x")
		}
	})
	for f.heldByHeads() == before {
		select {
		case <-closed:
			return closed
		case <-time.After(time.Millisecond):
		}
	}
	return closed
}

// heldByHeads returns the memory that incomplete heads hold.
func (f *fixture) heldByHeads() (sum int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		sum += c.view().HeadBytes
	}
	return sum
}

func isClosed(closed <-chan struct{}) bool {
	select {
	case <-closed:
		return true
	default:
		return false
	}
}

// Guards against heads that arrive slowly and keep all places for connections: the one
// that takes longest gives way.
func TestSlowestHeadGivesWay(t *testing.T) {
	is := is.New(t)
	f := newFixtureWith(t, nil, func(s *Server) { s.limits.conns = 4 })
	first := f.openHead(t, 10)
	var others []<-chan struct{}
	for range 3 {
		others = append(others, f.openHead(t, 10))
	}
	is.Equal(exchangeRaw(t, f, 1, headOf(2)), []int{200})
	<-first
	for _, o := range others {
		is.True(!isClosed(o))
	}
}

// Guards against heads that hold all memory, and against a large head that displaces
// smaller ones.
func TestLargestHeadGivesWay(t *testing.T) {
	is := is.New(t)
	f := newFixtureWith(t, nil, func(s *Server) { s.Memory = memory.NewAccount(8 * connBytes) })
	const large = 32 << 10 // holds twice the memory of a connection
	small := f.openHead(t, 10)
	for range 3 {
		f.openHead(t, large)
	}
	for range 4 {
		is.Equal(exchangeRaw(t, f, 1, headOf(2)), []int{200})
	}
	is.True(!isClosed(small))
	for range 4 {
		f.openHead(t, large)
	}
	is.True(!isClosed(small))
}

// Guards against a connection that gives way although its request is in progress, and
// against a request that is handled although its connection has given way.
func TestRequestsInProgressDoNotGiveWay(t *testing.T) {
	is := is.New(t)
	wait := make(chan struct{})
	f := newFixtureWith(t, func(_ context.Context, _ int, r *upstream.Request) (*upstream.Response, error) {
		<-wait
		return success(r), nil
	}, func(s *Server) { s.limits.conns = 2 })
	ended := make(chan []int, 1)
	// The second request is read with the first one.
	go func() { ended <- exchangeRaw(t, f, 2, headOf(2)+headOf(3)) }()
	for f.exchanger.count() < 1 {
		time.Sleep(time.Millisecond)
	}
	for range 5 {
		f.openHead(t, 10)
	}
	close(wait)
	is.Equal(<-ended, []int{200, 200})

	c := newConn(&net.TCPConn{}, f.Memory.NewCharge(), func() {})
	c.pipeline = &pipeline{server: f.Server}
	is.True(c.evict(c.view()))
	is.True(!c.beginRequest())
}

// Guards against a configured time for heads that isn't used, is extended by the time
// that the HTTP server sets, or applies to bodies.
func TestTimeForAHead(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	is.Equal(f.headTimeout(), headerTimeout)
	f.Routes.Apply(routing.Config{Version: 2, Limits: routing.Limits{HeaderTimeout: 3 * time.Second}})
	is.Equal(f.headTimeout(), 3*time.Second+headerSlack)

	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		c := newConn(server, memory.NewAccount(1<<20).NewCharge(), func() {})
		c.headTimeout = func() time.Duration { return 3 * time.Second }
		c.pipeline = &pipeline{server: f.Server}
		c.startReading(func(error) {})
		var sending sync.WaitGroup
		defer sending.Wait()
		defer func() { _ = c.Close() }()
		sending.Go(func() {
			for range 10 { // the last byte comes after the time
				time.Sleep(500 * time.Millisecond)
				_, _ = io.WriteString(client, "x")
			}
		})
		is.NoErr(c.SetReadDeadline(time.Now().Add(headerTimeout)))
		var b [16]byte
		start := time.Now()
		_, err := c.Read(b[:])
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Time{}))
		for err == nil {
			_, err = c.Read(b[:])
		}
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(time.Since(start), 3500*time.Millisecond)

		c.endHead()
		is.True(c.beginRequest())
		_, err = c.Read(b[:])
		is.NoErr(err)
	})
}

// Guards against clients that keep an ordinary caller out by connecting at once, so that
// no byte of the connections that would give way has been read yet.
func TestUnreadConnectionsAreAwaited(t *testing.T) {
	is := is.New(t)
	f := newFixtureWith(t, nil, func(s *Server) { s.limits.conns = 2 })
	for range 20 {
		var crowd []net.Conn
		for range 30 {
			c, err := net.Dial("tcp", f.address)
			is.NoErr(err)
			_, _ = io.WriteString(c, requestStart) // the connection may have been closed
			crowd = append(crowd, c)
		}
		is.Equal(exchangeRaw(t, f, 1, headOf(2)), []int{200})
		for _, c := range crowd {
			_ = c.Close()
		}
	}
}
