package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// defaultWork is assumed for a route without a latency objective until its
	// requests have been measured.
	defaultWork = 80 * time.Millisecond
	// objectiveDivisor derives the initial estimate of a route's work from its
	// latency objective, which leaves room for queueing and noise.
	objectiveDivisor = 3
	// workSamples is the weight of a new sample in the mean of a route, as 1/n.
	// The durations within a route spread widely.
	workSamples = 24
	// mixSamples is the weight of a new sample in the mean of a service, as 1/n.
	// It is larger than workSamples, as the mean is taken over several routes.
	mixSamples = 48
)

// work estimates how long a request occupies a slot of a target of usual speed
// without queueing.
type work struct {
	// request is the mean over the requests of the same route.
	request time.Duration
	// queued is the mean over all requests for the service, and so the expected
	// work of each request that waits ahead.
	queued time.Duration
	// spread is the mean absolute deviation from request.
	spread time.Duration
	// byCost is set if the work derives from the features of the request.
	byCost bool
}

// workload identifies requests of similar work. The routes of one service may
// differ widely in it.
type workload struct {
	service core.Service
	route   string
}

// workEstimates holds the measured work of routes and services.
type workEstimates struct {
	routes   map[workload]time.Duration
	services map[core.Service]time.Duration
}

func newWorkEstimates() workEstimates {
	return workEstimates{routes: make(map[workload]time.Duration), services: make(map[core.Service]time.Duration)}
}

// of returns the estimate for a request. The objective is used until requests
// of the route have been measured.
func (e *workEstimates) of(w workload, objective time.Duration) work {
	request, ok := e.routes[w]
	if !ok {
		request = initialWork(objective)
	}
	queued, ok := e.services[w.service]
	if !ok {
		queued = request
	}
	return work{request: request, queued: queued}
}

// mean returns the mean work of all requests for a service.
func (e *workEstimates) mean(s core.Service) time.Duration {
	if d, ok := e.services[s]; ok {
		return d
	}
	return defaultWork
}

// observe adds a sample of a route.
func (e *workEstimates) observe(w workload, objective, sample time.Duration) {
	estimate := e.of(w, objective)
	e.routes[w] = estimate.request + (sample-estimate.request)/workSamples
	e.services[w.service] = estimate.queued + (sample-estimate.queued)/mixSamples
}

func initialWork(objective time.Duration) time.Duration {
	if objective <= 0 {
		return defaultWork
	}
	return objective / objectiveDivisor
}
