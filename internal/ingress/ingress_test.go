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
	"celeryhook.example/celeryhook/internal/quarantine"
	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/upstream"
)

var testHeaders = &protocol.Headers{
	RequestID: "Id", Deadline: "Wait", Key: "Key", Stamp: "Stamp", NotRun: "Not-Run", ExpectTarget: "Expect", Target: "Target", RetryAfter: "Retry-After",
	Credential: "Authorization", Team: "Team", Challenge: "Token",
	ParseCredential: func(values []string) (string, bool) {
		if len(values) != 1 {
			return "", false
		}
		return strings.CutPrefix(values[0], "Token ")
	},
	ParseDeadline: func(s string) (time.Duration, bool) {
		ms, err := strconv.Atoi(s)
		return time.Duration(ms) * time.Millisecond, err == nil
	},
	FormatRetryAfter: func(d time.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) },
	ParseKey: func(s string) (uint16, bool) {
		n, err := strconv.ParseUint(s, 10, 16)
		return uint16(n), err == nil
	},
	ParseLoad:         func(http.Header) *balance.TargetLoad { return nil },
	ParseAnnouncement: func(int, http.Header) balance.Announcement { return balance.Announcement{} },
}

func init() { gin.SetMode(gin.ReleaseMode) }

// balancer selects targets t1, t2 and so on, unless reply is set.
type balancer struct {
	mu       sync.Mutex
	requests []balance.SelectTarget
	dones    []balance.AttemptDone
	reply    func(n int) balance.Decision
	// busy is set if the balancer makes no decision.
	busy bool
}

func (b *balancer) SelectTarget(ctx context.Context, req balance.SelectTarget) (balance.Decision, error) {
	if b.busy {
		<-ctx.Done()
		return balance.Decision{}, ctx.Err()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, req)
	if b.reply != nil {
		return b.reply(len(b.requests)), nil
	}
	return balance.Decision{Target: balance.Target{ID: core.Target(fmt.Sprint("t", len(b.requests)))}}, nil
}

func (b *balancer) Done(d balance.AttemptDone) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dones = append(b.dones, d)
}

func (b *balancer) NotOwner(core.Service, uint16, core.Target) {}

// exchanger handles attempts with the function do, or with success.
type exchanger struct {
	mu   sync.Mutex
	sent []*upstream.Request
	do   func(ctx context.Context, n int, r *upstream.Request) (*upstream.Response, error)
}

func (e *exchanger) Do(ctx context.Context, r *upstream.Request) (*upstream.Response, error) {
	e.mu.Lock()
	e.sent = append(e.sent, r)
	n := len(e.sent)
	e.mu.Unlock()
	if e.do == nil {
		return success(r), nil
	}
	return e.do(ctx, n, r)
}

func (e *exchanger) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sent)
}

func success(r *upstream.Request) *upstream.Response {
	return &upstream.Response{Status: 200, Header: http.Header{"Stamp": {"s"}, "Id": {r.ID}}, Body: []byte("for " + r.ID), Stamped: true}
}

type fixture struct {
	*Server
	balancer   *balancer
	exchanger  *exchanger
	quarantine *suspects
	address    string
}

// suspects admits requests as set, and records what it is told of them.
type suspects struct {
	mu        sync.Mutex
	admission *quarantine.Admission
	lost      []quarantine.Fingerprint
	answered  []quarantine.Fingerprint
	asked     []quarantine.Fingerprint
}

func (s *suspects) Empty() bool { return s.admission == nil }

func (s *suspects) Admit(f quarantine.Fingerprint) quarantine.Admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, f)
	return *s.admission
}

func (s *suspects) Lost(f quarantine.Fingerprint, _ quarantine.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = append(s.lost, f)
}

func (s *suspects) Answered(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = append(s.answered, f)
}

func newFixture(t *testing.T, do func(context.Context, int, *upstream.Request) (*upstream.Response, error)) *fixture {
	return buildFixture(t, false, do, func(*Server) {})
}

// newFixtureWith changes the server before it listens.
func newFixtureWith(t *testing.T, do func(context.Context, int, *upstream.Request) (*upstream.Response, error), change func(*Server)) *fixture {
	return buildFixture(t, false, do, change)
}

// newControlledFixture returns a fixture with load control on or off.
func newControlledFixture(t *testing.T, loadControl bool, do func(context.Context, int, *upstream.Request) (*upstream.Response, error)) *fixture {
	return buildFixture(t, loadControl, do, func(*Server) {})
}

