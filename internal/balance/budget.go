package balance

import (
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/routing"
)

// RetryLimits bound the attempts beyond the first of each request, over all
// VMs of the deployment in any window.
type RetryLimits struct {
	// Ratio is the share of the requests.
	Ratio float64
	// Extra comes on top of it.
	Extra float64
}

const (
	// Each VM uses these parts of what is allowed. The rest covers requests that
	// ended before they were counted and a roster that is out of date.
	ratioPart = 0.8
	extraPart = 0.6
	// hedgeReserve is the part of the extra that hedges leave to retries.
	hedgeReserve = 0.5
)

// budget is a token bucket for the retries of one service. It earns by the
// VM's own traffic, so that the VMs together keep the limits.
type budget struct {
	tokens float64
	known  bool
}

func (b *budget) size(l RetryLimits, members int) float64 {
	return max(1, l.Extra*extraPart/float64(max(members, 1)))
}

// earn counts a request.
func (b *budget) earn(l RetryLimits, members int) {
	size := b.size(l, members)
	if !b.known {
		b.tokens, b.known = size, true
	}
	b.tokens = min(size, b.tokens+l.Ratio*ratioPart)
}

// spend takes a token and reports whether there was one.
func (b *budget) spend(kind AttemptKind, l RetryLimits, members int) bool {
	least := 1.0
	if kind == Hedge {
		least += b.size(l, members) * hedgeReserve
	}
	if b.tokens < least {
		return false
	}
	b.tokens--
	return true
}

const (
	// coldSharers is how many VMs send to a cold target. Few of them keep the
	// sum of their bursts small; for keys with one owner more are needed, as no
	// other target can take the request.
	coldSharers    = 3
	coldKeySharers = 8
	// coldPart is the part of the rate that is used, as VMs may disagree for a
	// moment on who shares.
	coldPart  = 0.6
	coldBurst = 1.0
)

// coldGate limits a VM's requests to a cold target.
type coldGate struct {
	tokens float64
	at     core.Instant
	known  bool
}

// ready fills the bucket and reports whether a request may be sent. The rate of
// the service is over all VMs.
func (g *coldGate) ready(now core.Instant, s routing.Service, members int) bool {
	if s.ColdRate <= 0 {
		return true
	}
	if !g.known {
		g.tokens, g.known = coldBurst, true
	}
	rate := s.ColdRate * coldPart / float64(max(1, min(sharers(s), members)))
	g.tokens = min(coldBurst, g.tokens+rate*now.Sub(g.at).Seconds())
	g.at = now
	return g.tokens >= 1
}

// allow takes a token if this VM, by its rank, may send and there is one.
func (g *coldGate) allow(now core.Instant, s routing.Service, rank, members int) bool {
	if s.ColdRate <= 0 {
		return true
	}
	if rank >= sharers(s) || !g.ready(now, s, members) {
		return false
	}
	g.tokens--
	return true
}

func sharers(s routing.Service) int {
	if s.DividedByKey {
		return coldKeySharers
	}
	return coldSharers
}
