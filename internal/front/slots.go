package front

import (
	"cmp"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
)

// slots counts the requests that a target may be running: the reserved and sent
// ones of this front, and lost ones, which may or may not have ended.
type slots struct {
	size     int
	inFlight int
	byRange  map[core.RangeID]int
	lost     []lostCall
}

// lostCall is a request that may still run at the target, because its response
// did not arrive or because an earlier front sent it.
type lostCall struct {
	rangeID core.RangeID
	// foreign is set for a call of an earlier front, which may belong to any
	// range.
	foreign bool
	// since is when the call was last known to run, until when it has certainly
	// ended.
	since, until core.Instant
	// ended is set if the target's count shows that the call no longer occupies
	// a slot.
	ended bool
}

func (s *slots) take(r core.RangeID) {
	if s.byRange == nil {
		s.byRange = make(map[core.RangeID]int)
	}
	s.inFlight++
	s.byRange[r]++
}

func (s *slots) release(r core.RangeID) {
	s.inFlight--
	if s.byRange[r]--; s.byRange[r] == 0 {
		delete(s.byRange, r)
	}
}

func (s *slots) used() int {
	n := s.inFlight
	for _, l := range s.lost {
		if !l.ended {
			n++
		}
	}
	return n
}

// addLost counts a released request as running until it has certainly ended.
func (s *slots) addLost(now core.Instant, r core.RangeID, until core.Instant) {
	if now.Before(until) {
		s.lost = append(s.lost, lostCall{rangeID: r, since: now, until: until})
	}
}

// addForeign adds n requests that the target runs for an earlier front.
func (s *slots) addForeign(n int, until, since core.Instant) {
	for range max(n, 0) {
		s.lost = append(s.lost, lostCall{foreign: true, since: since, until: until})
	}
}

// applyReportedCount takes the target's own count n, which was read after sent.
// At most n of the calls lost before then can still run. It isn't known which,
// so the n calls with the latest end keep their slots, and no range with lost
// calls counts as idle until the count is 0.
func (s *slots) applyReportedCount(n int, sent core.Instant) {
	slices.SortStableFunc(s.lost, func(a, b lostCall) int { return cmp.Compare(b.until, a.until) })
	older := 0
	for i := range s.lost {
		if l := &s.lost[i]; !l.ended && !l.since.After(sent) {
			older++
			l.ended = older > n
		}
	}
	if n == 0 {
		s.lost = slices.DeleteFunc(s.lost, func(l lostCall) bool { return l.ended })
	}
}

func (s *slots) clearLost() { s.lost = nil }

// expire drops lost calls that have certainly ended.
func (s *slots) expire(now core.Instant) {
	kept := s.lost[:0]
	for _, l := range s.lost {
		if now.Before(l.until) {
			kept = append(kept, l)
		}
	}
	s.lost = kept
}

// idle reports whether no request of a range can be running.
func (s *slots) idle(r core.RangeID) bool {
	if s.byRange[r] > 0 {
		return false
	}
	for _, l := range s.lost {
		if l.foreign || l.rangeID == r {
			return false
		}
	}
	return true
}
