package core

import (
	"strconv"
	"time"
)

type (
	// VM is the id of an entry VM. A replacement VM may have the id of the VM
	// that it replaces.
	VM string
	// FailureDomain is the name of a failure domain.
	FailureDomain string
	// Service is the name of a service in the policy.
	Service string
	// Target is the id of a target in the policy.
	Target string
	// RequestID identifies a caller's request across all attempts and VMs.
	RequestID string
	// Branch is the name of a branch whose policy overrides the shared rules.
	Branch string
)

// Instant is a reading of a process's monotonic clock, relative to an arbitrary
// origin. Instants of different processes are not comparable.
type Instant time.Duration

// Add returns t+d.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration t-u.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// After reports whether t is later than u.
func (t Instant) After(u Instant) bool { return t > u }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// Token is a fencing token that orders the grants and maps of a failure domain:
// by term (the offset of the term's record in the log), then by the rank of the
// VM that acts in this term, then by sequence number.
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

// IsZero reports whether t is the zero token, which is never granted.
func (t Token) IsZero() bool { return t == Token{} }

func (t Token) String() string {
	return strconv.FormatUint(t.Term, 10) + "." +
		strconv.FormatUint(uint64(t.Rank), 10) + "." +
		strconv.FormatUint(t.Seq, 10)
}
