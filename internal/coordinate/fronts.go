package coordinate

import (
	"math"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// frontMovePause separates changes of front that only even out the load.
const frontMovePause = 2 * time.Second

// chooseFronts gives a front to each target whose front is gone.
func (c *Coordinator) chooseFronts(now core.Instant) {
	h := c.holder
	for _, x := range h.sortedTargets() {
		if !x.fenced || x.lost || x.removed != 0 {
			continue
		}
		if c.fitFront(now, x, x.front) {
			if c.view.Members[x.front].Incarnation != x.frontIncarnation {
				// The process was replaced, and with it the front's memory.
				c.setFront(now, x, x.front)
				x.reissue = true
			}
			continue
		}
		if !x.policy.ChecksGrants && x.front != "" && (now.Before(x.ends) || !c.stopped(now, x)) {
			continue // nothing but its front keeps such a target from two fronts
		}
		if vm := c.pickFront(now, x); vm != "" && vm != x.front {
			c.setFront(now, x, vm)
		}
	}
	c.evenFronts(now)
}

func (c *Coordinator) fitFront(now core.Instant, x *targetState, vm core.VM) bool {
	m, ok := c.view.Members[vm]
	return ok && m.Live && !m.Leaving && m.FailureDomain == c.domain && !now.Before(x.avoid[vm])
}

// pickFront returns the VM with the greatest score among those that front
// fewer targets than their share, or any live one if none fits.
func (c *Coordinator) pickFront(now core.Instant, x *targetState) core.VM {
	counts, share := c.frontCounts()
	var best, spare core.VM
	var bestScore, spareScore float64
	for _, vm := range c.view.Live(c.domain) {
		score := core.RendezvousScore(string(x.id), string(vm), float64(c.view.Members[vm].Capacity))
		if spare == "" || score > spareScore {
			spare, spareScore = vm, score
		}
		if c.fitFront(now, x, vm) && float64(counts[vm]) < math.Floor(share[vm])+1 && (best == "" || score > bestScore) {
			best, bestScore = vm, score
		}
	}
	if best != "" {
		return best
	}
	if m, ok := c.view.Members[x.front]; ok && m.Live {
		return x.front
	}
	return spare
}

// frontCounts returns how many targets each live VM fronts and its share.
func (c *Coordinator) frontCounts() (map[core.VM]int, map[core.VM]float64) {
	counts := make(map[core.VM]int)
	for _, x := range c.holder.targets {
		counts[x.front]++
	}
	var sum float64
	share := make(map[core.VM]float64)
	for _, vm := range c.view.Live(c.domain) {
		if m := c.view.Members[vm]; !m.Leaving {
			share[vm] = float64(m.Capacity)
			sum += share[vm]
		}
	}
	for vm := range share {
		share[vm] *= float64(len(c.holder.targets)) / max(sum, 1)
	}
	return counts, share
}

func (c *Coordinator) setFront(now core.Instant, x *targetState, vm core.VM) {
	if x.front != "" {
		// Only these had a part in what was sent under the last token.
		x.previous, x.previousAt, x.previousSince = x.memory(), now, x.token
		for _, r := range c.holder.ranges {
			if r.target == x.id {
				// The old front may have sent requests for the range since it came.
				r.memoryAt, r.memorySince, r.firstFor = nil, core.Token{}, 0
			}
		}
		x.quietAt = max(x.quietAt, now.Add(core.PlusDrift(core.GrantLease)))
	}
	x.front, x.frontIncarnation = vm, c.view.Members[vm].Incarnation
	c.holder.dirty = true
}

// evenFronts moves one target at a time from a VM that fronts more targets
// than its share to one that fronts fewer.
func (c *Coordinator) evenFronts(now core.Instant) {
	h := c.holder
	if now.Sub(h.balance.frontMovedAt) < frontMovePause || now.Sub(h.began) < frontMovePause {
		return
	}
	counts, share := c.frontCounts()
	var to core.VM
	for _, vm := range c.view.Live(c.domain) {
		if s, ok := share[vm]; ok && float64(counts[vm]) <= s-1 && (to == "" || counts[vm] < counts[to]) {
			to = vm
		}
	}
	if to == "" {
		return
	}
	for _, x := range h.sortedTargets() {
		if x.fenced && !x.lost && x.confirmed == x.token && x.policy.ChecksGrants &&
			float64(counts[x.front]) >= share[x.front]+1 && c.fitFront(now, x, to) {
			c.setFront(now, x, to)
			h.balance.frontMovedAt = now
			return
		}
	}
}

// chooseWitnesses keeps the witnesses that are alive and fills up their number.
func (c *Coordinator) chooseWitnesses(x *targetState) []core.VM {
	want := c.policy.Control.Witnesses
	var out []core.VM
	fit := func(vm core.VM) bool {
		m := c.view.Members[vm]
		return len(out) < want && m.Live && !m.Leaving && vm != x.front && !slices.Contains(out, vm)
	}
	for _, vm := range x.witnesses {
		if fit(vm) {
			out = append(out, vm)
		}
	}
	live := c.view.Live(c.domain)
	slices.SortFunc(live, func(a, b core.VM) int {
		if core.RendezvousScore(string(x.id), string(a), 1) > core.RendezvousScore(string(x.id), string(b), 1) {
			return -1
		}
		return 1
	})
	for _, vm := range live {
		if fit(vm) {
			out = append(out, vm)
		}
	}
	return out
}
