package core

import (
	"strconv"
	"time"
)

type (
	// VM is the id of an entry VM. A VM that replaces another may have its id.
	VM string
	// FailureDomain is the name of a failure domain.
	FailureDomain string
	// Service is the name of a service in the policy.
	Service string
	// Target is the id of a target in the policy.
	Target string
	// RequestID identifies one request of a caller over all attempts and VMs.
	RequestID string
	// Branch is the name of a branch that deviates from the shared rules.
	Branch string
)

// Instant is a reading of a process's monotonic clock, counted from an
// arbitrary start. Instants of different processes can't be compared.
type Instant time.Duration

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// After reports whether t is later than u.
func (t Instant) After(u Instant) bool { return t > u }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// Token orders the grants and maps of a failure domain: first by term (the
// offset of the term's record in the log), then by the rank of the VM that
// acts in this term, then by sequence.
type Token struct {
	Term uint64 `json:"term"`
	Rank uint32 `json:"rank"`
	Seq  uint64 `json:"seq"`
}

// Compare returns -1, 0 or 1 as t is less than, equal to or greater than u.
func (t Token) Compare(u Token) int {
	switch {
	case t.Term != u.Term:
		return compare(t.Term, u.Term)
	case t.Rank != u.Rank:
		return compare(uint64(t.Rank), uint64(u.Rank))
	default:
		return compare(t.Seq, u.Seq)
	}
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Less reports whether t is less than u.
func (t Token) Less(u Token) bool { return t.Compare(u) < 0 }

// IsZero reports whether t is the zero token, which no grant has.
func (t Token) IsZero() bool { return t == Token{} }

func (t Token) String() string {
	return strconv.FormatUint(t.Term, 10) + "." +
		strconv.FormatUint(uint64(t.Rank), 10) + "." +
		strconv.FormatUint(t.Seq, 10)
}
