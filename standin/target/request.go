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
	targetapi "celeryhook.example/celeryhook/internal/target"
)

// HeaderDigest is the response header with the digest of the request.
const HeaderDigest = "Standin-Digest"

const (
	// duplicateAfter is the time between the two copies of a response. It lets
	// the client reuse the connection before the second one arrives.
	duplicateAfter = 2 * time.Millisecond
	// duplicateLinger keeps the connection open after the second copy.
	duplicateLinger = 50 * time.Millisecond
)

// Digest returns a hash over all parts of a request.
func Digest(method, uri string, id core.RequestID, body []byte) string {
	h := sha256.New()
	fmt.Fprintf(h, "%s\x00%s\x00%s\x00%d\x00", method, uri, id, len(body))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// ResponseBody returns the body of the response to a request.
func ResponseBody(method, uri string, id core.RequestID, body []byte) []byte {
	return fmt.Appendf(nil, "%s %s %s\n%s", method, uri, id, body)
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	begin, err := parseBegin(r)
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
	reply := make(chan BeginReply, 1)
	begin.Reply = reply
	res, _ := call(s, begin, reply)
	if res.RejectReason != "" {
		res.setHeaders(w.Header(), begin.Run)
		w.Header().Set(targetapi.HeaderNotRun, "1")
		http.Error(w, res.RejectReason, res.Status)
		return
	}
	s.record(res.Run)
	run := s.run(r, res)
	if run.Cancelled {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(res.Delay)
	res.respond(w, run, ResponseBody(r.Method, r.URL.RequestURI(), run.Request, body))
}

// run waits for the duration of a run, but not beyond its deadline or the end
// of the client's connection.
func (s *Server) run(r *http.Request, b BeginReply) Run {
	service := b.Service
	if !b.Run.Unchecked {
		service = min(service, b.Remaining)
	}
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	reply := make(chan Run, 1)
	ended, _ := call(s, End{Number: b.Number, Reply: reply}, reply)
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
	// One write per line, so that lines of concurrent runs don't mix.
	_, _ = s.log.Write(append(line, '\n'))
}

func (b BeginReply) setHeaders(h http.Header, r Run) {
	h.Set(targetapi.HeaderRequestID, string(r.Request))
	h.Set(targetapi.HeaderAttempt, strconv.FormatUint(uint64(r.Attempt), 10))
	h.Set(targetapi.HeaderClock, strconv.FormatInt(int64(b.Clock), 10))
	h.Set(targetapi.HeaderIncarnation, strconv.FormatUint(b.Incarnation, 10))
	h.Set(HeaderDigest, r.Digest)
}

// respond sends the response with the planned fault.
func (b BeginReply) respond(w http.ResponseWriter, run Run, body []byte) {
	headerRun := run
	if b.Response == ResponseCrossed {
		headerRun = b.HeaderRun
	}
	b.setHeaders(w.Header(), headerRun)
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

// duplicate writes a response twice on its connection. The client may read the
// second copy as the response to its next request.
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
