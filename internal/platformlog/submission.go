package platformlog

import (
	"errors"
	"fmt"
	"slices"
)

// FateKind says what became of a submitted record.
type FateKind uint8

// Fates of a record.
const (
	// FateAccepted: the record is in force.
	FateAccepted FateKind = iota + 1
	// FateInvalid: the record is at fault; it isn't in force.
	FateInvalid
	// FateRaced: another version stands.
	FateRaced
	// FateUnavailable: the platform couldn't be reached; nothing was appended.
	FateUnavailable
	// FateUnknown: the record may or may not have been appended.
	FateUnknown
)

// Fate is the end of a submission.
type Fate struct {
	Kind FateKind
	// Version is the record's offset, for FateAccepted.
	Version uint64
	// Standing is the version in force that the record doesn't build on, for
	// FateRaced.
	Standing uint64
	// Err is the reason for any other fate than FateAccepted.
	Err error
}

var (
	// ErrNoState says that the log has lost its first records and holds no
	// snapshot to start from.
	ErrNoState = errors.New("platformlog: the log's first records have expired and it holds no snapshot of the state")
	// ErrExpired says that the time for a submission is over.
	ErrExpired = errors.New("platformlog: time is over")
	// ErrTooLarge says that the state would no longer fit into a snapshot.
	ErrTooLarge = errors.New("platformlog: record is too large")
)

// maxSubmitBytes leaves room in a snapshot for what the state holds besides
// the policy's document.
const maxSubmitBytes = MaxRecordBytes - 1<<20

// Action is what a submission asks for next.
type Action interface{ isAction() }

type (
	// AppendAction asks for an append.
	AppendAction struct{ Data []byte }
	// ReadAction asks for a read. Retry says that the last attempt failed, so
	// that a pause is due.
	ReadAction struct {
		From  uint64
		Limit int
		Retry bool
	}
	// EndAction ends the submission.
	EndAction struct{ Fate Fate }
)

func (AppendAction) isAction() {}
func (ReadAction) isAction()   {}
func (EndAction) isAction()    {}

// Result is what an action led to.
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
	// TimeOver says that no more actions are carried out.
	TimeOver struct{}
)

func (AppendResult) isResult() {}
func (ReadResult) isResult()   {}
func (TimeOver) isResult()     {}

// Submission is the step that appends a record and learns its fate: it reads
// the log to its end, appends the record with the base seen, and reads until
// it meets the record. After an append without an answer it reads first and
// appends the record again, with the same id, if the log doesn't hold it. A
// record whose id is in the log from the start, because an earlier submission
// ended with an unknown fate, isn't appended again.
type Submission struct {
	record Record
	// base is the version that the operator saw; nil for the one in force.
	base *uint64
	// check looks at the state before the append.
	check  func(Folded) error
	replay Replay
	size   readSize

	data []byte
	// sent says that an append may have taken effect, at is its offset if known.
	sent bool
	at   uint64
	last error
}

// NewSubmission returns a submission of a record that has an id. Check may be
// nil.
func NewSubmission(r Record, base *uint64, check func(Folded) error) *Submission {
	return &Submission{record: r, base: base, check: check, size: largest}
}

// Start returns the first action.
func (s *Submission) Start() Action { return s.read(false) }

// Folded returns the state read so far.
func (s *Submission) Folded() Folded { return s.replay.Folded() }

// Step returns the next action.
func (s *Submission) Step(r Result) Action {
	switch r := r.(type) {
	case AppendResult:
		return s.appended(r)
	case ReadResult:
		s.size = s.size.after(r.Err != nil)
		if r.Err != nil {
			s.last = r.Err
			return s.read(true)
		}
		return s.pageRead(r)
	}
	return s.expired()
}

func (s *Submission) read(retry bool) Action {
	return ReadAction{From: s.replay.From(), Limit: int(s.size), Retry: retry}
}

func (s *Submission) end(f Fate) Action { return EndAction{Fate: f} }

func (s *Submission) expired() Action {
	err := errors.Join(ErrExpired, s.last)
	if s.sent {
		return s.end(Fate{Kind: FateUnknown, Err: err})
	}
	return s.end(Fate{Kind: FateUnavailable, Err: err})
}

