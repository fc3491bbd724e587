package balance

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// remainingWork is the expected remaining work of this VM's own requests at a
// target.
type remainingWork struct {
	// attempts are in the order in which they were sent.
	attempts []sentAttempt
}

// sentAttempt is an attempt that has not ended.
type sentAttempt struct {
	id uint64
	// work and spread are the estimate at the time when it was sent.
	work, spread time.Duration
	// startsAt is when the target is expected to start it.
	startsAt core.Instant
	// deadline is when the caller must have the response. The result comes soon after;
	// if it gets lost, the attempt doesn't count any more.
	deadline core.Instant
}

// trackAttempt adds an attempt that is about to be sent and returns its
// identifier. Without load control it returns 0.
func (b *Balancer) trackAttempt(now core.Instant, t *target, deadline core.Instant, w work) uint64 {
	if !w.byCost {
		return 0
	}
	b.attempts++
	wait := time.Duration(t.workAhead(now, w) * t.speed(now))
	t.remaining.attempts = slices.DeleteFunc(t.remaining.attempts, func(a sentAttempt) bool { return now.After(a.deadline) })
	t.remaining.attempts = append(t.remaining.attempts, sentAttempt{
		id: b.attempts, work: w.request, spread: min(w.spread, w.request), startsAt: now.Add(wait), deadline: deadline,
	})
	return b.attempts
}

// end removes an attempt. An attempt that isn't known removes the oldest if more
// are left than requests in flight, as some results don't say which attempt ended.
func (r *remainingWork) end(id uint64, inFlight int) {
	for i := range r.attempts {
		if r.attempts[i].id == id {
			r.attempts = slices.Delete(r.attempts, i, i+1)
			return
		}
	}
	if len(r.attempts) > inFlight {
		r.attempts = slices.Delete(r.attempts, 0, 1)
	}
}

// sum returns the expected remaining work of all attempts, and their number. The
// work of a running attempt falls with time, but not below its spread. It grows while
// the attempt runs for longer than expected: it is then one of the expensive requests
// of its class, and takes the longer the more the class spreads. Speed is the ratio
// of the time that a request takes at the target to its work.
func (r *remainingWork) sum(now core.Instant, speed float64) (total float64, count int) {
	for _, a := range r.attempts {
		if now.After(a.deadline) {
			continue
		}
		count++
		done := max(0, float64(now.Sub(a.startsAt))) / speed
		total += max(float64(a.work)-done, float64(a.spread)*max(1, done/float64(a.work)))
	}
	return total, count
}

// speed returns the ratio of the time that a request takes at the target, without
// queueing, to its work.
func (t *target) speed(now core.Instant) float64 {
	return max(minSpeed, t.slowdown(now)*t.paceOrUsual(now))
}

// minSpeed bounds the ratio from below, as times are divided by it.
const minSpeed = 0.01

// workAhead returns the expected work ahead of a request that is sent now, as the
// time that it takes at a target of usual speed. With load control, this VM's own
// requests count by their remaining work; all others count by the mean of the
// service.
func (t *target) workAhead(now core.Instant, w work) float64 {
	queue := t.queueLength(now)
	occupancy := t.occupancy(now)
	if !w.byCost || occupancy <= 0 {
		return float64(w.queued) * queue
	}
	own, count := t.remaining.sum(now, t.speed(now))
	known := float64(count)
	mean := (own + max(0, occupancy-known)*float64(w.queued)) / max(occupancy, known)
	return mean * queue
}
