package coordinate

import (
	"math"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// balanceInterval is the pause between looks at loads, which fronts measure
	// over about a second.
	balanceInterval = time.Second
	// loadLasts is how long a measured load is used.
	loadLasts = 5 * time.Second
	// minExcess is the least excess of utilisation over the mean that counts:
	// below it the noise of nearly idle targets would move ranges.
	minExcess = 0.05
	// minGain and minHotGain are the least shares of the excess that the move of
	// a range and of a single key must take off. A range holds many keys, each
	// of which is unavailable during its move.
	minGain    = 1.0 / 8
	minHotGain = 1.0 / 64
)

// balance is what load-driven moves remember.
type balance struct {
	frontMovedAt core.Instant
	checkedAt    core.Instant
	// uneven is since when a service's ranges or loads are unevenly spread.
	uneven map[core.Service]core.Instant
}

// plannedMove is a move that evens out a service's load.
type plannedMove struct {
	id core.RangeID
	to core.Target
}

// balanceLoad moves ranges while a service's targets are unevenly filled or
// loaded for longer than the policy allows. After each batch of moves the time
// begins anew, so that the next one is planned with measured loads.
func (c *Coordinator) balanceLoad(now core.Instant) {
	b := &c.holder.balance
	if now.Sub(b.checkedAt) < balanceInterval {
		return
	}
	b.checkedAt = now
	c.hotKeys(now)
	if !c.authority.move(now) {
		return
	}
	if b.uneven == nil {
		b.uneven = make(map[core.Service]core.Instant)
	}
	for s := range c.policy.Services {
		moves := c.planCount(s)
		if len(moves) == 0 {
			moves = c.planLoad(now, s)
		}
		since, uneven := b.uneven[s]
		switch {
		case len(moves) == 0:
			delete(b.uneven, s)
		case !uneven:
			b.uneven[s] = now
		case now.Sub(since) >= c.policy.Control.MoveAfter:
			c.startMoves(moves)
			b.uneven[s] = now
		}
	}
}

func (c *Coordinator) startMoves(moves []plannedMove) {
	room := c.policy.Control.MovesInFlight - c.holder.inMove()
	for _, m := range moves[:min(len(moves), max(0, room))] {
		c.holder.startMove(c.holder.ranges[m.id], m.to)
	}
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

// loads is the measured load of a service's usable targets, as a share of each
// one's slots; planned moves are already counted.
type loads struct {
	targets []*targetState
	used    map[core.Target]float64
	mean    float64
}

func (c *Coordinator) measure(now core.Instant, s core.Service) loads {
	l := loads{used: make(map[core.Target]float64)}
	var used, capacity float64
	for _, x := range c.holder.sortedTargets() {
		if x.policy.Service != s || !x.usable() || x.loadAt == 0 || now.Sub(x.loadAt) > loadLasts {
			continue
		}
		l.targets = append(l.targets, x)
		l.used[x.id] = x.load.Utilisation + float64(x.load.Queued)/float64(max(1, x.policy.Slots))
		used += l.used[x.id] * x.policy.Capacity()
		capacity += x.policy.Capacity()
	}
	l.mean = used / max(capacity, 1e-9)
	return l
}

// extremes returns the most and the least loaded target.
func (l *loads) extremes() (most, least *targetState) {
	for _, x := range l.targets {
		if most == nil || l.used[x.id] > l.used[most.id] {
			most = x
		}
		if least == nil || l.used[x.id] < l.used[least.id] {
			least = x
		}
	}
	return most, least
}

// planLoad plans moves from the most to the least loaded target while the
// excess over the mean is above the policy's threshold.
func (c *Coordinator) planLoad(now core.Instant, s core.Service) []plannedMove {
	l := c.measure(now, s)
	planned := make(map[core.RangeID]bool)
	var out []plannedMove
	for len(out) < c.policy.Control.MovesInFlight {
		from, to := l.extremes()
		if from == nil || from == to {
			break
		}
		excess := l.used[from.id] - l.mean
		if excess < minExcess || excess < l.mean*c.policy.Control.MoveThreshold {
			break
		}
		id, moved := c.bestMove(now, &l, from, to, excess, planned)
		if moved == 0 {
			break
		}
		planned[id] = true
		out = append(out, plannedMove{id: id, to: to.id})
		l.used[from.id] -= moved
		l.used[to.id] += moved * from.policy.Capacity() / to.policy.Capacity()
	}
	return out
}

// bestMove returns the range whose move takes the most load per key off a
// target without making the other one as loaded, and how much it takes off.
func (c *Coordinator) bestMove(now core.Instant, l *loads, from, to *targetState, excess float64, planned map[core.RangeID]bool) (core.RangeID, float64) {
	var best core.RangeID
	var bestMoved, bestValue float64
	for _, id := range c.holder.sortedRanges(func(r *rangeState) bool { return r.target == from.id && !r.moving }) {
		moved := from.share(from.load.Ranges[id])
		after := l.used[to.id] + moved*from.policy.Capacity()/to.policy.Capacity()
		gain := l.used[from.id] - max(l.used[from.id]-moved, after)
		least, weight := minGain, 1.0
		if id.HotKey != 0 {
			least, weight = minHotGain, minGain/minHotGain
		}
		if planned[id] || gain < excess*least || id.HotKey != 0 && !c.hotKeyKnown(now, id) {
			continue
		}
		if value := gain * weight; value > bestValue {
			best, bestMoved, bestValue = id, moved, value
		}
	}
	return best, bestMoved
}
