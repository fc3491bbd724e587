package platformlog

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fateInLog finds what the log says of a record id.
func fateInLog(l *testLog, id string) (accepted uint64, found bool) {
	var whole Replay
	for _, e := range l.entries {
		for _, event := range first(whole.Page(e.Offset, Page{First: 1, Entries: []Entry{e}})) {
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

func first(events []Event, _ bool) []Event { return events }

// Whatever answers are lost and whoever races, a submission must never report
// a fate that the log contradicts.
func TestSubmissionTellsTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &testLog{}
		log.append(Record{Kind: KindPolicy, ID: "p0", Document: document(0)})
		s := NewSubmission(Record{Kind: KindPolicy, ID: "mine", Author: "me", Document: document(1)}, nil, nil)
		action := s.Start()
		for step := 0; ; step++ {
			var result Result
			switch a := action.(type) {
			case EndAction:
				checkFate(t, log, a.Fate)
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
				result = TimeOver{}
			}
			action = s.Step(result)
		}
	})
}

func faultyAppend(t *rapid.T, log *testLog, a AppendAction) Result {
	if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
		log.append(Record{Kind: KindPolicy, ID: fmt.Sprint("other-", log.end), Base: 1, Document: document(int(log.end) + 5)})
	}
	switch rapid.SampledFrom([]string{"ok", "lost answer", "lost", "not sent", "refused"}).Draw(t, "append") {
	case "ok":
		return AppendResult{Offset: log.appendData(a.Data)}
	case "lost answer":
		log.appendData(a.Data)
		return AppendResult{Err: ErrUnavailable}
	case "lost":
		return AppendResult{Err: ErrUnavailable}
	case "not sent":
		return AppendResult{Err: errors.Join(ErrUnavailable, ErrNotSent)}
	}
	return AppendResult{Err: ErrRefused}
}

func checkFate(t *rapid.T, log *testLog, fate Fate) {
	accepted, found := fateInLog(log, "mine")
	ok := true
	switch fate.Kind {
	case FateAccepted:
		ok = accepted == fate.Version
	case FateRaced:
		ok = accepted == 0 && fate.Standing > 1
	case FateInvalid:
		ok = accepted == 0
	case FateUnavailable:
		ok = !found
	}
	if !ok {
		t.Fatalf("fate %+v, in the log: found %v, accepted %d", fate, found, accepted)
	}
}

// A submission must end before its append if the operator looked at another
// version, if the check refuses, or if the document is at fault.
func TestSubmissionEndsBeforeAppend(t *testing.T) {
	is := is.New(t)
	log := &testLog{}
	log.append(Record{Kind: KindPolicy, ID: "p0", Document: document(0)})
	seen := uint64(7)
	policyRecord := Record{Kind: KindPolicy, ID: "mine", Document: document(1)}
	domainRecord := Record{Kind: KindDomain, ID: "mine", FailureDomain: "north", State: DomainOut}
	for _, c := range []struct {
		s    *Submission
		kind FateKind
		err  error
	}{
		{NewSubmission(policyRecord, &seen, nil), FateRaced, ErrStale},
		{NewSubmission(Record{Kind: KindPolicy, ID: "mine", Document: "[x]"}, nil, nil), FateInvalid, ErrDocument},
		{NewSubmission(domainRecord, nil, DomainChange("west", DomainOut, false)), FateInvalid, ErrNoDomain},
		{NewSubmission(domainRecord, nil, DomainChange("north", DomainIn, false)), FateInvalid, ErrNoChange},
	} {
		action := c.s.Step(ReadResult{From: 1, Limit: 10, Page: log.page(1, 10)})
		end, ok := action.(EndAction)
		is.True(ok)
		is.Equal(end.Fate.Kind, c.kind)
		is.True(errors.Is(end.Fate.Err, c.err))
	}
	_, ok := NewSubmission(domainRecord, nil, DomainChange("north", DomainOut, false)).Step(ReadResult{From: 1, Limit: 10, Page: log.page(1, 10)}).(AppendAction)
	is.True(ok)
	state := Folded{Offset: 1, PolicyVersion: 1, Document: document(0)}
	state, err := state.Apply(2, domainRecord.withBase(0))
	is.NoErr(err)
	is.True(errors.Is(DomainChange("south", DomainLost, false)(state), ErrLastDomain))
	is.NoErr(DomainChange("south", DomainLost, true)(state))
}

func (r Record) withBase(base uint64) Record {
	r.Base = base
	return r
}

// A submission whose id is in the log already must report that record's fate
// instead of appending again: so an operator resolves an unknown fate.
func TestSubmissionOfKnownID(t *testing.T) {
	is := is.New(t)
	log := &testLog{}
	log.append(Record{Kind: KindPolicy, ID: "mine", Document: document(0)})
	s := NewSubmission(Record{Kind: KindPolicy, ID: "mine", Document: document(0)}, nil, nil)
	end, ok := s.Step(ReadResult{From: 1, Limit: 10, Page: log.page(1, 10)}).(EndAction)
	is.True(ok)
	is.Equal(end.Fate, Fate{Kind: FateAccepted, Version: 1})
}
