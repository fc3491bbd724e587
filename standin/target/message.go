package target

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
)

// Run is the log entry for one run of a request.
type Run struct {
	Target      core.Target    `json:"target"`
	Incarnation uint64         `json:"incarnation"`
	Request     core.RequestID `json:"request"`
	Attempt     uint32         `json:"attempt"`
	Range       core.RangeID   `json:"range"`
	Token       core.Token     `json:"token"`
	Front       core.VM        `json:"front"`
	// Digest is the digest of the request, as returned by the function Digest.
	Digest string `json:"digest"`
	// Began, Ended and Deadline are readings of the target's clock.
	Began    grant.TargetClock `json:"began"`
	Ended    grant.TargetClock `json:"ended,omitempty"`
	Deadline grant.TargetClock `json:"deadline"`
	// BeganAt, EndedAt and DeadlineAt are the same times in Unix nanoseconds,
	// which can be compared between targets on one VM.
	BeganAt    int64 `json:"began_at"`
	EndedAt    int64 `json:"ended_at,omitempty"`
	DeadlineAt int64 `json:"deadline_at"`
	// Cancelled is set if the run had not ended at its deadline.
	Cancelled bool `json:"cancelled,omitempty"`
	// Unchecked is set if the target checks neither grants nor deadlines.
	Unchecked bool `json:"unchecked,omitempty"`
	// Draining is set if the target reported that it was draining when the run
	// began.
	Draining bool `json:"draining,omitempty"`
}

// Message is an input of the state machine.
type Message interface{ isTargetMessage() }

type (
	// Tick makes the state machine process expired timers.
	Tick struct{}
	// Order is an order of a front for the grant.
	Order struct {
		Order grant.Order
		Reply chan<- grant.OrderReply
	}
	// Begin requests permission to run a request.
	Begin struct {
		Run      Run
		Deadline grant.TargetClock
		Reply    chan<- BeginReply
	}
	// End notifies the state machine that a run has ended.
	End struct {
		Number int
		// Reply receives the run as logged; it must be buffered.
		Reply chan<- Run
	}
	// ListRuns requests the log of runs.
	ListRuns struct{ Reply chan<- []Run }
	// SetFaults changes faults, and returns those in force. Changes may be empty.
	SetFaults struct {
		Changes map[string]string
		Reply   chan<- SetFaultsReply
	}
	// StartCold begins a cold start without a new incarnation.
	StartCold struct{}
	// Report requests the status for the health and load endpoints.
	Report struct{ Reply chan<- Status }
	// Inspect requests the actual status, without ReportLag and Mislead.
	Inspect struct{ Reply chan<- Status }
)

func (Tick) isTargetMessage()      {}
func (Order) isTargetMessage()     {}
func (Begin) isTargetMessage()     {}
func (End) isTargetMessage()       {}
func (ListRuns) isTargetMessage()  {}
func (SetFaults) isTargetMessage() {}
func (StartCold) isTargetMessage() {}
func (Report) isTargetMessage()    {}
func (Inspect) isTargetMessage()   {}

// BeginReply is the result of a Begin.
type BeginReply struct {
	// RejectReason is empty if the request may run; Status is then 0.
	RejectReason string
	Status       int
	// Number identifies the run in its End.
	Number      int
	Clock       grant.TargetClock
	Incarnation uint64
	// Run is the run as logged.
	Run Run
	// Service is the duration of the run, Remaining the time to its deadline.
	Service, Remaining time.Duration
	Response           ResponseFault
	// Delay passes between the end of the run and the response.
	Delay time.Duration
	// HeaderRun is the run whose headers are sent with a ResponseCrossed.
	HeaderRun Run
}

// SetFaultsReply is the result of a SetFaults.
type SetFaultsReply struct {
	Faults Faults
	Err    error
}

// Status is the status of a target.
type Status struct {
	Incarnation uint64 `json:"incarnation"`
	Slots       int    `json:"slots"`
	InFlight    int    `json:"in_flight"`
	Cold        bool   `json:"cold"`
	Draining    bool   `json:"draining"`
	// Overloads counts the requests that a cold target received above ColdSlots.
	Overloads int `json:"overloads"`
}

// Output is a reply to be delivered.
type Output interface{ isTargetOutput() }

type (
	// SendOrderReply is the reply to an Order.
	SendOrderReply struct {
		To    chan<- grant.OrderReply
		Reply grant.OrderReply
	}
	// DropOrderReply ends an Order without a reply.
	DropOrderReply struct{ To chan<- grant.OrderReply }
	// SendBeginReply is the reply to a Begin.
	SendBeginReply struct {
		To    chan<- BeginReply
		Reply BeginReply
	}
	// SendEndReply is the reply to an End.
	SendEndReply struct {
		To  chan<- Run
		Run Run
	}
	// SendRuns is the reply to a ListRuns.
	SendRuns struct {
		To   chan<- []Run
		Runs []Run
	}
	// SendSetFaultsReply is the reply to a SetFaults.
	SendSetFaultsReply struct {
		To    chan<- SetFaultsReply
		Reply SetFaultsReply
	}
	// SendStatus is the reply to a Report or an Inspect.
	SendStatus struct {
		To     chan<- Status
		Status Status
	}
)

func (SendOrderReply) isTargetOutput()     {}
func (DropOrderReply) isTargetOutput()     {}
func (SendBeginReply) isTargetOutput()     {}
func (SendEndReply) isTargetOutput()       {}
func (SendRuns) isTargetOutput()           {}
func (SendSetFaultsReply) isTargetOutput() {}
func (SendStatus) isTargetOutput()         {}
