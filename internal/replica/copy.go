package replica

import (
	"sort"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// rewriteTime is how long after the store was restored from an older copy keys
// that it lacks are kept. Operators and targets write again what was lost; targets
// are given about two seconds for it.
const rewriteTime = 3 * time.Second

// Copy holds the newest known record of each key of the streams. Deleted keys
// are kept with their offset, so that the deletion reaches followers.
type Copy struct {
	streams [NumStreams]stream
}

type stream struct {
	records map[string]Record
	next    int64
	asOf    core.Instant
	known   bool
	// eraSince is when the era of next was first seen.
	eraSince core.Instant
}

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	c := &Copy{}
	for i := range c.streams {
		c.streams[i].records = make(map[string]Record)
	}
	return c
}

// Apply adds a batch and returns the records that changed, in order of offset.
func (c *Copy) Apply(b Batch) []Record {
	s := &c.streams[b.Stream]
	if !s.known || Era(b.Next) > Era(s.next) {
		s.eraSince = b.AsOf
	}
	var changed []Record
	seen := make(map[string]bool)
	for _, r := range b.Records {
		if b.Complete {
			seen[r.Key] = true
		}
		if old, ok := s.records[r.Key]; ok && old.Offset >= r.Offset {
			continue
		}
		s.records[r.Key] = r
		changed = append(changed, r)
	}
	if b.Complete {
		changed = append(changed, s.deleteMissing(seen, b)...)
	}
	if b.Next > s.next {
		s.next = b.Next
	}
	if b.Next >= s.next && (!s.known || b.AsOf.After(s.asOf)) {
		s.asOf = b.AsOf
	}
	s.known = true
	sort.Slice(changed, func(i, j int) bool { return changed[i].Offset < changed[j].Offset })
	return changed
}

// deleteMissing marks the keys that a complete batch lacks as deleted and returns
// their records. Keys of an earlier era stay until what the store has lost can have
// been written again.
func (s *stream) deleteMissing(seen map[string]bool, b Batch) []Record {
	var deleted []Record
	for key, old := range s.records {
		if seen[key] || old.Deleted || old.Offset >= b.Next {
			continue
		}
		if Era(old.Offset) < Era(b.Next) && b.AsOf.Sub(s.eraSince) < rewriteTime {
			continue
		}
		r := Record{Key: key, Offset: b.Next - 1, Deleted: true}
		s.records[key] = r
		deleted = append(deleted, r)
	}
	return deleted
}

// Since returns the records with at least the given offset, in order of offset.
func (c *Copy) Since(s Stream, next int64) []Record {
	var out []Record
	for _, r := range c.streams[s].records {
		if r.Offset >= next {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Offset < out[j].Offset })
	return out
}

// Next returns the offset after the last record of a stream in the copy.
func (c *Copy) Next(s Stream) int64 { return c.streams[s].next }

// AsOf returns the latest time at which the copy of a stream was known to be
// current, and false if the stream was never read.
func (c *Copy) AsOf(s Stream) (core.Instant, bool) { return c.streams[s].asOf, c.streams[s].known }
