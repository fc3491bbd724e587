package route

import (
	"cmp"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/estimate"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// service is what the router prepared and observed for one service.
type service struct {
	policy policy.Service
	// homes are the failure domains of the numbered ranges, empty without one.
	homes []core.FailureDomain
	// ranges and hot hold the decision for each numbered range and hot key.
	ranges []Decision
	hot    map[uint64]Decision
	// near are the targets of the own failure domain, far the others.
	near, far []candidate
	latency   estimate.Latency
	retries   budget
	hedges    budget
}

// find returns the decision for a request that belongs to a range.
func (s *service) find(q core.Request) Decision {
	hash := q.KeyHash
	if s.policy.Sharding == policy.ShardingNone {
		hash = core.HashKey(string(q.ID))
	}
	if d, ok := s.hot[hash]; ok {
		return d
	}
	if len(s.ranges) == 0 {
		return Decision{Outcome: core.OutcomeNoOwner, Detail: "the service has no ranges"}
	}
	return s.ranges[hash%uint64(len(s.ranges))]
}

// rehome computes the failure domains of all ranges. They depend on policy and
// delegation only, so that a new map doesn't cause it.
func (r *Router) rehome() {
	services := make(map[core.Service]*service, len(r.policy.Services))
	for name, p := range r.policy.Services {
		s := r.services[name]
		if s == nil {
			s = &service{retries: newBudget(), hedges: newBudget()}
		}
		s.policy = p
		s.homes = make([]core.FailureDomain, p.Ranges)
		for n := range s.homes {
			s.homes[n], _ = r.policy.Home(core.RangeID{Service: name, Number: uint32(n)}, r.isIn)
		}
		services[name] = s
	}
	r.services = services
}

func (r *Router) isIn(d core.FailureDomain) bool {
	return r.folded.DomainState(d) == platformlog.DomainIn
}

// rebuild prepares the decisions of all ranges and the pools of targets.
func (r *Router) rebuild() {
	for name, s := range r.services {
		s.hot = make(map[uint64]Decision)
		s.near, s.far = nil, nil
		s.ranges = make([]Decision, len(s.homes))
		for n, home := range s.homes {
			s.ranges[n] = r.decide(home, core.RangeID{Service: name, Number: uint32(n)})
		}
	}
	for d, m := range r.maps {
		r.addHot(d, m)
		r.addPools(d, m)
	}
	byTarget := func(a, b candidate) int { return cmp.Compare(a.decision.Target, b.decision.Target) }
	for _, s := range r.services {
		// With the order fixed, the seed determines all choices.
		slices.SortFunc(s.near, byTarget)
		slices.SortFunc(s.far, byTarget)
	}
}

func (r *Router) addHot(d core.FailureDomain, m *core.RangeMap) {
	for id := range m.Ranges {
		s := r.services[id.Service]
		if s == nil || id.HotKey == 0 || len(s.homes) == 0 {
			continue
		}
		if home := s.homes[id.HotKey%uint64(len(s.homes))]; home == d {
			s.hot[id.HotKey] = r.decide(home, id)
		}
	}
}

func (r *Router) addPools(d core.FailureDomain, m *core.RangeMap) {
	if r.policy == nil || !r.isIn(d) {
		return
	}
	for id, a := range m.Targets {
		t, ok := r.policy.Targets[id]
		s := r.services[t.Service]
		if !ok || s == nil || a.Leaving || t.Leaving {
			continue
		}
		decision := r.toFront(m, id, core.RangeID{})
		if decision.Outcome != "" {
			continue
		}
		c := candidate{decision: decision, observed: r.observed(id)}
		if d == r.domain {
			s.near = append(s.near, c)
		} else {
			s.far = append(s.far, c)
		}
	}
}

func (r *Router) decide(home core.FailureDomain, id core.RangeID) Decision {
	if home == "" {
		return Decision{Outcome: core.OutcomeNoOwner, Detail: "no failure domain has targets of the service"}
	}
	m := r.maps[home]
	if m == nil {
		return Decision{Outcome: core.OutcomeNoOwner, Detail: "no map of failure domain " + string(home) + " is known yet"}
	}
	a, ok := m.Ranges[id]
	if !ok || a.Target == "" {
		return Decision{Outcome: core.OutcomeNoOwner, Detail: "range " + id.String() + " has no target"}
	}
	return r.toFront(m, a.Target, id)
}

func (r *Router) toFront(m *core.RangeMap, t core.Target, id core.RangeID) Decision {
	front := m.Targets[t].Front
	address, ok := r.addresses[front]
	if !ok {
		return Decision{Outcome: core.OutcomeNoOwner, Detail: "the address of VM " + string(front) + " is not known"}
	}
	return Decision{
		Front: front, Address: address, Target: t, Range: id,
		FailureDomain: m.FailureDomain, MapVersion: m.Version,
	}
}
