package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace/noop"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/observe"
	"celeryhook.example/celeryhook/internal/protocol"
	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/upstream"
)

var words = &protocol.Headers{
	RequestID: "Id", Deadline: "Wait", Key: "Key", Stamp: "Stamp", NotRun: "Not-Run", ExpectTarget: "Expect", Target: "Target", RetryAfter: "Retry-After",
	ParseDeadline: func(s string) (time.Duration, bool) {
		ms, err := strconv.Atoi(s)
		return time.Duration(ms) * time.Millisecond, err == nil
	},
	FormatRetryAfter: func(d time.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) },
	ParseKey: func(s string) (uint16, bool) {
		n, err := strconv.ParseUint(s, 10, 16)
		return uint16(n), err == nil
	},
	ParseLoad: func(http.Header) *balance.TargetLoad { return nil },
}

func init() { gin.SetMode(gin.ReleaseMode) }

// balancer sends every attempt to the next target.
type balancer struct {
	mu    sync.Mutex
	asks  []balance.SelectTarget
	dones []balance.AttemptDone
	reply func(n int) balance.Decision
}

func (b *balancer) Ask(_ context.Context, a balance.SelectTarget) (balance.Decision, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asks = append(b.asks, a)
	if b.reply != nil {
		return b.reply(len(b.asks)), nil
	}
	return balance.Decision{Target: balance.Target{ID: core.Target(fmt.Sprint("t", len(b.asks)))}}, nil
}

func (b *balancer) Done(d balance.AttemptDone) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dones = append(b.dones, d)
}

func (b *balancer) NotOwner(core.Service, uint16, core.Target) {}

// exchanger answers attempts by a function.
type exchanger struct {
	mu   sync.Mutex
	sent []*upstream.Request
	do   func(ctx context.Context, n int, r *upstream.Request) (*upstream.Answer, error)
}

func (e *exchanger) Do(ctx context.Context, r *upstream.Request) (*upstream.Answer, error) {
	e.mu.Lock()
	e.sent = append(e.sent, r)
	n := len(e.sent)
	e.mu.Unlock()
	if e.do == nil {
		return good(r), nil
	}
	return e.do(ctx, n, r)
}

func (e *exchanger) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sent)
}

func good(r *upstream.Request) *upstream.Answer {
	return &upstream.Answer{Status: 200, Header: http.Header{"Stamp": {"s"}, "Id": {r.ID}}, Body: []byte("for " + r.ID), Stamped: true}
}

type fixture struct {
	*Server
	balancer  *balancer
	exchanger *exchanger
	address   string
}

func newFixture(t *testing.T, do func(context.Context, int, *upstream.Request) (*upstream.Answer, error)) *fixture {
	f := &fixture{balancer: &balancer{}, exchanger: &exchanger{do: do}}
	routes := &routing.ActiveTable{}
	backend := []routing.Backend{{Service: "s", Weight: 1}}
	routes.Apply(routing.Config{
		Version: 1, Services: []routing.Service{{Name: "s"}}, Limits: routing.Limits{BodyBytes: 1 << 20},
		Routes: []routing.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Idempotent: true, Timeout: 2 * time.Second, LatencyObjective: time.Second, Backends: backend, MaxAttempts: 2},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Timeout: 2 * time.Second, LatencyObjective: time.Second, Backends: backend, MaxAttempts: 2},
		},
	})
	f.Server = NewServer(Options{
		Routes: routes, Balancer: f.balancer, Upstream: f.exchanger, Headers: words, Clock: duty.NewClock(),
		Log: logr.Discard(), Metrics: observe.NewMetrics(), Tracer: noop.NewTracerProvider().Tracer(""),
	})
	is.New(t).NoErr(f.Listen("127.0.0.1:0"))
	f.address = f.inner.Addr().String()
	go func() { _ = f.Serve() }()
	t.Cleanup(func() { _ = f.server.Close() })
	return f
}

func (f *fixture) send(t *testing.T, method, path, id string) *http.Response {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+f.address+path, strings.NewReader("body"))
	is.New(t).NoErr(err)
	req.Host = "h"
	req.Header.Set("Id", id)
	res, err := http.DefaultTransport.RoundTrip(req)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

// Guards against a second run of a request that may have run: only proof that
// it did not allows another attempt.
func TestUnsafeRequestIsSentAgainOnlyWithProof(t *testing.T) {
	for name, c := range map[string]struct {
		answer *upstream.Answer
		err    error
		sends  int
		status int
	}{
		"broken":     {err: upstream.ErrBroken, sends: 1, status: 502},
		"incomplete": {err: upstream.ErrIncomplete, sends: 1, status: 502},
		"late":       {err: context.DeadlineExceeded, sends: 1, status: 504},
		"failed":     {answer: &upstream.Answer{Status: 500, Stamped: true, Header: http.Header{"Stamp": {"s"}}}, sends: 1, status: 500},
		"unsigned":   {answer: &upstream.Answer{Status: 200, Header: http.Header{}}, sends: 1, status: 502},
		"not sent":   {err: upstream.ErrNotSent, sends: 4, status: 503},
		"shed":       {answer: &upstream.Answer{Status: 503, NotRun: true, Header: http.Header{}}, sends: 4, status: 503},
		"other":      {answer: &upstream.Answer{Status: 421, OtherProcess: true, Header: http.Header{}}, sends: 4, status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(context.Context, int, *upstream.Request) (*upstream.Answer, error) { return c.answer, c.err })
			res := f.send(t, http.MethodPost, "/unsafe/1", "r1")
			is.Equal(res.StatusCode, c.status)
			is.Equal(f.exchanger.count(), c.sends)
			is.Equal(res.Header.Get("Retry-After") != "", c.status == 503)
		})
	}
}

