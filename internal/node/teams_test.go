package node_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/standin/wire"
)

// sendAs sends a request with a key, or without one if it is empty, and returns the
// status and the Retry-After header.
func (d *deployment) sendAs(v *vm, key string) (int, string) {
	is := is.New(d.t)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+v.callers+"/read/1", strings.NewReader("x"))
	is.NoErr(err)
	req.Host, req.Header = wire.Host, wire.RequestHeader(d.newID(), 4*time.Second, 0)
	if key != "" {
		wire.SetKey(req.Header, key)
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.True(!strings.Contains(string(body), "secret"))
	return res.StatusCode, res.Header.Get("Retry-After")
}

// Guards against teams that are not told apart, keys that reach targets, and a quota
// that is not in force over all VMs, or not usable through each of them.
func TestTeams(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	c := config(2, "/read/")
	const rate, burst = 5, 10
	c.Teams = []wire.Team{{Name: "free", Keys: []string{"secret-1"}}, {Name: "limited", Keys: []string{"secret-2"}, PerSecond: rate, Burst: burst}}
	d.configure(c)
	for _, v := range d.vms {
		d.waitUntil("the teams are known", func() bool {
			status, _ := d.sendAs(v, "")
			return status == http.StatusUnauthorized
		})
	}
	known := time.Now()
	for _, v := range d.vms {
		d.waitUntil("a request of the limited team succeeds", func() bool {
			status, _ := d.sendAs(v, "secret-2")
			return status == http.StatusOK
		})
		d.waitUntil("a request of the free team succeeds", func() bool {
			status, _ := d.sendAs(v, "secret-1")
			return status == http.StatusOK
		})
		status, _ := d.sendAs(v, "secret-3")
		is.True(status == http.StatusUnauthorized || status == http.StatusServiceUnavailable)
	}
	exceeded := 0
	for i := range 120 {
		switch status, retryAfter := d.sendAs(d.vms[i%3], "secret-2"); status {
		case http.StatusTooManyRequests:
			exceeded++
			seconds, err := strconv.ParseFloat(retryAfter, 64)
			is.NoErr(err)
			is.True(seconds > 0 && seconds <= 6)
		case http.StatusOK, http.StatusServiceUnavailable:
		default:
			t.Errorf("status %d", status)
		}
	}
	is.True(exceeded > 0)
	var at []time.Time
	for _, s := range d.servers {
		for _, r := range s.Runs() {
			if r.At.Before(known) {
				continue
			}
			is.Equal(len(r.Credentials), 0)
			if len(r.Teams) != 1 || r.Teams[0] != "limited" {
				is.Equal(r.Teams, []string{"free"})
				continue
			}
			at = append(at, r.At)
		}
	}
	const window, bound = 5 * time.Second, (rate*5+burst)*1.1 + 20
	for _, from := range at {
		n := 0
		for _, to := range at {
			if !to.Before(from) && to.Sub(from) < window {
				n++
			}
		}
		is.True(float64(n) <= bound)
	}
}
