package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
)

// respond ends an attempt that was sent elapsed ago with a response that names a
// rate limit, or none if it is 0.
func respond(b *Balancer, now core.Instant, limit float64, elapsed time.Duration) []Output {
	return b.Step(now, AttemptDone{
		Service: "s", Target: "a", Result: Succeeded, Elapsed: elapsed, Announced: &Announcement{RateLimit: limit},
	})
}

// Guards against a rate limit that is not logged when it is named, changed or
// lifted, or that is lifted by a response that was sent before it was named.
func TestRateLimitIsFollowed(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}}.fleet()[0]
	is.Equal(len(respond(b, start, 0, time.Millisecond)), 0)
	is.Equal(len(respond(b, start.Add(time.Second), 20, time.Millisecond)), 1)
	is.Equal(len(respond(b, start.Add(2*time.Second), 20, time.Millisecond)), 0)
	is.Equal(len(respond(b, start.Add(3*time.Second), 30, time.Millisecond)), 1)
	is.Equal(len(respond(b, start.Add(3100*time.Millisecond), 0, 200*time.Millisecond)), 0)
	is.Equal(b.targets["a"].announced.RateLimit, 30.0)
	is.Equal(len(respond(b, start.Add(3200*time.Millisecond), 0, 200*time.Millisecond)), 0) // sent at the same moment
	is.Equal(len(respond(b, start.Add(3300*time.Millisecond), 0, 100*time.Millisecond)), 1)
	is.Equal(b.targets["a"].announced.RateLimit, 0.0)
}
