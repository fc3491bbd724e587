package coordinate

import (
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// Coordinator is the step of the coordinate duty.
type Coordinator struct {
	vm          core.VM
	domain      core.FailureDomain
	incarnation uint64

	folded    platformlog.Folded
	policy    *policy.Policy
	view      membership.View
	current   *core.RangeMap
	authority authority
	started   bool
	askAt     core.Instant
	records   uint64

	// delegatedAt is when the delegation in force was learned.
	delegatedAt core.Instant
	// homed are the ranges whose home is this failure domain.
	homed map[core.RangeID]bool
	// seq is the sequence of the last token given out.
	seq     uint64
	domains domainPromises
	// foreign are the newest maps of other failure domains, memories the VMs
	// that hold request ids of their ranges.
	foreign  map[core.FailureDomain]*core.RangeMap
	memories map[core.RangeID]memory

	holder *holder
	out    []Output
}

// New returns the coordinator of a VM; it acts only while a term names the VM.
func New(vm core.VM, domain core.FailureDomain, incarnation uint64) *Coordinator {
	return &Coordinator{
		vm: vm, domain: domain, incarnation: incarnation, authority: newAuthority(vm),
		foreign: make(map[core.FailureDomain]*core.RangeMap), memories: make(map[core.RangeID]memory),
	}
}

// Step implements duty.Step.
func (c *Coordinator) Step(now core.Instant, m Message) []Output {
	if !c.started {
		c.started, c.authority.started = true, now
	}
	// Rights are checked with what held before the message, too: a promise that
	// comes after a gap must not hide the gap.
	c.checkRole(now)
	c.take(now, m)
	c.checkRole(now)
	if _, ok := m.(Tick); ok {
		c.candidacy(now)
		c.checkRole(now)
		c.renewTerm(now)
	}
	c.askPromises(now)
	if _, ok := m.(Tick); c.holder != nil && (ok || c.holder.wake) {
		c.holder.wake = false
		c.hold(now)
	}
	out := c.out
	c.out = nil
	return out
}

func (c *Coordinator) emit(o Output) { c.out = append(c.out, o) }

func (c *Coordinator) take(now core.Instant, m Message) {
	switch m := m.(type) {
	case Tick:
	case LogChanged:
		c.takeLog(now, m)
	case LogFresh:
		c.authority.read, c.authority.hasRead = max(c.authority.read, m.Began), true
	case ViewChanged:
		c.view = m.View
		if c.holder != nil {
			c.holder.viewChanged(now, m.View)
		}
	case MapHeard:
		if m.Map.FailureDomain != c.domain {
			c.rememberForeign(now, m.Map)
		} else if c.current == nil || c.current.Version.Less(m.Map.Version) {
			c.current = m.Map
			c.supersede(now, m.Map.Version)
		}
	case PromiseAsked:
		c.emit(GivePromise{To: m.Reply, Answer: c.answerAsk(now, m.Ask)})
	case PromiseAnswered:
		if c.view.Members[m.From].FailureDomain == c.domain {
			c.authority.receive(m)
		} else {
			c.receiveDomain(m)
		}
	case Inspected:
		c.takeInspected(now, m)
	case AppendDone:
		if p := c.authority.pending; p != nil && p.record.ID == m.ID && m.OK {
			p.offset = m.Offset
		}
	case Reported:
		c.takeReport(now, m)
	case StatusAsked:
		c.emit(AnswerStatus{To: m.Reply, Status: c.status(now)})
	}
}

func (c *Coordinator) takeLog(now core.Instant, m LogChanged) {
	if m.Folded.Delegation.Number != c.folded.Delegation.Number {
		c.delegatedAt = now
	}
	c.folded, c.policy = m.Folded, m.Policy
	term, ok := m.Folded.Terms[c.domain]
	c.authority.learn(now, term, ok)
	c.homed = make(map[core.RangeID]bool)
	for _, s := range c.policy.Services {
		for n := range s.Ranges {
			id := core.RangeID{Service: s.Name, Number: n}
			if home, ok := c.policy.Home(id, c.isIn); ok && home == c.domain {
				c.homed[id] = true
			}
		}
	}
	if c.holder != nil {
		c.policyChanged(now)
	}
}

func (c *Coordinator) isIn(d core.FailureDomain) bool {
	return c.folded.DomainState(d) == platformlog.DomainIn
}

// checkRole begins or ends holding as the keep right comes and goes.
func (c *Coordinator) checkRole(now core.Instant) {
	a := &c.authority
	a.observe(now)
	keep := c.policy != nil && a.keep(now)
	role := a.role()
	switch {
	case keep && !a.holding:
		a.holding, a.heldSince = true, now
		c.seq++
		c.holder = c.takeOver(now, role)
	case !keep && a.holding:
		a.holding, a.interrupted = false, true
		c.holder = nil
	case keep && (c.holder.role != role):
		// The same VM goes on under a term that it wrote itself. Nobody else has
		// acted since its first inspects, so that their fences still count.
		c.holder.role, c.holder.dirty = role, true
	default:
		return
	}
	c.emit(RoleChanged{Holding: keep, Term: role.Term, Rank: role.Rank})
}

// supersede ends the role in this term: a greater rank has acted in it. Fronts
// would not follow a map with a smaller one.
func (c *Coordinator) supersede(now core.Instant, seen core.Token) {
	role := c.authority.role()
	if role.Term < seen.Term || role.Term == seen.Term && role.Rank < seen.Rank {
		c.authority.superseded = true
		c.authority.acting = false
		c.checkRole(now)
	}
}

// answerAsk gives or refuses a promise. A VM that has not read the delegation
// that this VM knows gets none: it could act on ranges that were released.
func (c *Coordinator) answerAsk(now core.Instant, ask Ask) Answer {
	answer := Answer{Term: c.authority.term.Number}
	switch {
	case c.policy == nil:
	case ask.FailureDomain != c.domain:
		answer.Granted = c.giveDomain(now, ask)
	case ask.Offset >= c.folded.Delegation.Number:
		answer = c.authority.give(now, ask)
	}
	answer.Offset = c.folded.Offset
	return answer
}

// answerReport tells a front whether this VM is its holder.
func (c *Coordinator) answerReport(now core.Instant, to chan<- grant.ReportAnswer) {
	var answer grant.ReportAnswer
	if c.holder != nil {
		answer = grant.ReportAnswer{Accepted: true, Version: c.holder.version, DomainAuthority: c.domainAuthority(now)}
	}
	c.emit(AnswerReport{To: to, Answer: answer})
}
