package balance

import (
	"cmp"
	"math"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
)

const (
	// paceSamples is the weight of a new sample in a target's pace, as 1/n.
	paceSamples = 12
	// minReportHalfLife bounds the half-life of the number of other VMs' requests
	// in a load report, which is about the duration of a request.
	minReportHalfLife = 250 * time.Millisecond
	// meanOthersFactor is the half-life of the mean number of other VMs' requests
	// relative to that of a report. It makes sure that a target that looks full is
	// tried again.
	meanOthersFactor = 8
	// meanOthersSamples is the weight of a new report in that mean, as 1/n.
	meanOthersSamples = 8
	// slowdownHalfLife is the half-life of the deviation of a reported slowdown
	// from the mean. Slowdown by noisy neighbours lasts about 400 ms; the mean is
	// the target's own speed, which differs between the targets of a service
	// (means of 70 and 160 percent were observed).
	slowdownHalfLife = 200 * time.Millisecond
	// slowdownSamples is the weight of a new report in the mean slowdown, as 1/n.
	slowdownSamples = 12
	// failureRateSamples is the weight of a new outcome in the failure rate, as
	// 1/n.
	failureRateSamples = 10
	// The estimates of a target that has had no result for estimateAge fade with
	// estimateHalfLife: only results update the estimates, and a target with bad ones
	// gets few requests or none.
	estimateAge      = 5 * time.Second
	estimateHalfLife = time.Second
	// A target is ejected for ejectTime after ejectAfter consecutive failures.
	// The time doubles with each further ejection without a success in between,
	// up to maxEjectTime.
	ejectAfter   = 3
	ejectTime    = 600 * time.Millisecond
	maxEjectTime = 4 * time.Second
	// minProbeBackoff is the delay before the first probe of an unreachable
	// target. It doubles up to maxProbeBackoff, as probes are charged.
	minProbeBackoff = 150 * time.Millisecond
	maxProbeBackoff = 1200 * time.Millisecond
	// checkInterval is the time between the checks of a target that closes
	// connections.
	checkInterval = time.Second
)

// target is the state that this VM keeps for a target's process.
type target struct {
	*discovery.Target
	// rank is this VM's rank among the VMs that may use the target.
	rank int
	// inFlight is the number of this VM's requests at the target.
	inFlight int
	// remaining is the expected remaining work of those requests, with load control.
	remaining remainingWork
	// pace is the mean ratio of the time that requests take, without queueing and
	// the reported slowdown, to the work of their routes; 0 is unknown.
	pace float64
	// duration is the mean duration of the requests at the target, without
	// queueing.
	duration time.Duration
	// load is the last load report.
	load *TargetLoad
	// reportedOthers is how many requests in the last report were other VMs'.
	reportedOthers float64
	loadAt         core.Instant
	// meanOthers is the mean number of other VMs' requests over many reports. It
	// replaces an old report; in a large deployment most reports are old.
	meanOthers float64
	// meanSlowdown is the mean reported slowdown, including the one caused by
	// noisy neighbours; 0 is unknown.
	meanSlowdown        float64
	failureRate         float64
	consecutiveFailures int
	// resultAt is when pace and failureRate were last updated.
	resultAt      core.Instant
	ejectedUntil  core.Instant
	ejectDuration time.Duration
	// unreachable is set when a connection fails and cleared when a probe
	// succeeds.
	unreachable bool
	// replaced is set once another process responds at the address.
	replaced bool
	// checkDue is set when the target has closed a connection with a request, until
	// a probe checks whether it has exited.
	checkDue      bool
	probeInFlight bool
	nextProbe     core.Instant
	probeBackoff  time.Duration
	coldLimiter   coldLimiter
	announced     announced
	rateLimiter   rateLimiter
	// observed is what this VM observed since its last report to the leader.
	observed observed
	// digested is the leader's entry for the target.
	digested digested
	// pausedUntil is until when the target wants no requests from this VM, and pause
	// how long it asked for.
	pausedUntil core.Instant
	pause       time.Duration
	// malformedReported is set once a malformed announcement has been reported.
	malformedReported bool
	// leavingSince is when the target first announced that it leaves, or zero. Its
	// registration may have ended, so that no view says so.
	leavingSince core.Instant
	// knownSince is when this VM learned of the process.
	knownSince core.Instant
}

