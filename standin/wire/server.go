package wire

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"celeryhook.example/celeryhook/standin/target"
)

// keyCount is the number of keys of a sharded service.
const keyCount = 65536

// ServerOptions configure a server.
type ServerOptions struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Sharded servers run requests only for keys that they hold.
	Sharded bool
	// Cold is the duration of the cold start that the server reports.
	Cold time.Duration
	// Listen is the address to listen on; the default is a loopback port that
	// the kernel picks. Advertise is the address in the registration; the
	// default is the address that the server listens on.
	Listen, Advertise string
	// Crashes reports whether a request with the given URI ends the server as soon
	// as it begins to run it; nil means none.
	Crashes func(uri string) bool
	// Observer may be nil.
	Observer Observer
}

// Observer is notified synchronously of what servers do. Its methods are called
// from many goroutines.
type Observer interface {
	// RunStarted is called before a server executes a request.
	RunStarted(*Server, Run)
	// TurnedAway is called before a server turns a request away because it wants
	// none for a time.
	TurnedAway(s *Server, id string, pause time.Duration)
	// Granted is called after a server accepted a grant of keys.
	Granted(s *Server, from, to int, token int64)
}

// Run is the execution of a request by a server.
type Run struct {
	Server, ID, Method, URI, Body string
	// Key is -1 if the server isn't sharded.
	Key int
	At  time.Time
	// Teams and Credentials are the values of the headers that say who sends it.
	Teams, Credentials []string
}

// Server is a target that registers itself in the store.
type Server struct {
	ServerOptions
	store     *Store
	server    *http.Server
	address   string
	startedAt int64

	mu        sync.Mutex
	announces Announcement
	faults    target.Faults
	running   int
	sequence  int
	tokens    [keyCount]int64
	heldUntil [keyCount]time.Time
	// active counts the requests in progress for each key.
	active  map[int]int
	runs    []Run
	orders  int
	stopped bool
	// turnedAway holds when requests were turned away.
	turnedAway []time.Time
}

// StartServer starts a server and registers it.
func StartServer(store *Store, o ServerOptions) (*Server, error) {
	l, err := net.Listen("tcp", cmp.Or(o.Listen, "127.0.0.1:0"))
	if err != nil {
		return nil, fmt.Errorf("wire: %w", err)
	}
	s := &Server{
		ServerOptions: o, store: store, address: l.Addr().String(), startedAt: time.Now().UnixMilli(), active: make(map[int]int),
	}
	s.Advertise = cmp.Or(o.Advertise, s.address)
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	s.Register("ready")
	return s, nil
}

// Register writes the server's registration with the given state.
func (s *Server) Register(state string) {
	s.mu.Lock()
	s.sequence++
	entry, err := json.Marshal(map[string]any{
		"address": s.Advertise, "born": s.startedAt,
		"info":   map[string]any{"service": s.Service, "version": "v1", "zone": s.Zone, "slots": s.Slots},
		"status": map[string]any{"state": state, "sequence": s.sequence, "coldLeft": milliseconds(s.ColdRemaining())},
	})
	s.mu.Unlock()
	if err == nil {
		s.store.Put(topicServers, s.ID, entry)
	}
}

// Remove deletes the server's registration.
func (s *Server) Remove() { s.store.Put(topicServers, s.ID, nil) }

// Stop closes the server and its connections at once.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	_ = s.server.Close()
}

// Stopped reports whether the server was stopped.
func (s *Server) Stopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// ColdRemaining returns the remaining time of the cold start.
func (s *Server) ColdRemaining() time.Duration {
	return max(0, time.Until(time.UnixMilli(s.startedAt).Add(s.Cold)))
}

// SetFaults replaces the faults of the server. Only ServiceTime, Drop, Cut and
// DropOrders have an effect.
func (s *Server) SetFaults(f target.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Announcement is what a server announces of itself in its responses.
type Announcement struct {
	// RateLimit is how many requests a second the server accepts from all VMs, or 0.
	RateLimit float64
	// Leaving is set if the server is about to exit.
	Leaving bool
	// Pause makes the server turn requests away and ask for none during that time.
	Pause time.Duration
}

// Announce sets what the server announces from now on.
func (s *Server) Announce(a Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announces = a
}

// setAnnouncement adds the headers of the announcement. The request is turned away
// if the pause that it returns is positive.
func (s *Server) setAnnouncement(h http.Header) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.announces
	if a.RateLimit > 0 {
		h.Set(headerLimit, strconv.FormatFloat(a.RateLimit, 'f', -1, 64))
	}
	if a.Leaving {
		h.Set(headerLeaving, "1")
	}
	if a.Pause > 0 {
		h.Set(headerRetryAfter, strconv.FormatFloat(a.Pause.Seconds(), 'f', 3, 64))
		h.Set(headerNotRun, "1")
		s.turnedAway = append(s.turnedAway, time.Now())
	}
	return a.Pause
}

// TurnedAway returns when the server turned requests away because it wants none.
func (s *Server) TurnedAway() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.turnedAway)
}

// Runs returns the runs so far. A server with an observer records none.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// KeysHeld returns the number of keys that the server holds.
func (s *Server) KeysHeld() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, until := range s.heldUntil {
		if time.Now().Before(until) {
			n++
		}
	}
	return n
}

