package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/routing"
)

const (
	// Requests of the most urgent priority may wait at a target in a queue of
	// urgentQueue times its slots, others in one of queue times.
	urgentQueue = 2.0
	queue       = 1.5
	// sampled is how many targets a decision compares. Comparing all of a large
	// service would send all VMs to the same one.
	sampled = 5
	// subset is how many targets of a service a VM uses on average while they
	// can take its requests. In a large deployment, connections from each VM to
	// each target cost much and their load reports are old when they are used.
	subset = 12
	// connectionPart is the part of a target's connections that the VMs keep
	// open together; the rest is for connections that overlap a replacement.
	connectionPart = 0.7
	// Refused callers are told to come back when about half of a queue is
	// served, within these bounds.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 400 * time.Millisecond
	// absentRetryAfter is told when no target can take the request.
	absentRetryAfter = 150 * time.Millisecond
)

// Balancer is the state machine.
type Balancer struct {
	domain   core.FailureDomain
	limits   RetryLimits
	random   *rand.Rand
	view     *discovery.View
	owners   *ownership.View
	services map[core.Service]routing.Service
	members  *roster.View
	targets  map[core.Target]*target
	budgets  map[core.Service]*budget
	standard map[core.Service]time.Duration
	counts   map[core.Service]map[int]int
	surveyed core.Instant
}

// New returns a balancer for a VM of a failure domain.
func New(domain core.FailureDomain, limits RetryLimits, random *rand.Rand) *Balancer {
	return &Balancer{
		domain: domain, limits: limits, random: random,
		view: &discovery.View{}, owners: &ownership.View{},
		targets:  make(map[core.Target]*target),
		budgets:  make(map[core.Service]*budget),
		standard: make(map[core.Service]time.Duration),
		counts:   make(map[core.Service]map[int]int),
	}
}

// Step implements duty.Step.
func (b *Balancer) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case Ask:
		return []Output{Decide{To: m.Reply, Decision: b.decide(now, m)}}
	case Done:
		return b.done(now, m)
	case Probed:
		return b.probed(now, m)
	case TargetsChanged:
		b.view = m.View
		b.sync()
	case OwnersChanged:
		b.owners = m.View
	case ServicesChanged:
		b.services = m.Services
	case MembersChanged:
		b.members = m.View
		b.rank()
	case LimitsChanged:
		b.limits = m.Limits
	case Survey:
		return []Output{Surveyed{To: m.Reply, Load: b.survey(now)}}
	case Tick:
		return b.probes(now)
	}
	return nil
}

// sync keeps the state of processes that are still registered. A process that
// replaces another under its id starts anew.
func (b *Balancer) sync() {
	for id, d := range b.view.Targets {
		t := b.targets[id]
		if t != nil && t.Born == d.Born && t.Address == d.Address {
			t.Target = d
			continue
		}
		n := &target{Target: d}
		if t != nil {
			n.mine = t.mine
		}
		b.targets[id] = n
		n.rank = b.rankOf(d)
	}
	for id, t := range b.targets {
		if b.view.Targets[id] == nil && t.mine == 0 {
			delete(b.targets, id)
		}
	}
}

func (b *Balancer) rank() {
	for _, t := range b.targets {
		t.rank = b.rankOf(t.Target)
	}
}

func (b *Balancer) rankOf(t *discovery.Target) int {
	if b.members == nil {
		return 0
	}
	return b.members.Rank(string(t.ID), t.FailureDomain)
}

func (b *Balancer) size() int {
	if b.members == nil {
		return 1
	}
	return b.members.Size()
}

func (b *Balancer) budget(s core.Service) *budget {
	x := b.budgets[s]
	if x == nil {
		x = &budget{}
		b.budgets[s] = x
	}
	return x
}