// update takes over a new view of the same process.
func (t *target) update(d *discovery.Target) {
	t.Target = d
	if t.leavingSince != 0 && !d.Draining {
		t.Target = d.Leaving(t.leavingSince, 0)
	}
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// occupancy estimates the number of requests at the target. As a load report
// ages, the mean of the reports replaces it.
func (t *target) occupancy(now core.Instant) float64 {
	if t.load == nil {
		return float64(t.inFlight)
	}
	age := now.Sub(t.loadAt)
	halfLife := max(minReportHalfLife, t.duration)
	fresh := decay(age, halfLife)
	return float64(t.inFlight) + fresh*t.reportedOthers + (1-fresh)*decay(age, meanOthersFactor*halfLife)*t.meanOthers
}

// slowdown estimates the ratio of the present processing time to the service's
// usual one.
func (t *target) slowdown(now core.Instant) float64 {
	if t.meanSlowdown == 0 {
		return 1
	}
	age := now.Sub(t.loadAt)
	mean := 1 + (t.meanSlowdown-1)*fade(age)
	return mean + (t.load.Slowdown-t.meanSlowdown)*decay(age, slowdownHalfLife)
}

func (t *target) slots() float64 { return float64(max(t.Slots, 1)) }

// paceOrUsual returns the pace, which approaches the usual one without results.
func (t *target) paceOrUsual(now core.Instant) float64 {
	if t.pace > 0 {
		return 1 + (t.pace-1)*fade(now.Sub(t.resultAt))
	}
	return 1
}

// fade returns the weight, from 1 to 0, of an estimate of the given age.
func fade(age time.Duration) float64 {
	return decay(max(0, age-estimateAge), estimateHalfLife)
}

// isIdle reports whether the target has had no request for so long that its
// estimates are unreliable.
func (t *target) isIdle(now core.Instant) bool {
	return t.inFlight == 0 && now.Sub(t.resultAt) >= estimateAge
}

// beginUpdate ages the estimates before a new result is added.
func (t *target) beginUpdate(now core.Instant) {
	if t.pace > 0 {
		t.pace = t.paceOrUsual(now)
	}
	t.failureRate *= fade(now.Sub(t.resultAt))
	t.resultAt = now
}

const (
	// nearFullSlowdown is the fraction of a service time by which requests at an
	// almost full target take longer.
	nearFullSlowdown = 0.25
	// failurePenalty is how many times the expected latency is added to the cost
	// of a target that always fails.
	failurePenalty = 8.0
	// crossDomainCost and crossDomainFactor account for the traffic charges and
	// the latency between failure domains.
	crossDomainCost   = 3 * time.Millisecond
	crossDomainFactor = 1.15
)

// queueLength estimates how many requests per slot are ahead of one that is sent
// now.
func (t *target) queueLength(now core.Instant) float64 {
	return max(0, t.occupancy(now)+1-t.slots()) / t.slots()
}

// expectedLatency estimates the time until the response to a request that is
// sent now.
func (t *target) expectedLatency(now core.Instant, w work) time.Duration {
	load := min(1, (t.occupancy(now)+1)/t.slots())
	usual := float64(w.request)*(1+nearFullSlowdown*load*load) + t.workAhead(now, w)
	return time.Duration(usual * t.slowdown(now) * t.paceOrUsual(now))
}

// meanDuration returns the mean time of a request with the given work, without
// queueing and at this target's mean slowdown. It is 0 until a request was
// measured.
func (t *target) meanDuration(usual time.Duration) time.Duration {
	d := float64(usual) * t.pace
	if t.meanSlowdown > 0 {
		d *= t.meanSlowdown
	}
	return time.Duration(d)
}

// cost returns the expected latency with penalties for failures and for another
// failure domain. The target with the lowest cost is chosen.
func (t *target) cost(now core.Instant, w work, domain core.FailureDomain) time.Duration {
	c := float64(t.expectedLatency(now, w)) * (1 + failurePenalty*t.failureRate*fade(now.Sub(t.resultAt)))
	if t.FailureDomain != domain {
		c = c*crossDomainFactor + float64(crossDomainCost)
	}
	return time.Duration(c)
}

// recordLoad updates the target from the load report of a response.
func (t *target) recordLoad(now core.Instant, r *TargetLoad) {
	if r == nil {
		return
	}
	others := max(0, float64(r.Running+r.Waiting-t.inFlight))
	if t.load == nil {
		t.meanOthers = others
	} else {
		t.meanOthers += (others - t.meanOthers) / meanOthersSamples
	}
	t.load, t.loadAt, t.reportedOthers = r, now, others
	switch {
	case r.Slowdown <= 0:
		t.meanSlowdown = 0
	case t.meanSlowdown == 0:
		t.meanSlowdown = r.Slowdown
	default:
		t.meanSlowdown += (r.Slowdown - t.meanSlowdown) / slowdownSamples
	}
}

// recordFull updates the target after it turned a connection away: its queue is
// as long as it allows, which is longer than this VM would fill it.
func (t *target) recordFull(now core.Instant) {
	full := *cmp.Or(t.load, &TargetLoad{Slowdown: 1})
	t.load, t.loadAt = &full, now
	t.reportedOthers = max(t.reportedOthers, t.slots()*(1+2*urgentQueueFactor))
}

// recordDuration updates the pace from the duration of an attempt. It returns the
// duration without the estimated queueing and slowdown: a sample of the route's
// work.
func (t *target) recordDuration(now core.Instant, elapsed time.Duration, w work) time.Duration {
	t.beginUpdate(now)
	usual := float64(w.request) + t.workAhead(now, w)
	ratio := float64(elapsed) / (t.slowdown(now) * usual)
	if t.pace == 0 {
		t.pace = 1
	}
	t.pace += (ratio - t.pace) / paceSamples
	return time.Duration(float64(w.request) * ratio)
}

// recordOutcome updates the failure rate by the outcome of an attempt and
// reports whether the target was ejected by it.
func (t *target) recordOutcome(now core.Instant, succeeded bool) bool {
	t.beginUpdate(now)
	if succeeded {
		t.failureRate -= t.failureRate / failureRateSamples
		t.consecutiveFailures, t.ejectDuration = 0, 0
		return false
	}
	t.failureRate += (1 - t.failureRate) / failureRateSamples
	t.consecutiveFailures++
	if t.consecutiveFailures < ejectAfter || now.Before(t.ejectedUntil) {
		return false
	}
	t.ejectDuration = min(max(2*t.ejectDuration, ejectTime), maxEjectTime)
	t.ejectedUntil = now.Add(t.ejectDuration)
	return true
}

// markUnreachable schedules probes of the target. It reports false if the target
// was already unreachable.
func (t *target) markUnreachable(now core.Instant) bool {
	if t.unreachable {
		return false
	}
	t.unreachable = true
	t.probeBackoff = minProbeBackoff
	t.nextProbe = now.Add(t.probeBackoff)
	return true
}