// HoldsKey reports whether the server holds a key.
func (s *Server) HoldsKey(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.heldUntil[key])
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get(headerExpect); expect != "" && expect != s.ID {
		w.Header().Set(headerInstance, s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/api/grant":
		s.serveOrder(w, r, s.grant)
	case r.Method == http.MethodPost && r.URL.Path == "/api/release":
		s.serveOrder(w, r, s.release)
	case r.URL.Path == "/health":
		w.Header().Set(headerInstance, s.ID)
		if remaining := s.ColdRemaining(); remaining > 0 {
			w.Header().Set(headerCold, strconv.FormatInt(remaining.Milliseconds(), 10))
		}
		s.setLoadHeader(w.Header())
	default:
		s.serveRequest(w, r)
	}
}

type keyOrder struct {
	From     int    `json:"rangeStart"`
	To       int    `json:"target"`
	Token    int64  `json:"fence"`
	HoldTime string `json:"hold_time"`
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request, execute func(keyOrder) int) {
	var o keyOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.From > o.To || o.To >= keyCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.orders++
	status := execute(o)
	dropReply := rand.Float64() < s.faults.DropOrders
	s.mu.Unlock()
	switch r.URL.Path {
	case "/api/grant":
		if s.Observer != nil && status == http.StatusOK {
			s.Observer.Granted(s, o.From, o.To, o.Token)
		}
	case "/api/release":
		for s.inProgress(o.From, o.To) {
			time.Sleep(time.Millisecond)
		}
	}
	if dropReply {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

func (s *Server) grant(o keyOrder) int {
	hold, err := time.ParseDuration(o.HoldTime)
	if err != nil || hold > 10*time.Second {
		return http.StatusBadRequest
	}
	for k := o.From; k <= o.To; k++ {
		if s.tokens[k] > o.Token {
			return http.StatusConflict
		}
	}
	for k := o.From; k <= o.To; k++ {
		s.tokens[k], s.heldUntil[k] = o.Token, time.Now().Add(hold)
	}
	return http.StatusOK
}

// Grant sends a server a grant of a range of keys, as a VM does.
func Grant(address string, from, to int, token int64, hold time.Duration) error {
	b, err := json.Marshal(keyOrder{From: from, To: to, Token: token, HoldTime: milliseconds(hold)})
	if err != nil {
		return fmt.Errorf("wire: grant: %w", err)
	}
	res, err := http.Post("http://"+address+"/api/grant", "application/json", bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("wire: grant: %w", err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("wire: grant: status %d", res.StatusCode)
	}
	return nil
}

func (s *Server) release(o keyOrder) int {
	for k := o.From; k <= o.To; k++ {
		s.tokens[k], s.heldUntil[k] = max(s.tokens[k], o.Token), time.Time{}
	}
	return http.StatusOK
}

// inProgress reports whether a request for one of the keys is in progress.
func (s *Server) inProgress(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.active {
		if k >= from && k <= to {
			return !s.stopped
		}
	}
	return false
}

func (s *Server) setLoadHeader(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d,100", min(s.running, s.Slots), max(0, s.running-s.Slots), s.Slots))
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	body, _ := io.ReadAll(r.Body) // a truncated body is recorded as received
	if s.Stopped() {
		// The process has exited: its own end may have truncated the body.
		panic(http.ErrAbortHandler)
	}
	if pause := s.setAnnouncement(w.Header()); pause > 0 {
		if s.Observer != nil {
			s.Observer.TurnedAway(s, id, pause)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	key := -1
	if s.Sharded {
		var err error
		key, err = strconv.Atoi(r.Header.Get(headerKey))
		if err != nil || key < 0 || key >= keyCount || !time.Now().Before(s.heldUntil[key]) {
			s.mu.Unlock()
			w.Header().Set(headerNotRun, "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		s.active[key]++
	}
	s.running++
	f := s.faults
	run := Run{Server: s.ID, ID: id, Method: r.Method, URI: r.RequestURI, Body: string(body), Key: key, At: time.Now()}
	run.Teams, run.Credentials = r.Header.Values(headerTenant), r.Header.Values(headerCredential)
	if s.Observer == nil {
		s.runs = append(s.runs, run)
	}
	s.mu.Unlock()
	if s.Observer != nil {
		s.Observer.RunStarted(s, run)
	}
	if s.Crashes != nil && s.Crashes(r.RequestURI) {
		s.Stop()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.ServiceTime)
	s.setLoadHeader(w.Header())
	s.mu.Lock()
	s.running--
	if key >= 0 {
		if s.active[key]--; s.active[key] == 0 {
			delete(s.active, key)
		}
	}
	s.mu.Unlock()
	response := []byte("answer of " + s.ID + " to " + id)
	w.Header().Set(headerStamp, s.ID+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	switch x := rand.Float64(); {
	case x < f.Drop:
		panic(http.ErrAbortHandler)
	case x < f.Drop+f.Cut:
		_, _ = w.Write(response[:len(response)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(response)
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// sortedAfter returns the records with keys after the given one, sorted by key.
func sortedAfter(state map[string]newestRecord, after string) []newestRecord {
	var out []newestRecord
	for key, v := range state {
		if key > after {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b newestRecord) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.address }
