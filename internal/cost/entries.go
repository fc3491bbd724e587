package cost

import "celeryhook.example/celeryhook/internal/core"

// entryKey identifies a value of a feature among the requests of a route.
type entryKey struct {
	route   uint32
	feature Feature
	value   uint64
}

// entry is the state of a value. Entries form a list in the order of their last
// sample.
type entry struct {
	stats
	key        entryKey
	prev, next int32
}

// shrunk returns the statistics of the entry, shrunk towards those of the route
// according to the number of samples.
func (x *entry) shrunk(r *stats) stats {
	w := x.samples / (x.samples + shrinkSamples)
	return stats{
		mean: r.mean + (x.mean-r.mean)*w, spread: r.spread + (x.spread-r.spread)*w, tail: r.tail + (x.tail-r.tail)*w,
		samples: x.samples, seen: x.seen,
	}
}

// entries holds the values of features. The slots of dropped entries are reused.
type entries struct {
	index map[entryKey]int32
	// slots[0] is the head of the ring of entries: its next is the oldest, its prev
	// the newest.
	slots []entry
	free  []int32
}

func (s *entries) len() int { return len(s.index) }

func (s *entries) find(k entryKey) *entry {
	if i, ok := s.index[k]; ok {
		return &s.slots[i]
	}
	return nil
}

// touch returns the entry of a value as the newest. A new one has no samples. The
// result is valid until the next call.
func (s *entries) touch(k entryKey) *entry {
	if s.index == nil {
		s.index, s.slots = make(map[entryKey]int32), make([]entry, 1)
	}
	i, ok := s.index[k]
	if ok {
		s.unlink(i)
	} else {
		i = s.allocate()
		s.slots[i] = entry{key: k}
		s.index[k] = i
	}
	last := s.slots[0].prev
	s.slots[i].prev, s.slots[i].next = last, 0
	s.slots[last].next, s.slots[0].prev = i, i
	return &s.slots[i]
}

func (s *entries) allocate() int32 {
	if n := len(s.free); n > 0 {
		i := s.free[n-1]
		s.free = s.free[:n-1]
		return i
	}
	s.slots = append(s.slots, entry{})
	return int32(len(s.slots) - 1)
}

func (s *entries) unlink(i int32) {
	x := &s.slots[i]
	s.slots[x.prev].next, s.slots[x.next].prev = x.next, x.prev
}

func (s *entries) dropOldest() {
	i := s.slots[0].next
	delete(s.index, s.slots[i].key)
	s.unlink(i)
	s.free = append(s.free, i)
}

// expire drops the entries whose last sample is too old.
func (s *entries) expire(now core.Instant) {
	for len(s.index) > 0 && s.slots[s.slots[0].next].expired(now) {
		s.dropOldest()
	}
}

// trim drops the least recently seen entries beyond a limit.
func (s *entries) trim(limit int) {
	for len(s.index) > limit {
		s.dropOldest()
	}
}
