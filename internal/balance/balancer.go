package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/cost"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/routing"
)

const (
	// Maximum queue length at a target, as a multiple of its slots. Requests of
	// the most urgent priorities use urgentQueueFactor, others queueFactor.
	urgentQueueFactor = 2.0
	queueFactor       = 1.5
	// sampleSize is how many targets a decision compares. If all VMs compared
	// all targets of a large service, they would all choose the same one.
	sampleSize = 5
	// subsetSize is the mean number of targets of a service that a VM uses while
	// they have room. In a large deployment, connecting every VM to every target
	// is expensive, and load reports are stale by the time they are used.
	subsetSize = 12
	// connectionFraction is the fraction of a target's connection limit that the
	// VMs use in total. The rest is for connections that overlap during a
	// replacement.
	connectionFraction = 0.7
	// Bounds of the retry delay for rejected callers, which is about the time in
	// which half of the queue is served.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 400 * time.Millisecond
	// unavailableRetryAfter is the retry delay when no target can take the
	// request.
	unavailableRetryAfter = 150 * time.Millisecond
)

// Balancer is the state machine that selects targets.
type Balancer struct {
	domain       core.FailureDomain
	limits       RetryLimits
	random       *rand.Rand
	view         *discovery.View
	owners       *ownership.View
	services     map[core.Service]routing.Service
	members      *roster.View
	targets      map[core.Target]*target
	retryBudgets map[core.Service]*retryBudget
	work         workEstimates
	costs        cost.Estimator
	meanPaces    map[core.Service]float64
	attempts     uint64
	unitLoads    map[core.Service]map[int]float64
	lastReport   core.Instant
	patience     map[workload]*longestPatience
	exchange     exchange
}

// New returns a balancer for a VM in the given failure domain.
func New(domain core.FailureDomain, limits RetryLimits, random *rand.Rand) *Balancer {
	return &Balancer{
		domain: domain, limits: limits, random: random,
		view: &discovery.View{}, owners: &ownership.View{},
		targets:      make(map[core.Target]*target),
		retryBudgets: make(map[core.Service]*retryBudget),
		work:         newWorkEstimates(),
		meanPaces:    make(map[core.Service]float64),
		unitLoads:    make(map[core.Service]map[int]float64),
		patience:     make(map[workload]*longestPatience),
	}
}

// Step implements duty.Step.
func (b *Balancer) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case SelectTarget:
		return []Output{DecisionReply{To: m.Reply, Decision: b.decide(now, m)}}
	case AttemptDone:
		return b.attemptDone(now, m)
	case ProbeDone:
		return b.probeDone(now, m)
	case TargetsChanged:
		b.view = m.View
		b.syncTargets(now)
	case OwnersChanged:
		b.owners = m.View
	case ServicesChanged:
		b.services = m.Services
		b.prunePatience(now)
	case MembersChanged:
		b.members = m.View
		b.updateRanks()
	case LimitsChanged:
		b.limits = m.Limits
	case LoadReportRequest:
		return []Output{LoadReportReply{To: m.Reply, Load: b.loadReport(now)}}
	case ObservationsRequest, DigestChanged:
		return b.stepExchange(now, m)
	case Tick:
		return b.startProbes(now)
	}
	return nil
}

// syncTargets updates the targets from the registered processes. A process that
// replaces another under the same id starts with new state, except for the
// requests in flight, which end under that id.
func (b *Balancer) syncTargets(now core.Instant) {
	for id, d := range b.view.Targets {
		t := b.targets[id]
		if t != nil && t.StartedAt == d.StartedAt && t.Address == d.Address {
			t.update(d)
			continue
		}
		n := &target{Target: d, knownSince: now}
		if t != nil {
			n.inFlight, n.remaining = t.inFlight, t.remaining
		}
		b.targets[id] = n
		n.rank = b.rankOf(d)
	}
	for id, t := range b.targets {
		if b.view.Targets[id] == nil && t.inFlight == 0 {
			delete(b.targets, id)
		}
	}
}

