package estimate

import (
	"math/bits"
	"time"
)

const (
	// subBuckets divides each power of two, so that a bucket is at most 25% wide.
	subBuckets = 4
	numBuckets = 27 * subBuckets
	// decayAfter is the number of samples after which all counts are halved, so
	// that the quantiles follow a change within a few hundred requests.
	decayAfter = 256
	// minSamples is the least number of samples for which a quantile is given.
	minSamples = 16
	// meanShare is the weight of a new sample in the moving average, as 1/n.
	meanShare = 16
)

// Latency estimates the mean and quantiles of recent durations.
type Latency struct {
	mean    time.Duration
	buckets [numBuckets]uint32
	total   uint32
	fresh   uint32
}

// Observe adds a sample.
func (l *Latency) Observe(d time.Duration) {
	if l.mean == 0 {
		l.mean = d
	} else {
		l.mean += (d - l.mean) / meanShare
	}
	l.buckets[bucketOf(d)]++
	l.total++
	l.fresh++
	if l.fresh >= decayAfter {
		l.decay()
	}
}

// AtLeast adds a sample of which only a lower bound is known, such as the
// latency of a request that was cancelled. It never lowers the estimates.
func (l *Latency) AtLeast(d time.Duration) {
	if d > l.mean {
		l.Observe(d)
	}
}

// Mean returns the moving average, 0 before the first sample.
func (l *Latency) Mean() time.Duration { return l.mean }

// Samples returns the decayed number of samples.
func (l *Latency) Samples() int { return int(l.total) }

// Quantile returns the upper bound of the bucket that holds quantile q, or 0
// while there are too few samples.
func (l *Latency) Quantile(q float64) time.Duration {
	if l.total < minSamples {
		return 0
	}
	rest := uint32(float64(l.total) * (1 - q))
	var above uint32
	for i := numBuckets - 1; i >= 0; i-- {
		above += l.buckets[i]
		if above > rest {
			return upperBound(i)
		}
	}
	return 0
}

func (l *Latency) decay() {
	l.total, l.fresh = 0, 0
	for i := range l.buckets {
		l.buckets[i] /= 2
		l.total += l.buckets[i]
	}
}

// bucketOf returns the bucket of a duration: logarithmic in microseconds.
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
