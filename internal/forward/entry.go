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

// journey is one call on its way through attempts.
type journey struct {
	entry    *Entry
	call     Call
	attempts uint32
	tried    []core.Target
}

// Serve finds the front of a call and passes the call on. The route duty
// decides on further attempts.
func (e *Entry) Serve(ctx context.Context, call Call) Answer {
	ctx, span := e.tracer.Start(ctx, "entry")
	defer span.End()
	call.Request.Flow = 1 + rand.Uint64N(math.MaxUint64)
	j := &journey{entry: e, call: call}
	var answer Answer
	for attempts := 1; ; attempts++ {
		d := j.lookup(ctx, answer.Outcome, false)
		switch {
		case d.Final && attempts > 1:
			return answer
		case d.Outcome != "":
			answer = Answer{Outcome: d.Outcome, Detail: d.Detail}
		default:
			answer = j.run(ctx, d)
		}
		pause, again := route.Pause(answer.Outcome, call.Request.Idempotent, attempts)
		if !again || e.clock().Add(pause+route.MinAttempt).After(call.Request.Deadline) || !duty.Sleep(ctx, pause) {
			return answer
		}
	}
}

func (j *journey) lookup(ctx context.Context, last core.Outcome, hedge bool) route.Decision {
	reply := make(chan route.Decision, 1)
	m := route.Lookup{Request: j.call.Request, Last: last, Hedge: hedge, Tried: j.tried, Reply: reply}
	if err := j.entry.routes.Put(ctx, m); err != nil {
		return route.Decision{Outcome: core.OutcomeOverloaded, Detail: "the router's ring is full", Final: hedge}
	}
	return <-reply
}

// attempt passes the call to the front that a decision names, and reports the
// end to the route duty.
func (j *journey) attempt(ctx context.Context, call Call, d route.Decision) Answer {
	e := j.entry
	began := e.clock()
	var answer Answer
	if d.Front == e.vm {
		answer = e.local.Serve(ctx, call)
	} else {
		answer = e.remote.Forward(ctx, d.Address, call, d)
	}
	// A lost report would count the attempt as under way for ever.
	_ = e.routes.PutBlocking(context.WithoutCancel(ctx), route.Done{
		Service: call.Request.Service, Target: d.Target, Outcome: answer.Outcome,
		Latency: e.clock().Sub(began), Cancelled: ctx.Err() != nil,
	})
	return answer
}

// next returns the call as the next attempt sends it.
func (j *journey) next(d route.Decision) Call {
	j.attempts++
	j.tried = append(j.tried, d.Target)
	call := j.call
	call.Request.Attempt = j.attempts
	call.Request.Range = d.Range
	call.Target = d.Target
	return call
}

// run makes one attempt, with a hedge if it takes long and that is allowed.
func (j *journey) run(ctx context.Context, d route.Decision) Answer {
	if d.HedgeAfter <= 0 {
		return j.attempt(ctx, j.next(d), d)
	}
	ctx, cancel := context.WithCancel(ctx)
	// The loser is cancelled when the winner's answer is returned.
	defer cancel()
	answers := make(chan Answer, 2)
	start := func(d route.Decision) {
		call := j.next(d)
		go func() { answers <- j.attempt(ctx, call, d) }()
	}
	start(d)
	timer := time.NewTimer(d.HedgeAfter)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer
	case <-timer.C:
	}
	second := j.lookup(ctx, "", true)
	if second.Outcome != "" || second.Final {
		return <-answers
	}
	start(second)
	first := <-answers
	if first.Outcome == core.OutcomeAnswered {
		return first
	}
	return <-answers
}
