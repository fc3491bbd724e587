package observe

import (
	"reflect"

	"github.com/rcrowley/go-metrics"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
)

// Named is implemented by messages and outputs that are counted under a name
// of their own. Others are counted under the name of their Go type.
type Named interface {
	MetricName() string
}

// Step counts the messages that a duty takes and the outputs that it gives,
// by their types, and passes both to hooks that count more of them.
type Step[M, O any] struct {
	inner     duty.Step[M, O]
	metrics   *Metrics
	duty      string
	onMessage func(M)
	onOutput  func(O)
	// messages and outputs are used by the duty's goroutine only.
	messages, outputs map[reflect.Type]metrics.Counter
}

// NewStep returns a step that counts around another one. Hooks may be nil.
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
	if n, ok := v.(Named); ok {
		return n.MetricName()
	}
	if v == nil {
		return "nil"
	}
	return reflect.TypeOf(v).Name()
}
