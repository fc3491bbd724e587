package front

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/witness"
)

const (
	// TickEvery is the longest interval between ticks.
	TickEvery = 25 * time.Millisecond
	// answerMargin is how long before its deadline a waiting request is
	// answered: later than this the next tick could come too late.
	answerMargin = TickEvery + 5*time.Millisecond
)

const (
	// maxRecords and maxBytes bound the memory of request ids: 262,144 ids are
	// 10 minutes of 430 non-idempotent requests a second.
	maxRecords = 1 << 18
	maxBytes   = 16 << 20
)

// Front is the step of the front duty.
type Front struct {
	vm       core.VM
	remember time.Duration
	targets  map[core.Target]*target
	// order holds the targets by id, so that steps are deterministic.
	order []*target
	calls map[Ticket]*call
	// last numbers dispatches and questions, so that no answer is taken for
	// another.
	last   uint64
	memory *witness.Store
	// active holds the non-idempotent requests that are held, queued, reserved
	// or sent here, with the repeats that wait for them.
	active  map[witness.Key]*active
	custody map[core.RangeID]*custody
	out     []Output
}

// New returns the front of a VM, without targets.
func New(vm core.VM) *Front {
	return &Front{
		vm:      vm,
		targets: make(map[core.Target]*target),
		calls:   make(map[Ticket]*call),
		memory:  witness.NewStore(maxRecords, maxBytes),
		active:  make(map[witness.Key]*active),
		custody: make(map[core.RangeID]*custody),
	}
}

// Step implements duty.Step.
func (f *Front) Step(now core.Instant, m Message) []Output {
	f.out = nil
	switch m := m.(type) {
	case Tick:
		f.stepTick(now)
	case Submit:
		f.stepSubmit(now, m)
	case Finished:
		f.stepFinished(now, m)
	case GrantChanged:
		f.stepGrant(now, m)
	case Assigned:
		f.stepAssigned(now, m)
	case Remembered:
		f.stepRemembered(now, m)
	case Recalled:
		f.stepRecalled(now, m)
	case Tell:
		f.emit(Told{To: m.Reply, Memory: f.tell(now, m.Question)})
	}
	out := f.out
	f.out = nil
	return out
}

func (f *Front) number() uint64 {
	f.last++
	return f.last
}

func (f *Front) emit(o Output) { f.out = append(f.out, o) }

func (f *Front) stepTick(now core.Instant) {
	f.memory.Expire(now, f.remember)
	f.expireWaiters(now)
	f.tickCustody(now)
	for _, t := range f.order {
		t.settle(now)
		f.expireQueued(now, t)
		f.expireHeld(now, t)
		f.expireReserved(now, t)
		f.pump(now, t)
		f.flushLinks(now, t)
		f.reportDrained(t)
		if load, due := t.load(now); due {
			f.emit(Report{Load: load})
		}
	}
}

func (f *Front) stepSubmit(now core.Instant, m Submit) {
	t := f.targets[m.Target]
	switch {
	case t == nil:
		f.answer(m, Decision{Outcome: core.OutcomeMoved, Detail: "this VM is not the front of the target"})
	case !now.Before(m.Request.Deadline):
		f.answer(m, Decision{Outcome: core.OutcomeNotRun, Detail: "the deadline passed before the request reached the front"})
	case !m.Request.Idempotent && f.known(m):
	default:
		t.meter.count(m.Request)
		f.enter(now, t, m)
	}
}

// enter places a request that isn't known: held, queued or started.
func (f *Front) enter(now core.Instant, t *target, m Submit) {
	switch t.standing(m.Request.Range) {
	case elsewhere:
		f.refuse(m, Decision{Outcome: core.OutcomeMoved, Detail: "the target does not hold the range"})
	case withheld:
		f.hold(now, t, m)
	case served:
		if m.Request.Idempotent || f.provenNew(now, t, m) {
			f.admit(now, t, m)
		}
	}
}

// provenNew reports whether a non-idempotent request has not run before. If
// that isn't known yet, the request is held; otherwise it is answered.
func (f *Front) provenNew(now core.Instant, t *target, m Submit) bool {
	switch f.memoryOf(now, m) {
	case recalling:
		f.hold(now, t, m)
		return false
	case inGap:
		f.refuse(m, Decision{Outcome: core.OutcomeUnknown, Detail: "an earlier request with this id may have run: its record was lost"})
		return false
	}
	if r := f.recorded(m); r != nil {
		f.refuse(m, decisionOf(r, m.Request.Digest))
		return false
	}
	return true
}

// answer delivers a decision to one submitter.
func (f *Front) answer(m Submit, d Decision) { f.emit(Answer{To: m.Reply, Decision: d}) }

// refuse ends a request that was not sent, and the repeats that wait for it.
func (f *Front) refuse(m Submit, d Decision) {
	f.answer(m, d)
	if !m.Request.Idempotent {
		f.resolve(keyOf(m.Request), d)
	}
}

func keyOf(r core.Request) witness.Key {
	return witness.Key{Service: r.Service, ID: r.ID}
}
