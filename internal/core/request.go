package core

import "fmt"

// Class is the kind of a request, which determines its priority.
type Class uint8

// Classes in descending order of priority.
const (
	ClassPayment Class = iota
	ClassCancellation
	ClassBooking
	ClassLookup
	NumClasses
)

var classNames = [NumClasses]string{"payment", "cancellation", "booking", "lookup"}

func (c Class) String() string {
	if c < NumClasses {
		return classNames[c]
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// ParseClass returns the class with the given name.
func ParseClass(s string) (Class, error) {
	for i, name := range classNames {
		if name == s {
			return Class(i), nil
		}
	}
	return 0, fmt.Errorf("core: unknown request class %q", s)
}

// Request holds the properties of a caller's request that decisions depend on.
// Only the I/O layers handle its body and headers.
type Request struct {
	ID      RequestID
	Attempt uint32
	// Flow identifies the handling of a request by one entry VM, across all its
	// attempts. An entry VM makes another attempt only if the last one was
	// proven not to have run, so a later attempt of the same flow proves that
	// the earlier ones were not run. It is never 0.
	Flow    uint64
	Service Service
	Branch  Branch
	Class   Class
	// Idempotent is set if the request may be run more than once.
	Idempotent bool
	// Range is zero for an idempotent request to a service that isn't sharded by
	// key.
	Range   RangeID
	KeyHash uint64
	// Caller is the key by which requests are grouped for fair queueing.
	Caller   string
	Deadline Instant
	// Digest is a hash of method, path and body. Requests with the same id but
	// different digests are different requests.
	Digest uint64
}

// Outcome is the result of a request.
type Outcome string

const (
	// OutcomeAnswered means that the target's complete response was received.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the request is proven not to have run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeOverloaded means that a limit rejected the request; it was not run.
	OutcomeOverloaded Outcome = "overloaded"
	// OutcomeNoOwner means that the key currently has no owner; the request was
	// not run.
	OutcomeNoOwner Outcome = "no-owner"
	// OutcomeMoved means that the receiving VM isn't the front of the range; the
	// request was not run.
	OutcomeMoved Outcome = "moved"
	// OutcomeBadRequest means that the request is invalid; it was not run.
	OutcomeBadRequest Outcome = "bad-request"
)

// NotRun reports whether the outcome proves that the request was not run.
func (o Outcome) NotRun() bool {
	switch o {
	case OutcomeNotRun, OutcomeOverloaded, OutcomeNoOwner, OutcomeMoved, OutcomeBadRequest:
		return true
	}
	return false
}
