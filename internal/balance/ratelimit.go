package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// A target may get boundFactor times its rate limit and boundExtra requests more
	// in boundWindow, summed over the VMs (LIMIT of the users' rules). The VMs don't
	// tell each other what they send, so each has a fixed part: the sum of all rates,
	// buckets and probes stays below the bound.
	boundFactor = 1.5
	boundExtra  = 5
	boundWindow = 4 * time.Second
	// Up to sharersPerLimit times the limit, and boundExtra more, VMs share it, as
	// each needs a bucket of one request.
	sharersPerLimit = 1.2
	// maxShare bounds the sum of their rates, relative to the limit. It exceeds 1, as
	// VMs with few callers leave some of theirs.
	maxShare = 1.2
	// bucketShare is the size of all buckets together, relative to the largest
	// number of sharers.
	bucketShare = 0.8
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
	most := sharersPerLimit*limit + boundExtra
	sharers := min(users, int(most))
	others := max(members-sharers, 0)
	turn := time.Duration(probeDivisor / limit * float64(time.Second))
	slot := max(turn, minProbeSlot)
	if rank >= sharers {
		return limitPart{
			probeInterval: turn * time.Duration(max(others, 1)),
			probeOffset:   turn * time.Duration((rank-sharers)%max(others, 1)),
			probeSlot:     slot,
		}
	}
	window := boundWindow.Seconds()
	buckets := max(float64(sharers), bucketShare*most)
	// A window contains or cuts this many slots; each VM sends at most once in each
	// minProbeSlot.
	probes := min((window+slot.Seconds())/turn.Seconds(), float64(others)*(window/minProbeSlot.Seconds()+1))
	rate := min(maxShare*limit, (boundFactor*window*limit+boundExtra-buckets-probes)/window)
	return limitPart{perSecond: rate / float64(sharers), burst: buckets / float64(sharers)}
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

// withinRateLimit reports whether the target's rate limit, if it names one, and the
// admission of a saturated target allow this VM to send a request.
func (b *Balancer) withinRateLimit(now core.Instant, t *target, req SelectTarget) bool {
	if !b.admitted(now, t, req) {
		return false
	}
	return t.announced.RateLimit <= 0 || t.rateLimiter.ready(now, b.limitPart(t))
}

// rejectLimited rejects a request because of the target's rate limit or admission.
func (b *Balancer) rejectLimited(now core.Instant, t *target, req SelectTarget) Decision {
	if !b.admitted(now, t, req) {
		return b.rejectAdmission(now, t)
	}
	d := b.rejectOverloaded(now, t, "rate-limit")
	d.RetryAfter = min(max(t.rateLimiter.nextToken(b.limitPart(t)), minRetryAfter), maxRetryAfter)
	return d
}
