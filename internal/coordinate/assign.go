package coordinate

import (
	"math"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

// usable reports whether a target can be given ranges.
func (x *targetState) usable() bool {
	return x.fenced && !x.lost && x.removed == 0 && !x.leaving() && x.front != "" && x.incarnation != 0
}

func (x *targetState) leaving() bool { return x.policy.Leaving || x.draining }

func (c *Coordinator) yields(s core.Service) bool {
	return c.policy.Services[s].Isolation == policy.IsolationYield
}

func (c *Coordinator) isHomed(id core.RangeID) bool {
	if id.HotKey != 0 {
		id = core.RangeOf(id.Service, id.HotKey, c.policy.Services[id.Service].Ranges)
	}
	return c.homed[id]
}

// division is how the ranges of one service are spread over its targets.
type division struct {
	targets []*targetState
	counts  map[core.Target]int
	// share is the number of ranges that a target's capacity calls for.
	share map[core.Target]float64
}

func (c *Coordinator) divide(s core.Service) division {
	h := c.holder
	d := division{counts: make(map[core.Target]int), share: make(map[core.Target]float64)}
	var sum float64
	for _, x := range h.sortedTargets() {
		if x.policy.Service == s && x.usable() {
			d.targets = append(d.targets, x)
			sum += x.policy.Capacity()
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
	for _, x := range d.targets {
		d.share[x.id] = float64(total) * x.policy.Capacity() / sum
	}
	return d
}

// pick returns the target for a range: the greatest score among the targets
// with fewer ranges than their share, or else the least filled one.
func (d *division) pick(id core.RangeID, not core.Target) core.Target {
	var best, spare *targetState
	var bestScore float64
	for _, x := range d.targets {
		if x.id == not {
			continue
		}
		if spare == nil || d.filled(x) < d.filled(spare) {
			spare = x
		}
		if float64(d.counts[x.id]) >= math.Ceil(d.share[x.id]) {
			continue
		}
		if score := core.RendezvousScore(id.String(), string(x.id), x.policy.Capacity()); best == nil || score > bestScore {
			best, bestScore = x, score
		}
	}
	if best == nil {
		best = spare
	}
	if best == nil {
		return ""
	}
	d.counts[best.id]++
	return best.id
}

func (d *division) filled(x *targetState) float64 {
	return float64(d.counts[x.id]) / max(d.share[x.id], 1e-9)
}

// assignFree gives ranges that no target holds to targets. If this holder has
// not known where a range was, each target that might hold it must have taken
// this holder's token.
func (c *Coordinator) assignFree(now core.Instant) {
	h := c.holder
	free := h.sortedRanges(func(r *rangeState) bool { return r.target == "" })
	if len(free) == 0 || !c.authority.move(now) {
		return
	}
	divisions := make(map[core.Service]*division)
	gainable := c.gainable(now)
	for _, id := range free {
		if !c.isHomed(id) {
			delete(h.ranges, id)
			h.dirty = true
			continue
		}
		d := divisions[id.Service]
		if d == nil {
			division := c.divide(id.Service)
			d = &division
			divisions[id.Service] = d
		}
		r := h.ranges[id]
		if !r.held && !(gainable && c.accounted(id.Service)) {
			continue
		}
		if to := d.pick(id, ""); to != "" {
			r.firstFor = 0
			if !r.held && len(r.memoryAt) == 0 {
				r.memoryAt, r.memorySince = c.recall(now, id, c.policy.Control.Remember)
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

// neverServed reports whether a range that this holder has not given out has
// never been served: its coordinator is the failure domain's first, and no
// range has changed its failure domain so far.
func (c *Coordinator) neverServed() bool {
	a := &c.authority
	return a.isCoordinator() && a.term.PreviousNumber == 0 && !a.interrupted && c.folded.Delegation.Number == 0
}

// accounted reports whether no target of the service can hold a range that
// this holder does not know of. Before the first term nobody gave out grants.
func (c *Coordinator) accounted(s core.Service) bool {
	if t := c.authority.term; t.PreviousNumber == 0 && c.authority.isCoordinator() && !c.authority.interrupted {
		return true
	}
	for _, x := range c.holder.targets {
		if x.policy.Service == s && !x.fenced && !x.added {
			return false
		}
	}
	return true
}
