package coordinate

import (
	"maps"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// Message is what the coordinator takes.
type Message interface{ isCoordinateMessage() }

type (
	// Tick lets the coordinator look at its timers.
	Tick struct{}
	// LogChanged hands over the folded state and its policy.
	LogChanged struct {
		Folded platformlog.Folded
		Policy *policy.Policy
	}
	// LogFresh says that the log was read to its end by a read begun at Began.
	LogFresh struct{ Began core.Instant }
	// ViewChanged hands over which VMs are alive.
	ViewChanged struct{ View membership.View }
	// MapHeard is a map that another VM published.
	MapHeard struct{ Map *core.RangeMap }
)

func (Tick) isCoordinateMessage()        {}
func (LogChanged) isCoordinateMessage()  {}
func (LogFresh) isCoordinateMessage()    {}
func (ViewChanged) isCoordinateMessage() {}
func (MapHeard) isCoordinateMessage()    {}

// Output is what the coordinator asks for.
type Output interface{ isCoordinateOutput() }

type (
	// Append asks for a record to be appended.
	Append struct{ Record platformlog.Record }
	// Publish hands out a new map: to this VM's duties and to the VMs named.
	Publish struct {
		Map *core.RangeMap
		To  []membership.Info
	}
)

func (Append) isCoordinateOutput()  {}
func (Publish) isCoordinateOutput() {}

// Coordinator is the step of the coordinate duty.
type Coordinator struct {
	vm       core.VM
	domain   core.FailureDomain
	folded   platformlog.Folded
	policy   *policy.Policy
	view     membership.View
	fresh    bool
	current  *core.RangeMap
	proposed bool
}

// New returns the coordinator of a VM; it acts only while a term names the VM.
func New(vm core.VM, domain core.FailureDomain) *Coordinator {
	return &Coordinator{vm: vm, domain: domain}
}

// Step implements duty.Step.
func (c *Coordinator) Step(_ core.Instant, m Message) []Output {
	switch m := m.(type) {
	case Tick:
	case LogChanged:
		c.folded, c.policy = m.Folded, m.Policy
	case LogFresh:
		c.fresh = true
	case ViewChanged:
		c.view = m.View
	case MapHeard:
		if m.Map.FailureDomain == c.domain && (c.current == nil || c.current.Version.Less(m.Map.Version)) {
			c.current = m.Map
		}
	}
	if c.policy == nil || !c.fresh {
		return nil
	}
	term, ok := c.folded.Terms[c.domain]
	if !ok {
		return c.proposeTerm()
	}
	if term.Coordinator != c.vm {
		return nil
	}
	return c.assign(term)
}

func (c *Coordinator) proposeTerm() []Output {
	if c.proposed {
		return nil
	}
	c.proposed = true
	return []Output{Append{Record: platformlog.Record{
		Kind: platformlog.KindTerm, Author: string(c.vm),
		FailureDomain: c.domain, Coordinator: c.vm, Candidates: c.candidates(),
	}}}
}

func (c *Coordinator) candidates() []core.VM {
	var out []core.VM
	for _, vm := range c.view.Live(c.domain) {
		if vm != c.vm && len(out) < c.policy.Control.Candidates {
			out = append(out, vm)
		}
	}
	return out
}

// assign publishes a new map if policy, delegation or live VMs call for one.
func (c *Coordinator) assign(term platformlog.Term) []Output {
	next := &core.RangeMap{
		FailureDomain: c.domain,
		Holder:        c.vm,
		Targets:       make(map[core.Target]core.TargetAssignment),
		Ranges:        make(map[core.RangeID]core.RangeAssignment),
	}
	targets := c.targets()
	for _, t := range targets {
		next.Targets[t.ID] = core.TargetAssignment{Front: c.frontOf(t.ID)}
	}
	for _, s := range c.policy.Services {
		for n := range s.Ranges {
			id := core.RangeID{Service: s.Name, Number: n}
			if home, ok := c.policy.Home(id, c.isIn); ok && home == c.domain {
				next.Ranges[id] = core.RangeAssignment{Target: ownerOf(id, targets)}
			}
		}
	}
	if c.current != nil && c.current.Version.Term == term.Number && sameAssignment(c.current, next) {
		return nil
	}
	seq := uint64(1)
	if c.current != nil && c.current.Version.Term == term.Number {
		seq = c.current.Version.Seq + 1
	}
	next.Version = core.Token{Term: term.Number, Seq: seq}
	for id, a := range next.Targets {
		a.Token = next.Version
		next.Targets[id] = a
	}
	c.current = next
	return []Output{Publish{Map: next, To: c.others()}}
}

// others are the live VMs of all failure domains but this one.
func (c *Coordinator) others() []membership.Info {
	var out []membership.Info
	for id, m := range c.view.Members {
		if m.Live && id != c.vm {
			out = append(out, m.Info)
		}
	}
	return out
}

func (c *Coordinator) isIn(d core.FailureDomain) bool {
	return c.folded.DomainState(d) == platformlog.DomainIn
}

func (c *Coordinator) targets() []policy.Target {
	var out []policy.Target
	for _, t := range c.policy.Targets {
		if t.FailureDomain == c.domain && !t.Leaving {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b policy.Target) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func (c *Coordinator) frontOf(t core.Target) core.VM {
	var best core.VM
	var bestScore float64
	for _, vm := range c.view.Live(c.domain) {
		score := core.Rendezvous(string(t), string(vm), float64(c.view.Members[vm].Capacity))
		if best == "" || score > bestScore {
			best, bestScore = vm, score
		}
	}
	return best
}

func ownerOf(r core.RangeID, targets []policy.Target) core.Target {
	var best core.Target
	var bestScore float64
	for _, t := range targets {
		if t.Service != r.Service {
			continue
		}
		if score := core.Rendezvous(r.String(), string(t.ID), t.Capacity()); best == "" || score > bestScore {
			best, bestScore = t.ID, score
		}
	}
	return best
}

func sameAssignment(a, b *core.RangeMap) bool {
	sameTargets := maps.EqualFunc(a.Targets, b.Targets, func(x, y core.TargetAssignment) bool {
		return x.Front == y.Front
	})
	return sameTargets && maps.EqualFunc(a.Ranges, b.Ranges, func(x, y core.RangeAssignment) bool {
		return x.Target == y.Target && x.State == y.State
	})
}
