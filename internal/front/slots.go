package front

import (
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

func (s *slots) used() int { return s.own + len(s.lost) }

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
// before, no more than that can still run.
func (s *slots) reported(n int, sent core.Instant) {
	kept := s.lost[:0]
	older := 0
	for _, l := range s.lost {
		if !l.since.After(sent) {
			if older++; older > n {
				continue
			}
		}
		kept = append(kept, l)
	}
	s.lost = kept
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
