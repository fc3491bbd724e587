package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keyCount = 65536
	// heartbeat is the time between two registrations of a server.
	heartbeat = 870 * time.Millisecond
	// maxConns is how many connections a server accepts from all callers together.
	maxConns = 110
	// queueLength is how many requests a server queues beyond its slots.
	queueLength = 24
)

// hold is what a server knows of a key.
type hold struct {
	fence int64
	until time.Time
}

// work is a request that a server runs.
type work struct {
	id  string
	key int
	// stop is closed when the caller's connection ends.
	stop chan struct{}
}

// server is a stand-in for a server of a service. It writes its responses
// itself, so that it can also write wrong ones.
type server struct {
	id, service, zone string
	slots             int
	sharded           bool
	coldTime          time.Duration
	world             *world
	listener          net.Listener
	address           string
	startedAt         time.Time
	// trouble decides on wrong responses; nil means none.
	trouble *trouble

	mu       sync.Mutex
	state    string
	sequence int
	holds    [keyCount]hold
	// releasedUntil is when the hold of a key that was released would have run out.
	releasedUntil [keyCount]time.Time
	running       map[*work]bool
	free          chan struct{}
	waiting       int
	answers       int
	conns         map[net.Conn]bool
	stopped       bool
}

func startServer(w *world, id, service, zone, listen string, slots int, sharded bool, cold time.Duration, t *trouble) (*server, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", id, err)
	}
	s := &server{
		id: id, service: service, zone: zone, slots: slots, sharded: sharded, coldTime: cold, world: w, listener: l,
		address: l.Addr().String(), startedAt: time.Now(), trouble: t, state: "ready",
		running: make(map[*work]bool), free: make(chan struct{}, slots), conns: make(map[net.Conn]bool),
	}
	w.add(s)
	go s.accept()
	return s, nil
}

// registerEvery registers the server until it is stopped, as often as the pages
// say.
func (s *server) registerEvery() {
	for {
		s.mu.Lock()
		stopped, state := s.stopped, s.state
		s.mu.Unlock()
		if stopped || state == "removed" {
			return
		}
		s.register()
		time.Sleep(heartbeat)
	}
}

func (s *server) register() {
	s.mu.Lock()
	s.sequence++
	entry, err := json.Marshal(map[string]any{
		"address": s.address, "born": s.startedAt.UnixMilli(),
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": s.state, "sequence": s.sequence, "coldLeft": milliseconds(s.cold())},
	})
	s.mu.Unlock()
	if err == nil {
		s.world.store.Put("keyed.servers", s.id, entry)
	}
}

func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.world.record("server %s reports that it is draining", s.id)
	s.register()
}

// stop ends the server as a crash does: all connections end at once.
func (s *server) stop() {
	s.mu.Lock()
	s.stopped = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.world.record("server %s (born %d) has ended", s.id, s.startedAt.UnixMilli())
}

func (s *server) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

func (s *server) cold() time.Duration {
	return max(0, s.coldTime-time.Since(s.startedAt)).Round(time.Millisecond)
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.stopped {
			s.mu.Unlock()
			_ = c.Close()
			return
		}
		if len(s.conns) >= maxConns {
			s.mu.Unlock()
			reset(c)
			continue
		}
		s.conns[c] = true
		s.mu.Unlock()
		go func() {
			s.serve(&exchange{server: s, conn: c})
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
			_ = c.Close()
		}()
	}
}

// exchange is a connection of a caller.
type exchange struct {
	server *server
	conn   net.Conn
	// lastOrder is the last complete response to an order on the connection.
	lastOrder []byte
}

type input struct {
	request *http.Request
	body    []byte
	err     error
}

