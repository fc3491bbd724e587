package witness

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// Entry is a record in a store.
type Entry struct {
	Record Record
	at     core.Instant
	gone   bool
}

// Store keeps records for a time, bounded in number and in bytes of stored
// responses. An id is never dropped early, since a forgotten id could run
// twice; responses are dropped oldest first.
type Store struct {
	maxRecords int
	maxBytes   int
	entries    map[Key]*Entry
	// order holds the entries from the oldest to the newest; responses of
	// entries before stripped have been dropped.
	order    []*Entry
	stripped int
	bytes    int
}

// NewStore returns an empty store.
func NewStore(maxRecords, maxBytes int) *Store {
	return &Store{maxRecords: maxRecords, maxBytes: maxBytes, entries: make(map[Key]*Entry)}
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.entries) }

// Full reports whether no further id can be stored.
func (s *Store) Full() bool { return len(s.entries) >= s.maxRecords }

// Get returns a record, or nil.
func (s *Store) Get(k Key) *Record {
	if e := s.entries[k]; e != nil {
		return &e.Record
	}
	return nil
}

// Put adds a record or merges it into the one with its key: what says more
// stays. It returns false if the store is full.
func (s *Store) Put(now core.Instant, r Record) bool {
	e := s.entries[r.Key()]
	if e == nil {
		if s.Full() {
			return false
		}
		e = &Entry{Record: r, at: now.Add(-r.Age)}
		s.entries[r.Key()] = e
		s.order = append(s.order, e)
		s.bytes += r.Response.size()
		s.strip()
		return true
	}
	if r.Flow != e.Record.Flow {
		e.Record.Flow = 0
	}
	e.Record.Attempt = max(e.Record.Attempt, r.Attempt)
	if r.State.rank() < e.Record.State.rank() {
		return true
	}
	e.Record.State = r.State
	if r.Response != nil && e.Record.Response == nil {
		e.Record.Response = r.Response
		s.bytes += r.Response.size()
		s.strip()
	}
	return true
}

// Forget removes the record of a request that is proven not to have run.
func (s *Store) Forget(k Key) {
	e := s.entries[k]
	if e == nil {
		return
	}
	delete(s.entries, k)
	s.bytes -= e.Record.Response.size()
	e.Record.Response = nil
	e.gone = true
}

// strip drops the oldest responses until the rest fits.
func (s *Store) strip() {
	for s.bytes > s.maxBytes && s.stripped < len(s.order) {
		e := s.order[s.stripped]
		s.bytes -= e.Record.Response.size()
		e.Record.Response = nil
		s.stripped++
	}
}

// Expire forgets records older than keep.
func (s *Store) Expire(now core.Instant, keep time.Duration) {
	n := 0
	for n < len(s.order) && (s.order[n].gone || now.Sub(s.order[n].at) >= keep) {
		e := s.order[n]
		if !e.gone {
			s.Forget(e.Record.Key())
		}
		s.order[n] = nil
		n++
	}
	s.order = s.order[n:]
	s.stripped = max(s.stripped-n, 0)
}

// Aged returns a copy of a record with its present age.
func (s *Store) Aged(now core.Instant, k Key) (Record, bool) {
	e := s.entries[k]
	if e == nil {
		return Record{}, false
	}
	r := e.Record
	r.Age = now.Sub(e.at)
	return r, true
}

// Keys returns the keys of the records for whose ranges match reports true,
// the oldest first.
func (s *Store) Keys(match func(core.RangeID) bool) []Key {
	var out []Key
	for _, e := range s.order {
		if !e.gone && match(e.Record.Range) {
			out = append(out, e.Record.Key())
		}
	}
	return out
}

// Select returns copies of the records for whose ranges match reports true,
// the oldest first.
func (s *Store) Select(now core.Instant, match func(core.RangeID) bool) []Record {
	var out []Record
	for _, e := range s.order {
		if !e.gone && match(e.Record.Range) {
			r := e.Record
			r.Age = now.Sub(e.at)
			out = append(out, r)
		}
	}
	return out
}
