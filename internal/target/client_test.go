package target

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/grant"
)

// Guards against a transport that resends a non-idempotent request after a lost
// connection.
func TestNoRetrySendsOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			var received atomic.Int32
			first := true
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if first {
					// The connection stays open for the next request.
					first = false
					w.Header().Set(HeaderRequestID, "x")
					w.Header().Set(HeaderAttempt, "1")
					return
				}
				received.Add(1)
				panic(http.ErrAbortHandler)
			}))
			defer h.Close()
			c := NewClient("vm", h.Client())
			call := HTTPRequest{Method: method, Path: "/", Header: http.Header{"Idempotency-Key": {"x"}}}
			metadata := Metadata{Request: "x", Attempt: 1, NoRetry: true}
			_, err := c.Do(t.Context(), h.Listener.Addr().String(), call, metadata)
			is.NoErr(err)
			_, err = c.Do(t.Context(), h.Listener.Addr().String(), call, metadata)
			is.True(errors.Is(err, ErrNoResponse)) // it may have run
			is.Equal(received.Load(), int32(1))
		})
	}
}

// Guards against a client that resends a non-idempotent request after a redirect.
func TestRedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	received := 0
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received++
		w.Header().Set(HeaderRequestID, "x")
		w.Header().Set(HeaderAttempt, "1")
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer h.Close()
	res, err := NewClient("vm", h.Client()).Do(t.Context(), h.Listener.Addr().String(),
		HTTPRequest{Method: http.MethodPost, Path: "/", Body: []byte("b")}, Metadata{Request: "x", Attempt: 1})
	is.NoErr(err)
	is.Equal(res.Status, http.StatusTemporaryRedirect)
	is.Equal(received, 1)
}

// Guards against ErrNotSent for a request that the transport sent on a reused
// connection before the retry failed to connect.
func TestFailedRetryMayHaveRun(t *testing.T) {
	is := is.New(t)
	var h *httptest.Server
	requests := 0
	h = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests++; requests > 1 {
			_ = h.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(HeaderRequestID, "x")
		w.Header().Set(HeaderAttempt, "1")
	}))
	defer h.Close()
	c := NewClient("vm", h.Client())
	call, metadata := HTTPRequest{Method: http.MethodGet, Path: "/"}, Metadata{Request: "x", Attempt: 1}
	_, err := c.Do(t.Context(), h.Listener.Addr().String(), call, metadata)
	is.NoErr(err)
	_, err = c.Do(t.Context(), h.Listener.Addr().String(), call, metadata)
	is.True(errors.Is(err, ErrNoResponse))
	is.True(!errors.Is(err, ErrNotSent))
}

// Guards against an order that counts as carried out although its response never
// ends, and against a response with another status that is reported without one.
func TestOrderWithoutACompleteResponse(t *testing.T) {
	is := is.New(t)
	status := http.StatusOK
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		if _, err := w.Write([]byte("{}")); status != http.StatusOK || err != nil {
			return
		}
		for spaces := []byte(strings.Repeat(" ", 64<<10)); ; {
			if _, err := w.Write(spaces); err != nil {
				return
			}
		}
	}))
	defer h.Close()
	c := NewClient("vm", h.Client())
	_, err := c.Order(t.Context(), h.Listener.Addr().String(), grant.Order{})
	is.True(errors.Is(err, ErrNoResponse))
	status = http.StatusBadGateway
	_, err = c.Order(t.Context(), h.Listener.Addr().String(), grant.Order{})
	is.True(errors.Is(err, ErrNoResponse))
	is.True(strings.HasSuffix(err.Error(), "status 502"))
}
