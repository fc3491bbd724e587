package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testSize = Size{VMs: 5, Targets: 8, Domains: 3}

// Guards against schedules that differ between runs with the same seed, that
// refer to components that don't exist, or that omit kinds of events.
func TestPlan(t *testing.T) {
	is := is.New(t)
	seen := make(map[Kind]bool)
	for seed := range uint64(200) {
		plan := NewPlan(seed, time.Minute, testSize)
		is.Equal(plan, NewPlan(seed, time.Minute, testSize))
		is.True(slices.IsSortedFunc(plan, func(a, b Event) int { return int(a.At - b.At) }))
		for _, e := range plan {
			seen[e.Kind] = true
			is.True(e.Index < testSize.count(e.Kind))
			is.True(e.At >= startupTime && e.At < time.Minute)
			is.True(e.Duration >= shortestEvent && e.Duration <= longestEvent)
		}
	}
	is.Equal(len(seen), len(weights))
}
