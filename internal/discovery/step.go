package discovery

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// Message is an input of the discovery duty.
type Message interface{ message() }

// Registered carries a target's registration.
type Registered struct{ Registration Registration }

// Removed reports that a registration has ended.
type Removed struct{ Target core.Target }

// EvacuationChanged reports that operators started or ended the evacuation of a
// failure domain.
type EvacuationChanged struct {
	FailureDomain core.FailureDomain
	Evacuated     bool
}

// DirectoryRead reports that the registrations were up to date at a time.
type DirectoryRead struct{ AsOf core.Instant }

// RegistrationsRead reports that all registrations up to a time have been sent.
type RegistrationsRead struct{ AsOf core.Instant }

// ColdStartsChanged carries the cold-start durations of the services.
type ColdStartsChanged struct {
	Durations map[core.Service]time.Duration
}

// ColdStartReported reports that a target itself reported a cold start.
type ColdStartReported struct {
	Target    core.Target
	Remaining time.Duration
}

// LeavingReported reports that a target's process announced that it is about to
// exit.
type LeavingReported struct {
	Target    core.Target
	StartedAt int64
}

// Tick removes expired targets and publishes a new view if there are changes.
type Tick struct{}

func (Registered) message()        {}
func (Removed) message()           {}
func (EvacuationChanged) message() {}
func (DirectoryRead) message()     {}
func (RegistrationsRead) message() {}
func (ColdStartsChanged) message() {}
func (ColdStartReported) message() {}
func (LeavingReported) message()   {}
func (Tick) message()              {}

// Output is an action that the duty requests.
type Output interface{ output() }

// ViewUpdated carries a new view.
type ViewUpdated struct{ View *View }

// Event is a change of a target's state, for the log.
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
	case RegistrationsRead:
		d.registry.MarkRegistrationsRead(m.AsOf)
	case ColdStartsChanged:
		for s, t := range m.Durations {
			d.registry.SetColdStart(s, t)
		}
	case ColdStartReported:
		d.registry.ExtendColdStart(now, m.Target, m.Remaining)
	case LeavingReported:
		if d.registry.MarkLeaving(now, m.Target, m.StartedAt) {
			out = append(out, Event{Text: "target announced that it leaves", Fields: []any{"target", m.Target, "born", m.StartedAt}})
		}
	case Tick:
		d.registry.Tick(now)
	}
	// Changes are published only on Tick, so that the many records of a full read
	// make one view.
	if _, tick := m.(Tick); tick && d.registry.Changed() {
		out = append(out, ViewUpdated{View: d.registry.View()})
	}
	return out
}

func (d *Duty) registered(now core.Instant, reg Registration) []Output {
	if !d.registry.Register(now, reg) {
		return []Output{Event{Text: "older registration ignored", Fields: []any{"target", reg.ID, "born", reg.StartedAt, "sequence", reg.Sequence}}}
	}
	return []Output{Event{Text: "target registered", Fields: []any{
		"target", reg.ID, "service", reg.Service, "address", reg.Address, "failure_domain", reg.FailureDomain,
		"draining", reg.Draining, "born", reg.StartedAt, "sequence", reg.Sequence, "cold_ms", reg.ColdRemaining.Milliseconds(),
	}}}
}
