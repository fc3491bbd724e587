package front

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// heldRequest waits for its range: it moves, is being taken, or its request
// ids are being recalled.
type heldRequest struct {
	submit Submit
	until  core.Instant
}

// hold keeps a request for a time; a target holds at most its queue length.
func (f *Front) hold(now core.Instant, t *target, m Submit) {
	if len(t.held) >= t.assignment.Limits.QueueLength {
		f.refuse(m, Decision{Outcome: core.OutcomeOverloaded, Detail: "too many requests wait for ranges that move", RetryAfter: time.Second})
		return
	}
	until := min(now.Add(t.assignment.Limits.HoldTime), m.Request.Deadline.Add(-answerMargin))
	t.held = append(t.held, heldRequest{submit: m, until: until})
}

// releaseHeld places all held requests anew after a change of the target's
// ranges or of their memory.
func (f *Front) releaseHeld(now core.Instant, t *target) {
	held := t.held
	t.held = nil
	for _, h := range held {
		before := len(t.held)
		f.enter(now, t, h.submit)
		if len(t.held) > before {
			// Holding a request again doesn't prolong its time.
			t.held[before].until = h.until
		}
	}
}

// expireHeld answers held requests whose time is over. They go back to the
// entry VM, which may know a newer map.
func (f *Front) expireHeld(now core.Instant, t *target) {
	kept := t.held[:0]
	for _, h := range t.held {
		if now.Before(h.until) {
			kept = append(kept, h)
			continue
		}
		f.refuse(h.submit, Decision{Outcome: core.OutcomeMoved, Detail: "the range is moving"})
	}
	clear(t.held[len(kept):])
	t.held = kept
}
