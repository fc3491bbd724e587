package balance

import (
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/routing"
)

// RetryLimits bound the retries and hedges of all VMs of the deployment in any
// time window.
type RetryLimits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of retries allowed in addition to Ratio.
	Extra float64
	// returnsFirst leaves the budget to callers that return after a rejection, while
	// it is short. A request that is rejected when new comes back by itself.
	returnsFirst bool
	// used are the fractions of the limits that the VMs use.
	used budgetFractions
}

// budgetFractions are the fractions of Ratio and Extra that the VMs use. The rest
// covers requests that ended before they were counted and a roster that is out of
// date.
type budgetFractions struct{ ratio, extra float64 }

var (
	defaultFractions = budgetFractions{ratio: 0.8, extra: 0.6}
	// loadControlFractions leaves less aside: a VM counts a request when it arrives,
	// before it can cause a retry, so that only the extra has to cover the rest.
	loadControlFractions = budgetFractions{ratio: 0.95, extra: 0.7}
)

// budgetLimits returns the retry limits for a service.
func budgetLimits(l RetryLimits, s routing.Service) RetryLimits {
	l.used = defaultFractions
	if s.LoadControl {
		l.used, l.returnsFirst = loadControlFractions, true
	}
	return l
}

const (
	// hedgeReserve is the fraction of a VM's bucket that hedges leave for retries.
	hedgeReserve = 0.5
	// newRequestReserve is the fraction of a VM's bucket beyond one retry that new
	// requests leave for returning ones under load control.
	newRequestReserve = 0.8
)

// retryBudget is a token bucket for the retries of one service. It is filled by
// the VM's own traffic, so that the VMs together keep the limits.
type retryBudget struct {
	tokens      float64
	initialized bool
}

func (b *retryBudget) capacity(l RetryLimits, members int) float64 {
	return max(1, l.Extra*l.used.extra/float64(max(members, 1)))
}

// deposit adds the tokens that one request earns.
func (b *retryBudget) deposit(l RetryLimits, members int) {
	size := b.capacity(l, members)
	if !b.initialized {
		b.tokens, b.initialized = size, true
	}
	b.tokens = min(size, b.tokens+l.Ratio*l.used.ratio)
}

// withdraw takes a token and reports whether one was available.
func (b *retryBudget) withdraw(req SelectTarget, l RetryLimits, members int) bool {
	required := 1.0
	switch {
	case req.Kind == Hedge:
		required += b.capacity(l, members) * hedgeReserve
	case l.returnsFirst && req.Waited == 0:
		required += (b.capacity(l, members) - 1) * newRequestReserve
	}
	if b.tokens < required {
		return false
	}
	b.tokens--
	return true
}

const (
	// coldSenders is how many VMs send to a cold target; a small number keeps the
	// sum of their bursts small. Sharded services need more, as no other target
	// can take the requests for a key.
	coldSenders        = 3
	coldShardedSenders = 8
	// coldRateFraction is the fraction of the cold rate that is used, as VMs may
	// briefly disagree on which of them send.
	coldRateFraction = 0.6
	coldBurst        = 1.0
)

// coldLimiter limits a VM's requests to a cold target.
type coldLimiter struct {
	tokens      float64
	refilledAt  core.Instant
	initialized bool
}

// refill adds the tokens earned since the last call and reports whether a
// request may be sent. The cold rate of the service is shared by the VMs that
// send.
func (l *coldLimiter) refill(now core.Instant, s routing.Service, members int) bool {
	if s.ColdRate <= 0 {
		return true
	}
	if !l.initialized {
		l.tokens, l.initialized = coldBurst, true
	}
	rate := s.ColdRate * coldRateFraction / float64(max(1, min(maxColdSenders(s), members)))
	l.tokens = min(coldBurst, l.tokens+rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	return l.tokens >= 1
}

// allow takes a token and reports whether a request may be sent. That takes a
// rank among the VMs that send and an available token.
func (l *coldLimiter) allow(now core.Instant, s routing.Service, rank, members int) bool {
	if s.ColdRate <= 0 {
		return true
	}
	if rank >= maxColdSenders(s) || !l.refill(now, s, members) {
		return false
	}
	l.tokens--
	return true
}

func maxColdSenders(s routing.Service) int {
	if s.Sharded {
		return coldShardedSenders
	}
	return coldSenders
}
