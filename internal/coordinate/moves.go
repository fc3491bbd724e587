package coordinate

import (
	"celeryhook.example/celeryhook/internal/core"
)

// startMove begins a planned move; an empty destination gives the range up.
func (h *holder) startMove(r *rangeState, to core.Target) {
	r.moving, r.to = true, to
	h.dirty = true
}

// inMove counts the planned moves between targets.
func (h *holder) inMove() int {
	n := 0
	for _, r := range h.ranges {
		if r.moving && r.to != "" {
			n++
		}
	}
	return n
}

// finishMoves passes on the ranges that their targets have confirmed to drop.
func (c *Coordinator) finishMoves(now core.Instant) {
	h := c.holder
	for _, id := range h.sortedRanges(func(r *rangeState) bool { return r.moving }) {
		r := h.ranges[id]
		x := h.targets[r.target]
		if x == nil || !x.dropped(id) || now.Before(x.quietAt) {
			continue
		}
		if r.to == "" {
			r.free(now, x)
			r.held = false
			h.wake = true
			continue
		}
		if !c.authority.move(now) {
			continue
		}
		to := r.to
		r.free(now, x)
		if y := h.targets[to]; y != nil && y.usable() {
			r.target = to
		}
		h.dirty = true
	}
}

// dropped reports whether the target has confirmed a grant without the range.
func (x *targetState) dropped(id core.RangeID) bool {
	if x.lost || x.confirmed.IsZero() || x.confirmed != x.token || !x.issued.moving[id] {
		return false
	}
	for _, held := range x.confirmedRanges {
		if held == id {
			return false
		}
	}
	return true
}

// leaveTargets moves the ranges of leaving targets all at once: the bound for
// planned moves would make a target leave later than 3 s after the notice.
func (c *Coordinator) leaveTargets(now core.Instant) {
	h := c.holder
	if !c.authority.move(now) {
		return
	}
	for _, x := range h.sortedTargets() {
		if !x.leaving() || x.lost {
			continue
		}
		var d *division
		for _, id := range h.sortedRanges(func(r *rangeState) bool { return r.target == x.id && !r.moving }) {
			if d == nil {
				division := c.divide(x.policy.Service)
				d = &division
			}
			if to := d.pick(id, x.id); to != "" {
				h.startMove(h.ranges[id], to)
			}
		}
	}
}
