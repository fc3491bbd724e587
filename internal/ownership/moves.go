package ownership

import (
	"cmp"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

type moveStage uint8

const (
	releasing moveStage = iota
	granting
	done
)

// move is a move recorded in the ledger: a range of units that is granted to the
// owner once the previous holder no longer holds it.
type move struct {
	id        MoveID
	to        int
	owner     Holder
	eviction  *eviction
	stage     moveStage
	createdAt core.Instant
	handover  string
	// release says why the previous holder no longer holds the keys.
	release string
	// orderPending is set while a Release or Grant is in progress.
	orderPending  bool
	retryAt       core.Instant
	grantAttempts int
	// finishedAt is when the move reached the stage done.
	finishedAt core.Instant
}

// evictedHolder is a holder that keys are taken from.
type evictedHolder struct {
	holder Holder
	// unresponsive is set after a release without a response, and limits the
	// holder to one release at a time.
	unresponsive   bool
	releasePending bool
	retryAt        core.Instant
}

// eviction is the wait for the grants of a holder under the records before an
// offset. A holder may have several evictions: one that restarted with each further
// record would keep the keys of the first ones waiting, as when new owners are lost
// one after the other.
type eviction struct {
	*evictedHolder
	recordedAt core.Instant
	// offset is the end of the ledger when the eviction began. A VM that has applied
	// the ledger up to it renews none of the old grants.
	offset    int64
	queriedAt core.Instant
	// appliedAt is when each VM last reported that it has applied the ledger up to
	// offset, and grantsEndAt is when the grants that they renewed have expired.
	appliedAt   map[core.VM]core.Instant
	grantsEndAt core.Instant
	// majorityAt is when more than half of the VMs had reported so within
	// majorityWindow. The window is needed as a VM may lose its state in a restart.
	majorityAt core.Instant
}

// syncMoves creates a move for each moving range and deletes those that are no
// longer in the ledger. It scans all units, so it runs only when the ledger has
// changed.
func (a *Assigner) syncMoves(now core.Instant) {
	live := make(map[MoveID]bool)
	for s, assignments := range a.ledger.Services {
		for ar := range assignments.Ranges() {
			assignment := ar.Assignment
			if !assignment.Moving() {
				continue
			}
			id := MoveID{Service: s, From: ar.From, Token: assignment.Token}
			live[id] = true
			if _, ok := a.moves[id]; !ok && len(a.moves) < maxActiveMoves {
				a.moves[id] = &move{id: id, to: ar.To, owner: assignment.Owner, eviction: a.evictionOf(now, assignment), createdAt: now}
			}
		}
	}
	needed := make(map[*eviction]bool)
	for id, mv := range a.moves {
		if !live[id] {
			delete(a.moves, id)
			continue
		}
		needed[mv.eviction] = true
	}
	for id, e := range a.evictions {
		if !needed[e] {
			delete(a.evictions, id)
		}
	}
}

// evictionOf returns the eviction of a moving unit's previous holder: the oldest one
// that covers the unit's record, or a new one.
func (a *Assigner) evictionOf(now core.Instant, assignment Assignment) *eviction {
	var holder *evictedHolder
	var oldest *eviction
	for id, e := range a.evictions {
		if id.Holder != assignment.Previous {
			continue
		}
		holder = e.evictedHolder
		if assignment.Token <= e.offset && (oldest == nil || e.offset < oldest.offset) {
			oldest = e
		}
	}
	if oldest != nil {
		return oldest
	}
	if holder == nil {
		holder = &evictedHolder{holder: assignment.Previous, unresponsive: a.recentlyUnreachable(now, assignment.Previous.Target)}
	}
	e := &eviction{evictedHolder: holder, recordedAt: now, offset: a.ledger.Next, appliedAt: make(map[core.VM]core.Instant)}
	a.evictions[Eviction{Holder: holder.holder, Offset: e.offset}] = e
	return e
}

// sortedMoves returns the moves in a deterministic order.
func (a *Assigner) sortedMoves() []*move {
	out := make([]*move, 0, len(a.moves))
	for _, mv := range a.moves {
		out = append(out, mv)
	}
	slices.SortFunc(out, func(x, y *move) int {
		return cmp.Or(cmp.Compare(x.id.Service, y.id.Service), cmp.Compare(x.id.From, y.id.From))
	})
	return out
}

func (a *Assigner) runMoves(now core.Instant) []Output {
	out := a.queryExpiries(now)
	for _, mv := range a.sortedMoves() {
		out = append(out, a.runMove(now, mv)...)
	}
	return out
}

// queryExpiries asks the members about the grants of all unresponsive holders in one
// message for each member: with many lost targets and many VMs, one for each holder
// and member takes the leader longer than the grants last.
func (a *Assigner) queryExpiries(now core.Instant) []Output {
	var due []Eviction
	overdue := false
	for id, e := range a.evictions {
		if !e.unresponsive || a.allApplied(e) {
			continue
		}
		since := now.Sub(e.queriedAt)
		overdue = overdue || since >= expiryQueryInterval
		if since >= expiryQueryInterval/2 {
			due = append(due, id)
		}
	}
	if !overdue {
		return nil
	}
	slices.SortFunc(due, func(x, y Eviction) int {
		return cmp.Or(cmp.Compare(x.Holder.Target, y.Holder.Target), cmp.Compare(x.Holder.StartedAt, y.Holder.StartedAt), cmp.Compare(x.Offset, y.Offset))
	})
	for _, id := range due {
		a.evictions[id].queriedAt = now
	}
	return []Output{QueryGrantExpiry{Evictions: due, Members: a.members.All()}}
}

// allApplied reports whether all members have applied the ledger up to the offset
// of an eviction, so that there is nothing left to ask.
func (a *Assigner) allApplied(e *eviction) bool {
	for _, m := range a.members.All() {
		if e.appliedAt[m.VM] == 0 {
			return false
		}
	}
	return true
}

func (a *Assigner) runMove(now core.Instant, mv *move) []Output {
	e := mv.eviction
	if mv.stage == releasing && a.grantsExpired(now, e, a.ledger.GrantDuration()) {
		mv.stage, mv.orderPending, mv.release = granting, false, "grants expired"
	}
	if mv.orderPending || now.Before(mv.retryAt) {
		return nil
	}
	switch mv.stage {
	case releasing:
		if e.unresponsive && (e.releasePending || now.Before(e.retryAt)) {
			return nil
		}
		mv.orderPending, e.releasePending = true, true
		return []Output{Release{Move: mv.id, Holder: a.currentProcess(e.holder), From: mv.id.From, To: mv.to, Token: mv.id.Token}}
	case granting:
		// A partitioned leader may have been replaced, and the keys granted to
		// another target since.
		if now.Sub(a.asOf) > MaxLedgerAge {
			return nil
		}
		if d, ok := a.targets.Targets[mv.owner.Target]; !ok || d.StartedAt != mv.owner.StartedAt {
			// The new owner has exited too; the next plan selects another.
			mv.stage, mv.finishedAt = done, now
			return []Output{Event{Text: "new owner of moving keys has exited", Fields: mv.fields()}}
		}
		mv.orderPending = true
		mv.grantAttempts++
		return []Output{Grant{Move: mv.id, Holder: mv.owner, From: mv.id.From, To: mv.to, Token: mv.id.Token, Duration: a.ledger.GrantDuration(), Handover: mv.handover}}
	}
	return nil
}

// currentProcess returns the process that currently runs under a holder's id. A
// restarted target holds nothing, but VMs that do not know of the restart may
// renew the old process's ranges there, so it needs the new token too.
func (a *Assigner) currentProcess(h Holder) Holder {
	if next, ok := a.targets.Targets[h.Target]; ok && next.StartedAt > h.StartedAt {
		return holderOf(next)
	}
	return h
}

// grantsExpired reports whether an unresponsive holder provably holds nothing
// under older records: every grant of the given duration that a VM can have renewed
// has expired.
func (a *Assigner) grantsExpired(now core.Instant, e *eviction, duration time.Duration) bool {
	if !e.unresponsive {
		return false
	}
	if a.allApplied(e) && !now.Before(e.grantsEndAt) {
		return true
	}
	if e.majorityAt == 0 {
		return false
	}
	// A VM that has not replied renews until its ledger or its last successful
	// quorum check is too old.
	last := max(e.majorityAt.Add(quorumValidity), e.recordedAt.Add(MaxLedgerAge))
	return !now.Before(last.Add(longestGrant(duration) + maxAsOfError))
}

func (a *Assigner) released(now core.Instant, m Released) []Output {
	mv, ok := a.moves[m.Move]
	if !ok || mv.stage != releasing {
		return nil
	}
	e := mv.eviction
	mv.orderPending, e.releasePending = false, false
	if m.Outcome == ReleaseUnknown {
		mv.retryAt, e.retryAt = now.Add(orderRetryInterval), now.Add(orderRetryInterval)
		if e.unresponsive {
			return nil
		}
		e.unresponsive = true
		return []Output{Event{Text: "holder of moving keys doesn't answer", Fields: mv.fields()}}
	}
	e.unresponsive = false
	mv.stage, mv.handover, mv.release = granting, m.Handover, m.Outcome.String()
	return nil
}

func (a *Assigner) granted(now core.Instant, m Granted) []Output {
	mv, ok := a.moves[m.Move]
	if !ok || mv.stage != granting {
		return nil
	}
	mv.orderPending = false
	if !m.OK && mv.grantAttempts < maxGrantAttempts {
		mv.retryAt = now.Add(orderRetryInterval)
		return nil
	}
	mv.stage, mv.finishedAt = done, now
	return []Output{Event{Text: "keys moved", Fields: append(mv.fields(), "release", mv.release, "granted", m.OK, "handover", mv.handover != "", "took_ms", now.Sub(mv.createdAt).Milliseconds())}}
}

func (a *Assigner) grantExpiry(now core.Instant, m GrantExpiry) []Output {
	e := a.evictions[m.Eviction]
	if m.Eviction.Holder.IsZero() {
		e = a.restoration.wait
	}
	if e == nil || m.Eviction.Offset != e.offset || !m.Applied {
		return nil
	}
	if e.appliedAt[m.VM] == 0 {
		e.grantsEndAt = max(e.grantsEndAt, now.Add(m.Remaining))
	}
	e.appliedAt[m.VM] = now
	recent := 0
	for _, at := range e.appliedAt {
		if now.Sub(at) <= majorityWindow {
			recent++
		}
	}
	if e.majorityAt == 0 && 2*recent > a.members.Size() {
		e.majorityAt = now
	}
	return nil
}

func (mv *move) fields() []any {
	return []any{
		"service", mv.id.Service, "from_unit", mv.id.From, "to_unit", mv.to, "fence", mv.id.Token,
		"previous", mv.eviction.holder.Target, "owner", mv.owner.Target,
	}
}

// completedMoves returns changes that remove the previous holder from the units
// of completed moves, once concurrent moves had time to complete too.
func (a *Assigner) completedMoves(now core.Instant) []change {
	if !a.completionsDue(now) {
		return nil
	}
	var out []change
	for _, mv := range a.sortedMoves() {
		if mv.stage != done {
			continue
		}
		for u := mv.id.From; u <= mv.to; u++ {
			out = append(out, change{service: mv.id.Service, unit: u, assignment: Assignment{Owner: mv.owner, Token: mv.id.Token}})
		}
	}
	return out
}

// completionsDue reports whether completed moves should be written: when no move
// is running, or when the first has waited for completionDelay.
func (a *Assigner) completionsDue(now core.Instant) bool {
	running := false
	for _, mv := range a.moves {
		if mv.stage == done && now.Sub(mv.finishedAt) >= completionDelay {
			return true
		}
		running = running || mv.stage != done
	}
	return !running
}
