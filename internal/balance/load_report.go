package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ownership"
)

// countRequest adds a request to the load of its key. A request counts by its work
// relative to the mean of the service.
func (b *Balancer) countRequest(now core.Instant, req SelectTarget) {
	units := b.unitLoads[req.Service]
	if units == nil {
		units = make(map[int]float64)
		b.unitLoads[req.Service] = units
	}
	w := b.workOf(now, req)
	units[ownership.Unit(req.Key)] += float64(w.request) / float64(w.queued)
}

// loadReport returns the request rates since the last load report, and the
// service times and reachability of the targets of sharded services.
func (b *Balancer) loadReport(now core.Instant) ownership.LoadReport {
	load := ownership.LoadReport{
		UnitLoads:   make(map[core.Service]map[int]float64),
		ServiceTime: make(map[core.Target]time.Duration),
	}
	if elapsed := now.Sub(b.lastReport).Seconds(); elapsed > 0 {
		b.lastReport = now
		b.reportUnitLoads(load, elapsed)
	}
	for id, t := range b.targets {
		if !b.services[t.Service].Sharded {
			continue
		}
		if d := b.reportedServiceTime(t); d > 0 {
			load.ServiceTime[id] = d
		}
		if t.unreachable || t.replaced {
			load.Unreachable = append(load.Unreachable, id)
		}
	}
	return load
}

// reportedServiceTime returns the mean time of a request at a target, or 0 if it
// is unknown. With a rate limit it is at least the one at which all slots of the
// target together serve the limit, so that the assigner moves keys away.
func (b *Balancer) reportedServiceTime(t *target) time.Duration {
	var d time.Duration
	if t.pace > 0 {
		d = t.meanDuration(b.work.mean(t.Service))
	}
	if limit := t.announced.RateLimit; limit > 0 {
		d = max(d, time.Duration(t.slots()/limit*float64(time.Second)))
	}
	return d
}

// reportUnitLoads adds the request rates since the last report and restarts the
// count.
func (b *Balancer) reportUnitLoads(load ownership.LoadReport, elapsed float64) {
	for s, units := range b.unitLoads {
		rates := make(map[int]float64, len(units))
		for u, n := range units {
			rates[u] = n / elapsed
		}
		load.UnitLoads[s] = rates
		clear(units)
	}
}
