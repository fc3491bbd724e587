package platform

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
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/standin/respond"
)

const (
	ringSize = 256
	// tickInterval is the resolution of delays.
	tickInterval = 5 * time.Millisecond
	// maxWait limits how long a read may wait for records.
	maxWait = 30 * time.Second
)

// Server is the HTTP side of the stand-in.
type Server struct {
	ring *ring.Ring[Message]
	duty *duty.Duty[Message, Output]
	mux  *http.ServeMux
}

// NewServer returns a stand-in. It responds only while Run is running.
func NewServer() *Server {
	s := &Server{ring: ring.New[Message]("platform", ringSize, ring.Block), mux: http.NewServeMux()}
	s.duty = duty.New("platform", duty.NewClock(), s.ring, NewStore(), deliver, Message(Tick{}), tickInterval)
	s.mux.HandleFunc("POST /log", s.append)
	s.mux.HandleFunc("GET /log", s.read)
	s.mux.HandleFunc("GET /vms", s.list)
	s.mux.HandleFunc("PUT /vms", s.setVM)
	s.mux.HandleFunc("DELETE /vms/{id}", s.removeVM)
	s.mux.HandleFunc("GET /standin/faults", s.getFaults)
	s.mux.HandleFunc("PUT /standin/faults", s.putFaults)
	return s
}

// deliver doesn't block: reply channels are buffered for their one response.
func deliver(_ context.Context, o Output) { o.To <- o.Response }

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) { s.duty.Run(ctx) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults. They apply to later requests and to pending
// reads. It may be called before Run.
func (s *Server) SetFaults(ctx context.Context, f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	return s.ring.Put(ctx, SetFaults{Faults: f})
}

// Faults returns the faults in force, with LoseResponses reduced by the
// responses lost so far.
func (s *Server) Faults(ctx context.Context) (Faults, error) {
	reply := make(chan Response, 1)
	res, err := s.call(ctx, GetFaults{Reply: reply}, reply)
	return res.Faults, err
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platformlog.MaxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := make(chan Response, 1)
	if res, ok := s.callOrFail(w, r, Append{Data: data, Reply: reply}, reply); ok {
		respond.JSON(w, map[string]uint64{"offset": res.Offset})
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	m, err := parseRead(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := make(chan Response, 1)
	m.Reply = reply
	if res, ok := s.callOrFail(w, r, m, reply); ok {
		respond.JSON(w, res.Page)
	}
}

func parseRead(r *http.Request) (Read, error) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		return Read{}, fmt.Errorf("from: %w", err)
	}
	limit, err := strconv.Atoi(q.Get("max"))
	if err != nil || limit <= 0 {
		return Read{}, fmt.Errorf("max: %q is not a positive number", q.Get("max"))
	}
	var wait time.Duration
	if text := q.Get("wait_ms"); text != "" {
		n, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return Read{}, fmt.Errorf("wait_ms: %w", err)
		}
		wait = min(time.Duration(n)*time.Millisecond, maxWait)
	}
	return Read{From: from, Limit: limit, Wait: wait}, nil
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	reply := make(chan Response, 1)
	if res, ok := s.callOrFail(w, r, ListVMs{Reply: reply}, reply); ok {
		respond.JSON(w, append([]platformlog.LiveVM{}, res.VMs...))
	}
}

func (s *Server) setVM(w http.ResponseWriter, r *http.Request) {
	var vm platformlog.LiveVM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.put(w, r, SetVM{VM: vm})
}

func (s *Server) removeVM(w http.ResponseWriter, r *http.Request) {
	s.put(w, r, RemoveVM{ID: core.VM(r.PathValue("id"))})
}

func (s *Server) getFaults(w http.ResponseWriter, r *http.Request) {
	if f, err := s.Faults(r.Context()); err == nil {
		respond.JSON(w, f.json())
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	f, err := decodeFaults(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.put(w, r, SetFaults{Faults: f})
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, m Message) {
	if s.ring.Put(r.Context(), m) == nil {
		w.WriteHeader(http.StatusNoContent)
	}
}

// callOrFail passes a request of the platform's API to the store. It reports
// false if the caller must not write a response: the call failed, or the faults
// made the request fail.
func (s *Server) callOrFail(w http.ResponseWriter, r *http.Request, m Message, reply <-chan Response) (Response, bool) {
	res, err := s.call(r.Context(), m, reply)
	switch {
	case err != nil:
		return res, false
	case res.Down:
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
		return res, false
	case res.Dropped:
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	return res, true
}

func (s *Server) call(ctx context.Context, m Message, reply <-chan Response) (Response, error) {
	if err := s.ring.Put(ctx, m); err != nil {
		return Response{}, err
	}
	select {
	case res := <-reply:
		return res, nil
	case <-ctx.Done():
		return Response{}, ctx.Err()
	}
}
