package observe

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Values returns the current value of every metric. A histogram yields one
// value each for its count, mean, maximum and percentiles.
func (m *Metrics) Values() map[string]int64 {
	out := make(map[string]int64)
	m.registry.Each(func(name string, metric any) {
		switch metric := metric.(type) {
		case metrics.Counter:
			out[name] = metric.Count()
		case metrics.Gauge:
			out[name] = metric.Value()
		case metrics.Histogram:
			h := metric.Snapshot()
			p := h.Percentiles([]float64{0.5, 0.95, 0.99, 0.999})
			out[name+".count"] = h.Count()
			out[name+".mean"] = int64(h.Mean())
			out[name+".max"] = h.Max()
			out[name+".p50"] = int64(p[0])
			out[name+".p95"] = int64(p[1])
			out[name+".p99"] = int64(p[2])
			out[name+".p999"] = int64(p[3])
		}
	})
	m.sources.Range(func(_, read any) bool {
		read.(func(func(int64, ...string)))(func(value int64, parts ...string) { out[joinName(parts)] = value })
		return true
	})
	return out
}

// ServeHTTP writes all metrics: by default as text with one "name value" per
// line, sorted by name; with ?format=json or Accept: application/json as a
// JSON object.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	values := m.Values()
	if r.URL.Query().Get("format") == "json" || strings.Contains(r.Header.Get("Accept"), "application/json") {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(values)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writeText(w, values)
}

func writeText(w io.Writer, values map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(w, "%s %d\n", name, values[name])
	}
}
