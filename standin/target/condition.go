package target

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// coldState is the progress of a cold start, during which a target handles
// only ColdSlots requests at a time.
type coldState struct {
	on        bool
	since     core.Instant
	successes int
	overloads int
}

func (c *coldState) step(now core.Instant, f Faults) {
	warmByTime := f.ColdTime > 0 && now.Sub(c.since) >= f.ColdTime
	warmByRequests := f.ColdRequests > 0 && c.successes >= f.ColdRequests
	if f.ColdSlots == 0 || warmByTime || warmByRequests {
		c.on = false
	}
}

// atLimit reports whether a cold target has no capacity for one more request.
func (c *coldState) atLimit(inFlight int, f Faults) bool { return c.on && inFlight >= f.ColdSlots }

// drainState says since when a target is draining, and whether it reports so.
type drainState struct {
	on, reported bool
	since        core.Instant
}

func (d *drainState) step(now core.Instant, f Faults) {
	if !f.Drain {
		*d = drainState{}
		return
	}
	if !d.on {
		d.on, d.since = true, now
	}
	d.reported = now.Sub(d.since) >= f.DrainLag
}

func (m *StateMachine) status() Status {
	return Status{
		Incarnation: m.options.Incarnation,
		Slots:       m.options.Slots,
		InFlight:    m.inFlight,
		Cold:        m.cold.on,
		Draining:    m.drain.reported,
		Overloads:   m.cold.overloads,
	}
}

func (m *StateMachine) sample(now core.Instant) {
	m.samples = append(m.samples, sample{at: now, status: m.status()})
	for now.Sub(m.samples[0].at) > maxSampleAge {
		m.samples = m.samples[1:]
	}
}

// report returns the status that the health and load endpoints show, which the
// faults can make stale or wrong.
func (m *StateMachine) report(now core.Instant) Status {
	s := m.status()
	if m.faults.ReportLag > 0 {
		s = m.laggedStatus(now, m.faults.ReportLag)
	}
	if m.faults.Mislead {
		s.InFlight, s.Cold, s.Draining, s.Overloads = 0, false, false, 0
	}
	return s
}

func (m *StateMachine) laggedStatus(now core.Instant, lag time.Duration) Status {
	s := Status{Incarnation: m.options.Incarnation, Slots: m.options.Slots}
	for _, old := range m.samples {
		if now.Sub(old.at) < lag {
			break
		}
		s = old.status
	}
	return s
}