func (b *Balancer) decide(now core.Instant, a Ask) Decision {
	service, ok := b.services[a.Service]
	if !ok {
		return Decision{Verdict: Refuse, Reason: "unknown-service", RetryAfter: absentRetryAfter}
	}
	if !a.Counted {
		b.budget(a.Service).earn(b.limits, b.size())
		if service.DividedByKey {
			b.count(a.Service, a.Key)
		}
	}
	t, d := b.choose(now, a, service)
	if t == nil {
		return d
	}
	left := a.Until.Sub(now)
	expected := t.expected(now, b.standardTime(a.Service))
	if expected > left {
		d = b.busy(now, t, "deadline")
		d.Expected = expected
		return d
	}
	if a.Kind != First && !b.budget(a.Service).spend(a.Kind, b.limits, b.size()) {
		return Decision{Verdict: Refuse, Reason: "retry-budget", RetryAfter: absentRetryAfter}
	}
	if t.ColdUntil.After(now) && !t.gate.allow(now, service, t.rank, b.size()) {
		return Decision{Verdict: Refuse, Target: Target{ID: t.ID}, Reason: "cold", RetryAfter: absentRetryAfter}
	}
	age := time.Duration(-1)
	if t.report != nil {
		age = now.Sub(t.reportAt)
	}
	occupancy := t.occupancy(now)
	t.mine++
	return Decision{
		Verdict: Send, Reason: "chosen", Expected: expected, Occupancy: occupancy, LoadAge: age,
		Target: Target{ID: t.ID, Address: t.Address, MaxConnections: b.connections(service)},
	}
}

func (b *Balancer) connections(s routing.Service) int {
	return max(1, int(float64(s.MaxConnections)*connectionPart)/b.size())
}

// choose returns the target to send to, or the decision if there is none.
func (b *Balancer) choose(now core.Instant, a Ask, s routing.Service) (*target, Decision) {
	if s.DividedByKey {
		return b.owner(now, a)
	}
	mine, rest := b.divide(b.view.ByService[a.Service])
	t, full := b.cheapest(now, a, s, mine)
	if t == nil {
		var alsoFull *target
		if t, alsoFull = b.cheapest(now, a, s, rest); full == nil {
			full = alsoFull
		}
	}
	switch {
	case t != nil:
		return t, Decision{}
	case full != nil:
		return nil, b.busy(now, full, "full")
	}
	return nil, Decision{Verdict: Refuse, Reason: "no-target", RetryAfter: absentRetryAfter}
}

// divide returns the targets that this VM uses, and those that it leaves to
// others while its own can take its requests.
func (b *Balancer) divide(list []*discovery.Target) (mine, rest []*discovery.Target) {
	if len(list) <= subset {
		return list, nil
	}
	// Each target is used by the same number of VMs.
	users := (subset*b.size() + len(list) - 1) / len(list)
	for _, d := range list {
		if t := b.targets[d.ID]; t != nil && t.rank < users {
			mine = append(mine, d)
		} else {
			rest = append(rest, d)
		}
	}
	return mine, rest
}

// cheapest compares some of the targets. It returns the one with the lowest
// cost, or one that is full if there is no other.
func (b *Balancer) cheapest(now core.Instant, a Ask, s routing.Service, list []*discovery.Target) (best, full *target) {
	var bestCost time.Duration
	standard := b.standardTime(a.Service)
	seen := 0
	for _, i := range b.order(list) {
		t := b.targets[list[i].ID]
		if t == nil || !b.sendable(now, t) || slices.Contains(a.Tried, t.ID) {
			continue
		}
		if t.ColdUntil.After(now) && (t.rank >= coldSharers || !t.gate.ready(now, s, b.size())) {
			continue
		}
		if b.full(now, t, a.Priority) {
			full = t
			continue
		}
		if c := t.cost(now, standard, b.domain); best == nil || c < bestCost {
			best, bestCost = t, c
		}
		if seen++; seen >= sampled {
			break
		}
	}
	return best, full
}

// order returns a random order of the targets, those of the VM's own failure
// domain first except for one.
func (b *Balancer) order(list []*discovery.Target) []int {
	own := make([]int, 0, len(list))
	var other []int
	for _, i := range b.random.Perm(len(list)) {
		if list[i].FailureDomain == b.domain {
			own = append(own, i)
		} else {
			other = append(other, i)
		}
	}
	if len(other) == 0 || len(own) < sampled {
		return append(own, other...)
	}
	return append(append(append([]int{}, own[:sampled-1]...), other...), own[sampled-1:]...)
}

func (b *Balancer) sendable(now core.Instant, t *target) bool {
	return t.Usable() && !t.unreachable && !t.ended && !now.Before(t.ejected)
}

func (b *Balancer) full(now core.Instant, t *target, priority int) bool {
	limit := queue
	if priority <= 1 {
		limit = urgentQueue
	}
	return t.occupancy(now)+1 > t.slots()*(1+limit)
}

