package front

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/witness"
)

const (
	// TickInterval is the longest interval between ticks.
	TickInterval = 25 * time.Millisecond
	// answerMargin is how long before its deadline a waiting request is
	// answered. With a smaller margin the next tick could come too late.
	answerMargin = TickInterval + 5*time.Millisecond
)

const (
	// maxRecords and maxResponseBytes bound the store of request records.
	// 262,144 ids are 10 minutes of 430 non-idempotent requests a second.
	maxRecords       = 1 << 18
	maxResponseBytes = 16 << 20
)

// Front decides about the requests for the targets that are assigned to a VM.
// It implements duty.Step and must be used from one goroutine.
type Front struct {
	vm        core.VM
	retention time.Duration
	targets   map[core.Target]*target
	// sortedTargets holds the targets by id, so that steps are deterministic.
	sortedTargets []*target
	calls         map[DispatchID]*call
	// lastNumber is the last one given to a dispatch, batch or recall. Results
	// carry the number, so that a late one is not taken for another's.
	lastNumber uint64
	records    *witness.Store
	// active holds the non-idempotent requests that are held, queued, reserved
	// or sent here, with the duplicates that wait for them.
	active       map[witness.Key]*activeRequest
	recordStates map[core.RangeID]*recordState
	outputs      []Output
}

// New returns the front of a VM. It has no targets until the first Assigned.
func New(vm core.VM) *Front {
	return &Front{
		vm:           vm,
		targets:      make(map[core.Target]*target),
		calls:        make(map[DispatchID]*call),
		records:      witness.NewStore(maxRecords, maxResponseBytes),
		active:       make(map[witness.Key]*activeRequest),
		recordStates: make(map[core.RangeID]*recordState),
	}
}

// Step implements duty.Step.
func (f *Front) Step(now core.Instant, m Message) []Output {
	f.outputs = nil
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
	case RememberDone:
		f.stepRememberDone(now, m)
	case RecallDone:
		f.stepRecallDone(now, m)
	case RecallRequested:
		f.emit(SendRecallReply{To: m.Reply, Reply: f.answerRecall(now, m.Request)})
	}
	out := f.outputs
	f.outputs = nil
	return out
}

func (f *Front) nextNumber() uint64 {
	f.lastNumber++
	return f.lastNumber
}

func (f *Front) emit(o Output) { f.outputs = append(f.outputs, o) }

func (f *Front) stepTick(now core.Instant) {
	f.records.Expire(now, f.retention)
	f.expireWaiters(now)
	f.tickRecordStates(now)
	for _, t := range f.sortedTargets {
		t.updateSlots(now)
		f.expireQueued(now, t)
		f.expireHeld(now, t)
		f.expireReserved(now, t)
		f.dispatchQueued(now, t)
		f.replicate(now, t)
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
	case !m.Request.Idempotent && f.handleDuplicate(m):
	default:
		t.meter.count(m.Request)
		f.placeRequest(now, t, m)
	}
}

// placeRequest holds, queues, starts or rejects a request that isn't a
// duplicate.
func (f *Front) placeRequest(now core.Instant, t *target, m Submit) {
	switch t.rangeStatus(m.Request.Range) {
	case rangeElsewhere:
		f.reject(m, Decision{Outcome: core.OutcomeMoved, Detail: "the target does not hold the range"})
	case rangeBlocked:
		f.hold(now, t, m)
	case rangeServing:
		if m.Request.Idempotent || f.ensureNew(now, t, m) {
			f.admit(now, t, m)
		}
	}
}

// ensureNew reports whether a non-idempotent request has certainly not run
// before. If that isn't known yet, the request is held; if it may have run, it
// is answered.
func (f *Front) ensureNew(now core.Instant, t *target, m Submit) bool {
	switch f.coverageOf(now, m) {
	case coveragePending:
		f.hold(now, t, m)
		return false
	case coverageGap:
		f.reject(m, Decision{Outcome: core.OutcomeUnknown, Detail: "an earlier request with this id may have run: its record was lost"})
		return false
	}
	if r := f.earlierRecord(m); r != nil {
		f.reject(m, decisionFor(r, m.Request.Digest))
		return false
	}
	return true
}

// answer sends a decision to one submitter.
func (f *Front) answer(m Submit, d Decision) { f.emit(SendDecision{To: m.Reply, Decision: d}) }

// reject answers a request that was not sent, and the duplicates that wait for
// it.
func (f *Front) reject(m Submit, d Decision) {
	f.answer(m, d)
	if !m.Request.Idempotent {
		f.resolve(keyOf(m.Request), d)
	}
}

func keyOf(r core.Request) witness.Key {
	return witness.Key{Service: r.Service, ID: r.ID}
}
