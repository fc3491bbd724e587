package coordinate

import (
	"maps"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/membership"
)

// publish hands out a map of the present assignment. A target whose assignment
// differs from the one published before gets a new token.
func (c *Coordinator) publish(now core.Instant) {
	h := c.holder
	c.seq++
	h.version = core.Token{Term: h.role.Term, Rank: h.role.Rank, Seq: c.seq}
	next := &core.RangeMap{
		FailureDomain: c.domain,
		Version:       h.version,
		Holder:        c.vm,
		Targets:       make(map[core.Target]core.TargetAssignment, len(h.targets)),
		Ranges:        make(map[core.RangeID]core.RangeAssignment, len(h.ranges)),
	}
	issues := make(map[core.Target]*issue, len(h.targets))
	for id, x := range h.targets {
		issues[id] = &issue{front: x.front, incarnation: x.incarnation, moving: make(map[core.RangeID]bool)}
	}
	remember := c.policy.Control.Remember
	for _, id := range h.sortedRanges(func(*rangeState) bool { return true }) {
		r := h.ranges[id]
		if now.Sub(r.movedAt) > remember {
			r.memoryAt, r.memorySince = nil, core.Token{}
		}
		if r.created.IsZero() {
			r.created = h.version
		}
		next.Ranges[id] = h.assignment(id, r, issues)
	}
	for id, x := range h.targets {
		if x.removed != 0 {
			continue
		}
		x.witnesses = c.chooseWitnesses(x)
		issues[id].witnesses = x.witnesses
		if now.Sub(x.previousAt) > remember {
			x.previous, x.previousSince = nil, core.Token{}
		}
		c.issue(x, *issues[id])
		for _, r := range x.issued.serving {
			if held := h.ranges[r]; held != nil && held.target == id {
				held.served = x.token
			}
		}
		a := core.TargetAssignment{
			Front: x.front, FrontIncarnation: x.frontIncarnation, Witnesses: x.witnesses, Previous: x.previous, PreviousSince: x.previousSince, Token: x.token,
			Leaving: x.leaving() || x.lost,
		}
		if x.fenced {
			a.Incarnation = x.incarnation
		}
		// Without an incarnation a front may go on with a grant of an earlier
		// holder, but not take it anew: that holder may have moved the ranges.
		next.Targets[id] = a
	}
	c.current = next
	c.emit(Publish{Map: next, To: c.others()})
}

// assignment is what the map says of a range; it is also noted in the issue of
// its target.
func (h *holder) assignment(id core.RangeID, r *rangeState, issues map[core.Target]*issue) core.RangeAssignment {
	a := core.RangeAssignment{Target: r.target, MemoryAt: r.memoryAt, MemorySince: r.memorySince, FirstFor: r.firstFor}
	x := h.targets[r.target]
	switch {
	case r.target == "" && r.assumed != "":
		// The front that an earlier holder named serves it as long as the
		// target lets it.
		a.Target = r.assumed
	case x == nil || x.lost || x.removed != 0:
		a.Target, a.State = "", core.RangeWaiting
	case r.moving:
		a.State = core.RangeMoving
		issues[x.id].moving[id] = true
	default:
		issues[x.id].serving = append(issues[x.id].serving, id)
	}
	return a
}

// issue gives a target a new token if its assignment has changed. New witnesses
// are a change, too: an old one keeps a copy that is complete under the old
// token only. A moving range that is gone from the assignment needs none: the target dropped it.
func (c *Coordinator) issue(x *targetState, next issue) {
	if !x.fenced || x.lost || x.front == "" {
		return
	}
	old := x.issued
	x.issued = next
	same := !x.reissue && x.token.Term == c.holder.role.Term && x.token.Rank == c.holder.role.Rank &&
		old.front == next.front && old.incarnation == next.incarnation &&
		slices.Equal(old.witnesses, next.witnesses) && slices.Equal(old.serving, next.serving) && subset(next.moving, old.moving)
	if same {
		return
	}
	x.reissue = false
	x.token = c.holder.version
	x.extenders[x.front] = max(c.view.Members[x.front].Incarnation, c.holder.reports[x.front].incarnation)
}

func subset(a, b map[core.RangeID]bool) bool {
	for id := range a {
		if !b[id] {
			return false
		}
	}
	return true
}

// others are the VMs of all failure domains but this one that have an address.
func (c *Coordinator) others() []membership.Info {
	var out []membership.Info
	for _, id := range slices.Sorted(maps.Keys(c.view.Members)) {
		if m := c.view.Members[id]; m.Live && id != c.vm {
			out = append(out, m.Info)
		}
	}
	return out
}
