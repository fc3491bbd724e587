package target

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
)

// Run is one run of a request, as the target logs it.
type Run struct {
	Target      core.Target    `json:"target"`
	Incarnation uint64         `json:"incarnation"`
	Request     core.RequestID `json:"request"`
	Attempt     uint32         `json:"attempt"`
	Range       core.RangeID   `json:"range"`
	Token       core.Token     `json:"token"`
	Front       core.VM        `json:"front"`
	// Digest is that of the request; see Digest.
	Digest string `json:"digest"`
	// Began, Ended and Deadline are readings of the target's clock.
	Began    grant.TargetClock `json:"began"`
	Ended    grant.TargetClock `json:"ended,omitempty"`
	Deadline grant.TargetClock `json:"deadline"`
	// BeganAt, EndedAt and DeadlineAt are the same in Unix nanoseconds, which
	// targets on one machine share.
	BeganAt    int64 `json:"began_at"`
	EndedAt    int64 `json:"ended_at,omitempty"`
	DeadlineAt int64 `json:"deadline_at"`
	// Cancelled is set if the run still ran at its deadline.
	Cancelled bool `json:"cancelled,omitempty"`
	// Unchecked is set if the target checks neither grants nor deadlines.
	Unchecked bool `json:"unchecked,omitempty"`
	// Draining is set if the target had reported before the run that it is leaving.
	Draining bool `json:"draining,omitempty"`
}

// Message is what the target takes.
type Message interface{ isTargetMessage() }

type (
	// Tick lets the target look at its timers.
	Tick struct{}
	// Order is an order from a front.
	Order struct {
		Order grant.Order
		Reply chan<- grant.OrderReply
	}
	// Begin asks whether a request may run.
	Begin struct {
		Run      Run
		Deadline grant.TargetClock
		Reply    chan<- Begun
	}
	// End says that a run has ended.
	End struct {
		Number int
		// Reply receives the run as logged; it has room for it.
		Reply chan<- Run
	}
	// ListRuns asks for the log of runs.
	ListRuns struct{ Reply chan<- []Run }
	// SetFaults changes faults; without changes it reads them.
	SetFaults struct {
		Changes map[string]string
		Reply   chan<- FaultsSet
	}
	// TurnCold makes the target cold again without a new incarnation.
	TurnCold struct{}
	// Report asks for what the health and load endpoints say.
	Report struct{ Reply chan<- Status }
	// Inspect asks for the target's true state.
	Inspect struct{ Reply chan<- Status }
)

func (Tick) isTargetMessage()      {}
func (Order) isTargetMessage()     {}
func (Begin) isTargetMessage()     {}
func (End) isTargetMessage()       {}
func (ListRuns) isTargetMessage()  {}
func (SetFaults) isTargetMessage() {}
func (TurnCold) isTargetMessage()  {}
func (Report) isTargetMessage()    {}
func (Inspect) isTargetMessage()   {}

// Begun answers a Begin.
type Begun struct {
	// Refused is the reason for which the request isn't run.
	Refused string
	Status  int
	// Number identifies the run for its End.
	Number      int
	Clock       grant.TargetClock
	Incarnation uint64
	// Run is the run as logged.
	Run Run
	// Service is how long the run takes, Left how long until its deadline.
	Service, Left time.Duration
	Response      Response
	// Delay passes between the end of the run and the response.
	Delay time.Duration
	// Other is the run whose headers a crossed response has.
	Other Run
}

// FaultsSet answers a SetFaults.
type FaultsSet struct {
	Faults Faults
	Err    error
}

// Status is a target's state.
type Status struct {
	Incarnation uint64 `json:"incarnation"`
	Slots       int    `json:"slots"`
	InFlight    int    `json:"in_flight"`
	Cold        bool   `json:"cold"`
	Draining    bool   `json:"draining"`
	// Overloads counts the requests that came to a cold target above what it bears.
	Overloads int `json:"overloads"`
}

// Output is an answer to be delivered.
type Output interface{ isTargetOutput() }

type (
	// OrderAnswer answers an Order.
	OrderAnswer struct {
		To    chan<- grant.OrderReply
		Reply grant.OrderReply
	}
	// OrderDropped ends an Order without an answer.
	OrderDropped struct{ To chan<- grant.OrderReply }
	// BeginAnswer answers a Begin.
	BeginAnswer struct {
		To    chan<- Begun
		Begun Begun
	}
	// EndAnswer answers an End.
	EndAnswer struct {
		To  chan<- Run
		Run Run
	}
	// RunsAnswer answers a ListRuns.
	RunsAnswer struct {
		To   chan<- []Run
		Runs []Run
	}
	// FaultsAnswer answers a SetFaults.
	FaultsAnswer struct {
		To  chan<- FaultsSet
		Set FaultsSet
	}
	// StatusAnswer answers a Report or an Inspect.
	StatusAnswer struct {
		To     chan<- Status
		Status Status
	}
)

func (OrderAnswer) isTargetOutput()  {}
func (OrderDropped) isTargetOutput() {}
func (BeginAnswer) isTargetOutput()  {}
func (EndAnswer) isTargetOutput()    {}
func (RunsAnswer) isTargetOutput()   {}
func (FaultsAnswer) isTargetOutput() {}
func (StatusAnswer) isTargetOutput() {}
