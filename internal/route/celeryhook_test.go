package route_test

import (
	"fmt"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/front"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
	"celeryhook.example/celeryhook/internal/route"
	"celeryhook.example/celeryhook/internal/witness"
)

// celeryhookSystem runs the real state machines of the route and front duties in
// the model. The maps are fixed, as the coordinator decides on moves and hot keys.
type celeryhookSystem struct {
	m       *model
	routers []*route.Router
	fronts  []*front.Front
	// submitted maps the reply channel of a front's decision to its attempt.
	submitted map[chan<- front.Decision]*attempt
	servers   map[core.Target]*server
	frontOf   map[core.Target]int
	ranges    map[core.Target]map[core.RangeID]front.Range
	hedges    int
	retries   int
	overSlots int
	limits    policy.Limits
}

// attempt is the current attempt of an arrival, or its hedge.
type attempt struct {
	arrival   *arrival
	decision  route.Decision
	startedAt core.Instant
	hedge     bool
	// sibling is the hedge of a first attempt, and the first attempt of a hedge.
	sibling *attempt
	done    bool
	request core.Request
	// attempts is the number of attempts so far.
	attempts int
	tried    []core.Target
}

func celeryhook(m *model) system {
	c := &celeryhookSystem{
		m: m, submitted: make(map[chan<- front.Decision]*attempt), servers: make(map[core.Target]*server),
		frontOf: make(map[core.Target]int), ranges: make(map[core.Target]map[core.RangeID]front.Range),
		limits: policy.Limits{
			Timeout: timeout, QueueLength: 64, HoldTime: time.Second, RetryBudget: 0.1, HedgeBudget: 0.05,
			ColdSlots: 1, RampStep: 8, CallerShare: 0.5,
		},
	}
	for _, s := range m.servers {
		c.servers[s.id] = s
	}
	return c
}

func vmName(i int) core.VM { return core.VM(fmt.Sprintf("vm-%02d", i)) }

func (c *celeryhookSystem) policy() *policy.Policy {
	sharding := policy.ShardingNone
	if c.m.deployment.sharded {
		sharding = policy.ShardingKey
	}
	p := &policy.Policy{
		FailureDomains: c.m.deployment.domains, Targets: make(map[core.Target]policy.Target),
		Services: map[core.Service]policy.Service{c.m.deployment.service: {
			Name: c.m.deployment.service, Sharding: sharding, Ranges: 240, Limits: c.limits,
		}},
	}
	for _, s := range c.m.servers {
		p.Targets[s.id] = policy.Target{ID: s.id, Service: c.m.deployment.service, FailureDomain: s.domain, Slots: c.m.deployment.slots, Speed: 1}
	}
	return p
}

// rangeMaps distributes the ranges of each failure domain evenly over its targets.
func (c *celeryhookSystem) rangeMaps(p *policy.Policy) map[core.FailureDomain]*core.RangeMap {
	out := make(map[core.FailureDomain]*core.RangeMap)
	byDomain := make(map[core.FailureDomain][]core.Target)
	for i, s := range c.m.servers {
		if out[s.domain] == nil {
			out[s.domain] = &core.RangeMap{
				FailureDomain: s.domain, Version: core.Token{Term: 1, Seq: 1},
				Targets: make(map[core.Target]core.TargetAssignment), Ranges: make(map[core.RangeID]core.RangeAssignment),
			}
		}
		// VM i and target i are both in failure domain i modulo the number of domains.
		vm := i % c.m.deployment.vms
		for c.m.domainOf(vm) != s.domain {
			vm = (vm + 1) % c.m.deployment.vms
		}
		c.frontOf[s.id] = vm
		c.ranges[s.id] = make(map[core.RangeID]front.Range)
		out[s.domain].Targets[s.id] = core.TargetAssignment{Front: vmName(vm), Token: core.Token{Term: 1, Seq: 1}}
		byDomain[s.domain] = append(byDomain[s.domain], s.id)
	}
	next := make(map[core.FailureDomain]int)
	for n := range uint32(240) {
		id := core.RangeID{Service: c.m.deployment.service, Number: n}
		home, _ := p.Home(id, func(core.FailureDomain) bool { return true })
		t := byDomain[home][next[home]%len(byDomain[home])]
		next[home]++
		out[home].Ranges[id] = core.RangeAssignment{Target: t}
		c.ranges[t][id] = front.Range{}
	}
	return out
}