// Guards against a refusal that says "not run" after an earlier attempt may
// have run.
func TestRefusalAfterAnAttemptThatMayHaveRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ context.Context, n int, _ *upstream.Request) (*upstream.Answer, error) {
		if n == 1 {
			return nil, upstream.ErrBroken
		}
		return nil, upstream.ErrNotSent
	})
	is.Equal(f.send(t, http.MethodGet, "/safe/1", "r1").StatusCode, 502)
}

// Guards against more runs of an idempotent request than its route allows.
func TestAttemptsOfAnIdempotentRequestAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(context.Context, int, *upstream.Request) (*upstream.Answer, error) {
		return nil, upstream.ErrBroken
	})
	is.Equal(f.send(t, http.MethodGet, "/safe/1", "r1").StatusCode, 502)
	is.Equal(f.exchanger.count(), 2)
}

// Guards against a refusal without a reason to believe it, and one that holds
// the caller until its time is over.
func TestRefusalIsImmediate(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	f.balancer.reply = func(int) balance.Decision {
		return balance.Decision{Verdict: balance.Reject, Reason: "full", RetryAfter: 70 * time.Millisecond}
	}
	res := f.send(t, http.MethodPost, "/unsafe/1", "r1")
	is.Equal(res.StatusCode, 503)
	is.Equal(res.Header.Get("Retry-After"), "0.070")
	is.Equal(f.exchanger.count(), 0)
}

// Guards against a place at a target that is never given back.
func TestEveryAttemptIsEnded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ context.Context, n int, r *upstream.Request) (*upstream.Answer, error) {
		if n%3 == 0 {
			return nil, upstream.ErrBroken
		}
		return good(r), nil
	})
	for i := range 30 {
		f.send(t, http.MethodGet, "/safe/1", fmt.Sprint("r", i))
	}
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	is.Equal(len(f.balancer.dones), f.exchanger.count())
}

// Guards against a missing configuration that is answered with 404.
func TestUnknownConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	is.Equal(f.send(t, http.MethodGet, "/nowhere", "r1").StatusCode, 404)
	f.Routes = &routing.ActiveTable{}
	is.Equal(f.send(t, http.MethodGet, "/safe/1", "r1").StatusCode, 503)
}

// Guards against pipelined requests that are answered out of order, and against
// one that is lost behind another.
func TestPipelinedRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ context.Context, n int, r *upstream.Request) (*upstream.Answer, error) {
		time.Sleep(time.Duration(30-10*n) * time.Millisecond)
		return good(r), nil
	})
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	for i := range 3 {
		_, err = fmt.Fprintf(c, "GET /safe/%d HTTP/1.1\r\nHost: h\r\nId: r%d\r\n\r\n", i, i)
		is.NoErr(err)
	}
	r := bufio.NewReader(c)
	for i := range 3 {
		res, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		body, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(string(body), fmt.Sprint("for r", i))
	}
}

// Guards against work for a caller that has left, also behind a pipelined
// request, which hides the end of the connection from net/http.
func TestCallerThatLeavesCancelsItsRequest(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan error, 2)
	f := newFixture(t, func(ctx context.Context, _ int, _ *upstream.Request) (*upstream.Answer, error) {
		<-ctx.Done()
		cancelled <- context.Cause(ctx)
		return nil, ctx.Err()
	})
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	_, err = io.WriteString(c, "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\nGET /safe/2 HTTP/1.1\r\nHost: h\r\nId: r2\r\n\r\n")
	is.NoErr(err)
	for f.exchanger.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(c.Close())
	select {
	case err := <-cancelled:
		is.True(errors.Is(err, errCallerLeft))
	case <-time.After(time.Second):
		t.Fatal("the attempt goes on for the route's whole time")
	}
}

// Guards against a target that gets half a request: a body that stops arriving
// is answered at the deadline, and nothing is sent.
func TestIncompleteBodyIsNeverSent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	c, err := net.Dial("tcp", f.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: r1\r\nWait: 200\r\nContent-Length: 10\r\n\r\nhalf")
	is.NoErr(err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusRequestTimeout)
	is.Equal(f.exchanger.count(), 0)
}

// Guards against requests that a stop cuts off: those in progress end, callers
// on kept connections are answered and told to close, and none is passed on
// once its connection closes.
func TestStopCutsNoRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ context.Context, _ int, r *upstream.Request) (*upstream.Answer, error) {
		time.Sleep(100 * time.Millisecond)
		return good(r), nil
	})
	stopped := make(chan error, 1)
	var failed []error
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				again, err := keptRequests(f.address, fmt.Sprint("c", i, "-", n))
				if err != nil {
					mu.Lock()
					failed = append(failed, err)
					mu.Unlock()
				}
				if !again {
					return
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		stopped <- f.Stop(ctx)
	}()
	is.NoErr(<-stopped)
	clients.Wait()
	is.Equal(failed, nil)
	is.True(f.exchanger.count() > 100)
}

// keptRequests sends requests on one connection until the server wants it
// closed. It reports false once no connection can be made.
func keptRequests(address, id string) (bool, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false, nil
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		if _, err := fmt.Fprintf(c, "GET /safe/1 HTTP/1.1\r\nHost: h\r\nId: %s-%d\r\n\r\n", id, n); err != nil {
			return true, nil // the connection closed before the request
		}
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			if n == 0 {
				return true, nil // a new connection that was not accepted any more
			}
			return true, fmt.Errorf("request %d of connection %s: %w", n, id, err)
		}
		if _, err := io.ReadAll(res.Body); err != nil {
			return true, err
		}
		if res.Close {
			return true, nil
		}
	}
}