// owner returns the owner of the request's key.
func (b *Balancer) owner(now core.Instant, a Ask) (*target, Decision) {
	cell, ok := b.owners.Assignment(a.Service, a.Key)
	if !ok {
		return nil, wait("", "no-owner")
	}
	if cell.Moving() {
		return nil, wait(cell.Owner.Target, "moving")
	}
	t := b.targets[cell.Owner.Target]
	switch {
	case t == nil || t.Born != cell.Owner.StartedAt:
		return nil, wait(cell.Owner.Target, "owner-lost")
	case t.unreachable || t.ended:
		return nil, wait(t.ID, "owner-unreachable")
	case !t.Serves(now):
		return nil, wait(t.ID, "owner-leaving")
	case b.full(now, t, a.Priority):
		return nil, b.busy(now, t, "full")
	}
	return t, Decision{}
}

// wait lets a request wait for an owner of its key.
func wait(owner core.Target, reason string) Decision {
	return Decision{Verdict: Wait, Target: Target{ID: owner}, Reason: reason, RetryAfter: absentRetryAfter}
}

// busy refuses a request for a target that has too much to do.
func (b *Balancer) busy(now core.Instant, t *target, reason string) Decision {
	return Decision{
		Verdict: Refuse, Target: Target{ID: t.ID}, Reason: reason, RetryAfter: b.retryAfter(now, t), Occupancy: t.occupancy(now),
	}
}

func (b *Balancer) retryAfter(now core.Instant, t *target) time.Duration {
	over := max(0, t.occupancy(now)-t.slots()) / t.slots() / 2
	d := time.Duration(float64(t.base(b.standardTime(t.Service))) * over)
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// standardTime is the service time of the service as a whole.
func (b *Balancer) standardTime(s core.Service) time.Duration {
	if d := b.standard[s]; d > 0 {
		return d
	}
	return defaultServiceTime
}

func (b *Balancer) done(now core.Instant, m Done) []Output {
	t := b.targets[m.Target]
	if t == nil {
		return nil
	}
	t.mine = max(0, t.mine-1)
	t.observe(now, m.Load)
	switch m.Result {
	case Answered:
		t.measure(now, m.Took)
		b.standard[m.Service] = b.standardTime(m.Service) + (t.serviceTime-b.standardTime(m.Service))/serviceTimeShare
		t.outcome(now, true)
		return nil
	case Cancelled, NotOwner:
		return nil
	case OtherProcess:
		t.ended = true
		return []Output{Suspect{Target: t.ID}, b.event(now, t, "another process has the target's address")}
	case NoConnection:
		if t.lost(now) {
			return []Output{Suspect{Target: t.ID}, b.event(now, t, "target can't be reached")}
		}
		return nil
	}
	if t.outcome(now, false) {
		return []Output{b.event(now, t, "target taken out after failures")}
	}
	return nil
}

func (b *Balancer) event(now core.Instant, t *target, text string) Event {
	return Event{Text: text, Fields: []any{
		"target", t.ID, "service", t.Service, "address", t.Address, "failure_rate", t.failures,
		"in_a_row", t.inARow, "out_ms", max(0, t.ejected.Sub(now).Milliseconds()),
	}}
}

// probes asks the targets that can't be reached for their health.
func (b *Balancer) probes(now core.Instant) []Output {
	var out []Output
	for _, t := range b.targets {
		if !t.unreachable || t.probing || t.ended || now.Before(t.probeAt) || b.view.Targets[t.ID] == nil {
			continue
		}
		t.probing = true
		out = append(out, Probe{Target: t.ID, Address: t.Address, Path: b.services[t.Service].HealthPath})
	}
	return out
}

func (b *Balancer) probed(now core.Instant, m Probed) []Output {
	t := b.targets[m.Target]
	if t == nil {
		return nil
	}
	t.probing = false
	t.observe(now, m.Load)
	if m.Other {
		t.ended = true
		return []Output{Suspect{Target: t.ID}}
	}
	if !m.Healthy {
		t.probeWait = min(2*t.probeWait, probeMax)
		t.probeAt = now.Add(t.probeWait)
		return []Output{Suspect{Target: t.ID}}
	}
	t.unreachable = false
	t.inARow = 0
	out := []Output{b.event(now, t, "target reachable again")}
	if m.Cold > 0 {
		c := *t.Target
		c.ColdUntil = max(c.ColdUntil, now.Add(m.Cold))
		t.Target = &c
		out = append(out, Cold{Target: t.ID, Left: m.Cold})
	}
	return out
}
