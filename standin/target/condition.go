package target

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// cold is the state of a target that doesn't bear its full load yet.
type cold struct {
	on        bool
	since     core.Instant
	successes int
	overloads int
}

func (c *cold) step(now core.Instant, f Faults) {
	warmByTime := f.ColdTime > 0 && now.Sub(c.since) >= f.ColdTime
	warmByRequests := f.ColdRequests > 0 && c.successes >= f.ColdRequests
	if f.ColdSlots == 0 || warmByTime || warmByRequests {
		c.on = false
	}
}

// over reports whether one more request is more than a cold target bears.
func (c *cold) over(inFlight int, f Faults) bool { return c.on && inFlight >= f.ColdSlots }

// drain is the state of a target that is leaving.
type drain struct {
	on, reported bool
	since        core.Instant
}

func (d *drain) step(now core.Instant, f Faults) {
	if !f.Drain {
		*d = drain{}
		return
	}
	if !d.on {
		d.on, d.since = true, now
	}
	d.reported = now.Sub(d.since) >= f.DrainLag
}

func (m *Machine) status() Status {
	return Status{
		Incarnation: m.options.Incarnation,
		Slots:       m.options.Slots,
		InFlight:    m.inFlight,
		Cold:        m.cold.on,
		Draining:    m.drain.reported,
		Overloads:   m.cold.overloads,
	}
}

func (m *Machine) sample(now core.Instant) {
	m.samples = append(m.samples, sample{at: now, status: m.status()})
	for now.Sub(m.samples[0].at) > maxSampleAge {
		m.samples = m.samples[1:]
	}
}

// report returns what the health and load endpoints say, which may be old or wrong.
func (m *Machine) report(now core.Instant) Status {
	s := m.status()
	if m.faults.ReportLag > 0 {
		s = m.past(now, m.faults.ReportLag)
	}
	if m.faults.Mislead {
		s.InFlight, s.Cold, s.Draining, s.Overloads = 0, false, false, 0
	}
	return s
}

func (m *Machine) past(now core.Instant, lag time.Duration) Status {
	s := Status{Incarnation: m.options.Incarnation, Slots: m.options.Slots}
	for _, old := range m.samples {
		if now.Sub(old.at) < lag {
			break
		}
		s = old.status
	}
	return s
}
