package platformlog

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

const (
	// readWait is how long a read at the end of the log waits for a record. It is
	// shorter than the log lease, so that the lease is renewed also while nothing
	// is appended.
	readWait = 300 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the exponential back-off after failed
	// reads.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// Message is an input of the reader.
type Message interface {
	isReaderMessage()
	MetricName() string
}

type (
	// Tick makes the reader check its timers.
	Tick struct{}
	// PageRead is the result of a read of up to Limit entries from From on that
	// was started at StartedAt.
	PageRead struct {
		StartedAt core.Instant
		From      uint64
		Limit     int
		Page      Page
	}
	// ReadFailed reports a failed read.
	ReadFailed struct{ Err error }
	// PeerState is the state received from another VM.
	PeerState struct{ State State }
)

func (Tick) isReaderMessage()       {}
func (PageRead) isReaderMessage()   {}
func (ReadFailed) isReaderMessage() {}
func (PeerState) isReaderMessage()  {}

// Output is an action or a notification of the reader.
type Output interface {
	isReaderOutput()
	MetricName() string
}

type (
	// Read requests a read of the log, answered by PageRead or ReadFailed.
	Read struct {
		From  uint64
		Limit int
		Wait  time.Duration
	}
	// StateChanged carries the new state with the policy in force, which is nil
	// before the first policy record.
	StateChanged struct {
		State  State
		Policy *policy.Policy
	}
	// CaughtUp reports that a read started at ReadStartedAt reached the end of the
	// log.
	CaughtUp struct{ ReadStartedAt core.Instant }
	// Skipped reports a record, or the state of a peer, that was rejected.
	Skipped struct {
		Offset uint64
		Err    error
	}
	// GapFound reports that records expired before they were read. The state
	// doesn't change until a snapshot or a peer's state closes the gap.
	GapFound struct{ Wanted, First uint64 }
	// AppendSnapshot requests the append of a snapshot record.
	AppendSnapshot struct{ Record Record }
	// GapClosed reports that the state of a snapshot closed a gap.
	GapClosed struct{ Offset uint64 }
)

func (Read) isReaderOutput()           {}
func (StateChanged) isReaderOutput()   {}
func (CaughtUp) isReaderOutput()       {}
func (Skipped) isReaderOutput()        {}
func (GapFound) isReaderOutput()       {}
func (AppendSnapshot) isReaderOutput() {}
func (GapClosed) isReaderOutput()      {}

// Reader is the state machine of the duty that reads the log.
type Reader struct {
	replay     Replay
	policy     *policy.Policy
	version    uint64
	size       readSize
	reading    bool
	retryDelay time.Duration
	retryAt    core.Instant
	self       core.VM
	snapshot   SnapshotTimer
}

// NewReader returns the reader of the VM self, at the start of the log.
func NewReader(self core.VM) *Reader { return &Reader{size: maxReadSize, self: self} }

// Step implements duty.Step.
func (r *Reader) Step(now core.Instant, m Message) []Output {
	var out []Output
	switch m := m.(type) {
	case Tick:
	case PageRead:
		r.reading = false
		r.retryDelay = 0
		r.size = r.size.adjust(false)
		out = r.stepPage(m)
	case ReadFailed:
		r.reading = false
		r.size = r.size.adjust(true)
		r.retryDelay = min(max(2*r.retryDelay, minRetryDelay), maxRetryDelay)
		r.retryAt = now.Add(r.retryDelay)
	case PeerState:
		adopted, err := r.replay.Adopt(m.State)
		if err != nil {
			out = append(out, Skipped{Offset: m.State.Offset, Err: err})
		}
		if adopted {
			out = append(out, r.changed())
		}
	}
	var due *Record
	if r.snapshot, due = r.snapshot.Step(now, r.self, r.replay.State(), r.policy); due != nil {
		out = append(out, AppendSnapshot{Record: *due})
	}
	if !r.reading && !now.Before(r.retryAt) {
		r.reading = true
		out = append(out, Read{From: r.replay.NextOffset(), Limit: int(r.size), Wait: readWait})
	}
	return out
}

func (r *Reader) stepPage(m PageRead) []Output {
	var out []Output
	before := r.replay.State().Offset
	events, continues := r.replay.ApplyPage(m.From, m.Page)
	for _, e := range events {
		switch {
		case e.Gap:
			out = append(out, GapFound{Wanted: before + 1, First: e.Offset})
		case e.Adopted:
			out = append(out, GapClosed{Offset: e.Offset})
		case e.Err != nil:
			out = append(out, Skipped{Offset: e.Offset, Err: e.Err})
		}
	}
	if r.replay.State().Offset != before {
		out = append(out, r.changed())
	}
	if continues && len(m.Page.Entries) < m.Limit {
		out = append(out, CaughtUp{ReadStartedAt: m.StartedAt})
	}
	return out
}

// changed parses the policy only if its version differs, since terms change more
// often than the policy.
func (r *Reader) changed() Output {
	st := r.replay.State()
	if st.PolicyVersion != r.version {
		// The document was validated by Apply or Validate.
		r.policy, _ = policy.Parse([]byte(st.Document))
		r.version = st.PolicyVersion
	}
	return StateChanged{State: st, Policy: r.policy}
}
