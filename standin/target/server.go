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
	targetapi "celeryhook.example/celeryhook/internal/target"
	"celeryhook.example/celeryhook/standin/respond"
)

const (
	ringSize     = 256
	tickInterval = 20 * time.Millisecond
	// maxFaultBytes limits the body of a request that changes faults.
	maxFaultBytes = 64 << 10
)

// Server is the HTTP side of the stand-in.
type Server struct {
	ring *ring.Ring[Message]
	duty *duty.Duty[Message, Output]
	mux  *http.ServeMux
	// log may be nil. It receives each run as a JSON line when it begins and when
	// it ends.
	log io.Writer
}

// NewServer returns a stand-in with the given service time, unless o.Faults sets
// another. It responds only while Run is running. The run log may be nil;
// otherwise it must support concurrent writes.
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
	s.duty = duty.New("target", clock, s.ring, NewStateMachine(o), deliver, Message(Tick{}), tickInterval)
	s.mux.HandleFunc("POST "+targetapi.OrderPath, s.order)
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /load", s.load)
	s.mux.HandleFunc("GET /standin/runs", s.runs)
	s.mux.HandleFunc("GET /standin/state", s.state)
	s.mux.HandleFunc("/standin/faults", s.faults)
	s.mux.HandleFunc("POST /standin/cold", s.startCold)
	s.mux.HandleFunc("/", s.request)
	return s
}

// deliver doesn't block: reply channels are buffered for their one reply.
func deliver(_ context.Context, o Output) {
	switch o := o.(type) {
	case SendOrderReply:
		o.To <- o.Reply
	case DropOrderReply:
		close(o.To)
	case SendBeginReply:
		o.To <- o.Reply
	case SendEndReply:
		o.To <- o.Run
	case SendRuns:
		o.To <- o.Runs
	case SendSetFaultsReply:
		o.To <- o.Reply
	case SendStatus:
		o.To <- o.Status
	}
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) { s.duty.Run(ctx) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// call passes a message to the state machine and waits for the reply. The end of
// the client's connection doesn't end the wait, because the message may already
// have taken effect.
func call[T any](s *Server, m Message, reply <-chan T) (T, bool) {
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
	res, ok := call(s, Order{Order: o, Reply: reply}, reply)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	respond.JSON(w, res)
}

func (s *Server) runs(w http.ResponseWriter, _ *http.Request) {
	reply := make(chan []Run, 1)
	if runs, ok := call(s, ListRuns{Reply: reply}, reply); ok {
		respond.JSON(w, runs)
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	reply := make(chan Status, 1)
	status, _ := call(s, Report{Reply: reply}, reply)
	if status.Draining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	reply := make(chan Status, 1)
	if status, ok := call(s, Report{Reply: reply}, reply); ok {
		respond.JSON(w, status)
	}
}

func (s *Server) state(w http.ResponseWriter, _ *http.Request) {
	reply := make(chan Status, 1)
	if status, ok := call(s, Inspect{Reply: reply}, reply); ok {
		respond.JSON(w, status)
	}
}

// faults returns the faults, after changing those that the JSON object of a
// request other than GET names.
func (s *Server) faults(w http.ResponseWriter, r *http.Request) {
	var changes map[string]string
	if r.Method != http.MethodGet {
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultBytes)).Decode(&changes); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	reply := make(chan SetFaultsReply, 1)
	set, _ := call(s, SetFaults{Changes: changes, Reply: reply}, reply)
	if set.Err != nil {
		http.Error(w, set.Err.Error(), http.StatusBadRequest)
		return
	}
	respond.JSON(w, set.Faults.Values())
}

func (s *Server) startCold(w http.ResponseWriter, r *http.Request) {
	if s.ring.PutBlocking(r.Context(), StartCold{}) == nil {
		w.WriteHeader(http.StatusNoContent)
	}
}

func parseBegin(r *http.Request) (Begin, error) {
	var b Begin
	attempt, err := strconv.ParseUint(r.Header.Get(targetapi.HeaderAttempt), 10, 32)
	if err != nil {
		return b, fmt.Errorf("%s: %w", targetapi.HeaderAttempt, err)
	}
	deadline, err := strconv.ParseInt(r.Header.Get(targetapi.HeaderDeadline), 10, 64)
	if err != nil {
		return b, fmt.Errorf("%s: %w", targetapi.HeaderDeadline, err)
	}
	token, err := core.ParseToken(r.Header.Get(targetapi.HeaderToken))
	if err != nil {
		return b, fmt.Errorf("%s: %w", targetapi.HeaderToken, err)
	}
	if text := r.Header.Get(targetapi.HeaderRange); text != "" {
		if b.Run.Range, err = core.ParseRangeID(text); err != nil {
			return b, fmt.Errorf("%s: %w", targetapi.HeaderRange, err)
		}
	}
	b.Deadline = grant.TargetClock(deadline)
	b.Run.Request = core.RequestID(r.Header.Get(targetapi.HeaderRequestID))
	b.Run.Attempt = uint32(attempt)
	b.Run.Token = token
	b.Run.Front = core.VM(r.Header.Get(targetapi.HeaderFront))
	return b, nil
}
