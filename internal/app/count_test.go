package app

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/front"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/observe"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/route"
)

// Guards against an event that is no longer counted after a change of a message
// type.
func TestEventsAreCounted(t *testing.T) {
	is := is.New(t)
	p := &Process{metrics: observe.NewMetrics(), clock: duty.NewClock()}
	p.countReaderOutput(platformlog.Skipped{Err: fmt.Errorf("record 7: %w", platformlog.ErrStale)})
	p.countReaderOutput(platformlog.Skipped{Err: errors.New("new reason")})
	p.countReaderMessage(platformlog.PageRead{})
	p.countGrantMessage(grant.OrderDone{Order: grant.Order{Kind: grant.OrderTake}, Err: errors.New("lost")})
	p.countGrantMessage(grant.OrderDone{Order: grant.Order{Kind: grant.OrderTake}, Reply: grant.OrderReply{Accepted: true}})
	p.countFrontMessage(front.Finished{Outcome: core.OutcomeUnknown})
	p.countFrontOutput(front.SendDecision{Decision: front.Decision{Outcome: core.OutcomeOverloaded}})
	p.countRouteMessage(route.Lookup{Request: core.Request{Service: "s"}})
	p.countRouteMessage(route.Lookup{Request: core.Request{Service: "s"}, Last: core.OutcomeMoved})
	p.countRouteMessage(route.Lookup{Request: core.Request{Service: "s"}, Hedge: true})
	p.countRouteMessage(route.AttemptDone{Service: "s", Outcome: core.OutcomeAnswered})
	p.countRouteOutput(route.SendDecision{Decision: route.Decision{Outcome: core.OutcomeNoOwner}})
	values := p.metrics.Values()
	for _, name := range []string{
		"log.skipped.stale", "log.skipped.other", "latency_us.log_read.count", "orders.take.no_response", "orders.take.accepted",
		"front.finished.unknown", "rejections.front.overloaded", "retries.s.moved", "hedges.s.asked", "attempts.s.answered",
		"rejections.route.no-owner",
	} {
		if values[name] != 1 {
			t.Errorf("%s = %d, want 1", name, values[name])
		}
	}
	is.Equal(values["retries.s.none"], int64(0)) // the first lookup isn't a retry
}
