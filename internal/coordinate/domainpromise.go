package coordinate

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/platformlog"
)

// domainPromises holds the promises between holders of different failure domains.
// While its promise is valid, a holder does not act on a record that declares the
// other failure domain lost.
type domainPromises struct {
	nextRequestAt core.Instant
	// receivedUntil and givenUntil hold the expiry of promises, keyed by the
	// other failure domain.
	receivedUntil, givenUntil map[core.FailureDomain]core.Instant
}

// giveDomainPromise grants or denies a promise to the holder of another failure
// domain. Only a holder grants one; its successor waits until it has expired.
func (c *Coordinator) giveDomainPromise(now core.Instant, request PromiseRequest) bool {
	if c.holder == nil || c.logState.DomainState(request.FailureDomain) == platformlog.DomainLost {
		return false
	}
	if c.domainPromises.givenUntil == nil {
		c.domainPromises.givenUntil = make(map[core.FailureDomain]core.Instant)
	}
	c.domainPromises.givenUntil[request.FailureDomain] = now.Add(core.PlusDrift(core.PromiseLease))
	return true
}

func (c *Coordinator) receiveDomainPromise(m PromiseDone) {
	if !m.Reply.Granted {
		return
	}
	if c.domainPromises.receivedUntil == nil {
		c.domainPromises.receivedUntil = make(map[core.FailureDomain]core.Instant)
	}
	from := c.view.Members[m.From].FailureDomain
	c.domainPromises.receivedUntil[from] = max(c.domainPromises.receivedUntil[from], m.Sent.Add(core.MinusDrift(core.PromiseLease)))
}

// domainAuthority reports whether services with isolation = yield may be served:
// the log is fresh, or promises prove that no other failure domain takes over
// their ranges.
func (c *Coordinator) domainAuthority(now core.Instant) bool {
	if c.authority.logFresh(now) {
		return true
	}
	for _, other := range c.otherDomains() {
		if !now.Before(c.domainPromises.receivedUntil[other]) {
			return false
		}
	}
	return true
}

// otherDomains returns the failure domains that could take over ranges of this
// one.
func (c *Coordinator) otherDomains() []core.FailureDomain {
	var out []core.FailureDomain
	for _, other := range c.policy.FailureDomains {
		if other != c.domain && c.isDomainIn(other) {
			out = append(out, other)
		}
	}
	return out
}

// requestDomainPromises requests promises from the holders of the other failure
// domains while the last read of the log is older than half the log lease.
func (c *Coordinator) requestDomainPromises(now core.Instant) {
	d := &c.domainPromises
	logCurrent := c.authority.hasRead && now.Sub(c.authority.lastReadAt) < core.LogLease/2
	if logCurrent || now.Before(d.nextRequestAt) {
		return
	}
	d.nextRequestAt = now.Add(promiseInterval)
	for _, other := range c.otherDomains() {
		m := c.foreignMaps[other]
		if m == nil {
			continue
		}
		if holder, ok := c.view.Members[m.Holder]; ok {
			c.emit(SendPromiseRequest{To: holder.Info, Request: PromiseRequest{
				FailureDomain: c.domain, Term: c.holder.role.Term, Rank: c.holder.role.Rank,
				Holder: c.vm, Offset: c.logState.Offset,
			}})
		}
	}
}

// lostGrantsEndAt returns when all grants of a lost failure domain have ended.
// First its log lease or the last promise to it expires, then the holder's
// confirmation at its fronts, and then their last grants.
func (c *Coordinator) lostGrantsEndAt(other core.FailureDomain) core.Instant {
	authority := c.delegationLearnedAt.Add(core.PlusDrift(core.LogLease))
	authority = max(authority, c.domainPromises.givenUntil[other], max(c.holder.startedAt, c.authority.previousClosedAt).Add(core.PlusDrift(core.PromiseLease)))
	return authority.Add(core.PlusDrift(grant.HolderLease + core.GrantLease))
}

// recordForeignMap records which VMs store the request ids of another failure
// domain's ranges, in case the ranges move to this one.
func (c *Coordinator) recordForeignMap(now core.Instant, m *core.RangeMap) {
	if old := c.foreignMaps[m.FailureDomain]; old != nil && !old.Version.Less(m.Version) {
		return
	}
	c.foreignMaps[m.FailureDomain] = m
	for id, r := range m.Ranges {
		if r.Target == "" || r.State == core.RangeMoving {
			// A moving range was not served under the current token of its target.
			continue
		}
		t := m.Targets[r.Target]
		c.foreignMemories[id] = rangeMemory{at: now, vms: append([]core.VM{t.Front}, t.Witnesses...), since: t.Token}
	}
}

// rangeMemory lists the VMs that store request ids of another failure domain's
// range.
type rangeMemory struct {
	at  core.Instant
	vms []core.VM
	// since is the smallest token for which the VMs store all request ids.
	since core.Token
}

// foreignMemory returns the VMs of another failure domain that may store request
// ids of a range, and the smallest token for which they store all of them.
func (c *Coordinator) foreignMemory(now core.Instant, id core.RangeID, retention time.Duration) ([]core.VM, core.Token) {
	if m, ok := c.foreignMemories[id]; ok && now.Sub(m.at) < retention {
		return m.vms, m.since
	}
	return nil, core.Token{}
}
