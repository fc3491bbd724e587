package platformlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
)

// Kind is the kind of a log record.
type Kind string

// Kinds of records.
const (
	KindPolicy   Kind = "policy"
	KindTerm     Kind = "term"
	KindDomain   Kind = "domain"
	KindReleased Kind = "released"
	KindSnapshot Kind = "snapshot"
)

// DomainState is the operators' decision on a failure domain.
type DomainState string

// States of a failure domain.
const (
	DomainIn   DomainState = "in"
	DomainOut  DomainState = "out"
	DomainLost DomainState = "lost"
)

// Record is one entry of the log. Base is the offset of the version that the
// record replaces or builds on; 0 if there was none.
type Record struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
	// Author is the VM or operator that wrote the record.
	Author string `json:"author"`
	Base   uint64 `json:"base"`
	// Document is the policy, for KindPolicy.
	Document string `json:"document,omitempty"`
	// FailureDomain is set for KindTerm, KindDomain and KindReleased.
	FailureDomain core.FailureDomain `json:"failure_domain,omitempty"`
	// Coordinator and Candidates are set for KindTerm.
	Coordinator core.VM     `json:"coordinator,omitempty"`
	Candidates  []core.VM   `json:"candidates,omitempty"`
	State       DomainState `json:"state,omitempty"`
	// Folded is set for KindSnapshot.
	Folded *Folded `json:"folded,omitempty"`
}

// MaxRecordBytes bounds an encoded record; a policy at today's sizes takes
// about 10 KB.
const MaxRecordBytes = 4 << 20

// ErrRecord wraps every reason for which a record can't be decoded.
var ErrRecord = errors.New("platformlog: record can't be decoded")

// Encode returns the record's form in the log.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("platformlog: encode %s record %q: %w", r.Kind, r.ID, err)
	}
	return b, nil
}

// DecodeRecord reads a record. Any error wraps ErrRecord.
func DecodeRecord(b []byte) (Record, error) {
	if len(b) > MaxRecordBytes {
		return Record{}, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrRecord, len(b), MaxRecordBytes)
	}
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if err := r.Validate(); err != nil {
		return Record{}, err
	}
	return r, nil
}

const (
	// maxIDBytes bounds ids and names: the folded state keeps 1024 ids.
	maxIDBytes = 256
	// maxCandidates is the greatest value of the policy's candidates.
	maxCandidates = 4
)

// Validate checks the fields of a record's kind. Any error wraps ErrRecord.
func (r Record) Validate() error {
	if r.ID == "" || len(r.ID) > maxIDBytes {
		return fmt.Errorf("%w: its id has %d bytes, 1 to %d are allowed", ErrRecord, len(r.ID), maxIDBytes)
	}
	if len(r.FailureDomain) > maxIDBytes || len(r.Author) > maxIDBytes {
		return fmt.Errorf("%w: a name has more than %d bytes", ErrRecord, maxIDBytes)
	}
	switch r.Kind {
	case KindPolicy:
		if r.Document == "" {
			return fmt.Errorf("%w: policy without document", ErrRecord)
		}
	case KindTerm:
		return r.validateTerm()
	case KindDomain:
		if r.FailureDomain == "" || !r.State.valid() {
			return fmt.Errorf("%w: domain record for %q with state %q", ErrRecord, r.FailureDomain, r.State)
		}
	case KindReleased:
		if r.FailureDomain == "" {
			return fmt.Errorf("%w: release without failure domain", ErrRecord)
		}
	case KindSnapshot:
		if r.Folded == nil {
			return fmt.Errorf("%w: snapshot without state", ErrRecord)
		}
	default:
		return fmt.Errorf("%w: unknown kind %q", ErrRecord, r.Kind)
	}
	return nil
}

func (r Record) validateTerm() error {
	switch {
	case r.FailureDomain == "" || r.Coordinator == "" || r.Author == "":
		return fmt.Errorf("%w: term without failure domain, coordinator or author", ErrRecord)
	case len(r.Candidates) > maxCandidates:
		return fmt.Errorf("%w: term with %d candidates, at most %d are allowed", ErrRecord, len(r.Candidates), maxCandidates)
	}
	return checkVMs(r.Coordinator, r.Candidates)
}

// checkVMs names a VM that is missing or repeated among coordinator and
// candidates: two promises of one VM would count as those of two.
func checkVMs(coordinator core.VM, candidates []core.VM) error {
	for i, vm := range candidates {
		if vm == "" || vm == coordinator || slices.Contains(candidates[:i], vm) || len(vm) > maxIDBytes {
			return fmt.Errorf("%w: candidate %q is empty, too long or repeated", ErrRecord, vm)
		}
	}
	return nil
}

func (s DomainState) valid() bool {
	return s == DomainIn || s == DomainOut || s == DomainLost
}
