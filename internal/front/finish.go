package front

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/witness"
)

// cancelGrace is how long a cancelled request counts as running at a target at
// its full limit: the cancellation has to arrive. It doesn't apply to a cold
// target, whose limit must never be exceeded.
const cancelGrace = 20 * time.Millisecond

func (f *Front) stepFinished(now core.Instant, m Finished) {
	c := f.calls[m.Ticket]
	if c == nil {
		return
	}
	delete(f.calls, m.Ticket)
	t := c.target
	t.settle(now)
	t.slots.release(c.submit.Request.Range)
	t.noteIncarnation(m.Incarnation)
	switch {
	case m.Outcome == core.OutcomeAnswered:
		t.ramp.measure(now, m.Latency)
		t.latency.Observe(m.Latency)
		t.ramp.succeed()
	case m.Outcome.NotRun():
		if m.Shed {
			t.ramp.shed(now)
		}
	default:
		t.slots.lose(now, c.submit.Request.Range, lostUntil(now, c, m))
		t.latency.ObserveAtLeast(m.Latency)
		if !m.Cancelled {
			t.ramp.fail()
		}
	}
	if !c.submit.Request.Idempotent {
		f.record(now, c, m)
	}
	if t.removed {
		return
	}
	f.pump(now, t)
	f.flushLinks(now, t)
	f.reportDrained(t)
}

// noteIncarnation starts the ramp again at the first response of a target that
// was started anew, which comes before the next renewal of its grant.
func (t *target) noteIncarnation(now uint64) {
	if now != 0 && now > t.incarnation && t.incarnation != 0 {
		t.ramp.cool()
		t.slots.forgetLost()
	}
	t.incarnation = max(t.incarnation, now)
}

// lostUntil is when a request without a response has ended for sure.
func lostUntil(now core.Instant, c *call, m Finished) core.Instant {
	if m.Cancelled && !c.target.ramp.isCold() {
		return min(now.Add(cancelGrace), c.until)
	}
	return c.until
}

// record remembers what became of a non-idempotent request, and answers the
// repeats that wait for it.
func (f *Front) record(now core.Instant, c *call, m Finished) {
	r := c.submit.Request
	key := keyOf(r)
	rec := witness.Record{ID: r.ID, Range: rangeOf(r), Digest: r.Digest, Flow: r.Flow, Attempt: r.Attempt}
	switch {
	case m.Outcome == core.OutcomeAnswered:
		rec.State, rec.Response = witness.StateDone, m.Response
	case m.Outcome.NotRun():
		if c.custody == f.custody[r.Range] {
			// Under a later custody the record may be that of another front's run.
			f.memory.Forget(key)
		}
		f.resolve(key, Decision{Outcome: m.Outcome, Detail: "the first request with this id was not run"})
		return
	default:
		rec.State = witness.StateUnknown
	}
	f.memory.Put(now, rec)
	f.resolve(key, decisionOf(&rec, r.Digest))
	for _, l := range c.target.links {
		l.add(key)
	}
}
