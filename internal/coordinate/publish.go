package coordinate

import (
	"maps"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/membership"
)

// publish distributes a map of the current assignment. A target whose assignment
// has changed since the last map gets a new token.
func (c *Coordinator) publish(now core.Instant) {
	h := c.holder
	c.lastSeq++
	h.version = core.Token{Term: h.role.Term, Rank: h.role.Rank, Seq: c.lastSeq}
	next := &core.RangeMap{
		FailureDomain: c.domain,
		Version:       h.version,
		Holder:        c.vm,
		Targets:       make(map[core.Target]core.TargetAssignment, len(h.targets)),
		Ranges:        make(map[core.RangeID]core.RangeAssignment, len(h.ranges)),
	}
	issued := make(map[core.Target]*issuedAssignment, len(h.targets))
	for id, ts := range h.targets {
		issued[id] = &issuedAssignment{front: ts.front, incarnation: ts.incarnation, moving: make(map[core.RangeID]bool)}
	}
	retention := c.policy.Control.IDRetention
	for _, id := range h.sortedRanges(func(*rangeState) bool { return true }) {
		r := h.ranges[id]
		if now.Sub(r.movedAt) > retention {
			r.memoryAt, r.memorySince = nil, core.Token{}
		}
		if r.createdIn.IsZero() {
			r.createdIn = h.version
		}
		next.Ranges[id] = h.rangeAssignment(id, r, issued)
	}
	for id, ts := range h.targets {
		if ts.removed != 0 {
			continue
		}
		ts.witnesses = c.chooseWitnesses(ts)
		issued[id].witnesses = ts.witnesses
		if now.Sub(ts.previousAt) > retention {
			ts.previous, ts.previousSince = nil, core.Token{}
		}
		c.issueToken(ts, *issued[id])
		for _, r := range ts.lastIssue.serving {
			if held := h.ranges[r]; held != nil && held.target == id {
				held.servedUnder = ts.token
			}
		}
		a := core.TargetAssignment{
			Front: ts.front, FrontIncarnation: ts.frontIncarnation, Witnesses: ts.witnesses, Previous: ts.previous, PreviousSince: ts.previousSince, Token: ts.token,
			Leaving: ts.isLeaving() || ts.lost,
		}
		if ts.fenced {
			a.Incarnation = ts.incarnation
		}
		// Without an incarnation a front may continue with the grant of an
		// earlier holder but not take a new one, because that holder may have
		// moved the ranges.
		next.Targets[id] = a
	}
	c.currentMap = next
	c.emit(Publish{Map: next, To: c.recipients()})
}

// rangeAssignment returns the map entry of a range and adds the range to the
// issued assignment of its target.
func (h *holder) rangeAssignment(id core.RangeID, r *rangeState, issued map[core.Target]*issuedAssignment) core.RangeAssignment {
	a := core.RangeAssignment{Target: r.target, MemoryAt: r.memoryAt, MemorySince: r.memorySince, FirstFor: r.firstFor}
	ts := h.targets[r.target]
	switch {
	case r.target == "" && r.assumed != "":
		// The front in an earlier holder's map serves the range as long as the
		// target accepts its orders.
		a.Target = r.assumed
	case ts == nil || ts.lost || ts.removed != 0:
		a.Target, a.State = "", core.RangeWaiting
	case r.moving:
		a.State = core.RangeMoving
		issued[ts.id].moving[id] = true
	default:
		issued[ts.id].serving = append(issued[ts.id].serving, id)
	}
	return a
}

// issueToken gives a target a new token if its assignment has changed. New
// witnesses count as a change: the copy of a former witness is complete under the
// old token only. The end of a range's move does not: the target has dropped it.
func (c *Coordinator) issueToken(ts *targetState, next issuedAssignment) {
	if !ts.fenced || ts.lost || ts.front == "" {
		return
	}
	old := ts.lastIssue
	ts.lastIssue = next
	same := !ts.reissue && ts.token.Term == c.holder.role.Term && ts.token.Rank == c.holder.role.Rank &&
		old.front == next.front && old.incarnation == next.incarnation &&
		slices.Equal(old.witnesses, next.witnesses) && slices.Equal(old.serving, next.serving) && isSubset(next.moving, old.moving)
	if same {
		return
	}
	ts.reissue = false
	ts.token = c.holder.version
	ts.renewers[ts.front] = max(c.view.Members[ts.front].Incarnation, c.holder.reports[ts.front].incarnation)
}

func isSubset(a, b map[core.RangeID]bool) bool {
	for id := range a {
		if !b[id] {
			return false
		}
	}
	return true
}

// recipients returns the live VMs of all failure domains, without this VM.
func (c *Coordinator) recipients() []membership.Info {
	var out []membership.Info
	for _, id := range slices.Sorted(maps.Keys(c.view.Members)) {
		if m := c.view.Members[id]; m.Live && id != c.vm {
			out = append(out, m.Info)
		}
	}
	return out
}
