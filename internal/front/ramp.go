package front

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// coldShedCount is how many consecutive rejections by a target count as a
	// cold start.
	coldShedCount = 3
	// slowLatencyFactor is the ratio to the baseline latency from which a
	// response counts as slow.
	slowLatencyFactor = 4
	// coldSlowCount is how many consecutive slow responses show that a target
	// is cold or a straggler.
	coldSlowCount = 8
	// minDetectionInterval is the minimum time between two restarts of the ramp
	// by measurement, so that a target that stays slow gets its slots back.
	minDetectionInterval = 5 * time.Second
)

// ramp is the slow start of a target. Its limit starts at coldLimit and doubles
// after every stepSuccesses successful requests, up to fullLimit.
type ramp struct {
	coldLimit, stepSuccesses, fullLimit int
	limit                               int
	successes                           int
	consecutiveSheds, consecutiveSlow   int
	baseline                            time.Duration
	baselineSamples                     int
	detectedAt                          core.Instant
	// provisional is set while the limit that the previous front had reached is
	// unknown.
	provisional bool
}

func (r *ramp) configure(cold, step, full int) {
	atFull := r.fullLimit > 0 && r.limit >= r.fullLimit
	r.coldLimit, r.stepSuccesses, r.fullLimit = max(min(cold, full), 1), max(step, 1), full
	if atFull {
		r.limit = full
	}
	r.limit = max(min(r.limit, full), r.coldLimit)
}

// takeOver sets the limit of a target that this front has just taken over. The
// limit recorded by the previous front may raise it, unless the target reports
// that it is cold.
func (r *ramp) takeOver(cold bool) {
	r.restart()
	r.provisional = !cold
}

// restart sets the limit back to coldLimit.
func (r *ramp) restart() {
	r.limit, r.successes, r.consecutiveSheds, r.consecutiveSlow = r.coldLimit, 0, 0, 0
	r.provisional = false
}

// applyRecordedLimit raises a provisional limit to the one that the previous
// front stored at the witnesses.
func (r *ramp) applyRecordedLimit(limit int) {
	if !r.provisional || limit <= 0 {
		return
	}
	r.provisional = false
	r.limit = max(r.limit, min(limit, r.fullLimit))
}

func (r *ramp) isCold() bool { return r.limit < r.fullLimit }

// countSuccess counts a response.
func (r *ramp) countSuccess() {
	r.consecutiveSheds = 0
	if !r.isCold() {
		return
	}
	if r.successes++; r.successes >= r.stepSuccesses {
		r.successes = 0
		r.limit = min(2*r.limit, r.fullLimit)
	}
}

// countFailure counts a request without a response.
func (r *ramp) countFailure() { r.successes = 0 }

// countShed counts a rejection by the target itself.
func (r *ramp) countShed(now core.Instant) {
	r.successes = 0
	if r.consecutiveSheds++; r.consecutiveSheds >= coldShedCount {
		r.restartDetected(now)
	}
}

// observeLatency compares a latency with the baseline, a moving average over so
// many samples that a few slow responses barely change it.
func (r *ramp) observeLatency(now core.Instant, d time.Duration) {
	if r.baselineSamples < baselineWindow {
		r.baselineSamples++
	}
	previous := r.baseline
	r.baseline += (d - r.baseline) / time.Duration(r.baselineSamples)
	if r.baselineSamples < minBaselineSamples || d < slowLatencyFactor*previous {
		r.consecutiveSlow = 0
		return
	}
	if r.consecutiveSlow++; r.consecutiveSlow >= coldSlowCount {
		r.restartDetected(now)
	}
}

const (
	// baselineWindow is the number of samples in the moving average.
	baselineWindow = 512
	// minBaselineSamples is the number of samples before which no response
	// counts as slow.
	minBaselineSamples = 32
)

// restartDetected restarts the ramp because of a measurement, at most once in
// minDetectionInterval.
func (r *ramp) restartDetected(now core.Instant) {
	if r.detectedAt != 0 && now.Sub(r.detectedAt) < minDetectionInterval {
		return
	}
	r.restart()
	r.detectedAt = now
}
