package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"celeryhook.example/celeryhook/standin/wire"
)

// world is everything outside the system: the store, the servers and the callers.
// It records what is sent, answered and run.
type world struct {
	store *wire.Store

	mu      sync.Mutex
	start   time.Time
	out     *os.File
	servers []*server
	// broken holds the violations that were seen.
	broken []string
	// last holds, for each key, the highest fencing token and the process that had it.
	last [keyCount]lastHolder
	// began holds when servers began requests on keys that another server held too.
	began  map[began]time.Time
	counts map[string]int
	// passedOn holds the servers that requests reached, and lostBy how many of those
	// on kept connections a machine left without an answer.
	passedOn map[string]*server
	lostBy   map[*gateway]int
	// reported holds the work that a violation was recorded for.
	reported map[*work]bool
	// staleToken holds the servers that took a key with a token that isn't high enough.
	staleToken map[*server]bool
}

type lastHolder struct {
	fence int64
	by    *server
}

func newWorld(record string) (*world, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &world{store: wire.NewStore(), start: time.Now(), out: out, counts: make(map[string]int), began: make(map[began]time.Time), passedOn: make(map[string]*server), lostBy: make(map[*gateway]int), reported: make(map[*work]bool), staleToken: make(map[*server]bool)}, nil
}

func (w *world) add(s *server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = append(w.servers, s)
}

func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(format, args...)
}

// write must be called with the lock held.
func (w *world) write(format string, args ...any) {
	fmt.Fprintf(w.out, "%8.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule was broken. The lock must be held.
func (w *world) violation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.write("BROKEN: %s", text)
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

// granted checks a grant that a server has accepted: nobody else may hold one of
// the keys, or be at work on one before its hold would have run out, and the token
// has to be above all with which others had a key. The lock must be held.
func (w *world) granted(s *server, o order, renewed bool) {
	w.counts["grants accepted"]++
	if !renewed {
		w.write("server %s takes keys %d to %d with token %d for %s", s.id, o.From, o.To, o.Fence, o.Hold)
	}
	now := time.Now()
	for _, other := range w.servers {
		if other == s {
			continue
		}
		other.mu.Lock()
		if !other.stopped {
			held := 0
			for k := o.From; k <= o.To; k++ {
				if now.Before(other.holds[k].until) {
					held++
				}
			}
			if held > 0 {
				w.write("server %s takes keys %d to %d with token %d, %d of which %s still holds", s.id, o.From, o.To, o.Fence, held, other.id)
				go w.checkHeldLong(s, other, o)
			}
			for busy := range other.running {
				if busy.key >= o.From && busy.key <= o.To && now.Before(other.releasedUntil[busy.key]) && !w.reported[busy] {
					w.reported[busy] = true
					w.violation("OWNER: %s is given key %d with token %d, on which %s is still at work on request %s; its hold would have run out %d ms later",
						s.id, busy.key, o.Fence, other.id, busy.id, other.releasedUntil[busy.key].Sub(now).Milliseconds())
				}
			}
		}
		other.mu.Unlock()
	}
	stale := 0
	var by lastHolder
	for k := o.From; k <= o.To; k++ {
		if l := w.last[k]; l.by != nil && l.by != s && l.fence >= o.Fence {
			stale, by = stale+1, l
		}
		if o.Fence >= w.last[k].fence {
			w.last[k] = lastHolder{fence: o.Fence, by: s}
		}
	}
	if stale > 0 && !w.staleToken[s] {
		w.staleToken[s] = true
		w.violation("OWNER: %s (born %d) takes %d keys of %d to %d with token %d, with which %s (born %d) had them (token %d)",
			s.id, s.startedAt.UnixMilli(), stale, o.From, o.To, o.Fence, by.by.id, by.by.startedAt.UnixMilli(), by.fence)
	}
}

// maxBothHold is how long two servers may hold the same keys.
const maxBothHold = 500 * time.Millisecond

// checkHeldLong checks that two servers stop holding the same keys in time.
func (w *world) checkHeldLong(a, b *server, o order) {
	first := time.Now()
	for time.Since(first) <= maxBothHold {
		if a.isStopped() || b.isStopped() || !bothHold(a, b, o) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violation("OWNER: %s and %s hold keys of %d to %d for over %v", a.id, b.id, o.From, o.To, maxBothHold)
}

func bothHold(a, b *server, o order) bool {
	for k := o.From; k <= o.To; k++ {
		if a.holdsKey(k) && b.holdsKey(k) {
			return true
		}
	}
	return false
}

// checkBothBegin checks that no two servers begin requests on a key that both hold.
// The lock must be held.
func (w *world) checkBothBegin(s *server, key int) {
	for _, other := range w.servers {
		if other == s || other.isStopped() || !other.holdsKey(key) {
			continue
		}
		w.began[began{s, key}] = time.Now()
		if at, ok := w.began[began{other, key}]; ok {
			w.violation("OWNER: %s begins a request on key %d, which %s holds and on which it began one %d ms before", s.id, key, other.id, time.Since(at).Milliseconds())
		}
	}
}

// noteBothAtWork records that a server begins a request on a key on which another one
// is still at work. It is what a broken hand-over leads to, and no rule of its own.
func (w *world) noteBothAtWork(s *server, k *work) {
	for _, other := range w.servers {
		if other == s {
			continue
		}
		other.mu.Lock()
		for busy := range other.running {
			if busy.key == k.key && !other.stopped {
				w.write("server %s begins %s on key %d while %s is still at work on %s", s.id, k.id, k.key, other.id, busy.id)
				w.counts["requests begun on a key on which another server was at work"]++
			}
		}
		other.mu.Unlock()
	}
}

type began struct {
	by  *server
	key int
}

func (w *world) begun(s *server, k *work, r *http.Request, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts["requests begun"]++
	w.passedOn[k.id] = s
	if k.key >= 0 {
		w.checkBothBegin(s, k.key)
		w.noteBothAtWork(s, k)
	}
	if w.counts["requests begun"] <= maxRecorded {
		w.write("server %s runs %s (%s %s, key %d, %d bytes)", s.id, k.id, r.Method, r.RequestURI, k.key, len(body))
	}
}

func (w *world) ended(s *server, k *work, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.counts["requests begun"] <= maxRecorded || cut {
		w.write("server %s ends %s, cut %v", s.id, k.id, cut)
	}
}

// maxRecorded bounds the requests that are recorded one by one.
const maxRecorded = 3000
