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

// hook joins the real steps of the route and front duties to the model. The
// maps are fixed: moves and hot keys are the coordinator's.
type hook struct {
	m       *model
	routers []*route.Router
	fronts  []*front.Front
	// submitted finds the attempt that a front's decision belongs to.
	submitted map[chan<- front.Decision]*attempt
	servers   map[core.Target]*server
	frontOf   map[core.Target]int
	ranges    map[core.Target]map[core.RangeID]front.Range
	hedges    int
	retries   int
	outOf     int
	limits    policy.Limits
}

// attempt is one attempt of an arrival.
type attempt struct {
	a       *arrival
	d       route.Decision
	began   core.Instant
	hedge   bool
	other   *attempt
	done    bool
	request core.Request
	count   int
	tried   []core.Target
}

func celeryhook(m *model) system {
	h := &hook{
		m: m, submitted: make(map[chan<- front.Decision]*attempt), servers: make(map[core.Target]*server),
		frontOf: make(map[core.Target]int), ranges: make(map[core.Target]map[core.RangeID]front.Range),
		limits: policy.Limits{
			Timeout: timeout, QueueLength: 64, HoldTime: time.Second, RetryBudget: 0.1, HedgeBudget: 0.05,
			ColdSlots: 1, RampStep: 8, CallerShare: 0.5,
		},
	}
	for _, s := range m.servers {
		h.servers[s.id] = s
	}
	return h
}

func vmName(i int) core.VM { return core.VM(fmt.Sprintf("vm-%02d", i)) }

func (h *hook) policy() *policy.Policy {
	division := policy.ShardingNone
	if h.m.d.divided {
		division = policy.ShardingKey
	}
	p := &policy.Policy{
		FailureDomains: h.m.d.domains, Targets: make(map[core.Target]policy.Target),
		Services: map[core.Service]policy.Service{h.m.d.service: {
			Name: h.m.d.service, Sharding: division, Ranges: 240, Limits: h.limits,
		}},
	}
	for _, s := range h.m.servers {
		p.Targets[s.id] = policy.Target{ID: s.id, Service: h.m.d.service, FailureDomain: s.domain, Slots: h.m.d.slots, Speed: 1}
	}
	return p
}

// maps divides the ranges of each failure domain evenly among its targets.
func (h *hook) maps(p *policy.Policy) map[core.FailureDomain]*core.RangeMap {
	out := make(map[core.FailureDomain]*core.RangeMap)
	byDomain := make(map[core.FailureDomain][]core.Target)
	for i, s := range h.m.servers {
		if out[s.domain] == nil {
			out[s.domain] = &core.RangeMap{
				FailureDomain: s.domain, Version: core.Token{Term: 1, Seq: 1},
				Targets: make(map[core.Target]core.TargetAssignment), Ranges: make(map[core.RangeID]core.RangeAssignment),
			}
		}
		// Entry VM i is in failure domain i modulo their number, as target i is.
		vm := i % h.m.d.vms
		for h.m.domainOf(vm) != s.domain {
			vm = (vm + 1) % h.m.d.vms
		}
		h.frontOf[s.id] = vm
		h.ranges[s.id] = make(map[core.RangeID]front.Range)
		out[s.domain].Targets[s.id] = core.TargetAssignment{Front: vmName(vm), Token: core.Token{Term: 1, Seq: 1}}
		byDomain[s.domain] = append(byDomain[s.domain], s.id)
	}
	next := make(map[core.FailureDomain]int)
	for n := range uint32(240) {
		id := core.RangeID{Service: h.m.d.service, Number: n}
		home, _ := p.Home(id, func(core.FailureDomain) bool { return true })
		t := byDomain[home][next[home]%len(byDomain[home])]
		next[home]++
		out[home].Ranges[id] = core.RangeAssignment{Target: t}
		h.ranges[t][id] = front.Range{}
	}
	return out
}

func (h *hook) start() {
	p := h.policy()
	maps := h.maps(p)
	addresses := make(map[core.VM]string)
	for i := range h.m.d.vms {
		addresses[vmName(i)] = "x"
	}
	for i := range h.m.d.vms {
		r := route.New(h.m.domainOf(i), uint64(i))
		r.Step(0, route.AddressesChanged{Addresses: addresses})
		r.Step(0, route.PolicyChanged{Policy: p, Folded: platformlog.State{Offset: 1}})
		for _, d := range h.m.d.domains {
			r.Step(0, route.MapChanged{Map: maps[d]})
		}
		h.routers = append(h.routers, r)
		h.fronts = append(h.fronts, front.New(vmName(i)))
	}
	for i := range h.fronts {
		assigned := front.Assigned{Targets: make(map[core.Target]front.Assignment), Retention: 10 * time.Minute}
		for _, s := range h.m.servers {
			if h.frontOf[s.id] == i {
				assigned.Targets[s.id] = front.Assignment{
					Service: h.m.d.service, Slots: h.m.d.slots, Limits: h.limits, Token: core.Token{Term: 1, Seq: 1},
					Witnesses: []core.VM{"witness"}, Ranges: h.ranges[s.id],
				}
			}
		}
		h.step(i, assigned)
		h.tick(i)
	}
	h.renew()
}

func (h *hook) tick(i int) {
	h.step(i, front.Tick{})
	h.m.after(front.TickInterval, func() { h.tick(i) })
}

