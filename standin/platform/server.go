package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/ring"
)

const (
	ringSize     = 256
	tickInterval = 20 * time.Millisecond
)

// Server is the HTTP side of the stand-in.
type Server struct {
	ring *ring.Ring[Message]
	duty *duty.Duty[Message, Output]
	mux  *http.ServeMux
}

// NewServer returns a stand-in; Run must be running for it to answer.
func NewServer() *Server {
	s := &Server{ring: ring.New[Message]("platform", ringSize, ring.Block), mux: http.NewServeMux()}
	s.duty = duty.New("platform", duty.NewClock(), s.ring, NewStore(), deliver, Message(Tick{}), tickInterval)
	s.mux.HandleFunc("POST /log", s.append)
	s.mux.HandleFunc("GET /log", s.read)
	s.mux.HandleFunc("GET /vms", s.list)
	s.mux.HandleFunc("PUT /vms", s.setVM)
	return s
}

func deliver(_ context.Context, o Output) {
	switch o := o.(type) {
	case Appended:
		o.To <- o.Offset
	case PageRead:
		o.To <- o.Page
	case Listed:
		o.To <- o.VMs
	}
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) { s.duty.Run(ctx) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platformlog.MaxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := make(chan uint64, 1)
	if offset, ok := ask(r.Context(), s.ring, Message(Append{Data: data, Reply: reply}), reply); ok {
		writeJSON(w, map[string]uint64{"offset": offset})
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(q.Get("max"))
	if err != nil || limit <= 0 {
		http.Error(w, "max must be a positive number", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	reply := make(chan platformlog.Page, 1)
	m := Read{From: from, Limit: limit, Wait: time.Duration(wait) * time.Millisecond, Reply: reply}
	if page, ok := ask(r.Context(), s.ring, Message(m), reply); ok {
		writeJSON(w, page)
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	reply := make(chan []platformlog.LiveVM, 1)
	if vms, ok := ask(r.Context(), s.ring, Message(ListVMs{Reply: reply}), reply); ok {
		writeJSON(w, vms)
	}
}

func (s *Server) setVM(w http.ResponseWriter, r *http.Request) {
	var vm platformlog.LiveVM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.ring.Put(r.Context(), SetVM{VM: vm}) == nil {
		w.WriteHeader(http.StatusNoContent)
	}
}

func ask[T any](ctx context.Context, in *ring.Ring[Message], m Message, reply <-chan T) (T, bool) {
	var none T
	if in.Put(ctx, m) != nil {
		return none, false
	}
	select {
	case v := <-reply:
		return v, true
	case <-ctx.Done():
		return none, false
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
