package configcheck

import (
	"fmt"
	"strings"

	"celeryhook.example/celeryhook/internal/routing"
)

// Diff returns a line for each difference of a configuration from an earlier one.
// Routes and services are compared by name. Their order isn't compared.
func Diff(from, to *routing.Config) []string {
	out := changes("configuration", configFields(from), configFields(to))
	out = append(out, changes("limits", limitFields(from.Limits), limitFields(to.Limits))...)
	out = append(out, diffLists("route", from.Routes, to.Routes, func(r routing.Route) string { return r.Name }, routeFields)...)
	return append(out, diffLists("service", from.Services, to.Services, func(s routing.Service) string { return string(s.Name) }, serviceFields)...)
}

// field is a value as it is shown.
type field struct{ name, value string }

func newField(name string, value any) field { return field{name, fmt.Sprint(value)} }

func configFields(c *routing.Config) []field {
	return []field{newField("version", c.Version), newField("load control", c.LoadControl)}
}

func limitFields(l routing.Limits) []field {
	return []field{
		newField("header bytes", l.HeaderBytes), newField("body bytes", l.BodyBytes),
		newField("header timeout", l.HeaderTimeout), newField("idle timeout", l.IdleTimeout),
	}
}

func routeFields(r routing.Route) []field {
	var backends []string
	for _, b := range r.Backends {
		backends = append(backends, fmt.Sprintf("%s:%g", b.Service, b.Weight))
	}
	return []field{
		newField("host", r.Host), newField("prefix", r.Prefix), newField("may run more than once", r.Idempotent),
		newField("timeout", r.Timeout), newField("latency objective", r.LatencyObjective), newField("priority", r.Priority),
		newField("backends", strings.Join(backends, " ")), newField("attempts", r.MaxAttempts),
	}
}

func serviceFields(s routing.Service) []field {
	return []field{
		newField("health path", s.HealthPath), newField("connections", s.MaxConnections), newField("cold start", s.ColdStart),
		newField("cold rate", s.ColdRate), newField("sharded", s.Sharded),
	}
}

// changes returns a line for each field that differs.
func changes(what string, from, to []field) []string {
	var out []string
	for i, f := range from {
		if f.value != to[i].value {
			out = append(out, fmt.Sprintf("%s: %s %s -> %s", what, f.name, f.value, to[i].value))
		}
	}
	return out
}

// diffLists compares the entries of two lists by name, those of one name in their
// order.
func diffLists[T any](kind string, from, to []T, name func(T) string, fields func(T) []field) []string {
	old := make(map[string][]T)
	for _, v := range from {
		old[name(v)] = append(old[name(v)], v)
	}
	var out []string
	for _, v := range to {
		what := fmt.Sprintf("%s %q", kind, name(v))
		same := old[name(v)]
		if len(same) == 0 {
			out = append(out, what+": added")
			continue
		}
		out = append(out, changes(what, fields(same[0]), fields(v))...)
		old[name(v)] = same[1:]
	}
	for _, v := range from {
		if same := old[name(v)]; len(same) > 0 {
			out = append(out, fmt.Sprintf("%s %q: removed", kind, name(v)))
			old[name(v)] = same[1:]
		}
	}
	return out
}
