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
	// PreviousCoordinator and PreviousCandidates are those of the term before.
	PreviousCoordinator core.VM   `json:"previous_coordinator,omitempty"`
	PreviousCandidates  []core.VM `json:"previous_candidates,omitempty"`
	PreviousNumber      uint64    `json:"previous_number,omitempty"`
}

// Delegation says which failure domains are in, out or lost.
type Delegation struct {
	Number uint64                             `json:"number"`
	States map[core.FailureDomain]DomainState `json:"states"`
	// Released lists the failure domains that have released what this
	// delegation takes from them.
	Released map[core.FailureDomain]bool `json:"released"`
	// PreviousStates are those of the delegation before.
	PreviousStates map[core.FailureDomain]DomainState `json:"previous_states,omitempty"`
}

// Folded is the state that the log's records up to Offset add up to. Values
// handed out are never changed.
type Folded struct {
	// Offset is the offset of the last record folded, 0 before the first.
	Offset        uint64                      `json:"offset"`
	PolicyVersion uint64                      `json:"policy_version"`
	Document      string                      `json:"document"`
	Terms         map[core.FailureDomain]Term `json:"terms"`
	Delegation    Delegation                  `json:"delegation"`
	// Seen are the ids of the latest records, to recognise repeats.
	Seen []string `json:"seen"`
	// SnapshotOffset is the offset of the latest snapshot record.
	SnapshotOffset uint64 `json:"snapshot_offset"`
}

// maxSeen bounds how many record ids are kept. A repeat follows its original
// within seconds; 34,000 records a day make 1024 last more than 40 minutes.
const maxSeen = 1024

// Reasons for which a record is skipped.
var (
	ErrRepeat   = errors.New("platformlog: record is a repeat")
	ErrStale    = errors.New("platformlog: record builds on a version that isn't in force")
	ErrAuthor   = errors.New("platformlog: record's author may not write it")
	ErrDocument = errors.New("platformlog: record's policy is refused")
	ErrOrder    = errors.New("platformlog: record is older than the state")
	ErrState    = errors.New("platformlog: folded state is invalid")
)

// Apply returns the state after a record. On an error the state differs only
// in its offset: the record is skipped.
func (f Folded) Apply(offset uint64, r Record) (Folded, error) {
	if offset <= f.Offset {
		return f, fmt.Errorf("%w: offset %d, state at %d", ErrOrder, offset, f.Offset)
	}
	next := f
	next.Offset = offset
	if slices.Contains(f.Seen, r.ID) {
		return next, fmt.Errorf("%w: id %q", ErrRepeat, r.ID)
	}
	applied, err := next.apply(offset, r)
	if err != nil {
		return next, err
	}
	applied.Seen = remember(f.Seen, r.ID)
	return applied, nil
}

// Skip returns the state after a record that can't be decoded.
func (f Folded) Skip(offset uint64) Folded {
	f.Offset = max(f.Offset, offset)
	return f
}

func remember(seen []string, id string) []string {
	if len(seen) >= maxSeen {
		seen = seen[len(seen)-maxSeen+1:]
	}
	return append(slices.Clone(seen), id)
}

func (f Folded) apply(offset uint64, r Record) (Folded, error) {
	switch r.Kind {
	case KindPolicy:
		return f.applyPolicy(offset, r)
	case KindTerm:
		return f.applyTerm(offset, r)
	case KindDomain:
		return f.applyDomain(offset, r)
	case KindReleased:
		return f.applyReleased(r)
	case KindSnapshot:
		return f.applySnapshot(offset, r)
	}
	return f, fmt.Errorf("%w: unknown kind %q", ErrRecord, r.Kind)
}

func (f Folded) applyPolicy(offset uint64, r Record) (Folded, error) {
	if r.Base != f.PolicyVersion {
		return f, fmt.Errorf("%w: policy base %d, in force %d", ErrStale, r.Base, f.PolicyVersion)
	}
	next, err := policy.Parse([]byte(r.Document))
	if err != nil {
		return f, fmt.Errorf("%w: %w", ErrDocument, err)
	}
	old, err := policy.Parse([]byte(f.Document))
	if f.PolicyVersion == 0 || err != nil {
		f.PolicyVersion, f.Document = offset, r.Document
		return f, nil
	}
	if err := policy.CheckChange(old, next); err != nil {
		return f, fmt.Errorf("%w: %w", ErrDocument, err)
	}
	if !policy.SameHomes(old, next) {
		// Ranges change their failure domain, which needs releases as after a
		// change of the domains' states.
		f.Delegation = Delegation{
			Number:         offset,
			States:         f.Delegation.States,
			Released:       map[core.FailureDomain]bool{},
			PreviousStates: f.Delegation.States,
		}
	}
	f.PolicyVersion = offset
	f.Document = r.Document
	return f, nil
}

func (f Folded) applyTerm(offset uint64, r Record) (Folded, error) {
	current, exists := f.Terms[r.FailureDomain]
	if r.Base != current.Number {
		return f, fmt.Errorf("%w: term base %d of %s, in force %d", ErrStale, r.Base, r.FailureDomain, current.Number)
	}
	author := core.VM(r.Author)
	if exists && author != current.Coordinator && !slices.Contains(current.Candidates, author) {
		return f, fmt.Errorf("%w: %s is neither coordinator nor candidate of term %d of %s", ErrAuthor, author, current.Number, r.FailureDomain)
	}
	f.Terms = maps.Clone(f.Terms)
	if f.Terms == nil {
		f.Terms = make(map[core.FailureDomain]Term)
	}
	f.Terms[r.FailureDomain] = Term{
		Number:              offset,
		Coordinator:         r.Coordinator,
		Candidates:          slices.Clone(r.Candidates),
		PreviousCoordinator: current.Coordinator,
		PreviousCandidates:  current.Candidates,
		PreviousNumber:      current.Number,
	}
	return f, nil
}

func (f Folded) applyDomain(offset uint64, r Record) (Folded, error) {
	if r.Base != f.Delegation.Number {
		return f, fmt.Errorf("%w: delegation base %d, in force %d", ErrStale, r.Base, f.Delegation.Number)
	}
	states := maps.Clone(f.Delegation.States)
	if states == nil {
		states = make(map[core.FailureDomain]DomainState)
	}
	states[r.FailureDomain] = r.State
	f.Delegation = Delegation{
		Number:         offset,
		States:         states,
		Released:       map[core.FailureDomain]bool{},
		PreviousStates: f.Delegation.States,
	}
	return f, nil
}

func (f Folded) applyReleased(r Record) (Folded, error) {
	if r.Base == 0 || r.Base != f.Delegation.Number {
		return f, fmt.Errorf("%w: release for delegation %d, in force %d", ErrStale, r.Base, f.Delegation.Number)
	}
	released := maps.Clone(f.Delegation.Released)
	if released == nil {
		released = make(map[core.FailureDomain]bool)
	}
	released[r.FailureDomain] = true
	f.Delegation.Released = released
	return f, nil
}

func (f Folded) applySnapshot(offset uint64, r Record) (Folded, error) {
	if err := r.checkSnapshot(offset); err != nil {
		return f, err
	}
	// This state knows at least as much: it was folded from the same records.
	// Replay takes the state of a snapshot where records are missing.
	f.SnapshotOffset = offset
	return f, nil
}

// DomainState returns the state of a failure domain; one that no record names
// is in.
func (f Folded) DomainState(d core.FailureDomain) DomainState {
	if s, ok := f.Delegation.States[d]; ok {
		return s
	}
	return DomainIn
}
