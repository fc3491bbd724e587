package observe

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ring"
)

// Guards against counted events that are missing in the output, and against
// names that break the text format.
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

// Guards against an unbounded number of names that exhausts memory.
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

// Guards against messages or outputs of a duty that are not counted or not
// passed to the hooks.
func TestStepCounts(t *testing.T) {
	is := is.New(t)
	m := NewMetrics()
	var messages, outputs int
	s := NewStep(m, "echo", echo{}, func(any) { messages++ }, func(any) { outputs++ })
	is.Equal(len(s.Step(0, ring.ErrFull)), 2)
	s.Step(0, nil)
	is.Equal(messages, 2)
	is.Equal(outputs, 4)
	is.Equal(m.Values()["messages.echo.nil"], int64(1))
	is.Equal(m.Values()["outputs.echo.nil"], int64(2))
}

type renamed struct{}

func (renamed) MetricName() string { return "Original" }

// Guards against a change of a metric's name when its Go type is renamed.
func TestStepCountsByMetricName(t *testing.T) {
	is := is.New(t)
	m := NewMetrics()
	NewStep(m, "echo", echo{}, nil, nil).Step(0, renamed{})
	is.Equal(m.Values()["messages.echo.Original"], int64(1))
	is.Equal(m.Values()["outputs.echo.Original"], int64(2))
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a trace that ends at the front. The target must receive the
// trace context of the last hop, even if this process exports no spans.
func TestTraceContextReachesTargets(t *testing.T) {
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.MapCarrier{"traceparent": parent})
	var got string
	transport := TraceTransport(roundTrip(func(r *http.Request) (*http.Response, error) {
		got = r.Header.Get("Traceparent")
		return nil, http.ErrServerClosed
	}))
	m := NewMetrics()
	for name, want := range map[string]struct{ sameSpan bool }{"none": {true}, "sdk": {false}} {
		is := is.New(t)
		tracer := noop.NewTracerProvider().Tracer("t")
		if name == "sdk" {
			tracer = sdktrace.NewTracerProvider().Tracer("t")
		}
		hop, span := CountHops(tracer, m).Start(ctx, "target")
		req := httptest.NewRequest(http.MethodGet, "/", nil).WithContext(hop)
		_, _ = transport.RoundTrip(req)
		span.End()
		is.Equal(req.Header.Get("Traceparent"), "") // the caller's request is unchanged
		is.Equal(got[:36], parent[:36])             // same trace
		is.Equal(got == parent, want.sameSpan)      // a new span only with the SDK
	}
	if n := m.Values()["hops.target"]; n != 2 {
		t.Errorf("hops.target = %d, want 2", n)
	}
}

// blockingWriter blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// Guards against a logger that blocks the process while nobody reads its
// output, and against lines that are dropped without a log line.
func TestBoundedLoggerNeverBlocks(t *testing.T) {
	is := is.New(t)
	w := &blockingWriter{release: make(chan struct{})}
	log, flush := NewBoundedLogger(w)
	for i := range 2 * lineBurst {
		log.Info("line", "n", i)
	}
	close(w.release)
	flush()
	is.True(strings.Contains(w.text.String(), `"n":0`))
	is.True(strings.Contains(w.text.String(), "log lines dropped"))
}

// Guards against a malformed response whose bytes are quoted in an error and fill
// the log and the memory for lines that wait: one of 63 KiB became a line of 323 KB.
func TestLongFieldsAreTruncated(t *testing.T) {
	long := strings.Repeat("\x01", 63<<10) + "end"
	for name, write := range map[string]func(logr.Logger){
		"message":         func(l logr.Logger) { l.Info(long) },
		"string":          func(l logr.Logger) { l.Info("m", "text", long) },
		"error as string": func(l logr.Logger) { l.Info("m", "error", fmt.Errorf("malformed response %q", long).Error()) },
		"error":           func(l logr.Logger) { l.Error(fmt.Errorf("malformed response %q", long), "m") },
		"error field":     func(l logr.Logger) { l.Info("m", "reason", errors.New(long)) },
		"named string":    func(l logr.Logger) { l.Info("m", "target", core.Target(long)) },
		"logger's field":  func(l logr.Logger) { l.WithValues("text", long).Info("m") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			log, flush := NewBoundedLogger(&out)
			write(log)
			flush()
			var line map[string]any
			is.NoErr(json.Unmarshal(out.Bytes(), &line))
			is.True(out.Len() < 8*maxTextBytes) // a control character takes six bytes in JSON
			is.True(strings.Contains(out.String(), " bytes)"))
		})
	}
}

type pointerError struct{}

func (*pointerError) Error() string { return "e" }

// Guards against a logger that panics on a field without a value.
func TestFieldsWithoutAValue(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, flush := NewBoundedLogger(&out)
	log.Info("m", "none", nil, "error", error((*pointerError)(nil)), "name", core.Target(""), "list", []string{"a"})
	flush()
	is.True(strings.Contains(out.String(), `"list":["a"]`))
}

// Guards against a shortened text that isn't valid UTF-8 although it was, against
// one that is shortened although it isn't too long, and against bytes that aren't
// UTF-8 and are lost altogether.
func TestTruncate(t *testing.T) {
	is := is.New(t)
	for _, length := range []int{0, 1, maxTextBytes - 1, maxTextBytes} {
		s := strings.Repeat("x", length)
		is.Equal(truncate(s), s)
	}
	s := truncate(strings.Repeat("ě", maxTextBytes/2+1))
	is.True(utf8.ValidString(s))
	is.Equal(s, strings.Repeat("ě", maxTextBytes/2)+"... (1026 bytes)")
	s = truncate("x" + strings.Repeat("ě", maxTextBytes/2))
	is.True(utf8.ValidString(s))
	is.Equal(s, "x"+strings.Repeat("ě", maxTextBytes/2-1)+"... (1025 bytes)")
	is.True(len(truncate(strings.Repeat("\x80", 2*maxTextBytes))) > maxTextBytes)
}

// Guards against lines that wait for a slow reader and take more and more memory:
// the ring bounds their number only.
func TestWaitingLinesAreBoundedInBytes(t *testing.T) {
	is := is.New(t)
	w := &blockingWriter{release: make(chan struct{})}
	log, flush := NewBoundedLogger(w)
	text := strings.Repeat("x", maxTextBytes)
	for range lineBurst {
		log.Info("line", "a", text, "b", text, "c", text, "d", text)
	}
	close(w.release)
	flush()
	is.True(w.text.Len() < maxWaitingBytes+10*maxTextBytes) // a line and the count of those dropped more
	is.True(w.text.Len() > maxWaitingBytes/2)
	is.True(strings.Contains(w.text.String(), "log lines dropped"))

	// The bytes of lines that were written make room for others.
	var out lockedBuffer
	log, flush = NewBoundedLogger(&out)
	const half = maxWaitingBytes / (8 * maxTextBytes) // lines of more than 4 KiB
	for round := range 3 {
		for range half {
			log.Info("line", "a", text, "b", text, "c", text, "d", text)
		}
		for deadline := time.Now().Add(time.Minute); strings.Count(out.String(), "\n") < (round+1)*half; {
			if time.Now().After(deadline) {
				t.Fatal("the lines aren't written")
			}
			time.Sleep(flushInterval / 10)
		}
	}
	flush()
	is.True(!strings.Contains(out.String(), "log lines dropped"))
}
