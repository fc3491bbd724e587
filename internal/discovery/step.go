package discovery

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// Message is an input of the discovery duty.
type Message interface{ message() }

// Registered brings a target's registration.
type Registered struct{ Entry Entry }

// Removed tells that a registration has ended.
type Removed struct{ Target core.Target }

// Evacuated tells that operators emptied a failure domain or took it back.
type Evacuated struct {
	FailureDomain core.FailureDomain
	Out           bool
}

// Current tells that the registrations were the newest at a time.
type Current struct{ AsOf core.Instant }

// ColdStarts brings the cold times of the services.
type ColdStarts struct {
	Times map[core.Service]time.Duration
}

// ReportedCold tells that a target itself reported a cold start.
type ReportedCold struct {
	Target core.Target
	Left   time.Duration
}

// Tick advances time.
type Tick struct{}

func (Registered) message()   {}
func (Removed) message()      {}
func (Evacuated) message()    {}
func (Current) message()      {}
func (ColdStarts) message()   {}
func (ReportedCold) message() {}
func (Tick) message()         {}

// Output is what the duty wants done.
type Output interface{ output() }

// Updated brings a new view.
type Updated struct{ View *View }

// Event is a change of what is believed of a target, for the log.
type Event struct {
	Text   string
	Fields []any
}

func (Updated) output() {}
func (Event) output()   {}

// Duty is the state machine of discovery.
type Duty struct{ registry *Registry }

// NewDuty returns a duty that knows no targets.
func NewDuty() *Duty { return &Duty{registry: NewRegistry()} }

// Step implements duty.Step.
func (d *Duty) Step(now core.Instant, m Message) []Output {
	var out []Output
	switch m := m.(type) {
	case Registered:
		out = d.registered(now, m.Entry)
	case Removed:
		d.registry.Remove(now, m.Target)
		out = append(out, Event{Text: "registration ended", Fields: []any{"target", m.Target, "kept_for_return", d.registry.Lapsing(m.Target)}})
	case Evacuated:
		d.registry.Evacuate(now, m.FailureDomain, m.Out)
		out = append(out, Event{Text: "failure domain evacuation", Fields: []any{"failure_domain", m.FailureDomain, "out", m.Out}})
	case Current:
		d.registry.Read(m.AsOf)
	case ColdStarts:
		for s, t := range m.Times {
			d.registry.SetColdStart(s, t)
		}
	case ReportedCold:
		d.registry.Cold(now, m.Target, m.Left)
	case Tick:
		d.registry.Tick(now)
	}
	// Many records come at a time when a copy is read whole; they make one view.
	if _, tick := m.(Tick); tick && d.registry.Changed() {
		out = append(out, Updated{View: d.registry.View()})
	}
	return out
}

func (d *Duty) registered(now core.Instant, e Entry) []Output {
	if !d.registry.Register(now, e) {
		return []Output{Event{Text: "older registration left out", Fields: []any{"target", e.ID, "born", e.Born, "sequence", e.Sequence}}}
	}
	return []Output{Event{Text: "target registered", Fields: []any{
		"target", e.ID, "service", e.Service, "address", e.Address, "failure_domain", e.FailureDomain,
		"draining", e.Draining, "born", e.Born, "sequence", e.Sequence, "cold_ms", e.ColdFor.Milliseconds(),
	}}}
}
