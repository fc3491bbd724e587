package coordinate

import (
	"math"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// balanceInterval is the interval between evaluations of the loads, which
	// fronts measure over about one second.
	balanceInterval = time.Second
	// loadMaxAge is how long a load measurement is used.
	loadMaxAge = 5 * time.Second
	// minExcess is the smallest excess of utilisation over the mean that triggers
	// a move. Below it, noise at nearly idle targets would move ranges.
	minExcess = 0.05
	// minGain and minHotGain are the smallest shares of the excess that the move
	// of a range and of a single hot key must remove. The limit for a range is
	// higher because all its keys are unavailable during the move.
	minGain    = 1.0 / 8
	minHotGain = 1.0 / 64
)

// balanceState is the state of load balancing between runs.
type balanceState struct {
	frontMovedAt core.Instant
	checkedAt    core.Instant
	// unevenSince is when the ranges or loads of a service became unevenly
	// distributed.
	unevenSince map[core.Service]core.Instant
}

// plannedMove is a move that balances a service's ranges or load.
type plannedMove struct {
	id core.RangeID
	to core.Target
}

// balanceLoad moves ranges if a service's ranges or load have been unevenly
// distributed for longer than the policy allows. The time restarts after each
// batch of moves, so that the next batch is planned with new measurements.
func (c *Coordinator) balanceLoad(now core.Instant) {
	b := &c.holder.balance
	if now.Sub(b.checkedAt) < balanceInterval {
		return
	}
	b.checkedAt = now
	c.updateHotKeys(now)
	if !c.authority.hasMoveRight(now) {
		return
	}
	if b.unevenSince == nil {
		b.unevenSince = make(map[core.Service]core.Instant)
	}
	for s := range c.policy.Services {
		moves := c.planByCount(s)
		if len(moves) == 0 {
			moves = c.planByLoad(now, s)
		}
		since, uneven := b.unevenSince[s]
		switch {
		case len(moves) == 0:
			delete(b.unevenSince, s)
		case !uneven:
			b.unevenSince[s] = now
		case now.Sub(since) >= c.policy.Control.MoveAfter:
			c.startMoves(moves)
			b.unevenSince[s] = now
		}
	}
}

func (c *Coordinator) startMoves(moves []plannedMove) {
	available := c.policy.Control.MovesInFlight - c.holder.movesInFlight()
	for _, m := range moves[:min(len(moves), max(0, available))] {
		c.holder.startMove(c.holder.ranges[m.id], m.to)
	}
}

// planByCount plans moves from targets above their share of ranges to one that is
// far below it, for example because it has just recovered.
func (c *Coordinator) planByCount(s core.Service) []plannedMove {
	h := c.holder
	d := c.rangeDistribution(s)
	var to *targetState
	for _, ts := range d.targets {
		available := d.share[ts.id] - float64(d.counts[ts.id])
		if available >= 1 && available > d.share[ts.id]*c.policy.Control.MoveThreshold && (to == nil || d.fillRatio(ts) < d.fillRatio(to)) {
			to = ts
		}
	}
	if to == nil {
		return nil
	}
	var out []plannedMove
	available := int(d.share[to.id]) - d.counts[to.id]
	for _, id := range h.sortedRanges(func(r *rangeState) bool { return r.target != "" && !r.moving }) {
		from := h.ranges[id].target
		_, known := d.share[from]
		if id.Service != s || id.HotKey != 0 || !known || float64(d.counts[from]) <= math.Ceil(d.share[from]) || len(out) >= available {
			continue
		}
		d.counts[from]--
		out = append(out, plannedMove{id: id, to: to.id})
	}
	return out
}

// serviceLoads holds the measured load of a service's usable targets as a share
// of their slots, adjusted for planned moves.
type serviceLoads struct {
	targets     []*targetState
	utilisation map[core.Target]float64
	mean        float64
}

func (c *Coordinator) measuredLoads(now core.Instant, s core.Service) serviceLoads {
	l := serviceLoads{utilisation: make(map[core.Target]float64)}
	var used, capacity float64
	for _, ts := range c.holder.sortedTargets() {
		if ts.policy.Service != s || !ts.usable() || ts.loadAt == 0 || now.Sub(ts.loadAt) > loadMaxAge {
			continue
		}
		l.targets = append(l.targets, ts)
		l.utilisation[ts.id] = ts.load.Utilisation + float64(ts.load.Queued)/float64(max(1, ts.policy.Slots))
		used += l.utilisation[ts.id] * ts.policy.Capacity()
		capacity += ts.policy.Capacity()
	}
	l.mean = used / max(capacity, 1e-9)
	return l
}

// extremes returns the most and the least loaded target, nil if there is none.
func (l *serviceLoads) extremes() (most, least *targetState) {
	for _, ts := range l.targets {
		if most == nil || l.utilisation[ts.id] > l.utilisation[most.id] {
			most = ts
		}
		if least == nil || l.utilisation[ts.id] < l.utilisation[least.id] {
			least = ts
		}
	}
	return most, least
}

// planByLoad plans moves from the most to the least loaded target while the
// excess over the mean is above the policy's threshold.
func (c *Coordinator) planByLoad(now core.Instant, s core.Service) []plannedMove {
	l := c.measuredLoads(now, s)
	planned := make(map[core.RangeID]bool)
	var out []plannedMove
	for len(out) < c.policy.Control.MovesInFlight {
		from, to := l.extremes()
		if from == nil || from == to {
			break
		}
		excess := l.utilisation[from.id] - l.mean
		if excess < minExcess || excess < l.mean*c.policy.Control.MoveThreshold {
			break
		}
		id, reduction := c.bestMove(now, &l, from, to, excess, planned)
		if reduction == 0 {
			break
		}
		planned[id] = true
		out = append(out, plannedMove{id: id, to: to.id})
		l.utilisation[from.id] -= reduction
		l.utilisation[to.id] += reduction * from.policy.Capacity() / to.policy.Capacity()
	}
	return out
}

// bestMove returns the range whose move reduces the greater load of the two
// targets most, and by how much it reduces the load of the first one. Hot keys
// are preferred, as their move affects a single key.
func (c *Coordinator) bestMove(now core.Instant, l *serviceLoads, from, to *targetState, excess float64, planned map[core.RangeID]bool) (core.RangeID, float64) {
	var best core.RangeID
	var bestReduction, bestValue float64
	for _, id := range c.holder.sortedRanges(func(r *rangeState) bool { return r.target == from.id && !r.moving }) {
		reduction := from.loadShare(from.load.Ranges[id])
		after := l.utilisation[to.id] + reduction*from.policy.Capacity()/to.policy.Capacity()
		gain := l.utilisation[from.id] - max(l.utilisation[from.id]-reduction, after)
		least, weight := minGain, 1.0
		if id.HotKey != 0 {
			least, weight = minHotGain, minGain/minHotGain
		}
		if planned[id] || gain < excess*least || id.HotKey != 0 && !c.hotKeyKnown(now, id) {
			continue
		}
		if value := gain * weight; value > bestValue {
			best, bestReduction, bestValue = id, reduction, value
		}
	}
	return best, bestReduction
}
