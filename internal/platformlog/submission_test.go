package platformlog

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// outcomeInLog returns whether the log holds a record with an id, and its offset
// if it was accepted.
func outcomeInLog(l *testLog, id string) (accepted uint64, found bool) {
	var complete Replay
	for _, e := range l.entries {
		for _, event := range firstResult(complete.ApplyPage(e.Offset, Page{First: 1, Entries: []Entry{e}})) {
			if event.Record.ID != id || found {
				continue
			}
			found = true
			if event.Err == nil {
				accepted = event.Offset
			}
		}
	}
	return accepted, found
}

func firstResult(events []Event, _ bool) []Event { return events }

// Guards against a reported outcome that contradicts the log, with lost
// responses and concurrent submissions.
func TestSubmissionOutcomeMatchesLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &testLog{}
		log.append(Record{Kind: KindPolicy, ID: "p0", Document: document(0)})
		s := NewSubmission(Record{Kind: KindPolicy, ID: "mine", Author: "me", Document: document(1)}, nil, nil)
		action := s.Start()
		for step := 0; ; step++ {
			var result Result
			switch a := action.(type) {
			case DoneAction:
				checkOutcome(t, log, a.Outcome)
				return
			case AppendAction:
				result = faultyAppend(t, log, a)
			case ReadAction:
				result = ReadResult{From: a.From, Limit: a.Limit, Page: log.page(a.From, a.Limit)}
				if rapid.IntRange(0, 4).Draw(t, "read") == 0 {
					result = ReadResult{From: a.From, Err: ErrUnavailable}
				}
			}
			if step > 12 {
				result = TimedOut{}
			}
			action = s.Step(result)
		}
	})
}

func faultyAppend(t *rapid.T, log *testLog, a AppendAction) Result {
	if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
		log.append(Record{Kind: KindPolicy, ID: fmt.Sprint("other-", log.end), Base: 1, Document: document(int(log.end) + 5)})
	}
	switch rapid.SampledFrom([]string{"ok", "lost response", "lost", "not sent", "refused"}).Draw(t, "append") {
	case "ok":
		return AppendResult{Offset: log.appendData(a.Data)}
	case "lost response":
		log.appendData(a.Data)
		return AppendResult{Err: ErrUnavailable}
	case "lost":
		return AppendResult{Err: ErrUnavailable}
	case "not sent":
		return AppendResult{Err: errors.Join(ErrUnavailable, ErrNotSent)}
	}
	return AppendResult{Err: ErrRejected}
}

func checkOutcome(t *rapid.T, log *testLog, outcome Outcome) {
	accepted, found := outcomeInLog(log, "mine")
	ok := true
	switch outcome.Kind {
	case OutcomeAccepted:
		ok = accepted == outcome.Version
	case OutcomeConflict:
		ok = accepted == 0 && outcome.InForce > 1
	case OutcomeInvalid:
		ok = accepted == 0
	case OutcomeUnavailable:
		ok = !found
	}
	if !ok {
		t.Fatalf("outcome %+v, but in the log: found %v, accepted at offset %d", outcome, found, accepted)
	}
}

// Guards against appends that are bound to fail: a submission must end before
// its append if the operator edited another version, if the precondition fails
// or if the document is invalid.
func TestSubmissionEndsBeforeAppend(t *testing.T) {
	is := is.New(t)
	log := &testLog{}
	log.append(Record{Kind: KindPolicy, ID: "p0", Document: document(0)})
	seen := uint64(7)
	policyRecord := Record{Kind: KindPolicy, ID: "mine", Document: document(1)}
	domainRecord := Record{Kind: KindDomain, ID: "mine", FailureDomain: "north", State: DomainOut}
	for _, c := range []struct {
		s    *Submission
		kind OutcomeKind
		err  error
	}{
		{NewSubmission(policyRecord, &seen, nil), OutcomeConflict, ErrStale},
		{NewSubmission(Record{Kind: KindPolicy, ID: "mine", Document: "[x]"}, nil, nil), OutcomeInvalid, ErrInvalidPolicy},
		{NewSubmission(domainRecord, nil, DomainChange("west", DomainOut, false)), OutcomeInvalid, ErrUnknownDomain},
		{NewSubmission(domainRecord, nil, DomainChange("north", DomainIn, false)), OutcomeInvalid, ErrNoChange},
	} {
		action := c.s.Step(ReadResult{From: 1, Limit: 10, Page: log.page(1, 10)})
		end, ok := action.(DoneAction)
		is.True(ok)
		is.Equal(end.Outcome.Kind, c.kind)
		is.True(errors.Is(end.Outcome.Err, c.err))
	}
	_, ok := NewSubmission(domainRecord, nil, DomainChange("north", DomainOut, false)).Step(ReadResult{From: 1, Limit: 10, Page: log.page(1, 10)}).(AppendAction)
	is.True(ok)
	state := State{Offset: 1, PolicyVersion: 1, Document: document(0)}
	state, err := state.Apply(2, domainRecord.withBase(0))
	is.NoErr(err)
	is.True(errors.Is(DomainChange("south", DomainLost, false)(state), ErrLastDomain))
	is.NoErr(DomainChange("south", DomainLost, true)(state))
}

func (r Record) withBase(base uint64) Record {
	r.Base = base
	return r
}

// Guards against a second append of a record: a submission whose id is in the
// log already must report the outcome of that record. Operators resolve unknown
// outcomes in this way.
func TestSubmissionOfKnownID(t *testing.T) {
	is := is.New(t)
	log := &testLog{}
	log.append(Record{Kind: KindPolicy, ID: "mine", Document: document(0)})
	s := NewSubmission(Record{Kind: KindPolicy, ID: "mine", Document: document(0)}, nil, nil)
	end, ok := s.Step(ReadResult{From: 1, Limit: 10, Page: log.page(1, 10)}).(DoneAction)
	is.True(ok)
	is.Equal(end.Outcome, Outcome{Kind: OutcomeAccepted, Version: 1})
}
