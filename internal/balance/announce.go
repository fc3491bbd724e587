package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// announced holds what a target announced last.
type announced struct {
	Announcement
	// namedAt is when a response last named a rate limit.
	namedAt core.Instant
}

// recordAnnouncement updates the target from a response to a request that was
// sent elapsed ago, and returns an event if the announcement changed. A response
// to a request that was sent before a limit was named doesn't lift the limit: it
// may have been overtaken.
func (b *Balancer) recordAnnouncement(now core.Instant, t *target, a *Announcement, elapsed time.Duration) []Output {
	if a == nil {
		return nil
	}
	old := t.announced.RateLimit
	switch {
	case a.RateLimit > 0:
		if old <= 0 {
			t.rateLimiter = rateLimiter{refilledAt: now, probedAt: now}
		}
		t.announced = announced{Announcement: *a, namedAt: now}
	case old > 0 && now.Add(-elapsed).After(t.announced.namedAt):
		t.announced = announced{}
	}
	if t.announced.RateLimit == old {
		return nil
	}
	return []Output{Event{Text: "rate limit of a target changed", Fields: []any{
		"target", t.ID, "service", t.Service, "per_second", t.announced.RateLimit, "before", old,
	}}}
}
