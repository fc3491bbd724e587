package coordinate

import (
	"math"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// balanceInterval is the pause between looks at loads, which fronts measure
// over about a second.
const balanceInterval = time.Second

// balance is what load-driven moves remember.
type balance struct {
	frontMovedAt core.Instant
	checkedAt    core.Instant
	// uneven is since when a service's ranges or loads are unevenly spread.
	uneven map[core.Service]core.Instant
}

// balanceLoad moves ranges while a service's targets are unevenly filled or
// loaded for longer than the policy allows.
func (c *Coordinator) balanceLoad(now core.Instant) {
	b := &c.holder.balance
	if now.Sub(b.checkedAt) < balanceInterval || !c.authority.move(now) {
		return
	}
	b.checkedAt = now
	if b.uneven == nil {
		b.uneven = make(map[core.Service]core.Instant)
	}
	for s := range c.policy.Services {
		moves := c.planCount(s)
		if len(moves) == 0 {
			delete(b.uneven, s)
			continue
		}
		since, ok := b.uneven[s]
		if !ok {
			b.uneven[s] = now
			continue
		}
		if now.Sub(since) < c.policy.Control.MoveAfter {
			continue
		}
		for _, m := range moves {
			if c.holder.inMove() < c.policy.Control.MovesInFlight {
				c.holder.startMove(c.holder.ranges[m.id], m.to)
			}
		}
	}
}

// plannedMove is a move that evens out a service's load.
type plannedMove struct {
	id core.RangeID
	to core.Target
}

// planCount plans moves from targets with more ranges than their share to one
// that has far fewer, for instance after its return.
func (c *Coordinator) planCount(s core.Service) []plannedMove {
	h := c.holder
	d := c.divide(s)
	var to *targetState
	for _, x := range d.targets {
		room := d.share[x.id] - float64(d.counts[x.id])
		if room >= 1 && room > d.share[x.id]*c.policy.Control.MoveThreshold && (to == nil || d.filled(x) < d.filled(to)) {
			to = x
		}
	}
	if to == nil {
		return nil
	}
	var out []plannedMove
	room := int(d.share[to.id]) - d.counts[to.id]
	for _, id := range h.sortedRanges(func(r *rangeState) bool { return r.target != "" && !r.moving }) {
		from := h.ranges[id].target
		_, known := d.share[from]
		if id.Service != s || id.HotKey != 0 || !known || float64(d.counts[from]) <= math.Ceil(d.share[from]) || len(out) >= room {
			continue
		}
		d.counts[from]--
		out = append(out, plannedMove{id: id, to: to.id})
	}
	return out
}
