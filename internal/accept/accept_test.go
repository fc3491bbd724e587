package accept

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/forward"
	"celeryhook.example/celeryhook/internal/inbound"
	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/observe"
	"celeryhook.example/celeryhook/internal/policy"
	"celeryhook.example/celeryhook/internal/target"
)

func TestMain(m *testing.M) {
	gin.SetMode(gin.ReleaseMode)
	os.Exit(m.Run())
}

type serveFunc func(context.Context, forward.Call) forward.Result

func (f serveFunc) Serve(ctx context.Context, c forward.Call) forward.Result { return f(ctx, c) }

func echo(_ context.Context, c forward.Call) forward.Result {
	if c.HTTP.Path == "/panic" {
		panic("on purpose")
	}
	return forward.Result{Outcome: core.OutcomeAnswered, Response: target.Response{Status: 200, Body: c.HTTP.Body}}
}

func testPolicy() *policy.Policy {
	limits := policy.Limits{Timeout: time.Second, BodyBytes: 16}
	path := policy.KeySource{Kind: "path", Name: "id"}
	return &policy.Policy{
		Services: map[core.Service]policy.Service{"slots": {Name: "slots", Sharding: policy.ShardingKey, Limits: limits}},
		Routes: []policy.Route{
			{Name: "path", Method: "GET", Path: "/slots/{id}", Service: "slots", Key: path, Idempotent: true},
			{Name: "other", Method: "GET", Path: "/slots/{slot}/seats", Service: "slots", Key: policy.KeySource{Kind: "path", Name: "slot"}, Idempotent: true},
			{Name: "query", Method: "GET", Path: "/query", Service: "slots", Key: policy.KeySource{Kind: "query", Name: "id"}, Idempotent: true},
			{Name: "post", Method: "POST", Path: "/book", Service: "slots", MissingID: policy.MissingIDReject},
			{Name: "panic", Method: "GET", Path: "/panic", Service: "slots", Idempotent: true},
			{Name: "lost", Method: "GET", Path: "/lost", Service: "absent", Idempotent: true},
			// Routes that the router rejects.
			{Name: "twice", Method: "GET", Path: "/query", Service: "slots", Idempotent: true},
			{Name: "wild", Method: "GET", Path: "/a*b/:c", Service: "slots", Idempotent: true},
			{Name: "method", Method: "get it", Path: "/x", Service: "slots", Idempotent: true},
			{Name: "nokey", Method: "GET", Path: "/y", Service: "slots", Key: path, Idempotent: true},
			{Name: "last", Method: "GET", Path: "/last", Service: "slots", Idempotent: true},
		},
	}
}

func newTestHandler() (*Handler, *observe.Metrics) {
	m := observe.NewMetrics()
	h := New(duty.NewClock(), serveFunc(echo), m, logr.Discard())
	h.Apply(testPolicy())
	return h, m
}

// Guards against an invalid request whose response is not a problem or has the
// wrong status, and against one that is not counted.
func TestInvalidRequests(t *testing.T) {
	h, m := newTestHandler()
	big := strings.Repeat("k", 1<<20)
	long := strings.NewReader(strings.Repeat("b", 17))
	cases := []struct {
		method, url, id string
		body            io.Reader
		status          int
		reason          string
	}{
		{"GET", "/absent", "", nil, 404, "no-route"},
		{"DELETE", "/query", "", nil, 405, "no-method"},
		{"GET", "/lost", "", nil, 400, "unknown-service"},
		{"GET", "/query", "", nil, 400, "key-missing"},
		{"GET", "/query?id=", "", nil, 400, "key-empty"},
		{"GET", "/query?id=a&id=b", "", nil, 400, "key-repeated"},
		{"GET", "/query?id=%zz", "", nil, 400, "key-malformed"},
		{"GET", "/query?id=%ff", "", nil, 400, "key-not-utf8"},
		{"GET", "/query?id=" + big, "", nil, 400, "key-too-long"},
		{"GET", "/slots/%ff", "", nil, 400, "key-not-utf8"},
		{"GET", "/slots/" + big, "", nil, 400, "key-too-long"},
		{"POST", "/book", "", nil, 400, "id-missing"},
		{"POST", "/book", "caf\u00e9", nil, 400, "id-not-ascii"},
		{"POST", "/book", strings.Repeat("i", 257), nil, 400, "id-too-long"},
		{"POST", "/book", "1", long, 413, "body-too-large"},
		{"POST", "/book", "2", io.MultiReader(strings.NewReader(strings.Repeat("b", 17))), 413, "body-too-large"},
	}
	for _, c := range cases {
		before := m.Values()["bad_input."+c.reason]
		w := httptest.NewRecorder()
		r := httptest.NewRequest(c.method, c.url, c.body)
		if c.id != "" {
			r.Header.Set(HeaderIdempotencyKey, c.id)
		}
		h.ServeHTTP(w, r)
		var p Problem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			t.Fatalf("%s: %v in %q", c.reason, err, w.Body)
		}
		if w.Code != c.status || p.Status != c.status || p.Type != ProblemBase+"bad-request" || p.Detail == "" {
			t.Errorf("%s: got %d, %+v", c.reason, w.Code, p)
		}
		if got := m.Values()["bad_input."+c.reason]; got != before+1 {
			t.Errorf("%s was not counted", c.reason)
		}
		if w.Body.Len() > 2048 {
			t.Errorf("%s: the problem repeats %d bytes of the input", c.reason, w.Body.Len())
		}
	}
}

