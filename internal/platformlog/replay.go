package platformlog

import "errors"

// Replay applies the pages of a log in order. If records expired before they
// were read, it keeps its state and looks for a snapshot after which the log is
// complete: a later record applied to a state that lacks earlier ones could be
// accepted here although other VMs reject it.
type Replay struct {
	state State
	// seekOffset is the offset at which the search for a snapshot continues; 0
	// without a gap.
	seekOffset uint64
}

// Event is the result of one record, or reports a gap or its end.
type Event struct {
	Offset uint64
	Record Record
	// Err is the reason why the record was skipped.
	Err error
	// Gap is set if records between the state and Offset have expired.
	Gap bool
	// Adopted is set if the state of a snapshot was adopted.
	Adopted bool
}

// State returns the state after the records applied so far.
func (r *Replay) State() State { return r.state }

// InGap reports whether records are missing after the state.
func (r *Replay) InGap() bool { return r.seekOffset > 0 }

// NextOffset returns the offset from which to read.
func (r *Replay) NextOffset() uint64 {
	if r.seekOffset > 0 {
		return r.seekOffset
	}
	return r.state.Offset + 1
}

// Adopt replaces the state by that of a peer if the peer's is newer, and reports
// whether it did. Any error wraps ErrInvalidState.
func (r *Replay) Adopt(st State) (bool, error) {
	if st.Offset <= r.state.Offset {
		return false, nil
	}
	if err := st.checkFollows(r.state); err != nil {
		return false, err
	}
	if err := st.Validate(); err != nil {
		return false, err
	}
	r.state, r.seekOffset = st, 0
	return true, nil
}

// ApplyPage applies a page that was read from an offset. The second result is
// false if the read must be repeated from NextOffset: the state of a peer or
// snapshot was adopted, so that the page doesn't continue the state, or a gap is
// still open.
func (r *Replay) ApplyPage(from uint64, p Page) ([]Event, bool) {
	if from > r.NextOffset() {
		return nil, false
	}
	var out []Event
	if r.seekOffset == 0 && p.First > r.NextOffset() {
		out = append(out, Event{Offset: p.First, Gap: true})
		r.seekOffset = p.First
	}
	if r.seekOffset > 0 {
		r.seekOffset = max(r.seekOffset, p.First)
	}
	for _, e := range p.Entries {
		if e.Offset < r.NextOffset() {
			continue
		}
		if r.seekOffset == 0 {
			out = append(out, r.apply(e))
			continue
		}
		r.seekOffset = e.Offset + 1
		if r.adoptSnapshot(e, p.First) {
			return append(out, Event{Offset: r.state.Offset, Adopted: true}), false
		}
	}
	return out, r.seekOffset == 0
}

func (r *Replay) apply(e Entry) Event {
	event := Event{Offset: e.Offset}
	event.Record, event.Err = DecodeRecord(e.Data)
	if event.Err != nil {
		r.state = r.state.Skip(e.Offset)
		return event
	}
	r.state, event.Err = r.state.Apply(e.Offset, event.Record)
	return event
}

// adoptSnapshot adopts the state of a snapshot if the log still holds every
// record after it. First is the oldest offset in the log.
func (r *Replay) adoptSnapshot(e Entry, first uint64) bool {
	record, err := DecodeRecord(e.Data)
	if err != nil || record.Kind != KindSnapshot || record.checkSnapshot(e.Offset) != nil {
		return false
	}
	st := *record.Snapshot
	if st.Offset+1 < first || st.checkFollows(r.state) != nil {
		return false
	}
	r.state, r.seekOffset = st, 0
	return true
}

// readSize is the number of entries that a read requests. It halves after a
// failure, since a page of large records may exceed the time-out of a read, and
// doubles after a success.
type readSize int

const (
	minReadSize readSize = 1
	maxReadSize readSize = 256
)

func (s readSize) adjust(failed bool) readSize {
	if failed {
		return max(s/2, minReadSize)
	}
	return min(s*2, maxReadSize)
}

// Reason returns the metric label of the error with which a record or state was
// skipped.
func Reason(err error) string {
	for _, r := range []struct {
		err  error
		name string
	}{
		{ErrTooLarge, "too_large"},
		{ErrInvalidRecord, "undecodable"},
		{ErrDuplicate, "repeat"},
		{ErrStale, "stale"},
		{ErrAuthorNotAllowed, "author"},
		{ErrInvalidPolicy, "document"},
		{ErrOutOfOrder, "order"},
		{ErrInvalidState, "state"},
	} {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return "other"
}