// serve serves one request at a time and notices while it runs one that the
// caller has closed the connection.
func (s *server) serve(x *exchange) {
	inputs, done := make(chan input), make(chan struct{})
	defer close(done)
	go func() {
		r := bufio.NewReader(x.conn)
		for {
			var in input
			if in.request, in.err = http.ReadRequest(r); in.err == nil {
				in.body, in.err = io.ReadAll(in.request.Body)
			}
			select {
			case inputs <- in:
			case <-done:
				return
			}
			if in.err != nil {
				return
			}
		}
	}()
	closed := make(chan struct{})
	var pending *input
	next := func() (input, bool) {
		if pending != nil {
			in := *pending
			pending = nil
			return in, in.err == nil
		}
		in := <-inputs
		return in, in.err == nil
	}
	for {
		in, ok := next()
		if !ok {
			return
		}
		finished := make(chan []byte, 1)
		go func() { finished <- s.respond(x, in.request, in.body, closed) }()
		var out []byte
		select {
		case out = <-finished:
		case early := <-inputs:
			if early.err != nil {
				close(closed)
				<-finished
				return
			}
			pending = &early
			out = <-finished
		}
		if out == nil {
			return
		}
		if _, err := x.conn.Write(out); err != nil || bytes.Contains(out, []byte(leavingHeaders)) {
			return
		}
	}
}

// respond returns the bytes of the response, or nil to close the connection.
func (s *server) respond(x *exchange, r *http.Request, body []byte, closed chan struct{}) []byte {
	s.mu.Lock()
	s.answers++
	s.mu.Unlock()
	if expect := r.Header.Get("Celeryhook-Expect-Instance"); expect != "" && expect != s.id {
		return s.response(http.StatusMisdirectedRequest, http.Header{"Celeryhook-Instance-Id": {s.id}}, nil)
	}
	switch r.URL.Path {
	case "/health":
		h := http.Header{"Celeryhook-Instance-Id": {s.id}, "Celeryhook-Server-Load": {s.load()}}
		if cold := s.cold(); cold > 0 {
			h.Set("Celeryhook-Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		}
		status := http.StatusOK
		if s.leaving() {
			status = http.StatusServiceUnavailable
		}
		return s.response(status, h, nil)
	case "/api/grant", "/api/release":
		return s.respondToOrder(x, r, body)
	}
	return s.run(r, body, closed)
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", len(s.running), s.waiting, s.slots)
}

type order struct {
	From  int    `json:"rangeStart"`
	To    int    `json:"target"`
	Fence int64  `json:"fence"`
	Hold  string `json:"hold_time"`
}

func (s *server) respondToOrder(x *exchange, r *http.Request, body []byte) []byte {
	var o order
	if err := json.Unmarshal(body, &o); err != nil || o.From < 0 || o.From > o.To || o.To >= keyCount {
		return s.response(http.StatusBadRequest, nil, nil)
	}
	if r.URL.Path == "/api/grant" {
		out := s.response(s.grant(o), nil, nil)
		x.lastOrder = out
		return out
	}
	busy := s.release(o)
	s.world.record("server %s is to release keys %d to %d (token %d), %d requests on them are running", s.id, o.From, o.To, o.Fence, len(busy))
	if s.trouble != nil {
		s.trouble.onRelease(x, o, busy)
	}
	for _, w := range busy {
		for s.runs(w) {
			time.Sleep(time.Millisecond)
		}
	}
	if len(busy) > 0 {
		s.world.record("server %s has ended its work on keys %d to %d and answers the release", s.id, o.From, o.To)
	}
	out := s.response(http.StatusOK, http.Header{"Celeryhook-Handover": {fmt.Sprintf("%s-%d-%d", s.id, o.From, o.Fence)}}, nil)
	x.lastOrder = out
	return out
}

func (s *server) runs(w *work) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[w]
}

func (s *server) grant(o order) int {
	duration, err := time.ParseDuration(o.Hold)
	if err != nil || duration > 10*time.Second {
		return http.StatusBadRequest
	}
	// The check sees grants in the order in which they take effect.
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	renewed, ok := s.take(o, duration)
	if !ok {
		return http.StatusConflict
	}
	s.world.granted(s, o, renewed)
	return http.StatusOK
}

// take takes the keys of a grant. It reports whether the server had all of them with
// the same token before, and false if it has seen a higher one.
func (s *server) take(o order, duration time.Duration) (renewed, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		if s.holds[k].fence > o.Fence {
			return false, false
		}
	}
	renewed = true
	until := time.Now().Add(duration)
	for k := o.From; k <= o.To; k++ {
		renewed = renewed && s.holds[k].fence == o.Fence
		s.holds[k] = hold{fence: o.Fence, until: until}
	}
	return renewed, true
}

