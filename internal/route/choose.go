package route

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/estimate"
)

// avoidPeriod is how long a target that rejected a request is chosen only if there
// is no other: several service times, so that its queue can drain.
const avoidPeriod = 100 * time.Millisecond

// spillFactor is the ratio of the scores of the local and the remote target above
// which a request goes to another failure domain. With a factor of 2 to 4 the
// p99 of a service with two targets in each failure domain was a third of that
// without spilling; 4 keeps the most requests local.
const spillFactor = 4

// targetStats is what this VM has observed of a target.
type targetStats struct {
	// pending is the number of attempts that this VM has in flight.
	pending    int
	latency    estimate.Latency
	avoidUntil core.Instant
}

// candidate is a target that may be chosen for any request of its service.
type candidate struct {
	decision Decision
	stats    *targetStats
}

func (r *Router) statsOf(t core.Target) *targetStats {
	stats := r.targets[t]
	if stats == nil {
		stats = &targetStats{}
		r.targets[t] = stats
	}
	return stats
}

// choose selects the better of two random targets (Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing", 2001). It prefers the VM's own
// failure domain, unless the targets there have recently rejected requests or
// are much slower than others.
func (r *Router) choose(now core.Instant, s *service, m Lookup) Decision {
	local := r.betterOfTwo(now, s, s.local, m.Tried, false)
	remote := r.betterOfTwo(now, s, s.remote, m.Tried, false)
	switch {
	case local != nil && (remote == nil || local.score(s) <= spillFactor*remote.score(s)):
		return local.decision
	case remote != nil:
		return remote.decision
	}
	if m.Hedge {
		return Decision{Outcome: core.OutcomeNoOwner, Detail: "no other target is in service", Final: true}
	}
	for _, pool := range [2][]candidate{s.local, s.remote} {
		if c := r.betterOfTwo(now, s, pool, m.Tried, true); c != nil {
			return c.decision
		}
	}
	return Decision{Outcome: core.OutcomeNoOwner, Detail: "no target of the service is in service"}
}

// One in probeOneIn choices takes the first sample regardless of its score, so
// that the recovery of a slow target is noticed. Allowing both samples to be
// the same target, and so a straggler, cost 7 ms of p99 in BenchmarkLoad, as a
// failure domain has only 2 to 5 targets of a service.
const probeOneIn = 64

// betterOfTwo samples two different targets of a pool at random and returns the
// one with the lower score.
func (r *Router) betterOfTwo(now core.Instant, s *service, pool []candidate, tried []core.Target, includeAvoided bool) *candidate {
	a := r.sample(now, pool, tried, includeAvoided, nil)
	if a == nil || r.random.IntN(probeOneIn) == 0 {
		return a
	}
	b := r.sample(now, pool, tried, includeAvoided, a)
	if b != nil && b.score(s) < a.score(s) {
		return b
	}
	return a
}

// sample returns the first usable target from a random position on, other than
// the excluded one.
func (r *Router) sample(now core.Instant, pool []candidate, tried []core.Target, includeAvoided bool, exclude *candidate) *candidate {
	if len(pool) == 0 {
		return nil
	}
	start := r.random.IntN(len(pool))
	for i := range pool {
		c := &pool[(start+i)%len(pool)]
		if c == exclude || slices.Contains(tried, c.decision.Target) || !includeAvoided && now.Before(c.stats.avoidUntil) {
			continue
		}
		return c
	}
	return nil
}

// score estimates how long a request would take at a target.
func (c *candidate) score(s *service) float64 {
	mean := c.stats.latency.Mean()
	if mean == 0 {
		mean = max(s.latency.Mean(), time.Millisecond)
	}
	return float64(mean) * float64(c.stats.pending+1)
}

// stepAttemptDone updates the statistics with the result of an attempt.
func (r *Router) stepAttemptDone(now core.Instant, m AttemptDone) {
	stats := r.statsOf(m.Target)
	stats.pending = max(stats.pending-1, 0)
	s := r.services[m.Service]
	switch {
	case m.Outcome == core.OutcomeAnswered:
		stats.latency.Observe(m.Latency)
		if s != nil {
			s.latency.Observe(m.Latency)
		}
	case m.Outcome.NotRun():
		stats.avoidUntil = now.Add(avoidPeriod)
	case m.Cancelled:
		// The loser of a hedge took at least this long.
		stats.latency.ObserveAtLeast(m.Latency)
	default:
		stats.latency.ObserveAtLeast(m.Latency)
		stats.avoidUntil = now.Add(avoidPeriod)
	}
}