func (s *Submission) appended(r AppendResult) Action {
	switch {
	case r.Err == nil:
		s.sent, s.at = true, r.Offset
		return s.read(false)
	case errors.Is(r.Err, ErrRefused) && !s.sent:
		return s.end(Fate{Kind: FateInvalid, Err: r.Err})
	case !errors.Is(r.Err, ErrNotSent) && !errors.Is(r.Err, ErrRefused):
		s.sent = true
	}
	s.last = r.Err
	return s.read(true)
}

func (s *Submission) pageRead(r ReadResult) Action {
	events, continues := s.replay.Page(r.From, r.Page)
	for _, e := range events {
		if e.Adopted {
			if fate, known := s.fateIn(s.replay.Folded()); known {
				return s.end(fate)
			}
		}
		if e.Record.ID == s.record.ID {
			return s.end(s.fateOf(e))
		}
	}
	atEnd := len(r.Page.Entries) < r.Limit
	switch {
	case !atEnd || (!continues && !s.replay.InGap()):
		return s.read(false)
	case !continues:
		s.last = ErrNoState
		return s.read(true)
	case s.at > 0:
		// The log's end lies before the record: it isn't visible yet.
		return s.read(true)
	}
	return s.append()
}

// append starts an append, or repeats one whose answer was lost.
func (s *Submission) append() Action {
	if s.data == nil {
		if fate, ok := s.prepare(); !ok {
			return s.end(fate)
		}
	}
	return AppendAction{Data: s.data}
}

// prepare checks the record against the state and encodes it.
func (s *Submission) prepare() (Fate, bool) {
	f := s.replay.Folded()
	inForce := f.versionFor(s.record)
	s.record.Base = inForce
	if s.base != nil && *s.base != inForce {
		err := fmt.Errorf("%w: base %d, in force %d", ErrStale, *s.base, inForce)
		return Fate{Kind: FateRaced, Standing: inForce, Err: err}, false
	}
	if s.check != nil {
		if err := s.check(f); err != nil {
			return Fate{Kind: FateInvalid, Err: err}, false
		}
	}
	if err := s.record.Validate(); err != nil {
		return Fate{Kind: FateInvalid, Err: err}, false
	}
	if _, err := f.Apply(f.Offset+1, s.record); err != nil {
		return Fate{Kind: FateInvalid, Err: err}, false
	}
	data, err := s.record.Encode()
	if err == nil && len(data) > maxSubmitBytes {
		err = fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrTooLarge, len(data), maxSubmitBytes)
	}
	if err != nil {
		return Fate{Kind: FateInvalid, Err: err}, false
	}
	s.data = data
	return Fate{}, true
}

// fateOf judges the first record with the id that the replay met.
func (s *Submission) fateOf(e Event) Fate {
	switch {
	case e.Err == nil:
		return Fate{Kind: FateAccepted, Version: e.Offset}
	case errors.Is(e.Err, ErrStale):
		return Fate{Kind: FateRaced, Standing: s.replay.Folded().versionFor(s.record), Err: e.Err}
	}
	return Fate{Kind: FateInvalid, Err: e.Err}
}

// fateIn looks for the record in the state of a snapshot, whose list of ids
// holds only records that were accepted.
func (s *Submission) fateIn(f Folded) (Fate, bool) {
	if slices.Contains(f.Seen, s.record.ID) {
		version := s.at
		if s.record.Kind == KindPolicy && f.Document == s.record.Document {
			version = f.PolicyVersion
		}
		return Fate{Kind: FateAccepted, Version: version}, true
	}
	if s.at > 0 && f.Offset >= s.at {
		err := fmt.Errorf("%w: the record at %d expired before it was read", ErrNoState, s.at)
		return Fate{Kind: FateUnknown, Err: err}, true
	}
	return Fate{}, false
}

// versionFor returns the version in force that a record replaces.
func (f Folded) versionFor(r Record) uint64 {
	switch r.Kind {
	case KindPolicy:
		return f.PolicyVersion
	case KindTerm:
		return f.Terms[r.FailureDomain].Number
	case KindDomain, KindReleased:
		return f.Delegation.Number
	}
	return 0
}
