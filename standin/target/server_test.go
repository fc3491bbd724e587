package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	targetapi "celeryhook.example/celeryhook/internal/target"
)

// runLog is a buffer for concurrent writes.
type runLog struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *runLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// startTarget returns the address of a target with a grant, its client and its
// run log.
func startTarget(t *testing.T, f Faults) (string, *targetapi.Client, *runLog) {
	t.Helper()
	is := is.New(t)
	log := &runLog{}
	s := NewServer(Options{ID: "t1", Slots: 4, Checks: true, Incarnation: 7, Faults: f}, time.Millisecond, log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	server := httptest.NewServer(s)
	t.Cleanup(func() { server.Close(); cancel(); <-done })
	address := strings.TrimPrefix(server.URL, "http://")
	client := targetapi.NewClient("f1", &http.Client{Transport: &http.Transport{}})
	reply, err := client.Order(context.Background(), address, grant.Order{
		Kind: grant.OrderTake, Token: core.Token{Term: 1, Seq: 1}, Front: "f1",
		Ranges: []core.RangeID{testRange}, Deadline: 60_000, LeaseEnd: 60_000,
	})
	is.NoErr(err)
	is.True(reply.Accepted)
	return address, client, log
}

func send(client *targetapi.Client, address string, id core.RequestID) (targetapi.Response, error) {
	call := targetapi.HTTPRequest{Method: http.MethodPost, Path: "/x?y=1", Body: []byte("hello")}
	return client.Do(context.Background(), address, call, targetapi.Metadata{
		Token: core.Token{Term: 1, Seq: 1}, Range: testRange, Request: id, Attempt: 1, Deadline: 50_000,
	})
}

// Guards against a response whose digest or body belongs to another request, and
// against a run log that lacks the beginning or the end of a run.
func TestResponseAndRunLog(t *testing.T) {
	is := is.New(t)
	address, client, log := startTarget(t, Faults{})
	r, err := send(client, address, "a")
	is.NoErr(err)
	is.Equal(r.Header.Get(HeaderDigest), Digest("POST", "/x?y=1", "a", []byte("hello")))
	is.Equal(r.Body, ResponseBody("POST", "/x?y=1", "a", []byte("hello")))
	log.mu.Lock()
	defer log.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(log.b.String()), "\n")
	is.Equal(len(lines), 2)
	var ended Run
	is.NoErr(json.Unmarshal([]byte(lines[1]), &ended))
	is.Equal(ended.Request, core.RequestID("a"))
	is.Equal(ended.Digest, r.Header.Get(HeaderDigest))
	is.True(ended.EndedAt >= ended.BeganAt && ended.BeganAt > 0)
}

// Guards against response faults that the client doesn't detect.
func TestFaultyResponses(t *testing.T) {
	for name, c := range map[string]struct {
		faults Faults
		err    error
	}{
		"drop":  {Faults{Drop: 1}, targetapi.ErrNoResponse},
		"cut":   {Faults{Cut: 1}, targetapi.ErrNoResponse},
		"cross": {Faults{Cross: 1}, targetapi.ErrResponseMismatch},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, client, _ := startTarget(t, c.faults)
			_, err := send(client, address, "a")
			is.True(errors.Is(err, c.err))
		})
	}
}

// Guards against a duplicated response whose first copy is corrupt, or whose
// second copy is taken for the response to the next request.
func TestDuplicatedResponse(t *testing.T) {
	is := is.New(t)
	address, client, _ := startTarget(t, Faults{Duplicate: 1})
	for _, id := range []core.RequestID{"a", "b", "c", "d"} {
		r, err := send(client, address, id)
		if err != nil {
			continue
		}
		is.Equal(r.Body, ResponseBody("POST", "/x?y=1", id, []byte("hello")))
	}
}

// Guards against drop-orders discarding the order itself instead of only the
// response.
func TestDroppedOrderTakesEffect(t *testing.T) {
	is := is.New(t)
	address, client, _ := startTarget(t, Faults{})
	post := func(body string) int {
		res, err := http.Post("http://"+address+"/standin/faults", "application/json", strings.NewReader(body))
		is.NoErr(err)
		defer res.Body.Close()
		return res.StatusCode
	}
	is.Equal(post(`{"drop-orders":"1"}`), http.StatusOK)
	is.Equal(post(`{"drop-orders":"2"}`), http.StatusBadRequest)
	token := core.Token{Term: 2, Seq: 1}
	_, err := client.Order(context.Background(), address, grant.Order{Kind: grant.OrderInspect, Token: token})
	is.True(errors.Is(err, targetapi.ErrNoResponse))
	is.Equal(post(`{"drop-orders":"0"}`), http.StatusOK)
	reply, err := client.Order(context.Background(), address, grant.Order{Kind: grant.OrderInspect})
	is.NoErr(err)
	is.Equal(reply.Token, token)
}
