package coordinate

import (
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// Message is what the coordinator takes.
type Message interface {
	isCoordinateMessage()
	MetricName() string
}

type (
	// Tick lets the coordinator look at its timers.
	Tick struct{}
	// LogChanged hands over the folded state and its policy.
	LogChanged struct {
		Folded platformlog.Folded
		Policy *policy.Policy
	}
	// LogFresh says that the log was read to its end by a read begun at Began.
	LogFresh struct{ Began core.Instant }
	// ViewChanged hands over which VMs are alive.
	ViewChanged struct{ View membership.View }
	// MapHeard is a map that another VM published.
	MapHeard struct{ Map *core.RangeMap }
	// PromiseAsked is a request for a promise.
	PromiseAsked struct {
		Ask Ask
		// Reply receives exactly one Answer; it has room for it.
		Reply chan<- Answer
	}
	// PromiseAnswered is the answer to an AskPromise that was sent at Sent.
	PromiseAnswered struct {
		From   core.VM
		Ask    Ask
		Sent   core.Instant
		Answer Answer
	}
	// Inspected is the result of an Inspect. OK is false if no response came.
	Inspected struct {
		Target core.Target
		Order  grant.Order
		OK     bool
		Reply  grant.OrderReply
	}
	// AppendDone is the result of an Append. OK is false if the outcome is unknown.
	AppendDone struct {
		ID     string
		OK     bool
		Offset uint64
	}
	// Reported is the report of a VM's fronts.
	Reported struct {
		Report grant.Report
		// Reply receives exactly one answer; it has room for it.
		Reply chan<- grant.ReportAnswer
	}
	// StatusAsked asks for the state of the coordinator.
	StatusAsked struct {
		// Reply receives exactly one Status; it has room for it.
		Reply chan<- Status
	}
)

func (Tick) isCoordinateMessage()            {}
func (LogChanged) isCoordinateMessage()      {}
func (LogFresh) isCoordinateMessage()        {}
func (ViewChanged) isCoordinateMessage()     {}
func (MapHeard) isCoordinateMessage()        {}
func (PromiseAsked) isCoordinateMessage()    {}
func (PromiseAnswered) isCoordinateMessage() {}
func (Inspected) isCoordinateMessage()       {}
func (AppendDone) isCoordinateMessage()      {}
func (Reported) isCoordinateMessage()        {}
func (StatusAsked) isCoordinateMessage()     {}

// Ask is a request for a promise to a holder.
type Ask struct {
	FailureDomain core.FailureDomain
	Term          uint64
	Rank          uint32
	Holder        core.VM
	// Offset is the log offset that the holder has read.
	Offset uint64
}

// Answer says whether a promise is given, and the term and log offset that the
// answering VM knows.
type Answer struct {
	Granted bool
	Term    uint64
	Offset  uint64
}

// Output is what the coordinator asks for.
type Output interface {
	isCoordinateOutput()
	MetricName() string
}

type (
	// Append asks for a record to be appended; its result is an AppendDone.
	Append struct{ Record platformlog.Record }
	// Publish hands out a new map: to this VM's duties and to the VMs named.
	Publish struct {
		Map *core.RangeMap
		To  []membership.Info
	}
	// AskPromise asks another VM for a promise; its result is a PromiseAnswered.
	AskPromise struct {
		To  membership.Info
		Ask Ask
	}
	// GivePromise answers a PromiseAsked.
	GivePromise struct {
		To     chan<- Answer
		Answer Answer
	}
	// Inspect asks for an inspect of a target; its result is an Inspected.
	Inspect struct {
		Target  core.Target
		Address string
		Order   grant.Order
	}
	// AnswerReport answers a Reported.
	AnswerReport struct {
		To     chan<- grant.ReportAnswer
		Answer grant.ReportAnswer
	}
	// AnswerStatus answers a StatusAsked.
	AnswerStatus struct {
		To     chan<- Status
		Status Status
	}
	// RoleChanged says that this VM became a holder or ceased to be one.
	RoleChanged struct {
		Holding bool
		Term    uint64
		Rank    uint32
	}
)

func (Append) isCoordinateOutput()       {}
func (Publish) isCoordinateOutput()      {}
func (AskPromise) isCoordinateOutput()   {}
func (GivePromise) isCoordinateOutput()  {}
func (Inspect) isCoordinateOutput()      {}
func (AnswerReport) isCoordinateOutput() {}
func (AnswerStatus) isCoordinateOutput() {}
func (RoleChanged) isCoordinateOutput()  {}