func buildFixture(
	t *testing.T, loadControl bool, do func(context.Context, int, *upstream.Request) (*upstream.Response, error), change func(*Server),
) *fixture {
	f := &fixture{balancer: &balancer{}, exchanger: &exchanger{do: do}, quarantine: &suspects{}}
	routes := &routing.ActiveTable{}
	backend := []routing.Backend{{Service: "s", Weight: 1}}
	routes.Apply(routing.Config{
		Version: 1, LoadControl: loadControl, Services: []routing.Service{{Name: "s"}, {Name: "sharded", Sharded: true}}, Limits: routing.Limits{BodyBytes: 1 << 20},
		Routes: []routing.Route{
			{Name: "safe", Host: "h", Prefix: "/safe/", Idempotent: true, Timeout: 2 * time.Second, LatencyObjective: time.Second, Backends: backend, MaxAttempts: 2},
			{Name: "long", Host: "h", Prefix: "/long/", Timeout: time.Minute, LatencyObjective: time.Second, Backends: backend, MaxAttempts: 2},
			{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Timeout: 2 * time.Second, LatencyObjective: time.Second, Backends: backend, MaxAttempts: 2},
			{
				Name: "keyed", Host: "h", Prefix: "/keyed/", Idempotent: true, Timeout: 2 * time.Second, LatencyObjective: time.Second,
				Backends: []routing.Backend{{Service: "sharded", Weight: 1}}, MaxAttempts: 2,
			},
		},
	})
	f.Server = NewServer(Options{
		Routes: routes, Balancer: f.balancer, Quarantine: f.quarantine, Upstream: f.exchanger, Headers: testHeaders, Clock: duty.NewClock(),
		Log: logr.Discard(), Metrics: observe.NewMetrics(), Tracer: noop.NewTracerProvider().Tracer(""),
	})
	change(f.Server)
	is.New(t).NoErr(f.Listen("127.0.0.1:0"))
	f.address = f.listener.Addr().String()
	go func() { _ = f.Serve() }()
	t.Cleanup(func() { _ = f.server.Close() })
	return f
}

func (f *fixture) send(t *testing.T, method, path, id string) *http.Response {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+f.address+path, strings.NewReader("body"))
	is.New(t).NoErr(err)
	req.Host = "h"
	req.Header.Set("Id", id)
	req.Header.Set("Key", "7")
	res, err := http.DefaultTransport.RoundTrip(req)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = res.Body.Close() })
	return res
}

// Guards against a second execution of a request that isn't idempotent: it is
// retried only if it provably did not run.
func TestUnsafeRequestIsRetriedOnlyIfNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		response *upstream.Response
		err      error
		sends    int
		status   int
	}{
		"broken":     {err: upstream.ErrConnectionLost, sends: 1, status: 502},
		"incomplete": {err: upstream.ErrIncomplete, sends: 1, status: 502},
		"late":       {err: context.DeadlineExceeded, sends: 1, status: 504},
		"failed":     {response: &upstream.Response{Status: 500, Stamped: true, Header: http.Header{"Stamp": {"s"}}}, sends: 1, status: 500},
		"unsigned":   {response: &upstream.Response{Status: 200, Header: http.Header{}}, sends: 1, status: 502},
		"not sent":   {err: upstream.ErrNotSent, sends: 4, status: 503},
		"shed":       {response: &upstream.Response{Status: 503, NotRun: true, Header: http.Header{}}, sends: 4, status: 503},
		"other":      {response: &upstream.Response{Status: 421, OtherProcess: true, Header: http.Header{}}, sends: 4, status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(context.Context, int, *upstream.Request) (*upstream.Response, error) { return c.response, c.err })
			res := f.send(t, http.MethodPost, "/unsafe/1", "r1")
			is.Equal(res.StatusCode, c.status)
			is.Equal(f.exchanger.count(), c.sends)
			is.Equal(res.Header.Get("Retry-After") != "", c.status == 503)
		})
	}
}

// Guards against a response that states "not run" although an earlier attempt
// may have run.
func TestRejectionAfterAnAttemptThatMayHaveRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ context.Context, n int, _ *upstream.Request) (*upstream.Response, error) {
		if n == 1 {
			return nil, upstream.ErrConnectionLost
		}
		return nil, upstream.ErrNotSent
	})
	is.Equal(f.send(t, http.MethodGet, "/safe/1", "r1").StatusCode, 502)
}

// Guards against more executions of an idempotent request than its route
// allows.
func TestAttemptsOfAnIdempotentRequestAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(context.Context, int, *upstream.Request) (*upstream.Response, error) {
		return nil, upstream.ErrConnectionLost
	})
	is.Equal(f.send(t, http.MethodGet, "/safe/1", "r1").StatusCode, 502)
	is.Equal(f.exchanger.count(), 2)
}

// Guards against a rejection by the balancer that is retried until the deadline
// instead of being returned at once with its Retry-After time.
func TestRejectionIsImmediate(t *testing.T) {
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

// Guards against an attempt whose end isn't reported to the balancer, so that
// it counts as in progress forever.
func TestEveryAttemptIsReportedDone(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ context.Context, n int, r *upstream.Request) (*upstream.Response, error) {
		if n%3 == 0 {
			return nil, upstream.ErrConnectionLost
		}
		return success(r), nil
	})
	for i := range 30 {
		f.send(t, http.MethodGet, "/safe/1", fmt.Sprint("r", i))
	}
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	is.Equal(len(f.balancer.dones), f.exchanger.count())
}

