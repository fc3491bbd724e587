package coordinate

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
)

// releaseRetry is the pause before a released record is repeated.
const releaseRetry = time.Second

// release is the progress of giving up ranges for a delegation.
type release struct {
	record platformlog.Record
	sentAt core.Instant
}

// releaseAway begins to give up ranges whose home is elsewhere by now, and
// keeps those that have returned before they were given up.
func (c *Coordinator) releaseAway() {
	h := c.holder
	for id, r := range h.ranges {
		switch homed := c.isHomed(id); {
		case !homed && r.target != "" && !(r.moving && r.to == ""):
			h.startMove(r, "")
		case !homed && r.target == "":
			// It may be another failure domain's by the time it returns.
			r.held = false
		case homed && r.moving && r.to == "":
			r.moving = false
			h.dirty = true
		}
	}
}

// gainable reports whether ranges that this failure domain has not held may be
// taken: all others have released theirs or are lost for long enough. Others
// than the last home count too, since it may have had the range from a third
// one that has not released it yet.
func (c *Coordinator) gainable(now core.Instant) bool {
	d := c.folded.Delegation
	if d.Number == 0 {
		return true
	}
	for _, other := range c.policy.FailureDomains {
		switch {
		case other == c.domain:
		case c.folded.DomainState(other) == platformlog.DomainLost:
			if now.Before(c.lostEnds(other)) {
				return false
			}
		case !d.Released[other]:
			return false
		}
	}
	return true
}

// finishRelease appends that everything is given up whose home is elsewhere.
func (c *Coordinator) finishRelease(now core.Instant) {
	h := c.holder
	number := c.folded.Delegation.Number
	if number == 0 || c.folded.Delegation.Released[c.domain] || !c.releasable(now, number) {
		return
	}
	p := &h.release
	if p.record.Base != number {
		c.records++
		p.record = platformlog.Record{
			Kind: platformlog.KindReleased, ID: c.recordID(), Author: string(c.vm),
			Base: number, FailureDomain: c.domain,
		}
	} else if now.Sub(p.sentAt) < releaseRetry {
		return
	}
	p.sentAt = now
	c.emit(Append{Record: p.record})
}

// releasable reports whether no target of this failure domain can hold a range
// whose home is elsewhere, and no candidate can act without knowing that.
func (c *Coordinator) releasable(now core.Instant, number uint64) bool {
	h := c.holder
	for id, r := range h.ranges {
		if (r.target != "" || r.assumed != "") && !c.isHomed(id) {
			return false
		}
	}
	for _, x := range h.targets {
		if !x.fenced && !x.added && !c.accounted(x.policy.Service) {
			return false
		}
	}
	for _, set := range c.authority.sets(now) {
		// One candidate that has read the delegation promises nothing to others
		// that have not.
		reads := func(vm core.VM) bool { return c.authority.offsets[vm] >= number }
		if len(set) >= 2 && !slices.ContainsFunc(set, reads) {
			return false
		}
	}
	return true
}
