package coordinate

import (
	"celeryhook.example/celeryhook/internal/core"
)

// startMove starts a planned move. An empty destination releases the range to
// another failure domain.
func (h *holder) startMove(r *rangeState, to core.Target) {
	r.moving, r.to = true, to
	h.dirty = true
}

// movesInFlight counts the moves between targets.
func (h *holder) movesInFlight() int {
	n := 0
	for _, r := range h.ranges {
		if r.moving && r.to != "" {
			n++
		}
	}
	return n
}

// finishMoves reassigns or releases the moving ranges that their targets have
// dropped.
func (c *Coordinator) finishMoves(now core.Instant) {
	h := c.holder
	for _, id := range h.sortedRanges(func(r *rangeState) bool { return r.moving }) {
		r := h.ranges[id]
		ts := h.targets[r.target]
		if ts == nil || !ts.hasDropped(id) || now.Before(ts.oldRequestsEndAt) {
			continue
		}
		if r.to == "" {
			r.unassign(now, ts)
			r.held = false
			h.wake = true
			continue
		}
		if !c.authority.hasMoveRight(now) {
			continue
		}
		to := r.to
		r.unassign(now, ts)
		if dest := h.targets[to]; dest != nil && dest.usable() {
			r.target = to
		}
		h.dirty = true
	}
}

// hasDropped reports whether the target has confirmed a grant without the range.
func (ts *targetState) hasDropped(id core.RangeID) bool {
	if ts.lost || ts.confirmed.IsZero() || ts.confirmed != ts.token || !ts.lastIssue.moving[id] {
		return false
	}
	for _, held := range ts.confirmedRanges {
		if held == id {
			return false
		}
	}
	return true
}

// moveOffLeavingTargets moves the ranges of leaving targets all at once. With the
// limit on planned moves, a target would be empty later than 3 s after the notice.
func (c *Coordinator) moveOffLeavingTargets(now core.Instant) {
	h := c.holder
	if !c.authority.hasMoveRight(now) {
		return
	}
	for _, ts := range h.sortedTargets() {
		if !ts.isLeaving() || ts.lost {
			continue
		}
		var d *distribution
		for _, id := range h.sortedRanges(func(r *rangeState) bool { return r.target == ts.id && !r.moving }) {
			if d == nil {
				computed := c.rangeDistribution(ts.policy.Service)
				d = &computed
			}
			if to := d.pickTarget(id, ts.id); to != "" {
				h.startMove(h.ranges[id], to)
			}
		}
	}
}
