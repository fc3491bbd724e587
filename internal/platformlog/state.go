package platformlog

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

// Term is the term in force of a failure domain.
type Term struct {
	Number      uint64    `json:"number"`
	Coordinator core.VM   `json:"coordinator"`
	Candidates  []core.VM `json:"candidates"`
	// PreviousCoordinator and PreviousCandidates are those of the term that this
	// one replaced.
	PreviousCoordinator core.VM   `json:"previous_coordinator,omitempty"`
	PreviousCandidates  []core.VM `json:"previous_candidates,omitempty"`
	PreviousNumber      uint64    `json:"previous_number,omitempty"`
}

// Delegation holds the states of the failure domains: in, out or lost.
type Delegation struct {
	Number uint64                             `json:"number"`
	States map[core.FailureDomain]DomainState `json:"states"`
	// Released lists the failure domains that have released the ranges that
	// this delegation takes from them.
	Released map[core.FailureDomain]bool `json:"released"`
	// PreviousStates are the states of the delegation that this one replaced.
	PreviousStates map[core.FailureDomain]DomainState `json:"previous_states,omitempty"`
}

// State is the result of the log's records up to Offset. It is immutable: Apply
// copies what it changes.
type State struct {
	// Offset is the offset of the last applied or skipped record, 0 before the
	// first.
	Offset        uint64                      `json:"offset"`
	PolicyVersion uint64                      `json:"policy_version"`
	Document      string                      `json:"document"`
	Terms         map[core.FailureDomain]Term `json:"terms"`
	Delegation    Delegation                  `json:"delegation"`
	// Seen are the ids of the latest accepted records, to detect duplicates.
	Seen []string `json:"seen"`
	// SnapshotOffset is the offset of the latest snapshot record.
	SnapshotOffset uint64 `json:"snapshot_offset"`
}

// maxSeenIDs limits how many record ids are kept. A duplicate follows its
// original within seconds; at 34,000 records a day, 1024 ids cover more than
// 40 minutes.
const maxSeenIDs = 1024

// Reasons why a record is skipped.
var (
	ErrDuplicate        = errors.New("platformlog: duplicate record")
	ErrStale            = errors.New("platformlog: record is based on a version that is not in force")
	ErrAuthorNotAllowed = errors.New("platformlog: author may not write this record")
	ErrInvalidPolicy    = errors.New("platformlog: policy document rejected")
	ErrOutOfOrder       = errors.New("platformlog: record is not newer than the state")
	ErrInvalidState     = errors.New("platformlog: invalid state")
)

// Apply returns the state after a record. On an error the record is skipped:
// only the offset of the state changes, and not even that for ErrOutOfOrder.
func (st State) Apply(offset uint64, r Record) (State, error) {
	if offset <= st.Offset {
		return st, fmt.Errorf("%w: offset %d, state at offset %d", ErrOutOfOrder, offset, st.Offset)
	}
	next := st
	next.Offset = offset
	if slices.Contains(st.Seen, r.ID) {
		return next, fmt.Errorf("%w: id %q", ErrDuplicate, r.ID)
	}
	applied, err := next.apply(offset, r)
	if err != nil {
		return next, err
	}
	applied.Seen = appendSeen(st.Seen, r.ID)
	return applied, nil
}

// Skip returns the state after a record that could not be decoded.
func (st State) Skip(offset uint64) State {
	st.Offset = max(st.Offset, offset)
	return st
}

func appendSeen(seen []string, id string) []string {
	if len(seen) >= maxSeenIDs {
		seen = seen[len(seen)-maxSeenIDs+1:]
	}
	return append(slices.Clone(seen), id)
}

func (st State) apply(offset uint64, r Record) (State, error) {
	switch r.Kind {
	case KindPolicy:
		return st.applyPolicy(offset, r)
	case KindTerm:
		return st.applyTerm(offset, r)
	case KindDomain:
		return st.applyDomain(offset, r)
	case KindReleased:
		return st.applyReleased(r)
	case KindSnapshot:
		return st.applySnapshot(offset, r)
	}
	return st, fmt.Errorf("%w: unknown kind %q", ErrInvalidRecord, r.Kind)
}

