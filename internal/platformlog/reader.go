package platformlog

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// readLimit is how many entries one read asks for.
	readLimit = 256
	// readWait is how long a read waits at the log's end. It is shorter than
	// the log lease, so that a quiet log still counts as fresh.
	readWait = 300 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed read.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
)

// Message is what the reader takes.
type Message interface{ isReaderMessage() }

type (
	// Tick lets the reader look at its timers.
	Tick struct{}
	// PageRead is the result of a read that was begun at Began.
	PageRead struct {
		Began core.Instant
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
type Output interface{ isReaderOutput() }

type (
	// Read asks for a read from the log; its result comes back as a message.
	Read struct {
		From  uint64
		Limit int
		Wait  time.Duration
	}
	// Changed hands out the folded state after a change.
	Changed struct{ Folded Folded }
	// Fresh says that the log was read up to its end by a read begun at Began.
	Fresh struct{ Began core.Instant }
	// Skipped reports a record that was passed over.
	Skipped struct {
		Offset uint64
		Err    error
	}
	// Gap reports that records had expired before they were read.
	Gap struct{ Wanted, First uint64 }
)

func (Read) isReaderOutput()    {}
func (Changed) isReaderOutput() {}
func (Fresh) isReaderOutput()   {}
func (Skipped) isReaderOutput() {}
func (Gap) isReaderOutput()     {}

// Reader is the step of the log reader.
type Reader struct {
	folded  Folded
	reading bool
	pause   time.Duration
	retryAt core.Instant
}

// NewReader returns a reader at the start of the log.
func NewReader() *Reader { return &Reader{} }

// Step implements duty.Step.
func (r *Reader) Step(now core.Instant, m Message) []Output {
	var out []Output
	switch m := m.(type) {
	case Tick:
	case PageRead:
		r.reading = false
		r.pause = 0
		out = r.stepPage(m)
	case ReadFailed:
		r.reading = false
		r.pause = min(max(2*r.pause, retryMin), retryMax)
		r.retryAt = now.Add(r.pause)
	case PeerState:
		if m.Folded.Offset > r.folded.Offset {
			r.folded = m.Folded
			out = append(out, Changed{r.folded})
		}
	}
	if !r.reading && !now.Before(r.retryAt) {
		r.reading = true
		out = append(out, Read{From: r.folded.Offset + 1, Limit: readLimit, Wait: readWait})
	}
	return out
}

func (r *Reader) stepPage(m PageRead) []Output {
	var out []Output
	before := r.folded
	wanted := before.Offset + 1
	if m.Page.First > wanted {
		out = append(out, Gap{Wanted: wanted, First: m.Page.First})
	}
	for _, e := range m.Page.Entries {
		if e.Offset <= r.folded.Offset {
			continue
		}
		record, err := DecodeRecord(e.Data)
		if err != nil {
			r.folded = r.folded.Skip(e.Offset)
			out = append(out, Skipped{Offset: e.Offset, Err: err})
			continue
		}
		folded, err := r.folded.Apply(e.Offset, record)
		r.folded = folded
		if err != nil {
			out = append(out, Skipped{Offset: e.Offset, Err: err})
		}
	}
	if r.folded.Offset != before.Offset {
		out = append(out, Changed{r.folded})
	}
	if len(m.Page.Entries) < readLimit {
		out = append(out, Fresh{Began: m.Began})
	}
	return out
}
