package estimate

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a sketch that misses a frequent key or reports a count outside
// its error bounds.
func TestTopKeysBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 8).Draw(t, "limit")
		stream := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 300).Draw(t, "keys")
		top := NewTopKeys[int](limit)
		counts := make(map[int]int)
		for _, k := range stream {
			top.Add(k)
			counts[k]++
		}
		found := make(map[int]bool)
		for _, c := range top.Top(limit) {
			found[c.Key] = true
			if n := uint64(counts[c.Key]); n > c.N || n < c.N-c.Error {
				t.Fatalf("key %d occurred %d times, estimated %d-%d..%d", c.Key, n, c.N, c.Error, c.N)
			}
		}
		for k, n := range counts {
			if n*limit > len(stream) && !found[k] {
				t.Fatalf("key %d is missing: %d of %d with %d counters", k, n, len(stream), limit)
			}
		}
	})
}

// Guards against a p95 that is off by more than a bucket or does not adapt to a
// change in latency.
func TestLatencyQuantile(t *testing.T) {
	is := is.New(t)
	var l Latency
	is.Equal(l.Quantile(0.95), time.Duration(0)) // no samples yet
	for i := range 1000 {
		l.Observe(time.Duration(i%100+1) * time.Millisecond)
	}
	p95 := l.Quantile(0.95)
	is.True(p95 >= 95*time.Millisecond && p95 <= 120*time.Millisecond)
	for range 2000 {
		l.Observe(2 * time.Millisecond)
	}
	is.True(l.Quantile(0.95) <= 3*time.Millisecond)
	is.True(l.Mean() <= 3*time.Millisecond)
}
