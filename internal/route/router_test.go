package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// testRouter has an undivided and a divided service, each with a target in
// both failure domains, a and b, and one more in a.
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
	r.Step(0, PolicyChanged{Policy: p, Folded: platformlog.State{Offset: 1}})
	r.Step(0, MapChanged{Map: maps["a"]})
	r.Step(0, MapChanged{Map: maps["b"]})
	return r
}

func look(r *Router, now core.Instant, m Lookup) Decision {
	return r.Step(now, m)[0].(Answer).Decision
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
// that stay when its targets refuse.
func TestOwnFailureDomainFirst(t *testing.T) {
	is := is.New(t)
	r := testRouter()
	for range 50 {
		d := look(r, 0, Lookup{Request: anyRequest})
		is.True(d.Target != "any-b")
		r.Step(0, Done{Service: "any", Target: d.Target, Outcome: core.OutcomeAnswered, Latency: time.Millisecond})
	}
	r.Step(0, Done{Service: "any", Target: "any-a1", Outcome: core.OutcomeOverloaded})
	r.Step(0, Done{Service: "any", Target: "any-a2", Outcome: core.OutcomeOverloaded})
	is.Equal(look(r, 1, Lookup{Request: anyRequest}).Target, core.Target("any-b"))
	is.True(look(r, core.Instant(avoidFor), Lookup{Request: anyRequest}).Target != "any-b")
}

// Guards against requests that stay in a failure domain whose targets are all
// overloaded, although others are not.
func TestSpillsWhenOwnDomainIsSlow(t *testing.T) {
	is := is.New(t)
	r := testRouter()
	for range 50 {
		for _, target := range []core.Target{"any-a1", "any-a2"} {
			r.Step(0, Done{Service: "any", Target: target, Outcome: core.OutcomeAnswered, Latency: 100 * time.Millisecond})
		}
		r.Step(0, Done{Service: "any", Target: "any-b", Outcome: core.OutcomeAnswered, Latency: 10 * time.Millisecond})
	}
	is.Equal(look(r, 0, Lookup{Request: anyRequest}).Target, core.Target("any-b"))
}

// Guards against a straggler that gets as many requests as the others.
func TestStragglerIsAvoided(t *testing.T) {
	r := testRouter()
	slow := 0
	for range 1000 {
		d := look(r, 0, Lookup{Request: anyRequest})
		latency := 10 * time.Millisecond
		if d.Target == "any-a1" {
			slow++
			latency *= 8
		}
		r.Step(0, Done{Service: "any", Target: d.Target, Outcome: core.OutcomeAnswered, Latency: latency})
	}
	// Half of the probes, of which there are 1 in 64, go to it.
	if slow < 1 || slow > 30 {
		t.Errorf("the straggler got %d of 1000", slow)
	}
}

// Guards against retries of requests that may have run, and against retries and
// hedges without bound.
func TestBudgets(t *testing.T) {
	is := is.New(t)
	r := testRouter()
	is.True(look(r, 0, Lookup{Request: anyRequest, Last: core.OutcomeUnknown}).Final)
	is.True(look(r, 0, Lookup{Request: core.Request{Service: "key"}, Last: core.OutcomeOverloaded}).Final)
	is.True(look(r, 0, Lookup{Request: core.Request{Service: "key"}, Hedge: true}).Final)
	retries, hedges := 0, 0
	for range 1000 {
		look(r, 0, Lookup{Request: anyRequest})
		if !look(r, 0, Lookup{Request: anyRequest, Last: core.OutcomeNotRun}).Final {
			retries++
		}
		if !look(r, 0, Lookup{Request: anyRequest, Hedge: true, Tried: []core.Target{"any-a1"}}).Final {
			hedges++
		}
	}
	is.True(retries >= 100 && retries <= 100+budgetBurst)
	is.True(hedges >= 50 && hedges <= 50+budgetBurst)
}

// Guards against a hedge to the target that already has the request, and a
// retry of a booking elsewhere than at its owner.
func TestTriedTargets(t *testing.T) {
	is := is.New(t)
	r := testRouter()
	for range 20 {
		d := look(r, 0, Lookup{Request: anyRequest, Hedge: true, Tried: []core.Target{"any-a1"}})
		is.Equal(d.Target, core.Target("any-a2"))
		r.Step(0, Done{Service: "any", Target: d.Target, Outcome: core.OutcomeAnswered, Latency: time.Millisecond})
		r.services["any"].hedges = newBudget()
	}
	booking := core.Request{ID: "b", Service: "any"}
	owner := look(r, 0, Lookup{Request: booking}).Target
	is.Equal(look(r, 0, Lookup{Request: booking, Last: core.OutcomeNotRun, Tried: []core.Target{owner}}).Target, owner)
}

// BenchmarkLookup measures the step of one lookup.
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
