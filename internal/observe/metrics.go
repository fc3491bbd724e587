package observe

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxNames bounds the metrics of a process. Names contain services of the
	// policy, of which there are tens; the bound keeps a fault in a name from
	// filling the memory.
	maxNames = 4096
	// reservoir and alpha are the customary values for a sample that favours
	// the last five minutes; 1028 values give a 99.9% confidence level.
	reservoir = 1028
	alpha     = 0.015
)

// Metrics holds the counters, gauges and histograms of a process.
type Metrics struct {
	registry metrics.Registry
	overflow metrics.Counter
	// names counts registrations, at most a few too many for those that race.
	names atomic.Int64
}

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics {
	r := metrics.NewRegistry()
	return &Metrics{registry: r, overflow: metrics.GetOrRegisterCounter("metrics.names_refused", r)}
}

// Counter returns the counter of that name; parts are joined by dots.
func (m *Metrics) Counter(parts ...string) metrics.Counter {
	name := nameOf(parts)
	if c, ok := m.registry.Get(name).(metrics.Counter); ok {
		return c
	}
	if m.full() {
		return m.overflow
	}
	return metrics.GetOrRegisterCounter(name, m.registry)
}

// Count adds one to the counter of that name.
func (m *Metrics) Count(parts ...string) { m.Counter(parts...).Inc(1) }

// Latency adds a duration to a histogram of microseconds.
func (m *Metrics) Latency(d time.Duration, parts ...string) {
	name := "latency_us." + nameOf(parts)
	h, ok := m.registry.Get(name).(metrics.Histogram)
	if !ok {
		if m.full() {
			m.overflow.Inc(1)
			return
		}
		h = m.registry.GetOrRegister(name, func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, alpha))
		}).(metrics.Histogram)
	}
	h.Update(d.Microseconds())
}

// Gauge registers a value that is read when the metrics are shown.
func (m *Metrics) Gauge(read func() int64, parts ...string) {
	m.names.Add(1)
	_ = m.registry.Register(nameOf(parts), metrics.NewFunctionalGauge(read))
}

// Ring is what the metrics show of a ring.
type Ring interface {
	Name() string
	Len() int
	Dropped() uint64
}

// Ring shows the depth of a ring and what its rule turned away.
func (m *Metrics) Ring(r Ring) {
	m.Gauge(func() int64 { return int64(r.Len()) }, "ring", r.Name(), "depth")
	m.Gauge(func() int64 { return int64(r.Dropped()) }, "ring", r.Name(), "dropped")
}

// Pool shows the ring of a pool and how many tasks the pool refused.
func (m *Metrics) Pool(r Ring) {
	m.Ring(r)
	m.Gauge(func() int64 { return int64(r.Dropped()) }, "pool", r.Name(), "refused")
}

// full notes that a name is added and reports whether there is no room for it.
func (m *Metrics) full() bool { return m.names.Add(1) >= maxNames }

// nameOf joins the parts of a name. A part that is empty or has characters
// that would break a line of the text form is made harmless.
func nameOf(parts []string) string {
	clean := make([]string, len(parts))
	for i, p := range parts {
		clean[i] = cleanPart(p)
	}
	return strings.Join(clean, ".")
}

func cleanPart(p string) string {
	if p == "" {
		return "none"
	}
	bad := func(c rune) bool { return c <= ' ' || c > '~' || c == '.' }
	if strings.IndexFunc(p, bad) < 0 {
		return p
	}
	return strings.Map(func(c rune) rune {
		if bad(c) {
			return '_'
		}
		return c
	}, p)
}
