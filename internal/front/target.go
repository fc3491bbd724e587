package front

import (
	"cmp"
	"maps"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/estimate"
	"celeryhook.example/celeryhook/internal/grant"
)

// target is the front's state of one target.
type target struct {
	id         core.Target
	assignment Assignment
	// ranges holds the ranges of the assignment in order.
	ranges  []core.RangeID
	view    grant.View
	granted map[core.RangeID]struct{}
	slots   slots
	ramp    ramp
	queue   queue
	held    []heldRequest
	// reserved holds the calls whose ids are being stored at the witnesses.
	reserved []*call
	// unreplicatedRanges holds complete ranges whose records the witnesses may
	// lack.
	unreplicatedRanges []core.RangeID
	replicators        []*replicator
	latency            estimate.Latency
	meter              loadMeter
	// grantSeen is set once the grant has been held.
	grantSeen bool
	// incarnation is the newest one that the target has reported.
	incarnation uint64
	// rampLimitRequested is set once the ramp limit was requested from the VMs
	// of the previous front.
	rampLimitRequested bool
	// removed is set once the target is no longer assigned to this VM.
	removed bool
}

// rangeStatus says how requests for a range are handled.
type rangeStatus uint8

const (
	// rangeElsewhere: the range is assigned to another target or front, or the
	// request has no range and the target is leaving.
	rangeElsewhere rangeStatus = iota
	// rangeBlocked: the range is moving, the target is leaving, or the grant of
	// the range isn't confirmed yet. Requests are held.
	rangeBlocked
	// rangeServing: requests for the range may be sent.
	rangeServing
)

func (t *target) rangeStatus(r core.RangeID) rangeStatus {
	leaving := t.assignment.Leaving || t.view.Draining
	if r == (core.RangeID{}) {
		if leaving {
			return rangeElsewhere
		}
		return rangeServing
	}
	a, ok := t.assignment.Ranges[r]
	if !ok {
		return rangeElsewhere
	}
	if _, ok := t.granted[r]; !ok || a.Moving || leaving {
		return rangeBlocked
	}
	return rangeServing
}

func (f *Front) stepAssigned(now core.Instant, m Assigned) {
	f.retention = m.Retention
	before := make(map[core.Target]map[core.RangeID]Range, len(f.targets))
	for id, t := range f.targets {
		if _, ok := m.Targets[id]; !ok {
			f.remove(t)
		}
	}
	for id, a := range m.Targets {
		t := f.targets[id]
		if t == nil {
			t = &target{id: id, meter: newLoadMeter(now)}
			f.targets[id] = t
		}
		before[id] = t.assignment.Ranges
		t.assign(a)
	}
	f.sortedTargets = slices.SortedFunc(maps.Values(f.targets), func(a, b *target) int { return cmp.Compare(a.id, b.id) })
	f.assignRecordStates(now)
	for _, t := range f.sortedTargets {
		f.abandonStaleCalls(t)
		f.replicateTransferredRanges(t, before[t.id])
		f.startRecalls(now, t)
		f.assignWitnesses(now, t)
		f.reevaluateWaiting(now, t)
		f.reportDrained(t)
	}
}

func (t *target) assign(a Assignment) {
	t.assignment = a
	t.ranges = slices.SortedFunc(maps.Keys(a.Ranges), core.RangeID.Compare)
	t.slots.size = a.Slots
	t.ramp.configure(a.Limits.ColdSlots, a.Limits.RampStep, a.Slots)
}

// remove removes a target. Requests that were not sent are answered as moved,
// so that the entry VMs can retry them with the new front.
func (f *Front) remove(t *target) {
	moved := Decision{Outcome: core.OutcomeMoved, Detail: "the target has another front"}
	for _, m := range t.queue.extractWhere(func(Submit) bool { return true }) {
		f.reject(m, moved)
	}
	for _, h := range t.held {
		f.reject(h.submit, moved)
	}
	for _, c := range t.reserved {
		f.abandon(c, moved)
	}
	t.held, t.reserved = nil, nil
	t.removed = true
	delete(f.targets, t.id)
}

// reevaluateWaiting places waiting requests again after a change of the
// target's ranges or of their records.
func (f *Front) reevaluateWaiting(now core.Instant, t *target) {
	stale := t.queue.extractWhere(func(m Submit) bool { return t.rangeStatus(m.Request.Range) != rangeServing })
	for _, m := range stale {
		f.placeRequest(now, t, m)
	}
	f.reevaluateHeld(now, t)
	f.dispatchQueued(now, t)
}

func (f *Front) stepGrant(now core.Instant, m GrantChanged) {
	t := f.targets[m.Target]
	if t == nil {
		return
	}
	old := t.view
	t.view = m.View
	f.applyGrant(now, t, old)
	if !slices.Equal(old.Ranges, m.View.Ranges) || t.granted == nil {
		t.granted = make(map[core.RangeID]struct{}, len(m.View.Ranges))
		for _, r := range m.View.Ranges {
			t.granted[r] = struct{}{}
		}
	}
	f.startRecalls(now, t)
	if old.Token != m.View.Token {
		f.requeueCompleteRanges(t)
	}
	f.reevaluateWaiting(now, t)
	f.replicate(now, t)
	f.reportDrained(t)
}

// applyGrant compares a new view of the grant with the previous one and updates
// slots, incarnation and ramp.
func (f *Front) applyGrant(now core.Instant, t *target, old grant.View) {
	v := t.view
	held := now.Before(v.HeldUntil)
	if !held && old.HeldUntil != 0 {
		// The target has lost the grant or accepted another front's.
		f.markSuspect(t)
	}
	if !held {
		return
	}
	first := !t.grantSeen
	t.grantSeen = true
	lapsed := !first && now.After(old.HeldUntil)
	if first || lapsed || v.Token != old.Token {
		// Another front may have held the target before this token, even if this
		// front wasn't notified. None of its deadlines is later than its lease.
		t.slots.addForeign(v.InFlight-f.sentBefore(t, v.Clock.Sent), now.Add(core.PlusDrift(core.GrantLease)), v.Clock.Sent)
	}
	t.slots.applyReportedCount(v.InFlight, v.Clock.Sent)
	t.updateIncarnation(v.Incarnation)
	switch {
	case first:
		t.ramp.takeOver(v.Cold)
	case lapsed, v.Cold && !old.Cold:
		t.ramp.restart()
	}
}

// sentBefore counts the requests of this front that were sent by an instant, so
// that a count taken by the target after it may include them.
func (f *Front) sentBefore(t *target, at core.Instant) int {
	n := 0
	for _, c := range f.calls {
		if c.target == t && !c.sentAt.After(at) {
			n++
		}
	}
	return n
}

// reportDrained reports moving ranges without requests in flight.
func (f *Front) reportDrained(t *target) {
	var drained []core.RangeID
	for _, id := range t.ranges {
		if t.assignment.Ranges[id].Moving && t.slots.idle(id) {
			drained = append(drained, id)
		}
	}
	if len(drained) == 0 {
		return
	}
	f.emit(Drained{Target: t.id, Ranges: drained})
}
