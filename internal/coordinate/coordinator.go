package coordinate

import (
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// Coordinator implements the step function of the coordinate duty.
type Coordinator struct {
	vm          core.VM
	domain      core.FailureDomain
	incarnation uint64

	logState             platformlog.State
	policy               *policy.Policy
	view                 membership.View
	currentMap           *core.RangeMap
	authority            authority
	started              bool
	nextPromiseRequestAt core.Instant
	recordCount          uint64

	// delegationLearnedAt is when the current delegation was read from the log.
	delegationLearnedAt core.Instant
	// homeRanges are the ranges that belong to this failure domain.
	homeRanges map[core.RangeID]bool
	// lastSeq is the sequence number of the last token issued.
	lastSeq        uint64
	domainPromises domainPromises
	// foreignMaps holds the newest map of each other failure domain, and
	// foreignMemories the VMs that store the request ids of their ranges.
	foreignMaps     map[core.FailureDomain]*core.RangeMap
	foreignMemories map[core.RangeID]rangeMemory

	holder  *holder
	outputs []Output
}

// New returns the coordinator of a VM. It acts only while the VM is the
// coordinator of the current term or a candidate that has replaced it.
func New(vm core.VM, domain core.FailureDomain, incarnation uint64) *Coordinator {
	return &Coordinator{
		vm: vm, domain: domain, incarnation: incarnation, authority: newAuthority(vm),
		foreignMaps: make(map[core.FailureDomain]*core.RangeMap), foreignMemories: make(map[core.RangeID]rangeMemory),
	}
}

// Step implements duty.Step.
func (c *Coordinator) Step(now core.Instant, m Message) []Output {
	if !c.started {
		c.started, c.authority.startedAt = true, now
	}
	// The rights are also checked before the message is applied: a promise that
	// arrives after the previous one has expired must not hide the gap.
	c.updateRole(now)
	c.handle(now, m)
	c.updateRole(now)
	if _, ok := m.(Tick); ok {
		c.updateCandidacy(now)
		c.updateRole(now)
		c.updateTerm(now)
	}
	c.requestPromises(now)
	if _, ok := m.(Tick); c.holder != nil && (ok || c.holder.wake) {
		c.holder.wake = false
		c.runHolder(now)
	}
	out := c.outputs
	c.outputs = nil
	return out
}

func (c *Coordinator) emit(o Output) { c.outputs = append(c.outputs, o) }

func (c *Coordinator) handle(now core.Instant, m Message) {
	switch m := m.(type) {
	case Tick:
	case LogChanged:
		c.handleLogChanged(now, m)
	case LogFresh:
		c.authority.lastReadAt, c.authority.hasRead = max(c.authority.lastReadAt, m.ReadStartedAt), true
	case ViewChanged:
		c.view = m.View
		if c.holder != nil {
			c.holder.handleViewChanged(now, m.View)
		}
	case MapReceived:
		if m.Map.FailureDomain != c.domain {
			c.recordForeignMap(now, m.Map)
		} else if c.currentMap == nil || c.currentMap.Version.Less(m.Map.Version) {
			c.currentMap = m.Map
			c.supersede(now, m.Map.Version)
		}
	case PromiseRequested:
		c.emit(SendPromiseReply{To: m.Reply, Reply: c.replyToPromiseRequest(now, m.Request)})
	case PromiseDone:
		if c.view.Members[m.From].FailureDomain == c.domain {
			c.authority.receivePromise(m)
		} else {
			c.receiveDomainPromise(m)
		}
	case InspectDone:
		c.handleInspectDone(now, m)
	case AppendDone:
		if p := c.authority.pending; p != nil && p.record.ID == m.ID && m.OK {
			p.offset = m.Offset
		}
	case ReportReceived:
		c.handleReport(now, m)
	case StatusRequested:
		c.emit(SendStatus{To: m.Reply, Status: c.status(now)})
	}
}

func (c *Coordinator) handleLogChanged(now core.Instant, m LogChanged) {
	if m.LogState.Delegation.Number != c.logState.Delegation.Number {
		c.delegationLearnedAt = now
	}
	c.logState, c.policy = m.LogState, m.Policy
	term, ok := m.LogState.Terms[c.domain]
	c.authority.setTerm(now, term, ok)
	c.homeRanges = make(map[core.RangeID]bool)
	for _, s := range c.policy.Services {
		for n := range s.Ranges {
			id := core.RangeID{Service: s.Name, Number: n}
			if home, ok := c.policy.Home(id, c.isDomainIn); ok && home == c.domain {
				c.homeRanges[id] = true
			}
		}
	}
	if c.holder != nil {
		c.applyPolicy(now)
	}
}

func (c *Coordinator) isDomainIn(d core.FailureDomain) bool {
	return c.logState.DomainState(d) == platformlog.DomainIn
}

// updateRole starts or stops acting as holder when the keep right is gained or
// lost.
func (c *Coordinator) updateRole(now core.Instant) {
	a := &c.authority
	a.noteClosed(now)
	keep := c.policy != nil && a.hasKeepRight(now)
	role := a.role()
	switch {
	case keep && !a.holding:
		a.holding, a.holdingSince = true, now
		c.lastSeq++
		c.holder = c.takeOver(now, role)
	case !keep && a.holding:
		a.holding, a.interrupted = false, true
		c.holder = nil
	case keep && (c.holder.role != role):
		// The same VM continues under a term that it wrote itself. No other VM has
		// acted since its first inspects, so their fencing tokens remain valid.
		c.holder.role, c.holder.dirty = role, true
	default:
		return
	}
	c.emit(RoleChanged{Holding: keep, Term: role.Term, Rank: role.Rank})
}

// supersede ends this VM's role in the term if a holder of a later term or a
// greater rank has acted. Fronts would ignore a map with a smaller token.
func (c *Coordinator) supersede(now core.Instant, seen core.Token) {
	role := c.authority.role()
	if role.Term < seen.Term || role.Term == seen.Term && role.Rank < seen.Rank {
		c.authority.superseded = true
		c.authority.acting = false
		c.updateRole(now)
	}
}

// replyToPromiseRequest grants or denies a promise. A holder that has not read
// the delegation that this VM knows gets none, because it could act on ranges
// that were released.
func (c *Coordinator) replyToPromiseRequest(now core.Instant, request PromiseRequest) PromiseReply {
	reply := PromiseReply{Term: c.authority.term.Number}
	switch {
	case c.policy == nil:
	case request.FailureDomain != c.domain:
		reply.Granted = c.giveDomainPromise(now, request)
	case request.Offset >= c.logState.Delegation.Number:
		reply = c.authority.givePromise(now, request)
	}
	reply.Offset = c.logState.Offset
	return reply
}

// replyToReport tells a front whether this VM is the holder.
func (c *Coordinator) replyToReport(now core.Instant, to chan<- grant.ReportReply) {
	var reply grant.ReportReply
	if c.holder != nil {
		reply = grant.ReportReply{Accepted: true, Version: c.holder.version, DomainAuthority: c.domainAuthority(now)}
	}
	c.emit(SendReportReply{To: to, Reply: reply})
}
