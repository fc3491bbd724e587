package front

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/estimate"
)

const (
	// reportInterval is the interval between load reports.
	reportInterval = time.Second
	// maxTrackedKeys bounds the keys that are counted per target. A key with more
	// than 1/64 of the requests is always among them.
	maxTrackedKeys = 64
	// maxReportedKeys bounds the keys in a report. A hot key has at least a few
	// percent of the requests, so there can't be many.
	maxReportedKeys = 16
)

// keyID identifies a key of a service by its hash.
type keyID struct {
	service core.Service
	hash    uint64
}

// loadMeter measures the load of a target between two reports.
type loadMeter struct {
	since, advancedAt core.Instant
	slotTime          time.Duration
	requests          int
	ranges            map[core.RangeID]int
	keys              *estimate.TopKeys[keyID]
}

func newLoadMeter(now core.Instant) loadMeter {
	return loadMeter{
		since: now, advancedAt: now,
		ranges: make(map[core.RangeID]int),
		keys:   estimate.NewTopKeys[keyID](maxTrackedKeys),
	}
}

// count counts a request for the target, and for its range and key.
func (m *loadMeter) count(r core.Request) {
	m.requests++
	if r.Range == (core.RangeID{}) {
		return
	}
	m.ranges[r.Range]++
	if r.KeyHash != 0 {
		m.keys.Add(keyID{service: r.Service, hash: r.KeyHash})
	}
}

// advance adds the slot time used since the last call.
func (m *loadMeter) advance(now core.Instant, used int) {
	m.slotTime += now.Sub(m.advancedAt) * time.Duration(used)
	m.advancedAt = now
}

// load returns the load since the last report once reportInterval has passed.
func (t *target) load(now core.Instant) (core.TargetLoad, bool) {
	m := &t.meter
	period := now.Sub(m.since)
	if period < reportInterval {
		return core.TargetLoad{}, false
	}
	perSecond := func(n int) float64 { return float64(n) / period.Seconds() }
	load := core.TargetLoad{
		Target:            t.id,
		InFlight:          t.slots.used(),
		Queued:            t.queue.length + len(t.held),
		Limit:             min(t.ramp.limit, t.slots.size),
		RequestsPerSecond: perSecond(m.requests),
		Draining:          t.view.Draining,
		Ranges:            make(map[core.RangeID]float64, len(m.ranges)),
	}
	if t.slots.size > 0 {
		load.Utilisation = float64(m.slotTime) / float64(period) / float64(t.slots.size)
	}
	for id, n := range m.ranges {
		load.Ranges[id] = perSecond(n)
	}
	for _, k := range m.keys.Top(maxReportedKeys) {
		load.HotKeys = append(load.HotKeys, core.KeyLoad{Service: k.Key.service, KeyHash: k.Key.hash, RequestsPerSecond: perSecond(int(k.N - k.Error))})
	}
	m.since, m.slotTime, m.requests = now, 0, 0
	clear(m.ranges)
	m.keys.Reset()
	return load, true
}
