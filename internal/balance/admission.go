package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/routing"
)

const (
	// patienceWindow is the time over which the longest patience of a route's callers
	// is taken. A route gets many new requests in it, and a configuration that
	// shortens their time is noticed after two of them.
	patienceWindow = 10 * time.Second
	// minWaited is the shortest time after which a caller counts as returned. Shorter
	// ones are transit times.
	minWaited = 30 * time.Millisecond
	// newRequestQueueShare is the part of the queue, by the time that it takes, that new
	// requests may fill. The rest is left for callers that return after a rejection,
	// who have no further try.
	newRequestQueueShare = 0.7
	// usableRetryShare is the longest Retry-After that callers follow, as a fraction of
	// their remaining time.
	usableRetryShare = 1.0 / 3
	// shedRetryAfter is the retry delay after a target rejected a request although it
	// isn't known to be full: there is no queue to wait for.
	shedRetryAfter = 50 * time.Millisecond
)

// longestPatience tracks the longest time that callers of a route wait for a response,
// over one to two windows.
type longestPatience struct {
	current, previous time.Duration
	since             core.Instant
}

// observe adds the patience of one request and returns how long its caller has been
// waiting: a caller that returns after a rejection has less time left than a new
// one. This is known at every VM, whichever of them rejected it.
func (l *longestPatience) observe(now core.Instant, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	if now.Sub(l.since) >= patienceWindow {
		l.previous, l.current, l.since = l.current, 0, now
	}
	l.current = max(l.current, patience)
	waited := max(l.current, l.previous) - patience
	if waited < minWaited {
		return 0
	}
	return waited
}

// waited returns how long the caller of a request has been waiting since it first
// asked.
func (b *Balancer) waited(now core.Instant, req SelectTarget) time.Duration {
	w := workload{service: req.Service, route: req.Route}
	l := b.patience[w]
	if l == nil {
		l = &longestPatience{since: now}
		b.patience[w] = l
	}
	return l.observe(now, req.Patience)
}

// queueTooLong reports whether a request would wait so long in the target's queue that
// its response is of little use: after the latency objective for the most urgent
// requests, and after the deadline for others, which are better answered late than not
// at all. New requests leave a part of the queue to callers that return after a
// rejection. A request that wouldn't have to queue always has room: nobody else
// could use its place.
func (b *Balancer) queueTooLong(now core.Instant, t *target, req SelectTarget) bool {
	queued := t.queueLength(now)
	if queued <= 0 {
		return false
	}
	// The mean of the target, as neighbours that slow it down now will have gone
	// when the request's turn comes.
	duration := t.duration
	if duration <= 0 {
		duration = b.work.mean(t.Service)
	}
	useful := req.Deadline.Sub(now)
	if req.Priority == 0 && req.Objective > 0 {
		useful = min(useful, req.Objective)
	}
	forQueue := float64(useful - duration)
	if req.Waited == 0 {
		forQueue *= newRequestQueueShare
	}
	return queued*float64(duration) > forQueue
}

// limitRetryAfter bounds the retry delay of a rejection to what the caller can use.
func limitRetryAfter(now core.Instant, req SelectTarget, d Decision) Decision {
	if remaining := req.Deadline.Sub(now); d.Verdict != Send && d.RetryAfter > 0 {
		d.RetryAfter = max(min(d.RetryAfter, time.Duration(float64(remaining)*usableRetryShare)), time.Millisecond)
	}
	return d
}

// retryAfterShed returns the retry delay for a request that can't be sent again after
// a target rejected it. t is where it would be sent.
func (b *Balancer) retryAfterShed(now core.Instant, t *target, s routing.Service) time.Duration {
	if s.LoadControl && t.queueLength(now) <= 0 {
		return shedRetryAfter
	}
	return unavailableRetryAfter
}

// prunePatience removes the routes that had no requests for two windows.
func (b *Balancer) prunePatience(now core.Instant) {
	for w, l := range b.patience {
		if now.Sub(l.since) >= 2*patienceWindow {
			delete(b.patience, w)
		}
	}
}