// release stops new work on keys and returns the work on them that is still
// running.
func (s *server) release(o order) []*work {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		if until := s.holds[k].until; until.After(time.Now()) {
			s.releasedUntil[k] = until
		}
		s.holds[k] = hold{fence: max(s.holds[k].fence, o.Fence)}
	}
	var busy []*work
	for w := range s.running {
		if w.key >= o.From && w.key <= o.To {
			busy = append(busy, w)
		}
	}
	return busy
}

func (s *server) run(r *http.Request, body []byte, closed chan struct{}) []byte {
	id := r.Header.Get("Celeryhook-Request-Id")
	head := http.Header{"Celeryhook-Request-Id": {id}}
	notRun := func(status int) []byte {
		head.Set("Celeryhook-Not-Executed", "1")
		return s.response(status, head, nil)
	}
	if id == "" {
		return notRun(http.StatusBadRequest)
	}
	deadline := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("Celeryhook-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	end := time.Now().Add(deadline)
	key := -1
	if s.sharded {
		var err error
		if key, err = strconv.Atoi(r.Header.Get("Celeryhook-Shard-Key")); err != nil || !s.holdsKey(key) {
			return notRun(http.StatusMisdirectedRequest)
		}
	}
	s.mu.Lock()
	if s.waiting >= queueLength {
		s.mu.Unlock()
		return notRun(http.StatusServiceUnavailable)
	}
	s.waiting++
	s.mu.Unlock()
	inTime := false
	select {
	case s.free <- struct{}{}:
		inTime = true
		defer func() { <-s.free }()
	case <-closed:
	case <-time.After(time.Until(end)):
	}
	w := &work{id: id, key: key, stop: closed}
	s.mu.Lock()
	s.waiting--
	started := inTime && (key < 0 || time.Now().Before(s.holds[key].until))
	if started {
		s.running[w] = true
	}
	s.mu.Unlock()
	switch {
	case !inTime:
		return notRun(http.StatusServiceUnavailable)
	case !started:
		return notRun(http.StatusMisdirectedRequest)
	}
	s.world.begun(s, w, r, body)
	cut := false
	select {
	case <-time.After(workTime(r.URL.Path)):
	case <-closed:
		cut = true
	case <-time.After(time.Until(end)):
		cut = true
	}
	s.mu.Lock()
	delete(s.running, w)
	s.mu.Unlock()
	s.world.ended(s, w, cut)
	head.Set("Celeryhook-Server-Stamp", s.id+"."+id)
	if cut {
		return s.response(http.StatusGatewayTimeout, head, nil)
	}
	head.Set("Celeryhook-Server-Load", s.load())
	return s.response(http.StatusOK, head, []byte("answer of "+s.id+" to "+id+"\n"))
}

func (s *server) holdsKey(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return key >= 0 && key < keyCount && time.Now().Before(s.holds[key].until)
}

// workTime is how long a request takes. The path names it in milliseconds, as in
// /desk/300/x.
func workTime(path string) time.Duration {
	parts := strings.Split(path, "/")
	if len(parts) > 2 {
		if ms, err := strconv.Atoi(parts[2]); err == nil {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 10 * time.Millisecond
}

// response returns the bytes of a response. A server that leaves says so in all of
// them, and closes the connection.
func (s *server) response(status int, h http.Header, body []byte) []byte {
	var b strings.Builder
	leaving := ""
	if s.leaving() {
		leaving = leavingHeaders
	}
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if h != nil {
		_ = h.Write(&b) // a strings.Builder returns no error
	}
	fmt.Fprintf(&b, "%sContent-Length: %d\r\n\r\n", leaving, len(body))
	b.Write(body)
	return []byte(b.String())
}

const leavingHeaders = "Connection: close\r\nServer-Leaving: 1\r\n"

func (s *server) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != "ready"
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection is closed already
	}
	_ = c.Close()
}
