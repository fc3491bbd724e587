package front

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
)

// Message is what the front takes.
type Message interface{ isFrontMessage() }

type (
	// Tick lets the front look at its timers.
	Tick struct{}
	// Submit asks for a decision on a request.
	Submit struct {
		Request core.Request
		Target  core.Target
		// Reply receives exactly one Decision; it has room for it.
		Reply chan<- Decision
	}
	// Finished reports the end of a request that was dispatched.
	Finished struct {
		Target  core.Target
		Request core.Request
		Outcome core.Outcome
		Latency time.Duration
	}
	// GrantChanged hands over the state of a grant.
	GrantChanged struct {
		Target core.Target
		View   grant.View
	}
	// Assigned hands over the ranges that this VM's targets shall serve or
	// stop serving; targets that are missing are no longer its.
	Assigned struct {
		Targets map[core.Target]Assignment
	}
)

func (Tick) isFrontMessage()         {}
func (Submit) isFrontMessage()       {}
func (Finished) isFrontMessage()     {}
func (GrantChanged) isFrontMessage() {}
func (Assigned) isFrontMessage()     {}

// Assignment is what policy and map say of one target.
type Assignment struct {
	Slots   int
	Serving []core.RangeID
	Moving  []core.RangeID
}

// Decision answers a Submit: send the request to the target, or refuse it.
type Decision struct {
	Outcome core.Outcome
	Detail  string
	// RetryAfter is a hint for OutcomeOverloaded.
	RetryAfter time.Duration
	// Dispatch is set if the request is to be sent.
	Dispatch *Dispatch
}

// Dispatch says how a request is sent.
type Dispatch struct {
	Target  core.Target
	Address string
	Token   core.Token
	// Until is when the request must have ended: no later than its deadline
	// and the end of the grant.
	Until core.Instant
	// Deadline is the same as a reading of the target's clock.
	Deadline grant.TargetClock
}

// Output is what the front asks for.
type Output interface{ isFrontOutput() }

type (
	// Answer delivers a decision.
	Answer struct {
		To       chan<- Decision
		Decision Decision
	}
	// Drained tells the grant duty that ranges have nothing in flight.
	Drained struct {
		Target core.Target
		Ranges []core.RangeID
	}
)

func (Answer) isFrontOutput()  {}
func (Drained) isFrontOutput() {}

// Front is the step of the front duty.
type Front struct {
	targets map[core.Target]*target
}

type target struct {
	assignment Assignment
	view       grant.View
	inFlight   map[core.RangeID]int
	total      int
	queue      []Submit
}

// New returns a front without targets.
func New() *Front { return &Front{targets: make(map[core.Target]*target)} }

// Step implements duty.Step.
func (f *Front) Step(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case Submit:
		return f.stepSubmit(now, m)
	case Finished:
		return f.stepFinished(now, m)
	case GrantChanged:
		if t := f.targets[m.Target]; t != nil {
			t.view = m.View
			return f.drain(now, m.Target, t)
		}
	case Assigned:
		return f.stepAssigned(now, m)
	}
	return nil
}

func refuse(m Submit, outcome core.Outcome, detail string) []Output {
	return []Output{Answer{To: m.Reply, Decision: Decision{Outcome: outcome, Detail: detail}}}
}

// queueLength bounds the requests that wait for one target.
const queueLength = 64

func (f *Front) stepSubmit(now core.Instant, m Submit) []Output {
	t := f.targets[m.Target]
	if t == nil {
		return refuse(m, core.OutcomeMoved, "this VM is not the front of the target")
	}
	if !t.serves(m.Request.Range) {
		return refuse(m, core.OutcomeMoved, "the target does not hold the range")
	}
	if t.total >= t.assignment.Slots {
		if len(t.queue) >= queueLength {
			return refuse(m, core.OutcomeOverloaded, "the target's queue is full")
		}
		t.queue = append(t.queue, m)
		return nil
	}
	return []Output{t.dispatch(now, m)}
}

func (f *Front) stepFinished(now core.Instant, m Finished) []Output {
	t := f.targets[m.Target]
	if t == nil {
		return nil
	}
	t.total--
	t.inFlight[m.Request.Range]--
	var out []Output
	for len(t.queue) > 0 && t.total < t.assignment.Slots {
		next := t.queue[0]
		t.queue = t.queue[1:]
		out = append(out, t.dispatch(now, next))
	}
	return append(out, f.drain(now, m.Target, t)...)
}

func (f *Front) stepAssigned(now core.Instant, m Assigned) []Output {
	var out []Output
	for id, t := range f.targets {
		if _, ok := m.Targets[id]; !ok {
			for _, q := range t.queue {
				out = append(out, refuse(q, core.OutcomeMoved, "the target has another front")...)
			}
			delete(f.targets, id)
		}
	}
	for id, a := range m.Targets {
		t := f.targets[id]
		if t == nil {
			t = &target{inFlight: make(map[core.RangeID]int)}
			f.targets[id] = t
		}
		t.assignment = a
		out = append(out, f.drain(now, id, t)...)
	}
	return out
}

// drain reports moving ranges that have nothing in flight.
func (f *Front) drain(_ core.Instant, id core.Target, t *target) []Output {
	var done []core.RangeID
	for _, r := range t.assignment.Moving {
		if t.inFlight[r] == 0 {
			done = append(done, r)
		}
	}
	if len(done) == 0 {
		return nil
	}
	return []Output{Drained{Target: id, Ranges: done}}
}

func (t *target) dispatch(now core.Instant, m Submit) Output {
	until := min(m.Request.Deadline, t.view.HeldUntil)
	if !now.Before(until) {
		return Answer{To: m.Reply, Decision: Decision{Outcome: core.OutcomeNotRun, Detail: "the deadline or the grant has ended"}}
	}
	t.total++
	t.inFlight[m.Request.Range]++
	return Answer{To: m.Reply, Decision: Decision{Dispatch: &Dispatch{
		Target:   m.Target,
		Address:  t.view.Address,
		Token:    t.view.Token,
		Until:    until,
		Deadline: t.view.Clock.NeverLater(until),
	}}}
}

func (t *target) serves(r core.RangeID) bool {
	if r == (core.RangeID{}) {
		return true
	}
	return slices.Contains(t.assignment.Serving, r) && slices.Contains(t.view.Ranges, r)
}
