package balance

import (
	"cmp"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/ownership"
)

// exchange is the state of the exchange of observations with the leader.
type exchange struct {
	// reportedAt is when the last observations were taken.
	reportedAt core.Instant
	// leader, sequence and asOf belong to the last digest.
	leader   ownership.Leader
	sequence uint64
	asOf     core.Instant
	// generation counts the full digests. Entries of an earlier one that a later one
	// doesn't repeat are not refreshed.
	generation uint64
}

// observed is what this VM observed of a target since its last report.
type observed struct {
	demand, sent, turnedAway int
	samples                  int
	sampleSum                time.Duration
	// load is the last load report in a response to this VM, or nil if there is no
	// new one.
	load   *TargetLoad
	loadAt core.Instant
}

func (o *observed) empty() bool {
	return o.demand == 0 && o.sent == 0 && o.turnedAway == 0 && o.samples == 0 && o.load == nil
}

// stepExchange handles the messages of the exchange.
func (b *Balancer) stepExchange(now core.Instant, m Message) []Output {
	switch m := m.(type) {
	case ObservationsRequest:
		return b.observations(now, m)
	case DigestChanged:
		b.digestChanged(now, m)
	}
	return nil
}

// exchanged reports whether the target is part of the exchange: its service is under
// load control and sharded. Requests for its keys can't go to another target, so that
// its capacity has to be divided among the VMs.
func (b *Balancer) exchanged(t *target) bool {
	s := b.services[t.Service]
	return s.LoadControl && s.Sharded
}

// countDemand counts a request for the chosen target, or for the one that caused its
// rejection. A request that waits is counted once it no longer does.
func (b *Balancer) countDemand(t *target, d Decision) {
	if t == nil && d.Verdict == Reject {
		t = b.targets[d.Target.ID]
	}
	if t != nil && b.exchanged(t) {
		t.observed.demand++
	}
}

// countSent counts a request that is sent to a target, and takes the tokens that a
// rate limit and an admission require.
func (b *Balancer) countSent(now core.Instant, t *target) {
	t.rateLimiter.take(now)
	if !b.exchanged(t) {
		return
	}
	t.observed.sent++
	t.digested.admission.take()
}

// countResult adds the result of an attempt, after its load report was recorded.
func (b *Balancer) countResult(now core.Instant, t *target, m AttemptDone) {
	if !b.exchanged(t) {
		return
	}
	o := &t.observed
	if m.Load != nil {
		o.load, o.loadAt = m.Load, now
	}
	switch m.Result {
	case Shed, TurnedAway:
		o.turnedAway++
	case Succeeded:
		if m.Elapsed <= 0 {
			return
		}
		w := b.work.of(workload{service: m.Service, route: m.Route}, m.Objective)
		usual := float64(w.request) + float64(w.queued)*t.queueLength(now)
		if usual <= 0 {
			return
		}
		o.samples++
		o.sampleSum += time.Duration(float64(m.Elapsed) * float64(w.request) / usual)
	}
}

// observations returns the observations since the last call and restarts the counts.
func (b *Balancer) observations(now core.Instant, m ObservationsRequest) []Output {
	out := Observations{Report: loadview.Report{Interval: now.Sub(b.exchange.reportedAt)}}
	b.exchange.reportedAt = now
	if now.Sub(b.exchange.asOf) < loadview.EntryTTL {
		out.Report.Leader, out.Report.Have = b.exchange.leader, b.exchange.sequence
	}
	for id, t := range b.targets {
		if !b.exchanged(t) {
			continue
		}
		if t.unreachable || t.replaced {
			out.Unreachable = append(out.Unreachable, id)
		}
		if !t.observed.empty() {
			out.Report.Observations = append(out.Report.Observations, t.observation(now))
			t.observed = observed{}
		}
	}
	slices.Sort(out.Unreachable)
	slices.SortFunc(out.Report.Observations, func(x, y loadview.Observation) int { return cmp.Compare(x.Target, y.Target) })
	return []Output{ObservationsReply{To: m.Reply, Observations: out}}
}

func (t *target) observation(now core.Instant) loadview.Observation {
	o := t.observed
	out := loadview.Observation{
		Process: loadview.Process{Target: t.ID, StartedAt: t.StartedAt}, Slots: max(t.Slots, 1),
		Demand: o.demand, Sent: o.sent, TurnedAway: o.turnedAway, Samples: o.samples, Limit: t.announced.RateLimit,
	}
	if o.samples > 0 {
		out.ServiceTime = o.sampleSum / time.Duration(o.samples)
	}
	if o.load != nil {
		out.Load = &loadview.Load{Running: o.load.Running, Waiting: o.load.Waiting, Slowdown: o.load.Slowdown, Age: now.Sub(o.loadAt)}
	}
	return out
}
