package front

import (
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/witness"
)

// activeRequest is a non-idempotent request that this front has not answered
// yet, with the duplicates that wait for its outcome.
type activeRequest struct {
	digest  uint64
	waiters []Submit
}

// maxWaitingDuplicates bounds the duplicates that wait for one request.
const maxWaitingDuplicates = 16

var (
	idReused        = Decision{Outcome: core.OutcomeBadRequest, Detail: "the request id was used for another request"}
	mayHaveRun      = Decision{Outcome: core.OutcomeUnknown, Detail: "an earlier request with this id may have run"}
	responseDropped = Decision{Outcome: core.OutcomeUnknown, Detail: "an earlier request with this id has run; its response is no longer kept"}
	stillRunning    = Decision{Outcome: core.OutcomeUnknown, Detail: "an earlier request with this id has not ended"}
)

// handleDuplicate answers a request whose id is already known, or makes it wait
// for the first request. For a new id it marks the request as active and
// returns false.
func (f *Front) handleDuplicate(m Submit) bool {
	key := keyOf(m.Request)
	if a := f.active[key]; a != nil {
		switch {
		case a.digest != m.Request.Digest:
			f.answer(m, idReused)
		case len(a.waiters) >= maxWaitingDuplicates:
			f.answer(m, stillRunning)
		default:
			a.waiters = append(a.waiters, m)
		}
		return true
	}
	if r := f.earlierRecord(m); r != nil {
		f.answer(m, decisionFor(r, m.Request.Digest))
		return true
	}
	f.active[key] = &activeRequest{digest: m.Request.Digest}
	return false
}

// earlierRecord returns the record of an earlier request with the same id, or
// nil. It deletes the record of an earlier attempt that is proven not to have
// run. Such a record can remain at a witness from a front that lost its target.
func (f *Front) earlierRecord(m Submit) *witness.Record {
	key := keyOf(m.Request)
	r := f.records.Get(key)
	if r != nil && r.ProvenNotRun(m.Request) {
		f.records.Delete(key)
		return nil
	}
	return r
}

func decisionFor(r *witness.Record, digest uint64) Decision {
	switch {
	case r.Digest != digest:
		return idReused
	case r.State != witness.StateDone:
		return mayHaveRun
	case r.Response == nil:
		return responseDropped
	}
	return Decision{Outcome: core.OutcomeAnswered, Response: r.Response}
}

// resolve answers the duplicates of a request that has ended.
func (f *Front) resolve(key witness.Key, d Decision) {
	a := f.active[key]
	if a == nil {
		return
	}
	delete(f.active, key)
	for _, w := range a.waiters {
		f.answer(w, d)
	}
}

// expireWaiters answers duplicates shortly before their deadlines. The outcome
// is unknown even if the first request was not sent yet, since it may still be.
func (f *Front) expireWaiters(now core.Instant) {
	for _, a := range f.active {
		kept := a.waiters[:0]
		for _, w := range a.waiters {
			if now.Add(answerMargin).Before(w.Request.Deadline) {
				kept = append(kept, w)
				continue
			}
			f.answer(w, stillRunning)
		}
		clear(a.waiters[len(kept):])
		a.waiters = kept
	}
}
