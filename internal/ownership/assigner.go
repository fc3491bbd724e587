package ownership

import (
	"errors"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/routing"
)

// Assigner is the state machine that writes the ledger while this VM is the
// leader, and carries out the moves recorded there.
type Assigner struct {
	self Leader
	// firstStart is set if the whole deployment starts for the first time.
	firstStart bool
	startedAt  core.Instant

	ledger *View
	// asOf is when the ledger was last known to be current, and streamAsOf when
	// ledger.StreamEnd was the end of the stream. They differ while the ledger is not
	// in force.
	asOf       core.Instant
	streamAsOf core.Instant
	targets    *discovery.View
	members    *roster.View
	services   map[core.Service]routing.Service

	leading bool
	// leaderSeen is when the leader, this VM or another one, last appended.
	leaderSeen    core.Instant
	leaderAttempt core.Instant
	// appendPending is set from an append until it appears in the ledger.
	// appendedEnd is the offset at which the stream ended after it.
	appendPending bool
	appendedEnd   int64
	appendedAt    core.Instant
	appendRetryAt core.Instant
	restoration   restoration
	// rewrittenTo is the last View.Overwritten that this VM has acted on.
	rewrittenTo int64

	firstSeen     map[core.Service]core.Instant
	lastChange    map[core.Service]core.Instant
	targetCount   map[core.Service]int
	unreachableAt map[core.Target]core.Instant
	moves         map[MoveID]*move
	evictions     map[Eviction]*eviction
	loads         *loadReports
	plannedAt     core.Instant
	rebalancedAt  core.Instant
	movedAt       map[core.Service]*[Units]core.Instant
}

// NewAssigner returns an assigner that is not the leader. FirstStart is set if the
// whole deployment starts for the first time, so that no target holds keys.
func NewAssigner(self Leader, firstStart bool) *Assigner {
	return &Assigner{
		self: self, firstStart: firstStart, ledger: &View{}, targets: &discovery.View{},
		firstSeen:     make(map[core.Service]core.Instant),
		lastChange:    make(map[core.Service]core.Instant),
		targetCount:   make(map[core.Service]int),
		unreachableAt: make(map[core.Target]core.Instant),
		moves:         make(map[MoveID]*move),
		evictions:     make(map[Eviction]*eviction),
		loads:         newLoadReports(),
		movedAt:       make(map[core.Service]*[Units]core.Instant),
	}
}

// Step implements duty.Step.
func (a *Assigner) Step(now core.Instant, m Message) []Output {
	if a.startedAt == 0 {
		a.startedAt = now
	}
	var out []Output
	switch m := m.(type) {
	case LedgerChanged:
		out = a.ledgerChanged(now, m)
	case TargetsChanged:
		a.targetsChanged(now, m.View)
	case ServicesChanged:
		a.services = m.Services
	case MembersChanged:
		a.members = m.View
	case LoadReport:
		a.loads.add(now, m)
		a.updateUnreachable(now, m.Unreachable)
	case Unreachable:
		a.unreachableAt[m.Target] = now
	case Appended:
		out = a.appended(now, m)
	case Released:
		out = a.released(now, m)
	case Granted:
		out = a.granted(now, m)
	case GrantExpiry:
		out = a.grantExpiry(now, m)
	case QuorumResult:
		out = a.quorumResult(now, m)
	case Tick:
	}
	if !a.ledger.InForce() {
		return append(out, a.restoreLedger(now)...)
	}
	out = append(out, a.maintainLeadership(now)...)
	switch {
	case !a.leading || a.members == nil:
	case a.ledger.Restored != ConfirmedByAll:
		out = append(out, a.confirmLedger(now)...)
	default:
		out = append(out, a.rewriteOverwritten(now)...)
		out = append(out, a.advance(now)...)
	}
	return out
}

func (a *Assigner) ledgerChanged(now core.Instant, m LedgerChanged) []Output {
	changed := m.View.Next != a.ledger.Next
	a.ledger, a.streamAsOf = m.View, m.AsOf
	if a.ledger.InForce() {
		a.asOf = m.AsOf
	}
	if a.ledger.Restored == ConfirmedByAll || !a.ledger.InForce() {
		a.restoration.wait = nil
	}
	if m.LeaderWrote {
		a.leaderSeen = now
	}
	if a.appendedEnd > 0 && a.ledger.StreamEnd >= a.appendedEnd {
		a.appendPending, a.appendedEnd = false, 0
	}
	leads := a.ledger.Leader == a.self
	if leads == a.leading {
		if leads && changed {
			a.syncMoves(now)
		}
		return nil
	}
	a.leading = leads
	a.moves, a.evictions = make(map[MoveID]*move), make(map[Eviction]*eviction)
	if leads {
		a.syncMoves(now)
	}
	text := "assigner role lost"
	if leads {
		text = "assigner role taken"
	}
	return []Output{Event{Text: text, Fields: []any{"lead", a.ledger.Leader.VM, "ledger_end", a.ledger.Next}}}
}

