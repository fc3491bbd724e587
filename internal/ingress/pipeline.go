package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"

	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/routing"
)

const (
	// maxAhead bounds the requests of a connection that are in progress behind the one
	// that is answered next. Each holds its response until its turn.
	maxAhead = 8
	// maxPipelinedHead bounds a head that is followed. Callers that pipeline send far
	// shorter ones.
	maxPipelinedHead = 16 << 10
)

// pipeline follows the requests that arrive on a connection. net/http handles one
// request at a time, so that pipelined requests would wait for the ones ahead of them
// before they are even sent to a target. Under load control, idempotent ones are
// started when they arrive, and answered in order.
//
// It stops following a connection, for good, at the first request that isn't a plain
// one without a body, as the bytes of a body must never be taken for a request.
type pipeline struct {
	ctx    context.Context
	server *Server

	// head holds the bytes of an incomplete head. used is set once bytes have arrived,
	// and off once the connection isn't followed. Only the goroutine that reads the
	// connection uses them.
	head      []byte
	used, off bool

	mu sync.Mutex
	// arrived, begun and ended count the connection's requests: those that have
	// arrived, and those whose handler has been called and has returned.
	arrived, begun, ended int
	ahead                 map[int]*aheadRequest
}

// aheadRequest is a request that is in progress before its turn.
type aheadRequest struct {
	request *http.Request
	// done is closed when the response is complete.
	done     chan struct{}
	response recordedResponse
}

// feed adds bytes in the order in which they arrive on the connection.
func (p *pipeline) feed(b []byte) {
	if !p.used {
		table := p.server.Routes.Table()
		p.used, p.off = true, table == nil || !table.LoadControl()
	}
	if p.off {
		return
	}
	p.head = append(p.head, b...)
	for {
		end := bytes.Index(p.head, []byte("\r\n\r\n")) + 4
		if end < 4 {
			break
		}
		if !p.follow(p.head[:end]) {
			p.off, p.head = true, nil
			return
		}
		p.head = p.head[end:]
	}
	if len(p.head) > maxPipelinedHead {
		p.off, p.head = true, nil
	}
}

// follow handles a complete head, and reports whether the next one follows it.
func (p *pipeline) follow(head []byte) bool {
	reader := bufio.NewReader(bytes.NewReader(head))
	r, err := http.ReadRequest(reader)
	if err != nil || reader.Buffered() > 0 {
		return false
	}
	if r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Expect") != "" || r.Header.Get("Upgrade") != "" || r.ProtoMinor != 1 {
		return false
	}
	p.arrive(r)
	return !r.Close
}

// arrive counts a request and starts it if it would have to wait.
func (p *pipeline) arrive(r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := p.arrived
	p.arrived++
	waits := p.ended < index && p.begun <= index
	if !waits || len(p.ahead) >= maxAhead || p.server.plan.Load() != nil || !mayStartAhead(p.server.Routes.Table(), r) {
		return
	}
	a := &aheadRequest{request: r.WithContext(p.ctx), done: make(chan struct{})}
	a.response.held = p.server.Memory.NewCharge()
	if p.ahead == nil {
		p.ahead = make(map[int]*aheadRequest)
	}
	p.ahead[index] = a
	p.server.Metrics.Count("requests_started_ahead")
	go func() {
		defer close(a.done)
		p.server.handle(&a.response, a.request)
		if p.ctx.Err() != nil {
			a.response.held.Release() // nobody replays it
		}
	}()
}

// mayStartAhead reports whether a request may run although the caller, if its
// connection ends first, sends it again.
func mayStartAhead(t *routing.Table, r *http.Request) bool {
	if t == nil {
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	rule := t.Find(r.Host, path)
	if rule == nil || !rule.Idempotent {
		return false
	}
	for _, b := range rule.Backends {
		if s, ok := t.Service(b.Service); !ok || !s.LoadControl {
			return false
		}
	}
	return true
}

// begin is called with each request in its turn. It returns the request if it was
// started before, or nil.
func (p *pipeline) begin(r *http.Request) *aheadRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.ahead[p.begun]
	delete(p.ahead, p.begun)
	p.begun++
	if a != nil && (a.request.Method != r.Method || a.request.RequestURI != r.RequestURI || a.request.Host != r.Host) {
		return nil
	}
	return a
}

// end is called when the request of the last begin has been answered.
func (p *pipeline) end() {
	p.mu.Lock()
	p.ended++
	p.mu.Unlock()
}

// pending reports whether requests are in progress before their turn, so that the
// connection must not be closed.
func (p *pipeline) pending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.ahead) > 0
}

// recordedResponse is the response of a request that is in progress before its turn.
type recordedResponse struct {
	header http.Header
	status int
	body   []byte
	// held is what the body holds of the memory account until it is replayed.
	held *memory.Charge
	// dropped is set if there was no memory for the body.
	dropped bool
}

// Header implements http.ResponseWriter.
func (r *recordedResponse) Header() http.Header {
	if r.header == nil {
		r.header = make(http.Header)
	}
	return r.header
}

// WriteHeader implements http.ResponseWriter.
func (r *recordedResponse) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *recordedResponse) Write(b []byte) (int, error) {
	if r.dropped = r.dropped || !r.held.Add(int64(len(b))); r.dropped {
		return 0, errNoRoomAhead
	}
	r.body = append(r.body, b...)
	return len(b), nil
}

// errNoRoomAhead is returned by the write of a response for which there is no memory
// until its turn.
var errNoRoomAhead = errors.New("ingress: no memory for a response before its turn")

// replay writes a response that was recorded, once it is complete. closes is set if
// it is the last one of its connection.
func (r *recordedResponse) replay(w http.ResponseWriter, closes bool) error {
	defer r.held.Release()
	if r.dropped {
		w.WriteHeader(http.StatusBadGateway)
		return errNoRoomAhead
	}
	for name, values := range r.Header() {
		w.Header()[name] = values
	}
	if closes {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(r.status)
	_, err := w.Write(r.body)
	return err
}

// serveInOrder answers a request in its turn.
func (s *Server) serveInOrder(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		s.handle(w, r)
		return
	}
	if !c.beginRequest() {
		return // nobody would get the response
	}
	a := c.pipeline.begin(r)
	defer c.pipeline.end()
	if a == nil {
		s.handle(w, r)
		return
	}
	select {
	case <-a.done:
		if err := a.response.replay(w, s.plan.Load() != nil && !c.pipeline.pending()); err != nil {
			s.Metrics.Count("responses_not_written")
		}
	case <-r.Context().Done():
		// The connection has ended.
	}
}
