package ownership

import "time"

const (
	// maxFairUtilisation is the utilisation up to which the fast targets of a service
	// take load from the slow ones. Beyond it requests queue, and all targets are
	// needed.
	maxFairUtilisation = 0.8
	// minHeadroom keeps a part of the load at targets that rarely answer in time, so
	// that their speed stays known.
	minHeadroom = 0.1
)

// weighByHeadroom scales the capacities of the candidates by the part of the
// latency objective that a request's own time leaves for queueing and for slow
// requests. Levelling the load then gives a slow target, whose requests miss the
// objective as soon as anything delays them, a smaller part than its slots could
// serve. The higher the total load is, the more of the capacity of the slow targets
// is used.
func weighByHeadroom(candidates []*candidate, objective time.Duration, totalLoad float64) {
	headrooms := make([]float64, len(candidates))
	largest := 0.0
	for i, c := range candidates {
		headrooms[i] = max(minHeadroom, 1-float64(c.serviceTime)/float64(objective))
		largest = max(largest, headrooms[i])
	}
	var capacity, saved float64
	for i, c := range candidates {
		capacity += c.capacity
		saved += c.capacity * (1 - headrooms[i]/largest)
	}
	if saved <= 0 {
		return
	}
	spare := capacity - totalLoad/maxFairUtilisation
	strength := min(max(spare/saved, 0), 1)
	for i, c := range candidates {
		c.capacity *= 1 - strength*(1-headrooms[i]/largest)
	}
}
