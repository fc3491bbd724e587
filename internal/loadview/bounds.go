package loadview

import (
	"math"
	"time"
)

// Bounds of the values that a VM can report or receive. Values beyond them come from
// a fault; an infinite or negative one would stay in the estimates.
const (
	minInterval    = 20 * time.Millisecond
	maxInterval    = 5 * time.Second
	maxCount       = 1_000_000
	maxRate        = 1e6
	maxSlots       = 100_000
	maxSlowdown    = 1000.0
	minServiceTime = 10 * time.Microsecond
	maxServiceTime = 10 * time.Minute
	maxAge         = time.Minute
)

func boundedCount(n int) int { return min(max(n, 0), maxCount) }

// boundedRate returns a rate that is finite and not negative.
func boundedRate(r float64) float64 {
	if math.IsNaN(r) {
		return 0
	}
	return min(max(r, 0), maxRate)
}

func (l *Load) bounded() *Load {
	if l == nil {
		return nil
	}
	slowdown := boundedRate(l.Slowdown)
	return &Load{
		Running: boundedCount(l.Running), Waiting: boundedCount(l.Waiting),
		Slowdown: min(slowdown, maxSlowdown), Age: min(max(l.Age, 0), maxAge),
	}
}

// bounded returns the observation with all values within their bounds. It reports
// false if the observation can't be used.
func (o Observation) bounded() (Observation, bool) {
	if o.Target == "" || o.Slots <= 0 {
		return o, false
	}
	o.Slots = min(o.Slots, maxSlots)
	o.Demand, o.Sent, o.TurnedAway = boundedCount(o.Demand), boundedCount(o.Sent), boundedCount(o.TurnedAway)
	o.Samples = boundedCount(o.Samples)
	if o.ServiceTime <= 0 {
		o.Samples = 0
	}
	o.ServiceTime = min(max(o.ServiceTime, minServiceTime), maxServiceTime)
	o.Limit = boundedRate(o.Limit)
	o.Load = o.Load.bounded()
	return o, true
}

// Bounded returns the entry with all values within their bounds. It reports false if
// the entry can't be used.
func (e Entry) Bounded() (Entry, bool) {
	if e.Target == "" || e.Slots <= 0 && !e.Removed {
		return e, false
	}
	e.Slots = min(e.Slots, maxSlots)
	if e.ServiceTime != 0 {
		e.ServiceTime = min(max(e.ServiceTime, minServiceTime), maxServiceTime)
	}
	e.Demand, e.TurnedAway, e.Admit = boundedRate(e.Demand), boundedRate(e.TurnedAway), boundedRate(e.Admit)
	e.Load = e.Load.bounded()
	return e, true
}