// Guards against a key whose owner depends on how the caller escaped it.
func TestKeyIsUnescapedOnce(t *testing.T) {
	is := is.New(t)
	h, _ := newTestHandler()
	var hash uint64
	h.server = serveFunc(func(_ context.Context, c forward.Call) forward.Result {
		hash = c.Request.KeyHash
		return echo(context.Background(), c)
	})
	for url, key := range map[string]string{
		"/slots/a%2Fb": "a/b", "/slots/a%2525": "a%25", "/slots/a+b": "a+b", "/slots/%61%2Fx/seats": "a/x", "/query?id=a%2Fb": "a/b",
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, url, nil))
		is.Equal(w.Code, 200)
		is.Equal(hash, core.HashKey(key))
	}
}

// Guards against a panic in a handler that ends the process or closes the
// connection without a response, and against a panic while a policy with
// unusable routes is applied.
func TestPanicAndSkippedRoutes(t *testing.T) {
	is := is.New(t)
	h, m := newTestHandler()
	is.Equal(m.Values()["routes_left_out"], int64(4))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/panic", nil))
	is.Equal(w.Code, http.StatusGatewayTimeout)
	is.True(strings.Contains(w.Body.String(), ProblemBase+"unknown"))
	is.Equal(m.Values()["panics.accept"], int64(1))
	is.Equal(h.InFlight(), int64(0))
	w = httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/last", nil))
	is.Equal(w.Code, 200) // routes after the skipped ones are served
}

func serveCallers(t *testing.T) (string, *observe.Metrics, *http.Server) {
	t.Helper()
	h, m := newTestHandler()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 100 * time.Millisecond, ReadTimeout: 200 * time.Millisecond, MaxHeaderBytes: 8 << 10}
	TrackConnStates(s)
	go func() { _ = s.Serve(NewListener(l, testGuard(m), m)) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String(), m, s
}

func exchangeRaw(t *testing.T, address, raw string) (*http.Response, Problem) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	go func() { _, _ = io.WriteString(c, raw) }()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.40q: %v", raw, err)
	}
	defer res.Body.Close()
	var p Problem
	if err := json.NewDecoder(res.Body).Decode(&p); err != nil {
		t.Fatalf("%.40q: %v", raw, err)
	}
	return res, p
}

