package estimate

import (
	"math/bits"
	"time"
)

const (
	// subBuckets is the number of buckets per power of two; a bucket is at most
	// 25% wide.
	subBuckets = 4
	numBuckets = 27 * subBuckets
	// decayInterval is the number of samples after which all counts are halved,
	// so that the quantiles adapt to a change within a few hundred requests.
	decayInterval = 256
	// minSamples is the minimum number of samples for a quantile estimate.
	minSamples = 16
	// meanDivisor is the inverse weight of a new sample in the moving average.
	meanDivisor = 16
)

// Latency estimates the mean and quantiles of recent durations.
type Latency struct {
	mean       time.Duration
	buckets    [numBuckets]uint32
	total      uint32
	sinceDecay uint32
}

// Observe adds a sample.
func (l *Latency) Observe(d time.Duration) {
	if l.mean == 0 {
		l.mean = d
	} else {
		l.mean += (d - l.mean) / meanDivisor
	}
	l.buckets[bucketOf(d)]++
	l.total++
	l.sinceDecay++
	if l.sinceDecay >= decayInterval {
		l.decay()
	}
}

// ObserveAtLeast adds a sample of which only a lower bound is known, such as the
// latency of a cancelled request. It is ignored unless it exceeds the mean.
func (l *Latency) ObserveAtLeast(d time.Duration) {
	if d > l.mean {
		l.Observe(d)
	}
}

// Mean returns the exponential moving average, or 0 before the first sample.
func (l *Latency) Mean() time.Duration { return l.mean }

// Samples returns the number of samples after decay.
func (l *Latency) Samples() int { return int(l.total) }

// Quantile returns the upper bound of the bucket that contains quantile q, or 0
// if there are too few samples.
func (l *Latency) Quantile(q float64) time.Duration {
	if l.total < minSamples {
		return 0
	}
	tail := uint32(float64(l.total) * (1 - q))
	var above uint32
	for i := numBuckets - 1; i >= 0; i-- {
		above += l.buckets[i]
		if above > tail {
			return upperBound(i)
		}
	}
	return 0
}

func (l *Latency) decay() {
	l.total, l.sinceDecay = 0, 0
	for i := range l.buckets {
		l.buckets[i] /= 2
		l.total += l.buckets[i]
	}
}

// bucketOf returns the index of a duration's bucket on a logarithmic scale in
// microseconds.
func bucketOf(d time.Duration) int {
	us := uint64(max(d/time.Microsecond, subBuckets))
	exp := bits.Len64(us) - 1
	sub := int(us>>(exp-2)) - subBuckets
	return min((exp-2)*subBuckets+sub, numBuckets-1)
}

func upperBound(i int) time.Duration {
	exp, sub := i/subBuckets+2, i%subBuckets
	return time.Duration(uint64(subBuckets+sub+1)<<(exp-2)) * time.Microsecond
}
