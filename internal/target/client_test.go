package target

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a transport that sends a non-idempotent request again by
// itself, after a lost connection or a redirect.
func TestOnceIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			var arrived atomic.Int32
			first := true
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if first {
					// The connection is kept, so that the next request reuses it.
					first = false
					w.Header().Set(HeaderRequestID, "x")
					w.Header().Set(HeaderAttempt, "1")
					return
				}
				arrived.Add(1)
				panic(http.ErrAbortHandler)
			}))
			defer h.Close()
			c := NewClient("vm", h.Client())
			call := Call{Method: method, Path: "/", Header: http.Header{"Idempotency-Key": {"x"}}}
			stamp := Stamp{Request: "x", Attempt: 1, Once: true}
			_, err := c.Do(t.Context(), h.Listener.Addr().String(), call, stamp)
			is.NoErr(err)
			_, err = c.Do(t.Context(), h.Listener.Addr().String(), call, stamp)
			is.True(errors.Is(err, ErrNoResponse)) // it may have run
			is.Equal(arrived.Load(), int32(1))
		})
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	arrived := 0
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived++
		w.Header().Set(HeaderRequestID, "x")
		w.Header().Set(HeaderAttempt, "1")
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	defer h.Close()
	res, err := NewClient("vm", h.Client()).Do(t.Context(), h.Listener.Addr().String(),
		Call{Method: http.MethodPost, Path: "/", Body: []byte("b")}, Stamp{Request: "x", Attempt: 1})
	is.NoErr(err)
	is.Equal(res.Status, http.StatusTemporaryRedirect)
	is.Equal(arrived, 1)
}

// Guards against a "not sent" for a request that the transport had sent on a
// kept connection before it failed to connect for the repeat.
func TestRepeatWithoutConnectionMayHaveRun(t *testing.T) {
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
	call, stamp := Call{Method: http.MethodGet, Path: "/"}, Stamp{Request: "x", Attempt: 1}
	_, err := c.Do(t.Context(), h.Listener.Addr().String(), call, stamp)
	is.NoErr(err)
	_, err = c.Do(t.Context(), h.Listener.Addr().String(), call, stamp)
	is.True(errors.Is(err, ErrNoResponse))
	is.True(!errors.Is(err, ErrNotSent))
}
