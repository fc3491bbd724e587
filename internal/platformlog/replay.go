package platformlog

import "errors"

// Replay folds the pages of a log in order. If records expired before they
// were read, it keeps its state and looks for a snapshot after which all
// records are at hand: to fold a later record onto a state that misses earlier
// ones could accept what the others rejected.
type Replay struct {
	folded Folded
	// seek is the next offset to look for a snapshot at, 0 without a gap.
	seek uint64
}

// Event is what became of one record, or of a gap.
type Event struct {
	Offset uint64
	Record Record
	// Err is the reason for which the record was skipped.
	Err error
	// Gap says that records between the state and Offset have expired.
	Gap bool
	// Adopted says that the state of the snapshot was taken.
	Adopted bool
}

// Folded returns the state.
func (r *Replay) Folded() Folded { return r.folded }

// InGap reports whether records are missing after the state.
func (r *Replay) InGap() bool { return r.seek > 0 }

// From returns the offset to read from.
func (r *Replay) From() uint64 {
	if r.seek > 0 {
		return r.seek
	}
	return r.folded.Offset + 1
}

// Adopt takes the state of a peer. It does nothing if the state isn't newer;
// an error wraps ErrState.
func (r *Replay) Adopt(f Folded) (bool, error) {
	if f.Offset <= r.folded.Offset {
		return false, nil
	}
	if err := f.follows(r.folded); err != nil {
		return false, err
	}
	if err := f.Validate(); err != nil {
		return false, err
	}
	r.folded, r.seek = f, 0
	return true, nil
}

// Page folds a page that was read from an offset. The result is false if the
// page doesn't continue the state: a peer's state was taken meanwhile, or a
// snapshot was, and the read is to be repeated from From.
func (r *Replay) Page(from uint64, p Page) ([]Event, bool) {
	if from > r.From() {
		return nil, false
	}
	var out []Event
	if r.seek == 0 && p.First > r.From() {
		out = append(out, Event{Offset: p.First, Gap: true})
		r.seek = p.First
	}
	if r.seek > 0 {
		r.seek = max(r.seek, p.First)
	}
	for _, e := range p.Entries {
		if e.Offset < r.From() {
			continue
		}
		if r.seek == 0 {
			out = append(out, r.fold(e))
			continue
		}
		r.seek = e.Offset + 1
		if r.adoptSnapshot(e, p.First) {
			return append(out, Event{Offset: r.folded.Offset, Adopted: true}), false
		}
	}
	return out, r.seek == 0
}

func (r *Replay) fold(e Entry) Event {
	event := Event{Offset: e.Offset}
	event.Record, event.Err = DecodeRecord(e.Data)
	if event.Err != nil {
		r.folded = r.folded.Skip(e.Offset)
		return event
	}
	r.folded, event.Err = r.folded.Apply(e.Offset, event.Record)
	return event
}

// adoptSnapshot takes the state of a snapshot if every record after it is
// still in the log, of which first is the oldest.
func (r *Replay) adoptSnapshot(e Entry, first uint64) bool {
	record, err := DecodeRecord(e.Data)
	if err != nil || record.Kind != KindSnapshot || record.checkSnapshot(e.Offset) != nil {
		return false
	}
	f := *record.Folded
	if f.Offset+1 < first || f.follows(r.folded) != nil {
		return false
	}
	r.folded, r.seek = f, 0
	return true
}

// readSize is how many entries a read asks for. It halves after a
// failure, since a page of large records may be too long for the time that a
// read has, and doubles after a success.
type readSize int

const (
	smallest readSize = 1
	largest  readSize = 256
)

func (s readSize) after(failed bool) readSize {
	if failed {
		return max(s/2, smallest)
	}
	return min(s*2, largest)
}

// Reason names an error for which a record or state was skipped, for counters.
func Reason(err error) string {
	for _, r := range []struct {
		err  error
		name string
	}{
		{ErrTooLarge, "too_large"},
		{ErrRecord, "undecodable"},
		{ErrRepeat, "repeat"},
		{ErrStale, "stale"},
		{ErrAuthor, "author"},
		{ErrDocument, "document"},
		{ErrOrder, "order"},
		{ErrState, "state"},
	} {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return "other"
}
