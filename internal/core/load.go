package core

// TargetLoad is what a front measured of one target over the last interval.
type TargetLoad struct {
	Target   Target
	InFlight int
	Queued   int
	// Limit is how many requests the front sends at a time at present; it is
	// smaller than the target's slots during a cold start.
	Limit             int
	RequestsPerSecond float64
	// Utilisation is the share of the target's slots that were in use.
	Utilisation float64
	// Draining is set if the target itself reports that it is leaving.
	Draining bool
	// Ranges holds the requests a second of the busiest ranges.
	Ranges map[RangeID]float64
	// HotKeys are the busiest keys, busiest first.
	HotKeys []KeyLoad
}

// KeyLoad is the load of one key.
type KeyLoad struct {
	Service           Service
	KeyHash           uint64
	RequestsPerSecond float64
}
