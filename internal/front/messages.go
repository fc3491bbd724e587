package front

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/policy"
	"celeryhook.example/celeryhook/internal/witness"
)

// Message is what the front takes.
type Message interface {
	isFrontMessage()
	MetricName() string
}

type (
	// Tick lets the front look at its timers. It comes at least every TickEvery.
	Tick struct{}
	// Submit asks for a decision on a request.
	Submit struct {
		Request core.Request
		Target  core.Target
		// Wall is the wall clock at the submission; ids with a time are
		// compared with it.
		Wall time.Time
		// Reply receives exactly one Decision; it has room for it.
		Reply chan<- Decision
	}
	// Finished reports the end of a request that was dispatched.
	Finished struct {
		Ticket  Ticket
		Outcome core.Outcome
		Latency time.Duration
		// Shed is set if the target refused the request for its load.
		Shed bool
		// Cancelled is set if this side ended the request early.
		Cancelled bool
		// Incarnation is that of the target in its response, 0 without one.
		Incarnation uint64
		// Response is set for OutcomeAnswered of a non-idempotent request.
		Response *witness.Response
	}
	// GrantChanged hands over the state of a grant.
	GrantChanged struct {
		Target core.Target
		View   grant.View
	}
	// Assigned hands over the ranges that this VM's targets shall serve or
	// stop serving; targets that are missing are no longer its.
	Assigned struct {
		Targets map[core.Target]Assignment
		// Remember is how long request ids are remembered.
		Remember time.Duration
	}
	// Remembered is the result of a Remember output.
	Remembered struct {
		Target core.Target
		At     core.VM
		// Number is that of the output.
		Number uint64
		// Stored is the zero value if no answer came.
		Stored witness.Stored
	}
	// Recalled is the result of a Recall output.
	Recalled struct {
		Target core.Target
		From   core.VM
		// Number and Ranges are those of the output.
		Number uint64
		Ranges []core.RangeID
		// Failed is set if no answer came.
		Failed bool
		Memory witness.Memory
	}
	// Tell asks for this front's own memory of ranges, for another front.
	Tell struct {
		Question witness.Question
		// Reply receives exactly one answer; it has room for it.
		Reply chan<- witness.Memory
	}
)

func (Tick) isFrontMessage()         {}
func (Submit) isFrontMessage()       {}
func (Finished) isFrontMessage()     {}
func (GrantChanged) isFrontMessage() {}
func (Assigned) isFrontMessage()     {}
func (Remembered) isFrontMessage()   {}
func (Recalled) isFrontMessage()     {}
func (Tell) isFrontMessage()         {}

// Assignment is what policy and map say of one target. It is never changed
// once handed over.
type Assignment struct {
	Service core.Service
	Slots   int
	Limits  policy.Limits
	Token   core.Token
	// Leaving targets get no new work.
	Leaving   bool
	Witnesses []core.VM
	// Previous are the VMs that hold the request ids of the front before.
	Previous []core.VM
	// PreviousSince is the least token of a memory that counts as complete.
	PreviousSince core.Token
	Ranges        map[core.RangeID]Range
}

// Range is what the map says of one range of a target.
type Range struct {
	Moving bool
	// MemoryAt are the VMs that hold the request ids from before a move.
	MemoryAt    []core.VM
	MemorySince core.Token
	// First is set if no front had the range before this one.
	First bool
	// Base is the numbered range that a hot key belongs to.
	Base core.RangeID
}

// Ticket identifies a dispatched request at its front.
type Ticket uint64

// Decision answers a Submit: send the request to the target, or an outcome.
type Decision struct {
	Outcome core.Outcome
	Detail  string
	// RetryAfter is a hint for OutcomeOverloaded.
	RetryAfter time.Duration
	// Dispatch is set if the request is to be sent.
	Dispatch *Dispatch
	// Response is set for OutcomeAnswered: the stored response of an earlier run.
	Response *witness.Response
}

// Dispatch says how a request is sent.
type Dispatch struct {
	Ticket  Ticket
	Target  core.Target
	Address string
	Token   core.Token
	// Until is when the request must have ended: no later than its deadline
	// and the end of the grant.
	Until core.Instant
	// Deadline is the same as a reading of the target's clock.
	Deadline grant.TargetClock
}

// Output is what the front asks for.
type Output interface {
	isFrontOutput()
	MetricName() string
}

type (
	// Answer delivers a decision.
	Answer struct {
		To       chan<- Decision
		Decision Decision
	}
	// Drained tells the grant duty that ranges have nothing in flight.
	Drained struct {
		Target core.Target
		Ranges []core.RangeID
	}
	// Remember asks for a batch to be stored at a witness. Its result is a
	// Remembered; the front sends no other batch there before.
	Remember struct {
		To     core.VM
		Number uint64
		Batch  witness.Batch
	}
	// Recall asks a VM for its memory of ranges. Its result is a Recalled.
	Recall struct {
		From     core.VM
		Number   uint64
		Question witness.Question
	}
	// Told answers a Tell.
	Told struct {
		To     chan<- witness.Memory
		Memory witness.Memory
	}
	// Report hands over the load of a target about once a second.
	Report struct{ Load core.TargetLoad }
)

func (Answer) isFrontOutput()   {}
func (Drained) isFrontOutput()  {}
func (Remember) isFrontOutput() {}
func (Recall) isFrontOutput()   {}
func (Told) isFrontOutput()     {}
func (Report) isFrontOutput()   {}
