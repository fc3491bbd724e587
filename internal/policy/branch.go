package policy

import (
	"maps"
	"slices"
	"strings"

	"celeryhook.example/celeryhook/internal/core"
)

// boundsSeparator separates the minimum and maximum of a deviation.
const boundsSeparator = ".."

// limitOf returns the limit that a key of the form service.limit refers to. The
// name of a service may contain dots, that of a limit does not.
func (p *parser) limitOf(s *section, key string) (LimitName, number[Limits], bool) {
	s.used[key] = true
	i := strings.LastIndexByte(key, '.')
	if i < 0 {
		s.addIssue(key, "has not the form service.limit")
		return LimitName{}, number[Limits]{}, false
	}
	name := LimitName{Service: core.Service(key[:i]), Limit: key[i+1:]}
	if _, ok := p.policy.Services[name.Service]; !ok {
		s.addIssue(key, "there is no section [service %s]", name.Service)
		return name, number[Limits]{}, false
	}
	n, ok := findLimit(name.Limit)
	if !ok {
		s.addIssue(key, "a service has no limit %q", name.Limit)
		return name, n, false
	}
	if !n.branch {
		s.addIssue(key, "%s protects targets that all branches share, so no branch may deviate from it", name.Limit)
		return name, n, false
	}
	return name, n, true
}

// parseDeviation parses the bounds within which branches may override limits.
func (p *parser) parseDeviation(s *section) {
	for _, key := range s.order {
		name, n, ok := p.limitOf(s, key)
		if !ok {
			continue
		}
		low, high, ok := strings.Cut(s.values[key], boundsSeparator)
		if !ok {
			s.addIssue(key, "%q has not the form MIN .. MAX", s.values[key])
			continue
		}
		within := Bounds{n.min, n.max}
		b := Bounds{
			Min: readNumber(s, key, strings.TrimSpace(low), n.unit, within, n.min),
			Max: readNumber(s, key, strings.TrimSpace(high), n.unit, within, n.max),
		}
		if b.Min > b.Max {
			s.addIssue(key, "%q has a minimum above its maximum", s.values[key])
		}
		p.policy.Deviations[name] = b
	}
}

// parseBranch parses the overrides of a branch.
func (p *parser) parseBranch(s *section, name string) {
	b := Branch{Name: core.Branch(name), Limits: make(map[core.Service]Limits)}
	for _, key := range s.order {
		limit, n, ok := p.limitOf(s, key)
		if !ok {
			continue
		}
		bounds, ok := p.policy.Deviations[limit]
		if !ok {
			s.addIssue(key, "[deviation] doesn't list it, so no branch may override it")
			continue
		}
		l, ok := b.Limits[limit.Service]
		if !ok {
			l = p.policy.Services[limit.Service].Limits
		}
		field := n.field(&l)
		storeField(field, readNumber(s, key, s.values[key], n.unit, bounds, loadField(field)))
		b.Limits[limit.Service] = l
		b.Overrides = append(b.Overrides, limit)
	}
	slices.SortFunc(b.Overrides, func(x, y LimitName) int { return strings.Compare(x.String(), y.String()) })
	p.policy.Branches[b.Name] = b
}

func sortedLimits(m map[LimitName]Bounds) []LimitName {
	return slices.SortedFunc(maps.Keys(m), func(x, y LimitName) int { return strings.Compare(x.String(), y.String()) })
}
