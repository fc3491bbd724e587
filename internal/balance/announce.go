package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// maxPausedRetryAfter bounds the retry delay for callers of a target that wants no
// requests: the key may get another owner meanwhile. It also bounds the time over
// which callers are spread that may return at the end of the pause.
const maxPausedRetryAfter = time.Second

// announced holds what a target announced last.
type announced struct {
	Announcement
	// namedAt is when a response last named a rate limit.
	namedAt core.Instant
}

// recordAnnouncement updates the target from a response to a request that was
// sent elapsed ago. A response to a request that was sent before the target's
// process was known may come from the former process of the same id.
func (b *Balancer) recordAnnouncement(now core.Instant, t *target, a *Announcement, elapsed time.Duration) []Output {
	sentAt := now.Add(-elapsed)
	if a == nil || sentAt.Before(t.knownSince) {
		return nil
	}
	out := b.recordRateLimit(now, t, a, sentAt)
	if a.Malformed && !t.malformedReported {
		t.malformedReported = true
		out = append(out, MalformedAnnouncement{Target: t.ID, Service: t.Service})
	}
	if until := now.Add(a.Pause); a.Pause > 0 && until.After(t.pausedUntil) {
		t.pausedUntil, t.pause = until, a.Pause
		out = append(out, Event{Text: "target wants no requests for a time", Fields: []any{
			"target", t.ID, "service", t.Service, "pause_ms", a.Pause.Milliseconds(),
		}})
	}
	if a.Leaving && t.leavingSince == 0 {
		t.leavingSince = now
		t.update(t.Target)
	}
	if d := b.view.Targets[t.ID]; a.Leaving && (d == nil || !d.Draining) {
		// Repeated until the view shows it, as the message may be dropped.
		out = append(out, TargetLeaving{Target: t.ID, StartedAt: t.StartedAt})
	}
	return out
}

// recordRateLimit updates the target's rate limit and returns an event if it
// changed. A response to a request that was sent before a limit was named doesn't
// lift the limit: it may have been overtaken.
func (b *Balancer) recordRateLimit(now core.Instant, t *target, a *Announcement, sentAt core.Instant) []Output {
	old := t.announced.RateLimit
	switch {
	case a.RateLimit > 0:
		if old <= 0 {
			t.rateLimiter = rateLimiter{refilledAt: now, probedAt: now}
		}
		t.announced = announced{Announcement: *a, namedAt: now}
	case old > 0 && sentAt.After(t.announced.namedAt):
		t.announced = announced{}
	}
	if t.announced.RateLimit == old {
		return nil
	}
	return []Output{Event{Text: "rate limit of a target changed", Fields: []any{
		"target", t.ID, "service", t.Service, "per_second", t.announced.RateLimit, "before", old,
	}}}
}

// rejectPaused rejects a request because the owner of its key wants none for a
// time. Callers that may return at the end of the pause are spread over as long a
// time as they come from, so that they don't return all at once.
func (b *Balancer) rejectPaused(now core.Instant, t *target) Decision {
	d := b.rejectOverloaded(now, t, "paused")
	d.RetryAfter = maxPausedRetryAfter
	if rest := t.pausedUntil.Sub(now); rest < maxPausedRetryAfter {
		spread := time.Duration(b.random.Int64N(int64(min(t.pause, maxPausedRetryAfter)) + 1))
		d.RetryAfter = max(rest+spread, minRetryAfter)
	}
	return d
}
