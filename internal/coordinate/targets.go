package coordinate

import (
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
)

// inspect asks targets what they hold: all of them at the take-over, later
// those that are silent.
func (c *Coordinator) inspect(now core.Instant) {
	h := c.holder
	for _, x := range h.sortedTargets() {
		if x.fenced && !x.lost || x.removed != 0 || now.Before(x.inspectAt) {
			continue
		}
		x.inspectAt = now.Add(inspectInterval)
		token := core.Token{Term: h.role.Term, Rank: h.role.Rank, Seq: h.fence.Seq}
		if x.fenced {
			// A greater token would fence the front's own.
			token = x.token
		}
		c.emit(Inspect{Target: x.id, Address: x.policy.Address, Order: grant.Order{
			Kind: grant.OrderInspect, Token: token, Front: c.vm,
		}})
	}
}

func (c *Coordinator) takeInspected(now core.Instant, m Inspected) {
	if !m.OK {
		return
	}
	c.supersede(now, m.Reply.Token)
	h := c.holder
	if h == nil {
		return
	}
	x := h.targets[m.Target]
	if x == nil || !x.fenced && m.Order.Token.Less(h.fence) || x.fenced && (!x.lost || m.Order.Token != x.token) {
		return
	}
	h.wake, h.dirty = true, true
	x.draining = m.Reply.Draining
	if !x.fenced {
		h.found(now, x, m.Reply)
		if front := m.Reply.Front; !x.policy.ChecksGrants && front != "" {
			x.extenders[front] = c.view.Members[front].Incarnation
		}
		return
	}
	// The holder reaches the target, its front did not.
	x.lost, x.reissue = false, true
	x.incarnation = m.Reply.Incarnation
	x.avoid[x.front] = now.Add(avoidFor)
	x.quietAt = max(x.quietAt, now.Add(core.PlusDrift(core.GrantLease)))
}

// found takes what a target held when it was fenced.
func (h *holder) found(now core.Instant, x *targetState, reply grant.OrderReply) {
	x.fenced = true
	x.incarnation = reply.Incarnation
	x.ends = now.Add(core.PlusDrift(core.GrantLease))
	x.quietAt = x.ends
	if x.token.Less(reply.Granted) {
		// The earlier holder gave out a map that this one has not heard.
		x.token = reply.Granted
	}
	if reply.Held {
		if x.front != reply.Front {
			x.front, x.frontIncarnation = reply.Front, 0
		}
		for _, id := range reply.Ranges {
			r := h.ranges[id]
			if r == nil {
				r = &rangeState{}
				h.ranges[id] = r
			}
			r.target, r.assumed, r.moving, r.held = x.id, "", false, true
			r.served = reply.Granted
			if len(r.memoryAt) == 0 && len(x.previous) == 0 {
				// Without it a front whose grant the fence ended could not tell
				// that nobody else had the range meanwhile.
				r.memoryAt, r.memorySince, r.movedAt = x.memory(), reply.Granted, now
			}
		}
	}
	for _, r := range h.ranges {
		if r.assumed == x.id {
			r.assumed = ""
			r.memoryAt, r.memorySince, r.movedAt = x.memory(), x.token, now
		}
	}
}

// memory are the VMs that hold the request ids of a target.
func (x *targetState) memory() []core.VM {
	var out []core.VM
	for _, vm := range append([]core.VM{x.front}, x.witnesses...) {
		if vm != "" && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

func (c *Coordinator) takeReport(now core.Instant, m Reported) {
	r := m.Report
	if r.FailureDomain == c.domain {
		c.supersede(now, r.Version)
	}
	c.answerReport(now, m.Reply)
	h := c.holder
	if h == nil || r.FailureDomain != c.domain {
		return
	}
	mark := h.reports[r.VM]
	if r.Incarnation < mark.incarnation || r.Incarnation == mark.incarnation && r.Sequence <= mark.sequence {
		return
	}
	h.reports[r.VM] = reportMark{incarnation: r.Incarnation, sequence: r.Sequence, version: r.Version, at: now}
	named := make(map[core.Target]bool, len(r.Targets))
	for _, t := range r.Targets {
		named[t.Target] = true
		if x := h.targets[t.Target]; x != nil {
			c.takeTarget(now, x, r.VM, t)
		}
		if c.holder == nil {
			return
		}
	}
	for id, x := range h.targets {
		// The VM acts on a map or policy that does not give it the target.
		replaced := x.front != r.VM || x.removed != 0
		if _, ok := x.extenders[r.VM]; ok && !named[id] && replaced && !r.Version.Less(x.token) {
			delete(x.extenders, r.VM)
			x.ends = max(x.ends, now.Add(core.PlusDrift(core.GrantLease)))
			h.wake = true
		}
	}
}

func (c *Coordinator) takeTarget(now core.Instant, x *targetState, vm core.VM, t grant.TargetReport) {
	h := c.holder
	if t.Load != nil && vm == x.front {
		x.load, x.loadAt = *t.Load, now
	}
	if t.State == grant.StateSuperseded {
		c.supersede(now, t.Superseded)
	}
	if c.holder == nil || !x.fenced || t.Token != x.token || vm != x.front {
		return
	}
	if x.draining != t.Draining {
		x.draining = t.Draining
		h.wake, h.dirty = true, true
	}
	switch t.State {
	case grant.StateHeld:
		if t.Confirmed == x.token && x.confirmed != x.token {
			x.confirmed, x.confirmedRanges = t.Confirmed, t.Ranges
			incarnation := x.extenders[vm]
			clear(x.extenders)
			x.extenders[vm] = incarnation
			h.wake = true
		}
	case grant.StateLost:
		delete(x.extenders, vm)
		x.ends = max(x.ends, now.Add(t.EndsIn))
		if !x.lost {
			x.lost, x.inspectAt = true, now
			h.wake, h.dirty = true, true
		}
	case grant.StateBack:
		x.lost, x.reissue = false, true
		x.incarnation = t.Incarnation
		h.wake, h.dirty = true, true
	case grant.StateRestarted:
		if t.Incarnation != x.incarnation {
			x.incarnation = t.Incarnation
			h.wake, h.dirty = true, true
		}
	}
}

// endLost gives up the ranges of targets whose grants have ended on any clock.
func (c *Coordinator) endLost(now core.Instant) {
	if !c.authority.move(now) {
		return
	}
	h := c.holder
	for id, x := range h.targets {
		ended := x.fenced && !now.Before(x.ends) && c.stopped(now, x)
		gone := x.removed != 0 && (ended || now.Sub(x.removed) >= removalWait+core.PlusDrift(core.GrantLease))
		if !gone && !(x.lost && ended) {
			continue
		}
		for _, r := range h.ranges {
			if r.target == id {
				r.free(now, x)
				h.dirty = true
			}
		}
		if gone {
			delete(h.targets, id)
		}
	}
}

func (r *rangeState) free(now core.Instant, x *targetState) {
	r.target, r.moving = "", false
	r.memoryAt, r.memorySince, r.movedAt, r.firstFor = x.memory(), r.served, now, 0
}

// stopped reports whether no VM extends the grant of a target any more. The
// front of a service with isolation = yield stops without a holder's confirmation.
func (c *Coordinator) stopped(now core.Instant, x *targetState) bool {
	yields := c.yields(x.policy.Service)
	for vm := range x.extenders {
		end := max(c.holder.began, c.holder.reports[vm].at).Add(core.PlusDrift(grant.HolderLease + core.GrantLease))
		if !yields || now.Before(end) {
			return false
		}
	}
	return true
}
