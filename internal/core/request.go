package core

import "fmt"

// Class is the kind of a request; it decides its priority.
type Class uint8

// Classes from the most to the least urgent.
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

// ParseClass returns the class of that name.
func ParseClass(s string) (Class, error) {
	for i, name := range classNames {
		if name == s {
			return Class(i), nil
		}
	}
	return 0, fmt.Errorf("core: unknown request class %q", s)
}

// Request is what decisions need to know of a caller's request. Its body and
// headers stay at the edges.
type Request struct {
	ID      RequestID
	Attempt uint32
	// Flow identifies one serving of a request by an entry VM, over all its
	// attempts. An entry VM makes another attempt only if the last one was
	// proven not to have run, so a later attempt of the same flow proves that
	// the earlier ones were not run. It is never 0.
	Flow    uint64
	Service Service
	Branch  Branch
	Class   Class
	// Idempotent requests may be run more than once.
	Idempotent bool
	// Range is zero for an idempotent request of a service that isn't divided.
	Range   RangeID
	KeyHash uint64
	// Caller groups requests for fair queueing.
	Caller   string
	Deadline Instant
	// Digest is a hash of method, path and body; the same id with another
	// digest is another request.
	Digest uint64
}

// Outcome says what became of a request.
type Outcome string

const (
	// OutcomeAnswered: the target's whole answer is at hand.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun: proven not to have run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: may or may not have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeOverloaded: refused by a limit; not run.
	OutcomeOverloaded Outcome = "overloaded"
	// OutcomeNoOwner: the key has no owner at present; not run.
	OutcomeNoOwner Outcome = "no-owner"
	// OutcomeMoved: the VM asked isn't the front of the range; not run.
	OutcomeMoved Outcome = "moved"
	// OutcomeBadRequest: the request is at fault; not run.
	OutcomeBadRequest Outcome = "bad-request"
)

// NotRun reports whether the outcome proves that the request wasn't run.
func (o Outcome) NotRun() bool {
	switch o {
	case OutcomeNotRun, OutcomeOverloaded, OutcomeNoOwner, OutcomeMoved, OutcomeBadRequest:
		return true
	}
	return false
}
