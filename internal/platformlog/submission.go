package platformlog

import (
	"errors"
	"fmt"
	"slices"
)

// OutcomeKind is the kind of the outcome of a submission.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	// OutcomeAccepted: the record is in force.
	OutcomeAccepted OutcomeKind = iota + 1
	// OutcomeInvalid: the record is invalid and not in force.
	OutcomeInvalid
	// OutcomeConflict: the record is not based on the version in force.
	OutcomeConflict
	// OutcomeUnavailable: the platform was unavailable; nothing was appended.
	OutcomeUnavailable
	// OutcomeUnknown: the record may or may not have been appended.
	OutcomeUnknown
)

// Outcome is the result of a submission.
type Outcome struct {
	Kind OutcomeKind
	// Version is the record's offset, for OutcomeAccepted.
	Version uint64
	// InForce is the version in force, on which the record is not based, for
	// OutcomeConflict.
	InForce uint64
	// Err is the reason for every outcome but OutcomeAccepted.
	Err error
}

var (
	// ErrNoSnapshot means that the log's first records have expired and that it
	// holds no snapshot to start from.
	ErrNoSnapshot = errors.New("platformlog: the log's first records have expired and it holds no snapshot")
	// ErrTimedOut means that a submission did not finish in time.
	ErrTimedOut = errors.New("platformlog: submission timed out")
	// ErrTooLarge means that the state would no longer fit into a snapshot.
	ErrTooLarge = errors.New("platformlog: record is too large")
)

// maxSubmitBytes leaves room in a snapshot for the parts of the state other than
// the policy document.
const maxSubmitBytes = MaxRecordBytes - 1<<20

// Action is the next action that a submission requests.
type Action interface{ isAction() }

type (
	// AppendAction requests an append.
	AppendAction struct{ Data []byte }
	// ReadAction requests a read. Retry is set if it must be delayed: the last
	// call failed, or the record is not visible yet.
	ReadAction struct {
		From  uint64
		Limit int
		Retry bool
	}
	// DoneAction ends the submission.
	DoneAction struct{ Outcome Outcome }
)

func (AppendAction) isAction() {}
func (ReadAction) isAction()   {}
func (DoneAction) isAction()   {}

// Result is the result of an action.
type Result interface{ isResult() }

type (
	// AppendResult is the result of an append.
	AppendResult struct {
		Offset uint64
		Err    error
	}
	// ReadResult is the result of a read of up to Limit entries from From on.
	ReadResult struct {
		From  uint64
		Limit int
		Page  Page
		Err   error
	}
	// TimedOut ends the submission: no further actions are performed.
	TimedOut struct{}
)

func (AppendResult) isResult() {}
func (ReadResult) isResult()   {}
func (TimedOut) isResult()     {}

// Submission is the state machine that appends a record and determines the
// outcome. It reads the log to its end, appends the record with the version in
// force as its base, and reads on until it finds the record. If the response to
// the append is lost, it reads on and appends the record again, with the same
// id, only if the log doesn't hold it. A record whose id is in the log already,
// since an earlier submission ended with OutcomeUnknown, isn't appended again.
type Submission struct {
	record Record
	// base is the version that the operator has edited; nil for that in force.
	base *uint64
	// precondition checks the state before the append.
	precondition func(State) error
	replay       Replay
	size         readSize

	data []byte
	// maybeAppended is set once an append may have taken effect, at offset if
	// that isn't 0.
	maybeAppended bool
	offset        uint64
	lastErr       error
}

// NewSubmission returns a submission of a record, whose id must be set. Base and
// precondition may be nil.
func NewSubmission(r Record, base *uint64, precondition func(State) error) *Submission {
	return &Submission{record: r, base: base, precondition: precondition, size: maxReadSize}
}

// Start returns the first action, a read.
func (s *Submission) Start() Action { return s.read(false) }

// State returns the state after the records read so far.
func (s *Submission) State() State { return s.replay.State() }

// Step returns the action that follows a result.
func (s *Submission) Step(r Result) Action {
	switch r := r.(type) {
	case AppendResult:
		return s.appended(r)
	case ReadResult:
		s.size = s.size.adjust(r.Err != nil)
		if r.Err != nil {
			s.lastErr = r.Err
			return s.read(true)
		}
		return s.pageRead(r)
	}
	return s.timedOut()
}

func (s *Submission) read(retry bool) Action {
	return ReadAction{From: s.replay.NextOffset(), Limit: int(s.size), Retry: retry}
}

func (s *Submission) end(outcome Outcome) Action { return DoneAction{Outcome: outcome} }

