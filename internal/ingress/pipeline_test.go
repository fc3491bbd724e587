package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/upstream"
)

// gate holds attempts until it is opened, and counts those that it holds.
type gate struct {
	held atomic.Int64
	open chan struct{}
}

func newGate() *gate { return &gate{open: make(chan struct{})} }

func (g *gate) do(ctx context.Context, _ int, r *upstream.Request) (*upstream.Response, error) {
	g.held.Add(1)
	defer g.held.Add(-1)
	select {
	case <-g.open:
		return success(r), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// waitFor waits until the gate holds n attempts.
func (g *gate) waitFor(t *testing.T, n int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); g.held.Load() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d attempts are in progress, not %d", g.held.Load(), n)
		}
	}
}

func pipelined(paths ...string) string {
	var b strings.Builder
	for i, path := range paths {
		b.WriteString("GET " + path + " HTTP/1.1\r\nHost: h\r\nId: r" + strconv.Itoa(i) + "\r\nKey: 7\r\n\r\n")
	}
	return b.String()
}

// pipeliningCaller is a caller that reads several responses.
type pipeliningCaller struct {
	*rawCaller
	reader *bufio.Reader
}

func newPipeliningCaller(t *testing.T, f *fixture) *pipeliningCaller {
	c := newRawCaller(t, f)
	return &pipeliningCaller{rawCaller: c, reader: bufio.NewReader(c)}
}

// next returns the next response and its body.
func (c *pipeliningCaller) next() (*http.Response, string) {
	res, err := http.ReadResponse(c.reader, nil)
	c.NoErr(err)
	body, err := io.ReadAll(res.Body)
	c.NoErr(err)
	return res, string(body)
}

func (c *pipeliningCaller) expectInOrder(n int) {
	for i := range n {
		res, body := c.next()
		c.Equal(res.StatusCode, http.StatusOK)
		c.Equal(body, "for r"+strconv.Itoa(i))
		c.Equal(res.Header.Get("Stamp"), "s")
	}
}

// Guards against pipelined requests that wait for the ones ahead of them: callers
// that send three at once got the third after three times the work.
func TestPipelinedRequestsRunAtTheSameTime(t *testing.T) {
	g := newGate()
	c := newPipeliningCaller(t, newControlledFixture(t, true, g.do))
	c.write(pipelined("/safe/0", "/keyed/1", "/safe/2?q=1"))
	g.waitFor(t, 3)
	close(g.open)
	c.expectInOrder(3)
	c.write(strings.ReplaceAll(pipelined("/safe/3"), "Id: r0", "Id: r3")) // the connection is usable
	_, body := c.next()
	is.New(t).Equal(body, "for r3")
}

// Guards against heads that arrive in parts, and against more requests at a time
// than a connection may hold responses for.
func TestManyPipelinedRequestsInParts(t *testing.T) {
	g := newGate()
	c := newPipeliningCaller(t, newControlledFixture(t, true, g.do))
	paths := make([]string, maxAhead+3)
	for i := range paths {
		paths[i] = "/safe/" + strconv.Itoa(i)
	}
	for text := pipelined(paths...); text != ""; {
		n := min(37, len(text))
		c.write(text[:n])
		text = text[n:]
	}
	g.waitFor(t, maxAhead+1)
	time.Sleep(50 * time.Millisecond)
	is.New(t).Equal(g.held.Load(), int64(maxAhead+1))
	close(g.open)
	c.expectInOrder(len(paths))
}

