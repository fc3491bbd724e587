package observe

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxNames bounds the number of metrics of a process; gauges are counted but
	// never rejected. Names contain the services of the policy, of which there
	// are tens; the bound prevents wrongly built names from exhausting memory.
	maxNames = 4096
	// reservoirSize and decayAlpha are the usual parameters of an exponentially
	// decaying sample that is biased towards the last five minutes; 1028 values
	// give a confidence level of 99.9%.
	reservoirSize = 1028
	decayAlpha    = 0.015
)

// Metrics holds the counters, gauges and histograms of a process.
type Metrics struct {
	registry metrics.Registry
	overflow metrics.Counter
	// names counts registered names. Concurrent registrations of one name may
	// each be counted.
	names atomic.Int64
	// sources holds functions that Source has registered, by their number.
	sources     sync.Map
	sourceCount atomic.Int64
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	r := metrics.NewRegistry()
	return &Metrics{registry: r, overflow: metrics.GetOrRegisterCounter("metrics.names_refused", r)}
}

// Counter returns the counter whose name is the parts joined by dots. Once
// there are maxNames names, new ones share an overflow counter.
func (m *Metrics) Counter(parts ...string) metrics.Counter {
	name := joinName(parts)
	if c, ok := m.registry.Get(name).(metrics.Counter); ok {
		return c
	}
	if m.countName() {
		return m.overflow
	}
	return metrics.GetOrRegisterCounter(name, m.registry)
}

// Count increments the counter of that name.
func (m *Metrics) Count(parts ...string) { m.Counter(parts...).Inc(1) }

// Latency records a duration in a histogram, in microseconds.
func (m *Metrics) Latency(d time.Duration, parts ...string) {
	name := "latency_us." + joinName(parts)
	h, ok := m.registry.Get(name).(metrics.Histogram)
	if !ok {
		if m.countName() {
			m.overflow.Inc(1)
			return
		}
		h = m.registry.GetOrRegister(name, func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayAlpha))
		}).(metrics.Histogram)
	}
	h.Update(d.Microseconds())
}

// Gauge registers a function that is called each time the metrics are read.
func (m *Metrics) Gauge(read func() int64, parts ...string) {
	m.names.Add(1)
	_ = m.registry.Register(joinName(parts), metrics.NewFunctionalGauge(read))
}

// Source registers a function that passes on metrics whose names change. It is called
// each time the metrics are read, and bounds their number itself.
func (m *Metrics) Source(read func(add func(value int64, parts ...string))) {
	m.sources.Store(m.sourceCount.Add(1), read)
}

// Ring is the part of a ring that metrics are read from.
type Ring interface {
	Name() string
	Len() int
	Dropped() uint64
}

// Ring registers the depth of a ring and the number of messages that its
// overflow policy dropped.
func (m *Metrics) Ring(r Ring) {
	m.Gauge(func() int64 { return int64(r.Len()) }, "ring", r.Name(), "depth")
	m.Gauge(func() int64 { return int64(r.Dropped()) }, "ring", r.Name(), "dropped")
}

// Pool registers the ring of a worker pool and the number of tasks that the
// pool rejected.
func (m *Metrics) Pool(r Ring) {
	m.Ring(r)
	m.Gauge(func() int64 { return int64(r.Dropped()) }, "pool", r.Name(), "refused")
}

// countName counts a new name and reports whether the number of names has
// reached the bound.
func (m *Metrics) countName() (full bool) { return m.names.Add(1) >= maxNames }

// joinName joins the parts of a name. It replaces empty parts, and characters
// that are not allowed in the text format.
func joinName(parts []string) string {
	sanitized := make([]string, len(parts))
	for i, p := range parts {
		sanitized[i] = sanitizePart(p)
	}
	return strings.Join(sanitized, ".")
}

func sanitizePart(p string) string {
	if p == "" {
		return "none"
	}
	invalid := func(c rune) bool { return c <= ' ' || c > '~' || c == '.' }
	if strings.IndexFunc(p, invalid) < 0 {
		return p
	}
	return strings.Map(func(c rune) rune {
		if invalid(c) {
			return '_'
		}
		return c
	}, p)
}
