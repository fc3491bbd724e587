package forward

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel/trace"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/route"
)

// Remote forwards calls to fronts on other VMs.
type Remote interface {
	Forward(ctx context.Context, address string, call Call, d route.Decision) Result
}

// Entry serves calls on the entry VM.
type Entry struct {
	vm     core.VM
	clock  duty.Clock
	routes *ring.Ring[route.Message]
	local  *Local
	remote Remote
	tracer trace.Tracer
}

func NewEntry(vm core.VM, clock duty.Clock, routes *ring.Ring[route.Message], local *Local, remote Remote, tracer trace.Tracer) *Entry {
	return &Entry{vm: vm, clock: clock, routes: routes, local: local, remote: remote, tracer: tracer}
}

// callState tracks the attempts of one call.
type callState struct {
	entry    *Entry
	call     Call
	attempts uint32
	tried    []core.Target
}

// Serve looks up the front of a call and forwards the call to it. The route
// duty decides whether to make further attempts.
func (e *Entry) Serve(ctx context.Context, call Call) Result {
	ctx, span := e.tracer.Start(ctx, "entry")
	defer span.End()
	call.Request.Flow = 1 + rand.Uint64N(math.MaxUint64)
	s := &callState{entry: e, call: call}
	var result Result
	for attempts := 1; ; attempts++ {
		d := s.lookup(ctx, result.Outcome, false)
		switch {
		case d.Final && attempts > 1:
			return result
		case d.Outcome != "":
			result = Result{Outcome: d.Outcome, Detail: d.Detail}
		default:
			result = s.run(ctx, d)
		}
		pause, retry := route.RetryDelay(result.Outcome, call.Request.Idempotent, attempts)
		if !retry || e.clock().Add(pause+route.MinAttemptTime).After(call.Request.Deadline) || !duty.Sleep(ctx, pause) {
			return result
		}
	}
}

func (s *callState) lookup(ctx context.Context, last core.Outcome, hedge bool) route.Decision {
	reply := make(chan route.Decision, 1)
	m := route.Lookup{Request: s.call.Request, Last: last, Hedge: hedge, Tried: s.tried, Reply: reply}
	if err := s.entry.routes.Put(ctx, m); err != nil {
		return route.Decision{Outcome: core.OutcomeOverloaded, Detail: "the router's ring is full", Final: hedge}
	}
	return <-reply
}

// attempt sends the call to the front of a decision and reports the result to
// the route duty.
func (s *callState) attempt(ctx context.Context, call Call, d route.Decision) Result {
	e := s.entry
	startedAt := e.clock()
	var result Result
	if d.Front == e.vm {
		result = e.local.Serve(ctx, call)
	} else {
		result = e.remote.Forward(ctx, d.Address, call, d)
	}
	// If the report were dropped, the attempt would count as in flight forever.
	_ = e.routes.PutBlocking(context.WithoutCancel(ctx), route.AttemptDone{
		Service: call.Request.Service, Target: d.Target, Outcome: result.Outcome,
		Latency: e.clock().Sub(startedAt), Cancelled: ctx.Err() != nil,
	})
	return result
}

// next returns the call for the next attempt.
func (s *callState) next(d route.Decision) Call {
	s.attempts++
	s.tried = append(s.tried, d.Target)
	call := s.call
	call.Request.Attempt = s.attempts
	call.Request.Range = d.Range
	call.Target = d.Target
	return call
}

// run makes one attempt, and a hedged second one if the first takes longer than
// HedgeAfter and the route duty permits it.
func (s *callState) run(ctx context.Context, d route.Decision) Result {
	if d.HedgeAfter <= 0 {
		return s.attempt(ctx, s.next(d), d)
	}
	ctx, cancel := context.WithCancel(ctx)
	// Cancels the slower attempt once the result of the other is returned.
	defer cancel()
	results := make(chan Result, 2)
	start := func(d route.Decision) {
		call := s.next(d)
		go func() { results <- s.attempt(ctx, call, d) }()
	}
	start(d)
	timer := time.NewTimer(d.HedgeAfter)
	defer timer.Stop()
	select {
	case result := <-results:
		return result
	case <-timer.C:
	}
	second := s.lookup(ctx, "", true)
	if second.Outcome != "" || second.Final {
		return <-results
	}
	start(second)
	first := <-results
	if first.Outcome == core.OutcomeAnswered {
		return first
	}
	return <-results
}
