package platformlog

import (
	"encoding/json"
	"errors"
	"fmt"

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
	if r.ID == "" {
		return Record{}, fmt.Errorf("%w: it has no id", ErrRecord)
	}
	switch r.Kind {
	case KindPolicy, KindTerm, KindDomain, KindReleased, KindSnapshot:
		return r, nil
	}
	return Record{}, fmt.Errorf("%w: unknown kind %q", ErrRecord, r.Kind)
}
