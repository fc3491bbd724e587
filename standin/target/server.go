package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/ring"
	wire "celeryhook.example/celeryhook/internal/target"
	"celeryhook.example/celeryhook/standin/respond"
)

const (
	ringSize     = 256
	tickInterval = 20 * time.Millisecond
	// maxFaultBytes bounds the body of a change of faults.
	maxFaultBytes = 64 << 10
)

// Server is the HTTP side of the stand-in.
type Server struct {
	ring *ring.Ring[Message]
	duty *duty.Duty[Message, Output]
	mux  *http.ServeMux
	// log, if set, receives each run as a JSON line when it begins and when it ends.
	log io.Writer
}

// NewServer returns a stand-in whose runs take the given time; Run must be
// running for it to answer. A run log, if not nil, must take concurrent writes.
func NewServer(o Options, service time.Duration, log io.Writer) *Server {
	if o.Faults.ServiceTime == 0 {
		o.Faults.ServiceTime = service
	}
	clock := duty.NewClock()
	o.Epoch = time.Now().UnixNano() - int64(clock())
	s := &Server{
		ring: ring.New[Message]("target", ringSize, ring.Block),
		mux:  http.NewServeMux(),
		log:  log,
	}
	s.duty = duty.New("target", clock, s.ring, NewMachine(o), deliver, Message(Tick{}), tickInterval)
	s.mux.HandleFunc("POST "+wire.OrderPath, s.order)
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /load", s.load)
	s.mux.HandleFunc("GET /standin/runs", s.runs)
	s.mux.HandleFunc("GET /standin/state", s.state)
	s.mux.HandleFunc("/standin/faults", s.faults)
	s.mux.HandleFunc("POST /standin/cold", s.turnCold)
	s.mux.HandleFunc("/", s.request)
	return s
}

func deliver(_ context.Context, o Output) {
	switch o := o.(type) {
	case OrderAnswer:
		o.To <- o.Reply
	case OrderDropped:
		close(o.To)
	case BeginAnswer:
		o.To <- o.Begun
	case EndAnswer:
		o.To <- o.Run
	case RunsAnswer:
		o.To <- o.Runs
	case FaultsAnswer:
		o.To <- o.Set
	case StatusAnswer:
		o.To <- o.Status
	}
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) { s.duty.Run(ctx) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// ask passes a message to the machine and waits for its answer. A caller that
// goes away doesn't end the wait, as the machine may have acted.
func ask[T any](s *Server, m Message, reply <-chan T) (T, bool) {
	if err := s.ring.PutBlocking(context.Background(), m); err != nil {
		var none T
		return none, false
	}
	v, ok := <-reply
	return v, ok
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o grant.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := make(chan grant.OrderReply, 1)
	answer, ok := ask(s, Order{Order: o, Reply: reply}, reply)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	respond.JSON(w, answer)
}

func (s *Server) runs(w http.ResponseWriter, _ *http.Request) {
	reply := make(chan []Run, 1)
	if runs, ok := ask(s, ListRuns{Reply: reply}, reply); ok {
		respond.JSON(w, runs)
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	reply := make(chan Status, 1)
	status, _ := ask(s, Report{Reply: reply}, reply)
	if status.Draining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	reply := make(chan Status, 1)
	if status, ok := ask(s, Report{Reply: reply}, reply); ok {
		respond.JSON(w, status)
	}
}

func (s *Server) state(w http.ResponseWriter, _ *http.Request) {
	reply := make(chan Status, 1)
	if status, ok := ask(s, Inspect{Reply: reply}, reply); ok {
		respond.JSON(w, status)
	}
}

// faults reads the faults, or changes those that the JSON object names.
func (s *Server) faults(w http.ResponseWriter, r *http.Request) {
	var changes map[string]string
	if r.Method != http.MethodGet {
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes)).Decode(&changes); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	reply := make(chan FaultsSet, 1)
	set, _ := ask(s, SetFaults{Changes: changes, Reply: reply}, reply)
	if set.Err != nil {
		http.Error(w, set.Err.Error(), http.StatusBadRequest)
		return
	}
	respond.JSON(w, set.Faults.Values())
}

func (s *Server) turnCold(w http.ResponseWriter, r *http.Request) {
	if s.ring.PutBlocking(r.Context(), TurnCold{}) == nil {
		w.WriteHeader(http.StatusNoContent)
	}
}

func beginOf(r *http.Request) (Begin, error) {
	var b Begin
	attempt, err := strconv.ParseUint(r.Header.Get(wire.HeaderAttempt), 10, 32)
	if err != nil {
		return b, fmt.Errorf("%s: %w", wire.HeaderAttempt, err)
	}
	deadline, err := strconv.ParseInt(r.Header.Get(wire.HeaderDeadline), 10, 64)
	if err != nil {
		return b, fmt.Errorf("%s: %w", wire.HeaderDeadline, err)
	}
	token, err := core.ParseToken(r.Header.Get(wire.HeaderToken))
	if err != nil {
		return b, fmt.Errorf("%s: %w", wire.HeaderToken, err)
	}
	if text := r.Header.Get(wire.HeaderRange); text != "" {
		if b.Run.Range, err = core.ParseRangeID(text); err != nil {
			return b, fmt.Errorf("%s: %w", wire.HeaderRange, err)
		}
	}
	b.Deadline = grant.TargetClock(deadline)
	b.Run.Request = core.RequestID(r.Header.Get(wire.HeaderRequestID))
	b.Run.Attempt = uint32(attempt)
	b.Run.Token = token
	b.Run.Front = core.VM(r.Header.Get(wire.HeaderFront))
	return b, nil
}
