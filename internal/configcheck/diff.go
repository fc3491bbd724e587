package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/team"
)

// Diff returns a line for each difference of a configuration from an earlier one.
// Routes, services and teams are compared by name. Their order isn't compared.
func Diff(from, to *routing.Config) []string {
	out := changes("configuration", configFields(from), configFields(to))
	out = append(out, changes("limits", limitFields(from.Limits), limitFields(to.Limits))...)
	out = append(out, diffLists("route", from.Routes, to.Routes, func(r routing.Route) string { return r.Name }, routeFields)...)
	out = append(out, diffLists("service", from.Services, to.Services, func(s routing.Service) string { return string(s.Name) }, serviceFields)...)
	return append(out, diffTeams(from.Teams, to.Teams)...)
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
		newField("anonymous", r.Anonymous),
	}
}

func serviceFields(s routing.Service) []field {
	return []field{
		newField("health path", s.HealthPath), newField("connections", s.MaxConnections), newField("cold start", s.ColdStart),
		newField("cold rate", s.ColdRate), newField("sharded", s.Sharded),
	}
}

// diffTeams compares teams. Keys are counted, as they must not be shown.
func diffTeams(from, to []team.Team) []string {
	out := diffLists("team", from, to, func(t team.Team) string { return t.Name }, teamFields)
	old := make(map[string][]team.Key)
	for _, t := range from {
		old[t.Name] = t.Keys
	}
	for _, t := range to {
		keys, known := old[t.Name]
		added, removed := missing(t.Keys, keys), missing(keys, t.Keys)
		if known && added+removed > 0 {
			out = append(out, fmt.Sprintf("team %q: keys added %d, removed %d", t.Name, added, removed))
		}
	}
	return out
}

// missing returns how many of the keys aren't among others.
func missing(keys, others []team.Key) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}

func teamFields(t team.Team) []field {
	return []field{
		newField("priority", t.Priority), newField("has a priority", t.HasPriority), newField("rate", t.Rate), newField("burst", t.Burst),
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
