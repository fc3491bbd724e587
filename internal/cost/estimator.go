package cost

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// MaxEntries bounds the routes and the values of features in total.
	MaxEntries = 4096
	// maxRoutes bounds the routes, which the configuration names and callers can't
	// add.
	maxRoutes = 512
	// Retention is how long an entry is kept after its last sample.
	Retention = 60 * time.Second

	// Maximum number of samples over which a mean is taken. That of a route needs
	// more of them, as its requests differ more than those with an equal feature.
	routeWindow = 64
	entryWindow = 24
	// priorSamples is the weight of a route's prior, as a number of samples.
	priorSamples = 4
	// shrinkSamples is the weight of the route's mean in the estimate of an entry,
	// as a number of samples.
	shrinkSamples = 4
	// A sample counts as at most this multiple of the present mean, so that a
	// single outlier changes the estimate little. A class of expensive requests
	// passes the bound of an entry within a few samples. The bound of a route is
	// higher, as it cuts off every request of such a class.
	routeOutlier = 16
	entryOutlier = 8
	// errorWindow is the number of samples over which features are compared, and
	// minCompared the number from which on they are.
	errorWindow = 128
	minCompared = 16
	// A feature is used if its squared error is below this fraction of that of the
	// route's mean, and of a feature with fewer values.
	usefulError = 0.9
	betterError = 0.95
	// minMean bounds the mean from below where it bounds samples, so that a mean of 0
	// can grow again. In seconds.
	minMean = 0.001
	// tailFactor is the multiple of the mean beyond which a sample is in the tail.
	tailFactor = 3
)

// Scope identifies the requests that share a mean.
type Scope struct {
	Service core.Service
	Route   string
}

// Estimate is the expected work of a request: how long it occupies a slot of a
// target of usual speed, without queueing.
type Estimate struct {
	Mean time.Duration
	// Spread is the mean absolute deviation from the mean.
	Spread time.Duration
	// Tail is the fraction of the requests with more than 3 times the mean.
	Tail float64
	// Feature is the feature that the estimate uses.
	Feature Feature
}

// Estimator learns the work of requests. The zero value is ready for use. It is
// not safe for concurrent use.
type Estimator struct {
	routes map[Scope]*route
	// lastRoute is the number of the latest route.
	lastRoute uint32
	entries   entries
}

// route is the state of a scope.
type route struct {
	stats
	number uint32
	// meanError and errors are the mean squared errors of the estimates by the
	// route's mean and by each feature, in seconds squared, over compared samples.
	meanError float64
	errors    [featureCount]float64
	compared  float64
}

// stats describes a set of samples, in seconds.
type stats struct {
	mean, spread, tail float64
	samples            float64
	seen               core.Instant
}

func (s *stats) expired(now core.Instant) bool { return now.Sub(s.seen) > Retention }

// bound returns the bound of a sample of a route.
func (s *stats) bound() float64 { return routeOutlier * max(s.mean, minMean) }

// add adds a sample to a mean over at most window samples.
func (s *stats) add(now core.Instant, sample, window float64) {
	s.seen = now
	s.samples = min(s.samples+1, window)
	deviation, tail := max(sample-s.mean, s.mean-sample), 0.0
	if sample > tailFactor*s.mean {
		tail = 1
	}
	s.spread += (deviation - s.spread) / s.samples
	s.tail += (tail - s.tail) / s.samples
	s.mean += (sample - s.mean) / s.samples
}

// Estimate returns the expected work of a request. The prior is returned while
// the scope has no samples.
func (e *Estimator) Estimate(now core.Instant, scope Scope, f Features, prior time.Duration) Estimate {
	r := e.routes[scope]
	if r == nil || r.expired(now) {
		return Estimate{Mean: prior, Spread: prior, Feature: NoFeature}
	}
	best, bestError := NoFeature, usefulError*r.meanError
	var bestEntry *entry
	if r.compared >= minCompared {
		for i, value := range f {
			if value == 0 || r.errors[i] >= bestError {
				continue
			}
			if x := e.entries.find(entryKey{route: r.number, feature: Feature(i), value: value}); x != nil && !x.expired(now) {
				best, bestError, bestEntry = Feature(i), betterError*r.errors[i], x
			}
		}
	}
	s := r.stats
	if bestEntry != nil {
		s = bestEntry.shrunk(&r.stats)
	}
	return Estimate{Mean: duration(s.mean), Spread: duration(s.spread), Tail: s.tail, Feature: best}
}

// Observe adds a sample of the work of a request.
func (e *Estimator) Observe(now core.Instant, scope Scope, f Features, prior, sample time.Duration) {
	e.entries.expire(now)
	r := e.routeOf(now, scope, prior)
	seconds := max(sample, 0).Seconds()
	bounded := min(seconds, r.bound())
	weight := 1 / min(r.compared+1, errorWindow)
	before := r.stats
	for i, value := range f {
		estimate := before.mean
		if value != 0 {
			estimate = e.observeFeature(now, entryKey{route: r.number, feature: Feature(i), value: value}, &before, seconds)
		}
		r.errors[i] += (squaredError(estimate, bounded, &before) - r.errors[i]) * weight
	}
	r.meanError += (squaredError(before.mean, bounded, &before) - r.meanError) * weight
	r.compared = min(r.compared+1, errorWindow)
	r.add(now, bounded, routeWindow)
	e.entries.trim(MaxEntries - len(e.routes))
}

// squaredError returns the squared error of an estimate. An estimate above the
// bound of a sample counts as the bound.
func squaredError(estimate, bounded float64, r *stats) float64 {
	d := min(estimate, r.bound()) - bounded
	return d * d
}

// observeFeature adds a sample to the entry of a feature's value. It returns the
// estimate in seconds that the entry gave before.
func (e *Estimator) observeFeature(now core.Instant, k entryKey, r *stats, sample float64) float64 {
	x := e.entries.touch(k)
	if x.samples == 0 {
		x.mean, x.spread, x.tail = r.mean, r.spread, r.tail
	}
	estimate := x.shrunk(r).mean
	x.add(now, min(sample, max(entryOutlier*x.mean, r.mean, minMean)), entryWindow)
	return estimate
}

// routeOf returns the state of a scope. A new or expired one starts with the
// prior.
func (e *Estimator) routeOf(now core.Instant, scope Scope, prior time.Duration) *route {
	r := e.routes[scope]
	if r != nil && !r.expired(now) {
		return r
	}
	if r == nil {
		e.makeRoom()
		r = &route{}
		e.routes[scope] = r
	}
	e.lastRoute++
	mean := max(prior, time.Millisecond).Seconds()
	*r = route{number: e.lastRoute, stats: stats{mean: mean, spread: mean, samples: priorSamples, seen: now}}
	return r
}

// makeRoom drops the least recently seen route if there are too many.
func (e *Estimator) makeRoom() {
	if e.routes == nil {
		e.routes = make(map[Scope]*route)
	}
	if len(e.routes) < maxRoutes {
		return
	}
	var oldest Scope
	var found *route
	for scope, r := range e.routes {
		if found == nil || r.seen < found.seen || (r.seen == found.seen && r.number < found.number) {
			oldest, found = scope, r
		}
	}
	delete(e.routes, oldest)
}

// Len returns the number of routes and values of features.
func (e *Estimator) Len() int { return len(e.routes) + e.entries.len() }

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