// Guards against requests that are started before their turn although they may run
// once at most, load control is off, or the bytes may belong to a body.
func TestRequestsThatWaitForTheirTurn(t *testing.T) {
	for name, c := range map[string]struct {
		loadControl bool
		text        string
	}{
		"load control off": {false, pipelined("/safe/0", "/safe/1")},
		"not idempotent":   {true, pipelined("/safe/0", "/unsafe/1")},
		"body": {true, "POST /long/0 HTTP/1.1\r\nHost: h\r\nId: r0\r\nContent-Length: " +
			strconv.Itoa(len(pipelined("/safe/1"))) + "\r\n\r\n" + pipelined("/safe/1")},
		"chunked body": {true, "POST /long/0 HTTP/1.1\r\nHost: h\r\nId: r0\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strconv.FormatInt(int64(len(pipelined("/safe/1"))), 16) + "\r\n" + pipelined("/safe/1") + "\r\n0\r\n\r\n" + pipelined("/safe/2")},
		"no route": {true, pipelined("/safe/0", "/none/1")},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate()
			caller := newPipeliningCaller(t, newControlledFixture(t, c.loadControl, g.do))
			caller.write(c.text)
			g.waitFor(t, 1)
			time.Sleep(50 * time.Millisecond)
			is.New(t).Equal(g.held.Load(), int64(1))
			close(g.open)
			res, _ := caller.next()
			is.New(t).Equal(res.StatusCode, http.StatusOK)
		})
	}
}

// Guards against requests at targets whose caller has closed its connection.
func TestClosedConnectionCancelsPipelinedRequests(t *testing.T) {
	g := newGate()
	c := newPipeliningCaller(t, newControlledFixture(t, true, g.do))
	c.write(pipelined("/safe/0", "/safe/1", "/safe/2"))
	g.waitFor(t, 3)
	_ = c.Close()
	g.waitFor(t, 0)
}

// Guards against a planned stop that closes a connection after the first of the
// responses that are due on it.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	is := is.New(t)
	g := newGate()
	f := newControlledFixture(t, true, g.do)
	c := newPipeliningCaller(t, f)
	c.write(pipelined("/safe/0", "/safe/1", "/safe/2"))
	g.waitFor(t, 3)
	stopped := startStop(f)
	for f.plan.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	close(g.open)
	for i := range 3 {
		res, _ := c.next()
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(res.Close, i == 2)
	}
	is.NoErr(<-stopped)
}

// Guards against responses that wait for their turn beyond the memory of the process,
// and against memory that they hold after their turn.
func TestResponsesBeforeTheirTurnAreBounded(t *testing.T) {
	is := is.New(t)
	account := memory.NewAccount(100)
	fits := recordedResponse{held: account.NewCharge()}
	fits.WriteHeader(http.StatusOK)
	_, err := fits.Write(make([]byte, 80))
	is.NoErr(err)
	dropped := recordedResponse{held: account.NewCharge()}
	dropped.WriteHeader(http.StatusOK)
	_, err = dropped.Write(make([]byte, 80))
	is.True(errors.Is(err, errNoRoomAhead))
	w := httptest.NewRecorder()
	is.NoErr(fits.replay(w, false))
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Body.Len(), 80)
	w = httptest.NewRecorder()
	is.True(dropped.replay(w, false) != nil)
	is.Equal(w.Code, http.StatusBadGateway) // the request may have run
	is.Equal(account.Used(), int64(0))
}

// Guards against a caller that waits longer than the balancer told it, after a target
// with room rejected its request.
func TestRetryAfterOfTheBalancerIsSent(t *testing.T) {
	is := is.New(t)
	for _, loadControl := range []bool{false, true} {
		f := newControlledFixture(t, loadControl, func(context.Context, int, *upstream.Request) (*upstream.Response, error) {
			return &upstream.Response{Status: http.StatusServiceUnavailable, NotRun: true, Header: http.Header{}}, nil
		})
		f.balancer.reply = func(n int) balance.Decision {
			if n > 1 {
				return balance.Decision{Verdict: balance.Reject, Reason: "retry-budget", RetryAfter: 50 * time.Millisecond}
			}
			return balance.Decision{Target: balance.Target{ID: "t1"}}
		}
		want := "0.100"
		if loadControl {
			want = "0.050"
		}
		is.Equal(f.send(t, http.MethodGet, "/safe/1", "r1").Header.Get("Retry-After"), want)
	}
}
