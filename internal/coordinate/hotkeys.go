package coordinate

import (
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

// coolDownFactor times the policy's move_after is how long the load of a hot key
// must stay low before the key is merged into its range again.
const coolDownFactor = 6

// updateHotKeys turns keys that exceed a share of their target's capacity into
// ranges of their own at the same target, and merges keys that have cooled down
// into their ranges again.
func (c *Coordinator) updateHotKeys(now core.Instant) {
	h := c.holder
	hot := 0
	for _, id := range h.sortedRanges(func(*rangeState) bool { return true }) {
		if id.HotKey == 0 {
			continue
		}
		hot++
		c.coolDown(now, id)
	}
	for _, ts := range h.sortedTargets() {
		if !ts.usable() || now.Sub(ts.loadAt) > loadMaxAge {
			continue
		}
		for _, k := range ts.load.HotKeys {
			id := core.RangeID{Service: k.Service, HotKey: k.KeyHash}
			if hot < c.policy.Control.HotKeys && h.ranges[id] == nil && c.isHot(ts, k.RequestsPerSecond) && c.servesBaseRange(ts, id) {
				h.ranges[id] = &rangeState{target: ts.id, held: true}
				h.dirty = true
				hot++
			}
		}
	}
}

// loadShare returns the share of a target's slots that a request rate uses.
func (ts *targetState) loadShare(requestsPerSecond float64) float64 {
	return ts.load.Utilisation * requestsPerSecond / max(ts.load.RequestsPerSecond, 1e-9)
}

func (c *Coordinator) isHot(ts *targetState, requestsPerSecond float64) bool {
	return ts.loadShare(requestsPerSecond) > c.policy.Control.HotShare
}

// baseRange returns the numbered range that contains a hot key, nil if it is
// unknown.
func (c *Coordinator) baseRange(id core.RangeID) *rangeState {
	return c.holder.ranges[core.RangeOf(id.Service, id.HotKey, c.policy.Services[id.Service].Ranges)]
}

// servesBaseRange reports whether a target serves the numbered range that contains
// a key.
func (c *Coordinator) servesBaseRange(ts *targetState, id core.RangeID) bool {
	s, ok := c.policy.Services[id.Service]
	if !ok || s.Sharding != policy.ShardingKey || id.HotKey == 0 {
		return false
	}
	r := c.baseRange(id)
	return r != nil && r.target == ts.id && !r.moving
}

// coolDown moves a key that has cooled down to the target of its numbered range
// and then merges it into that range.
func (c *Coordinator) coolDown(now core.Instant, id core.RangeID) {
	h := c.holder
	r := h.ranges[id]
	ts := h.targets[r.target]
	if ts == nil || r.moving || now.Sub(ts.loadAt) > loadMaxAge {
		return
	}
	if ts.loadShare(ts.load.Ranges[id]) > c.policy.Control.HotShare/2 {
		r.coolSince = 0
		return
	}
	if r.coolSince == 0 {
		r.coolSince = now
	}
	n := c.baseRange(id)
	if now.Sub(r.coolSince) < coolDownFactor*c.policy.Control.MoveAfter || n == nil || n.moving || n.target == "" {
		return
	}
	if n.target == r.target {
		delete(h.ranges, id)
		h.dirty = true
	} else if c.authority.hasMoveRight(now) && h.movesInFlight() < c.policy.Control.MovesInFlight {
		h.startMove(r, n.target)
	}
}

// hotKeyKnown reports whether every candidate acts on a map that contains the hot
// key. A successor that does not know it could let the numbered range serve the
// key while another target that it cannot reach still holds the key.
func (c *Coordinator) hotKeyKnown(now core.Instant, id core.RangeID) bool {
	created := c.holder.ranges[id].createdIn
	if created.IsZero() {
		return false
	}
	for _, set := range c.authority.candidateSets(now) {
		for _, vm := range set {
			if vm != c.vm && c.holder.reports[vm].version.Less(created) {
				return false
			}
		}
	}
	return true
}
