package coordinate

import (
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

// coolAfter is for how many times the policy's move_after a hot key must be
// cool before it is a part of its range again.
const coolAfter = 6

// hotKeys makes keys above a share of their target's capacity ranges of their
// own, at the same target, and ends those that have cooled down.
func (c *Coordinator) hotKeys(now core.Instant) {
	h := c.holder
	hot := 0
	for _, id := range h.sortedRanges(func(*rangeState) bool { return true }) {
		if id.HotKey == 0 {
			continue
		}
		hot++
		c.coolDown(now, id)
	}
	for _, x := range h.sortedTargets() {
		if !x.usable() || now.Sub(x.loadAt) > loadLasts {
			continue
		}
		for _, k := range x.load.HotKeys {
			id := core.RangeID{Service: k.Service, HotKey: k.KeyHash}
			if hot < c.policy.Control.HotKeys && h.ranges[id] == nil && c.isHot(x, k.RequestsPerSecond) && c.holds(x, id) {
				h.ranges[id] = &rangeState{target: x.id, held: true}
				h.dirty = true
				hot++
			}
		}
	}
}

// share is the part of a target's slots that a number of requests takes.
func (x *targetState) share(requestsPerSecond float64) float64 {
	return x.load.Utilisation * requestsPerSecond / max(x.load.RequestsPerSecond, 1e-9)
}

func (c *Coordinator) isHot(x *targetState, requestsPerSecond float64) bool {
	return x.share(requestsPerSecond) > c.policy.Control.HotShare
}

// numbered is the range that a hot key belongs to when it is not hot.
func (c *Coordinator) numbered(id core.RangeID) *rangeState {
	return c.holder.ranges[core.RangeOf(id.Service, id.HotKey, c.policy.Services[id.Service].Ranges)]
}

// holds reports whether a target serves the numbered range of a key.
func (c *Coordinator) holds(x *targetState, id core.RangeID) bool {
	s, ok := c.policy.Services[id.Service]
	if !ok || s.Division != policy.DivisionKey || id.HotKey == 0 {
		return false
	}
	r := c.numbered(id)
	return r != nil && r.target == x.id && !r.moving
}

// coolDown returns a cooled key to the target of its numbered range and then
// makes it a part of that range again.
func (c *Coordinator) coolDown(now core.Instant, id core.RangeID) {
	h := c.holder
	r := h.ranges[id]
	x := h.targets[r.target]
	if x == nil || r.moving || now.Sub(x.loadAt) > loadLasts {
		return
	}
	if x.share(x.load.Ranges[id]) > c.policy.Control.HotShare/2 {
		r.coolSince = 0
		return
	}
	if r.coolSince == 0 {
		r.coolSince = now
	}
	n := c.numbered(id)
	if now.Sub(r.coolSince) < coolAfter*c.policy.Control.MoveAfter || n == nil || n.moving || n.target == "" {
		return
	}
	if n.target == r.target {
		delete(h.ranges, id)
		h.dirty = true
	} else if c.authority.move(now) && h.inMove() < c.policy.Control.MovesInFlight {
		h.startMove(r, n.target)
	}
}

// hotKeyKnown reports whether every candidate acts on a map that has the hot
// key. A successor without it could let the key's range serve the key while
// another target, that it can't reach, holds the key itself.
func (c *Coordinator) hotKeyKnown(now core.Instant, id core.RangeID) bool {
	created := c.holder.ranges[id].created
	if created.IsZero() {
		return false
	}
	for _, set := range c.authority.sets(now) {
		for _, vm := range set {
			if vm != c.vm && c.holder.reports[vm].version.Less(created) {
				return false
			}
		}
	}
	return true
}
