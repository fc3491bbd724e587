package observe

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ring"
)

// Guards against events that are counted but not shown, and against names
// that break the text form.
func TestMetricsAsTextAndJSON(t *testing.T) {
	is := is.New(t)
	m := NewMetrics()
	r := ring.New[int]("small", 1, ring.Reject)
	m.Pool(r)
	_ = r.Put(context.Background(), 1)
	_ = r.Put(context.Background(), 2)
	m.Count("requests", "a b\nc", "")
	m.Count("requests", "a b\nc", "")
	m.Latency(2*time.Millisecond, "request")

	text := httptest.NewRecorder()
	m.ServeHTTP(text, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		"requests.a_b_c.none 2\n", "ring.small.depth 1\n", "ring.small.dropped 1\n",
		"pool.small.refused 1\n", "latency_us.request.p99 2000\n",
	} {
		if !strings.Contains(text.Body.String(), line) {
			t.Errorf("%q is missing in:\n%s", line, text.Body)
		}
	}
	encoded := httptest.NewRecorder()
	m.ServeHTTP(encoded, httptest.NewRequest(http.MethodGet, "/metrics?format=json", nil))
	var values map[string]int64
	is.NoErr(json.Unmarshal(encoded.Body.Bytes(), &values))
	is.Equal(values["requests.a_b_c.none"], int64(2))
}

// Guards against names without bound that fill the memory.
func TestNamesAreBounded(t *testing.T) {
	is := is.New(t)
	m := NewMetrics()
	for i := range maxNames + 10 {
		m.Count("n", time.Duration(i).String()+"x"+strings.Repeat("y", i%3))
	}
	is.True(len(m.Values()) <= maxNames)
	is.True(m.Values()["metrics.names_refused"] > 0)
}

type echo struct{}

func (echo) Step(_ core.Instant, m any) []any { return []any{m, m} }

// Guards against a duty whose messages or outputs aren't counted.
func TestStepCounts(t *testing.T) {
	is := is.New(t)
	m := NewMetrics()
	var seen, given int
	s := NewStep(m, "echo", echo{}, func(any) { seen++ }, func(any) { given++ })
	is.Equal(len(s.Step(0, ring.ErrFull)), 2)
	s.Step(0, nil)
	is.Equal(seen, 2)
	is.Equal(given, 4)
	is.Equal(m.Values()["messages.echo.nil"], int64(1))
	is.Equal(m.Values()["outputs.echo.nil"], int64(2))
}

type renamed struct{}

func (renamed) MetricName() string { return "Original" }

// Guards against a metric that is renamed together with a Go type.
func TestStepCountsByMetricName(t *testing.T) {
	is := is.New(t)
	m := NewMetrics()
	NewStep(m, "echo", echo{}, nil, nil).Step(0, renamed{})
	is.Equal(m.Values()["messages.echo.Original"], int64(1))
	is.Equal(m.Values()["outputs.echo.Original"], int64(2))
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a trace that ends at the front: the target must get the
// context of the last hop, also if this process exports nothing.
func TestTraceContextReachesTargets(t *testing.T) {
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{"traceparent": parent})
	var got string
	transport := TraceTransport(roundTrip(func(r *http.Request) (*http.Response, error) {
		got = r.Header.Get("Traceparent")
		return nil, http.ErrServerClosed
	}))
	m := NewMetrics()
	for name, tracer := range map[string]struct{ same bool }{"none": {true}, "sdk": {false}} {
		is := is.New(t)
		provider := noop.NewTracerProvider().Tracer("t")
		if name == "sdk" {
			provider = sdktrace.NewTracerProvider().Tracer("t")
		}
		hop, span := CountHops(provider, m).Start(ctx, "target")
		req := httptest.NewRequest(http.MethodGet, "/", nil).WithContext(hop)
		_, _ = transport.RoundTrip(req)
		span.End()
		is.Equal(req.Header.Get("Traceparent"), "") // the caller's request is unchanged
		is.Equal(got[:36], parent[:36])             // same trace
		is.Equal(got == parent, tracer.same)        // own span if there is one
	}
	if n := m.Values()["hops.target"]; n != 2 {
		t.Errorf("hops.target = %d, want 2", n)
	}
}

// slowWriter blocks until it is released.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *slowWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// Guards against a log that holds up the process while nobody reads it, or
// drops lines without a word.
func TestBoundedLoggerNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := &slowWriter{release: make(chan struct{})}
	log, flush := NewBoundedLogger(w)
	for i := range 2 * lineBurst {
		log.Info("line", "n", i)
	}
	close(w.release)
	flush()
	is.True(strings.Contains(w.text.String(), `"n":0`))
	is.True(strings.Contains(w.text.String(), "log lines dropped"))
}
