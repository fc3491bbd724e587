package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/front"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/target"
	"celeryhook.example/celeryhook/internal/witness"
)

// maxStoredBody bounds the response bodies that are kept for repeats.
const maxStoredBody = 64 << 10

// Local runs the part of a call that belongs to the front's VM.
type Local struct {
	clock  duty.Clock
	fronts *ring.Ring[front.Message]
	target *target.Client
	tracer trace.Tracer
}

// NewLocal returns the front's part.
func NewLocal(clock duty.Clock, fronts *ring.Ring[front.Message], client *target.Client, tracer trace.Tracer) *Local {
	return &Local{clock: clock, fronts: fronts, target: client, tracer: tracer}
}

// Serve asks the front for a decision, sends the request to the target if it
// says so, and reports the end to the front.
func (l *Local) Serve(ctx context.Context, call Call) Answer {
	ctx, span := l.tracer.Start(ctx, "front", trace.WithAttributes(
		attribute.String("celeryhook.target", string(call.Target)),
		attribute.String("celeryhook.request_id", string(call.Request.ID)),
	))
	defer span.End()
	reply := make(chan front.Decision, 1)
	submit := front.Submit{Request: call.Request, Target: call.Target, Wall: time.Now(), Reply: reply}
	if err := l.fronts.Put(ctx, submit); err != nil {
		return Answer{Outcome: core.OutcomeOverloaded, Detail: "the front's ring is full", Target: call.Target}
	}
	// The front always answers, at the latest at the request's deadline; a
	// caller that went away must not leave a dispatched request unreported.
	d := <-reply
	switch {
	case d.Dispatch != nil:
		return l.send(ctx, call, *d.Dispatch)
	case d.Response != nil:
		return Answer{Outcome: d.Outcome, Target: call.Target, Response: target.Response{
			Status: d.Response.Status, Header: http.Header(d.Response.Header), Body: d.Response.Body,
		}}
	}
	return Answer{Outcome: d.Outcome, Detail: d.Detail, RetryAfter: d.RetryAfter, Target: call.Target}
}

func (l *Local) send(ctx context.Context, call Call, d front.Dispatch) Answer {
	began := l.clock()
	if !call.Request.Idempotent {
		// The response is kept for a repeat, even if the caller went away.
		ctx = context.WithoutCancel(ctx)
	}
	answer := l.exchange(ctx, call, d, began)
	finished := front.Finished{
		DispatchID: d.ID,
		Outcome:    answer.Outcome,
		Latency:    l.clock().Sub(began),
		Shed:       answer.Response.NotRun && answer.Response.Status == http.StatusServiceUnavailable,
		Cancelled:  ctx.Err() != nil,

		Incarnation: answer.Response.Incarnation,
	}
	if !call.Request.Idempotent && answer.Outcome == core.OutcomeAnswered && len(answer.Response.Body) <= maxStoredBody {
		r := answer.Response
		finished.Response = &witness.Response{Status: r.Status, Header: r.Header, Body: r.Body}
	}
	// A report that got lost would leak a slot, so it waits for room.
	_ = l.fronts.PutBlocking(context.WithoutCancel(ctx), finished)
	return answer
}

func (l *Local) exchange(ctx context.Context, call Call, d front.Dispatch, began core.Instant) Answer {
	ctx, span := l.tracer.Start(ctx, "target", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	left := d.Until.Sub(began)
	if left <= 0 {
		return Answer{Outcome: core.OutcomeNotRun, Detail: "the deadline or the grant ended before sending", Target: call.Target}
	}
	if ctx.Err() != nil {
		return Answer{Outcome: core.OutcomeNotRun, Detail: "the caller went away before sending", Target: call.Target}
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	response, err := l.target.Do(ctx, d.Address, call.HTTP, target.Metadata{
		Token:    d.Token,
		Range:    call.Request.Range,
		Request:  call.Request.ID,
		Attempt:  call.Request.Attempt,
		Deadline: d.Deadline,
		NoRetry:  !call.Request.Idempotent,
	})
	switch {
	case errors.Is(err, target.ErrNotSent):
		return Answer{Outcome: core.OutcomeNotRun, Detail: err.Error(), Target: call.Target}
	case err != nil:
		return Answer{Outcome: core.OutcomeUnknown, Detail: err.Error(), Target: call.Target}
	case response.NotRun:
		return Answer{Outcome: core.OutcomeNotRun, Detail: response.Reason, Response: response, Target: call.Target}
	}
	return Answer{Outcome: core.OutcomeAnswered, Response: response, Target: call.Target}
}
