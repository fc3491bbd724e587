package front

import (
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/witness"
)

// active is a non-idempotent request on its way through this front.
type active struct {
	digest  uint64
	waiters []Submit
}

// maxWaiters bounds the repeats that wait for one request.
const maxWaiters = 16

var (
	otherRequest = Decision{Outcome: core.OutcomeBadRequest, Detail: "the request id was used for another request"}
	mayHaveRun   = Decision{Outcome: core.OutcomeUnknown, Detail: "an earlier request with this id may have run"}
	notKept      = Decision{Outcome: core.OutcomeUnknown, Detail: "an earlier request with this id has run; its response is no longer kept"}
	stillRunning = Decision{Outcome: core.OutcomeUnknown, Detail: "an earlier request with this id has not ended"}
)

// known deals with a request whose id was seen before. It returns false for a
// new one, which it marks as active.
func (f *Front) known(m Submit) bool {
	key := keyOf(m.Request)
	if a := f.active[key]; a != nil {
		switch {
		case a.digest != m.Request.Digest:
			f.answer(m, otherRequest)
		case len(a.waiters) >= maxWaiters:
			f.answer(m, stillRunning)
		default:
			a.waiters = append(a.waiters, m)
		}
		return true
	}
	if r := f.recorded(m); r != nil {
		f.answer(m, decisionOf(r, m.Request.Digest))
		return true
	}
	f.active[key] = &active{digest: m.Request.Digest}
	return false
}

// recorded returns the record of an earlier request with the same id, or nil.
// A record of an earlier attempt that was proven not to have run is dropped: a
// front that gave its target up may have left it at a witness.
func (f *Front) recorded(m Submit) *witness.Record {
	key := keyOf(m.Request)
	r := f.memory.Get(key)
	if r != nil && r.ProvenNotRun(m.Request) {
		f.memory.Forget(key)
		return nil
	}
	return r
}

func decisionOf(r *witness.Record, digest uint64) Decision {
	switch {
	case r.Digest != digest:
		return otherRequest
	case r.State != witness.StateDone:
		return mayHaveRun
	case r.Response == nil:
		return notKept
	}
	return Decision{Outcome: core.OutcomeAnswered, Response: r.Response}
}

// resolve answers the repeats of a request that has ended.
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

// expireWaiters answers repeats at their deadlines. The answer is unknown even
// if the first request was not sent yet, since it may still be.
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
