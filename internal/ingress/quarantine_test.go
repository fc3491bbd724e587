package ingress

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/quarantine"
	"celeryhook.example/celeryhook/internal/upstream"
)

// Guards against a quarantined request that is sent, or that waits until its
// deadline instead of being rejected at once with the time of its next trial.
func TestQuarantinedRequestIsRejected(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	f.quarantine.admission = &quarantine.Admission{Suspected: true, Held: true, Until: f.Clock().Add(7 * time.Second)}
	res := f.send(t, http.MethodGet, "/safe/1", "r1")
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 6 && after <= 7)
	is.Equal(f.exchanger.count(), 0)
}

// Guards against a suspected request that is sent to a second target when the first
// one ends under it, and against a trial that is never marked as ended.
func TestSuspectedRequestReachesOneTarget(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(context.Context, int, *upstream.Request) (*upstream.Response, error) {
		return nil, upstream.ErrConnectionLost
	})
	done := make(chan struct{}, 2)
	f.quarantine.admission = &quarantine.Admission{Suspected: true, Done: func() { done <- struct{}{} }}
	is.Equal(f.send(t, http.MethodGet, "/safe/1", "r1").StatusCode, http.StatusBadGateway)
	<-done
	is.Equal(f.exchanger.count(), 1)
	is.Equal(len(f.quarantine.lost), 1)
	is.Equal(len(f.quarantine.answered), 0)
}

// Guards against a request that stays suspected although a target has responded to
// it after another one closed its connection.
func TestResponseExcusesARequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ context.Context, n int, r *upstream.Request) (*upstream.Response, error) {
		if n == 1 {
			return nil, upstream.ErrConnectionLost
		}
		return success(r), nil
	})
	is.Equal(f.send(t, http.MethodGet, "/safe/1", "r1").StatusCode, http.StatusOK)
	is.Equal(len(f.quarantine.lost), 1)
	is.Equal(f.quarantine.answered, f.quarantine.lost)
	f.send(t, http.MethodGet, "/safe/1", "r2") // nothing to excuse
	is.Equal(len(f.quarantine.answered), 1)
}

// Guards against a request that comes again under a new id and isn't recognised, and
// against different requests that are taken for the same.
func TestFingerprintOfARequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	f.quarantine.admission = &quarantine.Admission{}
	send := func(method, path, body, id, cookie, agent string) quarantine.Fingerprint {
		req, err := http.NewRequestWithContext(context.Background(), method, "http://"+f.address+path, strings.NewReader(body))
		is.NoErr(err)
		req.Host = "h"
		req.Header.Set("Id", id)
		req.Header.Set("Cookie", cookie)
		req.Header.Set("User-Agent", agent)
		res, err := http.DefaultTransport.RoundTrip(req)
		is.NoErr(err)
		is.NoErr(res.Body.Close())
		return f.quarantine.asked[len(f.quarantine.asked)-1]
	}
	first := send("POST", "/safe/1", "x", "r1", "c=1", "a")
	is.Equal(send("POST", "/safe/1", "x", "r2", "c=1", "b"), first)
	for _, other := range []quarantine.Fingerprint{
		send("PUT", "/safe/1", "x", "r3", "c=1", "a"),
		send("POST", "/safe/1?q", "x", "r4", "c=1", "a"),
		send("POST", "/safe/1", "y", "r5", "c=1", "a"),
		send("POST", "/safe/1", "x", "r6", "c=2", "a"),
	} {
		is.True(other != first)
	}
}
