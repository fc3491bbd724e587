package witness

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// entry is a record in a store.
type entry struct {
	Record   Record
	storedAt core.Instant
	deleted  bool
}

// Store keeps records until they expire, bounded in number and in bytes of
// stored responses. To make room it drops the oldest responses, but never an
// id, since a request without a record could run twice.
type Store struct {
	maxRecords       int
	maxResponseBytes int
	entries          map[Key]*entry
	// order holds the entries from the oldest to the newest. The responses of
	// the first responsesDropped entries have been dropped.
	order            []*entry
	responsesDropped int
	responseBytes    int
}

// NewStore returns an empty store.
func NewStore(maxRecords, maxResponseBytes int) *Store {
	return &Store{maxRecords: maxRecords, maxResponseBytes: maxResponseBytes, entries: make(map[Key]*entry)}
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

// Put adds a record, or merges it into the one with the same key, keeping the
// state with the higher precedence. It returns false if the store is full.
func (s *Store) Put(now core.Instant, r Record) bool {
	e := s.entries[r.Key()]
	if e == nil {
		if s.Full() {
			return false
		}
		e = &entry{Record: r, storedAt: now.Add(-r.Age)}
		s.entries[r.Key()] = e
		s.order = append(s.order, e)
		s.responseBytes += r.Response.size()
		s.dropResponses()
		return true
	}
	if r.Flow != e.Record.Flow {
		e.Record.Flow = 0
	}
	e.Record.Attempt = max(e.Record.Attempt, r.Attempt)
	if r.State.precedence() < e.Record.State.precedence() {
		return true
	}
	e.Record.State = r.State
	if r.Response != nil && e.Record.Response == nil {
		e.Record.Response = r.Response
		s.responseBytes += r.Response.size()
		s.dropResponses()
	}
	return true
}

// Delete removes the record of a request that is proven not to have run.
func (s *Store) Delete(k Key) {
	e := s.entries[k]
	if e == nil {
		return
	}
	delete(s.entries, k)
	s.responseBytes -= e.Record.Response.size()
	e.Record.Response = nil
	e.deleted = true
}

// dropResponses drops the oldest responses until the rest fits.
func (s *Store) dropResponses() {
	for s.responseBytes > s.maxResponseBytes && s.responsesDropped < len(s.order) {
		e := s.order[s.responsesDropped]
		s.responseBytes -= e.Record.Response.size()
		e.Record.Response = nil
		s.responsesDropped++
	}
}

// Expire deletes records that have reached the age of retention.
func (s *Store) Expire(now core.Instant, retention time.Duration) {
	n := 0
	for n < len(s.order) && (s.order[n].deleted || now.Sub(s.order[n].storedAt) >= retention) {
		e := s.order[n]
		if !e.deleted {
			s.Delete(e.Record.Key())
		}
		s.order[n] = nil
		n++
	}
	s.order = s.order[n:]
	s.responsesDropped = max(s.responsesDropped-n, 0)
}

// GetWithAge returns a copy of a record with its current age.
func (s *Store) GetWithAge(now core.Instant, k Key) (Record, bool) {
	e := s.entries[k]
	if e == nil {
		return Record{}, false
	}
	r := e.Record
	r.Age = now.Sub(e.storedAt)
	return r, true
}

// Keys returns the keys of the records whose range matches, oldest first.
func (s *Store) Keys(match func(core.RangeID) bool) []Key {
	var out []Key
	for _, e := range s.order {
		if !e.deleted && match(e.Record.Range) {
			out = append(out, e.Record.Key())
		}
	}
	return out
}

// Select returns copies of the records whose range matches, oldest first.
func (s *Store) Select(now core.Instant, match func(core.RangeID) bool) []Record {
	var out []Record
	for _, e := range s.order {
		if !e.deleted && match(e.Record.Range) {
			r := e.Record
			r.Age = now.Sub(e.storedAt)
			out = append(out, r)
		}
	}
	return out
}
