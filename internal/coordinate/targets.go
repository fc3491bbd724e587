package coordinate

import (
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
)

// inspect sends inspect orders to the targets that are not fenced yet and to
// those that their front has lost.
func (c *Coordinator) inspect(now core.Instant) {
	h := c.holder
	for _, ts := range h.sortedTargets() {
		if ts.fenced && !ts.lost || ts.removed != 0 || now.Before(ts.nextInspectAt) {
			continue
		}
		ts.nextInspectAt = now.Add(inspectInterval)
		token := core.Token{Term: h.role.Term, Rank: h.role.Rank, Seq: h.fencingToken.Seq}
		if ts.fenced {
			// A greater token would invalidate the front's token.
			token = ts.token
		}
		c.emit(Inspect{Target: ts.id, Address: ts.policy.Address, Order: grant.Order{
			Kind: grant.OrderInspect, Token: token, Front: c.vm,
		}})
	}
}

func (c *Coordinator) handleInspectDone(now core.Instant, m InspectDone) {
	if !m.OK {
		return
	}
	c.supersede(now, m.Reply.Token)
	h := c.holder
	if h == nil {
		return
	}
	ts := h.targets[m.Target]
	if ts == nil || !ts.fenced && m.Order.Token.Less(h.fencingToken) || ts.fenced && (!ts.lost || m.Order.Token != ts.token) {
		return
	}
	h.wake, h.dirty = true, true
	ts.draining = m.Reply.Draining
	if !ts.fenced {
		h.recordHoldings(now, ts, m.Reply)
		if front := m.Reply.Front; !ts.policy.ChecksGrants && front != "" {
			ts.renewers[front] = c.view.Members[front].Incarnation
		}
		return
	}
	// This VM reached the target, which its front could not reach.
	ts.lost, ts.reissue = false, true
	ts.incarnation = m.Reply.Incarnation
	ts.avoidUntil[ts.front] = now.Add(avoidDuration)
	ts.oldRequestsEndAt = max(ts.oldRequestsEndAt, now.Add(core.PlusDrift(core.GrantLease)))
}

// recordHoldings applies the state that a target reported when it was fenced.
func (h *holder) recordHoldings(now core.Instant, ts *targetState, reply grant.OrderReply) {
	ts.fenced = true
	ts.incarnation = reply.Incarnation
	ts.otherGrantsEndAt = now.Add(core.PlusDrift(core.GrantLease))
	ts.oldRequestsEndAt = ts.otherGrantsEndAt
	if ts.token.Less(reply.Granted) {
		// An earlier holder published a map that this one has not received.
		ts.token = reply.Granted
	}
	if reply.Held {
		if ts.front != reply.Front {
			ts.front, ts.frontIncarnation = reply.Front, 0
		}
		for _, id := range reply.Ranges {
			r := h.ranges[id]
			if r == nil {
				r = &rangeState{}
				h.ranges[id] = r
			}
			r.target, r.assumed, r.moving, r.held = ts.id, "", false, true
			r.servedUnder = reply.Granted
			if len(r.memoryAt) == 0 && len(ts.previous) == 0 {
				// Otherwise a front whose grant was ended by the fencing token
				// could not tell that no other front had the range meanwhile.
				r.memoryAt, r.memorySince, r.movedAt = ts.memoryVMs(), reply.Granted, now
			}
		}
	}
	for _, r := range h.ranges {
		if r.assumed == ts.id {
			r.assumed = ""
			r.memoryAt, r.memorySince, r.movedAt = ts.memoryVMs(), ts.token, now
		}
	}
}

