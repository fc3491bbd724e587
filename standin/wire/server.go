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

// keys is the number of keys of a service that is divided by key.
const keys = 65536

// ServerOptions describe a server.
type ServerOptions struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Sharded servers run requests only for keys that they hold.
	Sharded bool
	// Cold is how long the server says that it is cold after its start.
	Cold time.Duration
	// Listen is the address to listen on; empty lets the kernel pick one.
	// Advertise is the address in the registration; empty is where it listens.
	Listen, Advertise string
	// Observer may be nil.
	Observer Observer
}

// Observer sees what servers do at the moment at which they do it. Its methods
// are called from many goroutines.
type Observer interface {
	// Began is called before a server works on a request.
	Began(*Server, Run)
	// Granted is called after a server took keys.
	Granted(s *Server, from, to int, fence int64)
}

// Run is a request that a server began to work on.
type Run struct {
	Server, ID, Method, URI, Body string
	// Key is -1 if the server isn't divided by key.
	Key int
	At  time.Time
}

// Server is a back end that registers itself in the store.
type Server struct {
	ServerOptions
	store   *Store
	server  *http.Server
	address string
	born    int64

	mu       sync.Mutex
	faults   target.Faults
	running  int
	sequence int
	fence    [keys]int64
	until    [keys]time.Time
	// active counts the requests in progress for each key.
	active  map[int]int
	runs    []Run
	orders  int
	stopped bool
}

// StartServer starts a server on a loopback port that the kernel picks, and
// registers it.
func StartServer(store *Store, o ServerOptions) (*Server, error) {
	l, err := net.Listen("tcp", cmp.Or(o.Listen, "127.0.0.1:0"))
	if err != nil {
		return nil, fmt.Errorf("wire: %w", err)
	}
	s := &Server{
		ServerOptions: o, store: store, address: l.Addr().String(), born: time.Now().UnixMilli(), active: make(map[int]int),
	}
	s.Advertise = cmp.Or(o.Advertise, s.address)
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	s.Register("ready")
	return s, nil
}

// Register writes the server's entry with a state.
func (s *Server) Register(state string) {
	s.mu.Lock()
	s.sequence++
	entry, err := json.Marshal(map[string]any{
		"address": s.Advertise, "born": s.born,
		"info":   map[string]any{"service": s.Service, "version": "v1", "zone": s.Zone, "slots": s.Slots},
		"status": map[string]any{"state": state, "sequence": s.sequence, "coldLeft": milliseconds(s.ColdLeft())},
	})
	s.mu.Unlock()
	if err == nil {
		s.store.Put(topicServers, s.ID, entry)
	}
}

// Remove ends the server's registration.
func (s *Server) Remove() { s.store.Put(topicServers, s.ID, nil) }

// Stop ends the server at once.
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

// ColdLeft returns how much longer the server is cold.
func (s *Server) ColdLeft() time.Duration {
	return max(0, time.Until(time.UnixMilli(s.born).Add(s.Cold)))
}

// SetFaults changes how the server misbehaves. Of the switches, ServiceTime,
// Drop, Cut, Duplicate and DropOrders have an effect.
func (s *Server) SetFaults(f target.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the requests that the server began to work on. A server with an
// observer keeps none.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// Holds returns how many keys the server holds.
func (s *Server) Holds() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, until := range s.until {
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
	return time.Now().Before(s.until[key])
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
		if left := s.ColdLeft(); left > 0 {
			w.Header().Set(headerCold, strconv.FormatInt(left.Milliseconds(), 10))
		}
		s.load(w.Header())
	default:
		s.serveRequest(w, r)
	}
}

type keyOrder struct {
	From     int    `json:"rangeStart"`
	To       int    `json:"target"`
	Fence    int64  `json:"fence"`
	HoldTime string `json:"hold_time"`
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request, carryOut func(keyOrder) int) {
	var o keyOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.From > o.To || o.To >= keys {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.orders++
	status := carryOut(o)
	lost := rand.Float64() < s.faults.DropOrders
	s.mu.Unlock()
	switch r.URL.Path {
	case "/api/grant":
		if s.Observer != nil && status == http.StatusOK {
			s.Observer.Granted(s, o.From, o.To, o.Fence)
		}
	case "/api/release":
		for s.working(o.From, o.To) {
			time.Sleep(time.Millisecond)
		}
	}
	if lost {
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
		if s.fence[k] > o.Fence {
			return http.StatusConflict
		}
	}
	for k := o.From; k <= o.To; k++ {
		s.fence[k], s.until[k] = o.Fence, time.Now().Add(hold)
	}
	return http.StatusOK
}

// Grant sends a server an order for a range of keys, as a VM does.
func Grant(address string, from, to int, fence int64, hold time.Duration) error {
	b, err := json.Marshal(keyOrder{From: from, To: to, Fence: fence, HoldTime: milliseconds(hold)})
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
		s.fence[k], s.until[k] = max(s.fence[k], o.Fence), time.Time{}
	}
	return http.StatusOK
}

// working reports whether a request for one of the keys is in progress.
func (s *Server) working(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.active {
		if k >= from && k <= to {
			return !s.stopped
		}
	}
	return false
}

func (s *Server) load(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d,100", min(s.running, s.Slots), max(0, s.running-s.Slots), s.Slots))
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	body, _ := io.ReadAll(r.Body) // a cut body is recorded as far as it came
	s.mu.Lock()
	key := -1
	if s.Sharded {
		var err error
		key, err = strconv.Atoi(r.Header.Get(headerKey))
		if err != nil || key < 0 || key >= keys || !time.Now().Before(s.until[key]) {
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
	if s.Observer == nil {
		s.runs = append(s.runs, run)
	}
	s.mu.Unlock()
	if s.Observer != nil {
		s.Observer.Began(s, run)
	}
	time.Sleep(f.ServiceTime)
	s.load(w.Header())
	s.mu.Lock()
	s.running--
	if key >= 0 {
		if s.active[key]--; s.active[key] == 0 {
			delete(s.active, key)
		}
	}
	s.mu.Unlock()
	answer := []byte("answer of " + s.ID + " to " + id)
	w.Header().Set(headerStamp, s.ID+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	switch x := rand.Float64(); {
	case x < f.Drop:
		panic(http.ErrAbortHandler)
	case x < f.Drop+f.Cut:
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// sorted returns the keys after a given one, in order.
func sorted(state map[string]newest, after string) []newest {
	var out []newest
	for key, v := range state {
		if key > after {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b newest) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.address }
