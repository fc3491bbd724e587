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

// maxStoredBodyBytes bounds the response bodies that are kept for duplicates.
const maxStoredBodyBytes = 64 << 10

// Local serves calls on the front's VM.
type Local struct {
	clock  duty.Clock
	fronts *ring.Ring[front.Message]
	target *target.Client
	tracer trace.Tracer
}

func NewLocal(clock duty.Clock, fronts *ring.Ring[front.Message], client *target.Client, tracer trace.Tracer) *Local {
	return &Local{clock: clock, fronts: fronts, target: client, tracer: tracer}
}

// Serve requests a decision from the front, sends the request to the target if
// the front dispatches it, and reports the result to the front.
func (l *Local) Serve(ctx context.Context, call Call) Result {
	ctx, span := l.tracer.Start(ctx, "front", trace.WithAttributes(
		attribute.String("celeryhook.target", string(call.Target)),
		attribute.String("celeryhook.request_id", string(call.Request.ID)),
	))
	defer span.End()
	reply := make(chan front.Decision, 1)
	submit := front.Submit{Request: call.Request, Target: call.Target, Wall: time.Now(), Reply: reply}
	if err := l.fronts.Put(ctx, submit); err != nil {
		return Result{Outcome: core.OutcomeOverloaded, Detail: "the front's ring is full", Target: call.Target}
	}
	// The front always replies, at the latest at the request's deadline. The
	// context isn't observed here: a dispatched request must be reported as
	// finished even if the caller has disconnected.
	d := <-reply
	switch {
	case d.Dispatch != nil:
		return l.send(ctx, call, *d.Dispatch)
	case d.Response != nil:
		return Result{Outcome: d.Outcome, Target: call.Target, Response: target.Response{
			Status: d.Response.Status, Header: http.Header(d.Response.Header), Body: d.Response.Body,
		}}
	}
	return Result{Outcome: d.Outcome, Detail: d.Detail, RetryAfter: d.RetryAfter, Target: call.Target}
}

func (l *Local) send(ctx context.Context, call Call, d front.Dispatch) Result {
	startedAt := l.clock()
	if !call.Request.Idempotent {
		// The response is kept for a duplicate, even if the caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	result := l.sendToTarget(ctx, call, d, startedAt)
	finished := front.Finished{
		DispatchID: d.ID,
		Outcome:    result.Outcome,
		Latency:    l.clock().Sub(startedAt),
		Shed:       result.Response.NotRun && result.Response.Status == http.StatusServiceUnavailable,
		Cancelled:  ctx.Err() != nil,

		Incarnation: result.Response.Incarnation,
	}
	if !call.Request.Idempotent && result.Outcome == core.OutcomeAnswered && len(result.Response.Body) <= maxStoredBodyBytes {
		r := result.Response
		finished.Response = &witness.Response{Status: r.Status, Header: r.Header, Body: r.Body}
	}
	// Blocks until the ring has room, as a dropped report would leak a slot.
	_ = l.fronts.PutBlocking(context.WithoutCancel(ctx), finished)
	return result
}

func (l *Local) sendToTarget(ctx context.Context, call Call, d front.Dispatch, startedAt core.Instant) Result {
	ctx, span := l.tracer.Start(ctx, "target", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	remaining := d.Until.Sub(startedAt)
	if remaining <= 0 {
		return Result{Outcome: core.OutcomeNotRun, Detail: "the deadline or the grant ended before sending", Target: call.Target}
	}
	if ctx.Err() != nil {
		return Result{Outcome: core.OutcomeNotRun, Detail: "the caller went away before sending", Target: call.Target}
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
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
		return Result{Outcome: core.OutcomeNotRun, Detail: err.Error(), Target: call.Target}
	case err != nil:
		return Result{Outcome: core.OutcomeUnknown, Detail: err.Error(), Target: call.Target}
	case response.NotRun:
		return Result{Outcome: core.OutcomeNotRun, Detail: response.Reason, Response: response, Target: call.Target}
	}
	return Result{Outcome: core.OutcomeAnswered, Response: response, Target: call.Target}
}
