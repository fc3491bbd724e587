package routing

import (
	"net"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/team"
)

// Table finds routes and services of one configuration version.
type Table struct {
	version     int64
	loadControl bool
	limits      Limits
	hosts       map[string][]*Rule
	services    map[core.Service]Service
	teams       *team.Index
}

// Rule is a route with the state that divides its requests among backends.
type Rule struct {
	Route
	picker *weightedPicker
}

// NewTable builds the table of a configuration.
func NewTable(c Config) *Table {
	t := &Table{
		version: c.Version, loadControl: c.LoadControl, limits: c.Limits,
		hosts:    make(map[string][]*Rule),
		services: make(map[core.Service]Service, len(c.Services)),
		teams:    team.NewIndex(c.Teams),
	}
	for _, s := range c.Services {
		s.LoadControl = c.LoadControl
		t.services[s.Name] = s
	}
	for _, r := range c.Routes {
		for _, b := range r.Backends {
			if s, ok := t.services[b.Service]; ok {
				s.LongestRequest = max(s.LongestRequest, r.Timeout)
				if r.LatencyObjective > 0 && (s.Objective == 0 || r.LatencyObjective < s.Objective) {
					s.Objective = r.LatencyObjective
				}
				t.services[b.Service] = s
			}
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], &Rule{Route: r, picker: newWeightedPicker(r.Backends)})
	}
	for _, rules := range t.hosts {
		sort.SliceStable(rules, func(i, j int) bool { return len(rules[i].Prefix) > len(rules[j].Prefix) })
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// LoadControl reports whether load control is on.
func (t *Table) LoadControl() bool { return t.loadControl }

// Service returns a service of the configuration.
func (t *Table) Service(name core.Service) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services by name.
func (t *Table) Services() map[core.Service]Service { return t.services }

// Teams returns the index of the teams, or nil if the configuration has none.
func (t *Table) Teams() *team.Index { return t.teams }

// Find returns the rule with the longest prefix of the path on that host, or
// nil. A port in the host is ignored.
func (t *Table) Find(host, path string) *Rule {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick returns the next backend by weighted round-robin.
func (r *Rule) Pick() core.Service { return r.picker.next() }

// weightedPicker implements smooth weighted round-robin: each call picks the
// backend that is furthest behind its share, so that the shares are met to
// within one request.
type weightedPicker struct {
	mu       sync.Mutex
	backends []Backend
	credit   []float64
	total    float64
}

func newWeightedPicker(backends []Backend) *weightedPicker {
	p := &weightedPicker{backends: backends, credit: make([]float64, len(backends))}
	for _, b := range backends {
		p.total += b.Weight
	}
	return p
}

func (p *weightedPicker) next() core.Service {
	switch len(p.backends) {
	case 0:
		return ""
	case 1:
		return p.backends[0].Service
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	best := 0
	for i, b := range p.backends {
		p.credit[i] += b.Weight
		if p.credit[i] > p.credit[best] {
			best = i
		}
	}
	p.credit[best] -= p.total
	return p.backends[best].Service
}

// ActiveTable holds the table of the newest configuration. Readers never wait
// for writers.
type ActiveTable struct {
	table atomic.Pointer[Table]
}

// Table returns the active table, or nil before the first configuration.
func (a *ActiveTable) Table() *Table { return a.table.Load() }

// Apply activates a configuration unless its version is the active one or older,
// and reports whether it did.
func (a *ActiveTable) Apply(c Config) bool {
	current := a.table.Load()
	if current != nil && c.Version <= current.version {
		return false
	}
	return a.table.CompareAndSwap(current, NewTable(c))
}
