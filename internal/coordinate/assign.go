package coordinate

import (
	"math"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

// usable reports whether ranges can be assigned to the target.
func (ts *targetState) usable() bool {
	return ts.fenced && !ts.lost && ts.removed == 0 && !ts.isLeaving() && ts.front != "" && ts.incarnation != 0
}

func (ts *targetState) isLeaving() bool { return ts.policy.Leaving || ts.draining }

func (c *Coordinator) isYieldService(s core.Service) bool {
	return c.policy.Services[s].Isolation == policy.IsolationYield
}

func (c *Coordinator) isHomeRange(id core.RangeID) bool {
	if id.HotKey != 0 {
		id = core.RangeOf(id.Service, id.HotKey, c.policy.Services[id.Service].Ranges)
	}
	return c.homeRanges[id]
}

// distribution describes how the ranges of a service are spread over its
// targets.
type distribution struct {
	targets []*targetState
	counts  map[core.Target]int
	// share is the number of ranges that corresponds to a target's part of the
	// total capacity.
	share map[core.Target]float64
}

func (c *Coordinator) rangeDistribution(s core.Service) distribution {
	h := c.holder
	d := distribution{counts: make(map[core.Target]int), share: make(map[core.Target]float64)}
	var sum float64
	for _, ts := range h.sortedTargets() {
		if ts.policy.Service == s && ts.usable() {
			d.targets = append(d.targets, ts)
			sum += ts.policy.Capacity()
		}
	}
	total := 0
	for id, r := range h.ranges {
		if id.Service != s || id.HotKey != 0 {
			continue
		}
		total++
		switch {
		case r.moving && r.to != "":
			d.counts[r.to]++
		case r.target != "":
			d.counts[r.target]++
		}
	}
	for _, ts := range d.targets {
		d.share[ts.id] = float64(total) * ts.policy.Capacity() / sum
	}
	return d
}

// pickTarget returns the target for a range: the one with the greatest score
// among the targets below their share, or else the least filled one.
func (d *distribution) pickTarget(id core.RangeID, exclude core.Target) core.Target {
	var best, leastFilled *targetState
	var bestScore float64
	for _, ts := range d.targets {
		if ts.id == exclude {
			continue
		}
		if leastFilled == nil || d.fillRatio(ts) < d.fillRatio(leastFilled) {
			leastFilled = ts
		}
		if float64(d.counts[ts.id]) >= math.Ceil(d.share[ts.id]) {
			continue
		}
		if score := core.RendezvousScore(id.String(), string(ts.id), ts.policy.Capacity()); best == nil || score > bestScore {
			best, bestScore = ts, score
		}
	}
	if best == nil {
		best = leastFilled
	}
	if best == nil {
		return ""
	}
	d.counts[best.id]++
	return best.id
}

func (d *distribution) fillRatio(ts *targetState) float64 {
	return float64(d.counts[ts.id]) / max(d.share[ts.id], 1e-9)
}

// assignFreeRanges assigns the ranges that no target holds. If this holder does
// not know where a range was, every target that might hold it must first have
// accepted this holder's fencing token.
func (c *Coordinator) assignFreeRanges(now core.Instant) {
	h := c.holder
	free := h.sortedRanges(func(r *rangeState) bool { return r.target == "" })
	if len(free) == 0 || !c.authority.hasMoveRight(now) {
		return
	}
	distributions := make(map[core.Service]*distribution)
	mayGain := c.mayGainRanges(now)
	for _, id := range free {
		if !c.isHomeRange(id) {
			delete(h.ranges, id)
			h.dirty = true
			continue
		}
		d := distributions[id.Service]
		if d == nil {
			computed := c.rangeDistribution(id.Service)
			d = &computed
			distributions[id.Service] = d
		}
		r := h.ranges[id]
		if !r.held && !(mayGain && c.allHoldingsKnown(id.Service)) {
			continue
		}
		if to := d.pickTarget(id, ""); to != "" {
			r.firstFor = 0
			if !r.held && len(r.memoryAt) == 0 {
				r.memoryAt, r.memorySince = c.foreignMemory(now, id, c.policy.Control.IDRetention)
				r.movedAt = now
			}
			if !r.held && len(r.memoryAt) == 0 && id.HotKey == 0 && c.neverServed() {
				r.firstFor = c.view.Members[h.targets[to].front].Incarnation
			}
			r.target, r.assumed, r.moving, r.held = to, "", false, true
			h.dirty = true
		}
	}
}

// neverServed reports whether a range that this holder has not assigned was never
// served: this coordinator is the first of its failure domain, and no range has
// moved between failure domains so far.
func (c *Coordinator) neverServed() bool {
	a := &c.authority
	return a.isCoordinator() && a.term.PreviousNumber == 0 && !a.interrupted && c.logState.Delegation.Number == 0
}

// allHoldingsKnown reports whether no target of the service can hold a range
// without this holder knowing it. No grants existed before the first term.
func (c *Coordinator) allHoldingsKnown(s core.Service) bool {
	if t := c.authority.term; t.PreviousNumber == 0 && c.authority.isCoordinator() && !c.authority.interrupted {
		return true
	}
	for _, ts := range c.holder.targets {
		if ts.policy.Service == s && !ts.fenced && !ts.added {
			return false
		}
	}
	return true
}
