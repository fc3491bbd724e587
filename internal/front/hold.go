package front

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// heldRequest waits because its range is moving, the grant of its range is not
// confirmed, or the records of its range are being recalled.
type heldRequest struct {
	submit Submit
	until  core.Instant
}

// hold keeps a request for at most the hold time. A target holds at most as
// many requests as its queue length.
func (f *Front) hold(now core.Instant, t *target, m Submit) {
	if len(t.held) >= t.assignment.Limits.QueueLength {
		f.reject(m, Decision{Outcome: core.OutcomeOverloaded, Detail: "too many requests wait for ranges that move", RetryAfter: time.Second})
		return
	}
	until := min(now.Add(t.assignment.Limits.HoldTime), m.Request.Deadline.Add(-answerMargin))
	t.held = append(t.held, heldRequest{submit: m, until: until})
}

// reevaluateHeld places all held requests again after a change of the target's
// ranges or of their records.
func (f *Front) reevaluateHeld(now core.Instant, t *target) {
	held := t.held
	t.held = nil
	for _, h := range held {
		before := len(t.held)
		f.placeRequest(now, t, h.submit)
		if len(t.held) > before {
			// Holding a request again doesn't extend its hold time.
			t.held[before].until = h.until
		}
	}
}

// expireHeld answers held requests whose hold time has ended. The entry VM may
// retry them with a newer map.
func (f *Front) expireHeld(now core.Instant, t *target) {
	kept := t.held[:0]
	for _, h := range t.held {
		if now.Before(h.until) {
			kept = append(kept, h)
			continue
		}
		f.reject(h.submit, Decision{Outcome: core.OutcomeMoved, Detail: "the range is moving"})
	}
	clear(t.held[len(kept):])
	t.held = kept
}
