package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// testRouter returns a router with an unsharded service, which has two targets
// in failure domain a and one in b, and a sharded one with a target in each.
func testRouter() *Router {
	limits := policy.Limits{RetryBudget: 0.1, HedgeBudget: 0.05}
	p := &policy.Policy{
		FailureDomains: []core.FailureDomain{"a", "b"}, Targets: make(map[core.Target]policy.Target),
		Services: map[core.Service]policy.Service{
			"any": {Name: "any", Sharding: policy.ShardingNone, Ranges: 8, Limits: limits},
			"key": {Name: "key", Sharding: policy.ShardingKey, Ranges: 8, Limits: limits},
		},
	}
	r := New("a", 1)
	maps := map[core.FailureDomain]*core.RangeMap{}
	for _, d := range p.FailureDomains {
		maps[d] = &core.RangeMap{
			FailureDomain: d, Version: core.Token{Term: 1, Seq: 1},
			Targets: make(map[core.Target]core.TargetAssignment), Ranges: make(map[core.RangeID]core.RangeAssignment),
		}
	}
	add := func(d core.FailureDomain, s core.Service, t core.Target) {
		p.Targets[t] = policy.Target{ID: t, Service: s, FailureDomain: d, Slots: 4, Speed: 1}
		maps[d].Targets[t] = core.TargetAssignment{Front: "vm"}
		for n := range uint32(8) {
			maps[d].Ranges[core.RangeID{Service: s, Number: n}] = core.RangeAssignment{Target: t}
		}
	}
	add("a", "any", "any-a1")
	add("a", "any", "any-a2")
	add("b", "any", "any-b")
	add("a", "key", "key-a")
	add("b", "key", "key-b")
	r.Step(0, AddressesChanged{Addresses: map[core.VM]string{"vm": "x"}})
	r.Step(0, PolicyChanged{Policy: p, LogState: platformlog.State{Offset: 1}})
	r.Step(0, MapChanged{Map: maps["a"]})
	r.Step(0, MapChanged{Map: maps["b"]})
	return r
}

func stepLookup(r *Router, now core.Instant, m Lookup) Decision {
	return r.Step(now, m)[0].(SendDecision).Decision
}

var anyRequest = core.Request{ID: "1", Service: "any", Idempotent: true}

// Guards against lookups that allocate or search maps for every request.
func TestLookupDoesNotAllocate(t *testing.T) {
	r := testRouter()
	for _, m := range []Lookup{{Request: anyRequest}, {Request: core.Request{Service: "key", KeyHash: 7}}} {
		if n := testing.AllocsPerRun(100, func() { r.lookup(0, m) }); n != 0 {
			t.Errorf("lookup in service %s allocates %v times", m.Request.Service, n)
		}
	}
}

// Guards against requests that leave their failure domain without need, and
// requests that stay although its targets reject them.
func TestOwnFailureDomainFirst(t *testing.T) {
	is := is.New(t)
	r := testRouter()
	for range 50 {
		d := stepLookup(r, 0, Lookup{Request: anyRequest})
		is.True(d.Target != "any-b")
		r.Step(0, AttemptDone{Service: "any", Target: d.Target, Outcome: core.OutcomeAnswered, Latency: time.Millisecond})
	}
	r.Step(0, AttemptDone{Service: "any", Target: "any-a1", Outcome: core.OutcomeOverloaded})
	r.Step(0, AttemptDone{Service: "any", Target: "any-a2", Outcome: core.OutcomeOverloaded})
	is.Equal(stepLookup(r, 1, Lookup{Request: anyRequest}).Target, core.Target("any-b"))
	is.True(stepLookup(r, core.Instant(avoidPeriod), Lookup{Request: anyRequest}).Target != "any-b")
}

// Guards against requests that stay in a failure domain whose targets are all
// slow, although those of another are not.
func TestSpillsWhenOwnDomainIsSlow(t *testing.T) {
	is := is.New(t)
	r := testRouter()
	for range 50 {
		for _, target := range []core.Target{"any-a1", "any-a2"} {
			r.Step(0, AttemptDone{Service: "any", Target: target, Outcome: core.OutcomeAnswered, Latency: 100 * time.Millisecond})
		}
		r.Step(0, AttemptDone{Service: "any", Target: "any-b", Outcome: core.OutcomeAnswered, Latency: 10 * time.Millisecond})
	}
	is.Equal(stepLookup(r, 0, Lookup{Request: anyRequest}).Target, core.Target("any-b"))
}

// Guards against a straggler that receives as many requests as other targets.
func TestStragglerIsAvoided(t *testing.T) {
	r := testRouter()
	slow := 0
	for range 1000 {
		d := stepLookup(r, 0, Lookup{Request: anyRequest})
		latency := 10 * time.Millisecond
		if d.Target == "any-a1" {
			slow++
			latency *= 8
		}
		r.Step(0, AttemptDone{Service: "any", Target: d.Target, Outcome: core.OutcomeAnswered, Latency: latency})
	}
	// It receives half of the probes, which are 1 in 64 of the choices.
	if slow < 1 || slow > 30 {
		t.Errorf("the straggler got %d of 1000", slow)
	}
}

// Guards against retries of requests that may have run, and against an unlimited
// number of retries and hedges.
func TestBudgets(t *testing.T) {
	is := is.New(t)
	r := testRouter()
	is.True(stepLookup(r, 0, Lookup{Request: anyRequest, Last: core.OutcomeUnknown}).Final)
	is.True(stepLookup(r, 0, Lookup{Request: core.Request{Service: "key"}, Last: core.OutcomeOverloaded}).Final)
	is.True(stepLookup(r, 0, Lookup{Request: core.Request{Service: "key"}, Hedge: true}).Final)
	retries, hedges := 0, 0
	for range 1000 {
		stepLookup(r, 0, Lookup{Request: anyRequest})
		if !stepLookup(r, 0, Lookup{Request: anyRequest, Last: core.OutcomeNotRun}).Final {
			retries++
		}
		if !stepLookup(r, 0, Lookup{Request: anyRequest, Hedge: true, Tried: []core.Target{"any-a1"}}).Final {
			hedges++
		}
	}
	is.True(retries >= 100 && retries <= 100+budgetBurst)
	is.True(hedges >= 50 && hedges <= 50+budgetBurst)
}

// Guards against a hedge to a target that already has the request, and a retry
// of a non-idempotent request at a target that is not its owner.
func TestTriedTargets(t *testing.T) {
	is := is.New(t)
	r := testRouter()
	for range 20 {
		d := stepLookup(r, 0, Lookup{Request: anyRequest, Hedge: true, Tried: []core.Target{"any-a1"}})
		is.Equal(d.Target, core.Target("any-a2"))
		r.Step(0, AttemptDone{Service: "any", Target: d.Target, Outcome: core.OutcomeAnswered, Latency: time.Millisecond})
		r.services["any"].hedges = newBudget()
	}
	booking := core.Request{ID: "b", Service: "any"}
	owner := stepLookup(r, 0, Lookup{Request: booking}).Target
	is.Equal(stepLookup(r, 0, Lookup{Request: booking, Last: core.OutcomeNotRun, Tried: []core.Target{owner}}).Target, owner)
}

// BenchmarkLookup measures one Lookup step.
func BenchmarkLookup(b *testing.B) {
	r := testRouter()
	for name, q := range map[string]core.Request{"undivided": anyRequest, "divided": {Service: "key", KeyHash: 7}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Step(0, Lookup{Request: q})
			}
		})
	}
}
