package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/cost"
)

// workOf returns the estimated work of a request.
func (b *Balancer) workOf(now core.Instant, req SelectTarget) work {
	return b.estimateWork(now, workload{service: req.Service, route: req.Route}, req.Objective, req.Features)
}

// workDone returns the estimated work of the request of an attempt.
func (b *Balancer) workDone(now core.Instant, m AttemptDone) work {
	return b.estimateWork(now, workload{service: m.Service, route: m.Route}, m.Objective, m.Features)
}

// estimateWork returns the mean of the route or, with load control, the estimate by
// the features of the request.
func (b *Balancer) estimateWork(now core.Instant, l workload, objective time.Duration, f cost.Features) work {
	w := b.work.of(l, objective)
	if b.services[l.service].LoadControl {
		e := b.costs.Estimate(now, cost.Scope{Service: l.service, Route: l.route}, f, w.request)
		w.request, w.spread, w.byCost = max(e.Mean, minRequestWork), e.Spread, true
	}
	return w
}

// minRequestWork bounds the estimate from below, as durations are divided by it.
const minRequestWork = 10 * time.Microsecond

// relativePace returns the pace of a target that has just been measured relative to
// the mean pace of the service. A sample without it would attribute the speed of a
// target to the keys that it owns, and the pace would go back to 1.
func (b *Balancer) relativePace(t *target) float64 {
	mean, ok := b.meanPaces[t.Service]
	if !ok {
		mean = t.pace
	}
	mean = max(minSpeed, mean+(t.pace-mean)/mixSamples)
	b.meanPaces[t.Service] = mean
	return max(minSpeed, t.pace) / mean
}

// observeWork adds a sample of the work of a request.
func (b *Balancer) observeWork(now core.Instant, t *target, m AttemptDone, sample time.Duration) {
	l := workload{service: m.Service, route: m.Route}
	if b.services[m.Service].LoadControl {
		scope := cost.Scope{Service: m.Service, Route: m.Route}
		b.costs.Observe(now, scope, m.Features, b.work.of(l, m.Objective).request, time.Duration(float64(sample)/b.relativePace(t)))
		b.work.observe(l, m.Objective, sample)
		return
	}
	b.work.observe(l, m.Objective, sample)
}
