package route

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/estimate"
)

// avoidFor is how long a target that refused a request is chosen only if there
// is no other: several service times, so that a queue can drain.
const avoidFor = 100 * time.Millisecond

// spillFactor is how much worse the own failure domain's target must be before
// a request goes to another failure domain. With 2 to 4 the p99 of a service with
// two targets in each was a third of that without; the greatest keeps most
// requests at home.
const spillFactor = 4

// observed is what this VM has seen of a target.
type observed struct {
	// pending counts this VM's attempts under way.
	pending    int
	latency    estimate.Latency
	avoidUntil core.Instant
}

// candidate is a target that may be chosen for any request of its service.
type candidate struct {
	decision Decision
	observed *observed
}

func (r *Router) observed(t core.Target) *observed {
	o := r.targets[t]
	if o == nil {
		o = &observed{}
		r.targets[t] = o
	}
	return o
}

// choose takes the better of two random targets (Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing", 2001): of the own failure domain,
// unless its targets have refused lately or are far slower than others.
func (r *Router) choose(now core.Instant, s *service, m Lookup) Decision {
	near := r.better(now, s, s.near, m.Tried, false)
	far := r.better(now, s, s.far, m.Tried, false)
	switch {
	case near != nil && (far == nil || near.score(s) <= spillFactor*far.score(s)):
		return near.decision
	case far != nil:
		return far.decision
	}
	if m.Hedge {
		return Decision{Outcome: core.OutcomeNoOwner, Detail: "no other target is in service", Final: true}
	}
	for _, pool := range [2][]candidate{s.near, s.far} {
		if c := r.better(now, s, pool, m.Tried, true); c != nil {
			return c.decision
		}
	}
	return Decision{Outcome: core.OutcomeNoOwner, Detail: "no target of the service is in service"}
}

// probeShare is the share of choices that take the first sample whatever its
// score, as 1/n, so that the recovery of a slow target is seen. Choosing the
// straggler whenever both samples were the same target cost 7 ms of p99 in
// BenchmarkLoad, as a failure domain has only 2 to 5 targets of a service.
const probeShare = 64

// better takes two different targets of a pool at random and returns the one
// with the smaller score.
func (r *Router) better(now core.Instant, s *service, pool []candidate, tried []core.Target, avoided bool) *candidate {
	a := r.sample(now, pool, tried, avoided, nil)
	if a == nil || r.random.IntN(probeShare) == 0 {
		return a
	}
	b := r.sample(now, pool, tried, avoided, a)
	if b != nil && b.score(s) < a.score(s) {
		return b
	}
	return a
}

// sample returns the first usable target from a random place on, but not the
// one given.
func (r *Router) sample(now core.Instant, pool []candidate, tried []core.Target, avoided bool, not *candidate) *candidate {
	if len(pool) == 0 {
		return nil
	}
	start := r.random.IntN(len(pool))
	for i := range pool {
		c := &pool[(start+i)%len(pool)]
		if c == not || slices.Contains(tried, c.decision.Target) || !avoided && now.Before(c.observed.avoidUntil) {
			continue
		}
		return c
	}
	return nil
}

// score estimates the time that a request would take at a target.
func (c *candidate) score(s *service) float64 {
	mean := c.observed.latency.Mean()
	if mean == 0 {
		mean = max(s.latency.Mean(), time.Millisecond)
	}
	return float64(mean) * float64(c.observed.pending+1)
}

// done takes the end of an attempt into account.
func (r *Router) done(now core.Instant, m Done) {
	o := r.observed(m.Target)
	o.pending = max(o.pending-1, 0)
	s := r.services[m.Service]
	switch {
	case m.Outcome == core.OutcomeAnswered:
		o.latency.Observe(m.Latency)
		if s != nil {
			s.latency.Observe(m.Latency)
		}
	case m.Outcome.NotRun():
		o.avoidUntil = now.Add(avoidFor)
	case m.Cancelled:
		// The loser of a hedge took at least this long.
		o.latency.ObserveAtLeast(m.Latency)
	default:
		o.latency.ObserveAtLeast(m.Latency)
		o.avoidUntil = now.Add(avoidFor)
	}
}
