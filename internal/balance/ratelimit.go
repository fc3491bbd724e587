package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// A target may get 1.5 times its rate limit and 5 requests more in 4 s (LIMIT of
// the users' rules), summed over the VMs. The VMs don't tell each other what they
// send, so each has a fixed part of the limit. The constants keep the sum of all
// rates, buckets and probes below the bound.
const (
	// Up to sharersPerLimit times the limit, and baseSharers more, VMs share it, as
	// each needs a bucket of one request. If that is all VMs, the sum of their rates
	// is allShare of the limit, as VMs with few callers leave some of theirs; if it
	// is all that usually send to the target, the limit; otherwise someShare of it.
	sharersPerLimit = 1.2
	baseSharers     = 5
	allShare        = 1.2
	someShare       = 0.7
	// burstShare is the part of what the bound allows beyond the rates that the
	// buckets hold together. The rest is for VMs that disagree on the members.
	burstShare = 0.8
	// The other VMs send one request each in turn, so that they notice when the
	// limit has been lifted: together 1/probeDivisor of the limit, each in a slot of
	// at least minProbeSlot.
	probeDivisor = 3
	minProbeSlot = 2 * time.Second
)

// rateLimiter is the token bucket of this VM for a target that names a rate limit.
type rateLimiter struct {
	tokens     float64
	refilledAt core.Instant
	probedAt   core.Instant
}

// limitPart is a VM's part of a rate limit.
type limitPart struct {
	// perSecond and burst are the rate and the size of the VM's bucket.
	perSecond, burst float64
	// If the VM has no bucket, it may send one request in each probeSlot that
	// begins at probeOffset in every probeInterval.
	probeInterval, probeOffset, probeSlot time.Duration
}

// divideLimit returns the part of the VM with the given rank, of users that
// regularly send to the target and members of the deployment.
func divideLimit(limit float64, rank, users, members int) limitPart {
	sharers, share := users, 1.0
	extra := sharersPerLimit*limit + baseSharers
	switch {
	case float64(users) > extra:
		sharers, share = int(extra), someShare
	case users == members:
		share = allShare
	}
	if rank < sharers {
		rate := limit * share / float64(sharers)
		return limitPart{perSecond: rate, burst: max(1, burstShare*extra/float64(sharers))}
	}
	others := max(members-sharers, 1)
	slot := time.Duration(probeDivisor / limit * float64(time.Second))
	return limitPart{
		probeInterval: slot * time.Duration(others),
		probeOffset:   slot * time.Duration(max(0, rank-sharers)%others),
		probeSlot:     max(slot, minProbeSlot),
	}
}

// ready adds the tokens earned since the last call and reports whether a request
// may be sent.
func (l *rateLimiter) ready(now core.Instant, p limitPart) bool {
	if p.probeInterval > 0 {
		inInterval := (time.Duration(now) - p.probeOffset) % p.probeInterval
		return inInterval < p.probeSlot && now.Sub(l.probedAt) >= p.probeSlot
	}
	l.tokens = min(p.burst, l.tokens+p.perSecond*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	return l.tokens >= 1
}

// take uses a token after ready.
func (l *rateLimiter) take(now core.Instant) {
	l.tokens = max(0, l.tokens-1)
	l.probedAt = now
}

// nextToken returns the time until a request may be sent again.
func (l *rateLimiter) nextToken(p limitPart) time.Duration {
	if p.perSecond <= 0 {
		return unavailableRetryAfter
	}
	return time.Duration((1 - l.tokens) / p.perSecond * float64(time.Second))
}

// limitPart returns this VM's part of a target's rate limit.
func (b *Balancer) limitPart(t *target) limitPart {
	members := b.memberCount()
	users := members
	if count := len(b.view.ByService[t.Service]); !b.services[t.Service].Sharded && count > subsetSize {
		users = min(users, subsetUsers(users, count))
	}
	return divideLimit(t.announced.RateLimit, t.rank, users, members)
}

// withinRateLimit reports whether the target's rate limit, if it names one,
// allows this VM to send a request.
func (b *Balancer) withinRateLimit(now core.Instant, t *target) bool {
	return t.announced.RateLimit <= 0 || t.rateLimiter.ready(now, b.limitPart(t))
}

// rejectLimited rejects a request because of the target's rate limit.
func (b *Balancer) rejectLimited(now core.Instant, t *target) Decision {
	d := b.rejectOverloaded(now, t, "rate-limit")
	d.RetryAfter = min(max(t.rateLimiter.nextToken(b.limitPart(t)), minRetryAfter), maxRetryAfter)
	return d
}
