package node_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// gauge returns a metric of a VM.
func (d *deployment) gauge(v *vm, name string) int64 {
	d.t.Helper()
	is := is.New(d.t)
	res, err := http.Get("http://" + v.metrics + "/metrics?format=json")
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	var values map[string]int64
	is.NoErr(json.NewDecoder(res.Body).Decode(&values))
	value, ok := values[name]
	is.True(ok)
	return value
}

// Guards against a VM that gets no digest of the leader although load control is on, and
// against observations that are exchanged although it is off.
func TestDigestsReachAllVMs(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t)
	sendAll := func() {
		for i, v := range d.vms {
			r, err := d.send(v, "GET", "/read/1", i)
			is.NoErr(err)
			d.checkResponse(r)
		}
	}
	const age = "loadview.digest_age_ms"
	for range 25 {
		sendAll()
		time.Sleep(50 * time.Millisecond) // more than an interval of the reports in all
	}
	for _, v := range d.vms {
		is.Equal(d.gauge(v, age), int64(-1))
	}

	c := config(2, "/read/")
	c.Routes[0].Download = true
	d.configure(c)
	for _, v := range d.vms {
		d.waitUntil("digest at "+v.name, func() bool {
			sendAll()
			return d.gauge(v, age) >= 0
		})
		is.Equal(d.gauge(v, "loadview.targets_under_admission"), int64(0))
	}
}
