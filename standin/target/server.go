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
)

const ringSize = 256

// Server is the HTTP side of the stand-in.
type Server struct {
	ring *ring.Ring[Message]
	duty *duty.Duty[Message, Output]
	mux  *http.ServeMux
	// service is how long a run takes.
	service time.Duration
}

// NewServer returns a stand-in whose runs take the given time; Run must be
// running for it to answer.
func NewServer(o Options, service time.Duration) *Server {
	s := &Server{
		ring:    ring.New[Message]("target", ringSize, ring.Block),
		mux:     http.NewServeMux(),
		service: service,
	}
	s.duty = duty.New("target", duty.NewClock(), s.ring, NewMachine(o), deliver, Message(nil), 0)
	s.mux.HandleFunc("POST "+wire.OrderPath, s.order)
	s.mux.HandleFunc("GET /standin/runs", s.runs)
	s.mux.HandleFunc("/", s.request)
	return s
}

func deliver(_ context.Context, o Output) {
	switch o := o.(type) {
	case OrderAnswer:
		o.To <- o.Reply
	case BeginAnswer:
		o.To <- o.Begun
	case RunsAnswer:
		o.To <- o.Runs
	}
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) { s.duty.Run(ctx) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o grant.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := make(chan grant.OrderReply, 1)
	if s.ring.Put(r.Context(), Order{Order: o, Reply: reply}) == nil {
		writeJSON(w, <-reply)
	}
}

func (s *Server) runs(w http.ResponseWriter, r *http.Request) {
	reply := make(chan []Run, 1)
	if s.ring.Put(r.Context(), ListRuns{Reply: reply}) == nil {
		writeJSON(w, <-reply)
	}
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	begin, err := beginOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := make(chan Begun, 1)
	begin.Reply = reply
	if s.ring.Put(r.Context(), begin) != nil {
		return
	}
	begun := <-reply
	h := w.Header()
	h.Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	h.Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	h.Set(wire.HeaderClock, strconv.FormatInt(int64(begun.Clock), 10))
	h.Set(wire.HeaderIncarnation, strconv.FormatUint(begun.Incarnation, 10))
	if begun.Refused != "" {
		h.Set(wire.HeaderNotRun, "1")
		http.Error(w, begun.Refused, begun.Status)
		return
	}
	timer := time.NewTimer(s.service)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	_ = s.ring.Wait(context.WithoutCancel(r.Context()), End{Number: begun.Number})
	fmt.Fprintf(w, "%s %s %s\n%s", r.Method, r.URL.RequestURI(), r.Header.Get(wire.HeaderRequestID), body)
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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
