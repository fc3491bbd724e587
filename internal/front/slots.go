package front

import (
	"cmp"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
)

// slots counts the requests that a target may be running: those of this front
// that are reserved or sent, and lost ones, whose end is not known.
type slots struct {
	size    int
	own     int
	byRange map[core.RangeID]int
	lost    []lostCall
}

// lostCall is a request that may still run at the target: one whose response
// did not arrive, or one that an earlier front sent.
type lostCall struct {
	rangeID core.RangeID
	// foreign calls may belong to any range.
	foreign bool
	// since is when the call was known to run, until when it has ended for sure.
	since, until core.Instant
	// ended is set if the target's count shows that this many fewer run.
	ended bool
}

func (s *slots) take(r core.RangeID) {
	if s.byRange == nil {
		s.byRange = make(map[core.RangeID]int)
	}
	s.own++
	s.byRange[r]++
}

func (s *slots) release(r core.RangeID) {
	s.own--
	if s.byRange[r]--; s.byRange[r] == 0 {
		delete(s.byRange, r)
	}
}

func (s *slots) used() int {
	n := s.own
	for _, l := range s.lost {
		if !l.ended {
			n++
		}
	}
	return n
}

// lose counts a released request on until its end is certain.
func (s *slots) lose(now core.Instant, r core.RangeID, until core.Instant) {
	if now.Before(until) {
		s.lost = append(s.lost, lostCall{rangeID: r, since: now, until: until})
	}
}

// foreign counts what the target runs for an earlier front.
func (s *slots) foreign(n int, until, since core.Instant) {
	for range max(n, 0) {
		s.lost = append(s.lost, lostCall{foreign: true, since: since, until: until})
	}
}

// reported takes the target's own count, read after sent: of the calls lost
// before, no more than that can still run. It isn't known which have ended, so
// the slots of those that may run longest stay taken, and no range counts as
// idle before the count is 0.
func (s *slots) reported(n int, sent core.Instant) {
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

func (s *slots) forgetLost() { s.lost = nil }

// expire drops lost calls that have ended for sure.
func (s *slots) expire(now core.Instant) {
	kept := s.lost[:0]
	for _, l := range s.lost {
		if now.Before(l.until) {
			kept = append(kept, l)
		}
	}
	s.lost = kept
}

// idle reports whether nothing of a range can be running.
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
