package balance

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ownership"
)

func (b *Balancer) count(s core.Service, key uint16) {
	units := b.counts[s]
	if units == nil {
		units = make(map[int]int)
		b.counts[s] = units
	}
	units[ownership.Unit(key)]++
}

// survey returns the rates since the last survey.
func (b *Balancer) survey(now core.Instant) ownership.LoadReport {
	load := ownership.LoadReport{
		UnitLoads:   make(map[core.Service]map[int]float64),
		ServiceTime: make(map[core.Target]time.Duration),
	}
	elapsed := now.Sub(b.surveyed).Seconds()
	b.surveyed = now
	for s, units := range b.counts {
		rates := make(map[int]float64, len(units))
		for u, n := range units {
			rates[u] = float64(n) / elapsed
		}
		load.UnitLoads[s] = rates
		clear(units)
	}
	for id, t := range b.targets {
		if !b.services[t.Service].DividedByKey {
			continue
		}
		if t.serviceTime > 0 {
			load.ServiceTime[id] = t.meanTime()
		}
		if t.unreachable || t.ended {
			load.Unreachable = append(load.Unreachable, id)
		}
	}
	return load
}
