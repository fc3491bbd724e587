package route

import (
	"maps"
	"math/rand/v2"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// Router is the state machine of the route duty.
type Router struct {
	domain    core.FailureDomain
	policy    *policy.Policy
	logState  platformlog.State
	maps      map[core.FailureDomain]*core.RangeMap
	addresses map[core.VM]string
	services  map[core.Service]*service
	targets   map[core.Target]*targetStats
	random    *rand.Rand
}

// New returns the router of a VM in a failure domain. The seed determines its
// random choices among targets.
func New(domain core.FailureDomain, seed uint64) *Router {
	return &Router{
		domain:   domain,
		maps:     make(map[core.FailureDomain]*core.RangeMap),
		services: make(map[core.Service]*service),
		targets:  make(map[core.Target]*targetStats),
		random:   rand.New(rand.NewPCG(seed, 0)),
	}
}

// Step implements duty.Step.
func (r *Router) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case Lookup:
		return []Output{SendDecision{To: m.Reply, Decision: r.lookup(now, m)}}
	case AttemptDone:
		r.stepAttemptDone(now, m)
	case MapChanged:
		return r.stepMap(m)
	case PolicyChanged:
		return r.stepPolicy(m)
	case NewerStateRequested:
		return []Output{SendNewerState{To: m.Reply, State: r.newerState(m)}}
	case AddressesChanged:
		if !maps.Equal(r.addresses, m.Addresses) {
			r.addresses = m.Addresses
			r.rebuildTable()
		}
	case AddressRequested:
		return []Output{SendAddress{To: m.Reply, Address: r.addresses[m.VM]}}
	}
	return nil
}

func (r *Router) stepMap(m MapChanged) []Output {
	old := r.maps[m.Map.FailureDomain]
	if old != nil && !old.Version.Less(m.Map.Version) {
		return nil
	}
	r.maps[m.Map.FailureDomain] = m.Map
	r.rebuildTable()
	return []Output{r.changed()}
}

func (r *Router) stepPolicy(m PolicyChanged) []Output {
	if r.policy != nil && m.LogState.Offset <= r.logState.Offset {
		return nil
	}
	r.policy, r.logState = m.Policy, m.LogState
	r.updateHomes()
	r.rebuildTable()
	return []Output{r.changed()}
}

func (r *Router) versions() map[core.FailureDomain]core.Token {
	out := make(map[core.FailureDomain]core.Token, len(r.maps))
	for d, m := range r.maps {
		out[d] = m.Version
	}
	return out
}

func (r *Router) changed() Output {
	return Changed{LogOffset: r.logState.Offset, Maps: r.versions(), Policy: r.policy, OwnMap: r.maps[r.domain]}
}

func (r *Router) newerState(m NewerStateRequested) NewerState {
	var newer NewerState
	if r.logState.Offset > m.LogOffset {
		state := r.logState
		newer.LogState = &state
	}
	for d, rm := range r.maps {
		if m.Maps[d].Less(rm.Version) {
			newer.Maps = append(newer.Maps, rm)
		}
	}
	return newer
}

// lookup finds the front for a request, if an attempt is permitted.
func (r *Router) lookup(now core.Instant, m Lookup) Decision {
	if r.policy == nil {
		return Decision{Outcome: core.OutcomeNoOwner, Detail: "no policy is in force yet"}
	}
	s := r.services[m.Request.Service]
	if s == nil {
		return Decision{Outcome: core.OutcomeBadRequest, Detail: "the service does not exist"}
	}
	anyTarget := s.policy.Sharding == policy.ShardingNone && m.Request.Idempotent
	limits := r.policy.LimitsFor(m.Request.Service, m.Request.Branch)
	if !s.allow(m, anyTarget, limits) {
		return Decision{Outcome: m.Last, Final: true}
	}
	var d Decision
	if anyTarget {
		d = r.choose(now, s, m)
		d.HedgeAfter = s.hedgeAfter()
	} else {
		d = s.decisionFor(m.Request)
	}
	if d.Outcome == "" {
		r.statsOf(d.Target).pending++
	}
	return d
}
