package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/cost"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/routing"
)

func loadControlled(targets ...discovery.Target) *Balancer {
	return setup{targets: targets, service: routing.Service{LoadControl: true}}.fleet()[0]
}

func pathFeatures(path string) cost.Features {
	return cost.NewFeatures(cost.Attributes{Method: "GET", Path: path})
}

// teachPaths makes a balancer learn that requests under heavy/ take 50 times as long
// as those under light/.
func teachPaths(b *Balancer) {
	now := start
	for range 300 {
		for path, elapsed := range map[string]time.Duration{"heavy/1": time.Second, "light/1": 20 * time.Millisecond} {
			now = now.Add(10 * time.Millisecond)
			d := selectTarget(b, now, func(a *SelectTarget) { a.Features = pathFeatures(path) })
			b.Step(now, AttemptDone{
				Service: "s", Target: d.Target.ID, Result: Succeeded, Elapsed: elapsed, Features: pathFeatures(path), Attempt: d.Attempt,
			})
		}
	}
}

// Guards against a queue that is counted in requests: a cheap request then waits
// behind expensive ones although another target has as many cheap ones.
func TestChoosesByRemainingWork(t *testing.T) {
	is := is.New(t)
	b := loadControlled(warmTarget("a"), warmTarget("b"))
	teachPaths(b)
	now := start.Add(10 * time.Second)
	heavy, light := pathFeatures("heavy/1"), pathFeatures("light/1")
	for _, x := range b.targets {
		x.pace = 1
	}
	for id, f := range map[core.Target]cost.Features{"a": heavy, "b": light} {
		for range 6 {
			x := b.targets[id]
			req := SelectTarget{Service: "s", Features: f}
			b.trackAttempt(now, x, now.Add(time.Minute), b.workOf(now, req))
			x.inFlight++
		}
	}
	for range 10 {
		d := selectTarget(b, now, func(a *SelectTarget) { a.Features, a.Deadline = light, now.Add(10*time.Second) })
		is.Equal(string(d.Target.ID), "b")
		b.Step(now, AttemptDone{Service: "s", Target: "b", Result: Cancelled, Attempt: d.Attempt})
	}
}

// Guards against remaining work that doesn't fall while requests run, that falls to
// nothing for a request that takes longer than expected, or that stays after its end.
func TestRemainingWorkFalls(t *testing.T) {
	is := is.New(t)
	r := remainingWork{attempts: []sentAttempt{
		{id: 1, work: 100 * time.Millisecond, spread: 30 * time.Millisecond, startsAt: start, deadline: start.Add(2 * time.Second)},
		{id: 2, work: 100 * time.Millisecond, spread: 30 * time.Millisecond, startsAt: start.Add(50 * time.Millisecond), deadline: start.Add(2 * time.Second)},
	}}
	sum := func(after time.Duration, speed float64) time.Duration {
		total, _ := r.sum(start.Add(after), speed)
		return time.Duration(total).Round(time.Microsecond)
	}
	is.Equal(sum(0, 1), 200*time.Millisecond)
	is.Equal(sum(50*time.Millisecond, 1), 150*time.Millisecond) // the second one waits
	is.Equal(sum(50*time.Millisecond, 2), 175*time.Millisecond) // a slow target
	is.Equal(sum(90*time.Millisecond, 1), 90*time.Millisecond)
	is.Equal(sum(time.Second, 1), 585*time.Millisecond) // ten times as long as expected
	is.Equal(sum(3*time.Second, 1), time.Duration(0))   // the results are lost
	r.end(2, 1)
	is.Equal(sum(0, 1), 100*time.Millisecond)
	r.end(7, 1) // not tracked; the request of attempt 1 is still in flight
	is.Equal(len(r.attempts), 1)
	r.end(0, 0)
	is.Equal(len(r.attempts), 0)
}

// Guards against work ahead that differs from the count of requests where all
// requests are alike, and against requests that are left out because load control
// was switched on after they were sent.
func TestWorkAheadOfEqualRequests(t *testing.T) {
	is := is.New(t)
	b := loadControlled(warmTarget("a"))
	x := b.targets["a"]
	w := work{request: 50 * time.Millisecond, queued: 50 * time.Millisecond}
	x.inFlight = 3
	w.byCost = true
	for range 7 {
		b.trackAttempt(start, x, start.Add(time.Minute), w)
		x.inFlight++
	}
	counted := w
	counted.byCost = false
	is.Equal(time.Duration(x.workAhead(start, w)).Round(time.Microsecond), time.Duration(x.workAhead(start, counted)).Round(time.Microsecond))
}

// Guards against attempts that are tracked for longer than they are in flight.
func TestTrackedAttemptsEnd(t *testing.T) {
	is := is.New(t)
	b := loadControlled(warmTarget("a"), warmTarget("b"))
	teachPaths(b)
	for id, x := range b.targets {
		is.Equal(len(x.remaining.attempts), x.inFlight)
		is.Equal(x.inFlight, 0)
		// A result that doesn't say which attempt ended.
		b.trackAttempt(start, x, start.Add(time.Minute), work{request: time.Second, byCost: true})
		x.inFlight++
		b.Step(start, AttemptDone{Service: "s", Target: id, Result: Cancelled})
		is.Equal(len(x.remaining.attempts), 0)
	}
}
