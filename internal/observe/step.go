package observe

import (
	"reflect"

	"github.com/rcrowley/go-metrics"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
)

// MetricNamer is implemented by messages and outputs whose name in metrics
// differs from the name of their Go type.
type MetricNamer interface {
	MetricName() string
}

// Step wraps the step of a duty. It counts messages and outputs by type, and
// passes both to hooks that record further metrics.
type Step[M, O any] struct {
	inner     duty.Step[M, O]
	metrics   *Metrics
	duty      string
	onMessage func(M)
	onOutput  func(O)
	// messages and outputs are accessed only by the duty's goroutine.
	messages, outputs map[reflect.Type]metrics.Counter
}

// NewStep returns a Step that wraps inner. Hooks may be nil.
func NewStep[M, O any](m *Metrics, name string, inner duty.Step[M, O], onMessage func(M), onOutput func(O)) *Step[M, O] {
	if onMessage == nil {
		onMessage = func(M) {}
	}
	if onOutput == nil {
		onOutput = func(O) {}
	}
	return &Step[M, O]{
		inner: inner, metrics: m, duty: name, onMessage: onMessage, onOutput: onOutput,
		messages: make(map[reflect.Type]metrics.Counter),
		outputs:  make(map[reflect.Type]metrics.Counter),
	}
}

// Step implements duty.Step.
func (s *Step[M, O]) Step(now core.Instant, m M) []O {
	s.count(s.messages, "messages", m)
	s.onMessage(m)
	out := s.inner.Step(now, m)
	for _, o := range out {
		s.count(s.outputs, "outputs", o)
		s.onOutput(o)
	}
	return out
}

func (s *Step[M, O]) count(counters map[reflect.Type]metrics.Counter, kind string, v any) {
	t := reflect.TypeOf(v)
	c, ok := counters[t]
	if !ok {
		c = s.metrics.Counter(kind, s.duty, metricName(v))
		counters[t] = c
	}
	c.Inc(1)
}

func metricName(v any) string {
	if n, ok := v.(MetricNamer); ok {
		return n.MetricName()
	}
	if v == nil {
		return "nil"
	}
	return reflect.TypeOf(v).Name()
}
