package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/routing"
)

const (
	testObjective = 500 * time.Millisecond
	testPatience  = 1500 * time.Millisecond
)

// withPatience makes a request of the test route that was sent with the given time
// left.
func withPatience(patience time.Duration) func(*SelectTarget) {
	return func(a *SelectTarget) {
		a.Route, a.Objective, a.Patience, a.Deadline, a.Priority = "r", testObjective, patience, start.Add(time.Hour), 0
	}
}

// measured returns a balancer that has measured requests of the given duration at
// its only target.
func measured(s setup, duration time.Duration) (*Balancer, core.Instant) {
	b := s.fleet()[0]
	now := start
	for range 200 {
		selectTarget(b, now, withPatience(testPatience))
		now = now.Add(duration)
		b.Step(now, AttemptDone{
			Service: "s", Route: "r", Objective: testObjective, Target: "a", Result: Succeeded, Elapsed: duration,
			Load: &TargetLoad{Slots: 4, Slowdown: 1},
		})
	}
	return b, now
}

func sentBeforeRejection(b *Balancer, now core.Instant, patience time.Duration) int {
	sent := 0
	for selectTarget(b, now, withPatience(patience)).Verdict == Send {
		sent++
	}
	return sent
}

// Guards against a queue at an overloaded target that is so long that everything in
// it is answered late: a key wanted by hundreds of callers a second, whose owner
// serves 24, gave 95 late responses and 39 in time.
func TestQueueIsNoLongerThanTheObjective(t *testing.T) {
	is := is.New(t)
	for _, loadControl := range []bool{false, true} {
		s := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{LoadControl: loadControl}}
		const duration = 250 * time.Millisecond
		b, now := measured(s, duration)
		sent := sentBeforeRejection(b, now, testPatience)
		// The last one that fits is served after the ones ahead of it, 4 at a time.
		inTime := duration+time.Duration(float64(sent-4)/4*float64(duration)) <= testObjective
		is.Equal(inTime, loadControl)
		is.True(sent >= 6) // the queue is used
	}
}

// Guards against requests that are rejected although a late response is of use to
// their callers, as with requests that aren't the most urgent ones.
func TestLessUrgentRequestsMayBeLate(t *testing.T) {
	is := is.New(t)
	s := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{LoadControl: true}}
	b, now := measured(s, 250*time.Millisecond)
	lessUrgent := func(remaining time.Duration) func(*SelectTarget) {
		return func(a *SelectTarget) {
			withPatience(testPatience)(a)
			a.Priority, a.Deadline = 2, now.Add(remaining)
		}
	}
	sent := 0
	for selectTarget(b, now, lessUrgent(testPatience)).Verdict == Send {
		sent++
	}
	is.Equal(sent, 10) // the queue of a target is as long as without load control
	is.Equal(selectTarget(b, now, lessUrgent(400*time.Millisecond)).Verdict, Reject)
}

// Guards against callers that return after a rejection and are rejected again
// because new ones have taken all the room.
func TestReturningCallersHaveRoomLeft(t *testing.T) {
	is := is.New(t)
	s := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{LoadControl: true}}
	b, now := measured(s, 250*time.Millisecond)
	sentBeforeRejection(b, now, testPatience)
	is.Equal(selectTarget(b, now, withPatience(testPatience-10*time.Millisecond)).Verdict, Reject) // a new caller, by its transit time
	is.Equal(selectTarget(b, now, withPatience(testPatience-300*time.Millisecond)).Verdict, Send)
	is.True(sentBeforeRejection(b, now, testPatience-300*time.Millisecond) < 5) // it is bounded too
}

// Guards against a shortened timeout after which all callers seem to have returned.
func TestShorterPatienceOfARouteIsNoticed(t *testing.T) {
	is := is.New(t)
	l := longestPatience{since: start}
	is.Equal(l.observe(start, testPatience), time.Duration(0))
	is.Equal(l.observe(start.Add(time.Second), testPatience/2), testPatience/2)
	now := start.Add(patienceWindow)
	l.observe(now, testPatience/2)
	now = now.Add(patienceWindow)
	is.Equal(l.observe(now, testPatience/2), time.Duration(0))
	is.Equal(l.observe(now, 0), time.Duration(0)) // not stated
}

