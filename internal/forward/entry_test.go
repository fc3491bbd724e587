package forward

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/trace/noop"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/route"
)

// remoteFunc is a Remote.
type remoteFunc func(context.Context, Call, route.Decision) Result

func (f remoteFunc) Forward(ctx context.Context, _ string, c Call, d route.Decision) Result {
	return f(ctx, c, d)
}

// newTestEntry returns an entry for which decide stands in for the route duty,
// and the reports of ended attempts.
func newTestEntry(t *testing.T, decide func(route.Lookup) route.Decision, remote remoteFunc) (*Entry, chan route.AttemptDone) {
	routes := ring.New[route.Message]("route", 16, ring.Block)
	reports := make(chan route.AttemptDone, 16)
	go func() {
		for {
			select {
			case <-t.Context().Done():
				return
			case m := <-routes.C():
				switch m := m.(type) {
				case route.Lookup:
					m.Reply <- decide(m)
				case route.AttemptDone:
					reports <- m
				}
			}
		}
	}()
	return NewEntry("own", duty.NewClock(), routes, nil, remote, noop.NewTracerProvider().Tracer("")), reports
}

func testCall() Call {
	return Call{Request: core.Request{ID: "x", Service: "s", Idempotent: true, Deadline: core.Instant(5 * time.Second)}}
}

// Guards against a hedged call whose slower attempt isn't cancelled or whose
// result is returned, and against both attempts having the same number.
func TestSlowerHedgeIsCancelled(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan uint32, 1)
	e, reports := newTestEntry(t, func(m route.Lookup) route.Decision {
		if m.Hedge {
			is.Equal(m.Tried, []core.Target{"slow"})
			return route.Decision{Front: "vm", Target: "fast"}
		}
		return route.Decision{Front: "vm", Target: "slow", HedgeAfter: time.Millisecond}
	}, func(ctx context.Context, c Call, d route.Decision) Result {
		if d.Target == "slow" {
			<-ctx.Done()
			cancelled <- c.Request.Attempt
			return Result{Outcome: core.OutcomeUnknown}
		}
		is.Equal(c.Request.Attempt, uint32(2))
		return Result{Outcome: core.OutcomeAnswered, Target: d.Target}
	})
	result := e.Serve(t.Context(), testCall())
	is.Equal(result.Target, core.Target("fast"))
	is.Equal(<-cancelled, uint32(1))
	first, second := <-reports, <-reports
	is.Equal(first.Target, core.Target("fast"))
	is.True(second.Cancelled) // so that the attempt doesn't count as failed
}

// Guards against a retry of a request that may have run, and against one that
// the route duty has denied.
func TestRetries(t *testing.T) {
	for name, c := range map[string]struct {
		outcome  core.Outcome
		final    bool
		attempts int
	}{
		"unknown":      {outcome: core.OutcomeUnknown, attempts: 1},
		"not run":      {outcome: core.OutcomeNotRun, attempts: 2},
		"retry denied": {outcome: core.OutcomeNotRun, final: true, attempts: 1},
		"bad request":  {outcome: core.OutcomeBadRequest, attempts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			attempts := 0
			e, _ := newTestEntry(t, func(m route.Lookup) route.Decision {
				return route.Decision{Front: "vm", Target: "t", Final: m.Last != "" && c.final}
			}, func(context.Context, Call, route.Decision) Result {
				if attempts++; attempts > 1 {
					return Result{Outcome: core.OutcomeAnswered}
				}
				return Result{Outcome: c.outcome}
			})
			result := e.Serve(t.Context(), testCall())
			is.Equal(attempts, c.attempts)
			if c.attempts == 1 {
				is.Equal(result.Outcome, c.outcome)
			}
		})
	}
}
