package platform

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/platformlog"
)

func start(t *testing.T) (*Server, string, *platformlog.HTTPLog) {
	s := NewServer()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	server := httptest.NewServer(s)
	t.Cleanup(func() { server.Close(); cancel(); <-done })
	return s, server.URL, platformlog.NewHTTPLog(server.URL, server.Client())
}

// Guards against a lost response without an effect of the append, and against
// more lost responses than were configured.
func TestLoseResponses(t *testing.T) {
	is := is.New(t)
	s, _, log := start(t)
	is.NoErr(s.SetFaults(t.Context(), Faults{LoseResponses: 1}))
	_, err := log.Append(t.Context(), []byte("a"))
	is.True(errors.Is(err, platformlog.ErrUnavailable) && !errors.Is(err, platformlog.ErrNotSent))
	offset, err := log.Append(t.Context(), []byte("b"))
	is.NoErr(err)
	is.Equal(offset, uint64(2))
	page, err := log.Read(t.Context(), 1, 10, 0)
	is.NoErr(err)
	is.Equal(len(page.Entries), 2)
}

// Guards against requests that take effect while the platform is down, pending
// reads that outlast it, and faults that can't be set over HTTP meanwhile.
func TestDown(t *testing.T) {
	is := is.New(t)
	s, url, log := start(t)
	read := make(chan error, 1)
	go func() {
		_, err := log.Read(context.Background(), 1, 10, 20*time.Second)
		read <- err
	}()
	time.Sleep(20 * time.Millisecond)
	is.Equal(put(t, url, `{"down":true}`), http.StatusNoContent)
	is.True(errors.Is(<-read, platformlog.ErrUnavailable))
	_, err := log.Append(t.Context(), []byte("a"))
	is.True(errors.Is(err, platformlog.ErrUnavailable))
	is.Equal(put(t, url, `{"downs":true}`), http.StatusBadRequest)
	is.Equal(put(t, url, `{"delay_ms":-1}`), http.StatusBadRequest)
	is.Equal(put(t, url, `{"delay_ms":60,"retain_records":2}`), http.StatusNoContent)
	f, err := s.Faults(t.Context())
	is.NoErr(err)
	is.Equal(f, Faults{Delay: 60 * time.Millisecond, RetainRecords: 2})
	start := time.Now()
	offset, err := log.Append(t.Context(), []byte("b"))
	is.NoErr(err)
	is.Equal(offset, uint64(1))
	is.True(time.Since(start) >= 60*time.Millisecond)
}

func put(t *testing.T, url, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url+"/standin/faults", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// Guards against records kept beyond the limits of count and age, against a
// First that hides the gap from readers, and against changes of the list of VMs
// that are visible before the lag has passed.
func TestRetentionAndLag(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	reply := make(chan Response, 1)
	call := func(at time.Duration, m Message) Response {
		for _, o := range s.Step(core.Instant(at), m) {
			return o.Response
		}
		t.Fatalf("no response to %T", m)
		return Response{}
	}
	s.Step(0, SetFaults{Faults{RetainRecords: 3, RetainAge: time.Minute, VMLag: time.Second}})
	for i := range 5 {
		is.Equal(call(0, Append{Reply: reply}).Offset, uint64(i+1))
	}
	page := call(0, Read{From: 1, Limit: 10, Reply: reply}).Page
	is.Equal(page.First, uint64(3))
	is.Equal(len(page.Entries), 3)
	page = call(2*time.Minute, Read{From: 1, Limit: 10, Reply: reply}).Page
	is.Equal(page.First, uint64(6))
	is.Equal(len(page.Entries), 0)
	s.Step(core.Instant(2*time.Minute), SetVM{platformlog.LiveVM{ID: "a"}})
	is.Equal(len(call(2*time.Minute, ListVMs{Reply: reply}).VMs), 0)
	is.Equal(len(call(2*time.Minute+time.Second, ListVMs{Reply: reply}).VMs), 1)
	s.Step(core.Instant(3*time.Minute), RemoveVM{"a"})
	is.Equal(len(call(3*time.Minute+time.Second, ListVMs{Reply: reply}).VMs), 0)
}