func (st State) applyPolicy(offset uint64, r Record) (State, error) {
	if r.Base != st.PolicyVersion {
		return st, fmt.Errorf("%w: base is policy version %d, version %d is in force", ErrStale, r.Base, st.PolicyVersion)
	}
	next, err := policy.Parse([]byte(r.Document))
	if err != nil {
		return st, fmt.Errorf("%w: %w", ErrInvalidPolicy, err)
	}
	old, err := policy.Parse([]byte(st.Document))
	if st.PolicyVersion == 0 || err != nil {
		st.PolicyVersion, st.Document = offset, r.Document
		return st, nil
	}
	if err := policy.CheckChange(old, next); err != nil {
		return st, fmt.Errorf("%w: %w", ErrInvalidPolicy, err)
	}
	if !policy.SameHomes(old, next) {
		// Some ranges move to another failure domain. As after a change of a
		// domain's state, the old domain must release them first.
		st.Delegation = Delegation{
			Number:         offset,
			States:         st.Delegation.States,
			Released:       map[core.FailureDomain]bool{},
			PreviousStates: st.Delegation.States,
		}
	}
	st.PolicyVersion = offset
	st.Document = r.Document
	return st, nil
}

func (st State) applyTerm(offset uint64, r Record) (State, error) {
	current, exists := st.Terms[r.FailureDomain]
	if r.Base != current.Number {
		return st, fmt.Errorf("%w: base is term %d of %s, term %d is in force", ErrStale, r.Base, r.FailureDomain, current.Number)
	}
	author := core.VM(r.Author)
	if exists && author != current.Coordinator && !slices.Contains(current.Candidates, author) {
		return st, fmt.Errorf("%w: %s is neither coordinator nor candidate in term %d of %s", ErrAuthorNotAllowed, author, current.Number, r.FailureDomain)
	}
	st.Terms = maps.Clone(st.Terms)
	if st.Terms == nil {
		st.Terms = make(map[core.FailureDomain]Term)
	}
	st.Terms[r.FailureDomain] = Term{
		Number:              offset,
		Coordinator:         r.Coordinator,
		Candidates:          slices.Clone(r.Candidates),
		PreviousCoordinator: current.Coordinator,
		PreviousCandidates:  current.Candidates,
		PreviousNumber:      current.Number,
	}
	return st, nil
}

func (st State) applyDomain(offset uint64, r Record) (State, error) {
	if r.Base != st.Delegation.Number {
		return st, fmt.Errorf("%w: base is delegation %d, delegation %d is in force", ErrStale, r.Base, st.Delegation.Number)
	}
	states := maps.Clone(st.Delegation.States)
	if states == nil {
		states = make(map[core.FailureDomain]DomainState)
	}
	states[r.FailureDomain] = r.State
	st.Delegation = Delegation{
		Number:         offset,
		States:         states,
		Released:       map[core.FailureDomain]bool{},
		PreviousStates: st.Delegation.States,
	}
	return st, nil
}

func (st State) applyReleased(r Record) (State, error) {
	if r.Base == 0 || r.Base != st.Delegation.Number {
		return st, fmt.Errorf("%w: release for delegation %d, delegation %d is in force", ErrStale, r.Base, st.Delegation.Number)
	}
	released := maps.Clone(st.Delegation.Released)
	if released == nil {
		released = make(map[core.FailureDomain]bool)
	}
	released[r.FailureDomain] = true
	st.Delegation.Released = released
	return st, nil
}

func (st State) applySnapshot(offset uint64, r Record) (State, error) {
	if err := r.checkSnapshot(offset); err != nil {
		return st, err
	}
	// The current state is at least as recent: it results from the same records.
	// Replay adopts the snapshot's state only where records are missing.
	st.SnapshotOffset = offset
	return st, nil
}

// DomainState returns the state of a failure domain. The default, without a
// record for it, is DomainIn.
func (st State) DomainState(d core.FailureDomain) DomainState {
	if s, ok := st.Delegation.States[d]; ok {
		return s
	}
	return DomainIn
}