func (b *Balancer) updateRanks() {
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

func (b *Balancer) memberCount() int {
	if b.members == nil {
		return 1
	}
	return b.members.Size()
}

func (b *Balancer) retryBudget(s core.Service) *retryBudget {
	budget := b.retryBudgets[s]
	if budget == nil {
		budget = &retryBudget{}
		b.retryBudgets[s] = budget
	}
	return budget
}

func (b *Balancer) decide(now core.Instant, req SelectTarget) Decision {
	service, ok := b.services[req.Service]
	if !ok {
		return Decision{Verdict: Reject, Reason: "unknown-service", RetryAfter: unavailableRetryAfter}
	}
	if !service.LoadControl {
		return b.decideFor(now, req, service)
	}
	req.Waited = b.waited(now, req)
	return limitRetryAfter(now, req, b.decideFor(now, req, service))
}

// decideFor decides on a request for a known service.
func (b *Balancer) decideFor(now core.Instant, req SelectTarget, service routing.Service) Decision {
	limits := budgetLimits(b.limits, service)
	if !req.Counted {
		b.retryBudget(req.Service).deposit(limits, b.memberCount())
		if service.Sharded {
			b.countRequest(now, req)
		}
	}
	t, d := b.choose(now, req, service)
	b.countDemand(t, d)
	if t == nil {
		return d
	}
	remaining := req.Deadline.Sub(now)
	w := b.workOf(now, req)
	expected := t.expectedLatency(now, w)
	// An idle target gets a request all the same, as only results update the
	// estimate.
	if expected > remaining && !t.isIdle(now) {
		d = b.rejectOverloaded(now, t, "deadline")
		d.ExpectedLatency = expected
		return d
	}
	if req.Kind != First && !b.retryBudget(req.Service).withdraw(req, limits, b.memberCount()) {
		return Decision{Verdict: Reject, Reason: "retry-budget", RetryAfter: b.retryAfterShed(now, t, service)}
	}
	if t.ColdUntil.After(now) && !t.coldLimiter.allow(now, service, t.rank, b.memberCount()) {
		return Decision{Verdict: Reject, Target: Target{ID: t.ID}, Reason: "cold", RetryAfter: unavailableRetryAfter}
	}
	age := time.Duration(-1)
	if t.load != nil {
		age = now.Sub(t.loadAt)
	}
	occupancy := t.occupancy(now)
	attempt := b.trackAttempt(now, t, req.Deadline, w)
	t.inFlight++
	b.countSent(now, t)
	return Decision{
		Verdict: Send, Reason: "chosen", ExpectedLatency: expected, Occupancy: occupancy, LoadAge: age, Attempt: attempt,
		Target: Target{ID: t.ID, Address: t.Address, StartedAt: t.StartedAt, MaxConnections: b.connections(service)},
	}
}

// connections returns this VM's limit of connections to a target: an equal part
// for each VM that uses the target.
func (b *Balancer) connections(s routing.Service) int {
	users := b.memberCount()
	if count := len(b.view.ByService[s.Name]); !s.Sharded && count > subsetSize {
		users = min(users, subsetUsers(users, count))
	}
	return max(1, int(float64(s.MaxConnections)*connectionFraction)/users)
}

// subsetUsers returns how many VMs have a target in their subset.
func subsetUsers(members, targets int) int { return (subsetSize*members + targets - 1) / targets }

// choose returns the target to send to. If there is none, it returns the
// decision to wait or reject.
func (b *Balancer) choose(now core.Instant, req SelectTarget, s routing.Service) (*target, Decision) {
	if s.Sharded {
		return b.keyOwner(now, req, s)
	}
	subset, rest := b.splitSubset(b.view.ByService[req.Service])
	t, full := b.cheapest(now, req, s, subset)
	if t == nil {
		var alsoFull *target
		if t, alsoFull = b.cheapest(now, req, s, rest); full == nil {
			full = alsoFull
		}
	}
	switch {
	case t != nil:
		return t, Decision{}
	case full != nil && !b.withinRateLimit(now, full, req):
		return nil, b.rejectLimited(now, full, req)
	case full != nil:
		return nil, b.rejectOverloaded(now, full, "full")
	}
	return nil, Decision{Verdict: Reject, Reason: "no-target", RetryAfter: unavailableRetryAfter}
}

// splitSubset returns the targets in this VM's subset, and the rest, which it
// uses only while none of its subset has room.
func (b *Balancer) splitSubset(list []*discovery.Target) (subset, rest []*discovery.Target) {
	if len(list) <= subsetSize {
		return list, nil
	}
	// Every target is in the subsets of the same number of VMs.
	users := subsetUsers(b.memberCount(), len(list))
	for _, d := range list {
		if t := b.targets[d.ID]; t != nil && t.rank < users {
			subset = append(subset, d)
		} else {
			rest = append(rest, d)
		}
	}
	return subset, rest
}

// cheapest compares a sample of the targets. It returns the one with the lowest
// cost, or nil, and one that is full or at its rate limit, if any was found.
func (b *Balancer) cheapest(now core.Instant, req SelectTarget, s routing.Service, list []*discovery.Target) (best, full *target) {
	var bestCost time.Duration
	w := b.workOf(now, req)
	seen := 0
	for _, i := range b.candidateOrder(list) {
		t := b.targets[list[i].ID]
		if t == nil || !b.available(now, t) || slices.Contains(req.Tried, t.ID) {
			continue
		}
		if t.ColdUntil.After(now) && (t.rank >= coldSenders || !t.coldLimiter.refill(now, s, b.memberCount())) {
			continue
		}
		if b.full(now, t, req, s) || !b.withinRateLimit(now, t, req) {
			full = t
			continue
		}
		if c := t.cost(now, w, b.domain); best == nil || c < bestCost {
			best, bestCost = t, c
		}
		if seen++; seen >= sampleSize {
			break
		}
	}
	return best, full
}

// candidateOrder returns the indexes of the targets in random order. Targets in
// the VM's own failure domain come first, but the last place of the sample goes
// to another domain.
func (b *Balancer) candidateOrder(list []*discovery.Target) []int {
	own := make([]int, 0, len(list))
	var other []int
	for _, i := range b.random.Perm(len(list)) {
		if list[i].FailureDomain == b.domain {
			own = append(own, i)
		} else {
			other = append(other, i)
		}
	}
	if len(other) == 0 || len(own) < sampleSize {
		return append(own, other...)
	}
	return append(append(append([]int{}, own[:sampleSize-1]...), other...), own[sampleSize-1:]...)
}

func (b *Balancer) available(now core.Instant, t *target) bool {
	return t.Usable() && !t.unreachable && !t.replaced && !now.Before(t.ejectedUntil) && !now.Before(t.pausedUntil)
}

func (b *Balancer) full(now core.Instant, t *target, req SelectTarget, s routing.Service) bool {
	limit := queueFactor
	if req.Priority <= 1 {
		limit = urgentQueueFactor
	}
	return t.occupancy(now)+1 > t.slots()*(1+limit) || s.LoadControl && b.queueTooLong(now, t, req)
}

// rejectOverloaded rejects a request because the target is overloaded.
func (b *Balancer) rejectOverloaded(now core.Instant, t *target, reason string) Decision {
	return Decision{
		Verdict: Reject, Target: Target{ID: t.ID}, Reason: reason, RetryAfter: b.retryAfter(now, t), Occupancy: t.occupancy(now),
	}
}

func (b *Balancer) retryAfter(now core.Instant, t *target) time.Duration {
	over := max(0, t.occupancy(now)-t.slots()) / t.slots() / 2
	d := time.Duration(float64(b.work.mean(t.Service)) * t.paceOrUsual(now) * over)
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func (b *Balancer) attemptDone(now core.Instant, m AttemptDone) []Output {
	t := b.targets[m.Target]
	if t == nil {
		return nil
	}
	t.inFlight = max(0, t.inFlight-1)
	t.remaining.end(m.Attempt, t.inFlight)
	t.recordLoad(now, m.Load)
	b.countResult(now, t, m)
	return append(b.recordAnnouncement(now, t, m.Announced, m.Elapsed), b.recordResult(now, t, m)...)
}

// recordResult updates the target and the estimates from the result of an
// attempt.
func (b *Balancer) recordResult(now core.Instant, t *target, m AttemptDone) []Output {
	switch m.Result {
	case Succeeded:
		b.recordDuration(now, t, m)
		t.recordOutcome(now, true)
		return nil
	case Cancelled, NotOwner:
		return nil
	case TurnedAway:
		t.recordFull(now)
		return nil
	case OtherProcess:
		t.replaced = true
		return []Output{TargetUnreachable{Target: t.ID, StartedAt: t.StartedAt}, b.event(now, t, "another process responds at the target's address")}
	case ConnectFailed:
		return b.connectFailed(now, t)
	case ConnectionLost:
		t.checkDue = true
	}
	if t.recordOutcome(now, false) {
		return []Output{b.event(now, t, "target taken out after failures")}
	}
	return nil
}

func (b *Balancer) connectFailed(now core.Instant, t *target) []Output {
	if !t.markUnreachable(now) {
		return nil
	}
	return []Output{TargetUnreachable{Target: t.ID, StartedAt: t.StartedAt}, b.event(now, t, "target can't be reached")}
}

// recordDuration updates the estimates of the target and of the request's route.
func (b *Balancer) recordDuration(now core.Instant, t *target, m AttemptDone) {
	b.observeWork(now, t, m, t.recordDuration(now, m.Elapsed, b.workDone(now, m)))
	t.duration = t.meanDuration(b.work.mean(t.Service))
}

func (b *Balancer) event(now core.Instant, t *target, text string) Event {
	return Event{Text: text, Fields: []any{
		"target", t.ID, "service", t.Service, "address", t.Address, "failure_rate", t.failureRate,
		"in_a_row", t.consecutiveFailures, "out_ms", max(0, t.ejectedUntil.Sub(now).Milliseconds()),
	}}
}

// startProbes requests health checks of the unreachable targets that are due, and
// of those that closed a connection with a request, as they may have exited.
func (b *Balancer) startProbes(now core.Instant) []Output {
	var out []Output
	for _, t := range b.targets {
		if !b.probeDue(now, t) {
			continue
		}
		t.probeInFlight, t.checkDue = true, false
		out = append(out, Probe{Target: t.ID, Address: t.Address, Path: b.services[t.Service].HealthPath})
	}
	return out
}

// probeDue reports whether to request a health check of a target. A reachable target
// that wants no requests is checked after its pause.
func (b *Balancer) probeDue(now core.Instant, t *target) bool {
	switch {
	case t.probeInFlight || t.replaced || now.Before(t.nextProbe) || b.view.Targets[t.ID] == nil:
		return false
	case t.unreachable:
		return true
	}
	return t.checkDue && !now.Before(t.pausedUntil)
}

func (b *Balancer) probeDone(now core.Instant, m ProbeDone) []Output {
	t := b.targets[m.Target]
	if t == nil {
		return nil
	}
	t.probeInFlight = false
	t.recordLoad(now, m.Load)
	if m.OtherProcess {
		t.replaced = true
		return []Output{TargetUnreachable{Target: t.ID, StartedAt: t.StartedAt}}
	}
	if !t.unreachable {
		t.nextProbe = now.Add(checkInterval)
		if m.Refused {
			return b.connectFailed(now, t)
		}
		return nil
	}
	if !m.Healthy {
		t.probeBackoff = min(2*t.probeBackoff, maxProbeBackoff)
		t.nextProbe = now.Add(t.probeBackoff)
		return []Output{TargetUnreachable{Target: t.ID, StartedAt: t.StartedAt}}
	}
	t.unreachable = false
	t.consecutiveFailures = 0
	out := []Output{b.event(now, t, "target reachable again")}
	if m.ColdRemaining > 0 {
		c := *t.Target
		c.ColdUntil = max(c.ColdUntil, now.Add(m.ColdRemaining))
		t.Target = &c
		out = append(out, ColdStartReported{Target: t.ID, Remaining: m.ColdRemaining})
	}
	return out
}
