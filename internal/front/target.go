package front

import (
	"cmp"
	"maps"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/estimate"
	"celeryhook.example/celeryhook/internal/grant"
)

// target is what the front knows of one target.
type target struct {
	id         core.Target
	assignment Assignment
	// ranges are those of the assignment, in order.
	ranges  []core.RangeID
	view    grant.View
	granted map[core.RangeID]struct{}
	slots   slots
	ramp    ramp
	queue   queue
	held    []heldRequest
	// reserved are the calls whose ids are being stored at the witnesses.
	reserved []*call
	// uncovered are ranges whose records the witnesses may lack.
	uncovered []core.RangeID
	links     []*link
	latency   estimate.Latency
	meter     meter
	// seen is set once a grant was held.
	seen bool
	// incarnation is the newest that the target has shown.
	incarnation uint64
	// rampAsked is set once the earlier front was asked for the cold-start level.
	rampAsked bool
	// removed is set once the target is no longer this VM's.
	removed bool
}

// standing says what may be done with requests for a range.
type standing uint8

const (
	// elsewhere: the map gives the range to another target or front.
	elsewhere standing = iota
	// withheld: the range moves, or its grant isn't confirmed yet.
	withheld
	// served: requests for the range may be sent.
	served
)

func (t *target) standing(r core.RangeID) standing {
	leaving := t.assignment.Leaving || t.view.Draining
	if r == (core.RangeID{}) {
		if leaving {
			return elsewhere
		}
		return served
	}
	a, ok := t.assignment.Ranges[r]
	if !ok {
		return elsewhere
	}
	if _, ok := t.granted[r]; !ok || a.Moving || leaving {
		return withheld
	}
	return served
}

func (f *Front) stepAssigned(now core.Instant, m Assigned) {
	f.remember = m.Remember
	before := make(map[core.Target]map[core.RangeID]Range, len(f.targets))
	for id, t := range f.targets {
		if _, ok := m.Targets[id]; !ok {
			f.remove(t)
		}
	}
	for id, a := range m.Targets {
		t := f.targets[id]
		if t == nil {
			t = &target{id: id, meter: newMeter(now)}
			f.targets[id] = t
		}
		before[id] = t.assignment.Ranges
		t.assign(a)
	}
	f.order = slices.SortedFunc(maps.Values(f.targets), func(a, b *target) int { return cmp.Compare(a.id, b.id) })
	f.assignCustody(now)
	for _, t := range f.order {
		f.dropStale(t)
		f.coverNew(t, before[t.id])
		f.startRecalls(now, t)
		f.assignLinks(now, t)
		f.replace(now, t)
		f.reportDrained(t)
	}
}

func (t *target) assign(a Assignment) {
	t.assignment = a
	t.ranges = slices.SortedFunc(maps.Keys(a.Ranges), core.RangeID.Compare)
	t.slots.size = a.Slots
	t.ramp.configure(a.Limits.ColdSlots, a.Limits.RampStep, a.Slots)
}

// remove gives a target up: what was not sent goes back to the entry VMs.
func (f *Front) remove(t *target) {
	moved := Decision{Outcome: core.OutcomeMoved, Detail: "the target has another front"}
	for _, m := range t.queue.takeWhere(func(Submit) bool { return true }) {
		f.refuse(m, moved)
	}
	for _, h := range t.held {
		f.refuse(h.submit, moved)
	}
	for _, c := range t.reserved {
		f.abandon(c, moved)
	}
	t.held, t.reserved = nil, nil
	t.removed = true
	delete(f.targets, t.id)
}

// replace places waiting requests anew after a change of ranges or memory.
func (f *Front) replace(now core.Instant, t *target) {
	stale := t.queue.takeWhere(func(m Submit) bool { return t.standing(m.Request.Range) != served })
	for _, m := range stale {
		f.enter(now, t, m)
	}
	f.releaseHeld(now, t)
	f.pump(now, t)
}

func (f *Front) stepGrant(now core.Instant, m GrantChanged) {
	t := f.targets[m.Target]
	if t == nil {
		return
	}
	old := t.view
	t.view = m.View
	f.noteGrant(now, t, old)
	if !slices.Equal(old.Ranges, m.View.Ranges) || t.granted == nil {
		t.granted = make(map[core.RangeID]struct{}, len(m.View.Ranges))
		for _, r := range m.View.Ranges {
			t.granted[r] = struct{}{}
		}
	}
	f.startRecalls(now, t)
	if old.Token != m.View.Token {
		f.coverAgain(t)
	}
	f.replace(now, t)
	f.flushLinks(now, t)
	f.reportDrained(t)
}

// noteGrant compares a new view of the grant with the one before.
func (f *Front) noteGrant(now core.Instant, t *target, old grant.View) {
	v := t.view
	held := now.Before(v.HeldUntil)
	if !held && old.HeldUntil != 0 {
		// The target has forgotten the grant or has another one.
		f.interrupt(t)
	}
	if !held {
		return
	}
	first := !t.seen
	t.seen = true
	absent := !first && now.After(old.HeldUntil)
	if first || absent || v.Token != old.Token {
		// Another front may have had the target before this token, also if this
		// one never heard of it. No deadline of it is later than its lease.
		t.slots.foreign(v.InFlight-f.sentBefore(t, v.Clock.Sent), now.Add(core.PlusDrift(core.GrantLease)), v.Clock.Sent)
	}
	t.slots.reported(v.InFlight, v.Clock.Sent)
	t.noteIncarnation(v.Incarnation)
	switch {
	case first:
		t.ramp.begin(v.Cold)
	case absent, v.Cold && !old.Cold:
		t.ramp.cool()
	}
}

// sentBefore counts the requests of this front that the target may have
// counted in a reading taken after an instant.
func (f *Front) sentBefore(t *target, at core.Instant) int {
	n := 0
	for _, c := range f.calls {
		if c.target == t && !c.sentAt.After(at) {
			n++
		}
	}
	return n
}

// reportDrained reports moving ranges that have nothing in flight.
func (f *Front) reportDrained(t *target) {
	var done []core.RangeID
	for _, id := range t.ranges {
		if t.assignment.Ranges[id].Moving && t.slots.idle(id) {
			done = append(done, id)
		}
	}
	if len(done) == 0 {
		return
	}
	f.emit(Drained{Target: t.id, Ranges: done})
}
