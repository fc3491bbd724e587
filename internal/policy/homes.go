package policy

import (
	"maps"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
)

// Home returns the failure domain that a range belongs to, by weighted
// rendezvous hashing over the failure domains for which in reports true and
// that have targets of the service. The second result is false if there is
// none.
func (p *Policy) Home(r core.RangeID, in func(core.FailureDomain) bool) (core.FailureDomain, bool) {
	if r.HotKey != 0 {
		if p.Services[r.Service].Ranges == 0 {
			return "", false
		}
		// A hot key stays in the failure domain of the range that it came from.
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
		if score := core.Rendezvous(item, string(d), weight); best == "" || score > bestScore {
			best, bestScore = d, score
		}
	}
	return best, best != ""
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

// DomainCapacity returns the capacity of a service's targets in a failure
// domain, without those that are leaving.
func (p *Policy) DomainCapacity(s core.Service, d core.FailureDomain) float64 {
	if p.capacity == nil {
		return capacities(p.Targets)[place{s, d}]
	}
	return p.capacity[place{s, d}]
}

// capacities adds up the targets in the order of their ids: sums of floats
// depend on the order, and all VMs must find the same homes.
func capacities(targets map[core.Target]Target) map[place]float64 {
	out := make(map[place]float64)
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		if t := targets[id]; !t.Leaving {
			out[place{t.Service, t.FailureDomain}] += t.Capacity()
		}
	}
	return out
}
