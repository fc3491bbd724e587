package grant

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// OrderTimeout is the time-out of an order.
	OrderTimeout = 250 * time.Millisecond
	// probeInterval is the time between OrderInspects to an unresponsive target.
	probeInterval = 150 * time.Millisecond
	// lostTimeout is how long a target may be unresponsive before it counts as
	// lost. It leaves room for two OrderInspects that time out.
	lostTimeout = 600 * time.Millisecond
	// lostProbeInterval is the time between OrderInspects to a lost target.
	lostProbeInterval = 600 * time.Millisecond
	// ReportInterval is the time between reports without changes.
	ReportInterval = 200 * time.Millisecond
	// HolderLease is how long a front may act on the confirmation of a holder. An
	// OrderTake that it permits reaches its target at most OrderTimeout later.
	HolderLease = core.PromiseLease
)

// Message is an input of the renewer.
type Message interface {
	isGrantMessage()
	MetricName() string
}

type (
	// Tick makes the renewer check its timers.
	Tick struct{}
	// Assigned lists the targets that are assigned to this VM. Targets that are
	// not listed are no longer assigned to it.
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
		// Err is set if there was no response, NotSent if the order certainly had
		// no effect.
		Err     error
		NotSent bool
	}
	// Drained says that the target has no more requests of these ranges in flight.
	Drained struct {
		Target core.Target
		Ranges []core.RangeID
	}
	// LoadMeasured contains the load of a target for the next report.
	LoadMeasured struct{ Load core.TargetLoad }
	// ReportDone is a holder's reply to a report that was sent at Sent.
	ReportDone struct {
		Sent  core.Instant
		Reply ReportReply
	}
	// AddressesChanged contains the addresses of the VMs.
	AddressesChanged struct{ Addresses map[core.VM]string }
	// StatusRequested requests the status of all grants.
	StatusRequested struct {
		// Reply receives exactly one status; it must be buffered.
		Reply chan<- []Status
	}
)

func (Tick) isGrantMessage()             {}
func (Assigned) isGrantMessage()         {}
func (OrderDone) isGrantMessage()        {}
func (Drained) isGrantMessage()          {}
func (LoadMeasured) isGrantMessage()     {}
func (ReportDone) isGrantMessage()       {}
func (AddressesChanged) isGrantMessage() {}
func (StatusRequested) isGrantMessage()  {}

// Assignment is the entry of one of this VM's targets in the range map.
type Assignment struct {
	Address string
	Token   core.Token
	// Incarnation is that of the target for which the assignment was made; 0 if
	// the holder does not know it, in which case the grant must not be taken.
	Incarnation uint64
	// Ranges are the ranges to hold; Moving are those to release once drained.
	Ranges []core.RangeID
	Moving []core.RangeID
	// Yield is set if the ranges may be served only while a holder confirms
	// it (isolation = yield).
	Yield bool
}

// Output is an action that the renewer requests.
type Output interface {
	isGrantOutput()
	MetricName() string
}

type (
	// SendOrder sends an order; its result is an OrderDone.
	SendOrder struct {
		Target  core.Target
		Address string
		Order   Order
	}
	// Changed passes the state of a grant to the front.
	Changed struct {
		Target core.Target
		View   View
	}
	// SendReport sends a report; its result is a ReportDone.
	SendReport struct {
		Holder  core.VM
		Address string
		Report  Report
	}
	// SendStatus replies to a StatusRequested.
	SendStatus struct {
		To     chan<- []Status
		Status []Status
	}
	// TargetLost says that a target does not respond, and when its grant has
	// expired on every clock.
	TargetLost struct {
		Target   core.Target
		Token    core.Token
		GrantEnd core.Instant
	}
	// Superseded says that a target has seen a greater token.
	Superseded struct {
		Target core.Target
		Token  core.Token
	}
)

func (SendOrder) isGrantOutput()  {}
func (Changed) isGrantOutput()    {}
func (SendReport) isGrantOutput() {}
func (SendStatus) isGrantOutput() {}
func (TargetLost) isGrantOutput() {}
func (Superseded) isGrantOutput() {}

// View is the state of a grant that its front may rely on.
type View struct {
	Token   core.Token
	Address string
	Ranges  []core.RangeID
	// HeldUntil is until when the front may rely on the grant.
	HeldUntil   core.Instant
	Clock       ClockReading
	Incarnation uint64
	// InFlight is the number of requests in flight, as counted by the target at
	// its last response.
	InFlight int
	Cold     bool
	Draining bool
}
