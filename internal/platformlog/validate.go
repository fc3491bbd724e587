package platformlog

import (
	"fmt"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

// Validate checks a state that comes from outside, in a snapshot or from a
// peer. Any error wraps ErrState.
func (f Folded) Validate() error {
	if f.PolicyVersion > f.Offset || f.SnapshotOffset > f.Offset || f.Delegation.Number > f.Offset {
		return fmt.Errorf("%w: it holds a version after its offset %d", ErrState, f.Offset)
	}
	if (f.PolicyVersion == 0) != (f.Document == "") {
		return fmt.Errorf("%w: policy version %d with a document of %d bytes", ErrState, f.PolicyVersion, len(f.Document))
	}
	if f.PolicyVersion > 0 {
		if _, err := policy.Parse([]byte(f.Document)); err != nil {
			return fmt.Errorf("%w: policy version %d: %w", ErrState, f.PolicyVersion, err)
		}
	}
	if len(f.Seen) > maxSeen {
		return fmt.Errorf("%w: it lists %d records as seen, at most %d are allowed", ErrState, len(f.Seen), maxSeen)
	}
	for _, id := range f.Seen {
		if id == "" || len(id) > maxIDBytes {
			return fmt.Errorf("%w: it lists a record id of %d bytes as seen", ErrState, len(id))
		}
	}
	for d, t := range f.Terms {
		if err := t.validate(d, f.Offset); err != nil {
			return err
		}
	}
	return f.Delegation.validate()
}

func (t Term) validate(d core.FailureDomain, offset uint64) error {
	switch {
	case d == "" || t.Coordinator == "":
		return fmt.Errorf("%w: term of %q with coordinator %q", ErrState, d, t.Coordinator)
	case t.Number == 0 || t.Number > offset || t.PreviousNumber >= t.Number:
		return fmt.Errorf("%w: term %d of %s, previous %d, at offset %d", ErrState, t.Number, d, t.PreviousNumber, offset)
	case len(t.Candidates) > maxCandidates || len(t.PreviousCandidates) > maxCandidates:
		return fmt.Errorf("%w: term %d of %s has more than %d candidates", ErrState, t.Number, d, maxCandidates)
	}
	if err := checkVMs(t.Coordinator, t.Candidates); err != nil {
		return fmt.Errorf("%w: term %d of %s: %w", ErrState, t.Number, d, err)
	}
	return nil
}

func (d Delegation) validate() error {
	if d.Number == 0 && len(d.States) > 0 {
		return fmt.Errorf("%w: delegation states without a delegation", ErrState)
	}
	for _, states := range []map[core.FailureDomain]DomainState{d.States, d.PreviousStates} {
		for name, s := range states {
			if name == "" || !s.valid() {
				return fmt.Errorf("%w: failure domain %q has state %q", ErrState, name, s)
			}
		}
	}
	return nil
}

// follows checks that a state lies after another one. Any error wraps
// ErrState: two states of one log can't differ in direction.
func (f Folded) follows(before Folded) error {
	switch {
	case f.Offset <= before.Offset:
		return fmt.Errorf("%w: offset %d doesn't lie after %d", ErrState, f.Offset, before.Offset)
	case f.PolicyVersion < before.PolicyVersion:
		return fmt.Errorf("%w: policy version %d after %d", ErrState, f.PolicyVersion, before.PolicyVersion)
	case f.PolicyVersion == before.PolicyVersion && f.Document != before.Document:
		return fmt.Errorf("%w: policy version %d has another document", ErrState, f.PolicyVersion)
	case f.Delegation.Number < before.Delegation.Number:
		return fmt.Errorf("%w: delegation %d after %d", ErrState, f.Delegation.Number, before.Delegation.Number)
	}
	for d, t := range before.Terms {
		if f.Terms[d].Number < t.Number {
			return fmt.Errorf("%w: term %d of %s after %d", ErrState, f.Terms[d].Number, d, t.Number)
		}
	}
	return nil
}

// checkSnapshot checks the state of a snapshot at an offset of the log.
func (r Record) checkSnapshot(offset uint64) error {
	if r.Folded == nil {
		return fmt.Errorf("%w: snapshot without state", ErrRecord)
	}
	if r.Folded.Offset >= offset {
		return fmt.Errorf("%w: snapshot at %d represents offset %d", ErrState, offset, r.Folded.Offset)
	}
	return r.Folded.Validate()
}
