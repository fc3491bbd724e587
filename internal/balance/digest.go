package balance

import (
	"math/rand/v2"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/loadview"
)

const (
	// digestFullAge is the age up to which a digest counts fully. Its weight then
	// falls to 0 at loadview.EntryTTL.
	digestFullAge = time.Second
	// admissionBurst is the time whose share a VM may send at once, but at least one
	// request.
	admissionBurst = 250 * time.Millisecond
	// minAdmissionWeight bounds the share that an old digest leaves.
	minAdmissionWeight = 0.1
)

// digested is the leader's entry for a target.
type digested struct {
	// at is when the entry was last known to be current, or zero if there is none.
	at         core.Instant
	generation uint64
	admission  admission
}

// weight returns the weight of the entry, from 1 to 0.
func (d *digested) weight(now core.Instant) float64 {
	age := now.Sub(d.at)
	switch {
	case d.at == 0 || age >= loadview.EntryTTL:
		return 0
	case age <= digestFullAge:
		return 1
	}
	return float64(loadview.EntryTTL-age) / float64(loadview.EntryTTL-digestFullAge)
}

// admission is the token bucket of this VM for a target under admission.
type admission struct {
	// perSecond is this VM's share, or 0 if it is not restricted.
	perSecond  float64
	tokens     float64
	refilledAt core.Instant
}

// set changes the share. The first token of a bucket comes at a random time within
// the time that it takes to fill, as the VMs would otherwise send their first requests
// at the same moment.
func (a *admission) set(now core.Instant, perSecond float64, random *rand.Rand) {
	switch {
	case perSecond <= 0:
		*a = admission{}
	case a.perSecond <= 0:
		*a = admission{perSecond: perSecond, tokens: random.Float64(), refilledAt: now}
	default:
		a.refill(now, 1)
		a.perSecond = perSecond
	}
}

// refill adds the tokens earned since the last call. The share grows as the weight of
// the digest falls.
func (a *admission) refill(now core.Instant, weight float64) {
	rate := a.perSecond / max(weight, minAdmissionWeight)
	most := max(1, rate*admissionBurst.Seconds())
	a.tokens = min(most, a.tokens+rate*max(0, now.Sub(a.refilledAt).Seconds()))
	a.refilledAt = now
}

func (a *admission) take() {
	if a.perSecond > 0 {
		a.tokens = max(0, a.tokens-1)
	}
}

// admitted reports whether the digest allows this VM to send a request to the target.
// It restricts the most urgent requests only: a share of the capacity keeps the
// target's queue short, and others are better answered late than rejected. A target
// that announced a limit to this VM is left to the VM's fixed part of that: two
// buckets in a row used half of the limit in simulations of 58 and 95 VMs.
func (b *Balancer) admitted(now core.Instant, t *target, req SelectTarget) bool {
	a := &t.digested.admission
	weight := t.digested.weight(now)
	if a.perSecond <= 0 || weight <= 0 || req.Priority > 0 || t.announced.RateLimit > 0 || !b.exchanged(t) {
		return true
	}
	a.refill(now, weight)
	return a.tokens >= 1
}

// rejectAdmission rejects a request because the VM has used its share of a saturated
// target.
func (b *Balancer) rejectAdmission(now core.Instant, t *target) Decision {
	d := b.rejectOverloaded(now, t, "admission")
	a := &t.digested.admission
	if a.perSecond > 0 {
		seconds := min((1-a.tokens)/a.perSecond, maxRetryAfter.Seconds())
		d.RetryAfter = max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
	}
	return d
}

// digestChanged takes over a digest. One of another process than the leader in the
// ledger is ignored, and so is one that a later one has overtaken.
func (b *Balancer) digestChanged(now core.Instant, m DigestChanged) {
	d, x := m.Digest, &b.exchange
	if d.Leader.VM == "" || d.Leader != b.owners.Leader || d.Sequence == 0 || now.Sub(m.AsOf) >= loadview.EntryTTL {
		return
	}
	if d.Leader == x.leader && (d.Sequence < x.sequence || m.AsOf.Before(x.asOf)) {
		return
	}
	if d.Full || d.Leader != x.leader {
		x.generation++
	}
	x.leader, x.sequence, x.asOf = d.Leader, d.Sequence, m.AsOf
	for _, e := range d.Entries {
		if e, ok := e.Bounded(); ok {
			b.takeEntry(now, m.AsOf, e)
		}
	}
	for _, t := range b.targets {
		if t.digested.at != 0 && t.digested.generation == x.generation {
			t.digested.at = m.AsOf
		}
	}
}

// takeEntry takes over the entry of a target's process.
func (b *Balancer) takeEntry(now, asOf core.Instant, e loadview.Entry) {
	t := b.targets[e.Target]
	if t == nil || t.StartedAt != e.StartedAt || !b.exchanged(t) {
		return
	}
	if e.Removed {
		t.digested = digested{}
		return
	}
	t.digested.at, t.digested.generation = asOf, b.exchange.generation
	t.digested.admission.set(now, e.Admit, b.random)
}