func (c *celeryhookSystem) start() {
	p := c.policy()
	maps := c.rangeMaps(p)
	addresses := make(map[core.VM]string)
	for i := range c.m.deployment.vms {
		addresses[vmName(i)] = "x"
	}
	for i := range c.m.deployment.vms {
		r := route.New(c.m.domainOf(i), uint64(i))
		r.Step(0, route.AddressesChanged{Addresses: addresses})
		r.Step(0, route.PolicyChanged{Policy: p, LogState: platformlog.State{Offset: 1}})
		for _, d := range c.m.deployment.domains {
			r.Step(0, route.MapChanged{Map: maps[d]})
		}
		c.routers = append(c.routers, r)
		c.fronts = append(c.fronts, front.New(vmName(i)))
	}
	for i := range c.fronts {
		assigned := front.Assigned{Targets: make(map[core.Target]front.Assignment), Retention: 10 * time.Minute}
		for _, s := range c.m.servers {
			if c.frontOf[s.id] == i {
				assigned.Targets[s.id] = front.Assignment{
					Service: c.m.deployment.service, Slots: c.m.deployment.slots, Limits: c.limits, Token: core.Token{Term: 1, Seq: 1},
					Witnesses: []core.VM{"witness"}, Ranges: c.ranges[s.id],
				}
			}
		}
		c.step(i, assigned)
		c.tick(i)
	}
	c.renew()
}

func (c *celeryhookSystem) tick(i int) {
	c.step(i, front.Tick{})
	c.m.after(front.TickInterval, func() { c.tick(i) })
}

func (c *celeryhookSystem) renew() {
	now := c.m.now
	for _, s := range c.m.servers {
		view := grant.View{
			Token: core.Token{Term: 1, Seq: 1}, HeldUntil: now.Add(core.MinusDrift(core.GrantLease)),
			Clock: grant.ClockReading{Sent: now, Received: now}, Incarnation: s.incarnation, InFlight: s.running,
		}
		for r := range c.ranges[s.id] {
			view.Ranges = append(view.Ranges, r)
		}
		c.step(c.frontOf[s.id], front.GrantChanged{Target: s.id, View: view})
	}
	c.m.after(core.RenewInterval, c.renew)
}

func (c *celeryhookSystem) step(i int, m front.Message) {
	for _, o := range c.fronts[i].Step(c.m.now, m) {
		switch o := o.(type) {
		case front.SendDecision:
			t := c.submitted[o.To]
			delete(c.submitted, o.To)
			c.handleDecision(i, t, o.Decision)
		case front.SendRememberRequest:
			done := front.RememberDone{
				Target: o.Batch.Target, From: o.To, Number: o.Number, Reply: witness.RememberReply{Stored: true, Complete: true},
			}
			c.m.after(2*localHop, func() { c.step(i, done) })
		}
	}
}

func (c *celeryhookSystem) arrive(a *arrival) {
	c.startAttempt(&attempt{arrival: a, request: a.request}, "")
}

// startAttempt requests a decision from the router and starts the attempt.
func (c *celeryhookSystem) startAttempt(t *attempt, last core.Outcome) {
	d := c.lookup(t, last)
	switch {
	case d.Final:
		c.m.finish(t.arrival, last)
	case d.Outcome != "":
		c.retry(t, d.Outcome)
	default:
		if last != "" {
			c.retries++
		}
		c.send(t, d)
		if d.HedgeAfter > 0 && last == "" {
			c.m.after(d.HedgeAfter, func() { c.hedge(t) })
		}
	}
}

