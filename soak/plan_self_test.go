package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testSize = Size{VMs: 5, Targets: 8, Domains: 3}

// Guards against schedules that can't be repeated, that name parts which don't
// exist, or that leave kinds of events out.
func TestPlan(t *testing.T) {
	is := is.New(t)
	seen := make(map[Kind]bool)
	for seed := range uint64(200) {
		plan := NewPlan(seed, time.Minute, testSize)
		is.Equal(plan, NewPlan(seed, time.Minute, testSize))
		is.True(slices.IsSortedFunc(plan, func(a, b Event) int { return int(a.At - b.At) }))
		for _, e := range plan {
			seen[e.Kind] = true
			is.True(e.Subject < testSize.count(e.Kind))
			is.True(e.At >= settleTime && e.At < time.Minute)
			is.True(e.For >= shortestEvent && e.For <= longestEvent)
		}
	}
	is.Equal(len(seen), len(weights))
}