// Guards against status 404 while the VM has no configuration.
func TestUnknownConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	is.Equal(f.send(t, http.MethodGet, "/nowhere", "r1").StatusCode, 404)
	f.Routes = &routing.ActiveTable{}
	is.Equal(f.send(t, http.MethodGet, "/safe/1", "r1").StatusCode, 503)
}

// Guards against pipelined requests that are lost or whose responses are sent
// out of order.
func TestPipelinedRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ context.Context, n int, r *upstream.Request) (*upstream.Response, error) {
		time.Sleep(time.Duration(30-10*n) * time.Millisecond)
		return success(r), nil
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

// Guards against work for a caller that has closed its connection. net/http
// doesn't detect this while a pipelined request is unread.
func TestClosedConnectionCancelsItsRequest(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan error, 2)
	f := newFixture(t, func(ctx context.Context, _ int, _ *upstream.Request) (*upstream.Response, error) {
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
		is.True(errors.Is(err, errCallerClosed))
	case <-time.After(time.Second):
		t.Fatal("attempt not cancelled within 1 s of the connection's close")
	}
}

// Guards against a target that receives part of a request: if a body stops
// arriving, the caller gets a response at the deadline and nothing is sent.
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

// Guards against requests that fail because of a stop: requests in progress
// complete, and responses on keep-alive connections carry "Connection: close"
// before the VM closes them.
func TestStopCompletesRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ context.Context, _ int, r *upstream.Request) (*upstream.Response, error) {
		time.Sleep(100 * time.Millisecond)
		return success(r), nil
	})
	stopped := make(chan error, 1)
	var errs []error
	var mu sync.Mutex
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				more, err := sendOnKeepAlive(f.address, fmt.Sprint("c", i, "-", n))
				if err != nil {
					mu.Lock()
					errs = append(errs, err)
					mu.Unlock()
				}
				if !more {
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
	is.Equal(errs, nil)
	is.True(f.exchanger.count() > 100)
}

// sendOnKeepAlive sends requests on one connection until a response closes it.
// It reports false once no connection can be made.
func sendOnKeepAlive(address, id string) (bool, error) {
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
				return true, nil // the listener closed before it accepted the connection
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

// Guards against spending all attempts and the retry budget on an owner within
// the milliseconds in which its missing grant is renewed.
func TestMissingGrantIsWaitedFor(t *testing.T) {
	is := is.New(t)
	started := time.Now()
	f := newFixture(t, func(_ context.Context, _ int, r *upstream.Request) (*upstream.Response, error) {
		if time.Since(started) < notOwnerDelay {
			return &upstream.Response{Status: http.StatusMisdirectedRequest, Header: http.Header{}, NotRun: true}, nil
		}
		return success(r), nil
	})
	is.Equal(f.send(t, http.MethodGet, "/keyed/", "1").StatusCode, http.StatusOK)
	is.True(f.exchanger.count() <= 2)
}

// Guards against an unknown outcome for an unsafe request that its target turned
// away before anything was sent, and against more attempts there at once.
func TestTurnedAwayRequestIsRefusedTruly(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(context.Context, int, *upstream.Request) (*upstream.Response, error) {
		return nil, fmt.Errorf("%w: reset", upstream.ErrTurnedAway)
	})
	f.balancer.reply = func(n int) balance.Decision {
		if n > 1 {
			return balance.Decision{Verdict: balance.Reject, Reason: "full", RetryAfter: 300 * time.Millisecond}
		}
		return balance.Decision{Target: balance.Target{ID: "t"}}
	}
	res := f.send(t, http.MethodPost, "/unsafe/", "1")
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	is.Equal(res.Header.Get("Retry-After"), "0.300")
	is.Equal(f.exchanger.count(), 1)
	f.balancer.mu.Lock()
	defer f.balancer.mu.Unlock()
	is.Equal(f.balancer.dones[0].Result, balance.TurnedAway)
	is.Equal(f.balancer.requests[1].Kind, balance.First) // nothing was sent, so it is no retry
}

// Guards against starting the work of a target again elsewhere, or giving it up,
// because the target is silent for most of the request's time, as one is that is
// suspended or slow.
func TestSilentTargetKeepsItsRequest(t *testing.T) {
	for _, path := range []string{"/unsafe/", "/keyed/"} {
		is := is.New(t)
		f := newFixture(t, func(_ context.Context, _ int, r *upstream.Request) (*upstream.Response, error) {
			time.Sleep(1200 * time.Millisecond)
			return success(r), nil
		})
		is.Equal(f.send(t, http.MethodPost, path, "1").StatusCode, http.StatusOK)
		is.Equal(f.exchanger.count(), 1)
	}
}