func (c *celeryhookSystem) lookup(t *attempt, last core.Outcome) route.Decision {
	out := c.routers[t.arrival.entry].Step(c.m.now, route.Lookup{Request: t.request, Last: last, Hedge: t.hedge, Tried: t.tried})
	return out[0].(route.SendDecision).Decision
}

func (c *celeryhookSystem) hedge(t *attempt) {
	if t.done || t.arrival.finished {
		return
	}
	second := &attempt{arrival: t.arrival, request: t.arrival.request, hedge: true, tried: t.tried, sibling: t}
	if d := c.lookup(second, ""); d.Outcome == "" && !d.Final {
		c.hedges++
		t.sibling = second
		c.send(second, d)
	}
}

func (c *celeryhookSystem) send(t *attempt, d route.Decision) {
	t.attempts++
	t.decision, t.startedAt = d, c.m.now
	t.tried = append(t.tried[:len(t.tried):len(t.tried)], d.Target)
	t.request.Range = d.Range
	t.request.Attempt = uint32(t.attempts)
	i := c.frontOf[d.Target]
	c.m.after(c.m.hopTime(t.arrival.entry, c.m.domainOf(i)), func() {
		reply := make(chan front.Decision, 1)
		c.submitted[reply] = t
		wall := time.UnixMilli(time.Duration(c.m.now).Milliseconds())
		c.step(i, front.Submit{Request: t.request, Target: d.Target, Wall: wall, Reply: reply})
	})
}

// handleDecision executes a front's decision.
func (c *celeryhookSystem) handleDecision(i int, t *attempt, d front.Decision) {
	if d.Dispatch == nil {
		c.m.after(c.m.hopTime(t.arrival.entry, c.m.domainOf(i)), func() { c.endAttempt(t, d.Outcome) })
		return
	}
	s := c.servers[t.decision.Target]
	c.m.after(localHop, func() {
		if s.running >= c.m.deployment.slots {
			c.overSlots++
		}
		c.m.serve(s, func() { c.handleServed(i, t, s, *d.Dispatch) })
	})
}

func (c *celeryhookSystem) handleServed(i int, t *attempt, s *server, d front.Dispatch) {
	outcome := core.OutcomeAnswered
	if c.m.now > d.Until {
		outcome = core.OutcomeUnknown
	}
	latency := c.m.now.Sub(t.startedAt)
	c.m.after(localHop, func() {
		c.step(i, front.Finished{DispatchID: d.ID, Outcome: outcome, Latency: latency, Incarnation: s.incarnation, Response: &witness.Response{Status: 200}})
		c.m.after(c.m.hopTime(t.arrival.entry, s.domain), func() { c.endAttempt(t, outcome) })
	})
}

// endAttempt reports the result of an attempt to the router, and retries or
// finishes the request. The loser of a hedge is not cancelled in the model.
func (c *celeryhookSystem) endAttempt(t *attempt, o core.Outcome) {
	t.done = true
	c.routers[t.arrival.entry].Step(c.m.now, route.AttemptDone{
		Service: c.m.deployment.service, Target: t.decision.Target, Outcome: o, Latency: c.m.now.Sub(t.startedAt),
		Cancelled: t.arrival.finished && o != core.OutcomeAnswered,
	})
	if o == core.OutcomeAnswered {
		c.m.finish(t.arrival, o)
		return
	}
	if t.arrival.finished || t.sibling != nil && !t.sibling.done {
		return
	}
	c.retry(t, o)
}

func (c *celeryhookSystem) retry(t *attempt, o core.Outcome) {
	delay, ok := route.RetryDelay(o, t.request.Idempotent, max(t.attempts, 1))
	if !ok || c.m.now.Add(delay+route.MinAttemptTime) >= t.request.Deadline {
		c.m.finish(t.arrival, o)
		return
	}
	t.hedge, t.done = false, false
	c.m.after(delay, func() { c.startAttempt(t, o) })
}
