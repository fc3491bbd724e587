// Package configcheck examines an operators' configuration before it takes effect: it
// finds entries that have no effect and limits that contradict each other, and the
// differences from another version.
package configcheck

import (
	"fmt"
	"net"
	"strings"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/routing"
)

// minAttemptTime is the remaining time below which internal/ingress sends a request to
// no further target.
const minAttemptTime = 20 * time.Millisecond

// Check returns a line for each finding, in the order of the configuration. Backends
// may have the weight 0.
func Check(c *routing.Config) []string {
	var out []string
	out = append(out, checkLimits(c.Limits)...)
	out = append(out, checkRoutes(c.Routes)...)
	return append(out, checkServices(c)...)
}

func checkLimits(l routing.Limits) []string {
	var out []string
	for _, f := range limitFields(l) {
		if strings.HasPrefix(f.value, "-") {
			out = append(out, fmt.Sprintf("limits: %s %s is negative", f.name, f.value))
		}
	}
	return out
}

func checkRoutes(routes []routing.Route) []string {
	type match struct{ host, prefix string }
	first := make(map[match]string)
	var out []string
	for _, r := range routes {
		add := func(format string, args ...any) {
			out = append(out, fmt.Sprintf("route %q: ", r.Name)+fmt.Sprintf(format, args...))
		}
		m := match{strings.ToLower(r.Host), r.Prefix}
		if earlier, ok := first[m]; ok {
			add("never matches: route %q has the same host and prefix and comes first", earlier)
		} else {
			first[m] = r.Name
		}
		if _, _, err := net.SplitHostPort(r.Host); err == nil {
			add("never matches: host %q has a port, which is ignored in requests", r.Host)
		}
		for _, b := range r.Backends {
			if b.Weight <= 0 {
				add("backend %q gets no requests: its weight is %g", b.Service, b.Weight)
			}
		}
		if r.LatencyObjective < 0 {
			add("latency objective %v is negative", r.LatencyObjective)
		}
		if r.Timeout < r.LatencyObjective {
			add("timeout %v is below the latency objective %v", r.Timeout, r.LatencyObjective)
		}
		if fit := int(r.Timeout / minAttemptTime); r.MaxAttempts > max(fit, 1) {
			add("%d attempts, of at least %v each, don't fit into the timeout %v", r.MaxAttempts, minAttemptTime, r.Timeout)
		}
	}
	return out
}

func checkServices(c *routing.Config) []string {
	used, seen := make(map[core.Service]bool), make(map[core.Service]bool)
	for _, r := range c.Routes {
		for _, b := range r.Backends {
			used[b.Service] = used[b.Service] || b.Weight > 0
		}
	}
	var out []string
	for _, s := range c.Services {
		add := func(format string, args ...any) {
			out = append(out, fmt.Sprintf("service %q: ", s.Name)+fmt.Sprintf(format, args...))
		}
		if seen[s.Name] {
			add("is listed twice, and only the last entry takes effect")
		}
		seen[s.Name] = true
		if !used[s.Name] {
			add("gets no requests: no route names it with a weight")
		}
		if s.MaxConnections < 1 {
			add("%d connections are below 1 for each target", s.MaxConnections)
		}
		if s.ColdStart < 0 {
			add("cold start of %v is negative", s.ColdStart)
		}
		if s.ColdRate < 0 {
			add("cold rate of %g requests a second is negative", s.ColdRate)
		}
	}
	return out
}