// Guards against a retry budget that new requests use up while targets reject half of
// all requests: those that return have no other try.
func TestRetryBudgetGoesToReturningCallers(t *testing.T) {
	is := is.New(t)
	retries := func(loadControl bool) (newcomers, returning int) {
		s := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{LoadControl: loadControl, Sharded: true}, limits: RetryLimits{Ratio: 0.2, Extra: 5}}
		b := s.fleet()[0]
		b.Step(start, OwnersChanged{View: ownedBy("a")})
		now := start
		for i := range 4000 {
			now = now.Add(10 * time.Millisecond)
			patience, count := testPatience, &newcomers
			if i%3 == 2 {
				patience, count = testPatience-200*time.Millisecond, &returning
			}
			d := selectTarget(b, now, withPatience(patience))
			b.Step(now, AttemptDone{Service: "s", Route: "r", Target: d.Target.ID, Result: Shed})
			d = selectTarget(b, now, withPatience(patience), func(a *SelectTarget) { a.Kind, a.Counted = Retry, true })
			if d.Verdict == Send {
				*count++
				b.Step(now, AttemptDone{Service: "s", Route: "r", Target: d.Target.ID, Result: Shed})
			}
		}
		return newcomers, returning
	}
	without, withoutReturning := retries(false)
	with, withReturning := retries(true)
	t.Logf("retries of new and returning callers: %d and %d without, %d and %d with load control", without, withoutReturning, with, withReturning)
	is.True(withReturning > 10*with)
	is.True(with+withReturning <= 4000/5+5) // the limits hold
	is.True(with+withReturning > without+withoutReturning)
}

// Guards against a Retry-After beyond what a caller can use, after which it returns
// unserved or not at all.
func TestRetryAfterIsUsable(t *testing.T) {
	is := is.New(t)
	for _, loadControl := range []bool{false, true} {
		s := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{LoadControl: loadControl}}
		b, now := measured(s, 200*time.Millisecond)
		sentBeforeRejection(b, now, testPatience)
		d := selectTarget(b, now, withPatience(testPatience), func(a *SelectTarget) { a.Deadline = now.Add(120 * time.Millisecond) })
		is.Equal(d.Verdict, Reject)
		is.Equal(d.RetryAfter <= 40*time.Millisecond, loadControl)
	}
}

// Guards against a decision that load control changes where it is off: the time that
// callers say that they wait, and their returning, must not matter.
func TestPatienceDoesNotMatterWithoutLoadControl(t *testing.T) {
	is := is.New(t)
	decisions := func(patience time.Duration) []Decision {
		b, now := measured(setup{targets: []discovery.Target{warmTarget("a")}}, 150*time.Millisecond)
		var out []Decision
		for range 20 {
			d := selectTarget(b, now, withPatience(patience))
			d.ExpectedLatency = 0
			out = append(out, d)
		}
		return out
	}
	is.Equal(decisions(testPatience), decisions(testPatience-400*time.Millisecond))
}

// Guards against callers that wait for a queue that isn't there, after a target with
// room rejected their request.
func TestRetryAfterRejectionByATargetWithRoom(t *testing.T) {
	is := is.New(t)
	for _, loadControl := range []bool{false, true} {
		s := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{LoadControl: loadControl, Sharded: true}}
		b := s.fleet()[0]
		b.Step(start, OwnersChanged{View: ownedBy("a")})
		shed := func() Decision {
			selectTarget(b, start, withPatience(testPatience))
			b.Step(start, AttemptDone{Service: "s", Route: "r", Target: "a", Result: Shed, Load: &TargetLoad{Running: 1, Slots: 4, Slowdown: 1}})
			return selectTarget(b, start, withPatience(testPatience), func(a *SelectTarget) { a.Kind, a.Counted = Retry, true })
		}
		d := shed()
		for range 5 { // until the budget is used up
			d = shed()
		}
		is.Equal(d.Reason, "retry-budget")
		is.Equal(d.RetryAfter == shedRetryAfter, loadControl)
	}
}
