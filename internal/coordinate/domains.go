package coordinate

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
)

// releaseRetryInterval is the delay before the append of a released record is
// retried.
const releaseRetryInterval = time.Second

// pendingRelease is the released record last appended for a delegation.
type pendingRelease struct {
	record     platformlog.Record
	lastSentAt core.Instant
}

// releaseForeignRanges starts to release the ranges that now belong to another
// failure domain, and cancels the release of those that belong to this one again.
func (c *Coordinator) releaseForeignRanges() {
	h := c.holder
	for id, r := range h.ranges {
		switch isHome := c.isHomeRange(id); {
		case !isHome && r.target != "" && !(r.moving && r.to == ""):
			h.startMove(r, "")
		case !isHome && r.target == "":
			// Another failure domain may own it before this one regains it.
			r.held = false
		case isHome && r.moving && r.to == "":
			r.moving = false
			h.dirty = true
		}
	}
}

// mayGainRanges reports whether ranges that this failure domain has not held may
// be assigned: every other failure domain has released its ranges or has been
// lost for long enough. This includes domains other than the range's last home,
// because that one may have gained the range from a third domain that has not
// released it yet.
func (c *Coordinator) mayGainRanges(now core.Instant) bool {
	d := c.logState.Delegation
	if d.Number == 0 {
		return true
	}
	for _, other := range c.policy.FailureDomains {
		switch {
		case other == c.domain:
		case c.logState.DomainState(other) == platformlog.DomainLost:
			if now.Before(c.lostGrantsEndAt(other)) {
				return false
			}
		case !d.Released[other]:
			return false
		}
	}
	return true
}

// finishRelease appends a released record once this failure domain holds no range
// that belongs to another.
func (c *Coordinator) finishRelease(now core.Instant) {
	h := c.holder
	number := c.logState.Delegation.Number
	if number == 0 || c.logState.Delegation.Released[c.domain] || !c.releasable(now, number) {
		return
	}
	p := &h.release
	if p.record.Base != number {
		c.recordCount++
		p.record = platformlog.Record{
			Kind: platformlog.KindReleased, ID: c.recordID(), Author: string(c.vm),
			Base: number, FailureDomain: c.domain,
		}
	} else if now.Sub(p.lastSentAt) < releaseRetryInterval {
		return
	}
	p.lastSentAt = now
	c.emit(Append{Record: p.record})
}

// releasable reports whether no target of this failure domain can hold a range
// that belongs to another, and no candidate can act without knowing the
// delegation.
func (c *Coordinator) releasable(now core.Instant, number uint64) bool {
	h := c.holder
	for id, r := range h.ranges {
		if (r.target != "" || r.assumed != "") && !c.isHomeRange(id) {
			return false
		}
	}
	for _, ts := range h.targets {
		if !ts.fenced && !ts.added && !c.allHoldingsKnown(ts.policy.Service) {
			return false
		}
	}
	for _, set := range c.authority.candidateSets(now) {
		// A candidate that has read the delegation grants no promise to one that
		// has not, so one such candidate in the set is enough.
		hasRead := func(vm core.VM) bool { return c.authority.peerOffsets[vm] >= number }
		if len(set) >= 2 && !slices.ContainsFunc(set, hasRead) {
			return false
		}
	}
	return true
}
