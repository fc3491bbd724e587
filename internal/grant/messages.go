package grant

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// OrderTimeout bounds how long an order may be under way.
	OrderTimeout = 250 * time.Millisecond
	// probeInterval is the pause between inspects of a silent target.
	probeInterval = 150 * time.Millisecond
	// lostAfter is how long a target may be silent before it counts as lost.
	// Two frozen probes fit into it.
	lostAfter = 600 * time.Millisecond
	// lostInterval is the pause between inspects of a lost target.
	lostInterval = 600 * time.Millisecond
	// ReportInterval is the pause between reports that say nothing new.
	ReportInterval = 200 * time.Millisecond
	// HolderLease is how long a front may act on the confirmation of a holder. A take
	// that was decided on it reaches its target at most OrderTimeout later.
	HolderLease = core.PromiseLease
)

// Message is what the keeper takes.
type Message interface {
	isGrantMessage()
	MetricName() string
}

type (
	// Tick lets the keeper look at its timers.
	Tick struct{}
	// Assigned hands over what this VM shall hold; targets that are missing
	// are no longer its.
	Assigned struct {
		// Holder published the map of this Version.
		Holder  core.VM
		Version core.Token
		Targets map[core.Target]Assignment
	}
	// OrderDone is the result of an order.
	OrderDone struct {
		Target         core.Target
		Order          Order
		Sent, Received core.Instant
		Reply          OrderReply
		// Err is set if no response came; NotSent if the order surely had no effect.
		Err     error
		NotSent bool
	}
	// Drained says that nothing of these ranges is in flight at the target any more.
	Drained struct {
		Target core.Target
		Ranges []core.RangeID
	}
	// Measured hands over the load of a target for the next report.
	Measured struct{ Load core.TargetLoad }
	// ReportDone is a holder's answer to a report that was sent at Sent.
	ReportDone struct {
		Sent   core.Instant
		Answer ReportAnswer
	}
	// AddressesChanged hands over where VMs are reached.
	AddressesChanged struct{ Addresses map[core.VM]string }
	// StatusAsked asks for the state of all grants.
	StatusAsked struct {
		// Reply receives exactly one status; it has room for it.
		Reply chan<- []GrantStatus
	}
)

func (Tick) isGrantMessage()             {}
func (Assigned) isGrantMessage()         {}
func (OrderDone) isGrantMessage()        {}
func (Drained) isGrantMessage()          {}
func (Measured) isGrantMessage()         {}
func (ReportDone) isGrantMessage()       {}
func (AddressesChanged) isGrantMessage() {}
func (StatusAsked) isGrantMessage()      {}

// Assignment is what the map says of one target of this VM.
type Assignment struct {
	Address string
	Token   core.Token
	// Incarnation of the target that the assignment is made for; 0 if the
	// holder does not know it, which permits no take.
	Incarnation uint64
	// Ranges shall be held. Moving ones are held until they are drained.
	Ranges []core.RangeID
	Moving []core.RangeID
	// Yield is set if the service's ranges are served only while a holder
	// confirms it.
	Yield bool
}

// Output is what the keeper asks for.
type Output interface {
	isGrantOutput()
	MetricName() string
}

type (
	// SendOrder asks for an order to be sent; its result is an OrderDone.
	SendOrder struct {
		Target  core.Target
		Address string
		Order   Order
	}
	// Changed hands the state of a grant to the front.
	Changed struct {
		Target core.Target
		View   View
	}
	// SendReport asks for a report to be sent; its result is a ReportDone.
	SendReport struct {
		Holder  core.VM
		Address string
		Report  Report
	}
	// AnswerStatus answers a StatusAsked.
	AnswerStatus struct {
		To     chan<- []GrantStatus
		Status []GrantStatus
	}
	// Lost says that a target is silent and when its grant has ended.
	Lost struct {
		Target core.Target
		Token  core.Token
		Ends   core.Instant
	}
	// Superseded says that a target has seen a greater token.
	Superseded struct {
		Target core.Target
		Token  core.Token
	}
)

func (SendOrder) isGrantOutput()    {}
func (Changed) isGrantOutput()      {}
func (SendReport) isGrantOutput()   {}
func (AnswerStatus) isGrantOutput() {}
func (Lost) isGrantOutput()         {}
func (Superseded) isGrantOutput()   {}

// View is a grant as its front may rely on it.
type View struct {
	Token   core.Token
	Address string
	Ranges  []core.RangeID
	// HeldUntil is the instant up to which the grant may be relied on.
	HeldUntil   core.Instant
	Clock       ClockReading
	Incarnation uint64
	// InFlight is the target's own count at the last response.
	InFlight int
	Cold     bool
	Draining bool
}