func (a *Assigner) targetsChanged(now core.Instant, v *discovery.View) {
	a.targets = v
	for s, list := range v.ByService {
		if _, ok := a.firstSeen[s]; !ok {
			a.firstSeen[s] = now
		}
		if a.targetCount[s] != len(list) {
			a.targetCount[s] = len(list)
			a.lastChange[s] = now
		}
	}
}

// updateUnreachable marks targets as unreachable if VMs of at least two failure
// domains report them. The VMs of one domain may be partitioned from a target
// that all others reach.
func (a *Assigner) updateUnreachable(now core.Instant, targets []core.Target) {
	if a.members == nil {
		return
	}
	for _, t := range targets {
		domains := make(map[core.FailureDomain]bool)
		for _, vm := range a.loads.unreachableReporters(now, t) {
			if m, ok := a.members.Member(vm); ok {
				domains[m.FailureDomain] = true
			}
		}
		if len(domains) > 1 {
			a.unreachableAt[t] = now
		}
	}
}

// ledgerFresh reports whether the ledger is recent enough to append to.
func (a *Assigner) ledgerFresh(now core.Instant) bool {
	return a.asOf != 0 && now.Sub(a.asOf) < maxAppendAge
}

// maintainLeadership renews this VM's leadership, or takes over from a leader
// that has stopped appending.
func (a *Assigner) maintainLeadership(now core.Instant) []Output {
	if a.appendPending || now.Before(a.appendRetryAt) || a.members == nil || !a.ledgerFresh(now) {
		return nil
	}
	if a.leading {
		if now.Sub(a.appendedAt) < leaderRenewInterval {
			return nil
		}
		return a.appendLeader(now)
	}
	wait := time.Duration(0)
	// A leader on this VM, or on a VM that has restarted since, is known to have
	// exited, so there is no need to wait for it.
	if leader := a.ledger.Leader; leader.VM != "" && leader.VM != a.self.VM {
		wait = leaderTimeout
	}
	if leader, ok := a.members.Member(a.ledger.Leader.VM); ok && leader.Incarnation > a.ledger.Leader.Incarnation {
		wait = 0
	}
	wait += time.Duration(a.members.CapacityRank(leaderKey, "")) * electionStagger
	if a.leaderSeen == 0 {
		a.leaderSeen = now
	}
	if now.Sub(a.leaderSeen) < wait || now.Sub(a.leaderAttempt) < leaderRenewInterval {
		return nil
	}
	a.leaderAttempt = now
	return a.appendLeader(now)
}

func (a *Assigner) appendLeader(now core.Instant) []Output {
	r, err := encodeLeader(a.self, a.grantDuration(), replica.Era(a.ledger.StreamEnd), a.ledger.Restored)
	if err != nil {
		return []Output{Event{Text: "failed to encode leader record", Fields: []any{"reason", err.Error()}}}
	}
	return a.append(now, []replica.Record{r})
}

// grantDuration returns how long grants should last: longer than nearly all
// requests take, as a target ends work that outlasts its grant with a failure.
func (a *Assigner) grantDuration() time.Duration {
	d := a.ledger.GrantDuration()
	for _, s := range a.services {
		if s.Sharded {
			d = max(d, min(s.LongestRequest*grantRequestShare/100+RenewInterval, maxGrantDuration))
		}
	}
	return d
}

func (a *Assigner) append(now core.Instant, records []replica.Record) []Output {
	a.appendPending, a.appendedAt = true, now
	return []Output{Append{At: a.ledger.StreamEnd, Records: records}}
}

func (a *Assigner) appended(now core.Instant, m Appended) []Output {
	if m.Err == nil && a.ledger.StreamEnd < m.Next {
		a.appendedEnd = m.Next
		return nil
	}
	a.appendPending = false
	if m.Err == nil {
		return nil
	}
	a.appendRetryAt = now.Add(appendBackoff)
	if errors.Is(m.Err, replica.ErrConflict) {
		return []Output{Event{Text: "append conflicted with another VM", Fields: []any{"ledger_end", a.ledger.Next}}}
	}
	return []Output{Event{Text: "append not confirmed", Fields: []any{"ledger_end", a.ledger.Next, "reason", m.Err.Error()}}}
}

// advance carries out moves, and appends completed moves or a new plan.
func (a *Assigner) advance(now core.Instant) []Output {
	out := a.runMoves(now)
	if a.appendPending || now.Before(a.appendRetryAt) || !a.ledgerFresh(now) {
		return out
	}
	changes := a.completedMoves(now)
	reason := "moves completed"
	if len(changes) == 0 && now.Sub(a.plannedAt) >= planInterval {
		a.plannedAt = now
		changes, reason = a.plan(now)
	}
	if len(changes) == 0 {
		return out
	}
	records, err := a.encodeChanges(changes)
	if err != nil {
		return append(out, Event{Text: "failed to encode assignments", Fields: []any{"reason", err.Error()}})
	}
	out = append(out, a.append(now, records)...)
	return append(out, Event{Text: "assignment written", Fields: []any{
		"reason", reason, "units", len(changes), "fence", a.ledger.Next + 1, "targets_age_ms", now.Sub(a.asOf).Milliseconds(),
	}})
}