func (s *Submission) timedOut() Action {
	err := errors.Join(ErrTimedOut, s.lastErr)
	if s.maybeAppended {
		return s.end(Outcome{Kind: OutcomeUnknown, Err: err})
	}
	return s.end(Outcome{Kind: OutcomeUnavailable, Err: err})
}

func (s *Submission) appended(r AppendResult) Action {
	switch {
	case r.Err == nil:
		s.maybeAppended, s.offset = true, r.Offset
		return s.read(false)
	case errors.Is(r.Err, ErrRejected) && !s.maybeAppended:
		return s.end(Outcome{Kind: OutcomeInvalid, Err: r.Err})
	case !errors.Is(r.Err, ErrNotSent) && !errors.Is(r.Err, ErrRejected):
		s.maybeAppended = true
	}
	s.lastErr = r.Err
	return s.read(true)
}

func (s *Submission) pageRead(r ReadResult) Action {
	events, continues := s.replay.ApplyPage(r.From, r.Page)
	for _, e := range events {
		if e.Adopted {
			if outcome, known := s.outcomeInSnapshot(s.replay.State()); known {
				return s.end(outcome)
			}
		}
		if e.Record.ID == s.record.ID {
			return s.end(s.outcomeOf(e))
		}
	}
	atEnd := len(r.Page.Entries) < r.Limit
	switch {
	case !atEnd || (!continues && !s.replay.InGap()):
		return s.read(false)
	case !continues:
		s.lastErr = ErrNoSnapshot
		return s.read(true)
	case s.offset > 0:
		// The appended record is not visible to reads yet.
		return s.read(true)
	}
	return s.append()
}

// append requests the append, or its retry if the response was lost.
func (s *Submission) append() Action {
	if s.data == nil {
		if outcome, ok := s.prepare(); !ok {
			return s.end(outcome)
		}
	}
	return AppendAction{Data: s.data}
}

// prepare validates the record against the state and encodes it.
func (s *Submission) prepare() (Outcome, bool) {
	st := s.replay.State()
	inForce := st.versionFor(s.record)
	s.record.Base = inForce
	if s.base != nil && *s.base != inForce {
		err := fmt.Errorf("%w: base is version %d, version %d is in force", ErrStale, *s.base, inForce)
		return Outcome{Kind: OutcomeConflict, InForce: inForce, Err: err}, false
	}
	if s.precondition != nil {
		if err := s.precondition(st); err != nil {
			return Outcome{Kind: OutcomeInvalid, Err: err}, false
		}
	}
	if err := s.record.Validate(); err != nil {
		return Outcome{Kind: OutcomeInvalid, Err: err}, false
	}
	if _, err := st.Apply(st.Offset+1, s.record); err != nil {
		return Outcome{Kind: OutcomeInvalid, Err: err}, false
	}
	data, err := s.record.Encode()
	if err == nil && len(data) > maxSubmitBytes {
		err = fmt.Errorf("%w: %d bytes exceed the limit of %d", ErrTooLarge, len(data), maxSubmitBytes)
	}
	if err != nil {
		return Outcome{Kind: OutcomeInvalid, Err: err}, false
	}
	s.data = data
	return Outcome{}, true
}

// outcomeOf returns the outcome by the first record with the submission's id.
func (s *Submission) outcomeOf(e Event) Outcome {
	switch {
	case e.Err == nil:
		return Outcome{Kind: OutcomeAccepted, Version: e.Offset}
	case errors.Is(e.Err, ErrStale):
		return Outcome{Kind: OutcomeConflict, InForce: s.replay.State().versionFor(s.record), Err: e.Err}
	}
	return Outcome{Kind: OutcomeInvalid, Err: e.Err}
}

// outcomeInSnapshot returns the outcome if it follows from the state of a
// snapshot, whose list of ids holds only accepted records.
func (s *Submission) outcomeInSnapshot(st State) (Outcome, bool) {
	if slices.Contains(st.Seen, s.record.ID) {
		version := s.offset
		if s.record.Kind == KindPolicy && st.Document == s.record.Document {
			version = st.PolicyVersion
		}
		return Outcome{Kind: OutcomeAccepted, Version: version}, true
	}
	if s.offset > 0 && st.Offset >= s.offset {
		err := fmt.Errorf("%w: record at offset %d expired before it was read", ErrNoSnapshot, s.offset)
		return Outcome{Kind: OutcomeUnknown, Err: err}, true
	}
	return Outcome{}, false
}

// versionFor returns the version in force that a record of its kind replaces.
func (st State) versionFor(r Record) uint64 {
	switch r.Kind {
	case KindPolicy:
		return st.PolicyVersion
	case KindTerm:
		return st.Terms[r.FailureDomain].Number
	case KindDomain, KindReleased:
		return st.Delegation.Number
	}
	return 0
}
