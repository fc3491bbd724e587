package route

import (
	"cmp"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/estimate"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// service is the routing table of one service, with its statistics and budgets.
type service struct {
	policy policy.Service
	// homes are the home failure domains of the numbered ranges; an element is
	// empty if the range has none.
	homes []core.FailureDomain
	// ranges and hotKeys are the decisions for the numbered ranges and the hot keys.
	ranges  []Decision
	hotKeys map[uint64]Decision
	// local are the targets in the VM's own failure domain, remote the others.
	local, remote []candidate
	latency       estimate.Latency
	retries       budget
	hedges        budget
}

// decisionFor returns the decision for the range of a request.
func (s *service) decisionFor(q core.Request) Decision {
	hash := q.KeyHash
	if s.policy.Sharding == policy.ShardingNone {
		hash = core.HashKey(string(q.ID))
	}
	if d, ok := s.hotKeys[hash]; ok {
		return d
	}
	if len(s.ranges) == 0 {
		return Decision{Outcome: core.OutcomeNoOwner, Detail: "the service has no ranges"}
	}
	return s.ranges[hash%uint64(len(s.ranges))]
}

// updateHomes computes the home failure domains of all ranges. They depend only
// on policy and delegation, so a new map does not require it.
func (r *Router) updateHomes() {
	services := make(map[core.Service]*service, len(r.policy.Services))
	for name, p := range r.policy.Services {
		s := r.services[name]
		if s == nil {
			s = &service{retries: newBudget(), hedges: newBudget()}
		}
		s.policy = p
		s.homes = make([]core.FailureDomain, p.Ranges)
		for n := range s.homes {
			s.homes[n], _ = r.policy.Home(core.RangeID{Service: name, Number: uint32(n)}, r.isDomainIn)
		}
		services[name] = s
	}
	r.services = services
}

func (r *Router) isDomainIn(d core.FailureDomain) bool {
	return r.logState.DomainState(d) == platformlog.DomainIn
}

// rebuildTable computes the decisions of all ranges and the pools of targets.
func (r *Router) rebuildTable() {
	for name, s := range r.services {
		s.hotKeys = make(map[uint64]Decision)
		s.local, s.remote = nil, nil
		s.ranges = make([]Decision, len(s.homes))
		for n, home := range s.homes {
			s.ranges[n] = r.rangeDecision(home, core.RangeID{Service: name, Number: uint32(n)})
		}
	}
	for d, m := range r.maps {
		r.addHotKeys(d, m)
		r.addPools(d, m)
	}
	byTarget := func(a, b candidate) int { return cmp.Compare(a.decision.Target, b.decision.Target) }
	for _, s := range r.services {
		// Map iteration order is random; sorted pools make the choices depend on
		// the seed only.
		slices.SortFunc(s.local, byTarget)
		slices.SortFunc(s.remote, byTarget)
	}
}

func (r *Router) addHotKeys(d core.FailureDomain, m *core.RangeMap) {
	for id := range m.Ranges {
		s := r.services[id.Service]
		if s == nil || id.HotKey == 0 || len(s.homes) == 0 {
			continue
		}
		if home := s.homes[id.HotKey%uint64(len(s.homes))]; home == d {
			s.hotKeys[id.HotKey] = r.rangeDecision(home, id)
		}
	}
}

func (r *Router) addPools(d core.FailureDomain, m *core.RangeMap) {
	if r.policy == nil || !r.isDomainIn(d) {
		return
	}
	for id, a := range m.Targets {
		t, ok := r.policy.Targets[id]
		s := r.services[t.Service]
		if !ok || s == nil || a.Leaving || t.Leaving {
			continue
		}
		decision := r.targetDecision(m, id, core.RangeID{})
		if decision.Outcome != "" {
			continue
		}
		c := candidate{decision: decision, stats: r.statsOf(id)}
		if d == r.domain {
			s.local = append(s.local, c)
		} else {
			s.remote = append(s.remote, c)
		}
	}
}

func (r *Router) rangeDecision(home core.FailureDomain, id core.RangeID) Decision {
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
	return r.targetDecision(m, a.Target, id)
}

func (r *Router) targetDecision(m *core.RangeMap, t core.Target, id core.RangeID) Decision {
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