func (h *hook) renew() {
	now := h.m.now
	for _, s := range h.m.servers {
		view := grant.View{
			Token: core.Token{Term: 1, Seq: 1}, HeldUntil: now.Add(core.MinusDrift(core.GrantLease)),
			Clock: grant.ClockReading{Sent: now, Received: now}, Incarnation: s.incarnation, InFlight: s.running,
		}
		for r := range h.ranges[s.id] {
			view.Ranges = append(view.Ranges, r)
		}
		h.step(h.frontOf[s.id], front.GrantChanged{Target: s.id, View: view})
	}
	h.m.after(core.RenewInterval, h.renew)
}

func (h *hook) step(i int, m front.Message) {
	for _, o := range h.fronts[i].Step(h.m.now, m) {
		switch o := o.(type) {
		case front.SendDecision:
			t := h.submitted[o.To]
			delete(h.submitted, o.To)
			h.decided(i, t, o.Decision)
		case front.SendRememberRequest:
			done := front.RememberDone{
				Target: o.Batch.Target, From: o.To, Number: o.Number, Reply: witness.RememberReply{Stored: true, Complete: true},
			}
			h.m.after(2*insideHop, func() { h.step(i, done) })
		}
	}
}

func (h *hook) arrive(a *arrival) { h.look(&attempt{a: a, request: a.request}, "") }

// look asks the router for an attempt.
func (h *hook) look(t *attempt, last core.Outcome) {
	d := h.lookup(t, last)
	switch {
	case d.Final:
		h.m.finish(t.a, last)
	case d.Outcome != "":
		h.again(t, d.Outcome)
	default:
		if last != "" {
			h.retries++
		}
		h.send(t, d)
		if d.HedgeAfter > 0 && last == "" {
			h.m.after(d.HedgeAfter, func() { h.hedge(t) })
		}
	}
}

func (h *hook) lookup(t *attempt, last core.Outcome) route.Decision {
	out := h.routers[t.a.entry].Step(h.m.now, route.Lookup{Request: t.request, Last: last, Hedge: t.hedge, Tried: t.tried})
	return out[0].(route.Answer).Decision
}

func (h *hook) hedge(t *attempt) {
	if t.done || t.a.finished {
		return
	}
	second := &attempt{a: t.a, request: t.a.request, hedge: true, tried: t.tried, other: t}
	if d := h.lookup(second, ""); d.Outcome == "" && !d.Final {
		h.hedges++
		t.other = second
		h.send(second, d)
	}
}

func (h *hook) send(t *attempt, d route.Decision) {
	t.count++
	t.d, t.began = d, h.m.now
	t.tried = append(t.tried[:len(t.tried):len(t.tried)], d.Target)
	t.request.Range = d.Range
	t.request.Attempt = uint32(t.count)
	i := h.frontOf[d.Target]
	h.m.after(h.m.hopTo(t.a.entry, h.m.domainOf(i)), func() {
		reply := make(chan front.Decision, 1)
		h.submitted[reply] = t
		wall := time.UnixMilli(time.Duration(h.m.now).Milliseconds())
		h.step(i, front.Submit{Request: t.request, Target: d.Target, Wall: wall, Reply: reply})
	})
}

// decided carries out a front's decision.
func (h *hook) decided(i int, t *attempt, d front.Decision) {
	if d.Dispatch == nil {
		h.m.after(h.m.hopTo(t.a.entry, h.m.domainOf(i)), func() { h.end(t, d.Outcome) })
		return
	}
	s := h.servers[t.d.Target]
	h.m.after(insideHop, func() {
		if s.running >= h.m.d.slots {
			h.outOf++
		}
		h.m.serve(s, func() { h.served(i, t, s, *d.Dispatch) })
	})
}

func (h *hook) served(i int, t *attempt, s *server, d front.Dispatch) {
	outcome := core.OutcomeAnswered
	if h.m.now > d.Until {
		outcome = core.OutcomeUnknown
	}
	latency := h.m.now.Sub(t.began)
	h.m.after(insideHop, func() {
		h.step(i, front.Finished{DispatchID: d.ID, Outcome: outcome, Latency: latency, Incarnation: s.incarnation, Response: &witness.Response{Status: 200}})
		h.m.after(h.m.hopTo(t.a.entry, s.domain), func() { h.end(t, outcome) })
	})
}

// end reports the end of an attempt to the router and goes on. The loser of a
// hedge runs to its end here: the model has no cancellation.
func (h *hook) end(t *attempt, o core.Outcome) {
	t.done = true
	h.routers[t.a.entry].Step(h.m.now, route.Done{
		Service: h.m.d.service, Target: t.d.Target, Outcome: o, Latency: h.m.now.Sub(t.began),
		Cancelled: t.a.finished && o != core.OutcomeAnswered,
	})
	if o == core.OutcomeAnswered {
		h.m.finish(t.a, o)
		return
	}
	if t.a.finished || t.other != nil && !t.other.done {
		return
	}
	h.again(t, o)
}

func (h *hook) again(t *attempt, o core.Outcome) {
	pause, ok := route.Pause(o, t.request.Idempotent, max(t.count, 1))
	if !ok || h.m.now.Add(pause+route.MinAttempt) >= t.request.Deadline {
		h.m.finish(t.a, o)
		return
	}
	t.hedge, t.done = false, false
	h.m.after(pause, func() { h.look(t, o) })
}
