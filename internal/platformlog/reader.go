package platformlog

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

const (
	// readWait is how long a read waits at the log's end. It is shorter than
	// the log lease, so that a quiet log still counts as fresh.
	readWait = 300 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed read.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
)

// Message is what the reader takes.
type Message interface {
	isReaderMessage()
	MetricName() string
}

type (
	// Tick lets the reader look at its timers.
	Tick struct{}
	// PageRead is the result of a read of up to Limit entries from From on that
	// was begun at Began.
	PageRead struct {
		Began core.Instant
		From  uint64
		Limit int
		Page  Page
	}
	// ReadFailed is the failure of a read.
	ReadFailed struct{ Err error }
	// PeerState is the folded state of another VM.
	PeerState struct{ Folded Folded }
)

func (Tick) isReaderMessage()       {}
func (PageRead) isReaderMessage()   {}
func (ReadFailed) isReaderMessage() {}
func (PeerState) isReaderMessage()  {}

// Output is what the reader asks for.
type Output interface {
	isReaderOutput()
	MetricName() string
}

type (
	// Read asks for a read from the log; its result comes back as a message.
	Read struct {
		From  uint64
		Limit int
		Wait  time.Duration
	}
	// Changed hands out the folded state after a change, with the policy in
	// force; the policy is nil before the first.
	Changed struct {
		Folded Folded
		Policy *policy.Policy
	}
	// Fresh says that the log was read up to its end by a read begun at Began.
	Fresh struct{ Began core.Instant }
	// Skipped reports a record, or the state of a peer, that was passed over.
	Skipped struct {
		Offset uint64
		Err    error
	}
	// Gap reports that records had expired before they were read. The state
	// stays as it is until a snapshot or a peer's state closes the gap.
	Gap struct{ Wanted, First uint64 }
	// Append asks for a snapshot to be appended.
	Append struct{ Record Record }
	// Closed reports that the state of a snapshot closed a gap.
	Closed struct{ Offset uint64 }
)

func (Read) isReaderOutput()    {}
func (Changed) isReaderOutput() {}
func (Fresh) isReaderOutput()   {}
func (Skipped) isReaderOutput() {}
func (Gap) isReaderOutput()     {}
func (Append) isReaderOutput()  {}
func (Closed) isReaderOutput()  {}

// Reader is the step of the log reader.
type Reader struct {
	replay   Replay
	policy   *policy.Policy
	version  uint64
	size     readSize
	reading  bool
	pause    time.Duration
	retryAt  core.Instant
	self     core.VM
	snapshot SnapshotClock
}

// NewReader returns a VM's reader at the start of the log.
func NewReader(self core.VM) *Reader { return &Reader{size: largest, self: self} }

// Step implements duty.Step.
func (r *Reader) Step(now core.Instant, m Message) []Output {
	var out []Output
	switch m := m.(type) {
	case Tick:
	case PageRead:
		r.reading = false
		r.pause = 0
		r.size = r.size.after(false)
		out = r.stepPage(m)
	case ReadFailed:
		r.reading = false
		r.size = r.size.after(true)
		r.pause = min(max(2*r.pause, retryMin), retryMax)
		r.retryAt = now.Add(r.pause)
	case PeerState:
		adopted, err := r.replay.Adopt(m.Folded)
		if err != nil {
			out = append(out, Skipped{Offset: m.Folded.Offset, Err: err})
		}
		if adopted {
			out = append(out, r.changed())
		}
	}
	var due *Record
	if r.snapshot, due = r.snapshot.Step(now, r.self, r.replay.Folded(), r.policy); due != nil {
		out = append(out, Append{Record: *due})
	}
	if !r.reading && !now.Before(r.retryAt) {
		r.reading = true
		out = append(out, Read{From: r.replay.From(), Limit: int(r.size), Wait: readWait})
	}
	return out
}

func (r *Reader) stepPage(m PageRead) []Output {
	var out []Output
	before := r.replay.Folded().Offset
	events, continues := r.replay.Page(m.From, m.Page)
	for _, e := range events {
		switch {
		case e.Gap:
			out = append(out, Gap{Wanted: before + 1, First: e.Offset})
		case e.Adopted:
			out = append(out, Closed{Offset: e.Offset})
		case e.Err != nil:
			out = append(out, Skipped{Offset: e.Offset, Err: e.Err})
		}
	}
	if r.replay.Folded().Offset != before {
		out = append(out, r.changed())
	}
	if continues && len(m.Page.Entries) < m.Limit {
		out = append(out, Fresh{Began: m.Began})
	}
	return out
}

// changed parses the policy only when its version differs, since terms change
// more often than the policy.
func (r *Reader) changed() Output {
	f := r.replay.Folded()
	if f.PolicyVersion != r.version {
		// The document was validated by Apply or Validate.
		r.policy, _ = policy.Parse([]byte(f.Document))
		r.version = f.PolicyVersion
	}
	return Changed{Folded: f, Policy: r.policy}
}
