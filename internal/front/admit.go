package front

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/witness"
)

// call is a request that occupies a slot. It is reserved while its id is being
// stored at the witnesses, and then sent.
type call struct {
	id     DispatchID
	submit Submit
	target *target
	sentAt core.Instant
	until  core.Instant
	// recordState is that of the range when the call was started.
	recordState *recordState
	// requiredPositions holds, for each of the target's replicators, the
	// position that the witness must have confirmed before the call is sent.
	requiredPositions []uint64
}

// canStart reports whether a slot is free and the grant is held.
func (t *target) canStart(now core.Instant) bool {
	return t.slots.used() < min(t.ramp.limit, t.slots.size) && now.Before(t.view.HeldUntil)
}

// updateSlots adds to the slot time used and releases the slots of lost calls
// that have certainly ended.
func (t *target) updateSlots(now core.Instant) {
	t.meter.advance(now, t.slots.used())
	t.slots.expire(now)
}

// admit starts a request, queues it, or rejects it if the record store or the
// queue is full or its deadline can't be met.
func (f *Front) admit(now core.Instant, t *target, m Submit) {
	if !m.Request.Idempotent && f.records.Len()+len(f.active) > maxRecords {
		f.reject(m, recordStoreFull)
		return
	}
	t.updateSlots(now)
	if t.queue.length == 0 && t.canStart(now) {
		f.start(now, t, m)
		return
	}
	wait := t.expectedWait(m.Request.Class)
	if now.Add(wait + t.latency.Mean()).After(m.Request.Deadline.Add(-answerMargin)) {
		f.reject(m, overloaded("the deadline can't be met", wait))
		return
	}
	f.enqueue(t, m, wait)
}

var recordStoreFull = Decision{
	Outcome: core.OutcomeOverloaded, Detail: "too many request ids are remembered", RetryAfter: time.Minute,
}

func overloaded(detail string, wait time.Duration) Decision {
	return Decision{Outcome: core.OutcomeOverloaded, Detail: detail, RetryAfter: max(wait, time.Second)}
}

// expectedWait estimates how long a new request of a class would be queued.
func (t *target) expectedWait(class core.Class) time.Duration {
	limit := max(min(t.ramp.limit, t.slots.size), 1)
	return t.latency.Mean() * time.Duration(t.queue.ahead(class)+1) / time.Duration(limit)
}

// enqueue adds a request to the bounded queue. If the queue is full, the newest
// request of the least urgent class is rejected in its favour.
func (f *Front) enqueue(t *target, m Submit, wait time.Duration) {
	limits := t.assignment.Limits
	callerLimit := max(int(limits.CallerShare*float64(limits.QueueLength)), 1)
	if t.queue.lengthByCaller[m.Request.Caller] >= callerLimit {
		f.reject(m, overloaded("the caller's share of the queue is full", wait))
		return
	}
	if t.queue.length >= limits.QueueLength {
		evicted, ok := t.queue.evict(m.Request.Class)
		if !ok {
			f.reject(m, overloaded("the queue is full", wait))
			return
		}
		f.reject(evicted, overloaded("the queue is full of more urgent requests", wait))
	}
	t.queue.push(m)
}

// dispatchQueued starts queued requests while slots are free.
func (f *Front) dispatchQueued(now core.Instant, t *target) {
	t.updateSlots(now)
	for t.canStart(now) {
		m, ok := t.queue.pop()
		if !ok {
			return
		}
		r := m.Request
		if t.rangeStatus(r.Range) == rangeServing && (r.Idempotent || f.ensureNew(now, t, m)) {
			f.start(now, t, m)
		} else if t.rangeStatus(r.Range) != rangeServing {
			f.placeRequest(now, t, m)
		}
	}
}

// expireQueued rejects queued requests that are within answerMargin of their
// deadline.
func (f *Front) expireQueued(now core.Instant, t *target) {
	expired := t.queue.extractWhere(func(m Submit) bool { return !now.Add(answerMargin).Before(m.Request.Deadline) })
	for _, m := range expired {
		f.reject(m, overloaded("no slot became free before the deadline", t.expectedWait(m.Request.Class)))
	}
}

// start assigns a slot to a request. The id of a non-idempotent request is
// stored here and at all witnesses before the request is sent.
func (f *Front) start(now core.Instant, t *target, m Submit) {
	c := &call{id: DispatchID(f.nextNumber()), submit: m, target: t, recordState: f.recordStates[m.Request.Range]}
	t.meter.advance(now, t.slots.used())
	t.slots.take(m.Request.Range)
	if m.Request.Idempotent {
		f.send(now, c)
		return
	}
	r := m.Request
	if !f.records.Put(now, witness.Record{ID: r.ID, Range: rangeOf(r), Digest: r.Digest, State: witness.StateSent, Flow: r.Flow, Attempt: r.Attempt}) {
		f.abandon(c, recordStoreFull)
		return
	}
	t.reserved = append(t.reserved, c)
	for _, rep := range t.replicators {
		c.requiredPositions = append(c.requiredPositions, rep.addRecord(keyOf(r)))
	}
	f.replicate(now, t)
	f.sendReady(now, t)
}

// rangeOf returns the range of a request. Its service is always set, because
// records are looked up by service and id.
func rangeOf(r core.Request) core.RangeID {
	if r.Range.Service == "" {
		return core.RangeID{Service: r.Service}
	}
	return r.Range
}

// sendReady sends the reserved calls whose ids all witnesses have stored.
func (f *Front) sendReady(now core.Instant, t *target) {
	kept := t.reserved[:0]
	for _, c := range t.reserved {
		if !t.replicated(c) {
			kept = append(kept, c)
			continue
		}
		f.send(now, c)
	}
	clear(t.reserved[len(kept):])
	t.reserved = kept
}

// send answers a submission with a dispatch, unless the deadline or the grant
// has ended or the range can no longer be served.
func (f *Front) send(now core.Instant, c *call) {
	t, m := c.target, c.submit
	c.until = min(m.Request.Deadline, t.view.HeldUntil)
	if !now.Before(c.until) {
		f.abandon(c, Decision{Outcome: core.OutcomeNotRun, Detail: "the deadline or the grant has ended"})
		return
	}
	if t.rangeStatus(m.Request.Range) != rangeServing {
		f.abandon(c, Decision{Outcome: core.OutcomeMoved, Detail: "the range is moving"})
		return
	}
	c.sentAt = now
	f.calls[c.id] = c
	f.answer(m, Decision{Dispatch: &Dispatch{
		ID:       c.id,
		Target:   t.id,
		Address:  t.view.Address,
		Token:    t.view.Token,
		Until:    c.until,
		Deadline: t.view.Clock.LowerBound(c.until),
	}})
}

// abandon releases the slot and the record of a call that was not sent, and
// rejects its request.
func (f *Front) abandon(c *call, d Decision) {
	c.target.slots.release(c.submit.Request.Range)
	if !c.submit.Request.Idempotent {
		f.records.Delete(keyOf(c.submit.Request))
	}
	f.reject(c.submit, d)
}

// expireReserved rejects reserved calls that are within answerMargin of their
// deadline because a witness did not confirm in time.
func (f *Front) expireReserved(now core.Instant, t *target) {
	for _, c := range slices.Clone(t.reserved) {
		if now.Add(answerMargin).Before(c.submit.Request.Deadline) {
			continue
		}
		t.reserved = slices.DeleteFunc(t.reserved, func(o *call) bool { return o == c })
		f.abandon(c, Decision{Outcome: core.OutcomeNotRun, Detail: "the request id could not be stored at all witnesses in time"})
	}
}
