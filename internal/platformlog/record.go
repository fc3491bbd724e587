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

// DomainState is the state of a failure domain as set by the operators.
type DomainState string

// States of a failure domain.
const (
	DomainIn   DomainState = "in"
	DomainOut  DomainState = "out"
	DomainLost DomainState = "lost"
)

// Record is the content of a log entry. Base is the offset of the version that
// the record replaces or is based on; 0 if there is none.
type Record struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
	// Author is the VM or operator that wrote the record.
	Author string `json:"author"`
	Base   uint64 `json:"base"`
	// Document is the policy document, for KindPolicy.
	Document string `json:"document,omitempty"`
	// FailureDomain is set for KindTerm, KindDomain and KindReleased.
	FailureDomain core.FailureDomain `json:"failure_domain,omitempty"`
	// Coordinator and Candidates are set for KindTerm.
	Coordinator core.VM     `json:"coordinator,omitempty"`
	Candidates  []core.VM   `json:"candidates,omitempty"`
	State       DomainState `json:"state,omitempty"`
	// Snapshot is the state that a record of KindSnapshot saves.
	Snapshot *State `json:"folded,omitempty"`
}

// MaxRecordBytes limits the size of an encoded record. A policy for the current
// deployments takes about 10 KB.
const MaxRecordBytes = 4 << 20

// ErrInvalidRecord is wrapped by all errors of DecodeRecord and Record.Validate.
var ErrInvalidRecord = errors.New("platformlog: invalid record")

// Encode returns the JSON encoding of the record in the log.
func (r Record) Encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("platformlog: encode %s record %q: %w", r.Kind, r.ID, err)
	}
	return b, nil
}

// DecodeRecord decodes and validates a record. Any error wraps
// ErrInvalidRecord.
func DecodeRecord(b []byte) (Record, error) {
	if len(b) > MaxRecordBytes {
		return Record{}, fmt.Errorf("%w: %d bytes exceed the limit of %d", ErrInvalidRecord, len(b), MaxRecordBytes)
	}
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
	}
	if err := r.Validate(); err != nil {
		return Record{}, err
	}
	return r, nil
}

const (
	// maxIDBytes limits the length of ids and names. The state, and so each
	// snapshot, holds up to maxSeenIDs ids.
	maxIDBytes = 256
	// maxCandidates is the maximum of the policy's [control] candidates.
	maxCandidates = 4
)

// Validate checks the fields that a record's kind requires. Any error wraps
// ErrInvalidRecord.
func (r Record) Validate() error {
	if r.ID == "" || len(r.ID) > maxIDBytes {
		return fmt.Errorf("%w: id has %d bytes, want 1 to %d", ErrInvalidRecord, len(r.ID), maxIDBytes)
	}
	if len(r.FailureDomain) > maxIDBytes || len(r.Author) > maxIDBytes {
		return fmt.Errorf("%w: failure domain or author has more than %d bytes", ErrInvalidRecord, maxIDBytes)
	}
	switch r.Kind {
	case KindPolicy:
		if r.Document == "" {
			return fmt.Errorf("%w: policy record without a document", ErrInvalidRecord)
		}
	case KindTerm:
		return r.validateTerm()
	case KindDomain:
		if r.FailureDomain == "" || !r.State.valid() {
			return fmt.Errorf("%w: domain record for failure domain %q with state %q", ErrInvalidRecord, r.FailureDomain, r.State)
		}
	case KindReleased:
		if r.FailureDomain == "" {
			return fmt.Errorf("%w: released record without a failure domain", ErrInvalidRecord)
		}
	case KindSnapshot:
		if r.Snapshot == nil {
			return fmt.Errorf("%w: snapshot record without a state", ErrInvalidRecord)
		}
	default:
		return fmt.Errorf("%w: unknown kind %q", ErrInvalidRecord, r.Kind)
	}
	return nil
}

func (r Record) validateTerm() error {
	switch {
	case r.FailureDomain == "" || r.Coordinator == "" || r.Author == "":
		return fmt.Errorf("%w: term record without a failure domain, coordinator or author", ErrInvalidRecord)
	case len(r.Candidates) > maxCandidates:
		return fmt.Errorf("%w: term record with %d candidates, at most %d are allowed", ErrInvalidRecord, len(r.Candidates), maxCandidates)
	}
	return checkVMs(r.Coordinator, r.Candidates)
}

// checkVMs rejects candidates that are empty, too long or listed twice. Two
// promises of a VM that is listed twice would count as those of two VMs.
func checkVMs(coordinator core.VM, candidates []core.VM) error {
	for i, vm := range candidates {
		if vm == "" || vm == coordinator || slices.Contains(candidates[:i], vm) || len(vm) > maxIDBytes {
			return fmt.Errorf("%w: candidate %q is empty, too long or listed twice", ErrInvalidRecord, vm)
		}
	}
	return nil
}

func (s DomainState) valid() bool {
	return s == DomainIn || s == DomainOut || s == DomainLost
}
