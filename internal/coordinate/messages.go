package coordinate

import (
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// Message is an input of the coordinator.
type Message interface {
	isCoordinateMessage()
	MetricName() string
}

type (
	// Tick makes the coordinator check its timers.
	Tick struct{}
	// LogChanged carries the state of the log and the policy in it.
	LogChanged struct {
		LogState platformlog.State
		Policy   *policy.Policy
	}
	// LogFresh reports that a read started at ReadStartedAt has reached the end of
	// the log.
	LogFresh struct{ ReadStartedAt core.Instant }
	// ViewChanged carries the current membership view.
	ViewChanged struct{ View membership.View }
	// MapReceived carries a map that another VM published.
	MapReceived struct{ Map *core.RangeMap }
	// PromiseRequested carries another VM's request for a promise.
	PromiseRequested struct {
		Request PromiseRequest
		// Reply receives exactly one reply and must be buffered.
		Reply chan<- PromiseReply
	}
	// PromiseDone carries the reply to a SendPromiseRequest that was sent at Sent.
	PromiseDone struct {
		From    core.VM
		Request PromiseRequest
		Sent    core.Instant
		Reply   PromiseReply
	}
	// InspectDone is the result of an Inspect. OK is false if there was no response.
	InspectDone struct {
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
	// ReportReceived carries the report that a VM sends about its targets.
	ReportReceived struct {
		Report grant.Report
		// Reply receives exactly one reply and must be buffered.
		Reply chan<- grant.ReportReply
	}
	// StatusRequested asks for the state of the coordinator.
	StatusRequested struct {
		// Reply receives exactly one Status and must be buffered.
		Reply chan<- Status
	}
)

func (Tick) isCoordinateMessage()             {}
func (LogChanged) isCoordinateMessage()       {}
func (LogFresh) isCoordinateMessage()         {}
func (ViewChanged) isCoordinateMessage()      {}
func (MapReceived) isCoordinateMessage()      {}
func (PromiseRequested) isCoordinateMessage() {}
func (PromiseDone) isCoordinateMessage()      {}
func (InspectDone) isCoordinateMessage()      {}
func (AppendDone) isCoordinateMessage()       {}
func (ReportReceived) isCoordinateMessage()   {}
func (StatusRequested) isCoordinateMessage()  {}

// PromiseRequest is a holder's request for a promise.
type PromiseRequest struct {
	FailureDomain core.FailureDomain
	Term          uint64
	Rank          uint32
	Holder        core.VM
	// Offset is the log offset up to which the holder has read.
	Offset uint64
}

// PromiseReply says whether the promise is granted, and which term and log
// offset the replying VM knows.
type PromiseReply struct {
	Granted bool
	Term    uint64
	Offset  uint64
}

// Output is an action that the coordinator requests.
type Output interface {
	isCoordinateOutput()
	MetricName() string
}

type (
	// Append appends a record to the log; its result is an AppendDone.
	Append struct{ Record platformlog.Record }
	// Publish distributes a new map to this VM's duties and to the VMs in To.
	Publish struct {
		Map *core.RangeMap
		To  []membership.Info
	}
	// SendPromiseRequest asks another VM for a promise; its result is a
	// PromiseDone.
	SendPromiseRequest struct {
		To      membership.Info
		Request PromiseRequest
	}
	// SendPromiseReply replies to a PromiseRequested.
	SendPromiseReply struct {
		To    chan<- PromiseReply
		Reply PromiseReply
	}
	// Inspect sends an inspect order to a target; its result is an InspectDone.
	Inspect struct {
		Target  core.Target
		Address string
		Order   grant.Order
	}
	// SendReportReply replies to a ReportReceived.
	SendReportReply struct {
		To    chan<- grant.ReportReply
		Reply grant.ReportReply
	}
	// SendStatus replies to a StatusRequested.
	SendStatus struct {
		To     chan<- Status
		Status Status
	}
	// RoleChanged reports that this VM became the holder, ceased to be it, or
	// continues under another term or rank.
	RoleChanged struct {
		Holding bool
		Term    uint64
		Rank    uint32
	}
)

func (Append) isCoordinateOutput()             {}
func (Publish) isCoordinateOutput()            {}
func (SendPromiseRequest) isCoordinateOutput() {}
func (SendPromiseReply) isCoordinateOutput()   {}
func (Inspect) isCoordinateOutput()            {}
func (SendReportReply) isCoordinateOutput()    {}
func (SendStatus) isCoordinateOutput()         {}
func (RoleChanged) isCoordinateOutput()        {}
