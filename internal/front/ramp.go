package front

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// shedsForCold is how many refusals in a row show that a target is cold.
	shedsForCold = 3
	// slowFactor is the rise of latency over its long average that shows that a
	// target is cold or a straggler.
	slowFactor = 4
	// slowSamples is how many slow responses in a row it takes.
	slowSamples = 8
	// coolPause is the least time between two findings by measurement, so that
	// a target that stays slow gets its slots back.
	coolPause = 5 * time.Second
)

// ramp is the cold-start limit of a target: it starts at few slots and doubles
// with each step of successes.
type ramp struct {
	cold, step, full int
	limit            int
	successes        int
	sheds, slow      int
	usual            time.Duration
	samples          int
	cooledAt         core.Instant
	// provisional is set while the level that the last front recorded is unknown.
	provisional bool
}

func (r *ramp) configure(cold, step, full int) {
	atFull := r.full > 0 && r.limit >= r.full
	r.cold, r.step, r.full = max(min(cold, full), 1), max(step, 1), full
	if atFull {
		r.limit = full
	}
	r.limit = max(min(r.limit, full), r.cold)
}

// begin sets the level of a target that this front has just taken. The level
// that the last front recorded may raise it, unless the target says it is cold.
func (r *ramp) begin(cold bool) {
	r.cool()
	r.provisional = !cold
}

// cool starts the ramp again.
func (r *ramp) cool() {
	r.limit, r.successes, r.sheds, r.slow = r.cold, 0, 0, 0
	r.provisional = false
}

// recorded takes the level that the last front stored at the witnesses.
func (r *ramp) recorded(limit int) {
	if !r.provisional || limit <= 0 {
		return
	}
	r.provisional = false
	r.limit = max(r.limit, min(limit, r.full))
}

func (r *ramp) isCold() bool { return r.limit < r.full }

// succeed counts a response.
func (r *ramp) succeed() {
	r.sheds = 0
	if !r.isCold() {
		return
	}
	if r.successes++; r.successes >= r.step {
		r.successes = 0
		r.limit = min(2*r.limit, r.full)
	}
}

// fail counts a request without a response.
func (r *ramp) fail() { r.successes = 0 }

// shed counts a refusal by the target itself.
func (r *ramp) shed(now core.Instant) {
	r.successes = 0
	if r.sheds++; r.sheds >= shedsForCold {
		r.find(now)
	}
}

// measure compares a latency with the usual one, an average so long that a few
// slow responses don't move it.
func (r *ramp) measure(now core.Instant, d time.Duration) {
	if r.samples < usualSamples {
		r.samples++
	}
	usual := r.usual
	r.usual += (d - r.usual) / time.Duration(r.samples)
	if r.samples < minBaseline || d < slowFactor*usual {
		r.slow = 0
		return
	}
	if r.slow++; r.slow >= slowSamples {
		r.find(now)
	}
}

const (
	// usualSamples is the length of the average that gives the usual latency.
	usualSamples = 512
	// minBaseline is the least number of samples that make a usual latency.
	minBaseline = 32
)

// find cools the target for what was measured, but not again too soon.
func (r *ramp) find(now core.Instant) {
	if r.cooledAt != 0 && now.Sub(r.cooledAt) < coolPause {
		return
	}
	r.cool()
	r.cooledAt = now
}
