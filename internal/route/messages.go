package route

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// Message is what the router takes.
type Message interface {
	isRouteMessage()
	MetricName() string
}

type (
	// Tick lets the router look at its timers.
	Tick struct{}
	// Lookup asks where a request goes. The Range of the request may be zero.
	Lookup struct {
		Request core.Request
		// Last is the outcome of the attempt before; it is empty for the first.
		Last core.Outcome
		// Hedge asks for a second target while the first attempt is under way.
		Hedge bool
		// Tried are the targets of earlier attempts.
		Tried []core.Target
		// Reply receives exactly one Decision; it has room for it.
		Reply chan<- Decision
	}
	// Done reports the end of an attempt for which a Decision named a target.
	Done struct {
		Service core.Service
		Target  core.Target
		Outcome core.Outcome
		Latency time.Duration
		// Cancelled is set if this VM ended the attempt early.
		Cancelled bool
	}
	// MapChanged hands over a map.
	MapChanged struct{ Map *core.RangeMap }
	// PolicyChanged hands over the policy in force with the folded state.
	PolicyChanged struct {
		Policy *policy.Policy
		Folded platformlog.State
	}
	// Newer asks for whatever this VM holds that is newer than the versions given.
	Newer struct {
		LogOffset uint64
		Maps      map[core.FailureDomain]core.Token
		// Reply receives exactly one Held; it has room for it.
		Reply chan<- Held
	}
	// AddressesChanged hands over where VMs are reached.
	AddressesChanged struct{ Addresses map[core.VM]string }
	// AddressOf asks where a VM is reached.
	AddressOf struct {
		VM core.VM
		// Reply receives exactly one answer, empty if it isn't known; it has
		// room for it.
		Reply chan<- string
	}
)

func (Tick) isRouteMessage()             {}
func (Lookup) isRouteMessage()           {}
func (Done) isRouteMessage()             {}
func (MapChanged) isRouteMessage()       {}
func (PolicyChanged) isRouteMessage()    {}
func (Newer) isRouteMessage()            {}
func (AddressesChanged) isRouteMessage() {}
func (AddressOf) isRouteMessage()        {}

// Held is the state that a VM can pass on to another.
type Held struct {
	// Folded is nil if it isn't newer.
	Folded *platformlog.State
	Maps   []*core.RangeMap
}

// Decision answers a Lookup.
type Decision struct {
	// Outcome is set if the request can't be passed on.
	Outcome core.Outcome
	Detail  string
	// Final is set if there is to be no further attempt: the outcome of the
	// attempt before stands.
	Final   bool
	Front   core.VM
	Address string
	Target  core.Target
	Range   core.RangeID
	// FailureDomain and MapVersion name the map that the decision is based on.
	FailureDomain core.FailureDomain
	MapVersion    core.Token
	// HedgeAfter is the time after which a hedge may be asked for, 0 for never.
	HedgeAfter time.Duration
}

// Output is what the router asks for.
type Output interface {
	isRouteOutput()
	MetricName() string
}

type (
	// Answer delivers a decision.
	Answer struct {
		To       chan<- Decision
		Decision Decision
	}
	// AnswerHeld delivers the answer to a Newer.
	AnswerHeld struct {
		To   chan<- Held
		Held Held
	}
	// AnswerAddress delivers the answer to an AddressOf.
	AnswerAddress struct {
		To      chan<- string
		Address string
	}
	// Changed hands out what this VM holds after a change. Own is the map of
	// its own failure domain, nil before the first.
	Changed struct {
		LogOffset uint64
		Maps      map[core.FailureDomain]core.Token
		Policy    *policy.Policy
		Own       *core.RangeMap
	}
)

func (Answer) isRouteOutput()        {}
func (AnswerHeld) isRouteOutput()    {}
func (AnswerAddress) isRouteOutput() {}
func (Changed) isRouteOutput()       {}
