package front

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/policy"
	"celeryhook.example/celeryhook/internal/witness"
)

// Message is an input of the front.
type Message interface {
	isFrontMessage()
	MetricName() string
}

type (
	// Tick makes the front check its timers. It is sent at least every
	// TickInterval.
	Tick struct{}
	// Submit requests a decision on a caller's request.
	Submit struct {
		Request core.Request
		Target  core.Target
		// Wall is the wall clock at the submission, with which the time in a
		// UUIDv7 request id is compared.
		Wall time.Time
		// Reply receives exactly one Decision and must be buffered.
		Reply chan<- Decision
	}
	// Finished reports the outcome of a dispatched request.
	Finished struct {
		DispatchID DispatchID
		Outcome    core.Outcome
		Latency    time.Duration
		// Shed is set if the target rejected the request because of overload.
		Shed bool
		// Cancelled is set if the gateway ended the request early.
		Cancelled bool
		// Incarnation is that of the target in its response, 0 without a
		// response.
		Incarnation uint64
		// Response is set if Outcome is OutcomeAnswered and the request is
		// non-idempotent.
		Response *witness.Response
	}
	// GrantChanged updates the state of a target's grant.
	GrantChanged struct {
		Target core.Target
		View   grant.View
	}
	// Assigned replaces the assignments of all targets of this VM. Targets that
	// it doesn't contain are no longer assigned here.
	Assigned struct {
		Targets map[core.Target]Assignment
		// Retention is how long request records are kept.
		Retention time.Duration
	}
	// RememberDone is the result of a SendRememberRequest.
	RememberDone struct {
		Target core.Target
		From   core.VM
		// Number is that of the output.
		Number uint64
		// Reply is the zero value if the witness did not reply.
		Reply witness.RememberReply
	}
	// RecallDone is the result of a SendRecallRequest.
	RecallDone struct {
		Target core.Target
		From   core.VM
		// Number and Ranges are those of the output.
		Number uint64
		Ranges []core.RangeID
		// Failed is set if the VM did not reply.
		Failed bool
		Reply  witness.RecallReply
	}
	// RecallRequested requests this front's own records of ranges on behalf of
	// another front.
	RecallRequested struct {
		Request witness.RecallRequest
		// Reply receives exactly one reply and must be buffered.
		Reply chan<- witness.RecallReply
	}
)

func (Tick) isFrontMessage()            {}
func (Submit) isFrontMessage()          {}
func (Finished) isFrontMessage()        {}
func (GrantChanged) isFrontMessage()    {}
func (Assigned) isFrontMessage()        {}
func (RememberDone) isFrontMessage()    {}
func (RecallDone) isFrontMessage()      {}
func (RecallRequested) isFrontMessage() {}

// Assignment is the part of the policy and the range map that concerns one
// target. It must not be modified after it was sent.
type Assignment struct {
	Service core.Service
	Slots   int
	Limits  policy.Limits
	Token   core.Token
	// Leaving is set if the target must get no new requests.
	Leaving   bool
	Witnesses []core.VM
	// Previous holds the VMs with the records of the previous front.
	Previous []core.VM
	// PreviousSince is the lowest token with which a VM's records count as
	// complete.
	PreviousSince core.Token
	Ranges        map[core.RangeID]Range
}

// Range is the part of the range map that concerns one range of a target.
type Range struct {
	Moving bool
	// MemoryAt holds the VMs with the records from before a move.
	MemoryAt    []core.VM
	MemorySince core.Token
	// First is set if no front has served the range before this one.
	First bool
	// Base is the numbered range that a hot key belongs to.
	Base core.RangeID
}

// DispatchID identifies a dispatched request at its front.
type DispatchID uint64

// Decision answers a Submit with either a dispatch to the target or an outcome.
type Decision struct {
	Outcome core.Outcome
	Detail  string
	// RetryAfter is a hint for OutcomeOverloaded.
	RetryAfter time.Duration
	// Dispatch is set if the request is to be sent to the target.
	Dispatch *Dispatch
	// Response is the stored response of an earlier run. It is set for
	// OutcomeAnswered.
	Response *witness.Response
}

// Dispatch describes how a request is sent to its target.
type Dispatch struct {
	ID      DispatchID
	Target  core.Target
	Address string
	Token   core.Token
	// Until is the earlier of the request's deadline and the end of the grant.
	// The request must have ended by then.
	Until core.Instant
	// Deadline is Until as a time of the target's clock.
	Deadline grant.TargetClock
}

// Output is an effect that the front requests from its process.
type Output interface {
	isFrontOutput()
	MetricName() string
}

type (
	// SendDecision answers a Submit.
	SendDecision struct {
		To       chan<- Decision
		Decision Decision
	}
	// Drained reports to the grant duty that ranges have no requests in flight.
	Drained struct {
		Target core.Target
		Ranges []core.RangeID
	}
	// SendRememberRequest stores a batch at a witness. Its result is a
	// RememberDone, before which the front sends that witness no other batch of
	// the target.
	SendRememberRequest struct {
		To     core.VM
		Number uint64
		Batch  witness.Batch
	}
	// SendRecallRequest requests the records of ranges from a VM. Its result is
	// a RecallDone.
	SendRecallRequest struct {
		From    core.VM
		Number  uint64
		Request witness.RecallRequest
	}
	// SendRecallReply answers a RecallRequested.
	SendRecallReply struct {
		To    chan<- witness.RecallReply
		Reply witness.RecallReply
	}
	// Report reports the load of a target about once a second.
	Report struct{ Load core.TargetLoad }
)

func (SendDecision) isFrontOutput()        {}
func (Drained) isFrontOutput()             {}
func (SendRememberRequest) isFrontOutput() {}
func (SendRecallRequest) isFrontOutput()   {}
func (SendRecallReply) isFrontOutput()     {}
func (Report) isFrontOutput()              {}
