package wire

import (
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"celeryhook.example/celeryhook/standin/platform"
	"celeryhook.example/celeryhook/standin/respond"
)

// Store is a log with compacted topics.
type Store struct {
	mu      sync.Mutex
	faults  platform.Faults
	refused map[string]bool
	topics  map[string]*topic
	// changed is closed and replaced with every append.
	changed chan struct{}
	calls   int
}

type topic struct {
	records [][]byte
	// first is the offset of the first kept record.
	first int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: make(map[string]*topic), refused: make(map[string]bool), changed: make(chan struct{})}
}

// SetFaults changes how the store fails.
func (s *Store) SetFaults(f platform.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Refuse turns callers from an IP address away with status 503, or serves them
// again.
func (s *Store) Refuse(ip string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[ip] = on
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a key of a topic as operators and servers do; a nil value deletes.
func (s *Store) Put(name, key string, value []byte) {
	b := append([]byte{byte(len(key))}, key...)
	s.append(name, [][]byte{append(b, value...)}, -1)
}

// Forget drops the history of a topic; the newest record of each key stays.
func (s *Store) Forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = int64(len(t.records))
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// append returns the first offset and whether the topic ended at the given one.
func (s *Store) append(name string, records [][]byte, at int64) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset := int64(len(t.records))
	if at >= 0 && at != offset {
		return offset, false
	}
	t.records = append(t.records, records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, true
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	f, refused := s.faults, s.refused[hostOf(r.RemoteAddr)]
	s.mu.Unlock()
	if f.Down || refused {
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
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	at := int64(-1)
	if q := r.URL.Query().Get("at"); q != "" {
		at, _ = strconv.ParseInt(q, 10, 64)
	}
	offset, ok := s.append(r.URL.Query().Get("topic"), records, at)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		respond.JSON(w, map[string]int64{"endOffset": offset})
		return
	}
	if s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	respond.JSON(w, map[string]int64{"offset": offset, "endOffset": offset + int64(len(records))})
}

func (s *Store) loseAnswer() bool {
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
		t, changed, down := s.topic(q.Get("topic")), s.changed, s.faults.Down
		first, records := t.first, t.records
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from < first:
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

func writeRecords(w io.Writer, first int64, records [][]byte, from int64) {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, uint64(first))
	for _, r := range records[min(from, int64(len(records))):] {
		b = binary.BigEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	_, _ = w.Write(b)
}

// newest is one key of a topic in an answer.
type newest struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// pageSize keeps pages small, so that callers must ask for the next one.
const pageSize = 20

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	state := make(map[string]newest)
	for i, b := range t.records {
		n := 1 + int(b[0])
		key := string(b[1:n])
		if len(b) == n {
			delete(state, key)
			continue
		}
		state[key] = newest{Key: key, Value: b[n:], Offset: int64(i)}
	}
	end := int64(len(t.records))
	s.mu.Unlock()
	items := sorted(state, q.Get("after"))
	more := len(items) > pageSize
	respond.JSON(w, map[string]any{"items": items[:min(len(items), pageSize)], "hasMore": more, "endOffset": end})
}
