package route

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// Message is an input of the router.
type Message interface {
	isRouteMessage()
	MetricName() string
}

type (
	// Tick makes the router check its timers.
	Tick struct{}
	// Lookup requests the destination of a request, whose Range may be zero.
	Lookup struct {
		Request core.Request
		// Last is the outcome of the previous attempt, empty for the first one.
		Last core.Outcome
		// Hedge requests a second target while the first attempt is in flight.
		Hedge bool
		// Tried are the targets of earlier attempts.
		Tried []core.Target
		// Reply receives exactly one Decision; it must be buffered.
		Reply chan<- Decision
	}
	// AttemptDone reports the result of an attempt for which a Decision named a
	// target.
	AttemptDone struct {
		Service core.Service
		Target  core.Target
		Outcome core.Outcome
		Latency time.Duration
		// Cancelled is set if this VM cancelled the attempt.
		Cancelled bool
	}
	// MapChanged contains a range map, which is ignored if it is not newer.
	MapChanged struct{ Map *core.RangeMap }
	// PolicyChanged contains the policy in force and the state of the log.
	PolicyChanged struct {
		Policy   *policy.Policy
		LogState platformlog.State
	}
	// NewerStateRequested requests everything that this VM holds in a newer
	// version than the given ones.
	NewerStateRequested struct {
		LogOffset uint64
		Maps      map[core.FailureDomain]core.Token
		// Reply receives exactly one NewerState; it must be buffered.
		Reply chan<- NewerState
	}
	// AddressesChanged contains the addresses of the VMs.
	AddressesChanged struct{ Addresses map[core.VM]string }
	// AddressRequested requests the address of a VM.
	AddressRequested struct {
		VM core.VM
		// Reply receives exactly one address, empty if it is not known; it must
		// be buffered.
		Reply chan<- string
	}
)

func (Tick) isRouteMessage()                {}
func (Lookup) isRouteMessage()              {}
func (AttemptDone) isRouteMessage()         {}
func (MapChanged) isRouteMessage()          {}
func (PolicyChanged) isRouteMessage()       {}
func (NewerStateRequested) isRouteMessage() {}
func (AddressesChanged) isRouteMessage()    {}
func (AddressRequested) isRouteMessage()    {}

// NewerState is the state that this VM holds in a newer version than another VM.
type NewerState struct {
	// LogState is nil if it is not newer.
	LogState *platformlog.State
	Maps     []*core.RangeMap
}

// Decision is the result of a Lookup.
type Decision struct {
	// Outcome is set if the request cannot be forwarded.
	Outcome core.Outcome
	Detail  string
	// Final is set if there must be no further attempt; the outcome of the
	// previous attempt is then the outcome of the request.
	Final   bool
	Front   core.VM
	Address string
	Target  core.Target
	Range   core.RangeID
	// FailureDomain and MapVersion identify the map that the decision is based on.
	FailureDomain core.FailureDomain
	MapVersion    core.Token
	// HedgeAfter is the time after which a hedge may be requested, 0 for never.
	HedgeAfter time.Duration
}

// Output is an action that the router requests.
type Output interface {
	isRouteOutput()
	MetricName() string
}

type (
	// SendDecision replies to a Lookup.
	SendDecision struct {
		To       chan<- Decision
		Decision Decision
	}
	// SendNewerState replies to a NewerStateRequested.
	SendNewerState struct {
		To    chan<- NewerState
		State NewerState
	}
	// SendAddress replies to an AddressRequested.
	SendAddress struct {
		To      chan<- string
		Address string
	}
	// Changed publishes what this VM holds after a change. OwnMap is the map of
	// its own failure domain, nil before the first one.
	Changed struct {
		LogOffset uint64
		Maps      map[core.FailureDomain]core.Token
		Policy    *policy.Policy
		OwnMap    *core.RangeMap
	}
)

func (SendDecision) isRouteOutput()   {}
func (SendNewerState) isRouteOutput() {}
func (SendAddress) isRouteOutput()    {}
func (Changed) isRouteOutput()        {}
