package forward

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/route"
)

// Remote passes a call to another VM's front.
type Remote interface {
	Forward(ctx context.Context, address string, call Call, d route.Decision) Answer
}

// Entry runs the part of a call that belongs to the entry VM.
type Entry struct {
	vm     core.VM
	clock  duty.Clock
	routes *ring.Ring[route.Message]
	local  *Local
	remote Remote
	tracer trace.Tracer
}

// NewEntry returns the entry VM's part.
func NewEntry(vm core.VM, clock duty.Clock, routes *ring.Ring[route.Message], local *Local, remote Remote, tracer trace.Tracer) *Entry {
	return &Entry{vm: vm, clock: clock, routes: routes, local: local, remote: remote, tracer: tracer}
}

const (
	// maxAttempts bounds how often a request that wasn't run is passed on again.
	maxAttempts = 8
	// retryPause lets a newer map arrive between attempts.
	retryPause = 20 * time.Millisecond
)

// Serve finds the front of a call and passes the call on. A call that wasn't
// run is passed on again until its deadline.
func (e *Entry) Serve(ctx context.Context, call Call) Answer {
	ctx, span := e.tracer.Start(ctx, "entry")
	defer span.End()
	var answer Answer
	var tried []core.VM
	for call.Request.Attempt = 1; ; call.Request.Attempt++ {
		var front core.VM
		answer, front = e.attempt(ctx, call, tried)
		if !retryable(answer.Outcome) || call.Request.Attempt >= maxAttempts {
			return answer
		}
		tried = append(tried, front)
		pause := retryPause * time.Duration(call.Request.Attempt)
		if e.clock().Add(pause).After(call.Request.Deadline) {
			return answer
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return answer
		case <-timer.C:
		}
	}
}

func retryable(o core.Outcome) bool {
	return o == core.OutcomeMoved || o == core.OutcomeNotRun || o == core.OutcomeNoOwner
}

func (e *Entry) attempt(ctx context.Context, call Call, tried []core.VM) (Answer, core.VM) {
	reply := make(chan route.Decision, 1)
	if err := e.routes.Put(ctx, route.Lookup{Request: call.Request, Tried: tried, Reply: reply}); err != nil {
		return Answer{Outcome: core.OutcomeOverloaded, Detail: "the router's ring is full"}, ""
	}
	d := <-reply
	if d.Outcome != "" {
		return Answer{Outcome: d.Outcome, Detail: d.Detail}, ""
	}
	call.Target = d.Target
	call.Request.Range = d.Range
	if d.Front == e.vm {
		return e.local.Serve(ctx, call), d.Front
	}
	return e.remote.Forward(ctx, d.Address, call, d), d.Front
}
