package discovery

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// Message is an input of the discovery duty.
type Message interface{ message() }

// Registered brings a target's registration.
type Registered struct{ Registration Registration }

// Removed tells that a registration has ended.
type Removed struct{ Target core.Target }

// EvacuationChanged tells that operators emptied a failure domain or took it back.
type EvacuationChanged struct {
	FailureDomain core.FailureDomain
	Evacuated     bool
}

// DirectoryRead tells that the registrations were the newest at a time.
type DirectoryRead struct{ AsOf core.Instant }

// ColdStartsChanged brings the cold times of the services.
type ColdStartsChanged struct {
	Durations map[core.Service]time.Duration
}

// ColdStartReported tells that a target itself reported a cold start.
type ColdStartReported struct {
	Target    core.Target
	Remaining time.Duration
}

// Tick advances time.
type Tick struct{}

func (Registered) message()        {}
func (Removed) message()           {}
func (EvacuationChanged) message() {}
func (DirectoryRead) message()     {}
func (ColdStartsChanged) message() {}
func (ColdStartReported) message() {}
func (Tick) message()              {}

// Output is what the duty wants done.
type Output interface{ output() }

// ViewUpdated brings a new view.
type ViewUpdated struct{ View *View }

// Event is a change of what is believed of a target, for the log.
type Event struct {
	Text   string
	Fields []any
}

func (ViewUpdated) output() {}
func (Event) output()       {}

// Duty is the state machine of discovery.
type Duty struct{ registry *Registry }

// NewDuty returns a duty that knows no targets.
func NewDuty() *Duty { return &Duty{registry: NewRegistry()} }

// Step implements duty.Step.
func (d *Duty) Step(now core.Instant, m Message) []Output {
	var out []Output
	switch m := m.(type) {
	case Registered:
		out = d.registered(now, m.Registration)
	case Removed:
		d.registry.Remove(now, m.Target)
		out = append(out, Event{Text: "registration ended", Fields: []any{"target", m.Target, "kept_for_return", d.registry.PendingRemoval(m.Target)}})
	case EvacuationChanged:
		d.registry.SetEvacuated(now, m.FailureDomain, m.Evacuated)
		out = append(out, Event{Text: "failure domain evacuation", Fields: []any{"failure_domain", m.FailureDomain, "out", m.Evacuated}})
	case DirectoryRead:
		d.registry.MarkCurrent(m.AsOf)
	case ColdStartsChanged:
		for s, t := range m.Durations {
			d.registry.SetColdStart(s, t)
		}
	case ColdStartReported:
		d.registry.ExtendColdStart(now, m.Target, m.Remaining)
	case Tick:
		d.registry.Tick(now)
	}
	// Many records come at a time when a copy is read whole; they make one view.
	if _, tick := m.(Tick); tick && d.registry.Changed() {
		out = append(out, ViewUpdated{View: d.registry.View()})
	}
	return out
}

func (d *Duty) registered(now core.Instant, e Registration) []Output {
	if !d.registry.Register(now, e) {
		return []Output{Event{Text: "older registration left out", Fields: []any{"target", e.ID, "born", e.Born, "sequence", e.Sequence}}}
	}
	return []Output{Event{Text: "target registered", Fields: []any{
		"target", e.ID, "service", e.Service, "address", e.Address, "failure_domain", e.FailureDomain,
		"draining", e.Draining, "born", e.Born, "sequence", e.Sequence, "cold_ms", e.ColdRemaining.Milliseconds(),
	}}}
}
