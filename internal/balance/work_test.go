package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/routing"
)

// Guards against one latency estimate for all routes of a service: short urgent
// requests were rejected because the service also carries long ones, at a target
// that was idle.
func TestRoutesOfOneServiceHaveTheirOwnLatency(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}}.fleet()[0]
	routes := map[string]time.Duration{"long": 450 * time.Millisecond, "short": 40 * time.Millisecond}
	now := start
	for range 100 {
		for route, duration := range routes {
			now = now.Add(500 * time.Millisecond)
			d := selectTarget(b, now, func(a *SelectTarget) { a.Route = route })
			is.Equal(d.Verdict, Send)
			now = now.Add(duration)
			b.Step(now, AttemptDone{Service: "s", Route: route, Target: "a", Result: Succeeded, Elapsed: duration, Load: &TargetLoad{Slots: 4, Slowdown: 1}})
		}
	}
	decide := func(route string, remaining time.Duration) Decision {
		return selectTarget(b, now, func(a *SelectTarget) { a.Route, a.Deadline = route, now.Add(remaining) })
	}
	short := decide("short", 200*time.Millisecond)
	is.Equal(short.Verdict, Send)
	is.True(short.ExpectedLatency < 60*time.Millisecond)
	is.Equal(decide("long", 200*time.Millisecond).Reason, "deadline") // can't be served in time
	is.True(decide("long", time.Second).ExpectedLatency > 400*time.Millisecond)
}

// Guards against an estimate that ignores the long requests which wait ahead of
// a short one at the same target.
func TestShortRequestWaitsBehindLongOnes(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}}.fleet()[0]
	is.Equal(selectTarget(b, start, func(a *SelectTarget) { a.Route, a.Objective = "short", 150*time.Millisecond }).Verdict, Send)
	for range 50 {
		b.Step(start, AttemptDone{Service: "s", Route: "long", Target: "a", Result: Succeeded, Elapsed: 400 * time.Millisecond})
	}
	for range 9 {
		is.Equal(selectTarget(b, start, func(a *SelectTarget) { a.Route, a.Deadline = "long", start.Add(time.Minute) }).Verdict, Send)
	}
	d := selectTarget(b, start, func(a *SelectTarget) {
		a.Route, a.Objective, a.Deadline, a.Priority = "short", 150*time.Millisecond, start.Add(400*time.Millisecond), 1
	})
	is.Equal(d.Reason, "deadline")
}

// Guards against keys that look equally loaded although the requests for one of
// them take ten times as long.
func TestUnitLoadCountsWork(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{Sharded: true}}.fleet()[0]
	b.Step(start, OwnersChanged{View: ownedBy("a")})
	for range 200 {
		for route, duration := range map[string]time.Duration{"long": 400 * time.Millisecond, "short": 40 * time.Millisecond} {
			b.Step(start, AttemptDone{Service: "s", Route: route, Target: "a", Result: Succeeded, Elapsed: duration})
		}
	}
	reply := make(chan ownership.LoadReport, 1)
	b.Step(start, LoadReportRequest{Reply: reply})
	long, short := uint16(1<<12), uint16(1<<14)
	for key, route := range map[uint16]string{long: "long", short: "short"} {
		for range 3 {
			selectTarget(b, start, func(a *SelectTarget) { a.Key, a.Route, a.Deadline = key, route, start.Add(time.Minute) })
		}
	}
	out := b.Step(start.Add(time.Second), LoadReportRequest{Reply: reply})
	load := out[0].(LoadReportReply).Load.UnitLoads["s"]
	is.True(load[ownership.Unit(long)] > 5*load[ownership.Unit(short)])
}

// Guards against load reports that are forgotten before the requests which they
// count have ended. Many VMs then send to a target that is full.
func TestReportOutlivesItsRequests(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}}.fleet()[0]
	now := start
	for range 60 {
		now = now.Add(time.Second)
		b.Step(now, AttemptDone{Service: "s", Target: "a", Result: Succeeded, Elapsed: 850 * time.Millisecond, Load: &TargetLoad{Slots: 4, Slowdown: 1}})
	}
	b.Step(now, AttemptDone{Service: "s", Target: "a", Result: Cancelled, Load: &TargetLoad{Running: 4, Waiting: 6, Slots: 4, Slowdown: 1}})
	is.True(b.targets["a"].occupancy(now.Add(300*time.Millisecond)) > 7)
}
