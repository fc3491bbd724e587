package target

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	wire "celeryhook.example/celeryhook/internal/target"
)

// HeaderDigest carries the digest of the request in its response.
const HeaderDigest = "Standin-Digest"

const (
	// duplicateAfter lets the client reuse the connection before the second
	// copy of a response arrives.
	duplicateAfter = 2 * time.Millisecond
	// duplicateLinger keeps the connection open after the second copy.
	duplicateLinger = 50 * time.Millisecond
)

// Digest identifies a request.
func Digest(method, uri string, id core.RequestID, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00%d\x00", method, uri, id, len(body))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// Body returns the body of the response to a request.
func Body(method, uri string, id core.RequestID, body []byte) []byte {
	return fmt.Appendf(nil, "%s %s %s\n%s", method, uri, id, body)
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
	begin.Run.Digest = Digest(r.Method, r.URL.RequestURI(), begin.Run.Request, body)
	reply := make(chan Begun, 1)
	begin.Reply = reply
	begun, _ := ask(s, begin, reply)
	if begun.Refused != "" {
		begun.setHeaders(w.Header(), begin.Run)
		w.Header().Set(wire.HeaderNotRun, "1")
		http.Error(w, begun.Refused, begun.Status)
		return
	}
	s.record(begun.Run)
	run := s.run(r, begun)
	if run.Cancelled {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(begun.Delay)
	begun.respond(w, run, Body(r.Method, r.URL.RequestURI(), run.Request, body))
}

// run takes the time of a run, which its deadline and a caller that goes away
// cut short.
func (s *Server) run(r *http.Request, b Begun) Run {
	service := b.Service
	if !b.Run.Unchecked {
		service = min(service, b.Left)
	}
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	reply := make(chan Run, 1)
	ended, _ := ask(s, End{Number: b.Number, Reply: reply}, reply)
	s.record(ended)
	return ended
}

func (s *Server) record(r Run) {
	if s.log == nil {
		return
	}
	line, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("target: encode run: %v", err))
	}
	// One write per line keeps lines of concurrent runs apart.
	_, _ = s.log.Write(append(line, '\n'))
}

func (b Begun) setHeaders(h http.Header, r Run) {
	h.Set(wire.HeaderRequestID, string(r.Request))
	h.Set(wire.HeaderAttempt, strconv.FormatUint(uint64(r.Attempt), 10))
	h.Set(wire.HeaderClock, strconv.FormatInt(int64(b.Clock), 10))
	h.Set(wire.HeaderIncarnation, strconv.FormatUint(b.Incarnation, 10))
	h.Set(HeaderDigest, r.Digest)
}

// respond sends the response as the plan says.
func (b Begun) respond(w http.ResponseWriter, run Run, body []byte) {
	named := run
	if b.Response == ResponseCrossed {
		named = b.Other
	}
	b.setHeaders(w.Header(), named)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	switch b.Response {
	case ResponseDropped:
		panic(http.ErrAbortHandler)
	case ResponseCut:
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case ResponseDuplicated:
		duplicate(w, body)
	default:
		_, _ = w.Write(body)
	}
}

// duplicate writes a response twice on its connection; the second copy may
// meet the next request that the client sends on it.
func duplicate(w http.ResponseWriter, body []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	var response bytes.Buffer
	fmt.Fprintf(&response, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&response)
	fmt.Fprintf(&response, "\r\n%s", body)
	_, _ = conn.Write(response.Bytes())
	time.Sleep(duplicateAfter)
	_, _ = conn.Write(response.Bytes())
	time.Sleep(duplicateLinger)
}
