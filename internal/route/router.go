package route

import (
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// Message is what the router takes.
type Message interface{ isRouteMessage() }

type (
	// Tick lets the router look at its timers.
	Tick struct{}
	// Lookup asks where a request goes. Its Range may be zero.
	Lookup struct {
		Request core.Request
		// Tried are the VMs that have refused this request.
		Tried []core.VM
		// Reply receives exactly one Decision; it has room for it.
		Reply chan<- Decision
	}
	// MapChanged hands over a map.
	MapChanged struct{ Map *core.RangeMap }
	// PolicyChanged hands over the policy in force with the folded state.
	PolicyChanged struct {
		Policy *policy.Policy
		Folded platformlog.Folded
	}
	// Newer asks for whatever this VM holds that is newer than the versions given.
	Newer struct {
		LogOffset uint64
		Maps      map[core.FailureDomain]core.Token
		// Reply receives exactly one Held; it has room for it.
		Reply chan<- Held
	}
	// AddressesChanged hands over where VMs are reached.
	AddressesChanged struct{ Addresses map[core.VM]string }
)

func (Tick) isRouteMessage()             {}
func (Lookup) isRouteMessage()           {}
func (MapChanged) isRouteMessage()       {}
func (PolicyChanged) isRouteMessage()    {}
func (Newer) isRouteMessage()            {}
func (AddressesChanged) isRouteMessage() {}

// Held is the state that a VM can pass on to another.
type Held struct {
	// Folded is nil if it isn't newer.
	Folded *platformlog.Folded
	Maps   []*core.RangeMap
}

// Decision answers a Lookup.
type Decision struct {
	// Outcome is set if the request can't be passed on.
	Outcome core.Outcome
	Detail  string
	Front   core.VM
	Address string
	Target  core.Target
	Range   core.RangeID
	// Map is the map that the decision is based on.
	FailureDomain core.FailureDomain
	MapVersion    core.Token
}

// Output is what the router asks for.
type Output interface{ isRouteOutput() }

type (
	// Answer delivers a decision.
	Answer struct {
		To       chan<- Decision
		Decision Decision
	}
	// AnswerHeld delivers the answer to a Newer.
	AnswerHeld struct {
		To   chan<- Held
		Held Held
	}
	// Changed hands out what this VM holds after a change. Own is the map of
	// its own failure domain, nil before the first.
	Changed struct {
		LogOffset uint64
		Maps      map[core.FailureDomain]core.Token
		Policy    *policy.Policy
		Own       *core.RangeMap
	}
)

func (Answer) isRouteOutput()     {}
func (AnswerHeld) isRouteOutput() {}
func (Changed) isRouteOutput()    {}

// Router is the step of the route duty.
type Router struct {
	domain    core.FailureDomain
	policy    *policy.Policy
	folded    platformlog.Folded
	maps      map[core.FailureDomain]*core.RangeMap
	addresses map[core.VM]string
	turn      uint64
}

// New returns a router of a VM in a failure domain.
func New(domain core.FailureDomain) *Router {
	return &Router{domain: domain, maps: make(map[core.FailureDomain]*core.RangeMap)}
}

// Step implements duty.Step.
func (r *Router) Step(_ core.Instant, m Message) []Output {
	switch m := m.(type) {
	case Lookup:
		return []Output{Answer{To: m.Reply, Decision: r.lookup(m)}}
	case MapChanged:
		old := r.maps[m.Map.FailureDomain]
		if old == nil || old.Version.Less(m.Map.Version) {
			r.maps[m.Map.FailureDomain] = m.Map
			return []Output{r.changed()}
		}
	case PolicyChanged:
		if r.policy == nil || m.Folded.Offset > r.folded.Offset {
			r.policy, r.folded = m.Policy, m.Folded
			return []Output{r.changed()}
		}
	case Newer:
		return []Output{AnswerHeld{To: m.Reply, Held: r.newer(m)}}
	case AddressesChanged:
		r.addresses = m.Addresses
	}
	return nil
}

func (r *Router) versions() map[core.FailureDomain]core.Token {
	out := make(map[core.FailureDomain]core.Token, len(r.maps))
	for d, m := range r.maps {
		out[d] = m.Version
	}
	return out
}

func (r *Router) changed() Output {
	return Changed{LogOffset: r.folded.Offset, Maps: r.versions(), Policy: r.policy, Own: r.maps[r.domain]}
}

func (r *Router) newer(m Newer) Held {
	var held Held
	if r.folded.Offset > m.LogOffset {
		folded := r.folded
		held.Folded = &folded
	}
	for d, rm := range r.maps {
		if m.Maps[d].Less(rm.Version) {
			held.Maps = append(held.Maps, rm)
		}
	}
	return held
}

func (r *Router) lookup(m Lookup) Decision {
	if r.policy == nil {
		return Decision{Outcome: core.OutcomeNoOwner, Detail: "no policy is in force yet"}
	}
	service, ok := r.policy.Services[m.Request.Service]
	if !ok {
		return Decision{Outcome: core.OutcomeBadRequest, Detail: "the service does not exist"}
	}
	if service.Division == policy.DivisionNone && m.Request.Idempotent {
		return r.lookupAny(m)
	}
	hash := m.Request.KeyHash
	if service.Division == policy.DivisionNone {
		hash = core.HashKey(string(m.Request.ID))
	}
	return r.lookupRange(r.rangeOf(service, hash))
}

func (r *Router) rangeOf(service policy.Service, hash uint64) core.RangeID {
	numbered := core.RangeOf(service.Name, hash, service.Ranges)
	home, ok := r.home(numbered)
	if !ok || r.maps[home] == nil {
		return numbered
	}
	hot := core.RangeID{Service: service.Name, HotKey: hash}
	if _, ok := r.maps[home].Ranges[hot]; ok {
		return hot
	}
	return numbered
}

func (r *Router) home(id core.RangeID) (core.FailureDomain, bool) {
	return r.policy.Home(id, func(d core.FailureDomain) bool {
		return r.folded.DomainState(d) == platformlog.DomainIn
	})
}

func (r *Router) lookupRange(id core.RangeID) Decision {
	home, ok := r.home(id)
	if !ok {
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

// lookupAny chooses among all targets of a service in turn, those of the own
// failure domain first.
func (r *Router) lookupAny(m Lookup) Decision {
	domains := append([]core.FailureDomain{r.domain}, r.policy.FailureDomains...)
	for _, d := range domains {
		rm := r.maps[d]
		if rm == nil || r.folded.DomainState(d) != platformlog.DomainIn {
			continue
		}
		var targets []core.Target
		for id, a := range rm.Targets {
			if r.policy.Targets[id].Service == m.Request.Service && !a.Leaving && !slices.Contains(m.Tried, a.Front) {
				targets = append(targets, id)
			}
		}
		if len(targets) == 0 {
			continue
		}
		slices.Sort(targets)
		r.turn++
		return r.toFront(rm, targets[r.turn%uint64(len(targets))], core.RangeID{})
	}
	return Decision{Outcome: core.OutcomeNoOwner, Detail: "no target of the service is in service"}
}
