package coordinate

import (
	"math"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// frontMoveInterval is the minimum interval between changes of front that only
// balance the number of targets per VM.
const frontMoveInterval = 2 * time.Second

// assignFronts assigns a new front to each target whose front is unavailable.
func (c *Coordinator) assignFronts(now core.Instant) {
	h := c.holder
	for _, ts := range h.sortedTargets() {
		if !ts.fenced || ts.lost || ts.removed != 0 {
			continue
		}
		if c.canFront(now, ts, ts.front) {
			if c.view.Members[ts.front].Incarnation != ts.frontIncarnation {
				// The process was replaced and has lost its request ids.
				c.setFront(now, ts, ts.front)
				ts.reissue = true
			}
			continue
		}
		if !ts.policy.ChecksGrants && ts.front != "" && (now.Before(ts.otherGrantsEndAt) || !c.renewalsStopped(now, ts)) {
			continue // such a target does not reject a second front's orders
		}
		if vm := c.pickFront(now, ts); vm != "" && vm != ts.front {
			c.setFront(now, ts, vm)
		}
	}
	c.balanceFronts(now)
}

func (c *Coordinator) canFront(now core.Instant, ts *targetState, vm core.VM) bool {
	m, ok := c.view.Members[vm]
	return ok && m.Live && !m.Leaving && m.FailureDomain == c.domain && !now.Before(ts.avoidUntil[vm])
}

// pickFront returns the VM with the greatest score among the eligible VMs below
// their share of targets. If there is none, it returns the current front if that
// is live, or else the live VM with the greatest score.
func (c *Coordinator) pickFront(now core.Instant, ts *targetState) core.VM {
	counts, share := c.frontCounts()
	var best, fallback core.VM
	var bestScore, fallbackScore float64
	for _, vm := range c.view.Live(c.domain) {
		score := core.RendezvousScore(string(ts.id), string(vm), float64(c.view.Members[vm].Capacity))
		if fallback == "" || score > fallbackScore {
			fallback, fallbackScore = vm, score
		}
		if c.canFront(now, ts, vm) && float64(counts[vm]) < math.Floor(share[vm])+1 && (best == "" || score > bestScore) {
			best, bestScore = vm, score
		}
	}
	if best != "" {
		return best
	}
	if m, ok := c.view.Members[ts.front]; ok && m.Live {
		return ts.front
	}
	return fallback
}

// frontCounts returns for each VM the number of targets that it is the front of
// and the share that corresponds to its capacity.
func (c *Coordinator) frontCounts() (map[core.VM]int, map[core.VM]float64) {
	counts := make(map[core.VM]int)
	for _, ts := range c.holder.targets {
		counts[ts.front]++
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

func (c *Coordinator) setFront(now core.Instant, ts *targetState, vm core.VM) {
	if ts.front != "" {
		// Only these VMs store request ids that were sent under the last token.
		ts.previous, ts.previousAt, ts.previousSince = ts.memoryVMs(), now, ts.token
		for _, r := range c.holder.ranges {
			if r.target == ts.id {
				// The old front may have sent requests for the range since it was
				// assigned, so the request ids from before its last move are
				// incomplete.
				r.memoryAt, r.memorySince, r.firstFor = nil, core.Token{}, 0
			}
		}
		ts.oldRequestsEndAt = max(ts.oldRequestsEndAt, now.Add(core.PlusDrift(core.GrantLease)))
	}
	ts.front, ts.frontIncarnation = vm, c.view.Members[vm].Incarnation
	c.holder.dirty = true
}

// balanceFronts moves one target at a time from a VM that is the front of more
// targets than its share to one that is below its share.
func (c *Coordinator) balanceFronts(now core.Instant) {
	h := c.holder
	if now.Sub(h.balance.frontMovedAt) < frontMoveInterval || now.Sub(h.startedAt) < frontMoveInterval {
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
	for _, ts := range h.sortedTargets() {
		if ts.fenced && !ts.lost && ts.confirmed == ts.token && ts.policy.ChecksGrants &&
			float64(counts[ts.front]) >= share[ts.front]+1 && c.canFront(now, ts, to) {
			c.setFront(now, ts, to)
			h.balance.frontMovedAt = now
			return
		}
	}
}

// chooseWitnesses keeps the eligible witnesses and adds others up to the number
// that the policy sets.
func (c *Coordinator) chooseWitnesses(ts *targetState) []core.VM {
	want := c.policy.Control.Witnesses
	var out []core.VM
	isEligible := func(vm core.VM) bool {
		m := c.view.Members[vm]
		return len(out) < want && m.Live && !m.Leaving && vm != ts.front && !slices.Contains(out, vm)
	}
	for _, vm := range ts.witnesses {
		if isEligible(vm) {
			out = append(out, vm)
		}
	}
	live := c.view.Live(c.domain)
	slices.SortFunc(live, func(a, b core.VM) int {
		if core.RendezvousScore(string(ts.id), string(a), 1) > core.RendezvousScore(string(ts.id), string(b), 1) {
			return -1
		}
		return 1
	})
	for _, vm := range live {
		if isEligible(vm) {
			out = append(out, vm)
		}
	}
	return out
}
