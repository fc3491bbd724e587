package policy

import (
	"fmt"
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
		if score := core.RendezvousScore(item, string(d), weight); best == "" || score > bestScore {
			best, bestScore = d, score
		}
	}
	return best, best != ""
}

// CheckChange returns the faults of a document that are faults only as a change
// of the one in force. A key that fell into another range would have two owners
// while the targets still hold grants for the old ranges.
func CheckChange(old, next *Policy) error {
	var faults Faults
	for _, name := range slices.Sorted(maps.Keys(next.Services)) {
		before, ok := old.Services[name]
		if !ok {
			continue
		}
		s := next.Services[name]
		section := "service " + string(name)
		if s.Ranges != before.Ranges {
			faults = append(faults, Fault{Section: section, Key: "ranges", Reason: fmt.Sprintf("can't be changed from %d while the service exists; use a service of another name", before.Ranges)})
		}
		if s.Division != before.Division {
			faults = append(faults, Fault{Section: section, Key: "division", Reason: fmt.Sprintf("can't be changed from %s while the service exists; use a service of another name", before.Division)})
		}
	}
	if len(faults) > 0 {
		return faults
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