// memoryVMs returns the VMs that store the request ids of a target: its front and
// its witnesses.
func (ts *targetState) memoryVMs() []core.VM {
	var out []core.VM
	for _, vm := range append([]core.VM{ts.front}, ts.witnesses...) {
		if vm != "" && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

func (c *Coordinator) handleReport(now core.Instant, m ReportReceived) {
	r := m.Report
	if r.FailureDomain == c.domain {
		c.supersede(now, r.Version)
	}
	c.replyToReport(now, m.Reply)
	h := c.holder
	if h == nil || r.FailureDomain != c.domain {
		return
	}
	last := h.reports[r.VM]
	if r.Incarnation < last.incarnation || r.Incarnation == last.incarnation && r.Sequence <= last.sequence {
		return
	}
	h.reports[r.VM] = lastReport{incarnation: r.Incarnation, sequence: r.Sequence, version: r.Version, at: now}
	reported := make(map[core.Target]bool, len(r.Targets))
	for _, t := range r.Targets {
		reported[t.Target] = true
		if ts := h.targets[t.Target]; ts != nil {
			c.handleTargetReport(now, ts, r.VM, t)
		}
		if c.holder == nil {
			return
		}
	}
	for id, ts := range h.targets {
		// The VM acts on a map or policy that does not assign the target to it.
		replaced := ts.front != r.VM || ts.removed != 0
		if _, ok := ts.renewers[r.VM]; ok && !reported[id] && replaced && !r.Version.Less(ts.token) {
			delete(ts.renewers, r.VM)
			ts.otherGrantsEndAt = max(ts.otherGrantsEndAt, now.Add(core.PlusDrift(core.GrantLease)))
			h.wake = true
		}
	}
}

func (c *Coordinator) handleTargetReport(now core.Instant, ts *targetState, vm core.VM, t grant.TargetReport) {
	h := c.holder
	if t.Load != nil && vm == ts.front {
		ts.load, ts.loadAt = *t.Load, now
	}
	if t.State == grant.StateSuperseded {
		c.supersede(now, t.Superseded)
	}
	if c.holder == nil || !ts.fenced || t.Token != ts.token || vm != ts.front {
		return
	}
	if ts.draining != t.Draining {
		ts.draining = t.Draining
		h.wake, h.dirty = true, true
	}
	switch t.State {
	case grant.StateHeld:
		if t.Confirmed == ts.token && ts.confirmed != ts.token {
			ts.confirmed, ts.confirmedRanges = t.Confirmed, t.Ranges
			incarnation := ts.renewers[vm]
			clear(ts.renewers)
			ts.renewers[vm] = incarnation
			h.wake = true
		}
	case grant.StateLost:
		delete(ts.renewers, vm)
		ts.otherGrantsEndAt = max(ts.otherGrantsEndAt, now.Add(t.ExpiresIn))
		if !ts.lost {
			ts.lost, ts.nextInspectAt = true, now
			h.wake, h.dirty = true, true
		}
	case grant.StateRecovered:
		ts.lost, ts.reissue = false, true
		ts.incarnation = t.Incarnation
		h.wake, h.dirty = true, true
	case grant.StateRestarted:
		if t.Incarnation != ts.incarnation {
			ts.incarnation = t.Incarnation
			h.wake, h.dirty = true, true
		}
	}
}

// freeLostTargets frees the ranges of lost and removed targets once their grants
// have ended on every clock.
func (c *Coordinator) freeLostTargets(now core.Instant) {
	if !c.authority.hasMoveRight(now) {
		return
	}
	h := c.holder
	for id, ts := range h.targets {
		ended := ts.fenced && !now.Before(ts.otherGrantsEndAt) && c.renewalsStopped(now, ts)
		deletable := ts.removed != 0 && (ended || now.Sub(ts.removed) >= policyPropagationDelay+core.PlusDrift(core.GrantLease))
		if !deletable && !(ts.lost && ended) {
			continue
		}
		for _, r := range h.ranges {
			if r.target == id {
				r.unassign(now, ts)
				h.dirty = true
			}
		}
		if deletable {
			delete(h.targets, id)
		}
	}
}

func (r *rangeState) unassign(now core.Instant, ts *targetState) {
	r.target, r.moving = "", false
	r.memoryAt, r.memorySince, r.movedAt, r.firstFor = ts.memoryVMs(), r.servedUnder, now, 0
}

// renewalsStopped reports whether no VM renews the grant of a target any more.
// The front of a service with isolation = yield stops renewing when it gets no
// confirmation from a holder.
func (c *Coordinator) renewalsStopped(now core.Instant, ts *targetState) bool {
	yields := c.isYieldService(ts.policy.Service)
	for vm := range ts.renewers {
		end := max(c.holder.startedAt, c.holder.reports[vm].at).Add(core.PlusDrift(grant.HolderLease + core.GrantLease))
		if !yields || now.Before(end) {
			return false
		}
	}
	return true
}
