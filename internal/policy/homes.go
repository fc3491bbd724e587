package policy

import (
	"fmt"
	"maps"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
)

// Home returns the failure domain to which a range belongs. It is selected by
// weighted rendezvous hashing among the failure domains that have targets of the
// service and for which in returns true. The second result is false if there are
// none.
func (p *Policy) Home(r core.RangeID, in func(core.FailureDomain) bool) (core.FailureDomain, bool) {
	if r.HotKey != 0 {
		if p.Services[r.Service].Ranges == 0 {
			return "", false
		}
		// A hot key stays in the failure domain of the range that contains it.
		r = core.RangeOf(r.Service, r.HotKey, p.Services[r.Service].Ranges)
	}
	var best core.FailureDomain
	var bestScore float64
	item := r.String()
	for _, d := range p.FailureDomains {
		if !in(d) {
			continue
		}
		weight := p.DomainCapacity(r.Service, d)
		if weight <= 0 {
			continue
		}
		if score := core.RendezvousScore(item, string(d), weight); best == "" || score > bestScore {
			best, bestScore = d, score
		}
	}
	return best, best != ""
}

// CheckChange returns the issues of a valid policy as the successor of the one in
// force. A key that changed its range would have two owners while targets still
// hold grants for the old ranges.
func CheckChange(old, next *Policy) error {
	var issues Issues
	for _, name := range slices.Sorted(maps.Keys(next.Services)) {
		before, ok := old.Services[name]
		if !ok {
			continue
		}
		s := next.Services[name]
		section := "service " + string(name)
		if s.Ranges != before.Ranges {
			issues = append(issues, Issue{Section: section, Key: "ranges", Reason: fmt.Sprintf("can't be changed from %d while the service exists; use a service of another name", before.Ranges)})
		}
		if s.Sharding != before.Sharding {
			issues = append(issues, Issue{Section: section, Key: "division", Reason: fmt.Sprintf("can't be changed from %s while the service exists; use a service of another name", before.Sharding)})
		}
	}
	if len(issues) > 0 {
		return issues
	}
	return nil
}

// SameHomes reports whether all ranges have the same home under both policies,
// whatever the states of the failure domains.
func SameHomes(a, b *Policy) bool {
	if !slices.Equal(a.FailureDomains, b.FailureDomains) || len(a.Services) != len(b.Services) {
		return false
	}
	for name, s := range a.Services {
		if other, ok := b.Services[name]; !ok || other.Ranges != s.Ranges {
			return false
		}
		for _, d := range a.FailureDomains {
			if a.DomainCapacity(name, d) != b.DomainCapacity(name, d) {
				return false
			}
		}
	}
	return true
}

// DomainCapacity returns the total capacity of a service's targets in a failure
// domain, except those that are leaving.
func (p *Policy) DomainCapacity(s core.Service, d core.FailureDomain) float64 {
	if p.capacity == nil {
		return capacities(p.Targets)[serviceDomain{s, d}]
	}
	return p.capacity[serviceDomain{s, d}]
}

// capacities sums the capacities of targets in the order of their ids.
// Floating-point sums depend on the order, and all VMs must compute the same
// homes.
func capacities(targets map[core.Target]Target) map[serviceDomain]float64 {
	out := make(map[serviceDomain]float64)
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		if t := targets[id]; !t.Leaving {
			out[serviceDomain{t.Service, t.FailureDomain}] += t.Capacity()
		}
	}
	return out
}
