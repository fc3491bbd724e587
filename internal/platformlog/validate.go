package platformlog

import (
	"fmt"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

// Validate checks a state received in a snapshot or from a peer. Any error
// wraps ErrInvalidState.
func (st State) Validate() error {
	if st.PolicyVersion > st.Offset || st.SnapshotOffset > st.Offset || st.Delegation.Number > st.Offset {
		return fmt.Errorf("%w: policy, snapshot or delegation is newer than the state's offset %d", ErrInvalidState, st.Offset)
	}
	if (st.PolicyVersion == 0) != (st.Document == "") {
		return fmt.Errorf("%w: policy version %d with a document of %d bytes", ErrInvalidState, st.PolicyVersion, len(st.Document))
	}
	if st.PolicyVersion > 0 {
		if _, err := policy.Parse([]byte(st.Document)); err != nil {
			return fmt.Errorf("%w: policy version %d: %w", ErrInvalidState, st.PolicyVersion, err)
		}
	}
	if len(st.Seen) > maxSeenIDs {
		return fmt.Errorf("%w: %d seen record ids, at most %d are allowed", ErrInvalidState, len(st.Seen), maxSeenIDs)
	}
	for _, id := range st.Seen {
		if id == "" || len(id) > maxIDBytes {
			return fmt.Errorf("%w: seen record id has %d bytes", ErrInvalidState, len(id))
		}
	}
	for d, t := range st.Terms {
		if err := t.validate(d, st.Offset); err != nil {
			return err
		}
	}
	return st.Delegation.validate()
}

func (t Term) validate(d core.FailureDomain, offset uint64) error {
	switch {
	case d == "" || t.Coordinator == "":
		return fmt.Errorf("%w: term of failure domain %q with coordinator %q", ErrInvalidState, d, t.Coordinator)
	case t.Number == 0 || t.Number > offset || t.PreviousNumber >= t.Number:
		return fmt.Errorf("%w: term %d of %s, previous %d, at offset %d", ErrInvalidState, t.Number, d, t.PreviousNumber, offset)
	case len(t.Candidates) > maxCandidates || len(t.PreviousCandidates) > maxCandidates:
		return fmt.Errorf("%w: term %d of %s has more than %d candidates", ErrInvalidState, t.Number, d, maxCandidates)
	}
	if err := checkVMs(t.Coordinator, t.Candidates); err != nil {
		return fmt.Errorf("%w: term %d of %s: %w", ErrInvalidState, t.Number, d, err)
	}
	return nil
}

func (d Delegation) validate() error {
	if d.Number == 0 && len(d.States) > 0 {
		return fmt.Errorf("%w: delegation states without a delegation", ErrInvalidState)
	}
	for _, states := range []map[core.FailureDomain]DomainState{d.States, d.PreviousStates} {
		for name, s := range states {
			if name == "" || !s.valid() {
				return fmt.Errorf("%w: failure domain %q has state %q", ErrInvalidState, name, s)
			}
		}
	}
	return nil
}

// checkFollows checks that a state may replace an older one: no version in it
// may be lower. Any error wraps ErrInvalidState.
func (st State) checkFollows(before State) error {
	switch {
	case st.Offset <= before.Offset:
		return fmt.Errorf("%w: offset %d is not after %d", ErrInvalidState, st.Offset, before.Offset)
	case st.PolicyVersion < before.PolicyVersion:
		return fmt.Errorf("%w: policy version goes back to %d from %d", ErrInvalidState, st.PolicyVersion, before.PolicyVersion)
	case st.PolicyVersion == before.PolicyVersion && st.Document != before.Document:
		return fmt.Errorf("%w: policy version %d has a different document", ErrInvalidState, st.PolicyVersion)
	case st.Delegation.Number < before.Delegation.Number:
		return fmt.Errorf("%w: delegation goes back to %d from %d", ErrInvalidState, st.Delegation.Number, before.Delegation.Number)
	}
	for d, t := range before.Terms {
		if st.Terms[d].Number < t.Number {
			return fmt.Errorf("%w: term %d of %s after term %d", ErrInvalidState, st.Terms[d].Number, d, t.Number)
		}
	}
	return nil
}

// checkSnapshot validates the state in a snapshot record that was read at an
// offset of the log.
func (r Record) checkSnapshot(offset uint64) error {
	if r.Snapshot == nil {
		return fmt.Errorf("%w: snapshot record without a state", ErrInvalidRecord)
	}
	if r.Snapshot.Offset >= offset {
		return fmt.Errorf("%w: snapshot at offset %d holds the state at offset %d", ErrInvalidState, offset, r.Snapshot.Offset)
	}
	return r.Snapshot.Validate()
}