// Guards against invalid headers to which net/http responds in plain text or
// not at all, against slow callers that keep a connection open, and against
// effects of either on other callers.
func TestErrorsBeforeHandler(t *testing.T) {
	is := is.New(t)
	address, m, _ := serveCallers(t)
	for _, c := range []struct {
		raw    string
		status int
		reason string
	}{
		{"nonsense\r\n\r\n", 400, "malformed"},
		{"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: odd\r\n\r\n", 501, "malformed"},
		{"GET / HTTP/1.1\r\n\r\n", 400, "malformed"},
		{"GET /query?id=" + strings.Repeat("k", 1<<20) + " HTTP/1.1\r\nHost: a\r\n\r\n", 431, "head-too-large"},
		{"GET /last HTTP/1.1\r\nHos", 408, "head-incomplete"},
		{"POST /book HTTP/1.1\r\nHost: a\r\nIdempotency-Key: 1\r\nContent-Length: 9\r\n\r\nabc", 408, "body-slow"},
		{"POST /book HTTP/1.1\r\nHost: a\r\nIdempotency-Key:\r\n\r\n", 400, "id-empty"},
		{"POST /book HTTP/1.1\r\nHost: a\r\nIdempotency-Key: 1\r\nIdempotency-Key: 2\r\n\r\n", 400, "id-repeated"},
		{"GET /last HTTP/1.1\r\nHost: a\r\nX-Name: \xff\r\n\r\n", 400, "header-not-utf8"},
		{"GET /last?\xff HTTP/1.1\r\nHost: a\r\n\r\n", 400, "path-not-utf8"},
	} {
		res, p := exchangeRaw(t, address, c.raw)
		is.Equal(res.StatusCode, c.status)
		is.Equal(res.Header.Get("Content-Type"), "application/problem+json")
		is.Equal(p.Type, ProblemBase+"bad-request")
		if m.Values()["bad_input."+c.reason] == 0 {
			t.Errorf("%.40q is not counted as %s", c.raw, c.reason)
		}
		ok, err := http.Get("http://" + address + "/last")
		is.NoErr(err)
		is.Equal(ok.StatusCode, 200)
		_ = ok.Body.Close()
	}
}

// Guards against a reset of an idle connection on which a request arrives
// during the shutdown: the caller must learn that it was not run.
func TestRequestDuringShutdown(t *testing.T) {
	is := is.New(t)
	address, _, s := serveCallers(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	read := bufio.NewReader(c)
	_, _ = io.WriteString(c, "GET /last HTTP/1.1\r\nHost: a\r\n\r\n")
	res, err := http.ReadResponse(read, nil)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, res.Body)
	time.Sleep(20 * time.Millisecond) // lets the connection become idle
	is.NoErr(s.Shutdown(context.Background()))
	_, _ = io.WriteString(c, "GET /last HTTP/1.1\r\nHost: a\r\n\r\n")
	res, err = http.ReadResponse(read, nil)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	var p Problem
	is.NoErr(json.NewDecoder(res.Body).Decode(&p))
	is.Equal(p.Type, ProblemBase+"not-run")
}

// Guards against input for which a parser panics or an error response is not a
// problem with the same status.
func FuzzRequest(f *testing.F) {
	f.Add("GET /slots/a%2Fb?x=%zz HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("POST /book HTTP/1.1\r\nHost: a\r\nIdempotency-Key: 1\r\nContent-Length: 3\r\n\r\nabc")
	f.Add("CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n")
	h, m := newTestHandler()
	f.Fuzz(func(t *testing.T, raw string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil || r.URL.Path == "/panic" {
			return
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		var p Problem
		if w.Code != 200 && (json.Unmarshal(w.Body.Bytes(), &p) != nil || p.Status != w.Code) {
			t.Fatalf("status %d without a problem: %q", w.Code, w.Body)
		}
		if m.Values()["panics.accept"] != 0 {
			t.Fatal("the handler panicked")
		}
	})
}

// Guards against a reset of connections that were established but not yet
// accepted when the listener closes.
func TestQuiesce(t *testing.T) {
	is := is.New(t)
	inner, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	m := observe.NewMetrics()
	l := NewListener(inner, testGuard(m), m)
	early, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer early.Close()
	l.Quiesce(context.Background())
	is.Equal(m.Values()["quiesce_failed"], int64(0))
	_, err = net.DialTimeout("tcp", inner.Addr().String(), 50*time.Millisecond)
	is.True(err != nil) // no new connection
	accepted, err := l.Accept()
	is.NoErr(err) // the earlier connection is still accepted
	is.NoErr(accepted.Close())
	is.NoErr(l.Close())
}

// testGuard returns a guard whose limits the tests don't reach.
func testGuard(m *observe.Metrics) *inbound.Guard {
	return inbound.NewGuard("callers", inbound.Limits{Conns: 1000, HeadBytes: 64 << 10, Heads: memory.NewAccount(64 << 20)}, m)
}
