package front

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/witness"
)

// call is a request that has a slot: reserved while its id is being stored at
// the witnesses, then sent.
type call struct {
	ticket Ticket
	submit Submit
	target *target
	sentAt core.Instant
	until  core.Instant
	// custody is that of the range when the call was started.
	custody *custody
	// needs is, per link of the target, the position up to which the witness
	// must have confirmed.
	needs []uint64
}

// free reports whether a request may be started now.
func (t *target) free(now core.Instant) bool {
	return t.slots.used() < min(t.ramp.limit, t.slots.size) && now.Before(t.view.HeldUntil)
}

// settle drops what has ended for sure and adds up the use of slots.
func (t *target) settle(now core.Instant) {
	t.meter.advance(now, t.slots.used())
	t.slots.expire(now)
}

// admit starts a request, queues it, or refuses it for lack of room or time.
func (f *Front) admit(now core.Instant, t *target, m Submit) {
	if !m.Request.Idempotent && f.memory.Len()+len(f.active) > maxRecords {
		f.refuse(m, memoryFull)
		return
	}
	t.settle(now)
	if t.queue.length == 0 && t.free(now) {
		f.start(now, t, m)
		return
	}
	wait := t.expectedWait(m.Request.Class)
	if now.Add(wait + t.latency.Mean()).After(m.Request.Deadline.Add(-answerMargin)) {
		f.refuse(m, overloaded("the deadline can't be met", wait))
		return
	}
	f.enqueue(t, m, wait)
}

var memoryFull = Decision{
	Outcome: core.OutcomeOverloaded, Detail: "too many request ids are remembered", RetryAfter: time.Minute,
}

func overloaded(detail string, wait time.Duration) Decision {
	return Decision{Outcome: core.OutcomeOverloaded, Detail: detail, RetryAfter: max(wait, time.Second)}
}

// expectedWait is how long a request of a class would wait in the queue.
func (t *target) expectedWait(class core.Class) time.Duration {
	limit := max(min(t.ramp.limit, t.slots.size), 1)
	return t.latency.Mean() * time.Duration(t.queue.ahead(class)+1) / time.Duration(limit)
}

// enqueue adds a request to the bounded queue. If it is full, the newest
// request of the least urgent class is refused.
func (f *Front) enqueue(t *target, m Submit, wait time.Duration) {
	limits := t.assignment.Limits
	share := max(int(limits.CallerShare*float64(limits.QueueLength)), 1)
	if t.queue.callers[m.Request.Caller] >= share {
		f.refuse(m, overloaded("the caller's share of the queue is full", wait))
		return
	}
	if t.queue.length >= limits.QueueLength {
		out, ok := t.queue.evict(m.Request.Class)
		if !ok {
			f.refuse(m, overloaded("the queue is full", wait))
			return
		}
		f.refuse(out, overloaded("the queue is full of more urgent requests", wait))
	}
	t.queue.push(m)
}

// pump starts queued requests while slots are free.
func (f *Front) pump(now core.Instant, t *target) {
	t.settle(now)
	for t.free(now) {
		m, ok := t.queue.pop()
		if !ok {
			return
		}
		r := m.Request
		if t.standing(r.Range) == served && (r.Idempotent || f.provenNew(now, t, m)) {
			f.start(now, t, m)
		} else if t.standing(r.Range) != served {
			f.enter(now, t, m)
		}
	}
}

// expireQueued answers queued requests whose deadline is near.
func (f *Front) expireQueued(now core.Instant, t *target) {
	late := t.queue.takeWhere(func(m Submit) bool { return !now.Add(answerMargin).Before(m.Request.Deadline) })
	for _, m := range late {
		f.refuse(m, overloaded("no slot became free before the deadline", t.expectedWait(m.Request.Class)))
	}
}

// start gives a request a slot. A non-idempotent one is remembered here and at
// all witnesses before it is sent.
func (f *Front) start(now core.Instant, t *target, m Submit) {
	c := &call{ticket: Ticket(f.number()), submit: m, target: t, custody: f.custody[m.Request.Range]}
	t.meter.advance(now, t.slots.used())
	t.slots.take(m.Request.Range)
	if m.Request.Idempotent {
		f.send(now, c)
		return
	}
	r := m.Request
	if !f.memory.Put(now, witness.Record{ID: r.ID, Range: rangeOf(r), Digest: r.Digest, State: witness.StateSent, Flow: r.Flow, Attempt: r.Attempt}) {
		f.abandon(c, memoryFull)
		return
	}
	t.reserved = append(t.reserved, c)
	for _, l := range t.links {
		c.needs = append(c.needs, l.add(keyOf(r)))
	}
	f.flushLinks(now, t)
	f.sendReady(now, t)
}

// rangeOf returns the range of a request; its service is always set, so that
// the record can be found by service and id.
func rangeOf(r core.Request) core.RangeID {
	if r.Range.Service == "" {
		return core.RangeID{Service: r.Service}
	}
	return r.Range
}

// sendReady sends the reserved calls whose ids all witnesses have.
func (f *Front) sendReady(now core.Instant, t *target) {
	kept := t.reserved[:0]
	for _, c := range t.reserved {
		if !t.stored(c) {
			kept = append(kept, c)
			continue
		}
		f.send(now, c)
	}
	clear(t.reserved[len(kept):])
	t.reserved = kept
}

// send lets the edge send a request, unless its time is over.
func (f *Front) send(now core.Instant, c *call) {
	t, m := c.target, c.submit
	c.until = min(m.Request.Deadline, t.view.HeldUntil)
	if !now.Before(c.until) {
		f.abandon(c, Decision{Outcome: core.OutcomeNotRun, Detail: "the deadline or the grant has ended"})
		return
	}
	if t.standing(m.Request.Range) != served {
		f.abandon(c, Decision{Outcome: core.OutcomeMoved, Detail: "the range is moving"})
		return
	}
	c.sentAt = now
	f.calls[c.ticket] = c
	f.answer(m, Decision{Dispatch: &Dispatch{
		Ticket:   c.ticket,
		Target:   t.id,
		Address:  t.view.Address,
		Token:    t.view.Token,
		Until:    c.until,
		Deadline: t.view.Clock.NeverLater(c.until),
	}})
}

// abandon ends a call that was not sent.
func (f *Front) abandon(c *call, d Decision) {
	c.target.slots.release(c.submit.Request.Range)
	if !c.submit.Request.Idempotent {
		f.memory.Forget(keyOf(c.submit.Request))
	}
	f.refuse(c.submit, d)
}

// expireReserved ends reserved calls whose deadline is near: a witness did not
// confirm in time, and nothing was sent.
func (f *Front) expireReserved(now core.Instant, t *target) {
	for _, c := range slices.Clone(t.reserved) {
		if now.Add(answerMargin).Before(c.submit.Request.Deadline) {
			continue
		}
		t.reserved = slices.DeleteFunc(t.reserved, func(o *call) bool { return o == c })
		f.abandon(c, Decision{Outcome: core.OutcomeNotRun, Detail: "the request id could not be stored at all witnesses in time"})
	}
}
