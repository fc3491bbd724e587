package wire

import (
	"encoding/binary"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"celeryhook.example/celeryhook/standin/platform"
	"celeryhook.example/celeryhook/standin/respond"
)

// Store is a log with topics of keyed records. The newest record of each key can
// be read also after compaction.
type Store struct {
	mu       sync.Mutex
	faults   platform.Faults
	rejected map[string]bool
	topics   map[string]*topic
	// changed is closed and replaced at every append.
	changed chan struct{}
	calls   int
	// era is 1 and rises with each restore from a backup.
	era int64
}

type topic struct {
	records [][]byte
	// first is the offset of the first record that reads return.
	first int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: make(map[string]*topic), rejected: make(map[string]bool), changed: make(chan struct{}), era: 1}
}

// SetFaults replaces the faults of the store. Only Down, Delay and LoseResponses
// have an effect.
func (s *Store) SetFaults(f platform.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Reject sets whether requests from an IP address are rejected with status 503.
func (s *Store) Reject(ip string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected[ip] = on
}

// Calls returns the number of requests so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key of a topic, as operators and servers do. A nil value deletes
// the key.
func (s *Store) Put(name, key string, value []byte) {
	b := append([]byte{byte(len(key))}, key...)
	s.append(name, [][]byte{append(b, value...)}, -1)
}

// Compact drops the history of a topic, except for the newest record of each
// key.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = int64(len(t.records))
}

// Backup is a copy of a store at some time.
type Backup struct {
	// ends holds the number of records of each topic.
	ends map[string]int
}

// Backup returns a copy of the store.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Backup{ends: make(map[string]int)}
	for name, t := range s.topics {
		b.ends[name] = len(t.records)
	}
	return b
}

// Restore replaces the store by an earlier copy of itself and begins an era. The
// records since then are lost, and their offsets are assigned again. Of the given
// topics, the newest of the lost records of each key are written again, in the order
// of the keys.
func (s *Store) Restore(b Backup, rewritten ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, t := range s.topics {
		end := min(b.ends[name], len(t.records))
		lost := make(map[string][]byte)
		for _, r := range t.records[end:] {
			lost[string(r[:1+int(r[0])])] = r
		}
		t.records = slices.Clone(t.records[:end])
		t.first = min(t.first, int64(len(t.records)))
		if slices.Contains(rewritten, name) {
			for _, key := range slices.Sorted(maps.Keys(lost)) {
				t.records = append(t.records, lost[key])
			}
		}
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// append returns the offset of the first new record and the era. If at is not
// negative and the topic doesn't end there, it appends nothing and returns false.
func (s *Store) append(name string, records [][]byte, at int64) (offset, era int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset = int64(len(t.records))
	if at >= 0 && at != offset {
		return offset, s.era, false
	}
	t.records = append(t.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, s.era, true
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	f, rejected, era := s.faults, s.rejected[hostOf(r.RemoteAddr)], s.era
	s.mu.Unlock()
	w.Header().Set(headerEra, strconv.FormatInt(era, 10))
	if f.Down || rejected {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(f.Delay)
	switch r.URL.Path {
	case "/api/log-append":
		s.serveAppend(w, r)
	case "/api/log-read":
		s.serveRead(w, r)
	case "/api/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 || uint64(binary.BigEndian.Uint32(body)) > uint64(len(body)-4) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := binary.BigEndian.Uint32(body)
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	at := int64(-1)
	if q := r.URL.Query().Get("at"); q != "" {
		at, _ = strconv.ParseInt(q, 10, 64)
	}
	offset, era, ok := s.append(r.URL.Query().Get("topic"), records, at)
	w.Header().Set(headerEra, strconv.FormatInt(era, 10))
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		respond.JSON(w, map[string]int64{"endOffset": offset})
		return
	}
	if s.loseResponse() {
		panic(http.ErrAbortHandler)
	}
	respond.JSON(w, map[string]int64{"offset": offset, "endOffset": offset + int64(len(records))})
}

func (s *Store) loseResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseResponses == 0 {
		return false
	}
	s.faults.LoseResponses--
	return true
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("rangeStart"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		t, changed, down, era := s.topic(q.Get("topic")), s.changed, s.faults.Down, s.era
		first, records := t.first, t.records
		s.mu.Unlock()
		w.Header().Set(headerEra, strconv.FormatInt(era, 10)) // it may have changed while the read was held
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from < first || from > int64(len(records)):
			w.WriteHeader(http.StatusGone)
			respond.JSON(w, map[string]int64{"firstOffset": first})
			return
		case from < int64(len(records)):
			writeRecords(w, first, records, from)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			writeRecords(w, first, records, from)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// maxReadBytes is the default of maxKb.
const maxReadBytes = 1024 << 10

func writeRecords(w io.Writer, first int64, records [][]byte, from int64) {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, uint64(first))
	for _, r := range records[min(from, int64(len(records))):] {
		if len(b) > 16 && len(b)+len(r) > maxReadBytes {
			break // the header tells the reader that more follows
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	_, _ = w.Write(b)
}

// newestRecord is the newest record of a key, as encoded in a response.
type newestRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// pageSize is small, so that clients have to request further pages.
const pageSize = 20

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	state := make(map[string]newestRecord)
	for i, b := range t.records {
		n := 1 + int(b[0])
		key := string(b[1:n])
		if len(b) == n {
			delete(state, key)
			continue
		}
		state[key] = newestRecord{Key: key, Value: b[n:], Offset: int64(i)}
	}
	end := int64(len(t.records))
	w.Header().Set(headerEra, strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	items := sortedAfter(state, q.Get("after"))
	more := len(items) > pageSize
	respond.JSON(w, map[string]any{"items": items[:min(len(items), pageSize)], "hasMore": more, "endOffset": end})
}
