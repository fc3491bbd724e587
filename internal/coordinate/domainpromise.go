package coordinate

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/platformlog"
)

// domainPromises are the promises between the holders of failure domains: the
// giver follows no record that declares the other one lost.
type domainPromises struct {
	askAt core.Instant
	// got and given hold the ends of promises by the other failure domain.
	got, given map[core.FailureDomain]core.Instant
}

// giveDomain decides on a promise to the holder of another failure domain. Only
// a holder can give one: its successor waits until it has expired.
func (c *Coordinator) giveDomain(now core.Instant, ask Ask) bool {
	if c.holder == nil || c.folded.DomainState(ask.FailureDomain) == platformlog.DomainLost {
		return false
	}
	if c.domains.given == nil {
		c.domains.given = make(map[core.FailureDomain]core.Instant)
	}
	c.domains.given[ask.FailureDomain] = now.Add(core.PlusDrift(core.PromiseLease))
	return true
}

func (c *Coordinator) receiveDomain(m PromiseAnswered) {
	if !m.Answer.Granted {
		return
	}
	if c.domains.got == nil {
		c.domains.got = make(map[core.FailureDomain]core.Instant)
	}
	from := c.view.Members[m.From].FailureDomain
	c.domains.got[from] = max(c.domains.got[from], m.Sent.Add(core.MinusDrift(core.PromiseLease)))
}

// domainAuthority reports the right to serve ranges with isolation = yield: no
// other failure domain takes them.
func (c *Coordinator) domainAuthority(now core.Instant) bool {
	if c.authority.fresh(now) {
		return true
	}
	for _, other := range c.otherDomains() {
		if !now.Before(c.domains.got[other]) {
			return false
		}
	}
	return true
}

// otherDomains are those that could take ranges of this one.
func (c *Coordinator) otherDomains() []core.FailureDomain {
	var out []core.FailureDomain
	for _, other := range c.policy.FailureDomains {
		if other != c.domain && c.isIn(other) {
			out = append(out, other)
		}
	}
	return out
}

// askDomains asks the other failure domains' holders for promises while the log
// is not read as usual.
func (c *Coordinator) askDomains(now core.Instant) {
	d := &c.domains
	quiet := c.authority.hasRead && now.Sub(c.authority.read) < core.LogLease/2
	if quiet || now.Before(d.askAt) {
		return
	}
	d.askAt = now.Add(promiseInterval)
	for _, other := range c.otherDomains() {
		m := c.foreign[other]
		if m == nil {
			continue
		}
		if holder, ok := c.view.Members[m.Holder]; ok {
			c.emit(AskPromise{To: holder.Info, Ask: Ask{
				FailureDomain: c.domain, Term: c.holder.role.Term, Rank: c.holder.role.Rank,
				Holder: c.vm, Offset: c.folded.Offset,
			}})
		}
	}
}

// lostEnds is when the grants of a lost failure domain's targets have ended: it
// notices by the log or its last promise ends, its fronts lose the holder's
// confirmation, and their last grants end.
func (c *Coordinator) lostEnds(other core.FailureDomain) core.Instant {
	authority := c.delegatedAt.Add(core.PlusDrift(core.LogLease))
	authority = max(authority, c.domains.given[other], max(c.holder.began, c.authority.closedSince).Add(core.PlusDrift(core.PromiseLease)))
	return authority.Add(core.PlusDrift(grant.HolderLease + core.GrantLease))
}

// remember notes which VMs hold the request ids of another failure domain's
// ranges, should they come to this one.
func (c *Coordinator) rememberForeign(now core.Instant, m *core.RangeMap) {
	if old := c.foreign[m.FailureDomain]; old != nil && !old.Version.Less(m.Version) {
		return
	}
	c.foreign[m.FailureDomain] = m
	for id, r := range m.Ranges {
		if r.Target == "" || r.State == core.RangeMoving {
			// The token of a moving range's target is not one that it was served under.
			continue
		}
		t := m.Targets[r.Target]
		c.memories[id] = memory{at: now, vms: append([]core.VM{t.Front}, t.Witnesses...), since: t.Token}
	}
}

// memory are the VMs that hold request ids of a range of another failure domain.
type memory struct {
	at  core.Instant
	vms []core.VM
	// since is the least token of a complete memory.
	since core.Token
}

// recall returns the VMs that may hold a range's request ids from another
// failure domain, and the least token of a complete memory there.
func (c *Coordinator) recall(now core.Instant, id core.RangeID, remember time.Duration) ([]core.VM, core.Token) {
	if m, ok := c.memories[id]; ok && now.Sub(m.at) < remember {
		return m.vms, m.since
	}
	return nil, core.Token{}
}
