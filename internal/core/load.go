package core

// TargetLoad is the load of one target as its front measured it over the last
// reporting interval.
type TargetLoad struct {
	Target   Target
	InFlight int
	Queued   int
	// Limit is the front's current concurrency limit for the target. During a
	// cold start it is smaller than the target's number of slots.
	Limit             int
	RequestsPerSecond float64
	// Utilisation is the fraction of the target's slots in use.
	Utilisation float64
	// Draining is set if the target itself reports that it is shutting down.
	Draining bool
	// Ranges holds the requests per second of the busiest ranges.
	Ranges map[RangeID]float64
	// HotKeys holds the keys with the highest load, in descending order.
	HotKeys []KeyLoad
}

// KeyLoad is the load of one key.
type KeyLoad struct {
	Service           Service
	KeyHash           uint64
	RequestsPerSecond float64
}
