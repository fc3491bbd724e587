package front

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/witness"
)

// cancelPropagationTime is how long a cancelled request still counts as running
// at a target, until the cancellation has arrived there. It doesn't apply to a
// cold target, whose limit must never be exceeded.
const cancelPropagationTime = 20 * time.Millisecond

func (f *Front) stepFinished(now core.Instant, m Finished) {
	c := f.calls[m.DispatchID]
	if c == nil {
		return
	}
	delete(f.calls, m.DispatchID)
	t := c.target
	t.updateSlots(now)
	t.slots.release(c.submit.Request.Range)
	t.updateIncarnation(m.Incarnation)
	switch {
	case m.Outcome == core.OutcomeAnswered:
		t.ramp.observeLatency(now, m.Latency)
		t.latency.Observe(m.Latency)
		t.ramp.countSuccess()
	case m.Outcome.NotRun():
		if m.Shed {
			t.ramp.countShed(now)
		}
	default:
		t.slots.addLost(now, c.submit.Request.Range, lostUntil(now, c, m))
		t.latency.ObserveAtLeast(m.Latency)
		if !m.Cancelled {
			t.ramp.countFailure()
		}
	}
	if !c.submit.Request.Idempotent {
		f.recordOutcome(now, c, m)
	}
	if t.removed {
		return
	}
	f.dispatchQueued(now, t)
	f.replicate(now, t)
	f.reportDrained(t)
}

// updateIncarnation restarts the ramp at the first response of a restarted
// target, which arrives before the next renewal of its grant.
func (t *target) updateIncarnation(incarnation uint64) {
	if incarnation != 0 && incarnation > t.incarnation && t.incarnation != 0 {
		t.ramp.restart()
		t.slots.clearLost()
	}
	t.incarnation = max(t.incarnation, incarnation)
}

// lostUntil returns when a request without a response has certainly ended.
func lostUntil(now core.Instant, c *call, m Finished) core.Instant {
	if m.Cancelled && !c.target.ramp.isCold() {
		return min(now.Add(cancelPropagationTime), c.until)
	}
	return c.until
}

// recordOutcome stores the outcome of a non-idempotent request and answers the
// duplicates that wait for it.
func (f *Front) recordOutcome(now core.Instant, c *call, m Finished) {
	r := c.submit.Request
	key := keyOf(r)
	rec := witness.Record{ID: r.ID, Range: rangeOf(r), Digest: r.Digest, Flow: r.Flow, Attempt: r.Attempt}
	switch {
	case m.Outcome == core.OutcomeAnswered:
		rec.State, rec.Response = witness.StateDone, m.Response
	case m.Outcome.NotRun():
		if c.recordState == f.recordStates[r.Range] {
			// With a newer record state the record may be that of another
			// front's run.
			f.records.Delete(key)
		}
		f.resolve(key, Decision{Outcome: m.Outcome, Detail: "the first request with this id was not run"})
		return
	default:
		rec.State = witness.StateUnknown
	}
	f.records.Put(now, rec)
	f.resolve(key, decisionFor(&rec, r.Digest))
	for _, rep := range c.target.replicators {
		rep.addRecord(key)
	}
}
